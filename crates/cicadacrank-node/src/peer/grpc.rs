//! Syncs over gRPC.
//!
//! Each sync opens its own connection. A process rarely syncs with a given peer,
//! so hundreds of open connections would be idle, and a new connection proves
//! that the peer accepts new work.

use super::{Fault, Link, Service};
use crate::link::grpc::MAX_MESSAGE_BYTES;
use cicadacrank_wire::wire::{
    self,
    peer_client::PeerClient,
    peer_server::{Peer, PeerServer},
};
use futures_util::{FutureExt as _, future::BoxFuture};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use std::{
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};
use tonic::{Request, Response, Status, async_trait, transport::Endpoint};

/// gRPC client of peers.
#[derive(Clone, Debug)]
pub struct Client {
    timeout: Duration,
    bytes: IntCounter,
}

impl Client {
    /// Creates a client that abandons a sync after `timeout` and adds the bytes
    /// that its connections send and receive to `bytes`.
    #[must_use]
    pub const fn new(timeout: Duration, bytes: IntCounter) -> Self {
        Self { timeout, bytes }
    }

    async fn call(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> Result<wire::Update, String> {
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).map_err(|error| text(&error))?;
        let bytes = self.bytes.clone();
        let connector = tower::service_fn(move |_| {
            let bytes = bytes.clone();
            async move {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok::<_, io::Error>(TokioIo::new(CountingStream { stream, bytes }))
            }
        });
        let channel = endpoint
            .connect_with_connector(connector)
            .await
            .map_err(|error| text(&error))?;
        let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let answer = client.sync(digest).await.map_err(|error| text(&error))?;
        Ok(answer.into_inner())
    }
}

impl Link for Client {
    fn sync(
        &self,
        address: SocketAddr,
        digest: wire::Digest,
    ) -> BoxFuture<'_, Result<wire::Update, Fault>> {
        async move {
            let answer = time::timeout(self.timeout, self.call(address, digest)).await;
            answer
                .unwrap_or_else(|_| Err("the sync timed out".to_owned()))
                .map_err(|context| Fault { address, context })
        }
        .boxed()
    }
}

fn text(error: &dyn fmt::Display) -> String {
    error.to_string()
}

/// gRPC server that passes syncs to the service.
#[derive(Clone)]
pub struct Server {
    service: Arc<Service>,
}

impl Server {
    /// Creates the gRPC service, to be added to a server.
    #[must_use]
    pub fn serve(service: Arc<Service>) -> PeerServer<Self> {
        PeerServer::new(Self { service }).max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[async_trait]
impl Peer for Server {
    async fn sync(&self, request: Request<wire::Digest>) -> Result<Response<wire::Update>, Status> {
        let answer = self.service.handle_sync(request.into_inner());
        let answer = answer.ok_or_else(|| Status::invalid_argument("the digest is invalid"))?;
        Ok(Response::new(answer))
    }
}

/// A TCP stream that counts the bytes read and written.
struct CountingStream {
    stream: TcpStream,
    bytes: IntCounter,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.bytes.inc_by((buffer.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.bytes.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
