//! Splitting of event streams.

use cicadacrank_core::stream::Splitter;
use proptest::prelude::*;

#[test]
fn push_returns_whole_events_only() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n").is_empty());
    assert_eq!(&splitter.push(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(&splitter.push(b"id:3\n\n")[..], b"id:3\n\n");
    assert_eq!(splitter.last_id(), Some("3"));
    assert!(splitter.rest().is_empty());
}

proptest! {
    #[test]
    fn push_loses_and_adds_no_byte(parts in prop::collection::vec("[a\n:id0-9 ]{0,12}", 0..20)) {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for part in &parts {
            let events = splitter.push(part.as_bytes());
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.extend_from_slice(&events);
        }
        passed.extend_from_slice(&splitter.rest());
        prop_assert_eq!(passed, parts.concat().into_bytes());
    }
}
