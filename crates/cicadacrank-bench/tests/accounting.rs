//! Accounts of a sidecar are kept in the platform and counted once.

use cicadacrank_bench::memory::{Store, booking};
use cicadacrank_core::{
    accounting::{Line, Share, Statement},
    rules,
};
use cicadacrank_node::{
    accounting::{Accounts, Writer},
    clock::Clock,
    platform::Collection,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

const ENDPOINT: &str = "booking-desk-01";

/// Slots of the endpoint in the sample.
const SLOTS: u64 = 16;

fn accounts(incarnation: u64) -> Arc<Accounts> {
    let text = include_str!("../../../samples/bergvik.rules");
    let accounts = Accounts::new([ENDPOINT].into_iter(), Clock::new());
    let accounts = accounts.with_incarnation(incarnation);
    accounts.set_rates(&rules::parse(text).expect("the sample is valid"));
    Arc::new(accounts)
}

fn writer(accounts: &Arc<Accounts>, store: &Store) -> Writer {
    Writer::new(Arc::clone(accounts), Arc::new(store.clone()), "sidecar-1")
}

fn stored(store: &Store) -> Vec<Line> {
    let object = store.state().get(Collection::Accounts, "sidecar-1");
    let spec = object.expect("an account").spec;
    let statement: Statement = serde_json::from_value(spec).expect("a statement");
    statement.lines()
}

fn seconds(lines: &[Line], wanted: impl Fn(&Share) -> bool) -> u64 {
    let lines = lines.iter().filter(|line| wanted(&line.share));
    lines.map(|line| line.slot_us).sum::<u64>() / 1_000_000
}

#[tokio::test(start_paused = true)]
async fn write_counts_once_over_restarts() {
    let store = Store::new();
    for incarnation in 1..=3 {
        let accounts = accounts(incarnation);
        let writer = writer(&accounts, &store);
        let job = booking(ENDPOINT, 1, "key", 0, 1_000);
        let entry = Accounts::charge(&accounts, &job, true);
        time::advance(Duration::from_secs(5)).await;
        writer.write().await;
        writer.write().await;
        drop(entry);
        time::advance(Duration::from_secs(5)).await;
        writer.write().await;
    }
    let lines = stored(&store);
    let borrowed = |share: &Share| matches!(share, Share::Busy { borrowed: true, .. });
    assert_eq!(seconds(&lines, borrowed), 15);
    assert_eq!(
        seconds(&lines, |_| true),
        30 * SLOTS,
        "wall time of the slots"
    );
    assert!(lines.iter().all(|line| line.owner == "torg"));
}

#[tokio::test(start_paused = true)]
async fn write_survives_faults_of_the_platform() {
    let store = Store::new();
    let accounts = accounts(1);
    let writer = writer(&accounts, &store);
    let began = Instant::now();
    time::advance(Duration::from_secs(10)).await;
    store.state().faults.lose_answers = 1;
    writer.write().await;
    writer.write().await;
    let other = self::accounts(2);
    let other_began = Instant::now();
    time::advance(Duration::from_secs(10)).await;
    let wall = other_began.elapsed();
    self::writer(&other, &store).write().await;
    store.state().faults.down = true;
    writer.write().await;
    store.state().faults.down = false;
    let wall = wall + began.elapsed();
    writer.write().await;
    let lines = stored(&store);
    let expected = wall.as_secs() * SLOTS;
    assert_eq!(seconds(&lines, |_| true), expected, "wall time of both");
}

#[tokio::test(start_paused = true)]
async fn run_makes_few_calls() {
    let store = Store::new();
    let writer = writer(&accounts(1), &store);
    let calls = |store: &Store| {
        let counts = store.state().counts;
        counts.gets + counts.writes
    };
    let bound = Duration::from_millis(60_500);
    assert!(
        time::timeout(bound, writer.run()).await.is_err(),
        "it never ends"
    );
    assert_eq!(calls(&store), 7, "one read, then a write every ten seconds");
}
