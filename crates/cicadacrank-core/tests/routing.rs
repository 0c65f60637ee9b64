//! Tests of the routing table.

use cicadacrank_core::{
    admission::NameHash,
    routing::{
        MAX_BACKOFF, MAX_UNANSWERED, MIN_BACKOFF, Query, REPORT_TTL, Report, SILENCE_TIMEOUT, Table,
    },
    rules,
};
use std::{net::SocketAddr, time::Duration};

const START: Duration = Duration::from_secs(100);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn report(in_flight: u32, queued: u32, slots: u32) -> Report {
    Report {
        in_flight,
        queued,
        slots,
    }
}

/// Returns a table with the endpoints `near-1`, `near-2` and `far-1` of one
/// pool.
fn table() -> Table {
    let mut table = Table::default();
    for (port, name) in (1..).zip(["near-1", "near-2", "far-1"]) {
        let data_centre = name
            .split('-')
            .next()
            .expect("the name has a data centre prefix");
        table.insert(name, "pool", data_centre, address(port));
    }
    table
}

fn choose(table: &Table, tried: &[&str], random: u64, now: Duration) -> Option<String> {
    let tried: Vec<NameHash> = tried.iter().map(|name| NameHash::new(name)).collect();
    let query = Query {
        pool: NameHash::new("pool"),
        data_centre: NameHash::new("near"),
        tried: &tried,
    };
    let choice = table.choose(query, random, now)?;
    Some(choice.name.to_string())
}

