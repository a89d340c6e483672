//! HTTP interface of the engine.

use std::{io, sync::Arc, time::Duration};

use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
};
use jaystand_types::{RequestId, parse_request_id, render_request_id};
use serde::Deserialize;
use serde_json::json;

use super::{
    Engine, Message, Prompt, Record, StreamFault, answer_text, orders,
    state::Phase,
    stream::{self, Reader},
};
use crate::server::{self, Body, error};

const LOWEST_PRIORITY: u8 = 255;

/// Fields of a completion request that the engine reads.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Headers of a completion request.
#[derive(Debug)]
struct Head {
    id: RequestId,
    expected_incarnation: Option<u64>,
    weights_version: Option<String>,
    salt: String,
    priority: u8,
    deadline: Option<Duration>,
    last_event: Option<u32>,
    continue_from: Option<u32>,
    key: Option<String>,
}

pub(super) async fn route(
    engine: Arc<Engine>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => complete(engine, request).await,
        (&Method::DELETE, ["v1", "requests", id]) => Ok(cancel(&engine, id)),
        (&Method::GET, ["v1", "load"]) => Ok(load_report(&engine)),
        (&Method::GET, ["v1", "cache", "events"]) => {
            Ok(cache_events(&engine, request.uri().query()))
        }
        (&Method::GET, ["v1", "state"]) => Ok(orders::state_report(&engine)),
        (&Method::POST, ["v1", "orders"]) => {
            let body = server::read_body(request.into_body()).await?;
            Ok(orders::accept_order(engine, &body))
        }
        (&Method::POST, ["v1", "kv", "export"]) => {
            let body = server::read_body(request.into_body()).await?;
            Ok(orders::export_blocks(&engine, &body))
        }
        (&Method::POST, ["v1", "kv", "import"]) => {
            let body = server::read_body(request.into_body()).await?;
            Ok(orders::import_blocks(engine, &body).await)
        }
        _ => Ok(error(StatusCode::NOT_FOUND, "path", "no such path")),
    }
}

async fn complete(engine: Arc<Engine>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let Some(head) = Head::read(request.headers()) else {
        let message = "x-request-id must be 16 hexadecimal digits, and counts must be numbers";
        return Ok(mark_not_started(error(
            StatusCode::BAD_REQUEST,
            "header",
            message,
        )));
    };
    let body = server::read_body(request.into_body()).await?;
    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        let message = "the body is no completion request";
        return Ok(mark_not_started(error(
            StatusCode::BAD_REQUEST,
            "body",
            message,
        )));
    };
    let fault = engine.faults.lock().choose_fault();
    let prompt = Prompt::new(
        &head.salt,
        &completion.messages,
        usize::from(head.continue_from.is_some()),
        engine.settings.block_bytes,
        engine.settings.bytes_per_token,
    );
    if let Some(refusal) = check_request(&engine, &head, &completion, &prompt, fault.as_ref()) {
        return Ok(add_identity(&engine, refusal, head.id));
    }
    let reader = match open_stream(&engine, &head, &completion, prompt) {
        Ok(reader) => reader,
        Err(refusal) => return Ok(add_identity(&engine, *refusal, head.id)),
    };
    respond(engine, head, completion.stream, reader.with_fault(fault)).await
}

async fn respond(
    engine: Arc<Engine>,
    head: Head,
    streamed: bool,
    mut reader: Reader,
) -> io::Result<Response<Body>> {
    let started = reader.wait_started();
    let limit = head.deadline.unwrap_or(Duration::MAX);
    let phase = tokio::time::timeout(limit, started).await;
    if phase != Ok(Phase::Running) && phase != Ok(Phase::Finished) {
        // The job was cancelled in the queue, or its deadline passed while it waited.
        let never_ran = reader.leave_queue();
        let response = error(StatusCode::SERVICE_UNAVAILABLE, "queue", "left the queue");
        let response = if never_ran {
            mark_not_started(response)
        } else {
            response
        };
        return Ok(add_identity(&engine, response, head.id));
    }
    if let Some(StreamFault::Late(milliseconds)) = reader.fault() {
        tokio::time::sleep(Duration::from_millis(*milliseconds)).await;
    }
    let wrong_id = matches!(reader.fault(), Some(StreamFault::WrongRequestId));
    let echoed = if wrong_id { head.id ^ 1 } else { head.id };
    let cached = reader.cached_tokens();
    let mut response = if streamed {
        let mut response = Response::new(stream::body(reader));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    } else {
        server::json(StatusCode::OK, &reader.collect().await?)
    };
    response
        .headers_mut()
        .insert("x-cached-tokens", HeaderValue::from(cached));
    Ok(add_identity(&engine, response, echoed))
}

