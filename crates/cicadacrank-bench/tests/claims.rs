//! Claims in shards and pages, stored on the in-memory platform.

use cicadacrank_bench::memory::Store;
use cicadacrank_core::{
    error::Kind,
    id,
    once::{Name, Outcome, SHARD_BYTES, SHARDS},
};
use cicadacrank_node::{
    clock::Clock,
    platform::Collection,
    sidecar::{Acquisition, Claims, Handle},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

const CLAIM_TTL: Duration = Duration::from_secs(3_600);

/// Number of claims; enough that shards move claims to pages.
const CLAIMS: u64 = 300 * SHARDS as u64;

fn claims(store: &Store) -> Claims {
    Claims::new(Arc::new(store.clone()), Clock::new(), CLAIM_TTL)
}

fn name(number: u64) -> Name {
    Name::new("portal", "book-room", "booking", &number.to_string())
}

async fn acquire(claims: &Claims, number: u64, attempt: u64) -> Option<Acquisition> {
    let attempt = id::Attempt::new(attempt.into()).to_string();
    let (attempt, unsent) = claims.begin(&attempt).ok()?;
    let deadline = Instant::now() + Duration::from_secs(10);
    let acquisition = claims.acquire(name(number), attempt, "digest", deadline, unsent);
    Some(acquisition.await.ok()?.0)
}

/// Acquires the claims numbered below `count` concurrently, records an output of
/// `output_length` characters for each, and returns how many were acquired.
async fn record_claims(claims: &Claims, count: u64, output_length: usize) -> u64 {
    let mut tasks = Vec::new();
    for number in 0..count {
        let claims = claims.clone();
        tasks.push(tokio::spawn(async move {
            let Some(Acquisition::Held(handle)) = acquire(&claims, number, number).await else {
                return 0;
            };
            let output = format!("{number:output_length$}");
            claims.record(handle, Outcome::Answer { output }).await;
            1
        }));
    }
    let mut acquired = 0;
    for task in tasks {
        acquired += task.await.expect("the task does not panic");
    }
    acquired
}

fn object_sizes(store: &Store) -> Vec<usize> {
    let listing = store.state().list(Collection::Claims);
    let objects = listing.objects.iter();
    objects
        .map(|object| object.spec.to_string().len())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn acquire_replays_from_pages_in_another_process() {
    let store = Store::new();
    assert_eq!(record_claims(&claims(&store), CLAIMS, 200).await, CLAIMS);
    assert!(
        object_sizes(&store).len() > SHARDS,
        "some claims moved to pages"
    );
    let other = claims(&store);
    for number in (0..CLAIMS).step_by(97) {
        let acquisition = acquire(&other, number, CLAIMS + number).await;
        let Some(Acquisition::Replay(Outcome::Answer { output })) = acquisition else {
            panic!("claim {number}: {acquisition:?}");
        };
        assert_eq!(output.trim(), number.to_string());
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_replaces_expired_claims() {
    let store = Store::new();
    let claims = claims(&store);
    record_claims(&claims, CLAIMS, 200).await;
    time::sleep(CLAIM_TTL * 2).await;
    for number in (0..CLAIMS).step_by(7) {
        let acquisition = acquire(&claims, number, CLAIMS + number).await;
        assert!(
            matches!(acquisition, Some(Acquisition::Held(_))),
            "claim {number}: {acquisition:?}"
        );
    }
    time::sleep(Duration::from_secs(60)).await;
    assert_eq!(object_sizes(&store).len(), SHARDS, "the pages are deleted");
}

#[tokio::test(start_paused = true)]
async fn record_keeps_objects_within_their_limit() {
    let store = Store::new();
    let count = 30 * SHARDS as u64;
    assert_eq!(record_claims(&claims(&store), count, 60 << 10).await, count);
    let largest = object_sizes(&store).into_iter().max();
    assert!(
        largest.is_some_and(|size| size <= SHARD_BYTES),
        "largest object: {largest:?} bytes"
    );
}

/// Acquires a claim, and returns the error kind if that fails.
async fn try_acquire(claims: &Claims, number: u64, attempt: u64) -> Result<Acquisition, Kind> {
    let attempt = id::Attempt::new(attempt.into()).to_string();
    let (attempt, unsent) = claims.begin(&attempt).expect("the attempt is new");
    let deadline = Instant::now() + Duration::from_secs(10);
    let acquisition = claims.acquire(name(number), attempt, "digest", deadline, unsent);
    let acquisition = acquisition.await.map_err(|error| error.kind())?;
    Ok(acquisition.0)
}

async fn hold(claims: &Claims, number: u64, attempt: u64) -> Handle {
    match try_acquire(claims, number, attempt).await {
        Ok(Acquisition::Held(handle)) => handle,
        other => panic!("claim {number} is not free: {other:?}"),
    }
}

async fn record(claims: &Claims, handle: Handle) {
    let output = "kept".to_owned();
    claims.record(handle, Outcome::Answer { output }).await;
}

fn is_replay(acquisition: &Result<Acquisition, Kind>) -> bool {
    matches!(
        acquisition,
        Ok(Acquisition::Replay(Outcome::Answer { output })) if output == "kept"
    )
}

// Guards against work that runs twice, because the claim of its recorded run was lost
// when the platform came back from a copy.
#[tokio::test(start_paused = true)]
async fn acquire_replays_an_outcome_that_a_restore_lost() {
    for earlier in [0, CLAIMS] {
        let store = Store::new();
        let (holder, other) = (claims(&store), claims(&store));
        assert_eq!(record_claims(&holder, earlier, 200).await, earlier);
        let copy = store.state().save();
        let handle = hold(&holder, CLAIMS, CLAIMS).await;
        record(&holder, handle).await;
        store.state().restore(&copy);
        let again = try_acquire(&other, CLAIMS, CLAIMS + 1).await;
        assert!(is_replay(&again), "after {earlier} claims: {again:?}");
    }
}

// Guards against the same for work that still runs, or whose claim the copy holds as
// not sent by an earlier attempt.
#[tokio::test(start_paused = true)]
async fn acquire_waits_for_a_holder_whose_claim_a_restore_lost() {
    for was_released in [false, true] {
        let store = Store::new();
        let (holder, other) = (claims(&store), claims(&store));
        if was_released {
            let handle = hold(&other, 0, 0).await;
            let (_, unsent) = other
                .begin(&id::Attempt::new(1).to_string())
                .expect("the attempt is new");
            other.release(handle, &unsent).await;
        }
        let copy = store.state().save();
        let handle = hold(&holder, 0, 2).await;
        store.state().restore(&copy);
        let again = try_acquire(&other, 0, 3).await;
        let kind = again.expect_err("the work runs at its holder");
        assert_eq!(kind, Kind::OutcomeUnknown, "released: {was_released}");
        record(&holder, handle).await;
        let again = try_acquire(&other, 0, 4).await;
        assert!(is_replay(&again), "released: {was_released}: {again:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_goes_on_after_a_restore() {
    let store = Store::new();
    let (one, other) = (claims(&store), claims(&store));
    record_claims(&one, CLAIMS, 200).await;
    let copy = store.state().save();
    store.state().restore(&copy);
    for (claims, number) in [(&one, CLAIMS), (&other, CLAIMS + 1)] {
        let handle = hold(claims, number, number).await;
        record(claims, handle).await;
    }
    let again = try_acquire(&other, CLAIMS, 2 * CLAIMS).await;
    assert!(is_replay(&again), "{again:?}");
}

// Guards against a process that makes no claim for good, because the era of the platform
// was known before it began to follow it.
#[tokio::test(start_paused = true)]
async fn acquire_goes_on_in_a_process_that_starts_after_a_restore() {
    let store = Store::new();
    let copy = store.state().save();
    store.state().restore(&copy);
    for number in 0..2 {
        let started = claims(&store);
        let handle = hold(&started, number, number).await;
        record(&started, handle).await;
    }
}