/// Returns all endpoints that are chosen for at least one random number.
fn choices(table: &Table, now: Duration) -> Vec<String> {
    let draws = (0..8u64).flat_map(|one| (0..8).map(move |two| one | two << 16));
    let mut names: Vec<String> = draws
        .filter_map(|random| choose(table, &[], random, now))
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn choose_prefers_own_data_centre_and_spills_by_load() {
    // Requests in flight at near-1, near-2 and far-1, which have four slots
    // each, and the endpoints that are chosen.
    let cases = [
        ([0, 0, 0], vec!["near-1", "near-2"]),
        ([3, 3, 0], vec!["near-1", "near-2"]),
        ([3, 1, 0], vec!["near-2"]),
        ([4, 4, 3], vec!["far-1"]),
        ([4, 4, 5], vec!["near-1", "near-2"]),
    ];
    for (work, expected) in cases {
        let mut table = table();
        for (name, work) in ["near-1", "near-2", "far-1"].into_iter().zip(work) {
            table.record_report(NameHash::new(name), report(work, 0, 4), START);
        }
        assert_eq!(choices(&table, START), expected, "{work:?}");
    }
}

#[test]
fn choose_counts_own_attempts_since_the_report() {
    let mut table = table();
    table.record_report(NameHash::new("near-1"), report(1, 0, 4), START);
    table.record_report(NameHash::new("near-2"), report(0, 0, 4), START);
    for _ in 0..2 {
        table.begin_attempt(NameHash::new("near-2"), START);
    }
    assert_eq!(choices(&table, START), ["near-1"]);
    table.end_attempt(NameHash::new("near-2"));
    table.end_attempt(NameHash::new("near-2"));
    assert_eq!(choices(&table, START), ["near-2"]);
}

#[test]
fn choose_ignores_an_expired_report() {
    let mut table = table();
    table.record_report(NameHash::new("near-1"), report(2, 1, 4), START);
    table.record_report(NameHash::new("near-2"), report(0, 0, 4), START);
    assert_eq!(choices(&table, START), ["near-2"]);
    let later = START + REPORT_TTL;
    assert_eq!(choices(&table, later), ["near-1", "near-2"]);
}

#[test]
fn choose_skips_endpoints_already_tried() {
    let table = table();
    let tried = ["near-1", "near-2", "far-1"];
    let last = choose(&table, &tried[..2], 0, START);
    assert_eq!(last.as_deref(), Some("far-1"));
    assert_eq!(choose(&table, &tried, 0, START), None);
}

#[test]
fn next_available_returns_the_end_of_the_earliest_backoff() {
    let mut table = table();
    let (pool, near, far) = (
        NameHash::new("pool"),
        NameHash::new("near-1"),
        NameHash::new("far-1"),
    );
    table.back_off(near, START);
    table.back_off(NameHash::new("near-2"), START + MIN_BACKOFF);
    table.back_off(far, START + MIN_BACKOFF);
    assert_eq!(choose(&table, &[], 0, START + MIN_BACKOFF / 2), None);
    assert_eq!(table.next_available(pool), Some(START + MIN_BACKOFF));
    assert!(choose(&table, &[], 0, START + MIN_BACKOFF).is_some());
    assert_eq!(table.next_available(NameHash::new("other")), None);
}

#[test]
fn choose_sends_a_bounded_number_to_a_dead_sidecar() {
    // The sidecar either refuses every attempt or never responds. Over ten
    // minutes, an attempt is offered every ten milliseconds.
    let span = Duration::from_secs(600);
    let doublings = (MAX_BACKOFF.as_millis() / MIN_BACKOFF.as_millis()).ilog2();
    let probes = u64::from(doublings) + span.as_secs() / MAX_BACKOFF.as_secs();
    let before_silence = u64::from(MAX_UNANSWERED).max(1 + SILENCE_TIMEOUT.as_millis() as u64 / 10);
    let cases = [(true, 1 + probes), (false, before_silence + probes)];
    for (refuses, bound) in cases {
        let mut table = Table::default();
        table.insert("dead", "pool", "near", address(1));
        let mut sent = 0;
        for tick in 0..60_000 {
            let now = START + Duration::from_millis(10) * tick;
            if choose(&table, &[], 0, now).is_some() {
                sent += 1;
                table.begin_attempt(NameHash::new("dead"), now);
                if refuses {
                    table.end_attempt(NameHash::new("dead"));
                    table.back_off(NameHash::new("dead"), now);
                }
            }
        }
        assert!(sent <= bound, "{sent} attempts, bound {bound}");
        let now = START + span + MAX_BACKOFF;
        table.record_report(NameHash::new("dead"), report(0, 0, 4), now);
        assert!(
            choose(&table, &[], 0, now).is_some(),
            "a report makes the endpoint available again"
        );
    }
}

#[test]
fn adopt_excludes_taken_out_endpoints_immediately() {
    let sample = include_str!("../../../samples/bergvik.rules");
    let mut definitions = rules::parse(sample).expect("the sample is valid");
    let pool = definitions.endpoints[0].pool;
    let pool_name = definitions[pool].name.clone();
    let mut table = Table::default();
    for endpoint in &definitions.endpoints {
        let data_centre = &definitions[endpoint.data_centre].name;
        table.insert(
            &endpoint.name,
            &definitions[endpoint.pool].name,
            data_centre,
            address(1),
        );
    }
    let gone = definitions.endpoints[0].data_centre;
    let gone_name = definitions[gone].name.clone();
    let query = Query {
        pool: NameHash::new(&pool_name),
        data_centre: NameHash::new(&gone_name),
        tried: &[],
    };
    let is_there = |table: &Table| {
        let choice = table
            .choose(query, 0, START)
            .expect("the pool has an available endpoint");
        let key = definitions
            .endpoint(&choice.name)
            .expect("the endpoint is in the rules");
        definitions[key].data_centre == gone
    };
    assert!(
        is_there(&table),
        "the data centre of the entry is preferred"
    );
    let mut newer = definitions.clone();
    newer.data_centres[gone.index()].taken_out = true;
    table.adopt(2, &newer);
    assert!(!is_there(&table), "generation 2 takes the data centre out");
    table.adopt(1, &definitions);
    assert!(!is_there(&table), "an older generation is ignored");
    table.adopt(3, &definitions);
    assert!(is_there(&table), "generation 3 brings the data centre back");
    definitions.endpoints.clear();
    table.adopt(4, &definitions);
    assert_eq!(table.choose(query, 0, START), None);
}

#[test]
fn home_moves_only_the_shards_of_an_endpoint_that_cannot_take_them() {
    type Change = fn(&mut Table);
    let shards: Vec<String> = (0..64).map(|shard| format!("shard-{shard}")).collect();
    let homes = |table: &Table, tried: &[NameHash]| -> Vec<Option<NameHash>> {
        let query = Query {
            pool: NameHash::new("pool"),
            data_centre: NameHash::new("near"),
            tried,
        };
        let home = |shard: &String| table.home(query, shard, START);
        let homes = shards.iter().map(home);
        homes.map(|home| home.map(|one| one.endpoint)).collect()
    };
    let lost = NameHash::new("near-2");
    let whole = homes(&table(), &[]);
    let own = whole.iter().filter(|home| **home == Some(lost)).count();
    assert!(
        (10..34).contains(&own),
        "{own} of 64 shards have their home at one of three endpoints"
    );
    // Label, change to near-2, endpoints already tried, and whether the shards
    // of near-2 get another home.
    let cases: [(&str, Change, &[NameHash], bool); 5] = [
        (
            "gone",
            |table| table.retain(|name| name != "near-2"),
            &[],
            true,
        ),
        (
            "backed off",
            |table| table.back_off(NameHash::new("near-2"), START),
            &[],
            true,
        ),
        ("tried", |_| {}, &[lost], true),
        (
            "silent",
            |table| table.record_silence(NameHash::new("near-2"), START),
            &[],
            false,
        ),
        (
            "full",
            |table| table.record_report(NameHash::new("near-2"), report(4, 0, 4), START),
            &[],
            false,
        ),
    ];
    for (name, change, tried, moves) in cases {
        let mut table = table();
        change(&mut table);
        for (before, after) in whole.iter().zip(homes(&table, tried)) {
            if *before == Some(lost) {
                assert_eq!(after.is_some(), moves, "{name}");
                assert_ne!(after, Some(lost), "{name}");
            } else {
                assert_eq!(after, *before, "{name}");
            }
        }
    }
}
