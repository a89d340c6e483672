//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The end of an event.
pub(crate) const EVENT_END: [u8; 2] = *b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const COMMENT_PREFIX: &[u8] = b":";

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// The number in its `id` field, if it has one.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether the event has content. Events that are empty or hold only comments have none.
    #[must_use]
    pub fn is_progress(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| !line.is_empty() && !line.starts_with(COMMENT_PREFIX))
    }
}

/// Collects chunks of a stream and splits them into whole events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of leading bytes that are known to hold no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends a chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let start = self.scanned.saturating_sub(EVENT_END.len() - 1);
        let found = self.buffer[start..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(position) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self
            .buffer
            .split_to(start + position + EVENT_END.len())
            .freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the number of buffered bytes. After `next_event` returned `None`, they belong to an unfinished event.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the memory that the buffer takes.
    pub(crate) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether no bytes are buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
