//! Assembles the answer to a caller from the attempts that produce it, without gaps, duplicates or chunks of other
//! requests.
//!
//! The module performs no I/O. The driver of a request passes events in and acts on the result.

use jaystand_types::RequestId;
use jaystand_wire::{
    chunk::{Chunk, Completion},
    sse::{DONE, Event},
};

/// Longest text kept so that another engine can continue an answer.
pub const MAX_CONTINUATION_BYTES: usize = 256 * 1024;
/// Largest answer assembled for a caller without a stream.
pub const MAX_WHOLE_BYTES: usize = 16 * 1024 * 1024;

/// The answer to one request as far as it was delivered.
#[derive(Debug)]
pub struct Assembly {
    request: RequestId,
    next_offset: u64,
    /// The text delivered so far; `None` when another engine cannot continue from it.
    text: Option<String>,
    /// Indices of the choices that have no finish reason yet.
    unfinished: Vec<u32>,
    ended: bool,
    /// Present if the chunks are also assembled into one object.
    whole: Option<Whole>,
}

/// The answer as one object, for a caller without a stream.
#[derive(Debug, Default)]
struct Whole {
    completion: Completion,
    bytes: usize,
}

/// What to do with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    Deliver(Event),
    /// Drop it: the caller has it already.
    Duplicate,
    /// The answer is complete.
    End,
}

/// Why the stream of an attempt cannot be used further. Events that were delivered before stay valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Events are missing.
    #[error("expected offset {expected}, got {got}")]
    Gap {
        /// The next offset to deliver.
        expected: u64,
        /// The offset of the event.
        got: u64,
    },
    /// The chunk answers another request.
    #[error("a chunk answers another request")]
    WrongRequest,
    /// The event has no offset, or its data is not a chunk.
    #[error("an event is not a chunk with an offset")]
    Malformed,
    /// The terminal marker came before the answer was complete.
    #[error("the terminal marker came before the end of the answer")]
    PrematureEnd,
    /// The engine reported an error inside the stream.
    #[error("the engine reported an error")]
    Engine,
    /// The answer is larger than the bound.
    #[error("the answer exceeds {MAX_WHOLE_BYTES} bytes")]
    TooLarge,
}

impl Assembly {
    /// Returns an empty answer. With `whole`, the chunks are also assembled into one object.
    #[must_use]
    pub fn new(request: RequestId, whole: bool) -> Self {
        Self {
            request,
            next_offset: 0,
            text: Some(String::new()),
            unfinished: Vec::new(),
            ended: false,
            whole: whole.then(Whole::default),
        }
    }

    /// Returns the offset of the next event to deliver; 0 when nothing was delivered.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the text delivered so far; `None` when another engine cannot continue from it.
    #[must_use]
    pub fn continuation(&self) -> Option<&str> {
        self.text.as_deref()
    }

    /// Returns whether the terminal marker was accepted.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Returns the whole answer as JSON, if it has ended and is assembled into one object.
    #[must_use]
    pub fn whole(&self) -> Option<Vec<u8>> {
        let whole = self.whole.as_ref().filter(|_| self.ended)?;
        Some(whole.completion.to_json())
    }

    /// Accepts the next event of the attempt that produces the answer.
    ///
    /// # Errors
    /// Fails when the attempt's stream cannot be used further; another attempt may continue the answer.
    pub fn accept(&mut self, event: Event) -> Result<Step, Fault> {
        if event.data == DONE {
            return self.accept_marker(event.offset);
        }
        let offset = event.offset.ok_or(Fault::Malformed)?;
        // The chunk is checked before its offset, so that a chunk of another request is never treated as a duplicate.
        let chunk: Chunk<'_> = serde_json::from_slice(&event.data).map_err(|_| Fault::Malformed)?;
        if chunk.request() != Some(self.request) {
            return Err(Fault::WrongRequest);
        }
        if offset < self.next_offset {
            return Ok(Step::Duplicate);
        }
        self.check_offset(offset)?;
        if chunk.error.is_some() {
            return Err(Fault::Engine);
        }
        self.record_chunk(chunk, event.data.len())?;
        self.next_offset += 1;
        Ok(Step::Deliver(event))
    }

    fn accept_marker(&mut self, offset: Option<u64>) -> Result<Step, Fault> {
        if let Some(offset) = offset {
            self.check_offset(offset)?;
        }
        // A terminal marker after lost events must not make a truncated answer look complete.
        if self.next_offset == 0 || !self.unfinished.is_empty() {
            return Err(Fault::PrematureEnd);
        }
        self.ended = true;
        Ok(Step::End)
    }

    fn check_offset(&self, got: u64) -> Result<(), Fault> {
        if got == self.next_offset {
            return Ok(());
        }
        Err(Fault::Gap {
            expected: self.next_offset,
            got,
        })
    }

    fn record_chunk(&mut self, chunk: Chunk<'_>, bytes: usize) -> Result<(), Fault> {
        if let Some(whole) = &self.whole
            && whole.bytes + bytes > MAX_WHOLE_BYTES
        {
            return Err(Fault::TooLarge);
        }
        self.record_text(&chunk);
        for choice in &chunk.choices {
            let known = self.unfinished.iter().position(|it| *it == choice.index);
            match (known, &choice.finish_reason) {
                (Some(position), Some(_)) => {
                    self.unfinished.swap_remove(position);
                }
                (None, None) => self.unfinished.push(choice.index),
                _ => {}
            }
        }
        if let Some(whole) = &mut self.whole {
            whole.bytes += bytes;
            whole.completion.add(chunk);
        }
        Ok(())
    }

    /// Adds the text of a chunk, or drops all text if another engine could not continue from it.
    fn record_text(&mut self, chunk: &Chunk<'_>) {
        let Some(text) = &mut self.text else { return };
        if !chunk.is_plain_text() {
            self.text = None;
            return;
        }
        for choice in &chunk.choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
        if text.len() > MAX_CONTINUATION_BYTES {
            self.text = None;
        }
    }
}
