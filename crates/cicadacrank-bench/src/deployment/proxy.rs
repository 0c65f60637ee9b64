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
const PART: usize = 16 * 1024;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// Each part is held back for some milliseconds.
    Delay(u64),
    /// Open connections are closed, and new ones too.
    Reset,
    /// Nothing passes, and nothing is closed.
    Silence,
    /// Nothing passes on the way back.
    SilenceBack,
}

/// A running proxy; dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    trouble: watch::Sender<Trouble>,
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
        let (trouble, state) = watch::channel(Trouble::None);
        let task = tokio::spawn(accept(listener, target, state));
        Ok(Self {
            address,
            trouble,
            task,
        })
    }

    /// Changes what happens to connections, open ones too.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.trouble.send_replace(trouble);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<Trouble>) {
    while let Ok((inbound, _)) = listener.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            if *state.borrow() == Trouble::Reset {
                return;
            }
            let Ok(outbound) = TcpStream::connect(target).await else {
                return;
            };
            let (from_caller, to_caller) = inbound.into_split();
            let (from_target, to_target) = outbound.into_split();
            tokio::select! {
                () = pass(from_caller, to_target, state.clone(), false) => {}
                () = pass(from_target, to_caller, state.clone(), true) => {}
                () = reset(state) => {}
            }
        });
    }
}

async fn reset(mut state: watch::Receiver<Trouble>) {
    // An error says that the proxy is gone, which ends the connection too.
    drop(state.wait_for(|trouble| *trouble == Trouble::Reset).await);
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Trouble>,
    back: bool,
) {
    let mut part = vec![0; PART];
    while let Ok(length) = from.read(&mut part).await {
        if length == 0 {
            return;
        }
        let passes = |trouble: &Trouble| match trouble {
            Trouble::Silence => false,
            Trouble::SilenceBack => !back,
            _ => true,
        };
        let Ok(trouble) = state.wait_for(passes).await.map(|trouble| *trouble) else {
            return;
        };
        if let Trouble::Delay(milliseconds) = trouble {
            time::sleep(Duration::from_millis(milliseconds)).await;
        }
        if to.write_all(&part[..length]).await.is_err() {
            return;
        }
    }
}
