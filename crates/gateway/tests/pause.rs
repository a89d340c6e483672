//! Suspends and continues the process: it must not act on knowledge that expired meanwhile.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use jaystand_adapter_standin::{
    answer::VALID_ANSWER,
    exchange::{TIMEOUT, exchange, read_request},
    objects::{Entry, config},
    store::Store,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use support::{Fixture, request};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Number of times that the process is paused.
const ROUNDS: u64 = 5;
/// Maximum time for which a key may be accepted after it was removed.
const REVOKE_MS: u64 = 600;
const SEED: u64 = 20;

/// Starts a backend server. Returns the counter of the requests that it has run.
async fn start_server(address: SocketAddr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = Arc::clone(&counted);
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while let Some(received) = read_request(&mut stream, &mut bytes).await {
                    runs.fetch_add(1, Ordering::SeqCst);
                    let answer = VALID_ANSWER.replace("{id}", received.id());
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    runs
}

/// Waits until requests are answered with 200.
async fn wait_until_serving(front: SocketAddr) {
    let served = async {
        loop {
            let reached = TcpStream::connect(front).await.is_ok();
            let answer = if reached {
                exchange(front, &request("check")).await
            } else {
                None
            };
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(timeout(TIMEOUT, served).await.is_ok(), "it does not serve");
}

/// Guards against accepting a removed key after the process was suspended for longer than `REVOKE_MS`. The request
/// already waits in the socket when the process continues, and the store cannot be reached, so only the age of the last
/// proof can prevent it.
#[tokio::test]
async fn a_paused_process_does_not_accept_a_key_on_an_old_proof() {
    let bounds = format!("grace_s = 2.0\nstrict_revoke = true\nrevoke_ms = {REVOKE_MS}");
    let fixture = Fixture::new(9, &bounds);
    let store = Store::start(fixture.store()).await;
    let runs = start_server(fixture.server()).await;
    let entry = Entry {
        service: "plain",
        address: fixture.server(),
        born: 1_000,
        leaving: false,
        version: 1,
    };
    store.put("servers", "i-1", &entry.text());
    store.put("config", "main", &config(3, "\"key-1\""));
    let mut process = fixture.start_without_output();
    let front = fixture.front();
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    for round in 0..ROUNDS {
        wait_until_serving(front).await;
        sleep(Duration::from_millis(random.random_range(0..250))).await;
        process.signal(Signal::STOP);
        let mut stream = TcpStream::connect(front).await.expect("queued");
        let waiting = request(&format!("r-{round}"));
        stream.write_all(waiting.as_bytes()).await.expect("queued");
        store.set_watches_silent(true);
        store.set_down(true);
        store.put("config", "main", &config(4 + 2 * round, "\"key-2\""));
        sleep(Duration::from_millis(REVOKE_MS + 50)).await;
        let before = runs.load(Ordering::SeqCst);
        process.signal(Signal::CONT);
        let mut head = [0; 12];
        let answer = timeout(TIMEOUT, stream.read_exact(&mut head)).await;
        answer.expect("in time").expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 503", "round {round}");
        assert_eq!(runs.load(Ordering::SeqCst), before, "round {round}");
        store.put("config", "main", &config(5 + 2 * round, "\"key-1\""));
        store.set_watches_silent(false);
        store.set_down(false);
    }
}
