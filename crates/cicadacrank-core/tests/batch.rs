//! Tests for batching under different load patterns.

use cicadacrank_core::{
    batch::{Call, Expired, MAX_WAITING, Outcome, Piece, Pool, Results, Ticket},
    config::Worker,
    directory::Incarnation,
};
use std::time::Duration;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

const WORKER: Worker = Worker {
    slots: 1,
    queue: 2,
    batch: 10,
    call_time: ms(200),
    piece_time: ms(10),
    room_bytes: 100,
    result_life: ms(4_000),
};

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born: Some(1),
    }
}

fn pool(endpoints: &[(&str, &str)]) -> Pool {
    let mut pool = Pool::new(WORKER);
    let incarnations: Vec<_> = endpoints
        .iter()
        .map(|one| (incarnation(one.0), one.1))
        .collect();
    pool.set_endpoints(
        incarnations
            .iter()
            .map(|(incarnation, data_centre)| (incarnation, *data_centre)),
    );
    pool
}

fn piece(ticket: u64, job: u64, due: u64) -> Piece {
    Piece {
        ticket: Ticket(ticket),
        job,
        due: ms(due),
        expires: ms(due + 2_000),
        rank: 0,
        bytes: 0,
        near: None,
        deferrable: true,
        begun: true,
    }
}

fn tickets(call: &Call) -> Vec<u64> {
    call.tickets.iter().map(|ticket| ticket.0).collect()
}

fn answered(held: u64) -> (Outcome, Results) {
    (Outcome::Answered, Results { held, refused: 0 })
}

fn end(pool: &mut Pool, call: &Call, (outcome, results): (Outcome, Results), now: Duration) {
    pool.end(call, outcome, results, now);
}

#[test]
fn next_call_gathers_pieces_while_busy() {
    let mut pool = pool(&[("a", "x")]);
    assert!(pool.add(piece(1, 1, 1_000)));
    let first = pool.next_call(ms(0)).expect("the endpoint is free");
    for ticket in 2..8 {
        assert!(pool.add(piece(ticket, ticket, 1_000)));
    }
    assert_eq!(pool.next_call(ms(50)), None);
    end(&mut pool, &first, answered(0), ms(210));
    let second = pool.next_call(ms(210)).expect("the endpoint is free again");
    assert_eq!(tickets(&second), [2, 3, 4, 5, 6, 7]);
}

#[test]
fn burst_of_pressing_pieces_fills_calls() {
    let mut pool = pool(&[("a", "x")]);
    // Each piece can be on time if it is called alone. A call with only the
    // pieces that stay on time would spend its fixed cost on few of them.
    for ticket in 0..40 {
        assert!(pool.add(piece(ticket, ticket, 215 + ticket)));
    }
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(call.tickets.len(), WORKER.batch);
}

#[test]
fn burst_leaves_late_pieces_behind_those_on_time() {
    let mut pool = pool(&[("a", "x")]);
    for ticket in 0..10 {
        assert!(pool.add(piece(ticket, ticket, 100)));
    }
    for ticket in 10..20 {
        assert!(pool.add(piece(ticket, ticket, 900)));
    }
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(tickets(&call), (10..20).collect::<Vec<_>>());
}

#[test]
fn quiet_call_takes_no_late_piece_that_delays_one_on_time() {
    let mut pool = pool(&[("a", "x")]);
    assert!(pool.add(piece(1, 1, 215)));
    assert!(pool.add(piece(2, 2, 50)));
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(tickets(&call), [1]);
}

#[test]
fn burst_with_little_memory_keeps_jobs_whole() {
    let mut pool = pool(&[("a", "x")]);
    for job in 0..4 {
        for number in 0..4 {
            let piece = Piece {
                bytes: 15,
                ..piece(job * 4 + number, job, 5_000)
            };
            assert!(pool.add(piece));
        }
    }
    // There is memory for six results, which is one and a half jobs.
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(tickets(&call), [0, 1, 2, 3]);
}

