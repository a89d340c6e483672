//! Requests with many short fields, inside the limits of the configuration, one after the other in calm.

use crate::{
    Result,
    http::answer,
    record::Record,
    site::{Figures, Site, ask, route, tenant},
};

const REQUESTS: usize = 20;
const FIELDS: usize = 150;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 110,
            grace_s: 8,
            routes: route("lookup", "safe", "libro", 1_000, ",\"maxAttempts\":2"),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0"],
        },
    )?;
    for number in 1..=2 {
        let record = record.clone();
        site.server(number, "libro", move |wire, request| {
            let id = request.header("x-request-id").unwrap_or_default();
            record.line(format!("server {number} runs {id}"));
            let headers = format!("x-request-id: {id}\r\nx-response-seal: seal-{number}.{id}\r\n");
            wire.send(&answer("200 OK", &headers, b"found")).is_ok()
        })?;
    }
    site.start_gateways(1)?;
    let mut refused = 0;
    for number in 0..REQUESTS {
        let fields: String = if trouble { (0..FIELDS).map(|n| format!("f{n}: 1\r\n")).collect() } else { String::new() };
        let text = format!(
            "GET /lookup/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-{number}\r\nx-deadline-ms: 1000\r\n\
             authorization: Bearer key-registry\r\n{fields}\r\n"
        );
        record.line(format!("r-{number} is sent with a head of {} bytes", text.len()));
        let answer = ask(site.gateways[0].front, &text)?;
        record.line(format!("r-{number} with a head of {} bytes: {}", text.len(), answer.first_line));
        refused += usize::from((300..500).contains(&answer.status()));
    }
    record.line(format!("{refused} of {REQUESTS} proper requests were refused"));
    Ok(refused * 500 <= 5 * 500 + REQUESTS)
}
