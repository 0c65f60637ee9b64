//! Tests of the memory that bodies take together.

use cicadacrank_node::memory::Memory;

const MIB: usize = 1 << 20;

/// Answers of endpoints that sent without end took memory without a common bound.
#[test]
fn resize_keeps_to_what_all_reservations_share() {
    let memory = Memory::new(3 * MIB as u64);
    let (mut one, mut other) = (memory.reserve(), memory.reserve());
    assert!(one.resize(2 * MIB).is_ok());
    assert!(other.resize(2 * MIB).is_err());
    assert!(other.resize(MIB).is_ok());
    assert!(one.resize(MIB).is_ok(), "the rest is given back");
    assert!(other.resize(2 * MIB).is_ok());
    drop(one);
    assert!(other.resize(3 * MIB).is_ok());
}

/// Small answers are served also while large ones take all memory.
#[test]
fn resize_takes_nothing_for_small_answers() {
    let memory = Memory::new(0);
    let mut reservation = memory.reserve();
    assert!(reservation.resize(1 << 14).is_ok());
    assert!(reservation.resize(MIB).is_err());
}
