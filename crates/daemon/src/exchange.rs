//! One attempt of a request at one backend server, from sending the request to the end of the answer.

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

/// Largest answer of a plain service. It is buffered whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Bound on reading the rest of a body after the terminal marker, which lets the connection be reused.
const TRAILER_TIMEOUT: Duration = Duration::from_secs(1);

/// A whole answer that is not an event stream.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the server has stated that it did not start the request.
    pub(crate) not_started: bool,
}

/// The next event of an attempt.
#[derive(Debug)]
pub(crate) enum Signal {
    /// The head of the response has arrived and has the expected identity.
    Head(ResponseHead),
    /// An event of the stream.
    Event(Event),
    /// The whole answer.
    Answer(Answer),
    /// The attempt has failed without a complete answer.
    Failed(Failure),
}

/// The identity that the response must have to be accepted.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) request: RequestId,
    /// Expected incarnation of the engine; set when a stream is resumed.
    pub(crate) incarnation: Option<Incarnation>,
    /// Expected weights version; empty for plain services.
    pub(crate) weights_version: compact_str::CompactString,
}

/// An attempt. Dropping it before it has finished tells the server to cancel the request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) backend: Arc<Backend>,
    expected: Expected,
    inter_token_timeout: Duration,
    /// When the attempt fails unless the next event has arrived.
    deadline: Instant,
    state: State,
    /// Span of the attempt, open as long as this value exists.
    _span: Span,
}

#[derive(Debug)]
enum State {
    Sent(ResponseFuture),
    Events {
        body: Incoming,
        decoder: Box<Decoder>,
        /// Whether an event has arrived.
        started: bool,
    },
    /// The terminal marker has arrived. The rest of the body is read so that the connection can be reused.
    Ending {
        body: Incoming,
        marker: Event,
        /// Whether the attempt has yielded to the runtime once.
        yielded: bool,
    },
    Whole {
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
        received: BytesMut,
        not_started: bool,
    },
    Finished,
}

