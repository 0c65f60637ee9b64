//! Tests for the order of queued pieces when there is less room than they need.

use cicadacrank_core::{
    batch::{Call, Outcome, Piece, Pool, Results, Ticket},
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
    room_bytes: 1_000_000,
    result_life: ms(4_000),
};

/// Time of a full call, in milliseconds.
const FULL_CALL: u64 = 300;

fn incarnation(id: &str) -> Incarnation {
    Incarnation {
        id: id.to_owned(),
        born: Some(1),
    }
}

fn pool(endpoints: &[&str]) -> Pool {
    let mut pool = Pool::new(WORKER);
    set_endpoints(&mut pool, endpoints);
    pool
}

fn set_endpoints(pool: &mut Pool, endpoints: &[&str]) {
    let incarnations: Vec<_> = endpoints.iter().map(|id| incarnation(id)).collect();
    pool.set_endpoints(incarnations.iter().map(|incarnation| (incarnation, "x")));
}

fn piece(ticket: u64, rank: u32, due: u64, expires: u64) -> Piece {
    Piece {
        ticket: Ticket(ticket),
        job: ticket,
        due: ms(due),
        expires: ms(expires),
        rank,
        bytes: 1,
        near: None,
        deferrable: true,
        begun: true,
    }
}

/// Pieces that were queued, and when they ended.
struct Load {
    pool: Pool,
    /// Time that calls take, relative to the expected time.
    pace: fn(&str) -> f64,
    pieces: Vec<Piece>,
    ends: Vec<Option<u64>>,
    running: Vec<(u64, Call)>,
}

