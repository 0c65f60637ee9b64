//! Selection of the processes that watch the platform.

use super::Table;

/// Number of processes in each data centre that watch the platform.
pub const WATCHERS: usize = 2;

/// Returns whether the local process watches the platform.
///
/// Watchers are selected by rendezvous hashing over the processes of a data
/// centre that take work. Every process can compute the selection without a
/// message, and losing a watcher changes only its own place. While tables
/// differ, there may be one watcher too many or too few, which costs a call or
/// a short wait.
#[must_use]
pub fn is_watcher(table: &Table) -> bool {
    let local = table.local();
    let own = score(&local.data_centre, &local.name);
    let higher = table
        .live()
        .filter(|one| one.data_centre == local.data_centre && one.takes_work())
        .filter(|one| score(&one.data_centre, &one.name) > own);
    higher.take(WATCHERS).count() < WATCHERS
}

fn score(data_centre: &str, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(data_centre.len() as u64).to_le_bytes());
    hasher.update(data_centre.as_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