/// Checks a request before it enters the queue: injected fault, identity and role. Returns the refusal, if any.
fn check_request(
    engine: &Engine,
    head: &Head,
    completion: &Completion,
    prompt: &Prompt,
    fault: Option<&StreamFault>,
) -> Option<Response<Body>> {
    let mut state = engine.state.lock();
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let response = if let Some(StreamFault::Refuse { proof }) = fault {
        let response = error(unavailable, "refused", "fault: refused");
        if *proof {
            mark_not_started(response)
        } else {
            response
        }
    } else if head
        .expected_incarnation
        .is_some_and(|expected| expected != state.incarnation)
    {
        mark_not_started(error(
            StatusCode::CONFLICT,
            "incarnation",
            "another incarnation",
        ))
    } else if head
        .weights_version
        .as_ref()
        .is_some_and(|expected| *expected != state.weights_version)
    {
        mark_not_started(error(
            StatusCode::CONFLICT,
            "weights_version",
            "another weights version",
        ))
    } else if !completion.model.is_empty()
        && completion.model != state.model
        && completion.model != state.adapter
    {
        mark_not_started(error(
            StatusCode::NOT_FOUND,
            "model",
            "this engine serves another model",
        ))
    } else if state.loading || state.role != "serve" {
        mark_not_started(error(
            unavailable,
            "not_serving",
            "loading, or in another role",
        ))
    } else {
        return None;
    };
    let mut record = head.record(prompt);
    record.refused = true;
    state.record(record);
    Some(response)
}

/// Attaches to the stream of a known request, or adds a new request to the queue.
fn open_stream(
    engine: &Arc<Engine>,
    head: &Head,
    completion: &Completion,
    prompt: Prompt,
) -> Result<Reader, Box<Response<Body>>> {
    let mut state = engine.state.lock();
    let existing = state.jobs.get(&head.id).map(|job| {
        let progress = *job.progress.borrow();
        (progress.phase, job.prompt.hash == prompt.hash)
    });
    if let Some(last) = head.last_event {
        if !existing.is_some_and(|(phase, same)| same && phase != Phase::Cancelled) {
            // The stream may have run here before, so the refusal must not carry `x-not-started`.
            return Err(Box::new(error(
                StatusCode::NOT_FOUND,
                "stream",
                "no such stream to resume",
            )));
        }
        state.count_resume(head.id);
        drop(state);
        return Ok(Reader::new(Arc::clone(engine), head.id, last + 1));
    }
    if let Some((Phase::Waiting | Phase::Running, true)) = existing {
        state.count_resume(head.id);
        drop(state);
        return Ok(Reader::new(
            Arc::clone(engine),
            head.id,
            head.continue_from.unwrap_or(0),
        ));
    }
    let total = completion.max_tokens.or(completion.max_completion_tokens);
    let total = total.unwrap_or(engine.settings.default_tokens).max(1);
    let first = head.continue_from.unwrap_or(0);
    if first > 0 {
        let given = completion.messages.last().map(|last| last.content.as_str());
        if first > total || given != Some(answer_text(prompt.hash, first).as_str()) {
            let message = "the last message must hold the first x-continue-from tokens";
            return Err(Box::new(mark_not_started(error(
                StatusCode::BAD_REQUEST,
                "continuation",
                message,
            ))));
        }
    }
    if state.waiting.len() >= engine.settings.queue {
        let mut record = head.record(&prompt);
        record.refused = true;
        state.record(record);
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(Box::new(mark_not_started(error(
            status,
            "queue_full",
            "the queue is full",
        ))));
    }
    let record = state.record(head.record(&prompt));
    state.enqueue(head.id, prompt, head.priority, first, total, record);
    drop(state);
    engine.work.notify_one();
    Ok(Reader::new(Arc::clone(engine), head.id, first))
}

