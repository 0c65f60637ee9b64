//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Begins the line that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Holds back the part of an event that has not arrived whole, and remembers
/// the id of the last one that has.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Takes up bytes; returns all events that are whole now, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The end of an event may lie across two parts.
        let search_start = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let found = self.buffer[search_start..]
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(position) = found else {
            return Bytes::new();
        };
        let events = self
            .buffer
            .split_to(search_start + position + EVENT_END.len());
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        events.freeze()
    }

    /// Returns what is left after the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Forgets the part of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the id of the last events event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| *byte == b'\n')
        .rev()
        .find(|line| line.starts_with(ID_FIELD))?;
    let id = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(id.trim().to_owned())
}