#[test]
fn restart_counts_only_results_that_are_held() {
    let mut pool = pool(&[("a", "x")]);
    for ticket in 0..8 {
        let piece = Piece {
            bytes: 12,
            ..piece(ticket, ticket, 5_000)
        };
        assert!(pool.add(piece));
    }
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(call.tickets.len(), 8);
    // Results of an earlier run of this process still occupy the memory.
    let refused = Results {
        held: 0,
        refused: 96,
    };
    pool.end(&call, Outcome::Answered, refused, ms(280));
    for ticket in 8..16 {
        let piece = Piece {
            bytes: 12,
            ..piece(ticket, ticket, 5_000)
        };
        assert!(pool.add(piece));
    }
    assert_eq!(pool.next_call(ms(300)), None);
    let call = pool
        .next_call(ms(600))
        .expect("the memory is available again");
    assert_eq!(call.tickets.len(), 8);
}

#[test]
fn release_frees_memory() {
    let mut pool = pool(&[("a", "x")]);
    let heavy = |ticket| Piece {
        bytes: 60,
        ..piece(ticket, ticket, 5_000)
    };
    assert!(pool.add(heavy(1)));
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    end(&mut pool, &call, answered(60), ms(210));
    assert!(pool.add(heavy(2)));
    assert_eq!(pool.next_call(ms(210)), None);
    pool.release(&incarnation("a"), 60);
    assert!(pool.next_call(ms(210)).is_some());
}

#[test]
fn overload_returns_pieces_that_expire_before_their_turn() {
    let mut pool = pool(&[("a", "x")]);
    // These are eight full calls of 300 ms each. Those after the seventh
    // expire.
    for ticket in 0..80 {
        assert!(pool.add(piece(ticket, ticket, 100)));
    }
    let expired = pool.expire(ms(0));
    assert_eq!(expired.len(), 10);
    assert!(expired.contains(&Expired(Ticket(79))));
    assert_eq!(pool.len(), 70);
}

#[test]
fn slow_endpoint_is_idle_while_a_faster_one_finishes_sooner() {
    let mut pool = pool(&[("a", "x"), ("b", "x")]);
    assert!(pool.add(piece(1, 1, 9_000)));
    let call = pool.next_call(ms(0)).expect("both endpoints are free");
    assert_eq!(call.endpoint, incarnation("a"));
    end(&mut pool, &call, answered(0), ms(2_000));
    assert!(pool.add(piece(2, 2, 9_000)));
    let call = pool
        .next_call(ms(2_000))
        .expect("the other endpoint is free");
    assert_eq!(call.endpoint, incarnation("b"));
    assert!(pool.add(piece(3, 3, 9_000)));
    assert_eq!(pool.next_call(ms(2_010)), None);
}

#[test]
fn failed_endpoint_is_paused_and_tried_again() {
    let mut pool = pool(&[("a", "x")]);
    assert!(pool.add(piece(1, 1, 9_000)));
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    pool.end(&call, Outcome::Failed, Results::default(), ms(10));
    assert!(pool.add(piece(2, 2, 9_000)));
    assert_eq!(pool.next_call(ms(100)), None);
    assert!(pool.next_call(ms(400)).is_some());
}

#[test]
fn set_endpoints_keeps_state_of_remaining_endpoints() {
    let mut pool = pool(&[("a", "x"), ("b", "x")]);
    assert!(pool.add(piece(1, 1, 9_000)));
    let call = pool.next_call(ms(0)).expect("both endpoints are free");
    let other = incarnation("b");
    pool.set_endpoints([(&other, "x")].into_iter());
    assert!(pool.add(piece(2, 2, 9_000)));
    let second = pool
        .next_call(ms(0))
        .expect("the remaining endpoint is free");
    assert_eq!(second.endpoint, other);
    // The end of a call at a removed endpoint has no effect.
    end(&mut pool, &call, answered(0), ms(210));
    assert!(pool.add(piece(3, 3, 9_000)));
    assert_eq!(pool.next_call(ms(220)), None);
}

