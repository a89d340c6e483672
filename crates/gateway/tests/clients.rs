//! Callers within the documented limits are served, and shedding keeps the guarantees.

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
    answer::{VALID_ANSWER, answer_head, stream_headers},
    call::{Call, Kind},
    exchange::{Answer, exchange, read, read_request},
    objects::{Entry, config, weights},
    store::Store,
};
use support::{Fixture, Process, request};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

/// A test that takes this long hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that the server takes for paths that contain `slow`.
const SLOW_ANSWER: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest head that the configuration allows.
const MAX_HEAD_BYTES: usize = 16_384;

struct Gateway {
    fixture: Fixture,
    _process: Process,
    _store: Store,
    /// Requests that the server has run.
    runs: Arc<AtomicUsize>,
    /// Streams of the engine whose connection was closed before their end.
    cancelled: Arc<AtomicUsize>,
}

impl Gateway {
    async fn start(number: u8, limits: &str) -> Self {
        let fixture = Fixture::with_limits(number, "grace_s = 2.0", limits);
        let store = Store::start(fixture.store()).await;
        let runs = serve(fixture.server()).await;
        let entry = Entry {
            service: "plain",
            address: fixture.server(),
            born: 1_000,
            leaving: false,
            version: 1,
        };
        store.put("servers", "i-1", &entry.text());
        let mut address = fixture.server();
        address.set_port(9_101);
        let cancelled = stream_without_end(address).await;
        let entry = Entry {
            service: "lm",
            address,
            ..entry
        };
        store.put("servers", "i-2", &entry.text());
        store.put("versions", "reef", &weights(1));
        let config = config(3, "\"key-1\"")
            .replace(
                "\"maxBodyBytes\":4096",
                &format!("\"maxBodyBytes\":{MAX_BODY_BYTES}"),
            )
            .replace("\"timeoutMs\":10000", "\"timeoutMs\":60000");
        store.put("config", "main", &config);
        let gateway = Self {
            _process: fixture.start_without_output(),
            fixture,
            _store: store,
            runs,
            cancelled,
        };
        let served = async {
            loop {
                let answer = exchange(gateway.fixture.front(), &request("check")).await;
                if answer.is_some_and(|answer| answer.status == 200) {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(HANG_TIMEOUT, served).await.expect("it serves");
        gateway
    }

    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.fixture.front()).await;
        stream.expect("connected")
    }
}

/// Starts a backend server. Returns the counter of the requests that it has run.
async fn serve(address: SocketAddr) -> Arc<AtomicUsize> {
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
                    if received.request_line().contains("slow") {
                        sleep(SLOW_ANSWER).await;
                    }
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

/// Starts an engine whose streams do not end. Returns the counter of those that were cancelled.
async fn stream_without_end(address: SocketAddr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let cancelled = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&cancelled);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let cancelled = Arc::clone(&counted);
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                let Some(received) = read_request(&mut stream, &mut bytes).await else {
                    return;
                };
                if !received.request_line().contains("flow") {
                    return;
                }
                let head = format!("{}{}", answer_head(received.id()), stream_headers(1));
                let event = format!("data: {}\n\n", "x".repeat(1_000));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(head.as_bytes()).await.is_ok() {
                    while stream.write_all(chunk.as_bytes()).await.is_ok() {}
                }
                cancelled.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    cancelled
}

fn call(id: &str, line: &str, body: &str) -> String {
    let call = Call {
        id,
        kind: Kind::Read,
        line,
        body,
        key: "key-1",
        timeout: HANG_TIMEOUT,
    };
    call.text()
}

/// Sends a request in equal pieces with pauses, and returns its answer.
async fn send_in_pieces(
    mut stream: TcpStream,
    text: &str,
    pieces: usize,
    pause: Duration,
) -> Option<Answer> {
    for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
        stream.write_all(piece).await.ok()?;
        sleep(pause).await;
    }
    timeout(HANG_TIMEOUT, read(&mut stream))
        .await
        .expect("an answer")
}

