//! Loopback proxy that simulates network faults.

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

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Network fault that the proxy simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Impairment {
    /// No fault.
    #[default]
    None,
    /// Each chunk of data is delayed by this many milliseconds.
    Delay(u64),
    /// Open connections are closed, and so are new ones.
    Reset,
    /// The port is closed until the fault ends, and so are open connections, as after a
    /// crash.
    Down,
    /// No data is forwarded, and connections stay open.
    Stall,
    /// No data is forwarded from the target to the client.
    StallResponses,
}

/// Running proxy. Dropping it stops it.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
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
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (impairment, state) = watch::channel(Impairment::None);
        let task = tokio::spawn(run(listener, target, state));
        Ok(Self {
            address,
            impairment,
            task,
        })
    }

    /// Sets the fault for open and new connections.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }

    /// Returns a sender that sets the fault.
    pub(super) fn switch(&self) -> watch::Sender<Impairment> {
        self.impairment.clone()
    }
}

/// Forwards connections whenever the port is open.
async fn run(listener: TcpListener, target: SocketAddr, mut state: watch::Receiver<Impairment>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    // An error means that the proxy was dropped, or that its port was taken meanwhile.
    while let Some(open) = listener.take() {
        let accepted = state.clone();
        tokio::select! {
            () = accept(open, target, accepted) => {}
            _ = state.wait_for(|impairment| *impairment == Impairment::Down) => {}
        }
        let ended = state.wait_for(|impairment| *impairment != Impairment::Down);
        if ended.await.is_ok() {
            listener = TcpListener::bind(address).await.ok();
        }
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
    // An error means that the proxy was dropped, which also closes the connection.
    drop(
        state
            .wait_for(|impairment| matches!(impairment, Impairment::Reset | Impairment::Down))
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
