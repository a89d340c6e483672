//! Tests the interface to backend servers: whatever an engine or a service does, the caller gets its own whole answer
//! or an explicit failure with the right outcome.

mod support;

use std::time::Duration;

use jaystand_standin::{
    engine::{self, StreamFault, answer_text},
    service,
};
use support::{
    Daemon, Reply, TIMEOUT, chat, data_fields, standard_document, start_engine, start_service,
    stream_text,
};

const TOKENS: u32 = 20;

fn fault_once(fault: StreamFault) -> engine::Faults {
    engine::Faults {
        stream: vec![fault],
        limit: Some(1),
        ..engine::Faults::default()
    }
}

fn fault_always(fault: StreamFault) -> engine::Faults {
    engine::Faults {
        stream: vec![fault],
        ..engine::Faults::default()
    }
}

fn all_stream_faults() -> Vec<StreamFault> {
    let mut faults = vec![
        StreamFault::WrongRequestId,
        StreamFault::Refuse { proof: true },
        StreamFault::Refuse { proof: false },
        StreamFault::Late(30),
    ];
    // The offsets are those of the first chunk, one in the middle, the last one with text, and the one with the finish
    // reason.
    for offset in [0, 7, TOKENS - 1, TOKENS] {
        faults.extend([
            StreamFault::Drop(offset),
            StreamFault::Silent(offset),
            StreamFault::Duplicate(offset),
            StreamFault::Skip(offset),
            StreamFault::Reorder(offset),
            StreamFault::Crossed(offset),
            StreamFault::BadBytes(offset),
            StreamFault::Truncate(offset),
        ]);
    }
    faults
}

/// Fails unless the reply is the whole answer to its own request.
fn check_reply(reply: &Reply, engines: &[&engine::Handle], streamed: bool, name: &str) {
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
    let id = jaystand_types::parse_request_id(reply.header("x-request-id"));
    let mut records = engines.iter().flat_map(|engine| engine.records());
    let record = records.find(|record| Some(record.request) == id);
    let record = record.expect("a record of the request");
    let expected = answer_text(record.prompt, TOKENS);
    if streamed {
        assert_eq!(stream_text(reply), expected, "{name}");
    } else {
        let answer = reply.json();
        assert_eq!(
            answer["choices"][0]["message"]["content"], expected,
            "{name}"
        );
        assert_eq!(answer["usage"]["completion_tokens"], TOKENS, "{name}");
    }
}

// Guards against a fault of a single attempt that reaches the caller, with and without a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_engine_fault_does_not_reach_the_caller() {
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let daemon = Daemon::start(standard_document(&[&a, &b], &service)).await;
    for fault in all_stream_faults() {
        for streamed in [true, false] {
            let name = format!("{fault:?}, streamed: {streamed}");
            // Both engines have the fault, so that the first attempt meets it at either.
            a.set_faults(fault_once(fault.clone()));
            b.set_faults(fault_once(fault.clone()));
            let reply = daemon.chat(streamed, &name, TOKENS).await;
            check_reply(&reply, &[&a, &b], streamed, &name);
            a.set_faults(engine::Faults::default());
            b.set_faults(engine::Faults::default());
        }
    }
    daemon.stop().await;
}

// Guards against a truncated answer that looks complete. The caller must learn that the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_completed_ends_with_an_error_event() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    engine.set_faults(fault_always(StreamFault::Drop(7)));
    let reply = daemon.chat(true, "hello", TOKENS).await;
    assert_eq!(reply.status, 200);
    let text = reply.text();
    let events = data_fields(&text);
    assert!(!events.contains(&"[DONE]"), "{text}");
    assert!(text.contains("event: error\n"), "{text}");
    let error: serde_json::Value =
        serde_json::from_str(events.last().expect("an event")).expect("JSON");
    assert_eq!(error["error"]["outcome"], "unknown", "{text}");
    assert_eq!(events.len(), 8, "{text}");
    daemon.stop().await;
}

