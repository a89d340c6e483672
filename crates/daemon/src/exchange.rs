//! One attempt of a request at one backend server, from the request's head to the answer's end.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::client::legacy::{Error as ClientError, ResponseFuture};
use jaystand_policy::{AttemptNumber, Failure};
use jaystand_types::{Incarnation, Outcome, RequestId};
use jaystand_wire::{
    engine::ResponseHead,
    sse::{DONE, Decoder, Event},
};
use tokio::time::Instant;
use tracing::Span;

use crate::backend::Backend;

/// Largest answer of a plain service, which is held whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Bound on reading what follows the terminal marker, so that the connection can be used again.
const TRAILER_TIMEOUT: Duration = Duration::from_secs(1);

/// A whole answer that is not an event stream.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the server has proven that nothing ran.
    pub(crate) not_started: bool,
}

/// What an attempt came to next.
#[derive(Debug)]
pub(crate) enum Signal {
    /// The head of the response has arrived and its identity is right.
    Head(ResponseHead),
    /// An event of the stream.
    Event(Event),
    /// The whole answer.
    Answer(Answer),
    /// The attempt is over without an answer.
    Failed(Failure),
}

/// What the response must say to be accepted.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) request: RequestId,
    /// Incarnation that must answer; set when a stream is resumed.
    pub(crate) incarnation: Option<Incarnation>,
    /// Weights version that must answer; empty for plain services.
    pub(crate) weights_version: compact_str::CompactString,
}

/// An attempt. Dropping it before its end tells the server to cancel.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) backend: Arc<Backend>,
    expected: Expected,
    token_deadline: Duration,
    deadline: Instant,
    state: State,
    /// Open as long as the attempt.
    _span: Span,
}

#[derive(Debug)]
enum State {
    Sent(ResponseFuture),
    Events {
        body: Incoming,
        decoder: Box<Decoder>,
        begun: bool,
    },
    /// The terminal marker has come; the rest of the body is read so that the connection can be used again.
    Ending {
        body: Incoming,
        marker: Event,
        yielded: bool,
    },
    Whole {
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
        received: BytesMut,
        not_started: bool,
    },
    Over,
}

/// How to send an attempt.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) span: Span,
    pub(crate) number: AttemptNumber,
    pub(crate) backend: Arc<Backend>,
    pub(crate) expected: Expected,
    pub(crate) first_token_deadline: Duration,
    pub(crate) token_deadline: Duration,
    pub(crate) fresh_connection: bool,
    /// Whether the connection carries this request only.
    pub(crate) own_connection: bool,
}

impl Answer {
    pub(crate) fn outcome(&self) -> Outcome {
        if self.not_started {
            Outcome::NotRun
        } else {
            Outcome::Done
        }
    }
}

impl Attempt {
    pub(crate) fn start(plan: Plan, request: Request<Full<Bytes>>) -> Self {
        let backend = plan.backend;
        let pooled = backend.client(plan.fresh_connection);
        let response = if plan.own_connection {
            backend.unpooled_client().request(request)
        } else {
            pooled.request(request)
        };
        Self {
            number: plan.number,
            expected: plan.expected,
            token_deadline: plan.token_deadline,
            deadline: Instant::now() + plan.first_token_deadline,
            state: State::Sent(response),
            _span: plan.span,
            backend,
        }
    }

    /// Starts the wait for the next token anew. Time in which the caller did not read must not count against
    /// the server.
    pub(crate) fn restart_wait(&mut self) {
        if let State::Events { begun: true, .. } = self.state {
            self.deadline = Instant::now() + self.token_deadline;
        }
    }

    /// Waits for what comes next. May be dropped and called again without loss.
    pub(crate) async fn next(&mut self) -> Signal {
        let signal = match tokio::time::timeout_at(self.deadline, self.advance()).await {
            Ok(signal) => signal,
            Err(_) => Signal::Failed(Failure::Silent),
        };
        match &signal {
            Signal::Failed(_) | Signal::Answer(_) => self.state = State::Over,
            Signal::Event(_) => {
                if let State::Events { begun, .. } = &mut self.state {
                    *begun = true;
                }
                self.deadline = Instant::now() + self.token_deadline;
            }
            Signal::Head(_) => {}
        }
        signal
    }

    /// The attempt's stream has ended as it should, or it is of no further use.
    pub(crate) fn conclude(&mut self) {
        self.state = State::Over;
    }

