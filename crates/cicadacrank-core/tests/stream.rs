//! Splitting of event streams.

use cicadacrank_core::stream::{MAX_EVENT_BYTES, Oversized, Splitter};
use proptest::prelude::*;

#[test]
fn push_returns_whole_events_only() {
    let mut splitter = Splitter::default();
    let mut push = |bytes: &[u8]| splitter.push(bytes).expect("the event is small");
    assert!(push(b"id: 1\ndata: a\n").is_empty());
    assert_eq!(&push(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    let events = splitter.push(b"id:3\n\n").expect("the event is small");
    assert_eq!(&events[..], b"id:3\n\n");
    assert_eq!(splitter.last_id(), Some("3"));
    assert!(splitter.rest().is_empty());
}

#[test]
fn push_bounds_bytes_without_end() {
    let mut splitter = Splitter::default();
    let part = [b'x'; 1_000];
    let taken = (0..).take_while(|_| splitter.push(&part).is_ok()).count();
    assert_eq!(taken, MAX_EVENT_BYTES / part.len());
    assert_eq!(splitter.push(&part), Err(Oversized));
    splitter.discard_partial();
    assert!(splitter.push(&part).is_ok());
}

proptest! {
    #[test]
    fn push_loses_and_adds_no_byte(parts in prop::collection::vec("[a\n:id0-9 ]{0,12}", 0..20)) {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for part in &parts {
            let events = splitter.push(part.as_bytes()).expect("the events are small");
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.extend_from_slice(&events);
        }
        passed.extend_from_slice(&splitter.rest());
        prop_assert_eq!(passed, parts.concat().into_bytes());
    }
}
