//! Tests the whole path of a request, from the caller through the daemon to the backend server and back.

mod support;

use support::{Daemon, standard_document, start_engine, start_service, stream_text};

// Guards against a streamed answer that reaches the caller with lost, repeated or reordered text.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_completion_arrives_whole() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let reply = daemon.chat(true, "which tank leaks?", 20).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("x-served-by"), "e0");
    let text = stream_text(&reply);
    let record = engine.records().pop().expect("a record");
    assert_eq!(
        text,
        jaystand_standin::engine::answer_text(record.prompt, 20)
    );
    daemon.stop().await;
}

// Guards against an incomplete object, or one without usage, when the daemon assembles an engine's stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_completion_without_a_stream_is_one_object_with_usage() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let reply = daemon.chat(false, "which tank leaks?", 20).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.header("x-outcome"), "done");
    let answer = reply.json();
    let record = engine.records().pop().expect("a record");
    let text = jaystand_standin::engine::answer_text(record.prompt, 20);
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["content"], text);
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 20);
    daemon.stop().await;
}

// Guards against a service call that loses its path, its idempotency key or the id of the request on the way.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_call_passes_through() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let headers = [("idempotency-key", "k1")];
    let reply = daemon
        .post("/services/lookup/rooms/7", &headers, "room 7")
        .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.text(), "room 7");
    assert_eq!(reply.header("x-served-by"), "jobs-0");
    let record = service.records().pop().expect("a record");
    assert_eq!(record.path, "/services/lookup/rooms/7");
    assert_eq!(record.key.as_deref(), Some("k1"));
    assert_eq!(record.request, reply.header("x-request-id"));
    daemon.stop().await;
}

// Guards against requests, tokens and times that the metrics miss. Operators assess the router by these metrics.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_outcomes_tokens_and_times() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let prompt = "which tank leaks? ".repeat(400);
    for _ in 0..3 {
        assert_eq!(daemon.chat(true, &prompt, 5).await.status, 200);
    }
    assert_eq!(daemon.post("/services/nothing", &[], "").await.status, 404);
    let done = "jaystand_requests_total{outcome=\"done\",urgency=\"urgent\"}";
    assert_eq!(daemon.metric(done).await.to_string(), "3");
    for histogram in ["first_token", "admission"] {
        let count = format!("jaystand_{histogram}_seconds_count{{urgency=\"urgent\"}}");
        assert_eq!(daemon.metric(&count).await.to_string(), "3", "{histogram}");
    }
    let rejected = "jaystand_rejected_total{code=\"unknown_kind\"}";
    assert_eq!(daemon.metric(rejected).await.to_string(), "1");
    assert!(daemon.metric("jaystand_cached_tokens_total").await > 0.0);
    assert!(daemon.metric("jaystand_prompt_tokens_total").await > 0.0);
    daemon.stop().await;
}

// Guards against a daemon that listens before it has applied its configuration and so rejects its first requests as
// not ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_serves_as_soon_as_it_listens() {
    let (engine, service) = (start_engine(1), start_service());
    for _ in 0..10 {
        let daemon = Daemon::start_listening(standard_document(&[&engine], &service), |_| {}).await;
        let reply = daemon.post("/services/lookup", &[], "room 7").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        daemon.stop().await;
    }
}
