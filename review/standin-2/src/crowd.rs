//! A crowd whose bodies stop just short of their end, and ordinary callers beside it.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Result,
    http::answer,
    record::Record,
    site::{Figures, Site, ask, route, tenant},
};

/// A body of the crowd. Those of `cairn-history` have up to 72,000 bytes, and the configuration allows 4 MB.
const BODY_BYTES: usize = 32 << 10;
const CROWD: usize = 900;
const THREADS: usize = 10;
const ANSWER_BYTES: usize = 800;
const DURATION: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let stream = ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":400,\"maxAttempts\":1";
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 110,
            grace_s: 8,
            routes: [
                route("history", "stream", "oraculo", 10_000, stream),
                route("lookup", "safe", "libro", 1_000, ",\"maxAttempts\":2"),
                route("filing", "unsafe", "libro", 1_000, ",\"maxAttempts\":1"),
            ]
            .join(","),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0"],
        },
    )?;
    let ran = Arc::new(AtomicUsize::new(0));
    for number in 1..=4 {
        let (record, ran) = (record.clone(), Arc::clone(&ran));
        site.server(number, "libro", move |wire, request| {
            let id = request.header("x-request-id").unwrap_or_default();
            record.line(format!("server {number} runs {id}"));
            ran.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(30));
            let headers = format!("x-request-id: {id}\r\nx-response-seal: seal-{number}.{id}\r\n");
            wire.send(&answer("200 OK", &headers, &[b'a'; ANSWER_BYTES])).is_ok()
        })?;
    }
    site.engine(5, |_, _| {})?;
    site.start_gateways(1)?;
    let front = site.gateways[0].front;
    let stopped = Arc::new(AtomicBool::new(false));
    let opened = Arc::new(AtomicUsize::new(0));
    if trouble {
        record.line(format!("{CROWD} clients send bodies of {BODY_BYTES} bytes to /history/x, without the last byte"));
    }
    let crowd: Vec<_> = (0..if trouble { THREADS } else { 0 })
        .map(|number| {
            let (stopped, opened) = (Arc::clone(&stopped), Arc::clone(&opened));
            thread::spawn(move || stall(front, number, &stopped, &opened))
        })
        .collect();
    if trouble {
        thread::sleep(Duration::from_secs(2));
    }
    let until = Instant::now() + DURATION;
    let mut counts = std::collections::BTreeMap::<(&str, u16), usize>::new();
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        for (line, body) in [("GET /lookup/x", 0), ("POST /filing/empty", 0), ("POST /filing/x", 600)] {
            let id = format!("r-{}-{round}", line.replace([' ', '/'], "-"));
            let text = format!(
                "{line} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\n\
                 authorization: Bearer key-registry\r\nconnection: close\r\ncontent-length: {body}\r\n\r\n{}",
                "b".repeat(body)
            );
            record.line(format!("{id} is sent: {line} with {body} bytes"));
            let status = match ask(front, &text) {
                Ok(answer) if answer.complete => answer.status(),
                _ => 0,
            };
            record.line(format!("{id}: {status}"));
            *counts.entry((line, status)).or_default() += 1;
        }
        thread::sleep(PAUSE);
    }
    stopped.store(true, Ordering::SeqCst);
    for thread in crowd {
        let _ = thread.join();
    }
    site.record_log(0, &["answer broke off", "shed"], 6);
    record.line(format!("the crowd opened {} connections", opened.load(Ordering::SeqCst)));
    for ((line, status), count) in &counts {
        record.line(format!("{line}: {status}: {count}"));
    }
    let count = |filter: &dyn Fn(&str, u16) -> bool| -> f64 {
        let counts = counts.iter().filter(|((line, status), _)| filter(line, *status));
        counts.map(|(_, count)| *count as f64).sum::<f64>().abs()
    };
    let is_lookup = |line: &str| line.starts_with("GET");
    let lookups = count(&|line, status| is_lookup(line) && status == 200) / count(&|line, _| is_lookup(line));
    let all = count(&|_, status| status == 200) / count(&|_, _| true);
    record.line(format!(
        "lookups are served at {lookups:.3}, all ordinary requests at {all:.3}; servers ran {}",
        ran.load(Ordering::SeqCst)
    ));
    Ok(lookups >= all / 4.0 && all > 0.0)
}

/// Keeps a part of the crowd's connections open.
fn stall(front: SocketAddr, number: usize, stopped: &AtomicBool, opened: &AtomicUsize) {
    let mut streams: Vec<Option<TcpStream>> = (0..CROWD / THREADS).map(|_| None).collect();
    while !stopped.load(Ordering::SeqCst) {
        for (place, slot) in streams.iter_mut().enumerate() {
            let mut buffer = [0; 1_024];
            let open = slot.as_mut().is_some_and(|stream| {
                matches!(stream.read(&mut buffer), Err(error) if error.kind() == ErrorKind::WouldBlock)
            });
            if !open {
                *slot = begin(front, &format!("crowd-{number}-{place}-{}", opened.fetch_add(1, Ordering::SeqCst)));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn begin(front: SocketAddr, id: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(front).ok()?;
    let mut text = format!(
        "POST /history/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-deadline-ms: 10000\r\n\
         x-model: m0\r\nx-token-usage: 1460,80\r\nx-prompt-prefix: a:800,b:410,c:250\r\n\
         authorization: Bearer key-registry\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    text.resize(text.len() + BODY_BYTES - 1, b'c');
    stream.write_all(&text).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
