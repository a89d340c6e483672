//! Streams of answer chunks, and the faults that are injected into them.

use std::{fmt::Write as _, io, sync::Arc};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use jaystand_types::{RequestId, render_request_id};
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};

use super::{
    Engine, StreamFault, answer_text,
    prompt::token_text,
    state::{Phase, Progress},
};
use crate::server::{self, Body};

/// Most chunks that go into one write when several are ready.
const MAX_CHUNKS_PER_WRITE: u32 = 64;

/// A reader of a job's stream. After its last reader is dropped, a job goes on for the grace time.
pub(super) struct Reader {
    engine: Arc<Engine>,
    id: RequestId,
    next: u32,
    facts: Facts,
    progress: watch::Receiver<Progress>,
    fault: Option<StreamFault>,
    /// Chunk that a reorder fault holds back.
    held: Option<u32>,
    end: Option<End>,
}

/// Properties of a job that do not change while it runs.
#[derive(Clone, Debug, Default)]
struct Facts {
    hash: u64,
    total: u32,
    prompt_tokens: u32,
    model: String,
}

/// How the body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Cleanly.
    Closed,
    /// With a broken connection.
    Break,
    /// Never: the connection stays open without further bytes.
    Silence,
}

impl Reader {
    /// Reads the job's stream from offset `next`.
    pub(super) fn new(engine: Arc<Engine>, id: RequestId, next: u32) -> Self {
        let mut state = engine.state.lock();
        let model = state.model.to_string();
        let (facts, progress) = match state.jobs.get_mut(&id) {
            Some(job) => {
                job.readers += 1;
                job.orphaned = None;
                let facts = Facts {
                    hash: job.prompt.hash,
                    total: job.total,
                    prompt_tokens: job.prompt.tokens,
                    model,
                };
                (facts, job.progress.subscribe())
            }
            // The engine has crashed since it accepted the request.
            None => (Facts::default(), cancelled_progress()),
        };
        drop(state);
        Self {
            engine,
            id,
            next,
            facts,
            progress,
            fault: None,
            held: None,
            end: None,
        }
    }

    pub(super) fn with_fault(mut self, fault: Option<StreamFault>) -> Self {
        self.fault = fault;
        self
    }

    pub(super) fn fault(&self) -> Option<&StreamFault> {
        self.fault.as_ref()
    }

    /// Waits until the job has left the queue.
    pub(super) async fn wait_started(&mut self) -> Phase {
        let started = self
            .progress
            .wait_for(|progress| progress.phase != Phase::Waiting);
        started
            .await
            .map_or(Phase::Cancelled, |progress| progress.phase)
    }

    /// Cancels a job. Returns whether it certainly never ran.
    pub(super) fn leave_queue(&self) -> bool {
        let mut state = self.engine.state.lock();
        let waiting = self.progress.borrow().phase == Phase::Waiting;
        let queued = state.jobs.get(&self.id).is_some_and(|job| !job.started);
        state.end_job(self.id, Phase::Cancelled);
        waiting || queued
    }

    pub(super) fn cached_tokens(&self) -> u32 {
        let state = self.engine.state.lock();
        state.jobs.get(&self.id).map_or(0, |job| job.cached)
    }

