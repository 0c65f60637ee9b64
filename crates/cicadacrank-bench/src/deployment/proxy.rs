//! A proxy on the loopback that does to connections what networks do.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time,
};

/// Bytes passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Impairment {
    /// Nothing.
    #[default]
    None,
    /// Each part is held back for some milliseconds.
    Delay(u64),
    /// Open connections are closed, and new ones too.
    Reset,
    /// Nothing passes, and nothing is closed.
    Stall,
    /// Nothing passes on the way back.
    StallResponses,
}

/// A running proxy; dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    impairment: watch::Sender<Impairment>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (impairment, state) = watch::channel(Impairment::None);
        let task = tokio::spawn(accept(listener, target, state));
        Ok(Self {
            address,
            impairment,
            task,
        })
    }

    /// Changes what happens to connections, open ones too.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<Impairment>) {
    while let Ok((inbound, _)) = listener.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            if *state.borrow() == Impairment::Reset {
                return;
            }
            let Ok(outbound) = TcpStream::connect(target).await else {
                return;
            };
            let (from_caller, to_caller) = inbound.into_split();
            let (from_target, to_target) = outbound.into_split();
            tokio::select! {
                () = forward(from_caller, to_target, state.clone(), false) => {}
                () = forward(from_target, to_caller, state.clone(), true) => {}
                () = wait_for_reset(state) => {}
            }
        });
    }
}

async fn wait_for_reset(mut state: watch::Receiver<Impairment>) {
    // An error says that the proxy is gone, which ends the connection too.
    drop(
        state
            .wait_for(|impairment| *impairment == Impairment::Reset)
            .await,
    );
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Impairment>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let may_pass = |impairment: &Impairment| match impairment {
            Impairment::Stall => false,
            Impairment::StallResponses => !is_response,
            _ => true,
        };
        let Ok(impairment) = state.wait_for(may_pass).await.map(|impairment| *impairment) else {
            return;
        };
        if let Impairment::Delay(milliseconds) = impairment {
            time::sleep(Duration::from_millis(milliseconds)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
