//! Server-sent events: an incremental decoder with a bounded event size, and an encoder.

use bytes::{BufMut, Bytes, BytesMut};

/// Data of the event that ends a stream successfully.
pub const DONE: &[u8] = b"[DONE]";

/// Largest event accepted by default. The largest known chunks carry tool calls of some tens of KiB.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id:` field as an offset, if the event has one.
    pub offset: Option<u64>,
    /// The `event:` field; empty when absent.
    pub name: Bytes,
    /// The `data:` lines, joined by line feeds.
    pub data: Bytes,
}

/// The stream is not a valid event stream. The decoder must not be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is larger than the bound.
    #[error("an event exceeds {0} bytes")]
    TooLarge(usize),
    /// An `id:` field is not a decimal offset.
    #[error("an event id is not a decimal offset")]
    BadOffset,
}

/// Decodes events from bytes that arrive in pieces of any size.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    scanned: usize,
    skip_line_feed: bool,
    first_line: bool,
    max_event_bytes: usize,
    event_bytes: usize,
    event: Partial,
}

#[derive(Debug, Default)]
struct Partial {
    offset: Option<u64>,
    name: Bytes,
    data: Option<Bytes>,
}

impl Default for Decoder {
    fn default() -> Self {
        Self::new(MAX_EVENT_BYTES)
    }
}

impl Decoder {
    /// A decoder that refuses events of more than `max_event_bytes`.
    #[must_use]
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            skip_line_feed: false,
            first_line: true,
            max_event_bytes,
            event_bytes: 0,
            event: Partial::default(),
        }
    }

    /// Adds the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Takes the next complete event, `None` when more bytes are needed.
    ///
    /// # Errors
    /// Fails on an event over the bound and on an id that is not an offset.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.next_line()? {
            if line.is_empty() {
                self.event_bytes = 0;
                let partial = std::mem::take(&mut self.event);
                // As the standard says, an event without data is not dispatched.
                if let Some(data) = partial.data {
                    return Ok(Some(Event {
                        offset: partial.offset,
                        name: partial.name,
                        data,
                    }));
                }
                continue;
            }
            self.event_bytes += line.len();
            self.check_size(self.event_bytes)?;
            self.event.field(line)?;
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, Error> {
        if self.skip_line_feed && !self.buffer.is_empty() {
            self.skip_line_feed = false;
            if self.buffer[0] == b'\n' {
                let _ = self.buffer.split_to(1);
            }
        }
        let rest = &self.buffer[self.scanned..];
        let Some(found) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
            self.scanned = self.buffer.len();
            self.check_size(self.event_bytes + self.scanned)?;
            return Ok(None);
        };
        let end = self.scanned + found;
        self.scanned = 0;
        let mut line = self.buffer.split_to(end + 1).freeze();
        self.skip_line_feed = line[end] == b'\r';
        line.truncate(end);
        if std::mem::take(&mut self.first_line) && line.starts_with(b"\xef\xbb\xbf") {
            line = line.slice(3..);
        }
        Ok(Some(line))
    }

    fn check_size(&self, bytes: usize) -> Result<(), Error> {
        if bytes > self.max_event_bytes {
            return Err(Error::TooLarge(self.max_event_bytes));
        }
        Ok(())
    }
}

impl Partial {
    fn field(&mut self, line: Bytes) -> Result<(), Error> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(0) => return Ok(()),
            Some(colon) => {
                let skip = usize::from(line.get(colon + 1) == Some(&b' '));
                (line.slice(..colon), line.slice(colon + 1 + skip..))
            }
            None => (line, Bytes::new()),
        };
        match &name[..] {
            b"data" => self.append(value),
            b"id" => self.offset = Some(parse_offset(&value)?),
            b"event" => self.name = value,
            _ => {}
        }
        Ok(())
    }

    fn append(&mut self, value: Bytes) {
        self.data = Some(match self.data.take() {
            None => value,
            Some(before) => {
                let mut joined = BytesMut::with_capacity(before.len() + 1 + value.len());
                joined.put(before);
                joined.put_u8(b'\n');
                joined.put(value);
                joined.freeze()
            }
        });
    }
}

/// Parses an offset. Signs, blanks and leading `+` are refused, unlike in `u64::from_str`.
fn parse_offset(value: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::BadOffset)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::BadOffset);
    }
    text.parse().map_err(|_| Error::BadOffset)
}

/// Appends one event. Line breaks in `data` become several `data:` lines.
pub fn encode(event: &Event, out: &mut BytesMut) {
    if let Some(offset) = event.offset {
        out.put_slice(b"id: ");
        let mut digits = [0; 20];
        out.put_slice(render_decimal(offset, &mut digits));
        out.put_u8(b'\n');
    }
    if !event.name.is_empty() {
        out.put_slice(b"event: ");
        out.put_slice(&event.name);
        out.put_u8(b'\n');
    }
    for line in event.data.split(|byte| *byte == b'\n') {
        out.put_slice(b"data: ");
        out.put_slice(line);
        out.put_u8(b'\n');
    }
    out.put_u8(b'\n');
}

fn render_decimal(mut value: u64, digits: &mut [u8; 20]) -> &[u8] {
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + (value % 10) as u8;
        value /= 10;
        if value == 0 {
            return &digits[start..];
        }
    }
}
