//! Calls a sidecar as an entry does.

use cicadacrank_core::{
    error::{Effect, Kind},
    id,
};
use cicadacrank_node::link::Link;
use cicadacrank_wire::wire::{self, frame::Body};
use futures_util::StreamExt as _;
use std::{fmt, net::SocketAddr};

/// Answer of a sidecar to one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The complete output.
    Whole {
        /// Output, as text.
        output: String,
        /// Whether the output was recorded by an earlier attempt.
        replayed: bool,
    },
    /// A typed failure.
    Failed {
        /// Kind of the failure.
        kind: Kind,
        /// Whether the work is known to have run.
        effect: Effect,
    },
    /// The connection ended before the answer was complete.
    Disconnected {
        /// Whether the connection was established.
        connected: bool,
    },
}

impl fmt::Display for Answer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole { output, replayed } => {
                let how = if *replayed { "replayed" } else { "whole" };
                write!(formatter, "{how} {output}")
            }
            Self::Failed { kind, effect } => write!(formatter, "{kind} {}", effect.as_str()),
            Self::Disconnected { .. } => formatter.write_str("cut"),
        }
    }
}

/// Returns a job for the booking stage of the Bergvik sample rules.
///
/// `body` stands for the body of the request; it determines the digest only.
#[must_use]
pub fn booking_job(
    endpoint: &str,
    attempt: u128,
    key: &str,
    body: u8,
    remaining_ms: u64,
) -> wire::Job {
    wire::Job {
        request: id::Request::new(attempt).to_string(),
        attempt: id::Attempt::new(attempt).to_string(),
        generation: 1,
        team: "public-portal".to_owned(),
        pipeline: "book-room".to_owned(),
        stage: "booking".to_owned(),
        endpoint: endpoint.to_owned(),
        remaining_ms,
        key: key.to_owned(),
        digest: id::digest(&[body]).to_vec(),
        input: b"{}".to_vec(),
        ..wire::Job::default()
    }
}

/// Sends a job and reads its answer as an entry does, ignoring frames of other
/// attempts and duplicate frames.
pub async fn send_job(link: &dyn Link, address: SocketAddr, job: wire::Job) -> Answer {
    let attempt = job.attempt.clone();
    let mut frames = match link.run(address, job).await {
        Ok(frames) => frames,
        Err(fault) => {
            return Answer::Disconnected {
                connected: fault.connected,
            };
        }
    };
    let mut output = Vec::new();
    let mut next_sequence = 0;
    while let Some(Ok(frame)) = frames.next().await {
        if frame.attempt != attempt || frame.sequence < next_sequence {
            continue;
        }
        next_sequence = frame.sequence + 1;
        match frame.body {
            Some(Body::Chunk(chunk)) => output.extend(chunk.data),
            Some(Body::End(end)) => return whole(&output, end.replayed),
            Some(Body::Failure(failure)) => return failed(&failure),
            Some(Body::Admitted(_)) | None => {}
        }
    }
    Answer::Disconnected { connected: true }
}

fn whole(output: &[u8], replayed: bool) -> Answer {
    Answer::Whole {
        output: String::from_utf8_lossy(output).into_owned(),
        replayed,
    }
}

fn failed(failure: &wire::Failure) -> Answer {
    Answer::Failed {
        kind: Kind::from_name(&failure.kind).unwrap_or(Kind::Internal),
        effect: Effect::from_name(&failure.effect).unwrap_or(Effect::Unknown),
    }
}
