//! Passes event streams to callers as they arrive, and resumes interrupted streams at another server where the route
//! allows it.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use jaystand_dispatch::health::Outcome;
use jaystand_types::Moment;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    buffer::{self, Share},
    call::{Answer, Call, build_response},
    events::{EVENT_END, Splitter},
    meter::MeteredBody,
    reply::{self, Reply, Sender},
    suspect::hash_name,
};

/// Time after the deadline at which a stream is aborted. The server stops by itself at the deadline, but its last
/// events are still on their way then.
const ABORT_DELAY: Duration = Duration::from_millis(250);

/// A stream counts as silent after the longest pause that its route allows, multiplied by this.
const SILENCE_PAUSE_FACTOR: u32 = 2;
/// Longest pause of routes that state none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// Largest event. Events of the deployments have some hundred bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Memory of a stream's buffers that does not count towards the memory of all bodies. Whole events need no more.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// How one server's segment of a stream ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The connection broke, or the stream ended within an event.
    Broken,
    /// The server sent an event without end.
    Endless,
    /// The server made no progress for the silence timeout, and the stream may move to another server.
    Silent,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline has passed.
    Overdue,
}

/// Sends the request until a server has sent its first event, then starts passing the stream on.
pub(crate) async fn serve(mut call: Call) -> Response<Reply> {
    loop {
        let mut answer = match call.send_until_answered().await {
            Ok(answer) => answer,
            Err(failure) => return call.give_up(&failure),
        };
        if !answer.head.status.is_success() {
            match call.finish_whole(answer).await {
                Some(response) => return response,
                None => continue,
            }
        }
        if let Some(first) = await_first_chunk(&call, &mut answer).await {
            answer.ticket.finish_prefill();
            let took = call.hub.now().saturating_sub(answer.sent);
            call.record_slowdown(answer.pooled.server, took, answer.choice.expected);
            call.record_first_byte();
            return start_stream(call, answer, first);
        }
    }
}

/// Waits for the first chunk of an answer. If none comes, logs the reason, records the outcome and returns `None`.
async fn await_first_chunk(call: &Call, answer: &mut Answer) -> Option<Bytes> {
    let whole_event = call.route.repeatable();
    let first = timeout(
        call.attempt_timeout(),
        read_first_chunk(&mut answer.body, whole_event, call.hub.buffers.share()),
    )
    .await;
    let is_full = matches!(first, Ok(Some(Err(Error::Memory(_)))));
    let (outcome, reason) = match first {
        Ok(Some(Ok(first))) => return Some(first),
        Ok(Some(Err(error))) => (Outcome::Broken, format!("it broke: {error}")),
        Ok(None) => (Outcome::Broken, "it ended".to_owned()),
        Err(_) => (Outcome::Silent, "none in time".to_owned()),
    };
    call.record_outcome(answer.pooled.server, outcome);
    if outcome == Outcome::Broken && !is_full {
        call.record_crash(answer.pooled.server);
    }
    log::info!(request = call.id.as_str(), server = call.server_name(), parts = call.part_ids(),
        fingerprint = hash_name(call.fingerprint);
        "no first event of the stream: {reason}");
    None
}

/// Starts the task that passes the stream on, and returns the response whose body it feeds.
fn start_stream(call: Call, answer: Answer, first: Bytes) -> Response<Reply> {
    let (sender, receiver) = reply::stream(&call.hub.unread_bytes);
    let status = answer.head.status;
    let mut headers = answer.headers.clone();
    // A resumed stream may differ in length from what the first server announced.
    headers.remove(header::CONTENT_LENGTH);
    tokio::task::spawn_local(relay_stream(call, answer, first, sender));
    build_response(status, headers, Reply::Chunks(receiver))
}

