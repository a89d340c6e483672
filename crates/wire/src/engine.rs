//! The engine protocol: the headers of a request and of its response, and the JSON bodies of the load report and of a
//! cancellation.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use jaystand_types::{Incarnation, RequestId, parse_request_id, render_request_id};
use serde::{Deserialize, Serialize};

use crate::header;

/// The path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of the load report.
pub const LOAD_PATH: &str = "/v1/load";

/// Returns the path of one request on an engine. A `DELETE` to it cancels the request.
#[must_use]
pub fn request_path(request: RequestId) -> String {
    format!("/v1/requests/{}", render_request_id(request))
}

/// The headers of a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The id of the request.
    pub request: RequestId,
    /// The incarnation that the engine must have, if known.
    pub expect_incarnation: Option<Incarnation>,
    /// The weights version that the engine must serve.
    pub weights_version: &'a str,
    /// The salt that separates the engine's cache entries, see [`header::CACHE_SALT`].
    pub cache_salt: &'a str,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The time left until the request's deadline.
    pub deadline: Duration,
    /// Where the stream of the answer starts or resumes.
    pub position: Position,
}

jaystand_types::common! { value
    /// Where a stream starts or resumes.
    pub enum Position {
        /// At its start.
        Start,
        /// After the event with this offset, on the engine that sent the event.
        After(u64),
        /// At this offset, on another engine, which continues from the text already sent.
        Continue(u64),
    }
}

impl RequestHead<'_> {
    /// Inserts the headers into `headers`.
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
    // Values are checked where they enter the process. One that is not a valid header value is left out.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The headers of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request id that the server echoes.
    pub request: Option<RequestId>,
    /// The incarnation of the engine; 0 when absent.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    pub weights_version: Option<String>,
    /// The number of prompt tokens that the engine found in its cache.
    pub cached_tokens: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether the server proves that it did not start the request.
    pub not_started: bool,
    /// The time to wait before a retry.
    pub retry_after: Option<Duration>,
}

/// The error returned when a response header has an invalid value.
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
            // HTTP also allows a date, which counts as absent here.
            retry_after: headers
                .get(http::header::RETRY_AFTER)
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .map(Duration::from_secs),
        })
    }
}

/// Parses the value of a header with `parse_value`. Returns `None` when the header is absent.
fn parse<T>(
    headers: &HeaderMap,
    name: HeaderName,
    parse_value: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, BadHeader> {
    let Some(value) = headers.get(&name) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(parse_value) {
        Some(value) => Ok(Some(value)),
        None => Err(BadHeader(name)),
    }
}

fn is_one(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "1")
}

/// The answer to `GET /v1/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    #[serde(default)]
    pub weights_version: String,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that the engine runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether the engine is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// The age of these values.
    #[serde(default)]
    pub age_ms: u64,
    /// The engine's role: `serve`, `prefill` or `idle`.
    #[serde(default)]
    pub role: String,
}

/// The answer to `DELETE /v1/requests/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The state of the request.
    pub state: CancelState,
}

/// The state of a request after its cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelState {
    /// The request had not started and will not start.
    NotStarted,
    /// The request was running and was stopped.
    Cancelled,
    /// The request had already finished.
    Finished,
    /// The engine does not know the request.
    Unknown,
}