    /// Waits for the whole answer of a request that did not ask for a stream.
    pub(super) async fn collect(mut self) -> io::Result<Value> {
        let finished = self
            .progress
            .wait_for(|progress| progress.phase >= Phase::Finished);
        let phase = finished.await.map(|progress| progress.phase);
        if phase.unwrap_or(Phase::Cancelled) != Phase::Finished {
            return Err(server::connection_dropped());
        }
        let text = answer_text(self.facts.hash, self.facts.total);
        Ok(json!({
            "id": format!("chatcmpl-{}", render_request_id(self.id)),
            "object": "chat.completion",
            "created": 0,
            "model": self.facts.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        }))
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.facts.prompt_tokens,
            "completion_tokens": self.facts.total,
            "total_tokens": self.facts.prompt_tokens + self.facts.total,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens()},
        })
    }

    /// Returns the next piece of the body; `None` closes it cleanly.
    async fn next_piece(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.end {
                Some(End::Closed) => return None,
                Some(End::Break) => {
                    self.end = Some(End::Closed);
                    // The connection flushes written data only when the body is pending; an immediate error would
                    // discard it.
                    tokio::task::yield_now().await;
                    return Some(Err(server::connection_dropped()));
                }
                Some(End::Silence) => std::future::pending().await,
                None => {}
            }
            let progress = *self.progress.borrow_and_update();
            let mut text = String::new();
            while self.end.is_none() && self.next < progress.ready && text.is_empty() {
                let stop = progress.ready.min(self.next + MAX_CHUNKS_PER_WRITE);
                while self.next < stop && self.end.is_none() {
                    self.write_next(&mut text);
                }
            }
            let finished = progress.phase == Phase::Finished && self.next >= progress.ready;
            if finished && self.end.is_none() {
                if self.next == self.facts.total {
                    self.write_next(&mut text);
                }
                if self.end.is_none() {
                    self.write_held(&mut text);
                    text.push_str("data: [DONE]\n\n");
                    self.end = Some(End::Closed);
                }
            }
            if !text.is_empty() {
                return Some(Ok(Bytes::from(text)));
            }
            if self.end.is_none() {
                let cancelled = progress.phase == Phase::Cancelled;
                if cancelled || self.progress.changed().await.is_err() {
                    self.end = Some(End::Closed);
                }
            }
        }
    }

    /// Writes the chunk at the current offset, altered by the fault if it hits this chunk, and advances the offset.
    fn write_next(&mut self, text: &mut String) {
        let offset = self.next;
        let hit = self
            .fault
            .as_ref()
            .is_some_and(|fault| fault.offset() == Some(offset));
        let fault = self.fault.clone().filter(|_| hit);
        match fault {
            Some(StreamFault::Drop(_)) => self.end = Some(End::Break),
            Some(StreamFault::Silent(_)) => self.end = Some(End::Silence),
            Some(StreamFault::Truncate(_)) => self.end = Some(End::Closed),
            Some(StreamFault::Skip(_)) => {}
            Some(StreamFault::Reorder(_)) => self.held = Some(offset),
            Some(StreamFault::Duplicate(_)) => {
                self.write_chunk(text, offset, self.id);
                self.write_chunk(text, offset, self.id);
            }
            Some(StreamFault::Crossed(_)) => self.write_chunk(text, offset, self.id ^ 1),
            Some(StreamFault::BadBytes(_)) => {
                let _ = write!(text, "id: {offset}\ndata: {{\"id\":\u{1}broken\n\n");
            }
            _ => {
                self.write_chunk(text, offset, self.id);
                self.write_held(text);
            }
        }
        self.next += 1;
    }

    /// Writes the chunk that a reorder fault holds back, if any.
    fn write_held(&mut self, text: &mut String) {
        if let Some(held) = self.held.take() {
            self.write_chunk(text, held, self.id);
        }
    }

    /// Writes a chunk as an event; the one after the last token carries `finish_reason` and `usage`.
    fn write_chunk(&self, text: &mut String, offset: u32, id: RequestId) {
        let id = render_request_id(id);
        let model = &self.facts.model;
        let _ = write!(
            text,
            "id: {offset}\ndata: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\
             \"created\":0,\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":",
        );
        if offset >= self.facts.total {
            let usage = self.usage();
            let _ = write!(
                text,
                "{{}},\"finish_reason\":\"stop\"}}],\"usage\":{usage}}}\n\n"
            );
            return;
        }
        let role = if offset == 0 {
            "\"role\":\"assistant\","
        } else {
            ""
        };
        let token = token_text(self.facts.hash, offset);
        let _ = write!(
            text,
            "{{{role}\"content\":\"{token}\"}},\"finish_reason\":null}}]}}\n\n"
        );
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        if let Some(job) = state.jobs.get_mut(&self.id) {
            job.readers = job.readers.saturating_sub(1);
            if job.readers == 0 {
                job.orphaned = Some(Instant::now());
            }
        }
    }
}

/// Returns the body of a streamed response.
pub(super) fn body(reader: Reader) -> Body {
    let pieces = stream::unfold(reader, |mut reader| async {
        let piece = reader.next_piece().await?;
        Some((piece.map(Frame::data), reader))
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// Returns the progress of a job that no longer exists.
fn cancelled_progress() -> watch::Receiver<Progress> {
    let progress = Progress {
        ready: 0,
        phase: Phase::Cancelled,
    };
    watch::channel(progress).1
}
