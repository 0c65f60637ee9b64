//! A call to an endpoint that processes pieces of stages.

use super::{
    Batcher, MAX_ANSWER_BYTES, Waiting,
    release::{queue_release, send_releases},
};
use crate::{
    gateway::{
        rollout,
        stages::Output,
        state::{State, lock},
    },
    outbound::{self, CallError},
    platform::{
        answer::Answer,
        stage::{self, Completion, Piece},
    },
};
use cicadacrank_core::{
    batch::{Call, Outcome, Results},
    directory::Incarnation,
    error::Kind,
    event::Event,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// Timeout of a call, as a multiple of its expected duration.
const CALL_TIMEOUT_FACTOR: u32 = 4;

/// Added to the timeout of a call, for the inputs that the endpoint has to fetch.
const CALL_TIMEOUT_EXTRA: Duration = Duration::from_millis(300);

/// Divisor of the expected duration of a call that gives the time after which the
/// inputs are released. The endpoint fetches them when their turn comes, which is
/// long before that.
const INPUT_FETCH_DIVISOR: u32 = 2;

/// Maximum number of calls that one piece is part of.
const MAX_ATTEMPTS: u32 = 2;

/// Executes one call and delivers the results of its pieces.
pub(super) async fn execute(
    state: Arc<State>,
    batcher: Arc<Batcher>,
    call: Call,
    mut pieces: Vec<Waiting>,
    address: Option<(SocketAddr, String)>,
    tracked: Option<rollout::Call>,
) {
    let started_at = Instant::now();
    state.metrics.batch.observe(pieces.len() as f64);
    let (outcome, made, note) = match &address {
        Some((address, _)) => {
            // Released results free memory for this call.
            send_releases(&state, &batcher, &call.endpoint).await;
            call_and_release_inputs(&state, &batcher, *address, &call, &mut pieces).await
        }
        None => (Outcome::Failed, Vec::new(), "endpoint left".to_owned()),
    };
    let service = batcher.service.as_str();
    let labels = [service, outcome_name(outcome)];
    state.metrics.stage_calls.with_label_values(&labels).inc();
    Event::CallEnded.log(format_args!(
        "service={service} endpoint={} pieces={} left={} room={} expected_ms={} took_ms={} \
         prompt={} outcome={outcome:?} made={} no_room={} gone={} first_id={} note={note:?}",
        call.endpoint.id,
        pieces.len(),
        call.waiting,
        call.room,
        call.expected.as_millis(),
        started_at.elapsed().as_millis(),
        call.immediate,
        count(&made, |one| matches!(one, Completion::Result(_))),
        count(&made, |one| matches!(one, Completion::NoRoom)),
        count(&made, |one| matches!(one, Completion::SourceGone)),
        pieces.first().map_or("-", |piece| &*piece.request),
    ));
    if let Some(tracked) = tracked {
        let failed = count(&made, |one| matches!(one, Completion::Failed)) > 0;
        match outcome {
            Outcome::Answered if !failed => tracked.record_answer(pieces.len()),
            Outcome::Answered | Outcome::Failed => tracked.record_failure(),
            Outcome::Full => {}
        }
    }
    let data_centre = address.map_or_else(String::new, |(_, data_centre)| data_centre);
    let results = memory_results(&pieces, &made);
    lock(&batcher.inner)
        .pool
        .end(&call, outcome, results, state.clock.now());
    if outcome == Outcome::Answered {
        for (waiting, made) in pieces.into_iter().zip(made) {
            deliver(
                &state,
                &batcher,
                &call.endpoint,
                &data_centre,
                waiting,
                made,
            );
        }
    } else {
        for waiting in pieces {
            retry(&state, &batcher, waiting, Kind::StageFailed);
        }
    }
    batcher.wake.notify_one();
}

/// Sends a call and releases the inputs of its pieces once the endpoint has
/// fetched them. If the call ends earlier, the pieces keep their inputs, because
/// a retry may need them.
async fn call_and_release_inputs(
    state: &State,
    batcher: &Batcher,
    address: SocketAddr,
    call: &Call,
    pieces: &mut [Waiting],
) -> (Outcome, Vec<Completion>, String) {
    let spent: Vec<_> = pieces.iter_mut().map(|piece| piece.spent.take()).collect();
    let fetched = if call.immediate {
        call.expected / INPUT_FETCH_DIVISOR
    } else {
        call_timeout(call)
    };
    let result = {
        let exchange = send_call(state, batcher, address, call, pieces);
        tokio::pin!(exchange);
        match time::timeout(fetched, &mut exchange).await {
            Ok(result) => result,
            Err(_) => {
                drop(spent);
                return exchange.await;
            }
        }
    };
    for (piece, spent) in pieces.iter_mut().zip(spent) {
        piece.spent = spent;
    }
    result
}

fn call_timeout(call: &Call) -> Duration {
    call.expected * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA
}

fn count(made: &[Completion], wanted: impl Fn(&Completion) -> bool) -> usize {
    made.iter().filter(|one| wanted(one)).count()
}

/// Returns the bytes of the results that the endpoint holds, and of those that it
/// had no room for.
fn memory_results(pieces: &[Waiting], made: &[Completion]) -> Results {
    let mut results = Results::default();
    for (waiting, made) in pieces.iter().zip(made) {
        match made {
            Completion::Result(_) => results.held += waiting.piece.bytes,
            Completion::NoRoom => results.refused += waiting.piece.bytes,
            Completion::Late | Completion::SourceGone | Completion::Failed => {}
        }
    }
    results
}

const fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Full => "full",
        Outcome::Failed => "failed",
    }
}

