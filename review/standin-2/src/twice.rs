//! A resumable stream is slow at a server that works on it, and goes on at another one.

use std::{
    io::ErrorKind,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Result,
    http::{Message, Wire},
    record::Record,
    site::{Figures, Site, ask, entry_models, route, tenant},
};

const REQUESTS: usize = 4;
const EVENTS: u64 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// From then on an event takes the first server this long: `srv_grey` with `slow` makes work last 8 times as long, and
/// nine tokens, each behind a piece of 4,096 prompt tokens, take 9 x (29 + 2.2) ms = 283 ms otherwise.
const SLOW_AFTER: u64 = 3;
const SLOW_EVENT: Duration = Duration::from_millis(2_260);
/// The second server's time to the first token, and from there to the event that contains it and eight more: 283 ms at
/// 2.5 times the usual, which `noise` of the site file names for a server of nine.
const PREFILL: Duration = Duration::from_millis(100);
const FIRST_EVENT: Duration = Duration::from_millis(700);
/// "while the server before still works on it 400 ms later"
const ALLOWED: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Run {
    /// When the second server made its first token.
    went_on: Option<Instant>,
    /// When the first server stopped working.
    first_ended: Option<Instant>,
}

type Runs = Arc<Mutex<std::collections::BTreeMap<String, Run>>>;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let more = ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":400,\"maxAttempts\":2";
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 110,
            grace_s: 8,
            routes: route("check", "stream", "oraculo", 10_000, more),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0"],
        },
    )?;
    let runs = Runs::default();
    for number in 1..=3 {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        site.server_with(number, "oraculo", &entry_models(&["m0"]), move |wire, request| {
            serve(&record, &runs, number, wire, request, trouble)
        })?;
    }
    site.start_gateways(1)?;
    // A machine is in touch 3 s after its start.
    thread::sleep(Duration::from_secs(2));
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        record.line(format!("{id} is sent"));
        let answer = ask(
            site.gateways[0].front,
            &format!(
                "POST /check/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-model: m0\r\n\
                 x-token-usage: 1460,80\r\nx-prompt-prefix: 5c1e07a2:800,91bd3f06:410,{number}:250\r\n\
                 x-deadline-ms: 10000\r\nauthorization: Bearer key-registry\r\nconnection: close\r\n\
                 content-length: 2\r\n\r\nhi"
            ),
        )?;
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        record.line(format!("{id}: {} with {events} events, complete: {}", answer.status(), answer.complete));
        thread::sleep(Duration::from_millis(500));
    }
    site.record_log(0, &["stream is silent", "resumed", "stays"], 20);
    let mut broken = 0;
    for (id, run) in runs.lock().unwrap().iter() {
        let Some(went_on) = run.went_on else {
            record.line(format!("{id} ran at one server"));
            continue;
        };
        let overlap = run.first_ended.map_or(Duration::MAX, |ended| ended.saturating_duration_since(went_on));
        record.line(format!(
            "{id}: the first server still worked {} ms after it had gone on at the second",
            overlap.as_millis().min(99_999)
        ));
        broken += usize::from(overlap > ALLOWED);
    }
    Ok(broken == 0)
}

fn serve(record: &Record, runs: &Runs, number: u8, wire: &mut Wire, request: &Message, trouble: bool) -> bool {
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let after: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_first = after == 0;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-instance-id: i-oraculo-{number}\r\nx-request-id: {id}\r\n\
         x-response-seal: seal-{number}.{id}\r\nx-weight-versions: 1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    thread::sleep(PREFILL);
    if !is_first {
        runs.lock().unwrap().entry(id.clone()).or_default().went_on = Some(Instant::now());
    }
    record.line(format!("server {number}: {id} goes on after event {after}: first token"));
    let mut alive = wire.send(head.as_bytes()).is_ok();
    if !is_first {
        thread::sleep(FIRST_EVENT);
    }
    for event in after + 1..=EVENTS {
        let is_slow = is_first && trouble && event > SLOW_AFTER;
        if is_slow {
            record.line(format!("server {number} works on event {event} of {id} slowly"));
        }
        alive = alive && work(wire, if is_slow { SLOW_EVENT } else { EVENT_PAUSE });
        if !alive {
            break;
        }
        let text = format!("id: {event}\ndata: part {event} of {id}\n\n");
        alive = wire.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok();
    }
    let complete = alive && wire.send(b"0\r\n\r\n").is_ok();
    record.line(format!("server {number} stops working on {id}, complete: {complete}"));
    if is_first {
        runs.lock().unwrap().entry(id).or_default().first_ended = Some(Instant::now());
    }
    complete
}

/// Works for some time, and stops when the connection is closed. Returns whether it is still open.
fn work(wire: &Wire, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(5)));
    let mut open = true;
    while open && Instant::now() < until {
        open = match wire.stream.peek(&mut [0; 1]) {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
    }
    let _ = wire.stream.set_read_timeout(None);
    open
}
