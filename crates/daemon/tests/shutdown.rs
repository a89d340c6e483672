//! Tests that a planned stop interrupts no request, and that memory is bounded while a caller reads slowly.

mod support;

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use support::{
    Daemon, TIMEOUT, chat, raw_engine::RawEngine, standard_document, start_engine, start_service,
    stream_text,
};

/// Sends requests one after the other until a response closes the connection. Returns the number of earlier requests.
async fn send_until_closed(daemon: Arc<Daemon>, caller: usize) -> usize {
    for turn in 0.. {
        let prompt = format!("caller {caller}, turn {turn}");
        let reply = match turn % 3 {
            0 => daemon.chat(false, &prompt, 5).await,
            1 => daemon.chat(true, &prompt, 5).await,
            _ => daemon.post("/services/lookup", &[], prompt).await,
        };
        assert_eq!(reply.status, 200, "{}", reply.text());
        if turn % 3 == 1 {
            assert!(!stream_text(&reply).is_empty());
        }
        if reply.header("connection") == "close" {
            return turn;
        }
    }
    unreachable!("the loop has no end")
}

// Guards against requests that are lost when a daemon is stopped under load: new ones, and a stream that runs longer
// than the lame-duck time.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_interrupts_no_request() {
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let document = standard_document(&[&a, &b], &service);
    let mut daemon = Daemon::start_with(document, |raw| {
        // Long enough for each caller to get another answer, also on a busy machine.
        raw.shutdown.lame_duck = Duration::from_secs(3);
    })
    .await;
    // At about 1 ms per token, this takes longer than the lame-duck time.
    let long = daemon
        .open("/v1/chat/completions", &[], chat(true, "long", 5000))
        .await;
    let stop_sender = daemon.take_stop_sender();
    let daemon = Arc::new(daemon);
    let callers: Vec<_> = (0..12)
        .map(|caller| tokio::spawn(send_until_closed(Arc::clone(&daemon), caller)))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(stop_sender);
    for caller in callers {
        let ended = tokio::time::timeout(TIMEOUT, caller).await;
        ended.expect("in time").expect("no request is cut");
    }
    assert_eq!(daemon.admin("/readyz").await.status, 503);
    assert_eq!(daemon.admin("/livez").await.status, 200);
    let long = tokio::time::timeout(TIMEOUT, support::read_reply(long));
    assert!(!stream_text(&long.await.expect("in time")).is_empty());
    let Ok(daemon) = Arc::try_unwrap(daemon) else {
        panic!("the callers have ended");
    };
    daemon.stop().await;
}

// Guards against a daemon that buffers a whole answer in memory for a caller that does not read. The engine must wait
// instead.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_makes_its_engine_wait() {
    const CHUNKS: usize = 4000;
    const CHUNK_BYTES: usize = 16 * 1024;
    /// The socket buffers of two loopback connections grow to several MiB each.
    const MAX_IN_FLIGHT_BYTES: usize = CHUNKS * CHUNK_BYTES / 2;
    let engine = RawEngine::start(CHUNKS, CHUNK_BYTES).await;
    let daemon = Daemon::start(support::raw_engine_document(&engine)).await;
    let body = chat(true, "hello", 4000);
    let mut response = daemon.open("/v1/chat/completions", &[], body).await;
    let stalled = async {
        let mut before = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let now = engine.sent();
            if now == before && now > 0 {
                return now;
            }
            before = now;
        }
    };
    let in_flight = tokio::time::timeout(TIMEOUT, stalled)
        .await
        .expect("in time");
    assert!(
        in_flight < MAX_IN_FLIGHT_BYTES,
        "{in_flight} bytes were taken"
    );
    let mut received = 0;
    let mut tail = Vec::new();
    let reading = async {
        while let Some(frame) = response.body_mut().frame().await {
            let data = frame.expect("not cut").into_data().expect("data");
            received += data.len();
            tail = data.to_vec();
        }
    };
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .expect("in time");
    assert!(received > CHUNKS * CHUNK_BYTES, "{received}");
    assert!(tail.ends_with(b"data: [DONE]\n\n"));
    daemon.stop().await;
}
