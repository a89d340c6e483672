//! The listener for callers: connections, authentication and routing of a request to its handler.

mod listen;

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Version,
    body::{Body as _, Incoming},
    header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE, HeaderValue},
};
use jaystand_kernel::{Lifecycle, Phase};
use jaystand_policy::Chain;
use jaystand_sheet::Rule;
use jaystand_types::{
    Moment, Outcome, RepeatRule, RequestId, TeamId, Urgency, parse_request_id, render_request_id,
};
use jaystand_wire::header;
use tokio_util::task::TaskTracker;
use tracing::Instrument;

use crate::{
    chat,
    claim::Claims,
    hub::{Configured, Handle, Hub, NotSubmitted},
    memory::Memory,
    metrics::Metrics,
    reply::{Body, Problem, insert},
    service,
    settings::Settings,
    trace,
};

/// `Retry-After` while the daemon has no configuration, or its queue is full.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest idempotency key of a caller.
const MAX_KEY_BYTES: usize = 255;
const MODELS_PATH: &str = "/v1/models";

/// The services that requests of callers need.
pub(crate) struct Entry {
    pub(crate) settings: Arc<Settings>,
    pub(crate) hub: Arc<Hub>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) memory: Arc<Memory>,
    pub(crate) lifecycle: Lifecycle,
    /// Absent when the daemon runs without a platform.
    pub(crate) claims: Option<Arc<Claims>>,
    /// Tasks that continue when their caller has disconnected.
    pub(crate) background: TaskTracker,
}

/// A request of an authenticated caller.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) arrived: Moment,
    pub(crate) team: TeamId,
    pub(crate) configured: Arc<Configured>,
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
}

/// Records the outcome of a request once, when it is dropped. Without a call of `finish` the outcome is unknown.
pub(crate) struct OutcomeGuard {
    entry: Arc<Entry>,
    request: RequestId,
    urgency: Urgency,
    outcome: Outcome,
}

impl OutcomeGuard {
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        self.entry
            .metrics
            .record_outcome(self.urgency, self.outcome);
        self.entry.memory.record_end(self.request, self.outcome);
        let request = render_request_id(self.request);
        log::debug!(request = request.as_str(); "a request has ended: {}", self.outcome);
    }
}

impl Entry {
    /// Answers a request of a caller.
    pub(crate) async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let version = request.version();
        let id: RequestId = rand::random();
        let span = tracing::info_span!(
            target: "jaystand",
            "caller",
            request = render_request_id(id).as_str()
        );
        trace::set_remote_parent(&span, request.headers());
        let mut response = match self.route(id, request).instrument(span).await {
            Ok(response) => response,
            Err(problem) => {
                self.metrics.count_rejection(problem.code);
                problem.response(Some(id))
            }
        };
        // This makes callers move to another daemon before this one closes their connections.
        if version < Version::HTTP_2 && self.lifecycle.phase() >= Phase::LameDuck {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn route(
        self: &Arc<Self>,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let path = request.uri().path();
        let target = Target::from_path(path).ok_or_else(|| unknown_path(path))?;
        let method = request.method();
        if *method != target.method() {
            let message = format!("{path} takes {}, not {method}", target.method());
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Problem::invalid_request(
                status,
                "method_not_allowed",
                message,
            ));
        }
        let configured = self.hub.configured();
        let configured = configured.ok_or_else(|| not_ready(request.headers()))?;
        let team = authenticate(request.headers(), &configured)?;
        match target {
            Target::Request(id) => return self.request_state(id, &team),
            Target::Models => return Ok(models(id, &team, &configured)),
            Target::Chat | Target::Service(_) => {}
        }
        let arrived = self.hub.now();
        let (head, body) = request.into_parts();
        let body = self.read_body(body).await?;
        let call = Call {
            id,
            arrived,
            team,
            configured,
            head,
            body,
        };
        match target {
            Target::Chat => chat::complete(self, call).await,
            Target::Service(kind) => service::call(self, call, &kind).await,
            Target::Request(_) | Target::Models => Err(unknown_path("")),
        }
    }

