//! Connections from other gateways.
//!
//! Each gateway sends pings on its connections, so that one on which nothing arrives is the
//! first to be closed when there is no room.

use super::super::{
    connection::{Connection, Listed, Room, Rooms},
    state::State,
};
use cicadacrank_core::crowd::Phase;
use futures_util::{Stream, stream};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::WaitForCancellationFutureOwned;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Part of the sockets of a process that other gateways may use.
const SOCKETS_DIVISOR: usize = 4;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connection from another gateway, closed when its room is needed.
pub struct Link {
    stream: TcpStream,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
    listed: Listed,
    _room: Room,
}

/// Returns the connections that a listener accepts.
pub fn incoming(
    state: &Arc<State>,
    listener: TcpListener,
) -> impl Stream<Item = io::Result<Link>> + use<> {
    let sockets = state.settings.sockets / SOCKETS_DIVISOR;
    let rooms = Rooms::with_own_memory(sockets);
    let parts = (Arc::clone(state), listener, rooms);
    stream::unfold(parts, async |(state, listener, rooms)| {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(error) => {
                    log::warn!("failed to accept a connection of a gateway: {error}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        };
        let room = rooms.wait(&state).await;
        let listed = rooms.open.add(state.clock);
        let link = stream.set_nodelay(true).map(|()| Link {
            stream,
            evicted: Box::pin(listed.connection().evicted()),
            listed,
            _room: room,
        });
        Some((link, (state, listener, rooms)))
    })
}

impl Link {
    const fn connection(&self) -> &Connection {
        self.listed.connection()
    }
}

impl Connected for Link {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.evicted.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection().enter(Phase::Idle);
        }
        result
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
