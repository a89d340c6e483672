//! Passes streams of events on as they arrive, and resumes those that may be resumed.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use jaystand_dispatch::health::Outcome;
use jaystand_types::Moment;
use tokio::{
    sync::mpsc,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    call::{Answer, Call, answered},
    events::Splitter,
    meter::MeteredBody,
    reply::{BrokenOff, Reply},
};

/// Pieces that wait for a slow caller; the server is read no faster.
const BUFFERED_PIECES: usize = 16;
/// A stream is cut this long after its deadline. The server stops at the deadline by itself, and its last
/// events are on their way.
const CUT_AFTER: Duration = Duration::from_millis(250);

/// A stream is taken as silent after this many of the longest pauses that its route allows.
const SILENCE_PAUSES: u32 = 2;
/// Longest pause of routes that state none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// Largest event. Events of the deployments have some hundred bytes.
const MOST_EVENT: usize = 256 << 10;

/// How a stream, or one server's part of it, ended.
enum End {
    /// Complete.
    Complete,
    /// It broke off.
    Broken,
    /// Nothing came for longer than pauses last.
    Silent,
    /// The caller has gone.
    CallerGone,
    /// The deadline has passed.
    Overdue,
}

/// Sends the request until a server's first event is there, and passes the stream on.
pub(crate) async fn serve(mut call: Call) -> Response<Reply> {
    loop {
        let mut answer = match call.attempt().await {
            Ok(answer) => answer,
            Err(stop) => return call.give_up(&stop),
        };
        if !answer.head.status.is_success() {
            match call.finish_whole(answer).await {
                Some(response) => return response,
                None => continue,
            }
        }
        if let Some(first) = first_piece_of(&call, &mut answer).await {
            answer.ticket.computed();
            let took = call.hub.now().saturating_sub(answer.sent);
            call.note_pace(answer.pooled.server, took, answer.choice.expected);
            call.note_first();
            return pass_on(call, answer, first);
        }
    }
}

/// The first piece of an answer. None, with its reason in the log, if it does not come.
async fn first_piece_of(call: &Call, answer: &mut Answer) -> Option<Bytes> {
    let whole_event = call.route.repeatable();
    let first = timeout(call.patience(), first_piece(&mut answer.body, whole_event)).await;
    let (outcome, reason) = match first {
        Ok(Some(Ok(first))) => return Some(first),
        Ok(Some(Err(error))) => (Outcome::Broken, format!("it broke: {error}")),
        Ok(None) => (Outcome::Broken, "it ended".to_owned()),
        Err(_) => (Outcome::Silent, "none in time".to_owned()),
    };
    call.note(answer.pooled.server, outcome);
    log::info!(request = call.id.as_str(), server = call.server_name();
        "no first event of the stream: {reason}");
    None
}

fn pass_on(call: Call, answer: Answer, first: Bytes) -> Response<Reply> {
    let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
    let status = answer.head.status;
    let mut headers = answer.headers.clone();
    // A resumed stream may differ in length from the first server's announcement.
    headers.remove(header::CONTENT_LENGTH);
    tokio::task::spawn_local(run(call, answer, first, sender));
    answered(status, headers, Reply::Pieces(receiver))
}

async fn run(mut call: Call, mut answer: Answer, first: Bytes, to: Sender) {
    let until = Instant::now() + call.left() + CUT_AFTER;
    let status = answer.head.status;
    let mut piece = Some(first);
    let mut part = Part::new(&call, until);
    loop {
        let server = answer.pooled.server;
        let end = part.copy(&mut call, &mut answer, piece.take(), &to).await;
        call.last_event = part.last_event;
        match end {
            End::Complete => {
                call.note(server, Outcome::Good);
                release(&call, answer);
                call.log_end(status, "streamed");
                return;
            }
            End::CallerGone => {
                call.log_end(status, "caller gone");
                return;
            }
            End::Overdue => {
                cut(&to);
                call.note(server, Outcome::Silent);
                call.log_end(StatusCode::GATEWAY_TIMEOUT, "stream overdue");
                return;
            }
            End::Silent => {
                log::info!(request = call.id.as_str(), server = call.server_name(),
                    after = call.last_event.unwrap_or(0), pieces = call.pieces; "stream is silent");
                call.note(server, Outcome::Silent);
                match take_over(&mut call, &mut part, &mut answer, &to).await {
                    Takeover::By(next, first) => {
                        answer = *next;
                        piece = Some(first);
                        part = Part {
                            last_piece: part.last_piece,
                            ..Part::new(&call, until)
                        };
                    }
                    Takeover::CallerGone => {
                        call.log_end(status, "caller gone");
                        return;
                    }
                    Takeover::Stays(bytes) => piece = bytes,
                    Takeover::Broken => return break_off(&call, &to),
                }
            }
            End::Broken => {
                log::info!(request = call.id.as_str(), server = call.server_name(),
                    after = call.last_event.unwrap_or(0), pieces = call.pieces; "stream broke on the way");
                call.note(server, Outcome::Broken);
                // The former connection is closed before another server goes on.
                drop(answer);
                let Some(next) = resume(&mut call, &to).await else {
                    return break_off(&call, &to);
                };
                answer = next;
                part = Part::new(&call, until);
            }
        }
    }
}

