//! The engine protocol: headers of a request and its response, and the small JSON bodies.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use jaystand_types::{Incarnation, RequestId, parse_request_id, render_request_id};
use serde::{Deserialize, Serialize};

use crate::header;

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of the load report.
pub const LOAD_PATH: &str = "/v1/load";

/// Path of one request on an engine, for cancellation.
#[must_use]
pub fn request_path(request: RequestId) -> String {
    format!("/v1/requests/{}", render_request_id(request))
}

/// What a request to an engine says besides its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The request.
    pub request: RequestId,
    /// Incarnation that the engine must have, if known.
    pub expect_incarnation: Option<Incarnation>,
    /// Weights version that it must serve.
    pub weights_version: &'a str,
    /// Separates cache entries.
    pub cache_salt: &'a str,
    /// Priority, 0 highest.
    pub priority: u8,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Where the stream goes on.
    pub position: Position,
}

jaystand_types::common! { value
    /// Where a stream goes on.
    pub enum Position {
        /// From its start.
        Start,
        /// After this offset, on the engine that sent it.
        After(u64),
        /// At this offset, on another engine, from the text already sent.
        Continue(u64),
    }
}

impl RequestHead<'_> {
    /// Adds the headers.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        insert(
            headers,
            header::REQUEST_ID,
            &render_request_id(self.request),
        );
        if let Some(incarnation) = self.expect_incarnation {
            headers.insert(header::EXPECT_INCARNATION, incarnation.into());
        }
        insert(headers, header::WEIGHTS_VERSION, self.weights_version);
        insert(headers, header::CACHE_SALT, self.cache_salt);
        headers.insert(header::PRIORITY, u16::from(self.priority).into());
        let deadline = u64::try_from(self.deadline.as_millis()).unwrap_or(u64::MAX);
        headers.insert(header::DEADLINE_MS, deadline.into());
        match self.position {
            Position::Start => {}
            Position::After(offset) => {
                headers.insert(header::LAST_EVENT_ID, offset.into());
            }
            Position::Continue(offset) => {
                headers.insert(header::CONTINUE_FROM, offset.into());
            }
        }
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Values are checked where they enter; one that cannot be a header is left out.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// What the head of a backend server's response says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request that it echoes.
    pub request: Option<RequestId>,
    /// Incarnation that answers; 0 when not said.
    pub incarnation: Incarnation,
    /// Weights version that answers.
    pub weights_version: Option<String>,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether it is proven that nothing ran.
    pub not_started: bool,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// A header of a response has a value that it must not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response header `{0}` has an invalid value")]
pub struct BadHeader(pub HeaderName);

impl TryFrom<&HeaderMap> for ResponseHead {
    type Error = BadHeader;

    fn try_from(headers: &HeaderMap) -> Result<Self, BadHeader> {
        Ok(Self {
            request: parse(headers, header::REQUEST_ID, parse_request_id)?,
            incarnation: parse(headers, header::ENGINE_INCARNATION, |text| {
                text.parse().ok()
            })?
            .unwrap_or_default(),
            weights_version: parse(headers, header::WEIGHTS_VERSION, |text| {
                Some(text.to_owned())
            })?,
            cached_tokens: parse(headers, header::CACHED_TOKENS, |text| text.parse().ok())?
                .unwrap_or_default(),
            leaving: is_one(headers, &header::ENGINE_LEAVING),
            not_started: is_one(headers, &header::NOT_STARTED),
            // A date is allowed here too; it is treated as absent.
            retry_after: headers
                .get(http::header::RETRY_AFTER)
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .map(Duration::from_secs),
        })
    }
}

fn parse<T>(
    headers: &HeaderMap,
    name: HeaderName,
    read: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, BadHeader> {
    let Some(value) = headers.get(&name) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(read) {
        Some(value) => Ok(Some(value)),
        None => Err(BadHeader(name)),
    }
}

fn is_one(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

/// Answer to `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Weights version that it serves.
    #[serde(default)]
    pub weights_version: String,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Age of the figures.
    #[serde(default)]
    pub age_ms: u64,
    /// What it does: `serve`, `prefill` or `idle`.
    #[serde(default)]
    pub role: String,
}

/// Answer to `DELETE /v1/requests/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// What the request had come to.
    pub state: CancelState,
}

/// State of a request that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelState {
    /// It never started and will not.
    NotStarted,
    /// It ran and was stopped.
    Cancelled,
    /// It had finished.
    Finished,
    /// The engine does not know it.
    Unknown,
}
