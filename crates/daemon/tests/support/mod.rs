//! Runs a daemon on real sockets in front of stand-ins and sends requests to it.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

pub mod raw_engine;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use jaystand_daemon::{Settings, settings};
use jaystand_sheet::{Directory, Document, Fencing, Model, Server, ServerKind, Team};
use jaystand_standin::{engine, service};
use serde_json::{Value, json};
use tokio::{sync::oneshot, task::JoinHandle};

pub const KEY: &str = "key-of-red";
pub const OTHER_KEY: &str = "key-of-blue";

/// Timeout for tests that would otherwise hang. No test depends on its length.
pub const TIMEOUT: Duration = Duration::from_secs(60);

pub struct Daemon {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: Option<JoinHandle<miette::Result<()>>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().expect("ASCII"))
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).expect("UTF-8")
    }
}

pub fn engine_settings() -> engine::Settings {
    engine::Settings {
        step: Duration::from_millis(1),
        step_per_request: Duration::from_micros(10),
        prefill_per_token: Duration::from_micros(1),
        ..engine::Settings::default()
    }
}

pub fn start_engine(seed: u64) -> engine::Handle {
    let settings = engine::Settings {
        seed,
        ..engine_settings()
    };
    engine::start(settings).expect("an engine")
}

pub fn start_service() -> service::Handle {
    service::start(service::Settings::default()).expect("a service")
}

pub fn server(name: &str, address: SocketAddr, kind: ServerKind, model: &str) -> Server {
    Server {
        name: name.into(),
        address,
        data_centre: "dc1".into(),
        kind,
        model: model.into(),
        weights_version: if kind == ServerKind::Engine { "v1" } else { "" }.into(),
        fencing: Fencing::Ignored,
        slots: 16.try_into().expect("not zero"),
    }
}

pub const SHEET: &str = "\
team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,requests per minute,first token ms,deadline s,expected tokens
red,triage,model,urgent,repeatable,*,,,5000,60,32
red,lookup,jobs,normal,repeatable,*,,,5000,60,
red,checked,jobs,normal,once-backend-checks,*,,,5000,60,
red,order,jobs,normal,once,*,,,5000,60,
red,brief,jobs,normal,once,*,,,1000,3,
blue,review,model,background,repeatable,*,,,5000,60,32
";

pub fn document(servers: Vec<Server>) -> Document {
    let team = |name: &str, key: &str| Team {
        name: name.into(),
        key_hash: blake3::hash(key.as_bytes()).to_hex().as_str().into(),
        weight: 1.try_into().expect("not zero"),
    };
    Document {
        version: 1,
        sheet: SHEET.to_owned(),
        directory: Directory {
            teams: vec![team("red", KEY), team("blue", OTHER_KEY)],
            servers,
            models: vec![Model {
                name: "model".into(),
                weights_version: "v1".into(),
                serving_share: 50,
            }],
        },
        ..Document::default()
    }
}

/// Returns a document with the engines as `e0`, `e1`, ... and the service as `jobs-0`.
pub fn standard_document(engines: &[&engine::Handle], service: &service::Handle) -> Document {
    let mut servers = vec![server(
        "jobs-0",
        service.address(),
        ServerKind::Service,
        "jobs",
    )];
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("e{index}");
        servers.push(server(&name, engine.address(), ServerKind::Engine, "model"));
    }
    document(servers)
}

/// Returns a document whose only engine is a raw one.
pub fn raw_engine_document(engine: &raw_engine::RawEngine) -> Document {
    document(vec![
        server("raw", engine.address, ServerKind::Engine, "model"),
        // The sheet names this service, but no test with a raw engine calls it.
        server(
            "jobs-0",
            ([127, 0, 0, 1], 1).into(),
            ServerKind::Service,
            "jobs",
        ),
    ])
}

impl Daemon {
    pub async fn start(document: Document) -> Self {
        Self::start_with(document, |_| {}).await
    }

    pub async fn start_with(document: Document, change: impl Fn(&mut settings::Raw)) -> Self {
        let daemon = Self::start_listening(document, change).await;
        daemon.ready().await;
        daemon
    }

