//! Decisions on work that may not be repeated.

use cicadacrank_core::{
    id,
    once::{ATTEMPTS, Seen},
};

#[test]
fn insert_forgets_only_the_oldest() {
    let mut seen = Seen::new();
    let all: Vec<_> = (0..=ATTEMPTS as u128).map(id::Attempt::new).collect();
    assert!(all.iter().all(|attempt| seen.insert(*attempt)));
    assert!(!all[1..].iter().any(|attempt| seen.insert(*attempt)));
    assert!(seen.insert(all[0]));
}
