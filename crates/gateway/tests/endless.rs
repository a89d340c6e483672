//! Servers, the store and another host that send bytes without end: the process stays within the memory of its host and
//! serves others.
//!
//! The bound is the setting `memory_mb` for the peak resident memory. No case checks times.

mod support;

use std::{net::SocketAddr, time::Duration};

use jaystand_adapter_standin::{
    answer::{VALID_ANSWER, answer_head},
    call::{Call, Kind, READINESS_REQUEST},
    exchange::{exchange, read_request},
    objects::{Entry, config, weights},
    store::Store,
};
use support::{Fixture, Process, request, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Setting `memory_mb`, which also bounds the peak resident memory: that of the smallest hosts.
const MEMORY_MB: u64 = 88;
/// Engines that send bytes without end.
const ENGINES: u16 = 24;
/// Requests at the same time for each kind of endless bytes.
const CALLERS: usize = 24;
/// Time that callers wait, in which their servers go on sending.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time after which a test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(40);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that a server sends at once.
const PIECE_BYTES: usize = 4_096;
/// Pause between the bytes of an answer that has stalled.
const STALL_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of an event, of a head, and of an answer to a call of the host itself, that are just below the bounds.
const MAX_EVENT_BYTES: usize = 250_000;
const MAX_HEAD_BYTES: usize = 15_000;
const MAX_CALL_BYTES: usize = 4_000_000;

/// What follows the status line and the id of an answer, and what is repeated without end after it.
const FLOODS: [(&str, &str); 9] = [
    // A head with one line and with many, and interim answers.
    ("", "xxxxxxxxxxxxxxxx"),
    ("", "x-more: and more\r\n"),
    ("x-a: b\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"),
    // A body without a length and in chunks.
    (
        "content-type: text/event-stream\r\n\r\ndata: ",
        "xxxxxxxxxxxxxxxx",
    ),
    (CHUNKED, "10\r\nxxxxxxxxxxxxxxxx\r\n"),
    // Comments, sizes and extensions of chunks, and trailers.
    (CHUNKED, "10\r\n: no event here\n\r\n"),
    (CHUNKED, "0000000000000000"),
    (EXTENSION, "xxxxxxxxxxxxxxxx"),
    (TRAILER, "x-more: and more\r\n"),
];
/// Indices of the heads, of the body without a length, and of the bodies that hold one endless event.
const HEADS: [usize; 2] = [0, 1];
const UNFRAMED_BODY: usize = 3;
const EVENTS: [usize; 2] = [UNFRAMED_BODY, 4];
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const EXTENSION: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n5;a=";
const TRAILER: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
                       f\r\nid: 1\ndata: a\n\n\r\n0\r\n";

/// A started process with a store.
struct Gateway {
    fixture: Fixture,
    process: Process,
}

impl Gateway {
    fn start(fixture: Fixture) -> Self {
        let process = fixture.start_without_output();
        Self { fixture, process }
    }

    /// Sends an ordinary request and a readiness check until each is answered with success.
    async fn serve_ordinary_requests(&mut self) {
        let checks = [
            (self.fixture.front(), request("ordinary")),
            (self.fixture.ready(), READINESS_REQUEST.to_owned()),
        ];
        for (address, text) in checks {
            let served = timeout(HANG_TIMEOUT, async {
                loop {
                    assert!(!self.process.has_ended(), "the process has ended");
                    if exchange(address, &text)
                        .await
                        .is_some_and(|answer| answer.status == 200)
                    {
                        return;
                    }
                    sleep(RETRY_PAUSE).await;
                }
            });
            assert!(served.await.is_ok(), "an ordinary request is not served");
        }
    }

    /// Checks that the process lives, has stayed within its memory, and serves an ordinary request.
    async fn check(&mut self, what: &str) {
        let peak_kb = self.process.peak_memory_kb();
        eprintln!("{what}: peak {peak_kb} kB");
        assert!(peak_kb <= MEMORY_MB << 10, "{what}: {peak_kb} kB resident");
        self.serve_ordinary_requests().await;
    }
}

/// Fills a store with a configuration and the entries of a sound server and of engines.
fn fill(store: &Store, fixture: &Fixture) {
    let text = config(3, "\"key-1\"").replace("\"maxConns\":50", "\"maxConns\":500");
    store.put("config", "main", &text);
    store.put("versions", "reef", &weights(2));
    let put = |name: &str, service, address| {
        let entry = Entry {
            service,
            address,
            born: 1_000,
            leaving: false,
            version: 1,
        };
        let text = entry.text().replace("\"slots\":8", "\"slots\":64");
        store.put("servers", name, &text);
    };
    put("i-0", "plain", fixture.server());
    for engine in engines(fixture) {
        put(&format!("e-{}", engine.port()), "lm", engine);
    }
}

fn engines(fixture: &Fixture) -> impl Iterator<Item = SocketAddr> {
    let first = fixture.server();
    (1..=ENGINES).map(move |number| SocketAddr::new(first.ip(), first.port() + number))
}

/// How fast a server sends bytes without end.
#[derive(Clone, Copy)]
enum Pace {
    /// As fast as they are read.
    Fast,
    /// As fast up to just below the bound of one answer, then slowly.
    Stalling,
}

/// Starts a server that answers each call with one of the kinds of endless bytes: requests with the one that their path
/// names, and the calls of hosts with a body.
async fn flood(address: SocketAddr, pace: Pace) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let received = read_request(&mut stream, &mut Vec::new()).await?;
                let path = received.request_line().split(' ').nth(1)?;
                let kind = path.rsplit('/').next()?.parse();
                let stall_after = match (pace, &kind) {
                    (Pace::Fast, _) => usize::MAX,
                    (Pace::Stalling, Ok(kind)) if HEADS.contains(kind) => MAX_HEAD_BYTES,
                    (Pace::Stalling, Ok(_)) => MAX_EVENT_BYTES,
                    (Pace::Stalling, Err(_)) => MAX_CALL_BYTES,
                };
                let kind = kind.unwrap_or(UNFRAMED_BODY);
                let (beginning, repeated): (&str, &str) = FLOODS[kind];
                let head = answer_head(received.id()) + beginning;
                send_without_end(&mut stream, &head, repeated, stall_after).await
            });
        }
    });
}

