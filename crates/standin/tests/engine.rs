//! Tests of the engine stand-in's protocol, faults and timing.

mod common;

use std::time::Duration;

use common::{Client, Reply, completion};
use jaystand_standin::engine::{
    self, Faults, Handle, Message, Prompt, Settings, StreamFault, WeightStore, answer_text,
};
use serde_json::{Value, json};

const COMPLETIONS: &str = "POST /v1/chat/completions";
const FIRST: (&str, &str) = ("x-request-id", "0000000000000001");
const SECOND: (&str, &str) = ("x-request-id", "0000000000000002");

fn start_engine(change: impl FnOnce(&mut Settings)) -> Handle {
    let mut settings = Settings {
        block_bytes: 64,
        load_lag: Duration::ZERO,
        ..Settings::default()
    };
    change(&mut settings);
    engine::start(settings).unwrap()
}

async fn send_completion(
    handle: &Handle,
    headers: &[(&str, &str)],
    text: &str,
    tokens: u32,
) -> Reply {
    let mut client = Client::connect(handle).await;
    let reply = client
        .call(COMPLETIONS, headers, completion(text, tokens))
        .await;
    reply.expect("a response head")
}

fn expected_text(text: &str, tokens: u32) -> String {
    let message = Message {
        role: "user".to_owned(),
        content: text.to_owned(),
    };
    answer_text(Prompt::new("", &[message], 0, 64, 4).hash, tokens)
}

/// Guards against cache hits across teams, whose salts differ, and against hits without a shared prefix.
#[tokio::test(start_paused = true)]
async fn cached_tokens_depend_on_salt_and_shared_prefix_alone() {
    let shared = "s".repeat(640);
    let table = [
        ("team-a", format!("{shared}{}", "x".repeat(200)), 0),
        // The role takes 5 bytes, so the first 645 bytes are shared: 10 blocks of 64.
        ("team-a", format!("{shared}{}", "y".repeat(200)), 160),
        ("team-b", format!("{shared}{}", "x".repeat(200)), 0),
        ("team-a", format!("z{shared}"), 0),
        ("team-b", shared.clone(), 160),
    ];
    let handle = start_engine(|_| {});
    for (salt, text, cached) in table {
        let reply = send_completion(&handle, &[FIRST, ("x-cache-salt", salt)], &text, 2).await;
        assert_eq!(
            reply.header("x-cached-tokens"),
            Some(cached.to_string().as_str()),
            "{salt}"
        );
    }
}

/// Guards against a cache that exceeds its capacity or evicts blocks that were just used.
#[tokio::test(start_paused = true)]
async fn the_cache_evicts_the_least_recently_used_blocks() {
    let handle = start_engine(|settings| settings.cache_blocks = 20);
    let (old, kept, new) = ("o".repeat(640), "k".repeat(640), "n".repeat(640));
    for text in [&old, &kept, &new, &kept] {
        send_completion(&handle, &[FIRST], text, 1).await;
    }
    let cached = |reply: &Reply| reply.header("x-cached-tokens").map(str::to_owned);
    assert_eq!(
        cached(&send_completion(&handle, &[FIRST], &kept, 1).await).as_deref(),
        Some("160")
    );
    assert_eq!(
        cached(&send_completion(&handle, &[FIRST], &old, 1).await).as_deref(),
        Some("0")
    );
}

