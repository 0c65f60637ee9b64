//! Splitting of a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the line that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Maximum size of an event in bytes. Bytes without end that form no event would
/// otherwise fill the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// Buffers the incomplete event at the end of a stream and keeps the id of the
/// last complete one that had an id.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Appends bytes and returns all events that are now complete, unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event at the end is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Oversized> {
        // The terminator may be split across two chunks.
        let search_start = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let found = self.buffer[search_start..]
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(position) = found else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(Oversized)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self
            .buffer
            .split_to(search_start + position + EVENT_END.len());
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events.freeze())
    }

    /// Returns whether the data ends inside an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the incomplete data left at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Discards an incomplete event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the id of the last complete event that has one.
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
