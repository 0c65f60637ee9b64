//! Whether the process of an endpoint is still the one that the directory lists.
//!
//! An endpoint may start again under its id and at its address, with other software, before
//! the store shows it. What is known of an endpoint belongs to one process: when that has
//! ended, its version is unknown until a newer registration is read or the endpoint shows
//! that it runs on. Streams go on only at a process that has just said that it is the
//! registered one, on the connection that they are then sent on.

use super::{
    crash::CRASH_CHECK_DELAY,
    state::{OWN, State, lock},
};
use crate::{
    outbound::{self, CONNECT_TIMEOUT, Connection},
    platform::endpoint,
};
use bytes::Bytes;
use cicadacrank_core::{
    directory::{Endpoint, Incarnation},
    event::Event,
};
use http::{Request, Response};
use http_body_util::Full;
use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time;

/// Time between two questions to an endpoint whose process is taken to have ended.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of such questions. The store has removed the entry of an endpoint that is gone
/// long before the last of them.
const MAX_RECHECKS: usize = 20;

/// Number of questions to an endpoint whose answers cannot be read. A faulty endpoint spoils
/// some of them.
const MAX_QUESTIONS: usize = 3;

/// Timeout of a question to an endpoint.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of the answer, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Endpoints for which a check is under way.
#[derive(Debug, Default)]
pub struct Checks(Mutex<Vec<Incarnation>>);

/// What is known of the process of an endpoint that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It has ended: nothing listens at its address, or another process does.
    Ended,
    /// It has just answered.
    RunsOn,
    /// It accepted a connection or not, and did not tell which process it is.
    Unknown,
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Identity {
    /// It is the process that is registered.
    Same,
    /// It has the id of the one that is registered, and does not tell when it started.
    SameId,
    /// It has started at another time.
    Other,
    /// It does not tell when it started.
    Untold,
    /// Its answer cannot be read.
    Unreadable,
    /// It does not answer in time.
    Silent,
}

