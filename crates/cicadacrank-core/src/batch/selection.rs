//! Which pieces of a sorted queue one call carries.

use super::Piece;
use crate::config::Worker;
use std::time::Duration;

/// Selects as many pieces as fit into one call, its memory limit and their
/// expiry times. If one call can carry all waiting pieces, a late piece must
/// not delay another past its due time. Otherwise it may, since full calls give
/// a higher throughput.
///
/// The pieces of a job stay together, except for one job that fills a call. If more
/// were split, partial results of many jobs would fill the memory and no job could
/// complete.
pub(super) fn select(
    waiting: &[Piece],
    worker: Worker,
    mut room: u64,
    done: impl Fn(usize) -> Duration,
) -> Vec<Piece> {
    let mut taken: Vec<Piece> = Vec::new();
    let mut earliest_due = Duration::MAX;
    let all_fit = waiting.len() <= worker.batch;
    for job in waiting.chunk_by(|one, other| one.job == other.job) {
        let first = job[0];
        let each = first.bytes.max(1);
        let by_memory = usize::try_from(room / each).unwrap_or(0);
        let places = (worker.batch - taken.len()).min(by_memory);
        let largest = worker
            .batch
            .min(usize::try_from(worker.room_bytes / each).unwrap_or(0));
        let count = job.len().min(places);
        let fills_memory = by_memory < job.len() && job.len() <= largest;
        let done = done(taken.len() + count);
        let late = done > first.due;
        let delays_others = all_fit && late && done > earliest_due;
        if count == 0 || fills_memory || done > first.expires || delays_others {
            continue;
        }
        if !late {
            earliest_due = earliest_due.min(first.due);
        }
        room -= first.bytes * count as u64;
        taken.extend_from_slice(&job[..count]);
    }
    taken
}
