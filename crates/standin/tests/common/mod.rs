//! A client that connects to a stand-in in memory, so that tests run on a paused clock.

#![allow(dead_code, reason = "each test file uses a part")]

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use jaystand_standin::{Handle, Standin};
use serde_json::{Value, json};

/// One keep-alive connection.
pub struct Client(SendRequest<Full<Bytes>>);

/// A response, read until it ends or its connection breaks.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    headers: hyper::HeaderMap,
    pub body: String,
    /// Whether the connection broke during the body.
    pub broken: bool,
}

impl Client {
    pub async fn connect<S: Standin>(handle: &Handle<S>) -> Self {
        let io = TokioIo::new(handle.connect());
        let (sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        tokio::spawn(connection);
        Self(sender)
    }

    pub async fn send(
        &mut self,
        call: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> hyper::Result<Response<Incoming>> {
        let (method, path) = call.split_once(' ').unwrap();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "standin");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.0.ready().await?;
        self.0
            .send_request(request.body(Full::new(body.into())).unwrap())
            .await
    }

    /// Sends and reads the whole reply; `None` when the connection breaks before the head.
    pub async fn call(
        &mut self,
        call: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Reply> {
        let response = self.send(call, headers, body).await.ok()?;
        Some(Reply::read(response).await)
    }

    pub async fn json(&mut self, call: &str, body: &Value) -> (StatusCode, Value) {
        let reply = self.call(call, &[], body.to_string()).await.unwrap();
        (reply.status, serde_json::from_str(&reply.body).unwrap())
    }
}

impl Reply {
    async fn read(response: Response<Incoming>) -> Self {
        let (parts, mut body) = response.into_parts();
        let (mut bytes, mut broken) = (Vec::new(), false);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                broken = true;
                break;
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Self {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(bytes).unwrap(),
            broken,
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().unwrap())
    }

    /// Returns the offsets of the chunks in order of arrival.
    pub fn offsets(&self) -> Vec<u32> {
        let lines = self.body.lines();
        lines
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }

    /// Returns the text of the chunks that are valid JSON.
    pub fn text(&self) -> String {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        chunks
            .filter_map(|chunk| {
                let text = &chunk["choices"][0]["delta"]["content"];
                text.as_str().map(str::to_owned)
            })
            .collect()
    }

    pub fn complete(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n") && !self.broken
    }
}

/// Returns the body of a streamed completion request with one user message.
pub fn completion(text: &str, tokens: u32) -> String {
    let messages = json!([{"role": "user", "content": text}]);
    json!({"model": "model", "stream": true, "max_tokens": tokens, "messages": messages})
        .to_string()
}