/// Guards against a stream fault that has another effect than its name says, or that ignores `limit`.
#[tokio::test(start_paused = true)]
async fn each_stream_fault_has_its_effect_and_no_other() {
    use StreamFault::{BadBytes, Crossed, Drop, Duplicate, Late, Reorder, Skip, Truncate};
    let whole = vec![0, 1, 2, 3, 4];
    let table = [
        (Drop(2), vec![0, 1], true, false),
        (Truncate(2), vec![0, 1], false, false),
        (Duplicate(2), vec![0, 1, 2, 2, 3, 4], false, true),
        (Skip(2), vec![0, 1, 3, 4], false, true),
        (Reorder(2), vec![0, 1, 3, 2, 4], false, true),
        (Reorder(3), vec![0, 1, 2, 4, 3], false, true),
        (Crossed(2), whole.clone(), false, true),
        (BadBytes(2), whole.clone(), false, true),
        (StreamFault::WrongRequestId, whole.clone(), false, true),
        (Late(300), whole.clone(), false, true),
    ];
    for (fault, offsets, broken, complete) in table {
        let handle = start_engine(|_| {});
        let began = tokio::time::Instant::now();
        handle.set_faults(Faults {
            stream: vec![fault.clone()],
            limit: Some(1),
            ..Faults::default()
        });
        let reply = send_completion(&handle, &[FIRST], "hello", 4).await;
        assert_eq!(reply.offsets(), offsets, "{fault:?}");
        assert_eq!(
            (reply.broken, reply.complete()),
            (broken, complete),
            "{fault:?}"
        );
        let same_id = reply.header("x-request-id") == Some(FIRST.1);
        assert_eq!(same_id, fault != StreamFault::WrongRequestId, "{fault:?}");
        let crossed = reply.body.contains("chatcmpl-0000000000000000");
        assert_eq!(crossed, fault == Crossed(2), "{fault:?}");
        let text = reply.text() == expected_text("hello", 4);
        assert_eq!(
            text,
            matches!(offsets.len(), 5) && !matches!(fault, BadBytes(_) | Reorder(2)),
            "{fault:?}"
        );
        assert_eq!(
            began.elapsed() >= Duration::from_millis(300),
            fault == Late(300),
            "{fault:?}"
        );
        let after = send_completion(&handle, &[SECOND], "hello", 4).await;
        assert!(after.complete(), "the limit of {fault:?} is not kept");
    }
}

/// Guards against refusals that carry `x-not-started` without proof, lack it despite proof, or run the request
/// nevertheless.
#[tokio::test(start_paused = true)]
async fn refusals_prove_that_nothing_ran_only_where_they_say_so() {
    let refuse = |proof| vec![StreamFault::Refuse { proof }];
    let known = start_engine(|_| {}).standin().incarnation().to_string();
    let table = [
        (refuse(true), ("x-priority", "0"), 503, Some("1")),
        (refuse(false), ("x-priority", "0"), 503, None),
        (vec![], ("x-expect-incarnation", "7"), 409, Some("1")),
        (vec![], ("x-weights-version", "v0"), 409, Some("1")),
        (vec![], ("x-expect-incarnation", &known), 200, None),
        (vec![], ("last-event-id", "3"), 404, None),
    ];
    for (stream, header, status, proof) in table {
        let handle = start_engine(|_| {});
        handle.set_faults(Faults {
            stream,
            ..Faults::default()
        });
        let reply = send_completion(&handle, &[FIRST, header], "hello", 2).await;
        assert_eq!(reply.status.as_u16(), status, "{header:?}");
        assert_eq!(reply.header("x-not-started"), proof, "{header:?}");
        let ran = handle
            .records()
            .iter()
            .any(|record| record.started_us.is_some());
        assert_eq!(ran, status == 200, "{header:?}");
    }
}

/// Guards against a resumed stream that has a gap, repeats a chunk or continues with another text, and against a resume
/// after the grace time.
#[tokio::test(start_paused = true)]
async fn a_broken_stream_resumes_where_it_stopped_within_the_grace_time() {
    for (pause, status) in [(1, 200), (3, 404)] {
        let handle = start_engine(|settings| settings.default_tokens = 1000);
        handle.set_faults(Faults {
            stream: vec![StreamFault::Drop(5)],
            limit: Some(1),
            ..Faults::default()
        });
        let first = send_completion(&handle, &[FIRST], "hello", 2000).await;
        assert!(first.broken);
        tokio::time::sleep(Duration::from_secs(pause)).await;
        let rest = send_completion(&handle, &[FIRST, ("last-event-id", "4")], "hello", 2000).await;
        assert_eq!(rest.status.as_u16(), status);
        if status == 200 {
            assert_eq!(first.text() + &rest.text(), expected_text("hello", 2000));
            assert_eq!(handle.records().len(), 1, "the request must not run again");
        }
    }
}

