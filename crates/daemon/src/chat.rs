//! Chat completions, with and without a stream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use jaystand_policy::{Chain, Salt};
use jaystand_sheet::{Rule, Target};
use jaystand_types::{Outcome, RequestId, render_request_id};
use jaystand_wire::{chat, header, sse};
use tokio::sync::mpsc;

use crate::{
    drive::{Driver, Job, Output, Source},
    entry::{Call, Entry, OutcomeGuard, Shape, Submitted},
    exchange::Answer,
    hub::Configured,
    once::{self, Permission},
    reply::{Body, Problem, insert, insert_outcome},
};

/// Bytes of prompt text per token, the usual figure for English text.
const BYTES_PER_TOKEN: usize = 4;
/// Pieces of an answer buffered for a caller that reads slowly. When the buffer is full, the engine has to wait too.
const MAX_BUFFERED_PIECES: usize = 16;
/// Events that are ready together are joined into one piece until it has this size.
const TARGET_PIECE_BYTES: usize = 16 * 1024;

/// Serves a chat completion.
pub(crate) async fn complete(
    entry: &Arc<Entry>,
    mut call: Call,
) -> Result<Response<Body>, Problem> {
    let body = call.body.clone();
    let request = chat::Request::try_from(&body[..]).map_err(|error| bad_request(&error))?;
    let kind = request_kind(&call.head.headers)?;
    let model = request.model.as_ref();
    let piece_bytes = entry.settings.chain.piece_bytes;
    let shape = shape(piece_bytes, &call.configured, &call.team, &request);
    let team = call.team.clone();
    let find = |configured: &Configured| find_rule(configured, &team, kind.as_deref(), model);
    let rule = find(&call.configured)?;
    let key = once::idempotency_key(&call.head.headers, rule.repeat)?;
    let deadline = call.arrived + rule.limits.deadline;
    let content = [call.head.uri.path().as_bytes(), &body[..]];
    let permission = once::claim(entry, rule.repeat, &team, key.as_ref(), content, deadline);
    let claim = match permission.await? {
        Permission::NotNeeded => None,
        Permission::Claimed(claim) => Some(claim),
        Permission::Recorded(mut response) => {
            once::insert_key(&mut response, key.as_deref());
            return Ok(response);
        }
    };
    let submitted = entry.submit(&mut call, find, &shape);
    let submitted = submitted.and_then(|submitted| submitted.check_repeat(rule.repeat));
    let Submitted {
        handle,
        deadline,
        rule,
        guard,
    } = match submitted {
        Ok(submitted) => submitted,
        Err(problem) => {
            if let Some(claim) = claim {
                claim.release();
            }
            return Err(problem);
        }
    };
    let job = Job::Chat {
        team,
        model: model.into(),
        body: engine_body(&request, &body),
        original: body.clone(),
        headers: engine_headers(&call.head.headers, key.as_deref()),
    };
    let metrics = Arc::clone(&entry.metrics);
    let whole = !request.stream;
    let driver = Driver::new(handle, job, whole, deadline, &rule, metrics);
    let completion = Completion {
        id: call.id,
        driver,
        guard,
        prompt_tokens: shape.prompt_tokens,
    };
    let (outcome, mut response) = if whole {
        completion.answer_whole(entry).await
    } else {
        completion.answer_stream(entry).await
    };
    if let Some(claim) = claim {
        claim.settle(outcome, &response).await;
    }
    once::insert_key(&mut response, key.as_deref());
    Ok(response)
}

/// A submitted chat completion that is to be answered.
struct Completion {
    id: RequestId,
    driver: Driver,
    guard: OutcomeGuard,
    prompt_tokens: u32,
}

impl Completion {
    /// Answers with one object once the answer is complete.
    async fn answer_whole(mut self, entry: &Entry) -> (Outcome, Response<Body>) {
        loop {
            match self.driver.next().await {
                Output::Event(_) => {}
                Output::End => {
                    let source = self.driver.source();
                    entry
                        .metrics
                        .record_cache_use(self.prompt_tokens, source.cached_tokens);
                    let body = self.driver.assembly().whole().unwrap_or_default();
                    let mut response = Response::new(Body::from(body));
                    let headers = response.headers_mut();
                    insert_source(headers, self.id, source);
                    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                    insert_outcome(headers, Outcome::Done);
                    self.guard.finish(Outcome::Done);
                    return (Outcome::Done, response);
                }
                other => return self.without_stream(other),
            }
        }
    }