/// The server, identity and timeouts of an attempt to start.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) span: Span,
    pub(crate) number: AttemptNumber,
    pub(crate) backend: Arc<Backend>,
    pub(crate) expected: Expected,
    pub(crate) first_token_timeout: Duration,
    pub(crate) inter_token_timeout: Duration,
    /// Whether to replace the connection pool first.
    pub(crate) fresh_connection: bool,
    /// Whether the connection carries this request only.
    pub(crate) unpooled_connection: bool,
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
    /// Sends the request.
    pub(crate) fn start(plan: Plan, request: Request<Full<Bytes>>) -> Self {
        let backend = plan.backend;
        let pooled = backend.client(plan.fresh_connection);
        let response = if plan.unpooled_connection {
            backend.unpooled_client().request(request)
        } else {
            pooled.request(request)
        };
        Self {
            number: plan.number,
            expected: plan.expected,
            inter_token_timeout: plan.inter_token_timeout,
            deadline: Instant::now() + plan.first_token_timeout,
            state: State::Sent(response),
            _span: plan.span,
            backend,
        }
    }

    /// Restarts the timeout for the next token. Time in which the caller did not read must not count against the
    /// server.
    pub(crate) fn restart_timeout(&mut self) {
        if let State::Events { started: true, .. } = self.state {
            self.deadline = Instant::now() + self.inter_token_timeout;
        }
    }

    /// Waits for the next signal. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Signal {
        let signal = match tokio::time::timeout_at(self.deadline, self.advance()).await {
            Ok(signal) => signal,
            Err(_) => Signal::Failed(Failure::Silent),
        };
        match &signal {
            Signal::Failed(_) | Signal::Answer(_) => self.state = State::Finished,
            Signal::Event(_) => {
                if let State::Events { started, .. } = &mut self.state {
                    *started = true;
                }
                self.deadline = Instant::now() + self.inter_token_timeout;
            }
            Signal::Head(_) => {}
        }
        signal
    }

    /// Marks the attempt as finished, so that dropping it does not cancel the request.
    pub(crate) fn finish(&mut self) {
        self.state = State::Finished;
    }

    async fn advance(&mut self) -> Signal {
        loop {
            let failure = match &mut self.state {
                State::Sent(response) => match response.await {
                    Ok(response) => match self.accept_head(response) {
                        Ok(Some(signal)) => return signal,
                        Ok(None) => continue,
                        Err(failure) => failure,
                    },
                    Err(error) => classify_send_error(&error),
                },
                State::Events { body, decoder, .. } => match next_event(body, decoder).await {
                    Ok(event) if event.data == DONE => {
                        self.start_ending(event);
                        continue;
                    }
                    Ok(event) => return Signal::Event(event),
                    Err(failure) => failure,
                },
                State::Ending { body, yielded, .. } => {
                    let frame = body.frame().now_or_never();
                    let ended = matches!(frame, Some(None | Some(Err(_))));
                    if !ended && !*yielded {
                        // The connection's task is usually ready to report the end and only needs to be scheduled.
                        *yielded = true;
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return self.finish_stream(ended);
                }
                State::Whole { body, received, .. } => match read_body(body, received).await {
                    Ok(()) => return self.take_answer(),
                    Err(failure) => failure,
                },
                State::Finished => return std::future::pending().await,
            };
            return Signal::Failed(failure);
        }
    }

    /// Checks the head of a response and moves on to reading its body. Returns the head as a signal unless an engine
    /// answered without an event stream.
    fn accept_head(
        &mut self,
        response: hyper::Response<Incoming>,
    ) -> Result<Option<Signal>, Failure> {
        let (parts, body) = response.into_parts();
        let head = ResponseHead::try_from(&parts.headers).map_err(|error| {
            log::warn!("{}: {error}", self.backend.server.name);
            Failure::ServerError
        })?;
        if let Some(failure) = self.check_head(parts.status, &head) {
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
            started: false,
        };
        Ok(Some(Signal::Head(head)))
    }

    /// Returns the failure that the head of a response indicates, or `None` if the response answers this request.
    fn check_head(&self, status: StatusCode, head: &ResponseHead) -> Option<Failure> {
        let name = &self.backend.server.name;
        let echoed = head.request == Some(self.expected.request);
        // A response to another request says nothing about whether this one ran.
        if head.request.is_some() && !echoed {
            log::warn!("{name}: the response has the id of another request");
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
                    // The next attempt at this engine must name its present incarnation and weights version.
                    self.backend.record_incarnation(head.incarnation);
                    let version = head.weights_version.as_deref();
                    self.backend
                        .record_weights_version(version.unwrap_or_default());
                    Some(Failure::Mismatch)
                }
                // The engine now serves another model; another server may still serve the requested one.
                StatusCode::NOT_FOUND => Some(Failure::Refused {
                    retry_after: head.retry_after,
                }),
                // The request itself is invalid; the caller gets this response.
                status if status.is_client_error() => None,
                _ => Some(Failure::ServerError),
            };
        }
        let is_server_failure = status == StatusCode::TOO_MANY_REQUESTS
            || status == StatusCode::REQUEST_TIMEOUT
            || !(status.is_success() || status.is_client_error());
        if is_server_failure {
            return Some(Failure::ServerError);
        }
        if !echoed && (status.is_success() || self.backend.is_service()) {
            log::warn!("{name}: the response lacks the id of the request");
            self.backend.retire_connections();
            return Some(Failure::Broken);
        }
        self.check_identity(status, head)
    }

    /// Returns a failure if another incarnation or weights version than the expected one answers.
    fn check_identity(&self, status: StatusCode, head: &ResponseHead) -> Option<Failure> {
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
        // The engine has started the request, so it may have run.
        (other_incarnation || other_weights).then_some(Failure::Broken)
    }

    fn take_answer(&mut self) -> Signal {
        match std::mem::replace(&mut self.state, State::Finished) {
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

    fn start_ending(&mut self, marker: Event) {
        if let State::Events { body, .. } = std::mem::replace(&mut self.state, State::Finished) {
            self.state = State::Ending {
                body,
                marker,
                yielded: false,
            };
        }
    }

    /// Returns the terminal marker as a signal. A body that has not ended is read to its end in the background;
    /// otherwise the connection would close.
    fn finish_stream(&mut self, ended: bool) -> Signal {
        let State::Ending {
            mut body, marker, ..
        } = std::mem::replace(&mut self.state, State::Finished)
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
        if !matches!(self.state, State::Finished) {
            self.backend.cancel(self.expected.request);
        }
    }
}

fn classify_send_error(error: &ClientError) -> Failure {
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
                log::warn!("a backend server sent an invalid event stream: {error}");
                return Err(Failure::Broken);
            }
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    decoder.push(data);
                }
            }
            // The stream ended without the terminal marker.
            Some(Err(_)) | None => return Err(Failure::Broken),
        }
    }
}

async fn read_body(body: &mut Incoming, received: &mut BytesMut) -> Result<(), Failure> {
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