type Sender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// Copies one server's part of a stream.
struct Part {
    until: Instant,
    /// Whether only whole events are passed on, so that another server can go on after any of them.
    whole_events: bool,
    /// A silence of this length sends the stream to another server.
    silence: Option<Duration>,
    last_event: Option<u64>,
    splitter: Splitter,
    /// Whether what was passed on ends with an event.
    at_boundary: bool,
    /// Bytes that were read while another server was looked for.
    read_ahead: BytesMut,
    /// When the caller got its last piece.
    last_piece: Moment,
}

impl Part {
    fn new(call: &Call, until: Instant) -> Self {
        Self {
            until,
            whole_events: call.route.repeatable(),
            silence: silence(call),
            last_event: call.last_event,
            splitter: Splitter::default(),
            at_boundary: true,
            read_ahead: BytesMut::new(),
            last_piece: call.hub.now(),
        }
    }

    /// Copies until the part ends, or until the server was silent for too long; then it can go on.
    async fn copy(
        &mut self,
        call: &mut Call,
        answer: &mut Answer,
        mut piece: Option<Bytes>,
        to: &Sender,
    ) -> End {
        let framed = answer.framed;
        // Bytes that make no whole event are no progress: a server may send one now and then.
        let mut progress = Instant::now();
        loop {
            let bytes = if let Some(bytes) = piece.take() {
                bytes
            } else {
                let next = next_piece(&mut answer.body);
                let silent_at = self.silence.map_or(self.until, |most| progress + most);
                let next = tokio::select! {
                    next = timeout_at(self.until.min(silent_at), next) => next,
                    () = to.closed() => return End::CallerGone,
                };
                match next {
                    Ok(Some(Ok(bytes))) => bytes,
                    Ok(Some(Err(_))) => return End::Broken,
                    Ok(None) if self.whole_events && !self.splitter.is_empty() => {
                        return End::Broken;
                    }
                    // Without a length, a stream that ends within an event was cut off.
                    Ok(None) if !framed && !self.at_boundary => return End::Broken,
                    Ok(None) => return End::Complete,
                    Err(_) if Instant::now() < self.until => {
                        if call.may_leave() {
                            return End::Silent;
                        }
                        progress = Instant::now();
                        continue;
                    }
                    Err(_) => return End::Overdue,
                }
            };
            answer.ticket.computed();
            let now = call.hub.now();
            call.longest_pause = call.longest_pause.max(now.saturating_sub(self.last_piece));
            call.pieces += 1;
            self.last_piece = now;
            if self.whole_events {
                self.splitter.push(&bytes);
                while let Some(event) = self.splitter.next_event() {
                    if event.id.is_some() && event.id <= self.last_event {
                        continue;
                    }
                    self.last_event = event.id.or(self.last_event);
                    if event.is_progress() {
                        progress = Instant::now();
                    }
                    if to.send(Ok(event.bytes)).await.is_err() {
                        return End::CallerGone;
                    }
                }
                if self.splitter.pending() > MOST_EVENT {
                    log::warn!(request = call.id.as_str(), server = call.server_name(),
                        bytes = self.splitter.pending(); "an event without end; connection closed");
                    return End::Broken;
                }
            } else {
                self.at_boundary = bytes.ends_with(b"\n\n");
                if to.send(Ok(bytes)).await.is_err() {
                    return End::CallerGone;
                }
            }
        }
    }

    /// Reads ahead until the server makes progress or its part ends. Returns whether the part is sound.
    async fn progress(&mut self, body: &mut MeteredBody) -> bool {
        let mut splitter = self.splitter.clone();
        while let Some(piece) = next_piece(body).await {
            let Ok(piece) = piece else {
                return false;
            };
            self.read_ahead.extend_from_slice(&piece);
            splitter.push(&piece);
            while let Some(event) = splitter.next_event() {
                if event.is_progress() {
                    return true;
                }
            }
            if self.read_ahead.len() > MOST_EVENT {
                return false;
            }
        }
        true
    }