    /// Answers with a stream. Its outcome is not known yet when the response head is sent.
    async fn answer_stream(mut self, entry: &Entry) -> (Outcome, Response<Body>) {
        let first = match self.driver.next().await {
            Output::Event(event) => event,
            other => return self.without_stream(other),
        };
        let source = self.driver.source();
        entry
            .metrics
            .record_cache_use(self.prompt_tokens, source.cached_tokens);
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PIECES);
        let mut response = Response::new(Body::Pieces(receiver));
        let headers = response.headers_mut();
        insert_source(headers, self.id, source);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        tokio::spawn(forward(self.driver, first, sender, self.guard));
        (Outcome::Unknown, response)
    }

    /// Answers with something that is not a stream.
    fn without_stream(self, output: Output) -> (Outcome, Response<Body>) {
        match output {
            Output::Answer(answer) => {
                let outcome = answer.outcome();
                let response = backend_response(answer, self.id, self.driver.source());
                self.guard.finish(outcome);
                (outcome, response)
            }
            Output::Refused {
                reason,
                retry_after,
                outcome,
            } => {
                self.guard.finish(outcome);
                let problem = Problem::refused(reason, retry_after, outcome);
                (outcome, problem.response(Some(self.id)))
            }
            // A stream delivers an event before it ends.
            Output::Event(_) | Output::End => {
                let message = "the answer is empty";
                let status = StatusCode::BAD_GATEWAY;
                let mut problem = Problem::invalid_request(status, "empty_answer", message);
                problem.outcome = Outcome::Unknown;
                (Outcome::Unknown, problem.response(Some(self.id)))
            }
        }
    }
}

/// Forwards the events of a stream until it ends or fails, or the caller disconnects.
async fn forward(
    mut driver: Driver,
    first: sse::Event,
    sender: mpsc::Sender<Bytes>,
    guard: OutcomeGuard,
) {
    let mut piece = BytesMut::new();
    sse::encode(&first, &mut piece);
    loop {
        let end = append_ready(&mut driver, &mut piece);
        if !piece.is_empty() {
            let reserved = tokio::time::timeout(driver.time_left(), sender.reserve()).await;
            match reserved {
                Ok(Ok(permit)) => permit.send(piece.split().freeze()),
                // The caller has disconnected, or has not read before the deadline passed.
                Ok(Err(_)) | Err(_) => return,
            }
        }
        if let Some(outcome) = end {
            guard.finish(outcome);
            return;
        }
        let output = tokio::select! {
            output = driver.next() => output,
            () = sender.closed() => return,
        };
        if let Some(outcome) = append(output, &mut piece) {
            // The outcome is the same if the caller has disconnected.
            let _ = sender.send(piece.freeze()).await;
            guard.finish(outcome);
            return;
        }
    }
}

/// Appends the events that are ready now. Returns the outcome if the answer has ended.
fn append_ready(driver: &mut Driver, piece: &mut BytesMut) -> Option<Outcome> {
    while piece.len() < TARGET_PIECE_BYTES {
        let output = driver.next().now_or_never()?;
        if let Some(outcome) = append(output, piece) {
            return Some(outcome);
        }
    }
    None
}

/// Appends one output, encoded. Returns the outcome if it is the last one.
fn append(output: Output, piece: &mut BytesMut) -> Option<Outcome> {
    match output {
        Output::Event(event) => {
            sse::encode(&event, piece);
            None
        }
        Output::End => {
            let done = sse::Event {
                data: Bytes::from_static(sse::DONE),
                ..sse::Event::default()
            };
            sse::encode(&done, piece);
            Some(Outcome::Done)
        }
        Output::Refused {
            reason,
            retry_after,
            outcome,
        } => {
            let problem = Problem::refused(reason, retry_after, outcome);
            sse::encode(&problem.event(), piece);
            Some(outcome)
        }
        // The driver yields no whole answer once a stream has begun.
        Output::Answer(_) => Some(Outcome::Unknown),
    }
}

