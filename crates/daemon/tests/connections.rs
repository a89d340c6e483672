//! Tests HTTP/2 callers, silent connections, engines that leave or restart, and configurations that change while
//! requests run.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use jaystand_daemon::watch;
use jaystand_platform::Client;
use jaystand_sheet::{Document, ServerKind};
use jaystand_standin::{engine::answer_text, platform};
use support::{
    Daemon, KEY, OTHER_KEY, TIMEOUT, chat, read_reply, server, standard_document, start_engine,
    start_service, stream_text,
};
use tokio::net::TcpStream;

async fn connect(daemon: &Daemon) -> http2::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(daemon.callers)
        .await
        .expect("a connection");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

fn completion(daemon: &Daemon, tokens: u32) -> Request<Full<Bytes>> {
    Request::post(format!("http://{}/v1/chat/completions", daemon.callers))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(chat(true, "hello", tokens).into()))
        .expect("a request")
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("in time");
}

// Guards against an HTTP/2 stream whose end affects other streams of the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_share_a_connection() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let sender = connect(&daemon).await;
    let abandoned = sender.clone().send_request(completion(&daemon, 1_000_000));
    let abandoned = abandoned.await.expect("an answer");
    let answers = (0..8).map(|_| sender.clone().send_request(completion(&daemon, 20)));
    let answers = futures::future::join_all(answers.collect::<Vec<_>>()).await;
    drop(abandoned);
    for answer in answers {
        let reply = read_reply(answer.expect("an answer")).await;
        let record = engine.records().pop().expect("a record");
        assert_eq!(stream_text(&reply), answer_text(record.prompt, 20));
    }
    wait_until(|| engine.standin().load() == (0, 0)).await;
    drop(sender);
    daemon.stop().await;
}

// Guards against a connection that stays silent and is still used for later requests.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_by_new_ones() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let response = daemon
        .open("/v1/chat/completions", &[], chat(true, "long", 400))
        .await;
    engine.silence_existing();
    let reply = tokio::time::timeout(TIMEOUT, read_reply(response));
    let text = stream_text(&reply.await.expect("in time"));
    let record = engine.records().pop().expect("a record");
    assert_eq!(text, answer_text(record.prompt, 400));
    for _ in 0..5 {
        assert_eq!(daemon.chat(false, "hello", 5).await.status, 200);
    }
    daemon.stop().await;
}

// Guards against errors after an engine has restarted without its cache. It has another incarnation then and refuses
// requests that name the old one.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_engine_is_used_again() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    assert_eq!(daemon.chat(false, "hello", 5).await.status, 200);
    engine.crash().await;
    engine.restart().expect("the same address");
    let served = async {
        while daemon.chat(false, "hello", 5).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, served)
        .await
        .expect("in time");
    daemon.stop().await;
}

// Guards against new requests at an engine that is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work() {
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let daemon = Daemon::start(standard_document(&[&a, &b], &service)).await;
    a.standin().set_leaving(true);
    let moved = async {
        loop {
            let before = a.records().len();
            for turn in 0..20 {
                let reply = daemon.chat(false, &format!("prompt {turn}"), 3).await;
                assert_eq!(reply.status, 200);
            }
            if a.records().len() == before {
                return;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, moved).await.expect("in time");
    daemon.stop().await;
}

async fn publish(platform: &platform::Handle, document: &Document) {
    let settings = jaystand_platform::Settings::new(platform.address(), 1000.0);
    let client = Client::new(settings, &prometheus::Registry::new()).expect("a client");
    let answer = watch::accept(&client, document).await;
    let accepted = matches!(answer, jaystand_control::config::Answer::Accepted(_));
    assert!(accepted, "{answer:?}");
}

// Guards against a request that loses its server when the configuration changes. Server ids are positions in a
// directory and may name other servers in the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_interrupts_no_request() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let mut document = standard_document(&[&a, &b], &service);
    publish(&platform, &document).await;
    let daemon = Daemon::start_with(document.clone(), |raw| {
        raw.bootstrap.clear();
        raw.platform.address = platform.address().to_string();
        raw.platform.budget_per_s = 1000.0;
    })
    .await;
    let running = (0..6).map(|_| daemon.open("/v1/chat/completions", &[], chat(true, "x", 3000)));
    let running = futures::future::join_all(running).await;
    document.directory.servers.reverse();
    document.directory.servers.insert(
        0,
        server(
            "e9",
            ([127, 0, 0, 1], 1).into(),
            ServerKind::Engine,
            "other",
        ),
    );
    let mut other = document.directory.models[0].clone();
    other.name = "other".into();
    document.directory.models.push(other);
    document.directory.teams.retain(|team| team.name == "red");
    document.sheet = document
        .sheet
        .lines()
        .filter(|line| !line.starts_with("blue"))
        .fold(String::new(), |sheet, line| sheet + line + "\n");
    document.check().expect("a valid document");
    document.parent = document.version;
    document.version += 1;
    publish(&platform, &document).await;
    let in_force = async {
        let headers = [("authorization", format!("Bearer {OTHER_KEY}"))];
        let headers: Vec<(&str, &str)> = headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
        let body = || chat(false, "hello", 3);
        while daemon
            .post("/v1/chat/completions", &headers, body())
            .await
            .status
            != 401
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, in_force)
        .await
        .expect("in force");
    for response in running {
        let reply = tokio::time::timeout(TIMEOUT, read_reply(response)).await;
        let text = stream_text(&reply.expect("in time"));
        assert_eq!(text.split_whitespace().count(), 3000);
    }
    assert_eq!(daemon.chat(false, "hello", 3).await.status, 200);
    daemon.stop().await;
}

// Guards against a bad request on one HTTP/2 stream that ends the whole connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_http2_request_gets_an_error_and_the_connection_stays() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let mut sender = connect(&daemon).await;
    let bad = Request::post(format!("http://{}/v1/chat/completions", daemon.callers))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from_static(b"{")))
        .expect("a request");
    let answer = sender.send_request(bad).await.expect("an answer");
    assert_eq!(answer.status(), 400);
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    assert!(body.starts_with(b"{\"error\":"));
    let good = sender
        .send_request(completion(&daemon, 3))
        .await
        .expect("an answer");
    assert!(!stream_text(&read_reply(good).await).is_empty());
    drop(sender);
    daemon.stop().await;
}
