//! gRPC server through which entries reach the sidecar.

use super::Service;
use cicadacrank_wire::wire::{self, sidecar_server::Sidecar};
use futures_util::{StreamExt as _, stream::BoxStream};
use std::sync::Arc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, async_trait};

/// Adapter from gRPC to the service.
#[derive(Clone)]
pub struct Server {
    service: Arc<Service>,
}

impl Server {
    /// Creates the adapter.
    #[must_use]
    pub const fn new(service: Arc<Service>) -> Self {
        Self { service }
    }
}

#[async_trait]
impl Sidecar for Server {
    type RunStream = BoxStream<'static, Result<wire::Frame, Status>>;

    async fn run(&self, request: Request<wire::Job>) -> Result<Response<Self::RunStream>, Status> {
        let frames = self.service.run(request.into_inner());
        Ok(Response::new(ReceiverStream::new(frames).map(Ok).boxed()))
    }
}