    /// Returns the state and outcome of a recent request of the team.
    fn request_state(
        &self,
        id: Option<RequestId>,
        team: &TeamId,
    ) -> Result<Response<Body>, Problem> {
        let record = id.and_then(|id| Some((id, self.memory.find_for_team(id, team)?)));
        let Some((id, record)) = record else {
            let message = "the request is not known here; only recent requests are remembered";
            let status = StatusCode::NOT_FOUND;
            return Err(Problem::invalid_request(
                status,
                "request_not_found",
                message,
            ));
        };
        let body = serde_json::json!({
            "id": render_request_id(id).as_str(),
            "state": record.state,
            "outcome": record.outcome,
        });
        Ok(json(id, &body))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Problem> {
        let limits = &self.settings.limits;
        let limit = limits.body_bytes;
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large(limit));
        }
        let reading = tokio::time::timeout(limits.body_timeout, collect(body, limit));
        reading.await.unwrap_or_else(|_| {
            let message = format!("the body did not arrive within {:?}", limits.body_timeout);
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Problem::invalid_request(status, "body_timeout", message).closing())
        })
    }

    /// Submits a request to the router. If the configuration changes meanwhile, `find` looks up the rule again.
    pub(crate) fn submit(
        self: &Arc<Self>,
        call: &mut Call,
        find: impl Fn(&Configured) -> Result<Arc<Rule>, Problem>,
        shape: &Shape,
    ) -> Result<Submitted, Problem> {
        loop {
            let rule = find(&call.configured)?;
            let deadline = call.arrived + rule.limits.deadline;
            let request = jaystand_policy::Request {
                id: call.id,
                team: call.team.clone(),
                kind: rule.kind.clone(),
                urgency: rule.urgency,
                repeat: rule.repeat,
                chain: shape.chain.clone(),
                prompt_tokens: shape.prompt_tokens,
                expected_tokens: shape
                    .max_tokens
                    .map_or(rule.limits.expected_tokens, |max_tokens| {
                        max_tokens.min(rule.limits.expected_tokens)
                    }),
                deadline,
                first_token_target: rule.limits.first_token,
                servers: Arc::clone(&rule.servers),
            };
            let placement = tracing::info_span!(target: "jaystand", "placement");
            let submitted = placement.in_scope(|| self.hub.submit(&call.configured, request));
            match submitted {
                Ok(handle) => {
                    self.memory.record_start(call.id, &call.team);
                    let guard = OutcomeGuard {
                        entry: Arc::clone(self),
                        request: call.id,
                        urgency: rule.urgency,
                        outcome: Outcome::Unknown,
                    };
                    return Ok(Submitted {
                        handle,
                        deadline,
                        rule,
                        guard,
                    });
                }
                Err(NotSubmitted::Full) => {
                    let message = "the daemon's queue is full";
                    return Err(Problem::unavailable("queue_full", message, RETRY_AFTER));
                }
                Err(NotSubmitted::Stale) => {
                    if let Some(configured) = self.hub.configured() {
                        call.configured = configured;
                    }
                }
            }
        }
    }
}

/// Returns the models that the caller's team may use, in the format of the `OpenAI` API.
fn models(id: RequestId, team: &str, configured: &Configured) -> Response<Body> {
    let names = configured.active.models(team);
    // Clients require the field `created`, but models have no creation date here.
    let list: Vec<_> = names
        .iter()
        .map(|name| {
            serde_json::json!({"id": name, "object": "model", "created": 0, "owned_by": "jaystand"})
        })
        .collect();
    json(id, &serde_json::json!({"object": "list", "data": list}))
}

fn json(id: RequestId, body: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_string().into_bytes()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert(headers, header::REQUEST_ID, &render_request_id(id));
    response
}

/// Returns the error of a daemon without a configuration. If the caller sent an idempotency key, the outcome is
/// unknown, since an earlier request with that key may have run.
fn not_ready(headers: &HeaderMap) -> Problem {
    let message = "the daemon has no configuration yet";
    let mut problem = Problem::unavailable("not_ready", message, RETRY_AFTER);
    if headers.contains_key(header::IDEMPOTENCY_KEY) {
        problem.outcome = Outcome::Unknown;
    }
    problem
}

