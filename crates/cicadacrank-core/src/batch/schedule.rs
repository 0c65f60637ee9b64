//! Which queued pieces to process on time, if not all of them can be.
//!
//! Pieces with the earliest goal go first while all of them can meet their
//! goals. If they cannot, room goes by rank, then to pieces that can still be on
//! time, then to those of requests that have begun, and then to those with the
//! most time left: whoever is barely on time now is late at the next stage. The
//! other pieces fill the places that remain.

use super::Piece;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Divisor of the time between due and expiry of a piece that gives how long a late piece
/// leaves its place to others. The rest is for the stages after this one.
const RESCUE_DIVISOR: u32 = 2;

/// When an endpoint can accept its next call, and how much longer than usual a call
/// takes there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    pub(super) free_at: Duration,
    pub(super) slowness: f64,
}

/// Expected completion times of the next calls of a service.
#[derive(Clone, Debug)]
pub(super) struct Timetable {
    done: Vec<Duration>,
    batch: usize,
}

impl Timetable {
    /// Creates the timetable of as many calls as `pieces` need. Each takes `call` at an
    /// endpoint of the usual speed, and keeps its endpoint for `full`. Returns `None`
    /// without an endpoint.
    pub(super) fn new(
        endpoints: impl Iterator<Item = Turn>,
        pieces: usize,
        batch: usize,
        (call, full): (Duration, Duration),
    ) -> Option<Self> {
        let endpoints: Vec<Turn> = endpoints.collect();
        let mut free: BinaryHeap<Reverse<(Duration, usize)>> = endpoints
            .iter()
            .enumerate()
            .map(|(index, turn)| Reverse((turn.free_at, index)))
            .collect();
        let batch = batch.max(1);
        let count = pieces.div_ceil(batch).max(1);
        let mut done = Vec::with_capacity(count);
        for _ in 0..count {
            let Reverse((free_at, index)) = free.pop()?;
            let slowness = endpoints[index].slowness;
            done.push(free_at + call.mul_f64(slowness));
            free.push(Reverse((free_at + full.mul_f64(slowness), index)));
        }
        done.sort_unstable();
        Some(Self { done, batch })
    }

    /// Returns the expected completion time of a piece with `ahead` pieces before
    /// it, which are not more than the timetable was made for.
    pub(super) fn done(&self, ahead: usize) -> Duration {
        let call = (ahead / self.batch).min(self.done.len() - 1);
        self.done[call]
    }
}

/// The place of a piece in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) piece: Piece,
    /// Time by which the piece should be complete.
    pub(super) goal: Duration,
    /// Whether the piece can meet its goal.
    pub(super) kept: bool,
}

/// What a job gives up its place for. The greatest gives it up first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    rank: u32,
    late: bool,
    unbegun: bool,
    goal: Reverse<Duration>,
    /// Position of the job's first piece among the places.
    first: usize,
    pieces: usize,
}

/// Returns the places of the pieces, sorted by goal, then job, and how many of them gave
/// up their place to others.
///
/// `earliest` is the expected completion time of a piece that is called now.
pub(super) fn schedule(
    waiting: &[Piece],
    earliest: Duration,
    timetable: &Timetable,
) -> (Vec<Place>, usize) {
    let mut places: Vec<Place> = waiting
        .iter()
        .map(|piece| Place {
            piece: *piece,
            goal: goal(piece, earliest).unwrap_or(piece.expires),
            kept: goal(piece, earliest).is_some(),
        })
        .collect();
    places.sort_by_key(|place| (place.goal, place.piece.job, place.piece.ticket));
    let mut kept: BinaryHeap<Standing> = BinaryHeap::new();
    let mut count = 0;
    let mut displaced = 0;
    let mut first = 0;
    while first < places.len() {
        let Place {
            piece,
            goal,
            kept: wanted,
        } = places[first];
        let pieces = places[first..]
            .iter()
            .take_while(|place| place.piece.job == piece.job)
            .count();
        let job = Standing {
            rank: piece.rank,
            late: goal > piece.due,
            unbegun: !piece.begun,
            goal: Reverse(goal),
            first,
            pieces,
        };
        if timetable.done(pieces - 1) > goal {
            give_up(&mut places, job);
        } else if wanted {
            kept.push(job);
            count += pieces;
            while timetable.done(count - 1) > goal
                && let Some(last) = kept.pop()
            {
                give_up(&mut places, last);
                count -= last.pieces;
                displaced += last.pieces;
            }
        }
        first += pieces;
    }
    (places, displaced)
}

fn give_up(places: &mut [Place], job: Standing) {
    for place in &mut places[job.first..job.first + job.pieces] {
        place.kept = false;
    }
}

/// Returns the time by which a piece should be complete: its due time, or the time at
/// which it expires if most of the time between them has passed. A piece that is late
/// has no goal until then, since other work loses more by waiting.
fn goal(piece: &Piece, earliest: Duration) -> Option<Duration> {
    let rescue = piece.due + piece.expires.saturating_sub(piece.due) / RESCUE_DIVISOR;
    if earliest <= piece.due {
        Some(piece.due)
    } else {
        (earliest > rescue).then_some(piece.expires)
    }
}
