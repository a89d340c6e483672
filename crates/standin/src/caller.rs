//! An HTTP client of the daemons: sends a request and reads and classifies the answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// A caller with a pool of keep-alive connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct Call {
    /// Path.
    pub path: String,
    /// API key of the team.
    pub key: String,
    /// Request kind.
    pub kind: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Pause after each read of a stream, for slow readers.
    pub read_pause: Duration,
}

/// Why an answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The connection could not be opened.
    Connect,
    /// The connection broke before the response head.
    Head,
    /// The connection broke during the body.
    Body,
    /// The body ended without the terminal marker and without an error.
    Unmarked,
    /// The stream ended with an explicit error event.
    Explicit,
}

/// The answer to a call, as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, if a response head arrived.
    pub status: Option<StatusCode>,
    /// `x-request-id`.
    pub request_id: String,
    /// `x-served-by`.
    pub served_by: String,
    /// `x-data-centre`.
    pub data_centre: String,
    /// `x-cached-tokens`.
    pub cached_tokens: Option<u32>,
    /// Outcome, from the header, the last event or the error body.
    pub outcome: String,
    /// Code of the error body or error event.
    pub error_code: String,
    /// `Retry-After`.
    pub retry_after: Option<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time until the answer ended.
    pub total: Duration,
    /// Text of the answer; the body for plain services and errors.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: u32,
    /// Number of chunks whose completion id does not match the request id of the response head.
    pub foreign_chunks: u32,
    /// Why the answer is incomplete, if it is.
    pub cut: Option<Cut>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self(Client::builder(TokioExecutor::new()).build(connector))
    }
}

impl Caller {
    /// Sends a call to a daemon and reads the whole answer.
    pub async fn send(&self, address: SocketAddr, call: &Call) -> Answer {
        let sent_at = Instant::now();
        let mut answer = Answer::default();
        match self.0.request(call.request(address)).await {
            Ok(response) => answer.read(response, call, sent_at).await,
            Err(error) if error.is_connect() => answer.cut = Some(Cut::Connect),
            Err(_) => answer.cut = Some(Cut::Head),
        }
        answer.total = sent_at.elapsed();
        answer
    }

    /// Sends a `GET` request; returns the status and the body, or `None` if there was no whole response.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
    ) -> Option<(StatusCode, String)> {
        let request = Request::get(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::default())
            .ok()?;
        let response = self.0.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

impl Call {
    /// Creates a call to the completions path.
    #[must_use]
    pub fn completion(
        key: impl Into<String>,
        kind: impl Into<String>,
        body: impl Into<Bytes>,
    ) -> Self {
        Self {
            path: "/v1/chat/completions".to_owned(),
            key: key.into(),
            kind: kind.into(),
            idempotency_key: None,
            body: body.into(),
            read_pause: Duration::ZERO,
        }
    }

    /// Creates a call to a plain service.
    #[must_use]
    pub fn service(
        key: impl Into<String>,
        kind: &str,
        idempotency_key: Option<String>,
        body: impl Into<Bytes>,
    ) -> Self {
        Self {
            path: format!("/services/{kind}"),
            idempotency_key,
            ..Self::completion(key, kind, body)
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://{address}{}", self.path))
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-kind", &self.kind)
            .header("content-type", "application/json");
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        // All parts are plain ASCII, so the request is valid.
        request
            .body(Full::new(self.body.clone()))
            .unwrap_or_default()
    }
}

impl Answer {
    /// Returns whether the whole answer arrived.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.status == Some(StatusCode::OK) && self.cut.is_none()
    }

    /// Returns whether the daemon says that the request did not run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.outcome == "not_run"
    }

    /// Returns whether the daemon reported a failure, by an error status or an error event.
    #[must_use]
    pub fn failed(&self) -> bool {
        let status = self.status.is_some_and(|status| !status.is_success());
        (status && self.cut.is_none()) || self.cut == Some(Cut::Explicit)
    }

    async fn read(&mut self, response: Response<Incoming>, call: &Call, sent_at: Instant) {
        let text = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        self.status = Some(response.status());
        self.request_id = text("x-request-id");
        self.served_by = text("x-served-by");
        self.data_centre = text("x-data-centre");
        self.cached_tokens = text("x-cached-tokens").parse().ok();
        self.outcome = text("x-outcome");
        self.retry_after = Some(text("retry-after")).filter(|text| !text.is_empty());
        let streamed = text("content-type").starts_with("text/event-stream");
        let mut body = response.into_body();
        if streamed {
            self.read_stream(body, call.read_pause, sent_at).await;
            return;
        }
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.cut = Some(Cut::Body);
                return;
            };
            self.first_token.get_or_insert_with(|| sent_at.elapsed());
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        self.text = String::from_utf8_lossy(&bytes).into_owned();
        if let Ok(value) = serde_json::from_str::<Value>(&self.text) {
            self.read_outcome(&value);
        }
    }

    async fn read_stream(&mut self, mut body: Incoming, pause: Duration, sent_at: Instant) {
        let mut pending = Vec::new();
        let mut done = false;
        let mut explicit = false;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.cut = Some(Cut::Body);
                return;
            };
            pending.extend_from_slice(&frame.into_data().unwrap_or_default());
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                let Some(data) = line.trim_end().strip_prefix("data:") else {
                    continue;
                };
                match data.trim() {
                    "[DONE]" => done = true,
                    data => explicit |= self.read_event(data, sent_at),
                }
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        self.cut = match (explicit, done) {
            (true, _) => Some(Cut::Explicit),
            (false, true) => None,
            (false, false) => Some(Cut::Unmarked),
        };
    }

    /// Reads one event; returns whether it is an error or malformed.
    fn read_event(&mut self, data: &str, sent_at: Instant) -> bool {
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            return true;
        };
        self.read_outcome(&value);
        if value.get("error").is_some() {
            return true;
        }
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.first_token.get_or_insert_with(|| sent_at.elapsed());
            self.chunks += 1;
            self.text.push_str(text);
        }
        let id = value["id"].as_str().unwrap_or_default();
        if !id.is_empty() && !id.ends_with(&self.request_id) {
            self.foreign_chunks += 1;
        }
        false
    }

    fn read_outcome(&mut self, value: &Value) {
        if let Some(code) = value["error"]["code"].as_str() {
            code.clone_into(&mut self.error_code);
        }
        let candidates = [
            &value["outcome"],
            &value["error"]["outcome"],
            &value["x_outcome"],
        ];
        if let Some(outcome) = candidates.into_iter().find_map(Value::as_str) {
            outcome.clone_into(&mut self.outcome);
        }
    }
}
