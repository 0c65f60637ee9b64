//! In-memory links from entries to sidecars.

use super::Sidecar;
use cicadacrank_core::error::Kind;
use cicadacrank_node::link::{Fault, Frames, Link as Interface};
use cicadacrank_wire::wire;
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{self, BoxFuture},
    stream,
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;

/// Fault of the network that one job meets; frames are counted from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// No fault.
    Never,
    /// The connection is refused.
    Refused,
    /// The connection is cut before the job arrives.
    BeforeJob,
    /// The connection is cut before this frame arrives.
    BeforeFrame(u64),
    /// The connection stays open, but neither this frame nor any later one
    /// arrives.
    Silent(u64),
    /// This frame arrives twice.
    Duplicate(u64),
    /// A frame of another attempt arrives before this one.
    Crossed(u64),
    /// This frame and the later ones arrive after a delay.
    Late(u64, Duration),
    /// The job arrives twice, and the answer to one of the two is lost.
    DuplicateJob,
}

#[derive(Default)]
struct State {
    sidecars: Vec<Sidecar>,
    script: VecDeque<Disruption>,
}

/// In-memory links to all sidecars; clones share the sidecars and the script.
#[derive(Clone, Default)]
pub struct Link {
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Creates links to sidecars.
    #[must_use]
    pub fn new(mut sidecars: Vec<Sidecar>) -> Self {
        sidecars.sort_by_key(|sidecar| sidecar.address);
        let script = VecDeque::new();
        Self {
            state: Arc::new(Mutex::new(State { sidecars, script })),
        }
    }

    /// Appends a fault to the script; each job takes the next one.
    pub fn push(&self, disruption: Disruption) {
        self.lock().script.push_back(disruption);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the next fault from the script and returns it with the sidecar at
    /// the address, if any.
    fn next_disruption(&self, address: SocketAddr) -> (Disruption, Option<Sidecar>) {
        let mut state = self.lock();
        let disruption = state.script.pop_front().unwrap_or(Disruption::Never);
        let found = state
            .sidecars
            .binary_search_by_key(&address, |sidecar| sidecar.address);
        (
            disruption,
            found.ok().map(|index| state.sidecars[index].clone()),
        )
    }
}

impl Interface for Link {
    fn run(&self, address: SocketAddr, job: wire::Job) -> BoxFuture<'_, Result<Frames, Fault>> {
        async move {
            let (disruption, sidecar) = self.next_disruption(address);
            let Some(sidecar) = sidecar.filter(|_| disruption != Disruption::Refused) else {
                return Err(link_fault(false));
            };
            if disruption == Disruption::BeforeJob {
                return Err(link_fault(true));
            }
            sidecar.process.wait_until_running().await;
            if disruption == Disruption::DuplicateJob {
                drop(sidecar.service.run(job.clone()));
            }
            Ok(frames(sidecar, job, disruption))
        }
        .boxed()
    }

    fn reset(&self, _address: SocketAddr) {}
}

fn frames(sidecar: Sidecar, job: wire::Job, disruption: Disruption) -> Frames {
    let receiver = ReceiverStream::new(sidecar.service.run(job));
    let process = sidecar.process;
    receiver
        .enumerate()
        .then(move |(index, frame)| {
            let process = process.clone();
            async move {
                process.wait_until_running().await;
                apply_disruption(disruption, index as u64, frame).await
            }
        })
        .flat_map(stream::iter)
        .scan(false, |ended, frame| {
            let already_ended = *ended;
            *ended |= frame.is_err();
            future::ready((!already_ended).then_some(frame))
        })
        .boxed()
}

/// Returns what arrives instead of one frame.
async fn apply_disruption(
    disruption: Disruption,
    index: u64,
    frame: wire::Frame,
) -> Vec<Result<wire::Frame, Fault>> {
    match disruption {
        Disruption::BeforeFrame(at) if at == index => vec![Err(link_fault(true))],
        Disruption::Silent(at) if at == index => future::pending().await,
        Disruption::Duplicate(at) if at == index => vec![Ok(frame.clone()), Ok(frame)],
        Disruption::Crossed(at) if at == index => {
            let other = wire::Frame {
                attempt: "0".repeat(32),
                ..frame.clone()
            };
            vec![Ok(other), Ok(frame)]
        }
        Disruption::Late(at, delay) if at == index => {
            time::sleep(delay).await;
            vec![Ok(frame)]
        }
        _ => vec![Ok(frame)],
    }
}

fn link_fault(connected: bool) -> Fault {
    Fault {
        kind: Kind::Unreachable,
        connected,
        context: "running a job".to_owned(),
    }
}