// Guards against a wrong outcome when an engine refuses every attempt. Only a refusal with proof means that nothing
// ran.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_with_proof_are_not_run_and_those_without_are_unknown() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    for (proof, outcome) in [(true, "not_run"), (false, "unknown")] {
        engine.set_faults(fault_always(StreamFault::Refuse { proof }));
        for streamed in [true, false] {
            let body = chat(streamed, "hello", TOKENS);
            let reply = daemon.post("/v1/chat/completions", &[], body).await;
            assert!(reply.status.is_server_error(), "{}", reply.text());
            assert_eq!(reply.header("x-outcome"), outcome, "{}", reply.text());
            assert!(!reply.header("retry-after").is_empty());
            assert!(reply.json()["error"]["code"].is_string());
        }
    }
    daemon.stop().await;
}

// Guards against a daemon that retries or replaces an engine's error about an invalid request. The caller must get that
// error.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_error_about_the_request_reaches_the_caller() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let body = r#"{"model":"model","messages":[{"role":"user","content":7}]}"#;
    let reply = daemon.post("/v1/chat/completions", &[], body).await;
    assert_eq!(reply.status, 400, "{}", reply.text());
    assert_eq!(reply.json()["error"]["code"], "body");
    assert_eq!(reply.header("x-outcome"), "not_run");
    daemon.stop().await;
}

// Guards against a stream that is lost or repeated when its engine crashes. Another engine must continue it.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_engine_is_replaced_mid_stream() {
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let daemon = Daemon::start(standard_document(&[&a, &b], &service)).await;
    let response = daemon
        .open("/v1/chat/completions", &[], chat(true, "hello", 300))
        .await;
    let served_by = response.headers()["x-served-by"].clone();
    let crashed = if served_by == "e0" { &a } else { &b };
    crashed.crash().await;
    let whole = tokio::time::timeout(TIMEOUT, support::read_reply(response));
    let reply = whole.await.expect("in time");
    let other = if served_by == "e0" { &b } else { &a };
    let record = other.records().pop().expect("the other engine continued");
    assert!(record.first > 0, "{record:?}");
    assert_eq!(stream_text(&reply), answer_text(record.prompt, 300));
    daemon.stop().await;
}

// Guards against an engine that keeps working on a stream whose caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_engine() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let response = daemon
        .open("/v1/chat/completions", &[], chat(true, "hello", 1_000_000))
        .await;
    assert_eq!(engine.standin().load().0, 1);
    drop(response);
    wait_until(|| engine.standin().load() == (0, 0)).await;
    let reply = daemon.chat(false, "hello", TOKENS).await;
    check_reply(&reply, &[&engine], false, "after the cancellation");
    daemon.stop().await;
}

// Guards against an engine that keeps working on an answer without a stream whose caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_a_stream_that_disconnects_cancels_the_engine() {
    let (engine, service) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &service)).await;
    let body = chat(false, "hello", 1_000_000);
    {
        let open = daemon.open("/v1/chat/completions", &[], body);
        tokio::pin!(open);
        let running = wait_until(|| engine.standin().load().0 == 1);
        tokio::select! {
            _ = &mut open => panic!("the answer is too long to have ended"),
            () = running => {}
        }
    }
    wait_until(|| engine.standin().load() == (0, 0)).await;
    daemon.stop().await;
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("in time");
}

// Guards against a wrong outcome when a service refuses a call, breaks off after running it, or answers another one.
#[tokio::test(flavor = "multi_thread")]
async fn service_faults_have_the_right_outcome() {
    let (engine, jobs) = (start_engine(1), start_service());
    let daemon = Daemon::start(standard_document(&[&engine], &jobs)).await;
    let cases = [
        (
            service::Faults {
                refuse: true,
                ..service::Faults::default()
            },
            "not_run",
        ),
        (
            service::Faults {
                drop_after_execution: true,
                ..service::Faults::default()
            },
            "unknown",
        ),
        (
            service::Faults {
                wrong_request_id: true,
                ..service::Faults::default()
            },
            "unknown",
        ),
    ];
    for (faults, outcome) in cases {
        jobs.set_faults(faults.clone());
        for kind in ["lookup", "checked"] {
            let reply = daemon
                .post(&format!("/services/{kind}"), &[], "room 7")
                .await;
            assert!(
                reply.status.is_server_error(),
                "{faults:?} {}",
                reply.text()
            );
            assert_eq!(reply.header("x-outcome"), outcome, "{faults:?} {kind}");
        }
    }
    jobs.set_faults(service::Faults::default());
    assert_eq!(
        daemon.post("/services/lookup", &[], "room 7").await.text(),
        "room 7"
    );
    daemon.stop().await;
}