#[test]
fn next_call_prefers_pieces_near_the_endpoint_while_all_are_on_time() {
    let mut pool = pool(&[("a", "x")]);
    let here = pool.data_centre("x");
    let there = pool.data_centre("y");
    for ticket in 0..10 {
        let piece = Piece {
            near: Some(there),
            ..piece(ticket, ticket, 3_000)
        };
        assert!(pool.add(piece));
    }
    for ticket in 10..20 {
        let piece = Piece {
            near: Some(here),
            ..piece(ticket, ticket, 4_000)
        };
        assert!(pool.add(piece));
    }
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert_eq!(tickets(&call), (10..20).collect::<Vec<_>>());
}

#[test]
fn burst_of_late_pieces_stays_in_the_data_centre_of_its_inputs() {
    let mut pool = pool(&[("a", "x"), ("b", "y")]);
    let (x, y) = (pool.data_centre("x"), pool.data_centre("y"));
    for ticket in 0..40 {
        // All pieces are late when they are called, and those of one data
        // centre are less late than those of the other.
        let near = if ticket % 2 == 0 { x } else { y };
        let piece = Piece {
            near: Some(near),
            ..piece(ticket, ticket, 1 + ticket % 2)
        };
        assert!(pool.add(piece));
    }
    let first = pool.next_call(ms(10)).expect("an endpoint is free");
    let second = pool.next_call(ms(10)).expect("the other endpoint is free");
    for call in [first, second] {
        let odd = u64::from(call.endpoint == incarnation("b"));
        assert!(tickets(&call).iter().all(|ticket| ticket % 2 == odd));
        assert_eq!(call.tickets.len(), WORKER.batch);
    }
}

#[test]
fn burst_skips_an_endpoint_without_memory() {
    let mut pool = pool(&[("a", "x"), ("b", "x")]);
    let with_bytes = |ticket| Piece {
        bytes: 20,
        ..piece(ticket, ticket, 9_000)
    };
    for ticket in 0..5 {
        assert!(pool.add(with_bytes(ticket)));
    }
    let first = pool.next_call(ms(0)).expect("both endpoints are free");
    assert_eq!(
        (&first.endpoint, first.tickets.len()),
        (&incarnation("a"), 5)
    );
    end(&mut pool, &first, answered(100), ms(250));
    // The first endpoint is free but has no free memory. The second has.
    assert!(pool.add(with_bytes(5)));
    let second = pool
        .next_call(ms(300))
        .expect("the other endpoint has free memory");
    assert_eq!(second.endpoint, incarnation("b"));
}

#[test]
fn quiet_pieces_wait_for_an_endpoint_near_their_inputs() {
    let mut pool = pool(&[("a", "x"), ("b", "y")]);
    let (x, y) = (pool.data_centre("x"), pool.data_centre("y"));
    let with_near = |ticket, due, near| Piece {
        near: Some(near),
        ..piece(ticket, ticket, due)
    };
    assert!(pool.add(with_near(1, 2_000, x)));
    let first = pool.next_call(ms(0)).expect("the endpoint at x is free");
    assert_eq!(first.endpoint, incarnation("a"));
    // Piece 2 can wait for the endpoint at x, piece 3 cannot, and piece 4 is
    // near the endpoint at y.
    assert!(pool.add(with_near(2, 2_000, x)));
    assert!(pool.add(with_near(3, 500, x)));
    assert!(pool.add(with_near(4, 2_000, y)));
    let second = pool.next_call(ms(10)).expect("the endpoint at y is free");
    assert_eq!(
        (&second.endpoint, tickets(&second)),
        (&incarnation("b"), vec![3, 4])
    );
    assert_eq!(pool.next_call(ms(10)), None);
    end(&mut pool, &second, answered(0), ms(240));
    assert_eq!(pool.next_call(ms(240)), None);
    // After the removal of the endpoint at x, no piece is deferred to it.
    let left = incarnation("b");
    pool.set_endpoints([(&left, "y")].into_iter());
    let third = pool.next_call(ms(250)).expect("the endpoint at y is free");
    assert_eq!(tickets(&third), [2]);
}