/// Passes a stream to the caller, segment by segment, and logs its end.
async fn relay_stream(mut call: Call, mut answer: Answer, first: Bytes, caller: Sender) {
    let abort_at = Instant::now() + call.time_left() + ABORT_DELAY;
    let status = answer.head.status;
    let mut chunk = Some(first);
    let mut segment = Segment::new(&call, abort_at);
    loop {
        let server = answer.pooled.server;
        let end = segment
            .forward(&mut call, &mut answer, chunk.take(), &caller)
            .await;
        call.last_event = segment.last_event;
        match end {
            End::Complete => {
                call.record_outcome(server, Outcome::Good);
                call.record_complete();
                release_connection(&call, answer);
                call.log_end(status, "streamed");
                return;
            }
            End::CallerGone => {
                call.log_end(status, "caller gone");
                return;
            }
            End::Overdue => {
                abort(&caller);
                call.record_outcome(server, Outcome::Silent);
                call.log_end(StatusCode::GATEWAY_TIMEOUT, "stream overdue");
                return;
            }
            End::Silent => {
                log::info!(request = call.id.as_str(), server = call.server_name(),
                    after = call.last_event.unwrap_or(0), pieces = call.chunks; "stream is silent");
                call.record_outcome(server, Outcome::Silent);
                match fail_over(&mut call, &mut segment, &mut answer, &caller).await {
                    Failover::Resumed(next, first) => {
                        answer = *next;
                        chunk = Some(first);
                        segment = Segment {
                            last_chunk: segment.last_chunk,
                            ..Segment::new(&call, abort_at)
                        };
                    }
                    Failover::CallerGone => {
                        call.log_end(status, "caller gone");
                        return;
                    }
                    Failover::Stayed(bytes) => chunk = bytes,
                    Failover::Broken => return fail_stream(&call, &caller),
                }
            }
            End::Broken | End::Endless => {
                log::info!(request = call.id.as_str(), server = call.server_name(),
                    after = call.last_event.unwrap_or(0), pieces = call.chunks,
                    fingerprint = hash_name(call.fingerprint); "stream broke on the way");
                call.record_outcome(server, Outcome::Broken);
                if matches!(end, End::Broken) {
                    call.record_cut(server);
                }
                // The former connection is closed before another server resumes.
                drop(answer);
                let Some(next) = resume(&mut call, &caller).await else {
                    return fail_stream(&call, &caller);
                };
                answer = next;
                segment = Segment::new(&call, abort_at);
            }
        }
    }
}

/// The segment of a stream that one server sends, and the state of passing it on.
struct Segment {
    /// The stream is aborted at this time.
    abort_at: Instant,
    /// Whether only whole events are passed on, so that another server can resume after any of them.
    whole_events: bool,
    /// The stream moves to another server after this time without progress.
    silence_timeout: Option<Duration>,
    /// Id of the last event that was passed on.
    last_event: Option<u64>,
    splitter: Splitter,
    /// The last two bytes that were passed on. An event ends with an empty line, which may come in pieces.
    tail: [u8; 2],
    /// Bytes that were read while another server was being tried.
    read_ahead: BytesMut,
    /// Memory of the buffers.
    memory: Share,
    /// When the last chunk was received.
    last_chunk: Moment,
}

impl Segment {
    fn new(call: &Call, abort_at: Instant) -> Self {
        Self {
            abort_at,
            whole_events: call.route.repeatable(),
            silence_timeout: silence_timeout(call),
            last_event: call.last_event,
            splitter: Splitter::default(),
            tail: EVENT_END,
            read_ahead: BytesMut::new(),
            memory: call.hub.buffers.share(),
            last_chunk: call.hub.now(),
        }
    }

    /// Passes the segment on until it ends or the server is silent for too long. After a silence, this can be called
    /// again for the same server.
    async fn forward(
        &mut self,
        call: &mut Call,
        answer: &mut Answer,
        mut chunk: Option<Bytes>,
        caller: &Sender,
    ) -> End {
        // A stream that ends within an event was cut off, and so was an answer without a length.
        let ends_with_event = answer.head.is_event_stream || !answer.framed;
        // Start of the silence timeout. Bytes that complete no event with content do not restart it: a stalled server
        // may send one now and then.
        let mut last_progress = Instant::now();
        loop {
            let bytes = if let Some(bytes) = chunk.take() {
                bytes
            } else {
                let next = next_chunk(&mut answer.body);
                let silent_at = self
                    .silence_timeout
                    .map_or(self.abort_at, |silence| last_progress + silence);
                let next = tokio::select! {
                    next = timeout_at(self.abort_at.min(silent_at), next) => next,
                    () = caller.closed() => return End::CallerGone,
                };
                match next {
                    Ok(Some(Ok(bytes))) => bytes,
                    Ok(Some(Err(_))) => return End::Broken,
                    Ok(None) if self.whole_events && !self.splitter.is_empty() => {
                        return End::Broken;
                    }
                    Ok(None) if ends_with_event && self.tail != EVENT_END => return End::Broken,
                    Ok(None) => return End::Complete,
                    Err(_) if Instant::now() < self.abort_at => {
                        if call.may_switch_server() {
                            return End::Silent;
                        }
                        last_progress = Instant::now();
                        continue;
                    }
                    Err(_) => return End::Overdue,
                }
            };
            answer.ticket.finish_prefill();
            let now = call.hub.now();
            call.longest_pause = call.longest_pause.max(now.saturating_sub(self.last_chunk));
            call.chunks += 1;
            self.last_chunk = now;
            if self.whole_events {
                self.splitter.push(&bytes);
                while let Some(event) = self.splitter.next_event() {
                    if event.id.is_some() && event.id <= self.last_event {
                        continue;
                    }
                    self.last_event = event.id.or(self.last_event);
                    if event.is_progress() {
                        last_progress = Instant::now();
                    }
                    if let Err(end) = self.pass(caller, event.bytes).await {
                        return end;
                    }
                }
                if self.splitter.pending() > MAX_EVENT_BYTES {
                    log::warn!(request = call.id.as_str(), server = call.server_name(),
                        bytes = self.splitter.pending(); "an event without end; connection closed");
                    return End::Endless;
                }
                if let Err(error) = count(&mut self.memory, self.splitter.capacity()) {
                    log::warn!(request = call.id.as_str(), server = call.server_name(),
                        bytes = self.splitter.pending(); "an unfinished event is dropped: {error}");
                    return End::Endless;
                }
            } else {
                self.tail = match *bytes {
                    [.., first, last] => [first, last],
                    [last] => [self.tail[1], last],
                    [] => self.tail,
                };
                if let Err(end) = self.pass(caller, bytes).await {
                    return end;
                }
            }
        }
    }

