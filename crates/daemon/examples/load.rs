//! A small load test: a daemon on four threads, with a minimal backend server and minimal callers in the same process.
//!
//! `cargo run --release -p jaystand-daemon --example load [SECONDS] [CONNECTIONS]` prints the latency that the daemon
//! adds to a small request without a stream, its throughput, and its processor time per request. Other load on the
//! machine affects the processor time least.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jaystand_daemon::{Settings, settings};
use jaystand_sheet::{Directory, Document, Fencing, Model, Server, ServerKind, Team};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::oneshot,
    task::JoinSet,
};

/// The same allocator as in `jaystandd`.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const KEY: &str = "key";
/// Chunks with text in each answer.
const CHUNKS: u32 = 4;
const LATENCY_REQUESTS: usize = 5000;
/// Unit of the processor times in `/proc`: 100 Hz on Linux.
const TICK: Duration = Duration::from_millis(10);

const SHEET: &str = "\
team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,requests per minute,first token ms,deadline s,expected tokens
red,chat,model,normal,repeatable,*,,,5000,60,4
";

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: usize| {
        let given = arguments.next().and_then(|text| text.parse().ok());
        given.unwrap_or(default)
    };
    let (seconds, connections) = (number(3) as u64, number(64));
    let (backend, daemon, callers) = (
        runtime("backend", 3),
        runtime("daemon", 4),
        runtime("callers", 3),
    );
    let listener = backend
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("a port");
    let direct = listener.local_addr().expect("an address");
    backend.spawn(accept(listener));
    let (announce, announced) = oneshot::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let settings = settings(direct);
    let running = daemon.spawn(jaystand_daemon::run_announcing(
        settings,
        async move {
            let _ = stopped.await;
        },
        announce,
    ));
    let routed = callers
        .block_on(announced)
        .expect("the daemon starts")
        .callers;
    callers.block_on(async {
        // The first round lets the router learn the engine's speed.
        let _ = measure_latencies(routed, LATENCY_REQUESTS).await;
        let direct_times = measure_latencies(direct, LATENCY_REQUESTS).await;
        let routed_times = measure_latencies(routed, LATENCY_REQUESTS).await;
        for (name, times) in [("direct", &direct_times), ("routed", &routed_times)] {
            println!(
                "{name}: median {:?}, p99 {:?}",
                times[times.len() / 2],
                times[times.len() * 99 / 100]
            );
        }
        let added = routed_times[routed_times.len() / 2]
            .saturating_sub(direct_times[direct_times.len() / 2]);
        println!("added at the median: {added:?}");
    });
    let processor_time_before = processor_time("daemon");
    let started = Instant::now();
    let answered = callers.block_on(measure_throughput(
        routed,
        connections,
        Duration::from_secs(seconds),
    ));
    let elapsed = started.elapsed();
    let processor_time_used = processor_time("daemon").saturating_sub(processor_time_before);
    let count = u32::try_from(answered).unwrap_or(u32::MAX).max(1);
    println!(
        "{connections} connections: {:.0} requests/s, {:?} of the daemon's processor time a request, {:.2} cores",
        f64::from(count) / elapsed.as_secs_f64(),
        processor_time_used / count,
        processor_time_used.as_secs_f64() / elapsed.as_secs_f64(),
    );
    drop(stop);
    let _ = callers.block_on(running);
}

