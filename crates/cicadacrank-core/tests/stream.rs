//! Splitting of event streams.

use cicadacrank_core::stream::{Fault, MAX_EVENT_BYTES, Splitter};
use proptest::prelude::*;

#[test]
fn push_returns_whole_events_only() {
    let mut splitter = Splitter::default();
    let mut push = |bytes: &[u8]| splitter.push(bytes).expect("the event is small");
    assert!(push(b"id: 1\ndata: a\n").is_empty());
    assert_eq!(&push(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.resume();
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
    assert_eq!(splitter.push(&part), Err(Fault::Oversized));
    splitter.resume();
    assert!(splitter.push(&part).is_ok());
}

/// The text of an error and events that were sent before were passed on after a stream
/// was resumed.
#[test]
fn push_accepts_only_events_that_continue_a_resumed_stream() {
    let cases: [(&[u8], bool); 10] = [
        (b"id: 4\ndata: d\n\n", true),
        (b"id: 7\ndata: d\n\nid: 9\n\n", true),
        (b"x-weight-versions: 2\nid: 4\ndata: d\n\n", true),
        (b": ping\n\n", true),
        (b"id: 3\ndata: c\n\n", false),
        (b"id: 1\ndata: a\n\nid: 4\n\n", false),
        (b"id: 4\n\nid: 4\n\n", false),
        (b"event: error\ndata: x\n\n", false),
        (b"HTTP/1.1 500 No\ncontent-length: 0\n\n", false),
        (b"\n\n", true),
    ];
    for (events, accepted) in cases {
        let mut splitter = Splitter::default();
        let start = splitter.push(b"id: 2\n\nid: 3\ndata: c\n\nid: 4\nda");
        start.expect("the numbers of the first source rise");
        splitter.resume();
        let pushed = splitter.push(events);
        let context = String::from_utf8_lossy(events);
        if accepted {
            assert_eq!(pushed.as_deref(), Ok(events), "{context}");
        } else {
            assert_eq!(pushed, Err(Fault::Discontinuous), "{context}");
            assert_eq!(splitter.last_id(), Some("3"), "{context}");
        }
    }
}

/// An event after a comment was not checked.
#[test]
fn push_checks_the_first_event_of_a_resumed_stream_after_a_comment() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 3\n\n").expect("the event is small");
    splitter.resume();
    splitter.push(b": ping\n\n").expect("a comment");
    let pushed = splitter.push(b"data: x\n\n");
    assert_eq!(pushed, Err(Fault::Discontinuous));
}

/// Numbers that went back were passed on where a gateway had not resumed the stream itself.
#[test]
fn push_accepts_only_numbers_that_rise() {
    let cases: [(&[&[u8]], bool); 7] = [
        (&[b"id: 1\n\n", b"id: 2\n\n"], true),
        (&[b"id: 1\n\ndata: no number\n\nid: 5\n\n"], true),
        (&[b"id: 9\n\n", b"id: 10\n\n"], true),
        (&[b"id: 1\n\n", b"id: 1\n\n"], false),
        (&[b"id: 3\n\nid: 2\n\n"], false),
        (&[b"id: 3\n\n", b"data: no number\n\n", b"id: 1\n\n"], false),
        (&[b"id: 3\n\n", b"id: ", b"2\n\n"], false),
    ];
    for (parts, accepted) in cases {
        let mut splitter = Splitter::default();
        let pushed = parts
            .iter()
            .try_for_each(|part| splitter.push(part).map(drop));
        let expected = if accepted {
            Ok(())
        } else {
            Err(Fault::Discontinuous)
        };
        assert_eq!(pushed, expected, "{parts:?}");
    }
}

/// The first event after that of the caller was not compared with it.
#[test]
fn after_accepts_only_events_that_follow() {
    let cases: [(&[u8], bool); 5] = [
        (b"id: 4\n\n", true),
        (b": ping\n\n", true),
        (b"id: 3\n\n", false),
        (b"id: 1\n\n", false),
        (b"data: no number\n\n", false),
    ];
    for (events, accepted) in cases {
        let mut splitter = Splitter::after("3".to_owned());
        let pushed = splitter.push(events);
        let context = String::from_utf8_lossy(events);
        assert_eq!(pushed.is_ok(), accepted, "{context}");
        let expected = if context.contains('4') { "4" } else { "3" };
        assert_eq!(splitter.last_id(), Some(expected), "{context}");
    }
}

proptest! {
    #[test]
    fn push_loses_and_adds_no_byte(parts in prop::collection::vec("[a\n:id0-9 ]{0,12}", 0..20)) {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for part in &parts {
            let events = match splitter.push(part.as_bytes()) {
                Ok(events) => events,
                Err(fault) => {
                    prop_assert_eq!(fault, Fault::Discontinuous);
                    prop_assert!(parts.concat().as_bytes().starts_with(&passed));
                    return Ok(());
                }
            };
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.extend_from_slice(&events);
        }
        passed.extend_from_slice(&splitter.rest());
        prop_assert_eq!(passed, parts.concat().into_bytes());
    }
}