/// Passes calls on to a store until the switch is set. Then it cuts all connections and answers each call with a body
/// without end.
async fn serve_store(address: SocketAddr, store: SocketAddr, pace: Pace) -> watch::Sender<bool> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let switch = watch::Sender::new(false);
    let endless = switch.subscribe();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut endless = endless.clone();
            tokio::spawn(async move {
                if !*endless.borrow() {
                    let mut store = TcpStream::connect(store).await.ok()?;
                    tokio::select! {
                        _ = copy_bidirectional(&mut stream, &mut store) => {}
                        _ = endless.wait_for(|endless| *endless) => {}
                    }
                    return None;
                }
                read_request(&mut stream, &mut Vec::new()).await?;
                let stall_after = match pace {
                    Pace::Fast => usize::MAX,
                    Pace::Stalling => 2 * MAX_CALL_BYTES,
                };
                let head = "HTTP/1.1 200 OK\r\n\r\n{\"items\":[\"";
                send_without_end(&mut stream, head, "xxxxxxxxxxxxxxxx", stall_after).await
            });
        }
    });
    switch
}

/// Starts another host that reports a newer configuration, and answers each call for it with a copy without end.
async fn serve_peer(fixture: &Fixture, pace: Pace) {
    let std::net::IpAddr::V4(ip) = fixture.copies().ip() else {
        unreachable!("fixtures have IPv4 addresses");
    };
    let [a, b, c, d] = ip.octets();
    let peer = SocketAddr::from(([a, b, c, d + 100], fixture.copies().port()));
    flood(peer, pace).await;
    let socket = UdpSocket::bind(peer).await.expect("a free address");
    let copies = fixture.copies();
    tokio::spawn(async move {
        // Incarnation 7, version 100, connected to the store, data centre `a`.
        let report = b"\x09\x07\0\0\0\0\0\0\0\x10\x64\x20\x01\x5a\x01a";
        while socket.send_to(report, copies).await.is_ok() {
            sleep(RETRY_PAUSE).await;
        }
    });
}