    /// Passes bytes to the caller. A caller that reads slowly holds the server back, but not beyond the deadline.
    async fn pass(&self, caller: &Sender, bytes: Bytes) -> Result<(), End> {
        match timeout_at(self.abort_at, caller.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::CallerGone),
            Err(_) => Err(End::Overdue),
        }
    }

    /// Reads ahead until the server makes progress or ends its answer. Returns false if the connection broke or
    /// more than `MAX_EVENT_BYTES` came without progress, or if no memory is left for them.
    async fn read_until_progress(&mut self, body: &mut MeteredBody) -> bool {
        let mut splitter = self.splitter.clone();
        while let Some(chunk) = next_chunk(body).await {
            let Ok(chunk) = chunk else {
                return false;
            };
            self.read_ahead.extend_from_slice(&chunk);
            splitter.push(&chunk);
            while let Some(event) = splitter.next_event() {
                if event.is_progress() {
                    return true;
                }
            }
            let buffered =
                self.read_ahead.capacity() + splitter.capacity() + self.splitter.capacity();
            if self.read_ahead.len() > MAX_EVENT_BYTES || count(&mut self.memory, buffered).is_err()
            {
                return false;
            }
        }
        true
    }

    /// Takes the bytes that were read ahead and have not been passed on.
    fn take_read_ahead(&mut self) -> Option<Bytes> {
        let bytes = std::mem::take(&mut self.read_ahead);
        (!bytes.is_empty()).then(|| bytes.freeze())
    }
}

/// Result of trying to move a stream away from a silent server.
enum Failover {
    /// Another server resumes the stream; its answer and its first bytes.
    Resumed(Box<Answer>, Bytes),
    /// The stream stays at its server, with the bytes that were read ahead, if any.
    Stayed(Option<Bytes>),
    /// The server broke off, and no other server resumes the stream.
    Broken,
    /// The caller closed its connection.
    CallerGone,
}

/// Tries to resume a stream at another server. The silent server is kept until another one has sent an event: all
/// others may refuse, and the stream would be aborted although its own server still works.
async fn fail_over(
    call: &mut Call,
    segment: &mut Segment,
    answer: &mut Answer,
    caller: &Sender,
) -> Failover {
    let server = call.server_name().into();
    let (found, intact) = {
        let mut successor = std::pin::pin!(find_successor(call, caller));
        tokio::select! {
            found = successor.as_mut() => (found, true),
            intact = segment.read_until_progress(&mut answer.body) => {
                if intact {
                    (None, true)
                } else {
                    tokio::select! {
                        found = successor => (found, false),
                        () = caller.closed() => return Failover::CallerGone,
                    }
                }
            }
            () = caller.closed() => return Failover::CallerGone,
        }
    };
    if !intact {
        call.record_cut(answer.pooled.server);
    }
    match found {
        Some((next, first)) => Failover::Resumed(Box::new(next), first),
        None if intact => {
            call.stay_at_server(server);
            Failover::Stayed(segment.take_read_ahead())
        }
        None => Failover::Broken,
    }
}

