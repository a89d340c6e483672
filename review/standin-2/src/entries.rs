//! An entry that can't be read stands among those of the servers, and then a service is added.

use std::{thread, time::Duration};

use crate::{
    Result,
    http::answer,
    record::Record,
    site::{Figures, Site, ask, route, tenant},
    store::NO_TEXT,
};

const REQUESTS: usize = 40;
/// Longer than `configApplyMs` (2 s) and than the time until a new server is known.
const SETTLE_TIME: Duration = Duration::from_secs(8);

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
    start_servers(record, &site, "libro", 1)?;
    site.start_gateways(2)?;
    // A machine is in touch 3 s after its start.
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("another writer puts an entry with a byte that is no text");
        let text = format!("{{\"service\":\"note{NO_TEXT}\"}}");
        site.store.put("servers", "i-other", &text);
    }
    thread::sleep(Duration::from_secs(1));
    record.line("two servers of a new service start, and version 8 has a route to it");
    start_servers(record, &site, "archivo", 11)?;
    site.configure(
        8,
        &format!(",{}", route("archive", "safe", "archivo", 1_000, ",\"maxAttempts\":2")),
        ",{\"name\":\"archivo\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}",
    );
    thread::sleep(SETTLE_TIME);
    let (first, added) = (send(record, &site, "lookup"), send(record, &site, "archive"));
    record.line(format!("of {REQUESTS} requests each were served: {first} on the first route, {added} on the added one"));
    site.record_log(0, &["store does not answer", "in force", "cannot be read"], 8);
    // Not part of the check: what becomes of machines that start while no other one knows the servers.
    site.signal(0, "KILL")?;
    site.signal(1, "KILL")?;
    let ready = site.start_gateways(1).is_ok();
    record.line(format!("after the kill of both gateways a new one becomes ready within 20 s: {ready}"));
    Ok(added * 4 >= first)
}

fn start_servers(record: &Record, site: &Site, service: &'static str, first: u8) -> Result<()> {
    for number in first..first + 2 {
        let record = record.clone();
        site.server(number, service, move |wire, request| {
            let id = request.header("x-request-id").unwrap_or_default();
            record.line(format!("server {number} of {service} runs {id}"));
            thread::sleep(Duration::from_millis(30));
            let headers = format!("x-request-id: {id}\r\nx-response-seal: seal-{number}.{id}\r\n");
            wire.send(&answer("200 OK", &headers, b"found")).is_ok()
        })?;
    }
    Ok(())
}

/// Sends requests on a route to both gateways in turn. Returns how many were served.
fn send(record: &Record, site: &Site, path: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        record.line(format!("r-{path}-{number} is sent to gateway {}: GET /{path}/x", number % 2));
        let answer = ask(
            site.gateways[number % 2].front,
            &format!(
                "GET /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-{path}-{number}\r\nx-deadline-ms: 1000\r\n\
                 authorization: Bearer key-registry\r\nconnection: close\r\n\r\n"
            ),
        );
        let (status, text) = answer.map_or((0, String::new()), |answer| {
            (answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
        });
        record.line(format!("r-{path}-{number}: {status} {text}"));
        served += usize::from(status == 200);
    }
    served
}
