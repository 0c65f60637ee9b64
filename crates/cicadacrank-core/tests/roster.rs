//! Rosters: liveness, ownership and shares of gateways.

use cicadacrank_core::roster::{Gateway, LIVE_TIMEOUT, RETENTION, Roster};
use std::time::Duration;

fn gateway(instance: &str) -> Gateway {
    Gateway {
        instance: instance.to_owned(),
        incarnation: 1,
        address: format!("{instance}:1"),
        leaving: false,
    }
}

fn roster(me: &str, others: &[&str]) -> Roster {
    let mut roster = Roster::new(gateway(me));
    for other in others {
        roster.record_contact(gateway(other), Duration::ZERO);
    }
    roster
}

fn owner(roster: &Roster, service: usize, now: Duration) -> String {
    let owner = roster.owner(service, now).unwrap_or_else(|| roster.local());
    owner.instance.clone()
}

#[test]
fn owner_is_the_same_for_all_that_see_the_same() {
    let names = ["a", "b", "c", "d"];
    for service in 0..9 {
        let owners: Vec<String> = names
            .iter()
            .map(|me| {
                let others: Vec<&str> = names.iter().filter(|one| *one != me).copied().collect();
                owner(&roster(me, &others), service, Duration::ZERO)
            })
            .collect();
        assert!(owners.iter().all(|one| *one == owners[0]), "{owners:?}");
    }
}

#[test]
fn owner_is_never_silent_or_leaving() {
    let mut roster = roster("b", &["a"]);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "a");
    assert_eq!(owner(&roster, 0, LIVE_TIMEOUT), "b");
    roster.record_contact(
        Gateway {
            leaving: true,
            ..gateway("a")
        },
        LIVE_TIMEOUT,
    );
    assert_eq!(owner(&roster, 0, LIVE_TIMEOUT), "b");
}

#[test]
fn restarted_gateway_is_not_leaving_any_more() {
    let mut roster = roster("b", &[]);
    let leaving = Gateway {
        leaving: true,
        ..gateway("a")
    };
    roster.record_contact(leaving, Duration::ZERO);
    // Outdated gossip does not undo an announcement of the same incarnation.
    roster.learn(gateway("a"), Duration::ZERO);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "b");
    let restarted = Gateway {
        incarnation: 2,
        ..gateway("a")
    };
    roster.record_contact(restarted, Duration::ZERO);
    assert_eq!(owner(&roster, 0, Duration::ZERO), "a");
}

#[test]
fn shares_count_silent_gateways_until_they_are_forgotten() {
    let mut roster = roster("b", &["a", "c"]);
    assert_eq!(roster.shares(LIVE_TIMEOUT * 3), (3, 1));
    assert_eq!(roster.shares(RETENTION), (1, 0));
}

#[test]
fn record_failure_reports_a_loss_once() {
    let mut roster = roster("b", &["a"]);
    assert!(roster.record_failure("a", Duration::ZERO));
    assert!(!roster.record_failure("a", Duration::ZERO));
    assert!(roster.record_contact(gateway("a"), Duration::ZERO));
}