/// Guards against limits that refuse callers within the documented ones: a head that arrives in pieces within its
/// timeout, one of the largest size, the largest body over a slow link, and a connection used again after a pause.
#[tokio::test]
async fn callers_within_the_limits_are_served() {
    let gateway = Gateway::start(60, "memory_mb = 64").await;
    let head = async {
        let text = call("pieces", "GET /read/x", "");
        send_in_pieces(
            gateway.connect().await,
            &text,
            8,
            Duration::from_millis(250),
        )
        .await
    };
    let large_head = async {
        let text = call("large", "GET /read/x", "");
        let padding = "x".repeat(MAX_HEAD_BYTES - text.len() - "f: \r\n".len());
        let text = text.replacen("\r\n", &format!("\r\nf: {padding}\r\n"), 1);
        assert_eq!(text.len(), MAX_HEAD_BYTES);
        send_in_pieces(
            gateway.connect().await,
            &text,
            4,
            Duration::from_millis(100),
        )
        .await
    };
    let body = async {
        let text = call("body", "POST /read/x", &"x".repeat(MAX_BODY_BYTES));
        send_in_pieces(
            gateway.connect().await,
            &text,
            120,
            Duration::from_millis(100),
        )
        .await
    };
    let reused = async {
        let mut stream = gateway.connect().await;
        for _ in 0..2 {
            stream.write_all(request("reused").as_bytes()).await.ok()?;
            let answer = timeout(HANG_TIMEOUT, read(&mut stream)).await;
            assert_eq!(answer.expect("an answer")?.status, 200);
            sleep(Duration::from_secs(12)).await;
        }
        send_in_pieces(stream, &request("reused"), 1, Duration::ZERO).await
    };
    let answers = tokio::join!(head, large_head, body, reused);
    for (name, answer) in [
        ("a head in pieces", answers.0),
        ("a large head", answers.1),
        ("a large body", answers.2),
        ("a reused connection", answers.3),
    ] {
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Some(200), "{name}");
    }
}

/// Guards against shedding a connection whose request is at a server: its answer would be lost.
#[tokio::test]
async fn requests_at_a_server_are_answered_in_a_crowd() {
    const CONNECTIONS: usize = 8;
    let limits = format!("connections = {CONNECTIONS}");
    let gateway = Gateway::start(61, &limits).await;
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS / 2 {
        let mut stream = gateway.connect().await;
        let text = call(&format!("r-{number}"), "GET /read/slow", "");
        stream.write_all(text.as_bytes()).await.expect("sent");
        streams.push(stream);
    }
    while gateway.runs.load(Ordering::SeqCst) <= CONNECTIONS / 2 {
        sleep(Duration::from_millis(5)).await;
    }
    let mut crowd = Vec::new();
    for _ in 0..10 * CONNECTIONS {
        crowd.push(gateway.connect().await);
    }
    for mut stream in streams {
        let answer = timeout(HANG_TIMEOUT, read(&mut stream)).await;
        let answer = answer.expect("in time").expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a refusal without effect: a request whose body was shed for another one must not run, although its
/// last byte arrives later.
#[tokio::test]
async fn a_shed_request_never_runs() {
    // A quarter of the memory holds two bodies of this size, of which one is doubled.
    let gateway = Gateway::start(62, "memory_mb = 48").await;
    let text = call("stalled", "POST /read/x", &"x".repeat(MAX_BODY_BYTES));
    let (most, last) = text.as_bytes().split_at(text.len() - 1);
    let mut stalled = Vec::new();
    for _ in 0..2 {
        let mut stream = gateway.connect().await;
        stream.write_all(most).await.expect("sent");
        stalled.push(stream);
    }
    let before = gateway.runs.load(Ordering::SeqCst);
    let mut served = 0;
    while served < 2 {
        let text = call("other", "POST /read/x", &"x".repeat(MAX_BODY_BYTES));
        let answer = send_in_pieces(gateway.connect().await, &text, 1, Duration::ZERO).await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        sleep(Duration::from_millis(100)).await;
    }
    let mut refused = 0;
    for mut stream in stalled {
        // Fails if the connection is closed already.
        let _ = stream.write_all(last).await;
        let answer = timeout(HANG_TIMEOUT, read(&mut stream)).await;
        let status = answer.expect("in time").map(|answer| answer.status);
        refused += usize::from(status != Some(200));
    }
    let runs = gateway.runs.load(Ordering::SeqCst) - before;
    assert!(refused > 0, "no body was shed");
    assert_eq!(runs + refused, served + 2);
}

/// Guards against a stream that its caller does not read and that stays at its server until the server cuts it off, and
/// against an end that makes it look complete.
#[tokio::test]
async fn an_unread_stream_is_cancelled_and_looks_incomplete() {
    let gateway = Gateway::start(63, "memory_mb = 48").await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a socket");
    let stream = socket.connect(gateway.fixture.front()).await;
    let mut stream = stream.expect("connected");
    let call = Call {
        id: "unread",
        kind: Kind::Stream,
        line: "GET /talk/flow",
        body: "",
        key: "key-1",
        timeout: HANG_TIMEOUT,
    };
    stream
        .write_all(call.text().as_bytes())
        .await
        .expect("sent");
    let cancelled = async {
        while gateway.cancelled.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    // The deadline is twice as far away, so it is not what cancels the stream.
    timeout(HANG_TIMEOUT / 2, cancelled)
        .await
        .expect("cancelled");
    let answer = timeout(HANG_TIMEOUT / 2, read(&mut stream)).await;
    let answer = answer.expect("the connection is closed");
    assert!(answer.is_none_or(|answer| answer.status == 200 && !answer.complete));
}
