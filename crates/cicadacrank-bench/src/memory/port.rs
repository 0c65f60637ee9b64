//! In-memory endpoints.

use bytes::Bytes;
use cicadacrank_core::{admission::Health, error::Kind};
use cicadacrank_node::endpoint::{Call, Fault, Parts, Port as Interface};
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture, stream};
use std::{
    collections::VecDeque,
    future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time;

/// Behaviour of an endpoint for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the work and sends the complete answer after a delay.
    Answer(Duration),
    /// Runs the work and sends an answer that violates the protocol.
    Rubbish,
    /// Runs the work and sends a truncated answer.
    Truncate,
    /// Rejects the work as invalid without running it.
    RefuseWork,
    /// Refuses the connection.
    RefuseConnection,
    /// Cuts the connection before the work arrives.
    CutBefore,
    /// Runs the work and cuts the connection before the answer.
    CutAfter,
    /// Runs the work, cuts the connection before the answer, and restarts at
    /// once, so that it reports a new incarnation and refuses no connection.
    Restart,
    /// Runs the work and never answers, so that the progress timeout of the
    /// caller expires.
    Silent,
}

impl Behaviour {
    /// All behaviours; `Answer` has no delay.
    pub const ALL: [Self; 9] = [
        Self::Answer(Duration::ZERO),
        Self::Rubbish,
        Self::Truncate,
        Self::RefuseWork,
        Self::RefuseConnection,
        Self::CutBefore,
        Self::CutAfter,
        Self::Restart,
        Self::Silent,
    ];

    /// Returns whether the endpoint runs the work.
    #[must_use]
    pub const fn runs(self) -> bool {
        match self {
            Self::Answer(_)
            | Self::Rubbish
            | Self::Truncate
            | Self::CutAfter
            | Self::Restart
            | Self::Silent => true,
            Self::RefuseWork | Self::RefuseConnection | Self::CutBefore => false,
        }
    }
}

/// One run of work at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Attempt id of the call.
    pub attempt: String,
    /// Idempotency key of the call.
    pub key: String,
    /// Input of the work.
    pub input: Bytes,
    /// Output of the work, whether or not the endpoint sent it.
    pub output: Bytes,
}

#[derive(Debug)]
struct State {
    runs: Vec<Run>,
    script: VecDeque<Behaviour>,
    refusing: bool,
    health: Option<Health>,
    otherwise: Behaviour,
}

/// All in-memory endpoints; clones share the runs and the script.
#[derive(Clone, Debug)]
pub struct Port {
    state: Arc<Mutex<State>>,
}

impl Port {
    /// Creates endpoints that answer every call without delay.
    ///
    /// Every run has a different output, so that tests can distinguish a replay
    /// from a second run.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                runs: Vec::new(),
                script: VecDeque::new(),
                refusing: false,
                health: None,
                otherwise: Behaviour::Answer(Duration::ZERO),
            })),
        }
    }

    /// Returns the endpoints with this behaviour for calls after the end of the
    /// script.
    #[must_use]
    pub fn with_default_behaviour(self, otherwise: Behaviour) -> Self {
        self.lock().otherwise = otherwise;
        self
    }

    /// Appends a behaviour to the script; each call takes the next one.
    pub fn push(&self, behaviour: Behaviour) {
        self.lock().script.push_back(behaviour);
    }

    /// Sets whether endpoints are reported to refuse connections, as they do
    /// after a crash.
    pub fn set_refusing(&self, refusing: bool) {
        self.lock().refusing = refusing;
    }

    /// Sets the health that every endpoint reports; `None` for no report.
    pub fn set_health(&self, health: Option<Health>) {
        self.lock().health = health;
    }

    /// Returns all runs so far, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the next behaviour from the script, records the run if there is
    /// one, and returns the behaviour and the output.
    fn start_call(&self, call: &Call) -> (Behaviour, Bytes) {
        let mut state = self.lock();
        let behaviour = state.script.pop_front().unwrap_or(state.otherwise);
        let output = Bytes::from(format!("\"run {}\"", state.runs.len()));
        if behaviour == Behaviour::Restart
            && let Some(health) = &mut state.health
        {
            health.incarnation += 1;
        }
        if behaviour.runs() {
            state.runs.push(Run {
                address: call.address,
                attempt: call.attempt.clone(),
                key: call.key.clone(),
                input: call.input.clone(),
                output: output.clone(),
            });
        }
        (behaviour, output)
    }
}

impl Default for Port {
    fn default() -> Self {
        Self::new()
    }
}

impl Interface for Port {
    fn call(&self, call: Call) -> BoxFuture<'_, Result<Parts, Fault>> {
        async move {
            let (behaviour, output) = self.start_call(&call);
            let failed = |kind, context: &str| Err(Fault::new(kind, context));
            match behaviour {
                Behaviour::Answer(delay) => {
                    if !delay.is_zero() {
                        time::sleep(delay).await;
                    }
                    Ok(parts(vec![Ok(output)]))
                }
                Behaviour::Rubbish => failed(Kind::EndpointProtocol, "reading an event"),
                Behaviour::Truncate => Ok(parts(vec![
                    Ok(output.slice(..output.len() / 2)),
                    Err(Fault::new(Kind::Truncated, "the stream has no end mark")),
                ])),
                Behaviour::RefuseWork => Err(Fault {
                    refused: true,
                    ..Fault::new(Kind::EndpointRefused, "status 422")
                }),
                Behaviour::RefuseConnection => Err(Fault {
                    connected: false,
                    ..Fault::new(Kind::Unreachable, "connection refused")
                }),
                Behaviour::CutBefore | Behaviour::CutAfter | Behaviour::Restart => {
                    failed(Kind::EndpointFailed, "connection reset")
                }
                Behaviour::Silent => {
                    time::timeout(call.progress_timeout, future::pending::<()>())
                        .await
                        .ok();
                    failed(Kind::Silent, "no progress")
                }
            }
        }
        .boxed()
    }

    fn health(&self, _address: SocketAddr) -> BoxFuture<'_, Option<Health>> {
        let health = self.lock().health;
        async move { health }.boxed()
    }

    fn is_refusing(&self, _address: SocketAddr) -> BoxFuture<'_, bool> {
        let refusing = self.lock().refusing;
        async move { refusing }.boxed()
    }
}

fn parts(parts: Vec<Result<Bytes, Fault>>) -> Parts {
    stream::iter(parts).boxed()
}
