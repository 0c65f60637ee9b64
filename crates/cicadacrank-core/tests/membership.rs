//! Membership: precedence of updates, selection of watchers, and what is sent.

use cicadacrank_core::membership::{Member, Role, State, Table, WATCHERS, is_watcher};
use std::{net::SocketAddr, time::Duration};

fn member(index: u16, incarnation: u64, state: State) -> Member {
    Member {
        name: format!("node-{index:03}"),
        incarnation,
        state,
        role: Role::Sidecar,
        data_centre: format!("dc-{}", index % 4),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + index)),
        operator_address: SocketAddr::from(([127, 0, 0, 1], 5000 + index)),
        endpoints: vec![format!("endpoint-{index}")],
    }
}

fn table(me: u16, count: u16) -> Table {
    let mut table = Table::new(member(me, 1, State::Alive));
    for index in (0..count).filter(|index| *index != me) {
        table.merge(&member(index, 1, State::Alive), Duration::ZERO);
    }
    table
}

#[test]
fn merge_keeps_the_superseding_update() {
    use State::{Alive, Dead, Leaving, Suspect};
    // Known update, new update, resulting update.
    let cases = [
        ((1, Alive), (1, Suspect), (1, Suspect)),
        ((1, Suspect), (1, Alive), (1, Suspect)),
        ((1, Suspect), (2, Alive), (2, Alive)),
        ((1, Leaving), (1, Alive), (1, Leaving)),
        ((1, Dead), (1, Leaving), (1, Dead)),
        ((1, Dead), (2, Alive), (2, Alive)),
        ((5, Alive), (4, Dead), (5, Alive)),
    ];
    for (known, new, stays) in cases {
        let mut table = table(0, 1);
        table.merge(&member(1, known.0, Alive), Duration::ZERO);
        table.merge(&member(1, known.0, known.1), Duration::ZERO);
        table.merge(&member(1, new.0, new.1), Duration::ZERO);
        let update = table.get("node-001").expect("the member is known");
        assert_eq!(
            (update.incarnation, update.state),
            stays,
            "{known:?} {new:?}"
        );
    }
}

#[test]
fn merge_refutes_a_report_about_itself() {
    let mut table = table(0, 2);
    assert!(table.merge(&member(0, 1, State::Suspect), Duration::ZERO));
    assert_eq!(
        (table.local().incarnation, table.local().state),
        (2, State::Alive)
    );
    table.leave(Duration::ZERO);
    table.merge(&member(0, 9, State::Dead), Duration::ZERO);
    assert_eq!(
        table.local().state,
        State::Leaving,
        "a refutation must keep the state"
    );
}

#[test]
fn tick_ends_suspicion_and_forgets_the_dead() {
    let mut table = table(0, 2);
    table.record_failure("node-001", Duration::ZERO);
    table.tick(Table::SUSPICION_TIMEOUT - Duration::from_millis(1));
    assert_eq!(table.others().count(), 1);
    table.tick(Table::SUSPICION_TIMEOUT);
    assert_eq!((table.others().count(), table.dead().count()), (0, 1));
    table.tick(Table::SUSPICION_TIMEOUT + Table::TOMBSTONE_TTL);
    assert_eq!(table.dead().count(), 0);
}

#[test]
fn merge_platform_list_adds_unknown_members_and_ends_none() {
    let mut table = table(0, 3);
    table.merge(&member(2, 1, State::Dead), Duration::ZERO);
    let listed = [
        member(1, 0, State::Leaving),
        member(2, 0, State::Alive),
        member(3, 0, State::Alive),
    ];
    table.merge_platform_list(&listed, Duration::ZERO);
    let states = [1, 2, 3].map(|index| {
        let name = format!("node-{index:03}");
        table.get(&name).map(|known| known.state)
    });
    let expected = [State::Leaving, State::Dead, State::Alive].map(Some);
    assert_eq!(states, expected);
}

#[test]
fn is_watcher_agrees_on_all_members() {
    for count in [1, 2, 8, 64, 390] {
        let watchers = (0..count)
            .filter(|me| is_watcher(&table(*me, count)))
            .count();
        let expected = usize::from(count.min(4)) * WATCHERS;
        assert_eq!(watchers, expected.min(usize::from(count)), "{count}");
    }
}

#[test]
fn repair_is_bounded_and_empty_for_equal_tables() {
    let (ours, theirs) = (table(0, 390), table(1, 390));
    assert_eq!(ours.repair(&theirs.buckets(), 7), []);
    let empty = Table::new(member(1, 1, State::Alive));
    assert_eq!(ours.repair(&empty.buckets(), 7).len(), Table::MAX_REPAIR);
}

#[test]
fn take_changes_ends_after_logarithmically_many_sends() {
    let mut table = table(0, 390);
    let mut send_count = 0;
    while !table.take_changes().is_empty() {
        send_count += 1;
    }
    assert_eq!(send_count, (390_usize * 10).div_ceil(Table::MAX_CHANGES));
}