/// A request that the router has accepted.
pub(crate) struct Submitted {
    pub(crate) handle: Handle,
    pub(crate) deadline: Moment,
    pub(crate) rule: Arc<Rule>,
    pub(crate) guard: OutcomeGuard,
}

impl Submitted {
    /// Fails when the configuration has changed the repeat rule since the request was claimed or found to need no
    /// claim. Nothing has been sent at this point.
    pub(crate) fn check_repeat(self, checked: RepeatRule) -> Result<Self, Problem> {
        if self.rule.repeat == checked {
            return Ok(self);
        }
        self.guard.finish(Outcome::NotRun);
        let message = "the routing sheet has changed; send the request again";
        Err(Problem::unavailable("rule_changed", message, RETRY_AFTER))
    }
}

/// The properties of a request's content that placement and admission use.
#[derive(Default)]
pub(crate) struct Shape {
    pub(crate) chain: Chain,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: Option<u32>,
}

/// What a request asks for, by its path.
enum Target {
    Chat,
    Models,
    Service(String),
    Request(Option<RequestId>),
}

impl Target {
    fn from_path(path: &str) -> Option<Self> {
        if path == jaystand_wire::engine::CHAT_PATH {
            return Some(Self::Chat);
        }
        if path == MODELS_PATH {
            return Some(Self::Models);
        }
        if let Some(id) = path.strip_prefix("/v1/requests/") {
            return Some(Self::Request(parse_request_id(id)));
        }
        let rest = path.strip_prefix("/services/")?;
        let kind = rest.split('/').next().filter(|kind| !kind.is_empty())?;
        Some(Self::Service(kind.to_owned()))
    }

    fn method(&self) -> Method {
        match self {
            Self::Chat | Self::Service(_) => Method::POST,
            Self::Request(_) | Self::Models => Method::GET,
        }
    }
}

fn unknown_path(path: &str) -> Problem {
    let message = format!("there is nothing at {path}");
    Problem::invalid_request(StatusCode::NOT_FOUND, "unknown_path", message)
}

/// Returns the team whose API key the request has.
fn authenticate(headers: &HeaderMap, configured: &Configured) -> Result<TeamId, Problem> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let known = key.and_then(|key| configured.active.team(key.trim()));
    known.cloned().ok_or_else(|| {
        let message = "the API key is missing or unknown; send `Authorization: Bearer <key>`";
        Problem::invalid_request(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
    })
}

/// Reads a body of at most `limit` bytes.
async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body broke off: {error}");
            Problem::invalid_request(StatusCode::BAD_REQUEST, "body_incomplete", message).closing()
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = joined.len() + first.as_ref().map_or(0, Bytes::len) + data.len();
        if length > limit {
            return Err(too_large(limit));
        }
        // Most bodies arrive in one frame, which is returned without a copy.
        match first.take() {
            None if joined.is_empty() => first = Some(data),
            previous => {
                joined.extend_from_slice(&previous.unwrap_or_default());
                joined.extend_from_slice(&data);
            }
        }
    }
    Ok(first.unwrap_or_else(|| joined.freeze()))
}

fn too_large(limit: usize) -> Problem {
    let message = format!("the body exceeds {limit} bytes");
    Problem::invalid_request(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message).closing()
}

/// Returns the caller's idempotency key.
///
/// # Errors
/// Fails when the key is empty, longer than [`MAX_KEY_BYTES`] or not printable ASCII.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().ok();
    let valid = key.filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
    let Some(key) = valid else {
        let message = format!("the key must be 1 to {MAX_KEY_BYTES} printable ASCII characters");
        let status = StatusCode::BAD_REQUEST;
        let problem = Problem::invalid_request(status, "invalid_idempotency_key", message);
        return Err(problem.param(Some("idempotency-key")));
    };
    Ok(Some(key.to_owned()))
}