fn settings(backend: SocketAddr) -> Settings {
    let document = Document {
        version: 1,
        sheet: SHEET.to_owned(),
        directory: Directory {
            teams: vec![Team {
                name: "red".into(),
                key_hash: blake3::hash(KEY.as_bytes()).to_hex().as_str().into(),
                weight: 1.try_into().expect("not zero"),
            }],
            servers: vec![Server {
                name: "e0".into(),
                address: backend,
                data_centre: "dc1".into(),
                kind: ServerKind::Engine,
                model: "model".into(),
                weights_version: "v1".into(),
                fencing: Fencing::Ignored,
                slots: 256.try_into().expect("not zero"),
            }],
            models: vec![Model {
                name: "model".into(),
                weights_version: "v1".into(),
                serving_share: 50,
            }],
        },
        ..Document::default()
    };
    let file = std::env::temp_dir().join(format!("jaystand-load-{}.json", std::process::id()));
    fs::write(&file, serde_json::to_vec(&document).expect("JSON")).expect("a file");
    let mut raw = settings::Raw::default();
    for address in [
        &mut raw.listen.callers,
        &mut raw.listen.admin,
        &mut raw.listen.peers,
    ] {
        "127.0.0.1:0".clone_into(address);
    }
    raw.shutdown.lame_duck = Duration::ZERO;
    raw.bootstrap = file.display().to_string();
    Settings::try_from(raw).expect("valid settings")
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream));
    }
}

/// Reads one HTTP message, by its content length or to the end of its chunks, and returns its head.
async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    buffer.clear();
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|it| it.parse::<usize>().ok());
            if let Some(length) = length {
                let total = end + 4 + length;
                if buffer.len() >= total {
                    return Some(head);
                }
            } else if header(&head, "transfer-encoding").is_none() || buffer.ends_with(b"0\r\n\r\n")
            {
                return Some(head);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        key.eq_ignore_ascii_case(name).then_some(value)
    })
}

/// Serves one connection of the backend server, which answers each completion at once.
async fn serve(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Some(head) = read_message(&mut stream, &mut buffer).await {
        let answer = if head.starts_with("POST") {
            completion(header(&head, "x-request-id").unwrap_or_default())
        } else {
            "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned()
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn completion(id: &str) -> String {
    let mut events = String::new();
    for offset in 0..CHUNKS {
        let reason = if offset + 1 == CHUNKS {
            "\"stop\""
        } else {
            "null"
        };
        let _ = write!(
            events,
            "id: {offset}\ndata: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
             \"model\":\"model\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word \"}},\
             \"finish_reason\":{reason}}}]}}\n\n"
        );
    }
    events += "data: [DONE]\n\n";
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\nx-cached-tokens: 0\r\n\
         x-engine-incarnation: 7\r\nx-weights-version: v1\r\ntransfer-encoding: chunked\r\n\r\n\
         {:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    )
}

fn request() -> String {
    let body = json!({
        "model": "model",
        "messages": [{"role": "user", "content": "Is permit 4711 valid today?"}],
        "max_tokens": CHUNKS,
    });
    let body = body.to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: 0123456789abcdef\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests one after the other. Returns their sorted latencies.
async fn measure_latencies(to: SocketAddr, count: usize) -> Vec<Duration> {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let (request, mut buffer) = (request(), Vec::new());
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let started = Instant::now();
        stream.write_all(request.as_bytes()).await.expect("sent");
        let head = read_message(&mut stream, &mut buffer)
            .await
            .expect("an answer");
        times.push(started.elapsed());
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    times.sort_unstable();
    times
}

/// Sends requests on several connections for a time. Returns the number of answers.
async fn measure_throughput(to: SocketAddr, connections: usize, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    for _ in 0..connections {
        callers.spawn(async move {
            let mut stream = TcpStream::connect(to).await.expect("a connection");
            stream.set_nodelay(true).expect("an option");
            let (request, mut buffer, mut answered) = (request(), Vec::new(), 0);
            while Instant::now() < end {
                stream.write_all(request.as_bytes()).await.expect("sent");
                let head = read_message(&mut stream, &mut buffer)
                    .await
                    .expect("an answer");
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                answered += 1;
            }
            answered
        });
    }
    callers.join_all().await.into_iter().sum()
}

/// Returns the processor time that the threads of a runtime have used.
fn processor_time(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("Linux");
    let ticks = tasks.flatten().filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        if comm.trim() != name {
            return None;
        }
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // `utime` and `stime` are fields 14 and 15. The fields here start after field 2, the name.
        Some(fields.get(11)?.parse::<u32>().ok()? + fields.get(12)?.parse::<u32>().ok()?)
    });
    TICK * ticks.sum::<u32>()
}
