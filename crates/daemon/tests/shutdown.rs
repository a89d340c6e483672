//! Guards the planned stop, which cuts no request, and the bound on memory while a caller reads slowly.

mod support;

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use support::{
    Daemon, TIMEOUT, chat, raw_engine::RawEngine, standard_document, start_engine, start_service,
    stream_text,
};

/// Sends requests one after the other until an answer asks to move to another daemon.
async fn send_until_told_to_move(daemon: Arc<Daemon>, caller: usize) -> usize {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_no_request() {
    let (a, b, service) = (start_engine(1), start_engine(2), start_service());
    let document = standard_document(&[&a, &b], &service);
    let mut daemon = Daemon::start_with(document, |raw| {
        // Long enough for each caller to get one more answer on a busy machine.
        raw.shutdown.lame_duck = Duration::from_secs(3);
    })
    .await;
    // Longer than the lame duck time: about 1 ms a token.
    let long = daemon
        .open("/v1/chat/completions", &[], chat(true, "long", 5000))
        .await;
    let stopping = daemon.take_stop_sender();
    let daemon = Arc::new(daemon);
    let callers: Vec<_> = (0..12)
        .map(|caller| tokio::spawn(send_until_told_to_move(Arc::clone(&daemon), caller)))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(stopping);
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

// A caller that does not read must make its engine wait rather than fill the daemon's memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_holds_its_engine_back() {
    const CHUNKS: usize = 4000;
    const BYTES: usize = 16 * 1024;
    /// Socket buffers of two loopback connections grow to several MiB each.
    const MOST_IN_FLIGHT: usize = CHUNKS * BYTES / 2;
    let engine = RawEngine::start(CHUNKS, BYTES).await;
    let daemon = Daemon::start(support::with_raw_engine(&engine)).await;
    let body = chat(true, "hello", 4000);
    let mut response = daemon.open("/v1/chat/completions", &[], body).await;
    let settled = async {
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
    let in_flight = tokio::time::timeout(TIMEOUT, settled)
        .await
        .expect("in time");
    assert!(in_flight < MOST_IN_FLIGHT, "{in_flight} bytes were taken");
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
    assert!(received > CHUNKS * BYTES, "{received}");
    assert!(tail.ends_with(b"data: [DONE]\n\n"));
    daemon.stop().await;
}
