//! Splitting of a stream of server-sent events into complete events.

pub mod origin;

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the line that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Prefix of a line that is a comment.
const COMMENT: &[u8] = b":";

/// Maximum size of an event in bytes. Bytes without end that form no event would
/// otherwise fill the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why data is not part of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    Oversized,
    /// An event does not follow the last one before.
    #[error("the stream does not continue after its last event")]
    Discontinuous,
}

/// Buffers the incomplete event at the end of a stream and keeps the id of the
/// last complete one that had an id.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<String>,
    /// Whether the next events must have ids.
    resumed: bool,
}

impl Splitter {
    /// Creates a splitter for a stream of which the event with the id `last_id` and all
    /// before it were received.
    #[must_use]
    pub fn after(last_id: String) -> Self {
        Self {
            last_id: Some(last_id),
            resumed: true,
            ..Self::default()
        }
    }

    /// Appends bytes and returns all events that are now complete, unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the incomplete event at the end is too large, or if an event
    /// does not follow the last one before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        // The terminator may be split across two chunks.
        let search_start = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let found = self.buffer[search_start..]
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(position) = found else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(Fault::Oversized)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self
            .buffer
            .split_to(search_start + position + EVENT_END.len());
        if let Some(id) = self.id_after(&events)? {
            self.resumed = false;
            self.last_id = Some(id);
        }
        Ok(events.freeze())
    }

    /// Returns whether the data ends inside an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the size of the incomplete event at the end, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the incomplete data left at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Prepares for data from another source that continues after the last complete
    /// event. Discards an incomplete event.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.resumed = self.last_id.is_some();
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the last id among events, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if an event has no greater id than the one before, from the last
    /// event on. Comments have no id, and neither need the events of a stream that was not
    /// resumed.
    fn id_after(&self, events: &[u8]) -> Result<Option<String>, Fault> {
        let mut last = self.last_id.clone();
        let mut newest = None;
        for event in split_events(events).filter(|event| !is_comment(event)) {
            let Some(id) = last_id(event) else {
                if self.resumed {
                    return Err(Fault::Discontinuous);
                }
                continue;
            };
            if last.is_some_and(|last| !is_greater(&id, &last)) {
                return Err(Fault::Discontinuous);
            }
            last = Some(id.clone());
            newest = Some(id);
        }
        Ok(newest)
    }
}

fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let found = rest
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let (event, after) = rest.split_at(found? + EVENT_END.len());
        rest = after;
        Some(event)
    })
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(COMMENT))
}

/// Returns whether an id is greater than another. Ids that are not numbers only have
/// to differ.
fn is_greater(id: &str, other: &str) -> bool {
    match (id.parse::<u64>(), other.parse::<u64>()) {
        (Ok(id), Ok(other)) => id > other,
        _ => id != other,
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