/// Guards against chunks that are lost because the connection breaks before they are flushed. This happens when a slow
/// reader finds several chunks and the break ready together.
#[tokio::test(start_paused = true)]
async fn chunks_before_a_break_arrive_however_late_they_are_read() {
    let handle = start_engine(|_| {});
    let fault = |offset| Faults {
        stream: vec![StreamFault::Drop(offset)],
        ..Faults::default()
    };
    handle.set_faults(fault(2));
    let first = send_completion(&handle, &[FIRST], "hello", 20).await;
    assert!(first.broken);
    // By then, the rest of the answer is ready.
    tokio::time::sleep(Duration::from_secs(1)).await;
    handle.set_faults(fault(12));
    let rest = send_completion(&handle, &[FIRST, ("last-event-id", "1")], "hello", 20).await;
    assert!(rest.broken);
    assert_eq!(rest.offsets(), (2..12).collect::<Vec<u32>>());
}

/// Guards against a continuation on another engine that changes the text.
#[tokio::test(start_paused = true)]
async fn another_engine_continues_the_same_text() {
    let handle = start_engine(|settings| settings.seed = 2);
    let mut client = Client::connect(&handle).await;
    let whole = expected_text("hello", 6);
    for (given, status) in [(expected_text("hello", 2), 200), ("other".to_owned(), 400)] {
        let messages = json!([
            {"role": "user", "content": "hello"},
            {"role": "assistant", "content": given},
        ]);
        let body = json!({"stream": true, "max_tokens": 6, "messages": messages});
        let headers = [FIRST, ("x-continue-from", "2")];
        let reply = client
            .call(COMPLETIONS, &headers, body.to_string())
            .await
            .unwrap();
        assert_eq!(reply.status.as_u16(), status);
        if status == 200 {
            assert_eq!(reply.offsets(), [2, 3, 4, 5, 6]);
            assert_eq!(given + &reply.text(), whole);
        }
    }
}

/// Guards against an engine queue that ignores priority, so that urgent requests wait behind others.
#[tokio::test(start_paused = true)]
async fn a_free_slot_goes_to_the_highest_priority() {
    let handle = start_engine(|settings| settings.slots = 1);
    let requests = [
        ("0000000000000001", "9"),
        ("0000000000000002", "9"),
        ("0000000000000003", "0"),
    ];
    let asked = requests
        .into_iter()
        .zip(0..)
        .map(|((id, priority), delay_ms)| {
            let handle = handle.clone();
            async move {
                // One after the other, so that the first one holds the slot when the others arrive.
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let headers = [("x-request-id", id), ("x-priority", priority)];
                send_completion(&handle, &headers, id, 5).await
            }
        });
    futures::future::join_all(asked).await;
    let mut records = handle.records();
    records.sort_by_key(|record| record.started_us);
    let order: Vec<u64> = records.iter().map(|record| record.request).collect();
    assert_eq!(order, [1, 3, 2]);
}

