//! Access to state that tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. Ignores poisoning, since a panic elsewhere leaves the value
/// consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
