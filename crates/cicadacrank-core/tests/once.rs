//! Tests of at-most-once execution.

use cicadacrank_core::{
    id,
    once::{ATTEMPTS_LIMIT, Deduplicator},
};

#[test]
fn insert_forgets_only_the_oldest() {
    let mut deduplicator = Deduplicator::new();
    let all: Vec<_> = (0..=ATTEMPTS_LIMIT as u128).map(id::Attempt::new).collect();
    assert!(all.iter().all(|attempt| deduplicator.insert(*attempt)));
    assert!(!all[1..].iter().any(|attempt| deduplicator.insert(*attempt)));
    assert!(deduplicator.insert(all[0]));
}
