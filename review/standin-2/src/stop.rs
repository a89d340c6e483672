//! Case 6: a planned stop while callers read their answers slowly.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Result,
    http::{Wire, answer},
    record::Record,
    site::{Figures, Site, route, tenant},
};

/// The answer and the speed at which a caller reads it: 6 s to 7 s for the whole, in a grace period of 8 s.
const ANSWER_BYTES: usize = 900_000;
const BYTES_PER_S: usize = 145_000;
const CALLERS: usize = 4;
const STEP: Duration = Duration::from_millis(50);

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 160,
            grace_s: 8,
            routes: [
                route("filing", "unsafe", "libro", 10_000, ",\"maxAttempts\":1"),
                route("lookup", "safe", "libro", 10_000, ",\"maxAttempts\":2"),
            ]
            .join(","),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0"],
        },
    )?;
    for number in 1..=2 {
        let record = record.clone();
        site.server(number, "libro", move |wire, request| {
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            record.line(format!("server {number} runs {id}"));
            thread::sleep(Duration::from_millis(30));
            let body: Vec<u8> = (0..ANSWER_BYTES).map(|at| b'a' + (at % 23) as u8).collect();
            let headers = format!("x-request-id: {id}\r\nx-response-seal: seal-{number}.{id}\r\n");
            let sent = wire.send(&answer("200 OK", &headers, &body)).is_ok();
            record.line(format!("server {number} has sent the answer to {id}: {sent}"));
            sent
        })?;
    }
    site.start_gateways(1)?;
    // `stableWindowMs` of the site is 4 s, from the start of the gateway on.
    thread::sleep(Duration::from_millis(1_500));
    let gateway = 0;
    let front = site.gateways[gateway].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            let path = if number % 2 == 0 { "POST /filing/x" } else { "GET /lookup/x" };
            thread::spawn(move || call(&record, front, &format!("r-{number}"), path))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        site.signal(gateway, "TERM")?;
    }
    let mut whole = 0;
    for caller in callers {
        whole += usize::from(caller.join().map_err(|_| "a caller panicked")??);
    }
    site.record_log(gateway, &["asked to stop", "stopped", "request ended"], 20);
    record.line(format!("{whole} of {CALLERS} answers were whole"));
    Ok(whole == CALLERS)
}

/// Sends a request and reads its answer at a steady speed. Returns whether it came whole.
fn call(record: &Record, front: SocketAddr, id: &str, line: &str) -> Result<bool> {
    let stream = TcpStream::connect(front)?;
    let mut wire = Wire::new(stream);
    let request = format!(
        "{line} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-deadline-ms: 10000\r\n\
         authorization: Bearer key-registry\r\ncontent-length: 0\r\n\r\n"
    );
    wire.send(request.as_bytes())?;
    record.line(format!("{id} was sent: {line}"));
    let sent = Instant::now();
    let head = wire.read_head()?.ok_or("no head")?;
    record.line(format!("{id} got the head: {}", head.first_line));
    let mut got = wire.rest.len();
    let mut buffer = vec![0; BYTES_PER_S * 50 / 1_000];
    let end = loop {
        if got >= ANSWER_BYTES {
            break "whole".to_owned();
        }
        match wire.stream.read(&mut buffer) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => got += count,
            Err(error) => break error.to_string(),
        }
        thread::sleep(STEP);
    };
    record.line(format!(
        "{id} has {got} of {ANSWER_BYTES} bytes after {} ms: {end}",
        sent.elapsed().as_millis()
    ));
    Ok(head.status() == 200 && got == ANSWER_BYTES)
}
