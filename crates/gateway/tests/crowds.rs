//! Crowds of misbehaving clients: the process lives, stays within its memory and descriptors, and serves others.
//!
//! The bounds are those of the settings: `memory_mb` for the peak resident memory, and the limit on descriptors less
//! those reserved for files for its sockets. No case checks times or the share of requests that are served.

mod support;

use std::{
    fmt::Write as _,
    net::SocketAddr,
    sync::{
        Arc, LazyLock,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use jaystand_adapter_standin::{
    answer::{VALID_ANSWER, answer_head, stream_headers},
    call::{Call, Kind, READINESS_REQUEST},
    exchange::exchange,
    objects::{Entry, config, weights},
    store::Store,
};
use support::{Fixture, Process, request, serve};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpSocket,
    sync::{
        Mutex,
        mpsc::{UnboundedReceiver, unbounded_channel},
    },
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Setting `memory_mb`, which also bounds the peak resident memory.
const MEMORY_MB: u64 = 48;
/// Limit on the descriptors of the process.
const MAX_DESCRIPTORS: u32 = 1_200;
/// Descriptors that are reserved for files; sockets may take the rest.
const FILE_DESCRIPTORS: usize = 200;
/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time for which clients may send. Some are never read to their end, so its end is no failure.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Usual time for which the process is observed after everything was sent.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time in which the process works on many pipelined requests.
const PIPELINE_TIME: Duration = Duration::from_secs(6);
/// Deadline of the crowd's requests. It is longer than the tests, so that no crowd goes away by itself.
const CROWD_DEADLINE: Duration = Duration::from_secs(60);
/// A test that takes this long hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an unanswered ordinary request is sent again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Receive buffer of clients that read slowly.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Clients of the crowd that the memory bounds, not the descriptors.
const LARGE_CROWD: usize = 3_000;

/// Number of the next fixture. The stand-ins of a test keep their addresses until its end.
static NEXT_NUMBER: AtomicU8 = AtomicU8::new(30);
/// Only one process and its crowd run at a time.
static ONE_AT_A_TIME: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

/// Where a crowd sends its requests.
#[derive(Clone, Copy, Debug)]
enum Target {
    Routed,
    NoRoute,
    Ready,
    Copies,
    Metrics,
}

const ALL: [Target; 5] = [
    Target::Routed,
    Target::NoRoute,
    Target::Ready,
    Target::Copies,
    Target::Metrics,
];

impl Target {
    fn address(self, fixture: &Fixture) -> SocketAddr {
        match self {
            Self::Routed | Self::NoRoute => fixture.front(),
            Self::Ready => fixture.ready(),
            Self::Copies => fixture.copies(),
            Self::Metrics => fixture.metrics(),
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Routed => "/read/x",
            Self::NoRoute => "/none/x",
            Self::Ready => readiness_path(),
            Self::Copies => "/copy?run=0&after=0&wait=0",
            Self::Metrics => "/metrics",
        }
    }

    /// Returns the shortest request whose response is longer than itself.
    fn short_request(self) -> String {
        let path = match self {
            Self::NoRoute => "/",
            Self::Copies => "/copy",
            Self::Routed | Self::Ready | Self::Metrics => self.path(),
        };
        format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
    }

    /// Returns the head of a request without its length and the empty line at its end.
    fn head(self, method: &str) -> String {
        let text = Call {
            id: "crowd",
            kind: Kind::Read,
            line: &format!("{method} {}", self.path()),
            body: "",
            key: "key-1",
            timeout: CROWD_DEADLINE,
        }
        .text();
        let (head, _) = text.split_once("content-length").expect("a length");
        head.to_owned()
    }
}

fn readiness_path() -> &'static str {
    READINESS_REQUEST.split(' ').nth(1).expect("a path")
}

/// What each client of a crowd sends on its connection, which it never reads.
#[derive(Clone)]
struct Script {
    bytes: Arc<[u8]>,
    /// Size of the pieces in which the bytes are written.
    piece: usize,
    /// Size of the first piece.
    first: usize,
    /// Whether the client shuts down its sending side after the last piece.
    ends: bool,
    /// Time for which the process is observed after everything was sent: it may not have read it all.
    settle: Duration,
    /// Size of the client's receive buffer. If it is small, unread responses stay with the process.
    receive_buffer: Option<u32>,
    /// Pause after each piece.
    pause: Duration,
}

impl Script {
    fn at_once(bytes: impl Into<Vec<u8>>) -> Self {
        let bytes: Arc<[u8]> = bytes.into().into();
        Self {
            piece: bytes.len().max(1),
            first: 0,
            ends: false,
            settle: SETTLE_TIME,
            receive_buffer: None,
            bytes,
            pause: Duration::ZERO,
        }
    }

    fn with_small_receive_buffer(self) -> Self {
        Self {
            receive_buffer: Some(RECEIVE_BUFFER_BYTES),
            ..self
        }
    }

    fn in_pieces(bytes: impl Into<Vec<u8>>, piece: usize, pause: Duration) -> Self {
        Self {
            piece,
            pause,
            ..Self::at_once(bytes)
        }
    }
}

/// A body with a stated length, of which the last `missing` bytes are not sent.
fn body(target: Target, length: usize, missing: usize) -> Vec<u8> {
    let head = target.head("POST");
    let mut bytes = format!("{head}content-length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length - missing, b'x');
    bytes
}

/// A body in chunks without the last one.
fn chunked_body(target: Target, length: usize, chunk: usize) -> Vec<u8> {
    let head = target.head("POST");
    let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let piece = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    for _ in 0..length / chunk {
        bytes.extend_from_slice(piece.as_bytes());
    }
    bytes
}

/// A head of a legal size with as many fields as fit, with or without the empty line at its end.
fn head_of_short_fields(target: Target, complete: bool) -> Vec<u8> {
    let mut head = target.head("GET");
    let mut number = 0;
    while head.len() < 16_000 {
        write!(head, "f{number:x}:\r\n").expect("text");
        number += 1;
    }
    if complete {
        head.push_str("\r\n");
    }
    head.into_bytes()
}

/// A head that does not end.
fn endless_head(target: Target, length: usize) -> Vec<u8> {
    let head = target.head("GET");
    format!("{head}f: {}", "x".repeat(length)).into_bytes()
}

/// A request of an ordinary caller, with a small body.
fn ordinary_request() -> String {
    let call = Call {
        id: "ordinary",
        kind: Kind::Read,
        line: "POST /read/x",
        body: &"x".repeat(12_000),
        key: "key-1",
        timeout: Duration::from_secs(8),
    };
    call.text()
}

/// A started process with a store and servers.
struct Gateway {
    fixture: Fixture,
    process: Process,
    _store: Store,
}

impl Gateway {
    async fn start(max_descriptors: u32) -> Self {
        let limits = format!("memory_mb = {MEMORY_MB}");
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let fixture = Fixture::with_limits(number, "grace_s = 2.0", &limits);
        let store = Store::start(fixture.store()).await;
        let mut engine_address = fixture.server();
        engine_address.set_port(9_101);
        for (name, service, address) in [
            ("i-1", "plain", fixture.server()),
            ("i-2", "lm", engine_address),
        ] {
            serve(address, |received| {
                answer_to(received.id(), received.request_line())
            })
            .await;
            let entry = Entry {
                service,
                address,
                born: 1_000,
                leaving: false,
                version: 1,
            };
            store.put("servers", name, &entry.text());
        }
        store.put("versions", "reef", &weights(1));
        // The deadlines are longer than the tests, so that no crowd goes away by itself.
        let config = config(3, "\"key-1\"")
            .replace(
                "\"maxBodyBytes\":4096",
                &format!("\"maxBodyBytes\":{MAX_BODY_BYTES}"),
            )
            .replace("\"timeoutMs\":10000", "\"timeoutMs\":60000");
        store.put("config", "main", &config);
        let process = fixture.start_limited_without_output(max_descriptors);
        let mut gateway = Self {
            fixture,
            process,
            _store: store,
        };
        gateway.serve_ordinary_request().await;
        gateway
    }

    /// Sends an ordinary request and a readiness check until each is answered with success. Returns how often they
    /// were sent.
    async fn serve_ordinary_request(&mut self) -> usize {
        let checks = [
            (self.fixture.front(), ordinary_request()),
            (self.fixture.ready(), READINESS_REQUEST.to_owned()),
        ];
        let mut sent = 0;
        for (address, text) in checks {
            loop {
                assert!(!self.process.has_ended(), "the process has ended");
                sent += 1;
                let answer = timeout(ATTEMPT_TIMEOUT, exchange(address, &text)).await;
                if matches!(answer, Ok(Some(answer)) if answer.status == 200) {
                    break;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
        sent
    }

    fn descriptors(&mut self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        std::fs::read_dir(path).expect("the process lives").count()
    }
}

/// Returns the answer of a backend server: 1 MB to paths that contain `big`, a long stream to those that contain `flow`,
/// and a short answer to others.
fn answer_to(id: &str, line: &str) -> Vec<u8> {
    let head = answer_head(id);
    if line.contains("big") {
        let mut answer = format!("{head}content-length: {}\r\n\r\n", 1 << 20).into_bytes();
        answer.resize(answer.len() + (1 << 20), b'x');
        return answer;
    }
    if line.contains("flow") {
        let mut answer = format!("{head}{}", stream_headers(1));
        for number in 1..1_024 {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(16 << 10));
            write!(answer, "{:x}\r\n{event}\r\n", event.len()).expect("text");
        }
        answer.push_str("0\r\n\r\n");
        return answer.into_bytes();
    }
    VALID_ANSWER.replace("{id}", id).into_bytes()
}

/// Runs a crowd against a new process for each target. Fails with the bounds that any of them broke.
async fn check(name: &str, count: usize, targets: &[Target], script: impl Fn(Target) -> Script) {
    let mut broken = Vec::new();
    for target in targets {
        let name = format!("{name} at {target:?}");
        let crowd = Crowd {
            count,
            target: *target,
            script: script(*target),
            max_descriptors: MAX_DESCRIPTORS,
        };
        crowd.run(&name, &mut broken).await;
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Clients that all do the same.
struct Crowd {
    count: usize,
    target: Target,
    script: Script,
    max_descriptors: u32,
}

impl Crowd {
    /// Runs the crowd against a new process, and adds the bounds that were broken while it was connected.
    async fn run(self, name: &str, broken: &mut Vec<String>) {
        let _alone = ONE_AT_A_TIME.lock().await;
        if timeout(HANG_TIMEOUT, self.observe(name, broken))
            .await
            .is_err()
        {
            broken.push(format!("{name}: hangs"));
        }
    }

    async fn observe(&self, name: &str, broken: &mut Vec<String>) {
        let count = self.count;
        let mut gateway = Gateway::start(self.max_descriptors).await;
        let idle_kb = gateway.process.peak_memory_kb();
        let (_clients, mut sent) = self.connect(self.target.address(&gateway.fixture));
        let mut until = Instant::now() + CROWD_TIME;
        let mut all_sent = false;
        let mut descriptors = 0;
        loop {
            if gateway.process.has_ended() {
                broken.push(format!("{name}: the process has ended"));
                return;
            }
            descriptors = descriptors.max(gateway.descriptors());
            if all_sent {
                sleep(SAMPLE_PERIOD).await;
            } else if timeout(SAMPLE_PERIOD, sent.recv()).await == Ok(None) {
                all_sent = true;
                until = Instant::now() + self.script.settle;
            }
            if Instant::now() > until {
                break;
            }
        }
        let served = timeout(HANG_TIMEOUT / 2, gateway.serve_ordinary_request()).await;
        if gateway.process.has_ended() {
            broken.push(format!("{name}: the process has ended"));
            return;
        }
        descriptors = descriptors.max(gateway.descriptors());
        let peak_kb = gateway.process.peak_memory_kb();
        eprintln!(
            "{name}: {count} clients, idle {idle_kb} kB, peak {peak_kb} kB, \
             {descriptors} descriptors, served after {served:?} tries"
        );
        let bound = MEMORY_MB << 10;
        if peak_kb > bound {
            broken.push(format!("{name}: {peak_kb} kB resident, {bound} allowed"));
        }
        let bound = self.max_descriptors as usize - FILE_DESCRIPTORS;
        if descriptors > bound {
            broken.push(format!(
                "{name}: {descriptors} descriptors, {bound} allowed"
            ));
        }
        if served.is_err() {
            broken.push(format!("{name}: an ordinary request is not served"));
        }
    }

    /// Connects the clients, which stay connected until the set is dropped. The channel ends when all have sent
    /// everything.
    fn connect(&self, address: SocketAddr) -> (JoinSet<()>, UnboundedReceiver<()>) {
        let mut clients = JoinSet::new();
        let (sending, sent) = unbounded_channel();
        for _ in 0..self.count {
            let (script, sending) = (self.script.clone(), sending.clone());
            clients.spawn(async move {
                let socket = TcpSocket::new_v4().expect("a socket");
                if let Some(bytes) = script.receive_buffer {
                    socket.set_recv_buffer_size(bytes).expect("a socket");
                }
                // To refuse or close the connection is one of the ways in which such a client may be treated.
                let Ok(mut stream) = socket.connect(address).await else {
                    return;
                };
                let (first, rest) = script.bytes.split_at(script.first);
                for piece in std::iter::once(first).chain(rest.chunks(script.piece)) {
                    if stream.write_all(piece).await.is_err() {
                        break;
                    }
                    if !script.pause.is_zero() {
                        sleep(script.pause).await;
                    }
                }
                if script.ends {
                    // Fails if the connection is closed already.
                    let _ = stream.shutdown().await;
                }
                drop(sending);
                std::future::pending::<()>().await;
            });
        }
        (clients, sent)
    }
}

/// Guards against bodies that stop one byte short of their end and hold all memory for bodies.
#[tokio::test]
async fn bodies_that_stop_short_of_their_end() {
    check("64 kB bodies", 400, &ALL, |target| {
        Script::at_once(body(target, 64 << 10, 1))
    })
    .await;
}

/// Guards against bodies in small pieces, each of which could hold a read buffer of its own.
#[tokio::test]
async fn bodies_in_small_pieces() {
    check("64 kB bodies in pieces of 512 bytes", 400, &ALL, |target| {
        Script::in_pieces(body(target, 64 << 10, 1), 512, Duration::from_millis(2))
    })
    .await;
}

/// Guards against chunked bodies, whose length is not known before their end.
#[tokio::test]
async fn bodies_in_chunks() {
    check("64 kB bodies in chunks of 100 bytes", 400, &ALL, |target| {
        Script::at_once(chunked_body(target, 64 << 10, 100))
    })
    .await;
}

/// Guards against growth by doubling: while a body of the largest legal size is copied, it takes its memory twice.
#[tokio::test]
async fn bodies_of_the_largest_legal_size() {
    check("4 MB bodies", 40, &ALL, |target| {
        Script::at_once(body(target, MAX_BODY_BYTES, 1))
    })
    .await;
}

/// Guards against chunked bodies of the largest legal size.
#[tokio::test]
async fn chunked_bodies_of_the_largest_legal_size() {
    check("4 MB bodies in chunks of 1,000 bytes", 40, &ALL, |target| {
        Script::at_once(chunked_body(target, MAX_BODY_BYTES - 1_000, 1_000))
    })
    .await;
}

/// Guards against bodies over the limit that are read nevertheless.
#[tokio::test]
async fn bodies_over_the_limit() {
    check("32 MB bodies", 20, &ALL, |target| {
        Script::at_once(body(target, 32 << 20, 1))
    })
    .await;
}

/// Guards against chunked bodies over the limit that are read nevertheless.
#[tokio::test]
async fn chunked_bodies_over_the_limit() {
    check("32 MB bodies in chunks", 20, &ALL, |target| {
        Script::at_once(chunked_body(target, 32 << 20, 10_000))
    })
    .await;
}

/// Guards against heads of legal size whose fields take far more memory than their bytes.
#[tokio::test]
async fn heads_of_short_fields() {
    check("heads of short fields", 400, &ALL, |target| {
        Script::at_once(head_of_short_fields(target, true))
    })
    .await;
}

/// Guards against heads of many fields that stop before their end.
#[tokio::test]
async fn unfinished_heads_of_short_fields() {
    check("unfinished heads of short fields", 400, &ALL, |target| {
        Script::at_once(head_of_short_fields(target, false))
    })
    .await;
}

/// Guards against heads without end.
#[tokio::test]
async fn endless_heads() {
    check("heads of 390 kB without end", 200, &ALL, |target| {
        Script::at_once(endless_head(target, 390_000))
    })
    .await;
}

/// Guards against responses to pipelined requests that pile up because the client does not read them.
#[tokio::test]
async fn pipelined_requests_without_reading() {
    check("40,000 pipelined requests", 320, &ALL, |target| Script {
        settle: PIPELINE_TIME,
        ..Script::at_once(target.short_request().repeat(40_000))
    })
    .await;
}

/// Guards against responses to pipelined requests that pile up in the process because the sockets are full.
#[tokio::test]
async fn pipelined_requests_with_full_sockets() {
    let name = "40,000 pipelined requests, small buffers";
    check(name, 120, &ALL, |target| Script {
        settle: PIPELINE_TIME,
        receive_buffer: Some(RECEIVE_BUFFER_BYTES),
        ..Script::at_once(target.short_request().repeat(40_000))
    })
    .await;
}

/// Guards against clients that stop half-way and announce no more bytes.
#[tokio::test]
async fn clients_that_stop_half_way() {
    check("half a body, then the end", 400, &ALL, |target| {
        let mut script = Script::at_once(body(target, 64 << 10, 32 << 10));
        script.ends = true;
        script
    })
    .await;
}

/// Guards against slow senders that hold connections and descriptors.
#[tokio::test]
async fn slow_senders() {
    check("bodies of a byte per 100 ms", 1_100, &ALL, |target| {
        let head = target.head("POST");
        let body = format!("{head}content-length: 4000\r\n\r\n{}", "x".repeat(100));
        let piece = head.len() + 24;
        // The head arrives as one piece, and each byte of the body as one more.
        let mut script = Script::in_pieces(body, 1, Duration::from_millis(100));
        script.first = piece;
        script
    })
    .await;
}

/// Guards against heads that arrive slowly and hold connections and descriptors.
#[tokio::test]
async fn slow_heads() {
    check("heads of a byte per 100 ms", 1_100, &ALL, |target| {
        Script::in_pieces(target.head("GET"), 1, Duration::from_millis(100))
    })
    .await;
}

/// Guards against clients that stall within a head and use up the descriptors.
#[tokio::test]
async fn clients_that_stall() {
    check("nine bytes", 1_400, &ALL, |_| {
        Script::at_once(*b"GET / HTT")
    })
    .await;
}

/// Guards against connections without any byte, which use up the descriptors.
#[tokio::test]
async fn silent_connections() {
    check("no byte", 1_400, &ALL, |_| Script::at_once([])).await;
}

/// Guards against idle connections after a complete request, which use up the descriptors.
#[tokio::test]
async fn idle_connections() {
    check("one request", 1_400, &ALL, |target| {
        Script::at_once(format!("{}\r\n", target.head("GET")))
    })
    .await;
}

/// Guards against connections whose own memory exceeds the host's, where descriptors are plentiful.
#[tokio::test]
async fn connections_that_exceed_the_memory() {
    let mut broken = Vec::new();
    for (name, bytes) in [
        ("nine bytes", b"GET / HTT".to_vec()),
        (
            "one request",
            format!("{}\r\n", Target::NoRoute.head("GET")).into(),
        ),
    ] {
        let crowd = Crowd {
            count: LARGE_CROWD,
            target: Target::NoRoute,
            script: Script::at_once(bytes),
            max_descriptors: 20_000,
        };
        crowd.run(name, &mut broken).await;
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against whole responses that slow readers leave unread.
#[tokio::test]
async fn slow_readers() {
    check("whole responses of 1 MB", 100, &[Target::Routed], |_| {
        Script::at_once(request("slow").replace("/read/x", "/read/big")).with_small_receive_buffer()
    })
    .await;
}

/// Guards against streams that slow readers leave unread.
#[tokio::test]
async fn slow_readers_of_streams() {
    check("streams of 16 MB", 150, &[Target::Routed], |_| {
        let call = Call {
            id: "slow",
            kind: Kind::Stream,
            line: "GET /talk/flow",
            body: "",
            key: "key-1",
            timeout: Duration::from_secs(8),
        };
        Script::at_once(call.text()).with_small_receive_buffer()
    })
    .await;
}
