//! Tests of accounts: slot time is counted exactly once, under the right key.

use cicadacrank_core::{
    accounting::{Account, Bill, Key, LINES_LIMIT, Ledger, Line, OTHER_TEAM},
    rules,
};
use expect_test::expect;
use rand::RngExt;
use rand_xoshiro::{Xoshiro256PlusPlus, rand_core::SeedableRng};
use std::time::Duration;

const BERGVIK: &str = include_str!("../../../samples/bergvik.rules");

fn key(team: &str) -> Key {
    Key {
        pipeline: "book-room".into(),
        stage: "booking".into(),
        team: team.into(),
    }
}

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn busy_us(account: &Account, team: &str) -> u64 {
    let lines = account.busy.iter();
    let line = lines.filter(|line| line.key.team == team);
    line.map(|line| line.busy_us).sum()
}

#[test]
fn ledger_counts_busy_and_idle() {
    let mut ledger = Ledger::new();
    ledger.tick(4, ms(1000));
    ledger.begin(&key("a"), 4, ms(2000));
    ledger.begin(&key("a"), 4, ms(3000));
    ledger.begin(&key("b"), 4, ms(3000));
    ledger.end(&key("a"), 2, ms(5000));
    let account = ledger.account("e", 7, ms(6000));
    assert_eq!(
        busy_us(&account, "a"),
        1_000_000 + 2 * 2_000_000 + 1_000_000
    );
    assert_eq!(busy_us(&account, "b"), 3_000_000);
    assert_eq!(account.idle_us, 4_000_000 + 3_000_000 + 2_000_000);
    assert_eq!((account.observed_us, account.since_ms), (5_000_000, 7));
}

#[test]
fn ledger_account_is_cumulative() {
    let mut ledger = Ledger::new();
    ledger.begin(&key("a"), 1, ms(0));
    let first = ledger.account("e", 0, ms(10));
    assert_eq!(ledger.account("e", 0, ms(10)), first);
    assert_eq!(busy_us(&ledger.account("e", 0, ms(30)), "a"), 30_000);
    let json = serde_json::to_value(&first).unwrap();
    assert_eq!(serde_json::from_value::<Account>(json).unwrap(), first);
}

#[test]
fn ledger_bounds_its_lines() {
    let mut ledger = Ledger::new();
    for number in 0..=LINES_LIMIT + 10 {
        ledger.begin(&key(&format!("team-{number:05}")), 8, ms(0));
    }
    for number in 0..=LINES_LIMIT + 10 {
        ledger.end(&key(&format!("team-{number:05}")), 8, ms(1));
    }
    let account = ledger.account("e", 0, ms(2));
    assert_eq!(account.busy.len(), LINES_LIMIT + 1);
    assert_eq!(busy_us(&account, OTHER_TEAM), 11 * 1000);
}

#[test]
fn ledger_adds_up_to_slot_time() {
    for seed in 0..50 {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut ledger, mut now, mut open) = (Ledger::new(), ms(0), Vec::new());
        let mut slot_time = Duration::ZERO;
        ledger.tick(8, now);
        for _ in 0..200 {
            let step = ms(random.random_range(0..50));
            slot_time += step * 8;
            now += step;
            let team = key(&format!("t{}", random.random_range(0..3)));
            // The clock read may be older than one already recorded by another
            // thread.
            let late = ms(random.random_range(0..2));
            let now = now.saturating_sub(late);
            if open.len() < 8 && random.random() {
                ledger.begin(&team, 8, now);
                open.push(team);
            } else if let Some(team) = open.pop() {
                ledger.end(&team, 8, now);
            }
        }
        let account = ledger.account("e", 0, now);
        let busy: u64 = account.busy.iter().map(|line| line.busy_us).sum();
        let sum = u128::from(busy + account.idle_us);
        assert_eq!(sum, slot_time.as_micros(), "seed {seed}");
    }
}

#[test]
fn bill_charges_owner_and_team() {
    let definitions = rules::parse(BERGVIK).unwrap();
    let account = |endpoint: &str, since_ms, team: &str, busy_us| Account {
        endpoint: endpoint.into(),
        since_ms,
        observed_us: 0,
        idle_us: 3_600_000_000,
        busy: vec![Line {
            key: key(team),
            busy_us,
        }],
    };
    let bill = Bill::new(
        &definitions,
        &[
            account("booking-desk-01", 1, "counter", 1_800_000_000),
            account("booking-desk-01", 2, "counter", 1_800_000_000),
            account("booking-desk-02", 1, "council", 7_200_000_000),
            account("samovar-llm-01", 1, "counter", 3_600_000_000),
            account("gone", 1, "counter", 1),
        ],
    );
    let mut text = String::new();
    for row in &bill.busy {
        text += &format!(
            "{} {} {} {} {}\n",
            row.owner, row.team, row.lent, row.slot_us, row.cost_micro
        );
    }
    for row in &bill.idle {
        text += &format!(
            "{} {} {} {}\n",
            row.pool, row.owner, row.slot_us, row.cost_micro
        );
    }
    expect![[r#"
        tehus counter false 3600000000 400000
        torg council false 7200000000 120000
        torg counter true 3600000000 60000
        booking-desk torg 10800000000 120000
        samovar-llm tehus 3600000000 250000
    "#]]
    .assert_eq(&text);
    assert_eq!(bill.unknown_endpoints, ["gone"]);
}