/// Sends bytes until the connection is closed: some as fast as they are read, and the others slowly.
async fn send_without_end(
    stream: &mut TcpStream,
    head: &str,
    repeated: &str,
    stall_after: usize,
) -> Option<()> {
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut piece = repeated.repeat(1 + PIECE_BYTES / repeated.len());
    let mut sent = 0;
    loop {
        if sent + piece.len() > stall_after {
            sleep(STALL_PAUSE).await;
            piece = repeated.to_owned();
        }
        stream.write_all(piece.as_bytes()).await.ok()?;
        sent += piece.len();
    }
}

/// Sends a request and reads its answer to the end of the connection without keeping it. Returns the number of bytes.
async fn call(front: SocketAddr, kind: Kind, line: String) -> Option<usize> {
    let call = Call {
        id: &line.replace([' ', '/'], "-"),
        kind,
        line: &line,
        body: "",
        key: "key-1",
        timeout: DEADLINE,
    };
    let text = call
        .text()
        .replace("\r\nhost", "\r\nconnection: close\r\nhost");
    let mut stream = TcpStream::connect(front).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut buffer = vec![0; 16 << 10];
    let mut total = 0;
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Some(total),
            Ok(read) => total += read,
        }
    }
}

/// Sends requests of these kinds on both routes of streams to engines that send bytes without end, while the store and
/// another host do the same.
async fn check_engines(
    what: &str,
    number: u8,
    pace: Pace,
    kinds: &[usize],
    callers_per_kind: usize,
) {
    let limits = format!("memory_mb = {MEMORY_MB}");
    let fixture = Fixture::with_limits(number, "grace_s = 2.0", &limits);
    let mut store_address = fixture.store();
    store_address.set_port(fixture.store().port() + 1);
    let store = Store::start(store_address).await;
    let endless_store = serve_store(fixture.store(), store_address, pace).await;
    fill(&store, &fixture);
    serve(fixture.server(), |received| {
        VALID_ANSWER.replace("{id}", received.id()).into_bytes()
    })
    .await;
    for engine in engines(&fixture) {
        flood(engine, pace).await;
    }
    let mut gateway = Gateway::start(fixture);
    gateway.serve_ordinary_requests().await;
    endless_store.send_replace(true);
    serve_peer(&gateway.fixture, pace).await;
    let front = gateway.fixture.front();
    let mut callers = JoinSet::new();
    for number in 0..callers_per_kind {
        for kind in kinds {
            for path in ["ask", "talk"] {
                let line = format!("GET /{path}/{number}/{kind}");
                callers.spawn(call(front, Kind::Stream, line));
            }
        }
    }
    let ended = timeout(HANG_TIMEOUT, callers.join_all()).await;
    let sizes = ended.expect("the requests end");
    assert!(
        sizes.iter().flatten().any(|size| *size > 0),
        "no request was answered"
    );
    gateway.check(what).await;
}

/// Guards against endless bytes in answers to many requests and to the calls of the host itself, all at once, of which
/// each stays within its bound and all together fill the memory.
#[tokio::test]
async fn endless_answers_of_servers_share_the_memory() {
    let kinds: Vec<usize> = (0..FLOODS.len()).collect();
    check_engines("endless answers", 1, Pace::Fast, &kinds, CALLERS).await;
}

/// Guards against the same with events and answers that grow slowly just below the bound of each.
#[tokio::test]
async fn stalled_answers_of_servers_share_the_memory() {
    check_engines("stalled answers", 2, Pace::Stalling, &EVENTS, 12 * CALLERS).await;
}

/// Guards against the same with heads.
#[tokio::test]
async fn stalled_heads_of_servers_share_the_memory() {
    check_engines("stalled heads", 3, Pace::Stalling, &HEADS, 25 * CALLERS).await;
}