    async fn advance(&mut self) -> Signal {
        loop {
            let over = match &mut self.state {
                State::Sent(response) => match response.await {
                    Ok(response) => match self.head(response) {
                        Ok(Some(signal)) => return signal,
                        Ok(None) => continue,
                        Err(failure) => failure,
                    },
                    Err(error) => send_failure(&error),
                },
                State::Events { body, decoder, .. } => match next_event(body, decoder).await {
                    Ok(event) if event.data == DONE => {
                        self.ending(event);
                        continue;
                    }
                    Ok(event) => return Signal::Event(event),
                    Err(failure) => failure,
                },
                State::Ending { body, yielded, .. } => {
                    let frame = body.frame().now_or_never();
                    let ended = matches!(frame, Some(None | Some(Err(_))));
                    if !ended && !*yielded {
                        // The connection's task is mostly ready to report the end and needs a turn only.
                        *yielded = true;
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return self.drain(ended);
                }
                State::Whole { body, received, .. } => match read_whole(body, received).await {
                    Ok(()) => return self.answer(),
                    Err(failure) => failure,
                },
                State::Over => return std::future::pending().await,
            };
            return Signal::Failed(over);
        }
    }

    fn head(&mut self, response: hyper::Response<Incoming>) -> Result<Option<Signal>, Failure> {
        let (parts, body) = response.into_parts();
        let head = ResponseHead::try_from(&parts.headers).map_err(|error| {
            log::warn!("{}: {error}", self.backend.server.name);
            Failure::ServerError
        })?;
        if let Some(failure) = self.refusal(parts.status, &head) {
            return Err(failure);
        }
        let is_stream = parts.status.is_success() && !self.backend.is_service();
        if !is_stream {
            self.state = State::Whole {
                status: parts.status,
                headers: parts.headers,
                body,
                received: BytesMut::new(),
                not_started: head.not_started,
            };
            return Ok(self.backend.is_service().then_some(Signal::Head(head)));
        }
        if !is_event_stream(&parts.headers) {
            return Err(Failure::ServerError);
        }
        self.state = State::Events {
            body,
            decoder: Box::default(),
            begun: false,
        };
        Ok(Some(Signal::Head(head)))
    }

    /// The failure that a response's head stands for, if it is not an answer to this request.
    fn refusal(&self, status: StatusCode, head: &ResponseHead) -> Option<Failure> {
        let name = &self.backend.server.name;
        let echoed = head.request == Some(self.expected.request);
        // A refusal of another request proves nothing about this one.
        if head.request.is_some() && !echoed {
            log::warn!("{name}: answered with the id of another request");
            self.backend.retire_connections();
            return Some(Failure::Broken);
        }
        if head.not_started {
            return match status {
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    Some(Failure::Refused {
                        retry_after: head.retry_after,
                    })
                }
                StatusCode::CONFLICT => {
                    // The next attempt here must name what the engine is now.
                    self.backend.record_incarnation(head.incarnation);
                    let version = head.weights_version.as_deref();
                    self.backend
                        .record_weights_version(version.unwrap_or_default());
                    Some(Failure::Mismatch)
                }
                // The engine serves another model by now; another server may not.
                StatusCode::NOT_FOUND => Some(Failure::Refused {
                    retry_after: head.retry_after,
                }),
                // The request itself is at fault, which the caller needs to know.
                status if status.is_client_error() => None,
                _ => Some(Failure::ServerError),
            };
        }
        let unfit = status == StatusCode::TOO_MANY_REQUESTS
            || status == StatusCode::REQUEST_TIMEOUT
            || !(status.is_success() || status.is_client_error());
        if unfit {
            return Some(Failure::ServerError);
        }
        if !echoed && (status.is_success() || self.backend.is_service()) {
            log::warn!("{name}: answered without the id of the request");
            self.backend.retire_connections();
            return Some(Failure::Broken);
        }
        self.identity(status, head)
    }

    fn identity(&self, status: StatusCode, head: &ResponseHead) -> Option<Failure> {
        if !status.is_success() || self.backend.is_service() {
            return None;
        }
        let other_incarnation = self
            .expected
            .incarnation
            .is_some_and(|expected| head.incarnation != 0 && head.incarnation != expected);
        let other_weights = head
            .weights_version
            .as_ref()
            .is_some_and(|version| **version != *self.expected.weights_version);
        // The engine has started, so this does not prove that nothing ran.
        (other_incarnation || other_weights).then_some(Failure::Broken)
    }

    fn answer(&mut self) -> Signal {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Whole {
                status,
                headers,
                received,
                not_started,
                ..
            } => Signal::Answer(Answer {
                status,
                headers,
                not_started,
                body: received.freeze(),
            }),
            _ => Signal::Failed(Failure::Broken),
        }
    }

    fn ending(&mut self, marker: Event) {
        if let State::Events { body, .. } = std::mem::replace(&mut self.state, State::Over) {
            self.state = State::Ending {
                body,
                marker,
                yielded: false,
            };
        }
    }

    /// Passes the terminal marker on. A body that has not ended yet is read to its end in the background, without
    /// which the connection would close.
    fn drain(&mut self, ended: bool) -> Signal {
        let State::Ending {
            mut body, marker, ..
        } = std::mem::replace(&mut self.state, State::Over)
        else {
            return Signal::Failed(Failure::Broken);
        };
        if !ended {
            tokio::spawn(async move {
                let rest = async { while let Some(Ok(_)) = body.frame().await {} };
                let _ = tokio::time::timeout(TRAILER_TIMEOUT, rest).await;
            });
        }
        Signal::Event(marker)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !matches!(self.state, State::Over) {
            self.backend.cancel(self.expected.request);
        }
    }
}

fn send_failure(error: &ClientError) -> Failure {
    if error.is_connect() {
        return Failure::NotSent;
    }
    Failure::Broken
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

async fn next_event(body: &mut Incoming, decoder: &mut Decoder) -> Result<Event, Failure> {
    loop {
        match decoder.next_event() {
            Ok(Some(event)) => return Ok(event),
            Ok(None) => {}
            Err(error) => {
                log::warn!("a backend server sent a bad event stream: {error}");
                return Err(Failure::Broken);
            }
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    decoder.push(data);
                }
            }
            // The stream closed without its terminal marker.
            Some(Err(_)) | None => return Err(Failure::Broken),
        }
    }
}

async fn read_whole(body: &mut Incoming, received: &mut BytesMut) -> Result<(), Failure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if received.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(Failure::ServerError);
        }
        received.extend_from_slice(data);
    }
    Ok(())
}
