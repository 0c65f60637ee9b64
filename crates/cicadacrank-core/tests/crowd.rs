//! Tests of which connections are closed when memory or descriptors are short.

use cicadacrank_core::crowd::{BLOCKED_TIME, Connection, Need, Phase, STALL_TIME, victim};
use std::time::Duration;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a connection that has been in a phase since a time.
fn connection(phase: Phase, since: Duration) -> Connection {
    let mut connection = Connection::new(Duration::ZERO);
    connection.enter(phase, since);
    connection
}

/// Returns a connection of which a part of a body has arrived.
fn body(begun: Duration, bytes: usize, since: Duration) -> Connection {
    let mut connection = connection(Phase::Body { begun, bytes: 0 }, begun);
    connection.record_body(bytes, since);
    connection.held_bytes = bytes;
    connection
}

#[test]
fn victim_is_the_connection_that_is_behind_for_the_longest_time() {
    let rows = [
        (0, connection(Phase::Idle, seconds(7))),
        (1, connection(Phase::Head, seconds(3))),
        (2, body(seconds(4), 1 << 20, seconds(5))),
        (3, connection(Phase::Blocked, seconds(6))),
    ];
    assert_eq!(victim(rows, Need::Connection, seconds(8)), Some(1));
    assert_eq!(victim(rows, Need::Body, seconds(8)), Some(2));
}

#[test]
fn victim_is_no_request_at_work() {
    let rows = [(0, connection(Phase::Working, Duration::ZERO))];
    assert_eq!(victim(rows, Need::Connection, seconds(3_600)), None);
}

#[test]
fn victim_is_no_connection_that_has_just_made_progress() {
    let now = seconds(8);
    let phases = [
        (Phase::Idle, STALL_TIME),
        (Phase::Head, STALL_TIME),
        (Phase::Discarding, STALL_TIME),
        (Phase::Blocked, BLOCKED_TIME),
    ];
    for (phase, time) in phases {
        let recent = connection(phase, now - time / 2);
        assert_eq!(victim([(0, recent)], Need::Connection, now), None);
        let stalled = connection(phase, now - time);
        assert_eq!(victim([(0, stalled)], Need::Connection, now), Some(0));
    }
}

/// A caller that has sent requests of a known team keeps its connection beside a crowd that
/// has sent none.
#[test]
fn victim_has_carried_no_request_of_a_known_team() {
    let mut known = connection(Phase::Idle, Duration::ZERO);
    known.is_known = true;
    let rows = [(0, known), (1, connection(Phase::Head, seconds(7)))];
    assert_eq!(victim(rows, Need::Connection, seconds(8)), Some(1));
    assert_eq!(victim([(0, known)], Need::Connection, seconds(8)), Some(0));
}

/// A body that trickles in makes progress all the time, but keeps its memory for hours.
#[test]
fn lag_grows_with_a_body_that_trickles() {
    let mut slow = body(Duration::ZERO, 0, Duration::ZERO);
    let mut steady = slow;
    for tenth in 0..100 {
        let now = Duration::from_millis(tenth * 100);
        slow.record_body(1, now);
        steady.record_body(4 << 10, now);
    }
    assert!(slow.lag(seconds(10)).is_some());
    assert_eq!(steady.lag(seconds(10)), None, "40 KiB a second");
}

/// Bytes that came quickly earn no time without any.
#[test]
fn lag_grows_with_a_body_that_stops_short() {
    let stopped = body(Duration::ZERO, 4 << 20, seconds(1));
    assert_eq!(stopped.lag(seconds(1)), None);
    assert_eq!(stopped.lag(seconds(3)), Some(seconds(2) - STALL_TIME));
}