/// Forms and ends one call at the only endpoint. Returns whether it was expected to
/// start without queueing.
fn is_immediate(pool: &mut Pool, now: u64, takes: u64) -> bool {
    assert!(pool.add(piece(now, now, 20_000)));
    let call = pool.next_call(ms(now)).expect("the endpoint is free");
    end(pool, &call, answered(0), ms(now + takes));
    call.immediate
}

#[test]
fn handover_of_a_service_detects_queued_calls() {
    let mut pool = pool(&[("a", "x")]);
    pool.set_owned(true, ms(0));
    // There is no earlier call to judge by, and the previous owner still calls
    // the endpoint.
    assert!(!is_immediate(&mut pool, 2_000, 400));
    assert!(!is_immediate(&mut pool, 2_500, 215));
    // The endpoint now answers in the expected time.
    assert!(is_immediate(&mut pool, 3_000, 500));
    assert!(!is_immediate(&mut pool, 4_000, 210));
    // An observation from long ago no longer counts.
    assert!(!is_immediate(&mut pool, 11_000, 210));
}

/// Around a handover, the previous owner still forms calls from its queue. Inputs that
/// are released by the expected start of a call would then be gone before it starts.
#[test]
fn no_call_counts_as_immediate_around_a_handover() {
    let mut pool = pool(&[("a", "x")]);
    for now in [0, 500, 1_000, 1_500] {
        assert!(!is_immediate(&mut pool, now, 210), "not the owner");
    }
    pool.set_owned(true, ms(2_000));
    for now in [2_000, 2_500, 3_000, 3_500] {
        pool.set_owned(true, ms(now));
        assert!(!is_immediate(&mut pool, now, 210), "owner for too short");
    }
    assert!(is_immediate(&mut pool, 4_000, 210));
    pool.set_owned(false, ms(4_500));
    assert!(
        !is_immediate(&mut pool, 4_500, 210),
        "not the owner any more"
    );
    pool.set_owned(true, ms(5_000));
    assert!(!is_immediate(&mut pool, 5_000, 210), "owner again");
}

/// A worker that stated a limit got calls as fast as it ended them.
#[test]
fn space_calls_keeps_to_the_limit_of_an_endpoint_and_uses_others() {
    let mut pool = pool(&[("a", "x"), ("b", "x")]);
    for ticket in 0..400 {
        pool.add(piece(ticket, ticket, 60_000));
    }
    let interval = ms(1_000);
    let mut starts = [Vec::new(), Vec::new()];
    let mut running: Vec<(u64, Call)> = Vec::new();
    for now in (0..8_000).step_by(10) {
        while let Some(call) = pool.next_call(ms(now)) {
            let limited = call.endpoint == incarnation("a");
            starts[usize::from(!limited)].push(now);
            running.push((now + 300, call));
        }
        let ended = |one: &(u64, Call)| one.0 <= now;
        for (_, call) in running.extract_if(.., |one| ended(one)) {
            if call.endpoint == incarnation("a") {
                pool.space_calls(&call.endpoint, Some(interval), ms(now));
            }
            pool.end(&call, Outcome::Answered, Results::default(), ms(now));
        }
    }
    let gaps = starts[0].windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(1_000), "{:?}", starts[0]);
    assert!(starts[0].len() >= 7, "still used: {:?}", starts[0]);
    assert!(starts[1].len() > 2 * starts[0].len(), "{:?}", starts[1]);
}

/// A worker that stated a limit and then failed got its next call after the backoff alone.
#[test]
fn space_calls_holds_after_a_call_that_failed() {
    let mut pool = pool(&[("a", "x")]);
    pool.space_calls(&incarnation("a"), Some(ms(2_000)), ms(0));
    pool.add(piece(1, 1, 60_000));
    pool.add(piece(2, 2, 60_000));
    let call = pool.next_call(ms(2_000)).expect("the endpoint is free");
    pool.end(&call, Outcome::Failed, Results::default(), ms(2_100));
    pool.add(piece(3, 3, 60_000));
    assert_eq!(pool.next_call(ms(3_999)), None);
    assert_eq!(pool.wake_at(ms(3_000)), Some(ms(4_000)));
    assert!(pool.next_call(ms(4_000)).is_some());
}

