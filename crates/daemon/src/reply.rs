//! Responses to callers: bodies, and errors in the format that clients of the `OpenAI` API expect.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use jaystand_policy::Refusal;
use jaystand_types::{Outcome, RequestId, render_request_id};
use jaystand_wire::{error, header, sse};
use tokio::sync::mpsc;

/// Body of a response.
#[derive(Debug)]
pub(crate) enum Body {
    /// The whole body; `None` once it was read.
    Whole(Option<Bytes>),
    /// Pieces as they become available.
    Pieces(mpsc::Receiver<Bytes>),
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An error response to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    pub(crate) class: &'static str,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) param: Option<&'static str>,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection must be closed.
    pub(crate) close: bool,
}

impl Problem {
    /// Returns an error for an invalid request. Its outcome is `not_run`.
    pub(crate) fn invalid_request(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            class: "invalid_request_error",
            code,
            message: message.into(),
            param: None,
            outcome: Outcome::NotRun,
            retry_after: None,
            close: false,
        }
    }

    /// Returns an error for a request that cannot be served now. Its outcome is `not_run`.
    pub(crate) fn unavailable(code: &'static str, message: &str, retry_after: Duration) -> Self {
        Self {
            class: "server_error",
            retry_after: Some(retry_after),
            ..Self::invalid_request(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Sets the name of the request's parameter that is at fault.
    pub(crate) fn param(mut self, param: Option<&'static str>) -> Self {
        self.param = param;
        self
    }

    /// Makes the response close the connection.
    pub(crate) fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Returns the error for a request that the router has refused.
    pub(crate) fn refused(reason: Refusal, retry_after: Duration, outcome: Outcome) -> Self {
        let (status, class, code, message) = refusal(reason);
        Self {
            status,
            class,
            code,
            message: format!("{message}; outcome: {outcome}"),
            param: None,
            outcome,
            retry_after: Some(retry_after),
            close: false,
        }
    }

    fn body(&self, outcome: Option<Outcome>) -> Vec<u8> {
        let detail = error::Detail {
            message: self.message.clone(),
            class: self.class.to_owned(),
            code: Some(self.code.to_owned()),
            param: self.param.map(str::to_owned),
            outcome,
        };
        error::Body { error: detail }.to_json()
    }

    /// Returns the last event of a stream that cannot be completed.
    pub(crate) fn event(&self) -> sse::Event {
        sse::Event {
            offset: None,
            name: Bytes::from_static(b"error"),
            data: self.body(Some(self.outcome)).into(),
        }
    }

    /// Returns the response.
    pub(crate) fn response(&self, request: Option<RequestId>) -> Response<Body> {
        let mut response = Response::new(Body::from(self.body(None)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        insert_outcome(headers, self.outcome);
        if let Some(request) = request {
            insert(headers, header::REQUEST_ID, &render_request_id(request));
        }
        if let Some(retry_after) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(retry_after).into());
        }
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Rounds up, so that a caller that waits this long does not retry too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

fn refusal(reason: Refusal) -> (StatusCode, &'static str, &'static str, &'static str) {
    match reason {
        Refusal::Overload => (
            StatusCode::SERVICE_UNAVAILABLE,
            "server_error",
            "overloaded",
            "the deadline cannot be met with the present load",
        ),
        Refusal::TeamLimit => (
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limit_error",
            "rate_limit_exceeded",
            "the team's limit for this request kind is reached",
        ),
        Refusal::NoServer => (
            StatusCode::SERVICE_UNAVAILABLE,
            "server_error",
            "no_backend_server",
            "no allowed backend server can take the request",
        ),
        Refusal::DeadlinePassed => (
            StatusCode::GATEWAY_TIMEOUT,
            "server_error",
            "deadline_passed",
            "the request's deadline has passed",
        ),
        Refusal::AttemptsExhausted => (
            StatusCode::BAD_GATEWAY,
            "server_error",
            "backend_failed",
            "the backend servers failed and no further attempt is allowed",
        ),
        Refusal::QueueFull => (
            StatusCode::SERVICE_UNAVAILABLE,
            "server_error",
            "queue_full",
            "the queue is full",
        ),
    }
}

/// Inserts a header, or leaves it out if the value is not valid.
pub(crate) fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

pub(crate) fn insert_outcome(headers: &mut HeaderMap, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    headers.insert(header::OUTCOME, value);
}
