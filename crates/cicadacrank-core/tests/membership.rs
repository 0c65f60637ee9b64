//! Membership: whose word counts, who watches, what is sent.

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
fn merge_lets_the_greater_word_count() {
    use State::{Alive, Dead, Leaving, Suspect};
    // Known word, new word, word that stays.
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
        let word = table.get("node-001").expect("known");
        assert_eq!((word.incarnation, word.state), stays, "{known:?} {new:?}");
    }
}

#[test]
fn merge_refutes_a_word_against_itself() {
    let mut table = table(0, 2);
    assert!(table.merge(&member(0, 1, State::Suspect), Duration::ZERO));
    assert_eq!(
        (table.me().incarnation, table.me().state),
        (2, State::Alive)
    );
    table.leave(Duration::ZERO);
    table.merge(&member(0, 9, State::Dead), Duration::ZERO);
    assert_eq!(
        table.me().state,
        State::Leaving,
        "a refutation says no more"
    );
}

#[test]
fn tick_ends_suspicion_and_forgets_the_dead() {
    let mut table = table(0, 2);
    table.fail("node-001", Duration::ZERO);
    table.tick(Table::SUSPICION - Duration::from_millis(1));
    assert_eq!(table.others().count(), 1);
    table.tick(Table::SUSPICION);
    assert_eq!((table.others().count(), table.dead().count()), (0, 1));
    table.tick(Table::SUSPICION + Table::TOMBSTONE);
    assert_eq!(table.dead().count(), 0);
}

#[test]
fn list_brings_in_strangers_and_ends_none() {
    let mut table = table(0, 3);
    table.merge(&member(2, 1, State::Dead), Duration::ZERO);
    let listed = [
        member(1, 0, State::Leaving),
        member(2, 0, State::Alive),
        member(3, 0, State::Alive),
    ];
    table.list(&listed, Duration::ZERO);
    let states = [1, 2, 3].map(|index| {
        let name = format!("node-{index:03}");
        table.get(&name).map(|known| known.state)
    });
    let expected = [State::Leaving, State::Dead, State::Alive].map(Some);
    assert_eq!(states, expected);
}

#[test]
fn is_watcher_picks_the_same_few_everywhere() {
    for count in [1, 2, 8, 64, 390] {
        let watchers = (0..count)
            .filter(|me| is_watcher(&table(*me, count)))
            .count();
        let expected = usize::from(count.min(4)) * WATCHERS;
        assert_eq!(watchers, expected.min(usize::from(count)), "{count}");
    }
}

#[test]
fn repair_is_bounded_and_empty_when_alike() {
    let (ours, theirs) = (table(0, 390), table(1, 390));
    assert_eq!(ours.repair(&theirs.buckets(), 7), []);
    let empty = Table::new(member(1, 1, State::Alive));
    assert_eq!(ours.repair(&empty.buckets(), 7).len(), Table::REPAIR);
}

#[test]
fn take_hot_ends_after_logarithmically_many_sends() {
    let mut table = table(0, 390);
    let mut sends = 0;
    while !table.take_hot().is_empty() {
        sends += 1;
    }
    assert_eq!(sends, (390_usize * 10).div_ceil(Table::HOT));
}
