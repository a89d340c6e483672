//! An incremental decoder of server-sent events that bounds their size, and an encoder.

use bytes::{BufMut, Bytes, BytesMut};

/// The data of the event that ends a complete stream.
pub const DONE: &[u8] = b"[DONE]";

/// The size of the largest event that a default decoder accepts. The largest known chunks carry tool calls of some
/// tens of KiB.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id:` field as an offset, if the event has one.
    pub offset: Option<u64>,
    /// The `event:` field; empty when absent.
    pub name: Bytes,
    /// The `data:` lines, joined by line feeds.
    pub data: Bytes,
}

/// The error returned when the bytes are not a valid event stream. The decoder must not be used after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is larger than the decoder accepts.
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
    /// The length of the prefix of `buffer` that is known to hold no line ending.
    scanned: usize,
    /// Whether the last line ended in a carriage return, so that a line feed that follows belongs to its ending.
    skip_line_feed: bool,
    /// Whether the next line is the first of the stream, which may begin with a byte order mark.
    first_line: bool,
    max_event_bytes: usize,
    /// The bytes of the current event's complete lines.
    event_bytes: usize,
    event: Partial,
}

/// The fields of an event whose end has not arrived yet.
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
    /// Creates a decoder that refuses events of more than `max_event_bytes`.
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

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or returns `None` when more bytes are needed.
    ///
    /// # Errors
    /// Fails on an event that is too large and on an id that is not an offset.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.next_line()? {
            if line.is_empty() {
                self.event_bytes = 0;
                let partial = std::mem::take(&mut self.event);
                // The standard does not dispatch an event without data.
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
            self.event.add_field(line)?;
        }
        Ok(None)
    }

    /// Removes and returns the next complete line without its ending.
    fn next_line(&mut self) -> Result<Option<Bytes>, Error> {
        if self.skip_line_feed && !self.buffer.is_empty() {
            self.skip_line_feed = false;
            if self.buffer[0] == b'\n' {
                let _ = self.buffer.split_to(1);
            }
        }
        let unscanned = &self.buffer[self.scanned..];
        let Some(index) = unscanned
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'))
        else {
            self.scanned = self.buffer.len();
            self.check_size(self.event_bytes + self.scanned)?;
            return Ok(None);
        };
        let end = self.scanned + index;
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
    /// Adds the field on a line. A line without a colon is a field with an empty value, and one that starts with a
    /// colon is a comment.
    fn add_field(&mut self, line: Bytes) -> Result<(), Error> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(0) => return Ok(()),
            Some(colon) => {
                let leading_space = usize::from(line.get(colon + 1) == Some(&b' '));
                (line.slice(..colon), line.slice(colon + 1 + leading_space..))
            }
            None => (line, Bytes::new()),
        };
        match &name[..] {
            b"data" => self.append_data(value),
            b"id" => self.offset = Some(parse_offset(&value)?),
            b"event" => self.name = value,
            _ => {}
        }
        Ok(())
    }

    fn append_data(&mut self, value: Bytes) {
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

/// Parses an offset. Accepts digits only, while `u64::from_str` accepts a leading `+`.
fn parse_offset(value: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::BadOffset)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::BadOffset);
    }
    text.parse().map_err(|_| Error::BadOffset)
}

/// Appends an event to `out`. Each line feed in its data starts another `data:` line.
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

/// Writes the decimal digits of `value` to the end of `digits` and returns them.
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