/// Opens a connection to an endpoint. If the process `must_be_registered`, the connection is
/// one to the process that the directory lists, unless endpoints do not tell.
///
/// # Errors
///
/// Returns an error if the connection fails, or if another process is there.
pub async fn connect(
    state: &Arc<State>,
    endpoint: &Endpoint,
    must_be_registered: bool,
) -> io::Result<Connection> {
    if !must_be_registered || endpoint.life.born.is_none() {
        return open(state, endpoint).await;
    }
    for _ in 0..MAX_QUESTIONS {
        let mut connection = open(state, endpoint).await?;
        match identify(&mut connection, endpoint).await {
            Identity::Same => {
                record_running(state, endpoint);
                if connection.is_reusable().await {
                    return Ok(connection);
                }
                return open(state, endpoint).await;
            }
            Identity::Untold | Identity::SameId => return open(state, endpoint).await,
            Identity::Other => {
                record_end(state, endpoint, OWN);
                return Err(io::Error::other("another process is there"));
            }
            Identity::Unreadable => {}
            Identity::Silent => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
    Err(io::Error::other(
        "the endpoint does not tell when it started",
    ))
}

async fn open(state: &Arc<State>, endpoint: &Endpoint) -> io::Result<Connection> {
    let opened = Connection::open(endpoint.address).await;
    opened.inspect_err(|error| {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            record_end(state, endpoint, OWN);
        }
    })
}

/// Asks the process at the other side of a connection when it started.
async fn identify(connection: &mut Connection, endpoint: &Endpoint) -> Identity {
    let request = endpoint::encode_report(endpoint.address);
    match question(connection, endpoint, request).await {
        Ok(answer) => match endpoint::decode_report(answer.body()) {
            born @ Some(_) if born == endpoint.life.born => Identity::Same,
            Some(_) => Identity::Other,
            None => Identity::Untold,
        },
        Err(identity) => identity,
    }
}

/// Asks the process at the other side of a connection for the id of its endpoint.
async fn check_id(connection: &mut Connection, endpoint: &Endpoint, path: &str) -> Identity {
    let request = endpoint::encode_health(endpoint.address, path);
    match question(connection, endpoint, request).await {
        Ok(answer) => match endpoint::decode_health(answer.headers()) {
            Some(id) if id == endpoint.life.id => Identity::SameId,
            Some(_) => Identity::Other,
            None => Identity::Untold,
        },
        Err(identity) => identity,
    }
}

/// Sends a question about itself to the process at the other side of a connection.
///
/// # Errors
///
/// Returns what is known of the process without an answer.
async fn question(
    connection: &mut Connection,
    endpoint: &Endpoint,
    request: Result<Request<Full<Bytes>>, http::Error>,
) -> Result<Response<Bytes>, Identity> {
    let request = request.map_err(|error| {
        log::error!("failed to build a request to an endpoint: {error}");
        Identity::Untold
    })?;
    let answer = connection.call(request, MAX_REPORT_BYTES);
    let answer = time::timeout(REPORT_TIMEOUT, answer).await;
    let answer = answer.map_err(|_| Identity::Silent)?;
    answer.map_err(|error| {
        let id = &endpoint.life.id;
        log::debug!("endpoint {id} does not say which process it is: {error}");
        Identity::Unreadable
    })
}

/// Asks whether the process of an endpoint still runs, unless it is known to have ended.
pub async fn ask(state: &Arc<State>, endpoint: &Endpoint) -> Fate {
    if lock(&state.fleet).has_ended(&endpoint.life) {
        return Fate::Ended;
    }
    let mut connection = match open(state, endpoint).await {
        Ok(connection) => connection,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Fate::Ended,
        // Silence is no proof, since a path may be cut.
        Err(_) => return Fate::Unknown,
    };
    let identity = match health_path(state, endpoint) {
        Some(path) => check_id(&mut connection, endpoint, &path).await,
        None => identify(&mut connection, endpoint).await,
    };
    match identity {
        Identity::Same => {
            record_running(state, endpoint);
            Fate::RunsOn
        }
        Identity::SameId => Fate::RunsOn,
        Identity::Other => {
            record_end(state, endpoint, OWN);
            Fate::Ended
        }
        Identity::Untold | Identity::Unreadable | Identity::Silent => Fate::Unknown,
    }
}

/// Returns the path at which an endpoint is asked for its id, if endpoints of its service do
/// not report on themselves: those that neither stream answers nor run stages.
fn health_path(state: &State, endpoint: &Endpoint) -> Option<String> {
    let config = state.config()?;
    let service = config.service(&endpoint.service)?;
    let is_told = config.is_plain(service) && !service.health_path.is_empty();
    is_told.then(|| service.health_path.clone())
}

/// Returns whether the process of an endpoint, on which a connection has just been seen to
/// end, is known to run on.
///
/// The kernel closes the connections of a process that is killed like those of one that has
/// sent everything, so an answer that ends with its connection is complete only if the process
/// that gave it has said since that it is there. That some process accepts connections says
/// nothing: this gateway may have stood still until the endpoint had started again.
pub async fn has_survived(state: &Arc<State>, endpoint: &Endpoint) -> bool {
    for _ in 0..MAX_QUESTIONS {
        match ask(state, endpoint).await {
            Fate::RunsOn => return true,
            Fate::Ended => break,
            Fate::Unknown => {}
        }
    }
    false
}

/// Checks in the background whether the process of an endpoint has ended, after a connection
/// to it has broken.
pub fn check_end(state: &Arc<State>, endpoint: &Endpoint) {
    let mut checks = lock(&state.end_checks.0);
    if checks.contains(&endpoint.life) {
        return;
    }
    checks.push(endpoint.life.clone());
    drop(checks);
    let (state, endpoint) = (Arc::clone(state), endpoint.clone());
    tokio::spawn(async move {
        time::sleep(CRASH_CHECK_DELAY).await;
        if outbound::is_refusing(endpoint.address, CONNECT_TIMEOUT).await {
            record_end(&state, &endpoint, OWN);
        }
        lock(&state.end_checks.0).retain(|one| *one != endpoint.life);
    });
}

/// Records that the process of an endpoint has ended, according to `source`.
pub fn record_end(state: &Arc<State>, endpoint: &Endpoint, source: &str) {
    let now = state.clock.now();
    if !lock(&state.fleet).record_end(&endpoint.life, source == OWN, now) {
        return;
    }
    state.metrics.ends.inc();
    Event::EndpointEnded.log(format_args!(
        "endpoint={} born={:?} version={} source={source}",
        endpoint.life.id, endpoint.life.born, endpoint.version,
    ));
    tokio::spawn(recheck(Arc::clone(state), endpoint.clone()));
}

/// Records that another gateway has seen the process of an endpoint end.
pub fn record_reported_end(state: &Arc<State>, endpoint: &Incarnation, source: &str) {
    let endpoint = lock(&state.fleet)
        .row_of(endpoint)
        .map(|row| row.endpoint.clone());
    if let Some(endpoint) = endpoint {
        record_end(state, &endpoint, source);
    }
}

fn record_running(state: &State, endpoint: &Endpoint) {
    let now = state.clock.now();
    if lock(&state.fleet).record_running(&endpoint.life, now) {
        Event::EndpointConfirmed.log(format_args!(
            "endpoint={} born={:?} version={}",
            endpoint.life.id, endpoint.life.born, endpoint.version,
        ));
    }
}

/// Asks an endpoint whose process is taken to have ended, as long as it is listed.
async fn recheck(state: Arc<State>, endpoint: Endpoint) {
    for _ in 0..MAX_RECHECKS {
        time::sleep(RECHECK_INTERVAL).await;
        let is_unknown = lock(&state.fleet)
            .row_of(&endpoint.life)
            .is_some_and(|row| row.version().is_none());
        if !is_unknown {
            return;
        }
        let Ok(mut connection) = Connection::open(endpoint.address).await else {
            continue;
        };
        match identify(&mut connection, &endpoint).await {
            Identity::Same => return record_running(&state, &endpoint),
            Identity::Other => return,
            Identity::SameId | Identity::Untold | Identity::Unreadable | Identity::Silent => {}
        }
    }
}
