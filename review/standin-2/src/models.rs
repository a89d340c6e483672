//! Case 7: new weights are named for one of the two models that the servers serve.

use std::{thread, time::Duration};

use crate::{
    Result,
    record::Record,
    site::{Figures, Site, ask, route, tenant},
};

const GATEWAYS: usize = 6;
const ENGINES: u8 = 3;
/// Rounds of requests after the change. In each round a gateway gets requests at about the proportion of
/// `cairn-history` (15.2 a second) and `permit-check` (58.5 a second).
const ROUNDS: usize = 10;
const KINDS: [(&str, &str); 5] =
    [("history", "m0"), ("check", "m1"), ("check", "m1"), ("check", "m1"), ("check", "m1")];

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let more = ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":400,\"maxAttempts\":1";
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 110,
            grace_s: 8,
            routes: [
                route("history", "stream", "oraculo", 10_000, more),
                route("check", "stream", "oraculo", 10_000, more),
            ]
            .join(","),
            tenants: tenant("registry", "key-registry", false),
            models: &["m0", "m1"],
        },
    )?;
    for number in 1..=ENGINES {
        let record = record.clone();
        site.engine(number, move |request, _| {
            record.line(format!("engine {number} runs {}", request.header("x-request-id").unwrap_or_default()));
        })?;
    }
    site.start_gateways(GATEWAYS)?;
    send(record, &site, "before", 2)?;
    if trouble {
        record.line("the operator names version 2 of m1");
        site.store.put("versions", "m1", "{\"model\":\"m1\",\"version\":2}");
    }
    // Longer than `versionAllMs` (8.4 s).
    thread::sleep(Duration::from_secs(15));
    let served = send(record, &site, "after", ROUNDS)?;
    for number in 0..GATEWAYS {
        site.record_log(number, &["weights", "weight order"], 12);
    }
    for (kind, share) in [("r-history (m0)", served.history), ("r-check (m1)", served.check), ("all", served.all)] {
        record.line(format!("after: {kind}: {share:.3} of the requests were served"));
    }
    Ok(served.history >= served.all / 4.0)
}

/// Shares of the requests that were served.
struct Served {
    history: f64,
    check: f64,
    all: f64,
}

/// Sends requests to all gateways.
fn send(record: &Record, site: &Site, when: &str, rounds: usize) -> Result<Served> {
    let (mut served, mut sent) = ([0.0, 0.0], [0.0, 0.0]);
    for round in 0..rounds {
        for (number, gateway) in site.gateways.iter().enumerate() {
            for (turn, (path, model)) in KINDS.into_iter().enumerate() {
                let id = format!("{when}-{path}-{number}-{round}-{turn}");
                record.line(format!("{id} is sent to gateway {number}: POST /{path}/x for {model}"));
                let answer = ask(
                    gateway.front,
                    &format!(
                        "POST /{path}/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-model: {model}\r\n\
                         x-token-usage: 1460,80\r\nx-prompt-prefix: {path}0:800,{path}1:410,{number}{round}{turn}:250\r\n\
                         x-deadline-ms: 10000\r\nauthorization: Bearer key-registry\r\nconnection: close\r\n\
                         content-length: 2\r\n\r\nhi"
                    ),
                )?;
                let good = answer.status() == 200 && answer.complete;
                let kind = usize::from(model == "m1");
                sent[kind] += 1.0;
                served[kind] += f64::from(u8::from(good));
                record.line(format!(
                    "{id} ({model}): {} {}",
                    answer.status(),
                    if good { String::new() } else { String::from_utf8_lossy(&answer.body).into_owned() }
                ));
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(Served {
        history: served[0] / sent[0],
        check: served[1] / sent[1],
        all: (served[0] + served[1]) / (sent[0] + sent[1]),
    })
}