/// Sends a call and decodes its answer. Returns the outcome, what became of each
/// piece and a note for the log.
async fn send_call(
    state: &State,
    batcher: &Batcher,
    address: SocketAddr,
    call: &Call,
    pieces: &[Waiting],
) -> (Outcome, Vec<Completion>, String) {
    let now = state.clock.now();
    let wire: Vec<Piece> = pieces
        .iter()
        .map(|waiting| Piece {
            request: waiting.request.clone(),
            stage: waiting.stage,
            number: waiting.number,
            remaining: waiting.piece.expires.saturating_sub(now),
            source: waiting.source.clone(),
        })
        .collect();
    let request = match stage::encode(address, &call.endpoint.id, &wire) {
        Ok(request) => request,
        Err(error) => return (Outcome::Failed, Vec::new(), error),
    };
    match outbound::call(address, request, call_timeout(call), MAX_ANSWER_BYTES).await {
        Ok(answer) => {
            let head = Answer::decode(answer.status(), answer.headers());
            if !head.misdirected {
                state.record_statements(&call.endpoint, &head);
                if let Some(pace) = head.load.and_then(|load| load.pace) {
                    let now = state.clock.now();
                    lock(&batcher.inner)
                        .pool
                        .record_pace(&call.endpoint, pace, now);
                }
            }
            if head.declined.is_some() {
                let outcome = if head.misdirected {
                    Outcome::Failed
                } else {
                    Outcome::Full
                };
                return (outcome, Vec::new(), format!("status {}", head.status));
            }
            match stage::decode(answer.status(), answer.body(), wire.len()) {
                Ok(made) => (Outcome::Answered, made, String::new()),
                Err(error) => (Outcome::Failed, Vec::new(), error),
            }
        }
        Err(CallError::Unconnected(error) | CallError::Lost(error)) => {
            (Outcome::Failed, Vec::new(), error)
        }
    }
}

/// Delivers the result or failure of a piece, or retries the piece. Releases the
/// result if no caller waits for it any more.
fn deliver(
    state: &State,
    batcher: &Batcher,
    incarnation: &Incarnation,
    data_centre: &str,
    waiting: Waiting,
    made: Completion,
) {
    let result = match made {
        Completion::Result(handle) => Ok(Output {
            handle,
            endpoint: incarnation.clone(),
            service: batcher.service.clone(),
            data_centre: data_centre.to_owned(),
            bytes: waiting.piece.bytes,
        }),
        Completion::Late => Err(Kind::TimeUp),
        Completion::SourceGone => Err(Kind::StageFailed),
        Completion::NoRoom => return retry(state, batcher, waiting, Kind::Overloaded),
        Completion::Failed => return retry(state, batcher, waiting, Kind::StageFailed),
    };
    if let Err(unclaimed) = waiting.reply.send((waiting.number, result))
        && let (_, Ok(output)) = unclaimed.0
    {
        queue_release(batcher, &[output]);
    }
}

/// Queues a piece for another call if a caller still waits for it and an attempt
/// and a retry are left. Fails it with `kind` otherwise.
fn retry(state: &State, batcher: &Batcher, mut waiting: Waiting, kind: Kind) {
    waiting.attempts += 1;
    let wanted = !waiting.reply.is_closed();
    if wanted && waiting.attempts < MAX_ATTEMPTS && state.try_take_retry(&batcher.service) {
        let (number, reply) = (waiting.number, waiting.reply.clone());
        if !lock(&batcher.inner).enqueue(waiting) {
            drop(reply.send((number, Err(Kind::Overloaded))));
        }
        return;
    }
    // This fails only if no caller waits for the piece any more.
    drop(waiting.reply.send((waiting.number, Err(kind))));
}
