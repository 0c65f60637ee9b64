//! HTTP pages for operators and the platform: health, readiness, metrics and
//! status.

use crate::{metrics::Metrics, settings::Role};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
    writing::Json,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Provides the readiness and the status of a process.
pub trait Source: Send + Sync + 'static {
    /// Returns whether new work should be sent to the process.
    fn is_ready(&self) -> bool;

    /// Returns the status of the process.
    fn status(&self) -> Status;
}

/// Status of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Role of the process, or `None` if it is not reported.
    pub role: Option<Role>,
    /// Generation of the rules in force, or zero if there are none.
    pub generation: u64,
    /// Endpoints behind a sidecar, sorted by name.
    pub endpoints: Vec<Endpoint>,
}

/// Status of an endpoint behind a sidecar.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Warm-up phase: `cold`, `warming`, `warm` or `leaving`.
    pub phase: String,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests waiting for a slot.
    pub queued: u32,
    /// Number of requests that may be in flight at present.
    pub slots: u32,
}

#[derive(Clone, Copy)]
enum Page {
    Health,
    Ready,
    Metrics,
    Status,
}

struct Pages {
    page: Page,
    source: Arc<dyn Source>,
    metrics: Arc<Metrics>,
}

/// Creates the router of the pages.
#[must_use]
pub fn router(source: &Arc<dyn Source>, metrics: &Arc<Metrics>) -> Router {
    let page = |path: &str, page| {
        let pages = Pages {
            page,
            source: Arc::clone(source),
            metrics: Arc::clone(metrics),
        };
        Router::with_path(path).get(pages)
    };
    Router::new()
        .push(page("healthz", Page::Health))
        .push(page("readyz", Page::Ready))
        .push(page("metrics", Page::Metrics))
        .push(page("status", Page::Status))
}

#[async_trait]
impl Handler for Pages {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Health => response.render("ok\n"),
            Page::Ready if self.source.is_ready() => response.render("ready\n"),
            Page::Ready => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.render("not ready\n");
            }
            Page::Metrics => response.render(self.metrics.text()),
            Page::Status => response.render(Json(self.source.status())),
        }
    }
}