fn cancel(engine: &Engine, id: &str) -> Response<Body> {
    let mut state = engine.state.lock();
    let id = parse_request_id(id);
    let phase = id.and_then(|id| state.jobs.get(&id).map(|job| job.progress.borrow().phase));
    let name = match phase {
        // An unknown request may have run in an earlier incarnation.
        None => "unknown",
        Some(Phase::Waiting) => "not_started",
        Some(Phase::Running | Phase::Cancelled) => "cancelled",
        Some(Phase::Finished) => "finished",
    };
    if let Some(id) = id {
        state.end_job(id, Phase::Cancelled);
    }
    server::json(StatusCode::OK, &json!({"state": name}))
}

fn load_report(engine: &Engine) -> Response<Body> {
    let state = engine.state.lock();
    let lag = engine.settings.load_lag;
    let sample = state.load.sample_before(lag);
    let age = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
    let report = json!({
        "incarnation": state.incarnation,
        "weights_version": state.weights_version,
        "running": sample.running,
        "waiting": sample.waiting,
        "slots": engine.settings.slots,
        "leaving": state.leaving,
        "age_ms": age,
        "role": state.role,
    });
    server::json(StatusCode::OK, &report)
}

fn cache_events(engine: &Engine, query: Option<&str>) -> Response<Body> {
    let after = query.and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = engine.state.lock();
    let events = state.cache.events(after, engine.settings.event_lag);
    let report = json!({"incarnation": state.incarnation, "events": events});
    server::json(StatusCode::OK, &report)
}

impl Head {
    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        Some(Self {
            id: parse_request_id(text("x-request-id")?)?,
            expected_incarnation: parse_number(text("x-expect-incarnation")).ok()?,
            weights_version: text("x-weights-version")
                .filter(|version| !version.is_empty())
                .map(str::to_owned),
            salt: text("x-cache-salt").unwrap_or_default().to_owned(),
            priority: parse_number(text("x-priority"))
                .ok()?
                .unwrap_or(LOWEST_PRIORITY),
            deadline: parse_number(text("x-deadline-ms"))
                .ok()?
                .map(Duration::from_millis),
            last_event: parse_number(text("last-event-id")).ok()?,
            continue_from: parse_number(text("x-continue-from")).ok()?,
            key: text("idempotency-key").map(str::to_owned),
        })
    }

    fn record(&self, prompt: &Prompt) -> Record {
        Record {
            request: self.id,
            prompt: prompt.hash,
            prompt_tokens: prompt.tokens,
            salt: self.salt.clone(),
            priority: self.priority,
            expected_incarnation: self.expected_incarnation,
            first: self.continue_from.unwrap_or(0),
            key: self.key.clone(),
            ..Record::default()
        }
    }
}

/// Parses an optional header: `None` if it is absent, an error if it is malformed.
fn parse_number<T: std::str::FromStr>(text: Option<&str>) -> Result<Option<T>, T::Err> {
    text.map(str::parse).transpose()
}

/// Adds the headers that prove that the request did not start and allow a retry.
fn mark_not_started(mut response: Response<Body>) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("x-not-started", HeaderValue::from_static("1"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Adds the request id and the engine's identity to a response.
fn add_identity(engine: &Engine, mut response: Response<Body>, id: RequestId) -> Response<Body> {
    let state = engine.state.lock();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&render_request_id(id)) {
        headers.insert("x-request-id", value);
    }
    if let Ok(value) = HeaderValue::from_str(&state.weights_version) {
        headers.insert("x-weights-version", value);
    }
    headers.insert("x-engine-incarnation", HeaderValue::from(state.incarnation));
    if state.leaving {
        headers.insert("x-engine-leaving", HeaderValue::from_static("1"));
    }
    response
}