    /// What was read ahead, which is to be copied.
    fn take_read_ahead(&mut self) -> Option<Bytes> {
        let bytes = std::mem::take(&mut self.read_ahead);
        (!bytes.is_empty()).then(|| bytes.freeze())
    }
}

/// What became of a stream whose server was silent.
enum Takeover {
    /// Another server goes on, with these first bytes.
    By(Box<Answer>, Bytes),
    /// The server goes on, with these bytes, or is waited for.
    Stays(Option<Bytes>),
    /// The server broke off, and no other goes on.
    Broken,
    /// The caller has gone.
    CallerGone,
}

/// Tries to go on at another server. The silent one is not left before another has sent an event: servers that are asked
/// may all refuse, and the stream would be cut although its own server is sound.
async fn take_over(call: &mut Call, part: &mut Part, answer: &mut Answer, to: &Sender) -> Takeover {
    let server = call.server_name().into();
    let (found, sound) = {
        let mut successor = std::pin::pin!(successor(call, to));
        tokio::select! {
            found = successor.as_mut() => (found, true),
            sound = part.progress(&mut answer.body) => {
                if sound {
                    (None, true)
                } else {
                    tokio::select! {
                        found = successor => (found, false),
                        () = to.closed() => return Takeover::CallerGone,
                    }
                }
            }
            () = to.closed() => return Takeover::CallerGone,
        }
    };
    match found {
        Some((next, first)) => Takeover::By(Box::new(next), first),
        None if sound => {
            call.stays_at(server);
            Takeover::Stays(part.take_read_ahead())
        }
        None => Takeover::Broken,
    }
}

/// Another server that goes on with a stream, and its first event.
async fn successor(call: &mut Call, to: &Sender) -> Option<(Answer, Bytes)> {
    let mut answer = resume(call, to).await?;
    let first = first_piece_of(call, &mut answer).await?;
    Some((answer, first))
}

/// The silence after which a stream is sent to another server. Streams that may not be resumed are waited for:
/// their server may go on.
fn silence(call: &Call) -> Option<Duration> {
    let pause = call.route.pause.unwrap_or(DEFAULT_PAUSE);
    call.may_repeat().then(|| pause * SILENCE_PAUSES)
}

/// Goes on at another server after the last event that the caller has.
async fn resume(call: &mut Call, to: &Sender) -> Option<Answer> {
    if !call.route.repeatable() {
        return None;
    }
    loop {
        let answer = tokio::select! {
            answer = call.attempt() => answer.ok()?,
            () = to.closed() => return None,
        };
        if answer.head.status.is_success() {
            log::info!(request = call.id.as_str(), after = call.last_event.unwrap_or(0);
                "stream resumed at another server");
            return Some(answer);
        }
        call.note(answer.pooled.server, Outcome::Error);
    }
}

fn release(call: &Call, answer: Answer) {
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

/// Ends a stream with which no server goes on.
fn break_off(call: &Call, to: &Sender) {
    cut(to);
    call.log_end(StatusCode::BAD_GATEWAY, "stream broke off");
}

/// Ends the caller's stream so that it does not look complete.
fn cut(to: &Sender) {
    if to.try_send(Err(BrokenOff)).is_err() {
        // The channel is full: a task waits for room, since the mark must not be lost.
        let to = to.clone();
        tokio::task::spawn_local(async move {
            if to.send(Err(BrokenOff)).await.is_err() {
                log::debug!("the caller of a broken stream has gone");
            }
        });
    }
}

/// The first piece of a stream; the first whole event where events are passed on whole.
async fn first_piece(body: &mut MeteredBody, whole_event: bool) -> Option<Result<Bytes, Fault>> {
    let mut pieces = BytesMut::new();
    let mut splitter = Splitter::default();
    loop {
        let piece = match next_piece(body).await? {
            Ok(piece) => piece,
            Err(error) => return Some(Err(Fault::Broken(error))),
        };
        if !whole_event {
            return Some(Ok(piece));
        }
        pieces.extend_from_slice(&piece);
        splitter.push(&piece);
        while let Some(event) = splitter.next_event() {
            if event.is_progress() {
                return Some(Ok(pieces.freeze()));
            }
        }
        if pieces.len() > MOST_EVENT {
            return Some(Err(Fault::NoEvent(pieces.len())));
        }
    }
}

/// Why a stream has no first event.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{0}")]
    Broken(hyper::Error),
    #[error("{0} bytes without a whole event")]
    NoEvent(usize),
}

async fn next_piece(body: &mut MeteredBody) -> Option<Result<Bytes, hyper::Error>> {
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