/// A gateway that took over a service called its workers at once, whatever the one before
/// had just sent them.
#[test]
fn space_calls_holds_for_a_process_that_takes_over() {
    let mut pool = pool(&[("a", "x")]);
    pool.space_calls(&incarnation("a"), Some(ms(1_000)), ms(1));
    pool.set_owned(false, ms(5_000));
    pool.set_owned(true, ms(9_000));
    pool.add(piece(1, 1, 60_000));
    assert_eq!(pool.next_call(ms(9_999)), None);
    assert!(pool.next_call(ms(10_000)).is_some());
}

/// A worker whose registration lapsed was called as if it had never stated a limit.
#[test]
fn space_calls_holds_for_an_endpoint_that_is_listed_again() {
    let mut pool = pool(&[]);
    let listed = incarnation("a");
    pool.set_endpoints([(&listed, "x")].into_iter());
    pool.space_calls(&listed, Some(ms(1_000)), ms(7_000));
    pool.add(piece(1, 1, 60_000));
    assert_eq!(pool.next_call(ms(7_999)), None);
    assert!(pool.next_call(ms(8_000)).is_some());
    pool.space_calls(&listed, None, ms(8_100));
    assert_eq!(pool.wake_at(ms(8_100)), None, "the limit ended");
}

/// A worker that wanted no calls for some time was called 60 ms after it was full.
#[test]
fn pause_keeps_calls_from_an_endpoint_until_its_end() {
    let mut pool = pool(&[("a", "x")]);
    pool.add(piece(1, 1, 60_000));
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    pool.pause(&call.endpoint, ms(2_000));
    end(
        &mut pool,
        &call,
        (Outcome::Full, Results::default()),
        ms(10),
    );
    pool.add(piece(2, 2, 60_000));
    assert_eq!(pool.next_call(ms(1_999)), None);
    assert!(pool.is_paused(&incarnation("a"), ms(1_999)));
    assert!(!pool.is_paused(&incarnation("a"), ms(2_000)));
    assert_eq!(pool.wake_at(ms(100)), Some(ms(2_000)));
    assert!(pool.next_call(ms(2_000)).is_some());
}

/// Pieces were queued for endpoints that were paused, and refused when it was too late.
#[test]
fn estimate_counts_only_endpoints_that_are_not_paused() {
    let mut pool = pool(&[("a", "x"), ("b", "x"), ("c", "x")]);
    let free = pool.estimate(30, 0, ms(0)).expect("usable endpoints");
    for id in ["a", "b"] {
        pool.pause(&incarnation(id), ms(50_000));
    }
    let paused = pool.estimate(30, 0, ms(0)).expect("usable endpoints");
    assert!(paused >= free + ms(600), "{paused:?} after {free:?}");
    pool.pause(&incarnation("c"), ms(40_000));
    let all_paused = pool.estimate(30, 0, ms(0)).expect("usable endpoints");
    assert!(all_paused >= ms(40_000), "{all_paused:?}");
}

#[test]
fn expire_drops_pieces_for_which_all_endpoints_are_paused_too_long() {
    let mut pool = pool(&[("a", "x")]);
    pool.add(piece(1, 1, 1_000));
    pool.pause(&incarnation("a"), ms(5_000));
    assert_eq!(pool.expire(ms(0)), [Expired(Ticket(1))]);
}

/// The estimate made an entry for each call of a task that no queue holds.
#[test]
fn estimate_is_none_for_more_pieces_than_a_queue_holds() {
    let pool = pool(&[("a", "x")]);
    assert!(pool.estimate(MAX_WAITING, 0, ms(0)).is_some());
    assert_eq!(pool.estimate(MAX_WAITING + 1, 0, ms(0)), None);
    assert_eq!(pool.estimate(2_000_000_000, 0, ms(0)), None);
    assert_eq!(pool.estimate(usize::MAX, 0, ms(0)), None);
}