/// Guards against a cancel that reports a started request as not started.
#[tokio::test(start_paused = true)]
async fn cancel_reports_the_state_of_the_request() {
    let handle = start_engine(|settings| settings.slots = 1);
    let mut streams = Vec::new();
    for id in ["0000000000000001", "0000000000000002"] {
        let mut client = Client::connect(&handle).await;
        let stream = tokio::spawn(async move {
            client
                .call(COMPLETIONS, &[("x-request-id", id)], completion(id, 100))
                .await
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        streams.push(stream);
    }
    let mut client = Client::connect(&handle).await;
    for (id, state) in [
        (2, "not_started"),
        (1, "cancelled"),
        (1, "cancelled"),
        (9, "unknown"),
    ] {
        let call = format!("DELETE /v1/requests/{id:016x}");
        let (_, reply) = client.json(&call, &Value::Null).await;
        assert_eq!(reply["state"], state, "{id}");
    }
    assert_eq!(handle.standin().load(), (0, 0));
    let queued = streams.pop().unwrap().await.unwrap().unwrap();
    assert_eq!(queued.header("x-not-started"), Some("1"));
    assert!(!streams.pop().unwrap().await.unwrap().unwrap().complete());
}

/// Guards against a cost model in which batching is free: a step must grow with the batch and with uncached tokens.
#[tokio::test(start_paused = true)]
async fn step_time_grows_with_the_batch_and_with_uncached_tokens() {
    let handle = start_engine(|_| {});
    let measure_time = async |id: &'static str, text: String| {
        let began = tokio::time::Instant::now();
        send_completion(&handle, &[("x-request-id", id)], &text, 10).await;
        began.elapsed()
    };
    let cold = measure_time("0000000000000001", "a".repeat(4000)).await;
    let warm = measure_time("0000000000000002", "a".repeat(4000)).await;
    assert!(
        cold >= warm + Duration::from_millis(90),
        "{cold:?} {warm:?}"
    );
    let ids = [
        "000000000000000a",
        "000000000000000b",
        "000000000000000c",
        "000000000000000d",
    ];
    let batch = futures::future::join_all(ids.map(|id| measure_time(id, "a".repeat(4000)))).await;
    assert!(batch[0] > warm && batch[0] < warm * 4, "{batch:?} {warm:?}");
    handle.set_faults(Faults {
        slow: 8.0,
        ..Faults::default()
    });
    let slow = measure_time("0000000000000003", "a".repeat(4000)).await;
    assert!(slow > warm * 6, "{slow:?} {warm:?}");
}

/// Guards against a crash that keeps the cache or the incarnation.
#[tokio::test(start_paused = true)]
async fn a_crash_returns_empty_under_a_new_incarnation() {
    let handle = start_engine(|_| {});
    let text = "c".repeat(640);
    send_completion(&handle, &[FIRST], &text, 1).await;
    let before = handle.standin().incarnation();
    handle.crash().await;
    handle.restart().unwrap();
    assert_ne!(handle.standin().incarnation(), before);
    let reply = send_completion(&handle, &[FIRST], &text, 1).await;
    assert_eq!(reply.header("x-cached-tokens"), Some("0"));
}

/// Guards against silenced connections that still pass bytes, and against a silence that also hits new connections.
#[tokio::test(start_paused = true)]
async fn silence_and_freeze_keep_connections_open_without_bytes() {
    let handle = start_engine(|_| {});
    let mut old = Client::connect(&handle).await;
    assert!(old.call("GET /v1/load", &[], "").await.is_some());
    handle.silence_existing();
    let wait = Duration::from_secs(60);
    assert!(
        tokio::time::timeout(wait, old.call("GET /v1/load", &[], ""))
            .await
            .is_err()
    );
    let mut new = Client::connect(&handle).await;
    assert!(new.call("GET /v1/load", &[], "").await.is_some());
    handle.set_faults(Faults {
        frozen: true,
        ..Faults::default()
    });
    assert!(
        tokio::time::timeout(wait, new.call("GET /v1/load", &[], ""))
            .await
            .is_err()
    );
    handle.set_faults(Faults::default());
    let mut fresh = Client::connect(&handle).await;
    assert!(fresh.call("GET /v1/load", &[], "").await.is_some());
}

/// Guards against engines that accept an order with an old fencing token or another incarnation, and against engines
/// without fencing that refuse an old token.
#[tokio::test(start_paused = true)]
async fn orders_respect_fence_and_incarnation() {
    for (fencing, old_fence) in [(true, 409), (false, 202)] {
        let handle = start_engine(|settings| settings.fencing = fencing);
        let incarnation = handle.standin().incarnation();
        let table = [
            (7, incarnation, 202),
            (6, incarnation, old_fence),
            (8, incarnation + 1, 409),
        ];
        let mut client = Client::connect(&handle).await;
        for (fence, incarnation, status) in table {
            let order =
                json!({"fence": fence, "incarnation": incarnation, "order": {"role": "idle"}});
            let (got, _) = client.json("POST /v1/orders", &order).await;
            assert_eq!(got.as_u16(), status, "{fencing} {fence}");
        }
        assert_eq!(
            send_completion(&handle, &[FIRST], "hello", 1)
                .await
                .status
                .as_u16(),
            503
        );
    }
}

/// Guards against a weight store whose loads do not slow each other down, and against cache entries that survive a load
/// of new weights.
#[tokio::test(start_paused = true)]
async fn loads_take_longer_while_more_engines_load_than_the_store_serves() {
    for (engines, seconds) in [(2, 1), (4, 2)] {
        let store = WeightStore::new(2);
        let handles: Vec<Handle> = (0..engines)
            .map(|_| start_engine(|settings| settings.weight_store = store.clone()))
            .collect();
        send_completion(&handles[0], &[FIRST], &"w".repeat(640), 1).await;
        for handle in &handles {
            let order = json!({"fence": 1, "order": {"load": {"weights_version": "v2"}}});
            Client::connect(handle)
                .await
                .json("POST /v1/orders", &order)
                .await;
        }
        tokio::time::sleep(Duration::from_millis(seconds * 1000 - 100)).await;
        let mut client = Client::connect(&handles[0]).await;
        assert_eq!(
            client.json("GET /v1/state", &Value::Null).await.1["loading"],
            true
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (_, state) = client.json("GET /v1/state", &Value::Null).await;
        assert_eq!(
            (&state["loading"], &state["weights_version"]),
            (&json!(false), &json!("v2"))
        );
        let reply = send_completion(&handles[0], &[SECOND], &"w".repeat(640), 1).await;
        assert_eq!(reply.header("x-cached-tokens"), Some("0"));
    }
}

/// Guards against load reports and cache events without the configured delay, and against cache events without the
/// configured loss.
#[tokio::test(start_paused = true)]
async fn load_reports_and_cache_events_lag_and_events_have_gaps() {
    let handle = start_engine(|settings| {
        settings.load_lag = Duration::from_secs(1);
        settings.event_loss = 0.5;
    });
    let mut client = Client::connect(&handle).await;
    let working = handle.clone();
    tokio::spawn(async move { send_completion(&working, &[FIRST], "long", 200).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        client.json("GET /v1/load", &Value::Null).await.1["running"],
        0
    );
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(
        client.json("GET /v1/load", &Value::Null).await.1["running"],
        1
    );
    for letter in 'a'..='j' {
        send_completion(&handle, &[SECOND], &letter.to_string().repeat(100), 1).await;
    }
    let early = client
        .json("GET /v1/cache/events?after=0", &Value::Null)
        .await
        .1;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let late = client
        .json("GET /v1/cache/events?after=0", &Value::Null)
        .await
        .1;
    let count = |reply: &Value| reply["events"].as_array().unwrap().len();
    assert!(count(&early) < count(&late), "{early} {late}");
    assert!((1..10).contains(&count(&late)), "{late}");
}

/// Guards against cache blocks that are transferred between engines with different weights.
#[tokio::test(start_paused = true)]
async fn cache_import_checks_identity_on_both_ends() {
    let source = start_engine(|_| {});
    let text = "k".repeat(640);
    send_completion(&source, &[FIRST, ("x-cache-salt", "s")], &text, 1).await;
    let message = Message {
        role: "user".to_owned(),
        content: text.clone(),
    };
    let prompt = Prompt::new("s", &[message], 0, 64, 4);
    let levels: Vec<String> = prompt
        .blocks
        .iter()
        .map(|block| format!("{block:016x}"))
        .collect();
    for (target_version, request_version, status, cached) in [
        ("v1", "v1", 200, "160"),
        ("v2", "v1", 409, "0"),
        ("v2", "v2", 502, "0"),
    ] {
        let target = start_engine(|settings| settings.weights_version = target_version.into());
        let request = json!({
            "salt": "s",
            "weights_version": request_version,
            "levels": levels,
            "from": source.address(),
        });
        let (got, reply) = Client::connect(&target)
            .await
            .json("POST /v1/kv/import", &request)
            .await;
        assert_eq!(got.as_u16(), status, "{reply}");
        let reply = send_completion(&target, &[SECOND, ("x-cache-salt", "s")], &text, 1).await;
        assert_eq!(reply.header("x-cached-tokens"), Some(cached));
    }
}