    /// Starts a daemon and returns as soon as it listens, whether or not it is ready.
    pub async fn start_listening(document: Document, change: impl Fn(&mut settings::Raw)) -> Self {
        let file =
            std::env::temp_dir().join(format!("jaystand-{:016x}.json", rand::random::<u64>()));
        std::fs::write(&file, serde_json::to_vec(&document).expect("a document")).expect("a file");
        let mut raw = settings::Raw::default();
        for address in [
            &mut raw.listen.callers,
            &mut raw.listen.admin,
            &mut raw.listen.peers,
        ] {
            "127.0.0.1:0".clone_into(address);
        }
        raw.shutdown.lame_duck = Duration::ZERO;
        raw.bootstrap = file.display().to_string();
        change(&mut raw);
        let settings = Settings::try_from(raw).expect("valid settings");
        let (stop, stopped) = oneshot::channel();
        let stopped = async move {
            // Dropping the sender also stops the daemon.
            let _ = stopped.await;
        };
        let (announce, announced) = oneshot::channel();
        let task = tokio::spawn(jaystand_daemon::run_announcing(settings, stopped, announce));
        let listening = tokio::time::timeout(TIMEOUT, announced).await;
        let addresses = listening.expect("in time").expect("the daemon starts");
        let daemon = Self {
            callers: addresses.callers,
            admin: addresses.admin,
            stop: Some(stop),
            task: Some(task),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        };
        // The file is read before the daemon listens.
        let _ = std::fs::remove_file(file);
        daemon
    }

    async fn ready(&self) {
        let wait = async {
            loop {
                let task = self.task.as_ref().expect("running");
                assert!(!task.is_finished(), "the daemon did not start");
                if let Ok(reply) = self.try_admin("/readyz").await
                    && reply.status == StatusCode::OK
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait).await.expect("ready");
    }

    async fn try_admin(&self, path: &str) -> Result<Reply, hyper_util::client::legacy::Error> {
        let uri = format!("http://{}{path}", self.admin);
        let request = Request::get(uri).body(Full::default()).expect("a request");
        let response = self.client.request(request).await?;
        Ok(read_reply(response).await)
    }

    pub async fn admin(&self, path: &str) -> Reply {
        self.try_admin(path).await.expect("an answer")
    }

    /// Returns the value of the metric line that starts with `line`; 0 when there is none.
    pub async fn metric(&self, line: &str) -> f64 {
        let text = self.admin("/metrics").await.text();
        let found = text.lines().find_map(|it| it.strip_prefix(line));
        found.map_or(0.0, |value| value.trim().parse().expect("a number"))
    }

    /// Sends a request and returns once the head of the response has arrived.
    pub async fn open(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response<Incoming> {
        let uri = format!("http://{}{path}", self.callers);
        let mut request = Request::post(uri);
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {KEY}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a request");
        let sent = tokio::time::timeout(TIMEOUT, self.client.request(request));
        sent.await.expect("an answer in time").expect("an answer")
    }

    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        let response = self.open(path, headers, body).await;
        tokio::time::timeout(TIMEOUT, read_reply(response))
            .await
            .expect("a whole answer in time")
    }

    pub async fn get(&self, path: &str, key: &str) -> Reply {
        let uri = format!("http://{}{path}", self.callers);
        let request = Request::get(uri).header("authorization", format!("Bearer {key}"));
        let request = request.body(Full::default()).expect("a request");
        read_reply(self.client.request(request).await.expect("an answer")).await
    }

    pub async fn chat(&self, stream: bool, prompt: &str, tokens: u32) -> Reply {
        self.post("/v1/chat/completions", &[], chat(stream, prompt, tokens))
            .await
    }

    /// Returns the sender that stops the daemon when it is dropped.
    pub fn take_stop_sender(&mut self) -> oneshot::Sender<()> {
        self.stop.take().expect("running")
    }

    /// Asks the daemon to stop without waiting for it.
    pub fn request_stop(&mut self) {
        self.stop.take();
    }

    pub async fn stop(mut self) {
        self.request_stop();
        let task = self.task.take().expect("running");
        tokio::time::timeout(TIMEOUT, task)
            .await
            .expect("stopped in time")
            .expect("no panic")
            .expect("no error");
    }
}

pub fn chat(stream: bool, prompt: &str, tokens: u32) -> String {
    json!({
        "model": "model",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": tokens,
    })
    .to_string()
}

/// Reads the whole body of a response.
pub async fn read_reply(response: Response<Incoming>) -> Reply {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Returns the `data:` fields of a stream.
pub fn data_fields(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Returns the text of a whole stream. Fails unless the offsets count from 0 and the terminal marker is last.
pub fn stream_text(reply: &Reply) -> String {
    let text = reply.text();
    let offsets = text.lines().filter_map(|line| line.strip_prefix("id: "));
    for (expected, offset) in offsets.enumerate() {
        assert_eq!(offset, expected.to_string(), "{text}");
    }
    let events = data_fields(&text);
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let chunks = &events[..events.len() - 1];
    chunks.iter().map(|chunk| content(chunk)).collect()
}

fn content(chunk: &str) -> String {
    let chunk: Value = serde_json::from_str(chunk).expect("a chunk");
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}