impl Load {
    fn new(endpoints: &[&str]) -> Self {
        Self {
            pool: pool(endpoints),
            pace: |_| 1.0,
            pieces: Vec::new(),
            ends: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Queues a job that is due and expires at these times after `now`.
    fn add(&mut self, pieces: u64, rank: u32, now: u64, due: u64, expires: u64) {
        let job = self.pieces.len() as u64;
        for ticket in job..job + pieces {
            let piece = Piece {
                job,
                ..piece(ticket, rank, now + due, now + expires)
            };
            assert!(self.pool.add(piece));
            self.pieces.push(piece);
            self.ends.push(None);
        }
    }

    /// Ends the calls that are over at `now` and forms new ones.
    fn step(&mut self, now: u64) {
        let over = self.running.extract_if(.., |one| one.0 <= now);
        for (_, call) in over {
            let held = call.tickets.len() as u64;
            let results = Results { held, refused: 0 };
            self.pool.end(&call, Outcome::Answered, results, ms(now));
            for ticket in call.tickets {
                self.ends[usize::try_from(ticket.0).expect("small")] = Some(now);
            }
        }
        self.pool.expire(ms(now));
        while let Some(call) = self.pool.next_call(ms(now)) {
            let usual = 200.0 + 10.0 * call.tickets.len() as f64;
            let took = usual * (self.pace)(&call.endpoint.id);
            self.running.push((now + took as u64, call));
        }
    }

    /// Returns the share of the pieces for which `wanted` holds that ended by the time
    /// that `limit` gives.
    fn share(&self, wanted: impl Fn(&Piece) -> bool, limit: impl Fn(&Piece) -> Duration) -> f64 {
        let pairs = self.pieces.iter().zip(&self.ends);
        let pairs: Vec<_> = pairs.filter(|(piece, _)| wanted(piece)).collect();
        let met = pairs.iter().filter(|(piece, end)| {
            let end = end.map(ms);
            end.is_some_and(|end| end <= limit(piece))
        });
        met.count() as f64 / pairs.len() as f64
    }

    fn in_time(&self, rank: u32) -> f64 {
        self.share(|piece| piece.rank == rank, |piece| piece.due)
    }

    fn served(&self, rank: u32) -> f64 {
        self.share(|piece| piece.rank == rank, |piece| piece.expires)
    }
}

/// Urgent requests had to wait behind a crowd of requests of a lower rank with an earlier
/// due time, all of which were still on time.
#[test]
fn burst_of_a_lower_rank_leaves_room_to_a_higher_one() {
    let mut load = Load::new(&["a"]);
    for _ in 0..20 {
        load.add(1, 1, 0, 650, 6_000);
    }
    for _ in 0..10 {
        load.add(1, 0, 0, 700, 6_000);
    }
    (0..3_000).for_each(|now| load.step(now));
    assert!(load.in_time(0) >= 1.0, "{}", load.in_time(0));
    assert!(load.in_time(1) >= 0.5, "the room that is left");
    assert!(load.served(1) >= 1.0, "the others after it");
}

/// The earliest due time goes first while everything can be on time, whatever the rank.
#[test]
fn calm_keeps_all_ranks_on_time() {
    let mut load = Load::new(&["a"]);
    for _ in 0..10 {
        load.add(1, 2, 0, 350, 6_000);
    }
    for _ in 0..10 {
        load.add(1, 0, 0, 700, 6_000);
    }
    (0..1_000).for_each(|now| load.step(now));
    assert!(load.in_time(0) >= 1.0);
    assert!(load.in_time(2) >= 1.0);
}

/// A third of the endpoints is gone and a rank sends more than the others can do. With
/// the earliest due time first, each piece was called when it could barely be on time,
/// and was late wherever a call took a little longer.
#[test]
fn overload_of_one_rank_keeps_those_on_time_that_have_time_left() {
    let mut load = Load::new(&["a", "b", "c"]);
    load.pace = |_| 1.1;
    for now in 0..6_000 {
        if now == 1_000 {
            set_endpoints(&mut load.pool, &["a", "b"]);
        }
        // Two endpoints do 60 pieces a second when their calls are full.
        if now % 12 == 0 {
            load.add(1, 0, now, 900, 4_000);
        }
        load.step(now);
    }
    let queued_late = |piece: &Piece| piece.due > ms(2_000) && piece.due < ms(5_000);
    let in_time = load.share(queued_late, |piece| piece.due);
    assert!(in_time >= 0.6, "{in_time}");
}

/// Whoever is barely on time at this stage is late at the next one.
#[test]
fn burst_of_one_rank_leaves_room_to_those_with_the_most_time_left() {
    let mut pool = pool(&["a"]);
    for ticket in 0..20 {
        assert!(pool.add(piece(ticket, 0, 310 + ticket, 4_000)));
    }
    let call = pool.next_call(ms(0)).expect("the endpoint is free");
    assert!(call.tickets.iter().all(|ticket| ticket.0 >= 10));
}

/// A burst of cheap, patient requests stood beside few urgent ones of a higher rank.
#[test]
fn burst_of_patient_requests_does_not_delay_urgent_ones_and_is_served() {
    let mut load = Load::new(&["a", "b", "c"]);
    for now in 0..10_000 {
        let burst = (1_000..3_000).contains(&now);
        if now % if burst { 6 } else { 25 } == 0 {
            load.add(1, 2, now, 3_800, 5_800);
        }
        if now % 40 == 0 {
            load.add(1, 0, now, 650, 5_000);
        }
        load.step(now);
    }
    let early = |rank: u32| move |piece: &Piece| piece.rank == rank && piece.due < ms(9_000);
    let urgent = load.share(early(0), |piece| piece.due);
    assert!(urgent >= 0.98, "{urgent}");
    let patient = load.share(early(2), |piece| piece.expires);
    assert!(patient >= 0.95, "{patient}");
}

/// Late pieces of the highest rank lost their place to all pieces of lower ranks that
/// were on time, until they expired.
#[test]
fn late_piece_goes_before_lower_ranks_when_it_is_about_to_expire() {
    let mut load = Load::new(&["a"]);
    load.add(10, 1, 0, 900, 6_000);
    load.step(0);
    for _ in 0..5 {
        load.add(1, 0, 0, 100, 2_000);
    }
    for now in 1..2_001 {
        if now % 10 == 0 {
            load.add(1, 1, now, 900, 6_000);
        }
        load.step(now);
    }
    assert!(load.served(0) >= 1.0, "{}", load.served(0));
}

/// With jobs of six pieces and ten places, four places of each call stayed empty while
/// hundreds of pieces waited.
#[test]
fn overload_fills_calls_and_finishes_split_jobs_first() {
    let mut pool = pool(&["a", "b"]);
    for ticket in 0..60 {
        let piece = Piece {
            job: ticket / 6,
            ..piece(ticket, 0, 5_000, 9_000)
        };
        assert!(pool.add(piece));
    }
    let first = pool.next_call(ms(0)).expect("the endpoints are free");
    let second = pool.next_call(ms(0)).expect("one endpoint is free");
    let jobs = |call: &Call| -> Vec<u64> { call.tickets.iter().map(|one| one.0 / 6).collect() };
    assert_eq!(jobs(&first), [0, 0, 0, 0, 0, 0, 1, 1, 1, 1]);
    assert_eq!(jobs(&second), [1, 1, 2, 2, 2, 2, 2, 2, 3, 3]);
}

/// First stages of new requests took the room of requests whose inputs were there.
#[test]
fn overload_finishes_requests_that_have_begun() {
    let mut load = Load::new(&["a"]);
    for number in 0..20 {
        let ticket = Ticket(number);
        let begun = number >= 10;
        let piece = Piece {
            ticket,
            begun,
            ..piece(number, 0, 350, 4_000)
        };
        assert!(load.pool.add(piece));
    }
    let call = load.pool.next_call(ms(0)).expect("the endpoint is free");
    assert!(call.tickets.iter().all(|ticket| ticket.0 >= 10));
}

/// The estimate for a request of a high rank counted the whole queue of lower ranks, and
/// the request was refused though it would have gone first.
#[test]
fn estimate_counts_what_goes_first() {
    let mut pool = pool(&["a"]);
    for ticket in 0..40 {
        assert!(pool.add(piece(ticket, 2, 9_000, 9_000)));
    }
    let high = pool.estimate(1, 0, ms(0)).expect("a usable endpoint");
    let low = pool.estimate(1, 2, ms(0)).expect("a usable endpoint");
    assert!(high <= ms(FULL_CALL), "{high:?}");
    assert!(low >= ms(4 * FULL_CALL), "{low:?}");
}

/// Endpoints of unequal speeds: one does twice the usual work, one half of it.
#[test]
fn estimate_follows_the_speeds_of_endpoints() {
    let pace = |id: &str| if id == "a" { 0.5 } else { 2.0 };
    let estimate = |ids: &[&str]| {
        let mut load = Load::new(ids);
        load.pace = pace;
        for now in 0..6_000 {
            if now % 20 == 0 {
                load.add(1, 0, now, 3_000, 6_000);
            }
            load.step(now);
        }
        let waiting = load.pool.len();
        let done = load.pool.estimate(100, 0, ms(6_000));
        (waiting, done.expect("a usable endpoint") - ms(6_000))
    };
    let ((_, fast), (waiting, slow)) = (estimate(&["a"]), estimate(&["b"]));
    assert!(waiting > 0, "the slow endpoint is overloaded");
    assert!(slow > 2 * fast, "{slow:?} and {fast:?}");
}

/// Machines are shared with others, so that an endpoint is slow for parts of a second.
#[test]
fn stated_pace_counts_for_a_moment() {
    let mut pool = pool(&["a", "b"]);
    pool.record_pace(&incarnation("a"), 2.5, ms(1_000));
    assert!(pool.add(piece(1, 0, 5_000, 9_000)));
    let call = pool.next_call(ms(1_010)).expect("an endpoint is free");
    assert_eq!(call.endpoint, incarnation("b"));
    pool.end(&call, Outcome::Answered, Results::default(), ms(1_220));
    // The statement is so old that it says little.
    pool.record_pace(&incarnation("b"), 1.3, ms(2_500));
    assert!(pool.add(piece(2, 0, 5_000, 9_000)));
    let call = pool.next_call(ms(2_510)).expect("both endpoints are free");
    assert_eq!(call.endpoint, incarnation("a"));
}

/// Calls of one endpoint were shorter than usual, since their pieces were. An endpoint
/// that had started again got no calls any more.
#[test]
fn endpoint_without_calls_is_used_beside_one_whose_calls_were_short() {
    let mut pool = pool(&["a", "b"]);
    set_endpoints(&mut pool, &["b"]);
    for now in [0, 100, 200] {
        assert!(pool.add(piece(now, 0, 5_000, 9_000)));
        let call = pool.next_call(ms(now)).expect("an endpoint is free");
        pool.end(&call, Outcome::Answered, Results::default(), ms(now + 50));
    }
    set_endpoints(&mut pool, &["a", "b"]);
    assert!(pool.add(piece(300, 0, 5_000, 9_000)));
    let call = pool.next_call(ms(300)).expect("both endpoints are free");
    assert_eq!(call.endpoint, incarnation("a"));
}