/// Inserts the headers that name the request and the server of an answer.
pub(crate) fn insert_source(headers: &mut HeaderMap, id: RequestId, source: &Source) {
    insert(headers, header::REQUEST_ID, &render_request_id(id));
    headers.insert(header::CACHED_TOKENS, source.cached_tokens.into());
    if let Some(backend) = &source.backend {
        insert(headers, header::SERVED_BY, &backend.server.name);
        insert(headers, header::DATA_CENTRE, &backend.server.data_centre);
    }
}

/// Returns the response to the caller for a whole answer of a backend server.
pub(crate) fn backend_response(answer: Answer, id: RequestId, source: &Source) -> Response<Body> {
    let outcome = answer.outcome();
    let mut response = Response::new(Body::Whole(Some(answer.body)));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    *headers = crate::service::forwarded_headers(&answer.headers);
    insert_source(headers, id, source);
    insert_outcome(headers, outcome);
    response
}

fn bad_request(error: &chat::Error) -> Problem {
    let status = StatusCode::BAD_REQUEST;
    Problem::invalid_request(status, "invalid_request", error.to_string()).param(error.field())
}

fn request_kind(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(header::REQUEST_KIND) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(kind) => Ok(Some(kind.to_owned())),
        Err(_) => Err(unknown_kind("(not ASCII)")),
    }
}

fn unknown_kind(kind: &str) -> Problem {
    let message = format!("the team has no request kind `{kind}` for this");
    Problem::invalid_request(StatusCode::BAD_REQUEST, "unknown_kind", message)
        .param(Some("x-request-kind"))
}

/// Returns the team's rule for a request kind and model. Without a kind, its first rule for the model.
pub(crate) fn find_rule(
    configured: &Configured,
    team: &str,
    kind: Option<&str>,
    model: &str,
) -> Result<Arc<Rule>, Problem> {
    let active = &configured.active;
    let Some(kind) = kind else {
        return active
            .first_rule(team, model)
            .cloned()
            .ok_or_else(|| unknown_model(model));
    };
    let rule = active.rule(team, kind).ok_or_else(|| unknown_kind(kind))?;
    match &rule.target {
        Target::Model(name) if name == model => Ok(Arc::clone(rule)),
        Target::Model(_) => Err(unknown_model(model)),
        Target::Service(_) => Err(unknown_kind(kind)),
    }
}

fn unknown_model(model: &str) -> Problem {
    let message = format!("the model `{model}` does not exist or the team may not use it");
    Problem::invalid_request(StatusCode::NOT_FOUND, "model_not_found", message).param(Some("model"))
}

/// Returns the properties of a chat request that placement and admission use.
pub(crate) fn shape(
    piece_bytes: usize,
    configured: &Configured,
    team: &str,
    request: &chat::Request<'_>,
) -> Shape {
    let model = request.model.as_ref();
    let weights_version = configured.active.weights_version(model);
    let salt = Salt::new(team, model, "", &weights_version);
    let messages = request.messages.iter();
    let segments = messages.map(|message| message.get().as_bytes());
    let bytes: usize = request.messages.iter().map(|it| it.get().len()).sum();
    Shape {
        chain: Chain::new(salt, piece_bytes, segments),
        prompt_tokens: u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        max_tokens: request.max_tokens,
    }
}

/// Returns the body for engines. That of a caller with a stream needs no change.
fn engine_body(request: &chat::Request<'_>, original: &Bytes) -> Bytes {
    if request.stream {
        return original.clone();
    }
    request.to_engine_body(None).into()
}

fn engine_headers(caller: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(16);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(value) = caller.get(header::TRACEPARENT) {
        headers.insert(header::TRACEPARENT, value.clone());
    }
    if let Some(key) = key {
        insert(&mut headers, header::IDEMPOTENCY_KEY, key);
    }
    headers
}
