//! Filings whose servers read their bodies slowly.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Result,
    http::{Wire, answer},
    record::Record,
    site::{Figures, Site, ask, route, tenant},
};

/// One filing in ten has a large body; `maxBodyBytes` is 4,194,304.
const REQUESTS: usize = 20;
const LARGE: usize = 10;
const LARGE_BYTES: usize = 500_000;
const SMALL_BYTES: usize = 600;
/// A slow server reads so many bytes and then pauses.
const READ_BYTES: usize = 48 << 10;
const READ_PAUSE: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 160,
            grace_s: 8,
            routes: route("filing", "unsafe", "libro", 15_000, ",\"maxAttempts\":1"),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0"],
        },
    )?;
    for number in 1..=3 {
        let listener = TcpListener::bind(site.register(number, "libro"))?;
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = record.clone();
                thread::spawn(move || serve(&record, number, Wire::new(stream), trouble));
            }
        });
    }
    site.start_gateways(1)?;
    thread::sleep(Duration::from_secs(1));
    let front = site.gateways[0].front;
    let mut served = HashMap::from([(true, 0), (false, 0)]);
    for number in 0..REQUESTS {
        let is_large = number % LARGE == LARGE - 1;
        let body = "b".repeat(if is_large { LARGE_BYTES } else { SMALL_BYTES });
        record.line(format!("r-{number} is sent: POST /filing/x with {} bytes", body.len()));
        let started = Instant::now();
        let answer = ask(
            front,
            &format!(
                "POST /filing/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-{number}\r\nx-deadline-ms: 15000\r\n\
                 authorization: Bearer key-registry\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        );
        let (status, text) = answer.map_or((0, String::new()), |answer| {
            (answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
        });
        record.line(format!(
            "r-{number} with {} bytes: {status} {text} after {} ms",
            body.len(),
            started.elapsed().as_millis()
        ));
        *served.get_mut(&is_large).unwrap() += usize::from(status == 200);
    }
    // The servers see the end of a connection after their pause.
    thread::sleep(2 * READ_PAUSE);
    site.record_log(0, &["connection broke"], 4);
    let (large, all) = (served[&true], served[&true] + served[&false]);
    let (large_share, share) = (
        large as f64 / (REQUESTS / LARGE) as f64,
        all as f64 / REQUESTS as f64,
    );
    record.line(format!("the largest tenth is served at {large_share:.2}, the whole kind at {share:.2}"));
    Ok(large_share >= share / 2.0)
}

/// Reads requests slowly, if there is trouble, and answers them.
fn serve(record: &Record, number: u8, mut wire: Wire, trouble: bool) {
    while let Ok(Some(head)) = wire.read_head() {
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let length: usize = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut got = wire.rest.len().min(length);
        wire.rest.clear();
        let mut since_pause = got;
        let mut buffer = vec![0; 16 << 10];
        while got < length {
            if trouble && since_pause >= READ_BYTES {
                thread::sleep(READ_PAUSE);
                since_pause = 0;
            }
            match wire.stream.read(&mut buffer) {
                Ok(0) => {
                    record.line(format!("server {number}: {id} was closed after {got} of {length} bytes"));
                    return;
                }
                Ok(count) => {
                    got += count;
                    since_pause += count;
                }
                Err(error) => {
                    record.line(format!("server {number}: {id} broke after {got} of {length} bytes: {error}"));
                    return;
                }
            }
        }
        record.line(format!("server {number} runs {id} with {got} bytes"));
        let headers = format!("x-request-id: {id}\r\nx-response-seal: seal-{number}.{id}\r\n");
        if wire.stream.write_all(&answer("200 OK", &headers, b"filed")).is_err() {
            return;
        }
    }
}
