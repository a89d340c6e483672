//! The admin API under `/v1`, with which operators inspect and change the deployment. Every call needs the admin key.

mod config;
mod explain;
mod problem;
mod servers;
mod status;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ALLOW, AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use jaystand_kernel::{Kernel, set_log_level};
use jaystand_types::parse_request_id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::{admin::Answer, memory::Memory, settings::Settings};
use problem::Problem;

/// Largest request body. A configuration at the target size is about 500 KB, and in a JSON string its line breaks are
/// escaped.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Longest time until a request body has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

type Result<T = Answer> = std::result::Result<T, Problem>;

/// An authenticated call.
struct Call {
    kernel: Kernel,
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers a call.
pub(crate) async fn answer(kernel: &Kernel, request: Request<Incoming>) -> Answer {
    match serve(kernel, request).await {
        Ok(answer) => answer,
        Err(problem) => problem.answer(),
    }
}

async fn serve(kernel: &Kernel, request: Request<Incoming>) -> Result {
    authenticate(kernel, request.headers())?;
    let (head, body) = request.into_parts();
    let reading = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Problem::too_large(MAX_BODY_BYTES));
        }
        Ok(Err(error)) => return Err(Problem::incomplete(&error.to_string())),
        Err(_) => return Err(Problem::incomplete("it did not arrive in time")),
    };
    let call = Call {
        kernel: kernel.clone(),
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    route(&call).await
}

fn authenticate(kernel: &Kernel, headers: &HeaderMap) -> Result<()> {
    let settings = kernel.require::<Settings>()?;
    if settings.admin.key.is_empty() {
        return Err(Problem::no_admin_key());
    }
    let presented = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    match presented {
        Some(key) if settings.admin.key.matches(key.trim()) => Ok(()),
        _ => Err(Problem::wrong_key()),
    }
}

async fn route(call: &Call) -> Result {
    let path = call.path.strip_prefix("/v1/").unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match parts[..] {
        ["status"] => call
            .require_method("GET")
            .and_then(|()| status::status(call)),
        ["hosts"] => call
            .require_method("GET")
            .and_then(|()| status::hosts(call)),
        ["servers"] => call
            .require_method("GET")
            .and_then(|()| servers::list(call)),
        ["servers", name, "drain"] => call
            .require_method("POST")
            .and_then(|()| servers::drain(call, name, true)),
        ["servers", name, "undrain"] => call
            .require_method("POST")
            .and_then(|()| servers::drain(call, name, false)),
        ["config"] if call.method == Method::GET => config::get(call).await,
        ["config"] => {
            call.require_one_of("PUT", "GET, PUT")?;
            config::put(call).await
        }
        ["config", "check"] => call
            .require_method("POST")
            .and_then(|()| config::check(call)),
        ["config", "diff"] => call
            .require_method("POST")
            .and_then(|()| config::diff(call)),
        ["config", "history"] => {
            call.require_method("GET")?;
            config::history(call).await
        }
        ["config", "history", version] => {
            call.require_method("GET")?;
            config::get_version(call, version).await
        }
        ["config", "rollback"] => {
            call.require_method("POST")?;
            config::rollback(call).await
        }
        ["explain"] => call
            .require_method("POST")
            .and_then(|()| explain::explain(call)),
        ["requests", id] => call
            .require_method("GET")
            .and_then(|()| request_state(call, id)),
        ["log-level"] => call.require_method("PUT").and_then(|()| set_level(call)),
        _ => Err(Problem::unknown_path(&call.path)),
    }
}

impl Call {
    /// Fails unless the call has this method.
    fn require_method(&self, method: &'static str) -> Result<()> {
        self.require_one_of(method, method)
    }

    /// Fails unless the call has `method`. `allowed` lists all methods of the path for the error.
    fn require_one_of(&self, method: &'static str, allowed: &'static str) -> Result<()> {
        if self.method.as_str() == method {
            return Ok(());
        }
        Err(Problem::wrong_method(&self.path, &self.method, allowed))
    }

    /// Parses the body as JSON.
    fn parse_body<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| Problem::bad_body(&error))
    }
}

/// The requested log level, and the answer with the new one.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Level {
    level: String,
}

fn set_level(call: &Call) -> Result {
    let requested: Level = call.parse_body()?;
    let level: log::LevelFilter = requested
        .level
        .parse()
        .map_err(|_| Problem::bad_level(&requested.level))?;
    set_log_level(level);
    log::info!("log level set to {level}");
    let level = level.as_str().to_lowercase();
    Ok(ok(&Level { level }))
}

/// Returns the state and outcome of a recent request.
fn request_state(call: &Call, id: &str) -> Result {
    let memory = call.kernel.require::<Memory>()?;
    let parsed = parse_request_id(id).ok_or_else(|| Problem::bad_request_id(id))?;
    let record = memory
        .find(parsed)
        .ok_or_else(|| Problem::unknown_request(id))?;
    Ok(ok(&json!({
        "id": id,
        "team": record.team,
        "state": record.state,
        "outcome": record.outcome,
    })))
}

fn ok(body: &impl Serialize) -> Answer {
    reply(StatusCode::OK, body)
}

fn reply(status: StatusCode, body: &impl Serialize) -> Answer {
    // The bodies consist of strings, numbers and lists, so serialising does not fail.
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Inserts the `Allow` header.
fn insert_allow(answer: &mut Answer, methods: &'static str) {
    let methods = HeaderValue::from_static(methods);
    answer.headers_mut().insert(ALLOW, methods);
}