/// Resumes a stream at another server. Returns the answer and its first event.
async fn find_successor(call: &mut Call, caller: &Sender) -> Option<(Answer, Bytes)> {
    let mut answer = resume(call, caller).await?;
    let first = await_first_chunk(call, &mut answer).await?;
    Some((answer, first))
}

/// Returns the time without progress after which a stream moves to another server. `None` for streams that may not be
/// resumed and can only wait for their server.
fn silence_timeout(call: &Call) -> Option<Duration> {
    let pause = call.route.pause.unwrap_or(DEFAULT_PAUSE);
    call.may_repeat().then(|| pause * SILENCE_PAUSE_FACTOR)
}

/// Requests the rest of a stream from another server, after the last event that the caller has. Returns `None` if the
/// stream may not be resumed, no server does so, or the caller has gone.
async fn resume(call: &mut Call, caller: &Sender) -> Option<Answer> {
    if !call.route.repeatable() {
        return None;
    }
    loop {
        let answer = tokio::select! {
            answer = call.send_until_answered() => answer.ok()?,
            () = caller.closed() => return None,
        };
        let is_stream = answer.head.is_event_stream;
        if answer.head.status.is_success() && is_stream {
            log::info!(request = call.id.as_str(), after = call.last_event.unwrap_or(0);
                "stream resumed at another server");
            return Some(answer);
        }
        // The text of an error is no part of the caller's stream.
        log::info!(request = call.id.as_str(), server = call.server_name(),
            status = answer.head.status.as_u16(), is_stream; "the stream is not resumed by the answer");
        call.record_outcome(answer.pooled.server, Outcome::Error);
    }
}

/// Returns the connection of a complete answer to the pool.
fn release_connection(call: &Call, answer: Answer) {
    if answer.head.closes {
        return;
    }
    let (hub, pooled, idle) = (
        Rc::clone(&call.hub),
        answer.pooled,
        answer.head.idle_timeout,
    );
    tokio::task::spawn_local(async move { hub.return_connection(pooled, idle).await });
}

/// Ends a stream that no server resumes.
fn fail_stream(call: &Call, caller: &Sender) {
    abort(caller);
    call.log_end(StatusCode::BAD_GATEWAY, "stream broke off");
}

/// Ends the caller's stream with an error, so that it does not look complete.
fn abort(caller: &Sender) {
    if !caller.try_abort() {
        // The channel may be full. A task waits for room, because the error must reach the caller.
        let caller = caller.clone();
        tokio::task::spawn_local(async move {
            if caller.abort().await.is_err() {
                log::debug!(
                    "the caller closed its connection before it got the error of its broken stream"
                );
            }
        });
    }
}

/// Reads the first chunk of a stream. With `whole_event`, reads until the first event with content is complete.
async fn read_first_chunk(
    body: &mut MeteredBody,
    whole_event: bool,
    mut memory: Share,
) -> Option<Result<Bytes, Error>> {
    let mut chunks = BytesMut::new();
    let mut splitter = Splitter::default();
    loop {
        let chunk = match next_chunk(body).await? {
            Ok(chunk) => chunk,
            Err(error) => return Some(Err(Error::Broken(error))),
        };
        if !whole_event {
            return Some(Ok(chunk));
        }
        chunks.extend_from_slice(&chunk);
        splitter.push(&chunk);
        while let Some(event) = splitter.next_event() {
            if event.is_progress() {
                return Some(Ok(chunks.freeze()));
            }
        }
        if chunks.len() > MAX_EVENT_BYTES {
            return Some(Err(Error::NoEvent(chunks.len())));
        }
        if let Err(error) = count(&mut memory, chunks.capacity() + splitter.capacity()) {
            return Some(Err(Error::Memory(error)));
        }
    }
}

/// Counts the memory of a stream's buffers towards that of all bodies, if it is more than whole events need.
fn count(memory: &mut Share, bytes: usize) -> Result<(), buffer::Error> {
    memory.resize(if bytes > UNCOUNTED_BYTES { bytes } else { 0 })
}

/// Why the first chunk of a stream could not be read.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Broken(hyper::Error),
    #[error("{0} bytes without a whole event")]
    NoEvent(usize),
    #[error("{0}")]
    Memory(buffer::Error),
}

/// Reads the next chunk of a body that is not empty. Returns `None` at the end of the body.
async fn next_chunk(body: &mut MeteredBody) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data()
                    && !bytes.is_empty()
                {
                    return Some(Ok(bytes));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
