//! Requests that name a model and the parts of their prompt, and no X-Token-Usage.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use crate::{
    Result,
    record::Record,
    site::{Figures, Site, ask, route, tenant},
};

const ENGINES: u8 = 2;
const ROUNDS: usize = 6;
/// The team whose parts are its own.
const DEDICATED: &str = "notary";

/// Who made each part that an engine keeps, by engine, salt and part.
type Kept = Arc<Mutex<HashMap<(u8, String, String), String>>>;

pub fn run(record: &Record, trouble: bool) -> Result<bool> {
    let more = ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":400,\"maxAttempts\":1";
    let mut site = Site::start(
        record,
        Figures {
            memory_mb: 110,
            grace_s: 8,
            routes: route("history", "stream", "oraculo", 10_000, more),
            tenants: [
                tenant(DEDICATED, "key-notary", true),
                tenant("rangers", "key-rangers", false),
            ]
            .join(","),
            models: &["m0"],
        },
    )?;
    let kept = Kept::default();
    let crossings = Arc::new(Mutex::new(0));
    for number in 1..=ENGINES {
        let (record, kept, crossings) = (record.clone(), Arc::clone(&kept), Arc::clone(&crossings));
        site.engine(number, move |request, _| {
            let id = request.header("x-request-id").unwrap_or_default();
            let team = request.header("x-tenant").unwrap_or_default();
            // "An absent value counts as one text shared by all."
            let salt = request.header("x-cache-salt").unwrap_or_default();
            record.line(format!("engine {number} runs {id} of {team} under the salt \"{salt}\""));
            let mut kept = kept.lock().unwrap();
            let mut all_before = true;
            for part in request.header("x-prompt-prefix").unwrap_or_default().split(',') {
                let key = (number, salt.to_owned(), part.trim().to_owned());
                match kept.get(&key) {
                    Some(maker) if all_before => {
                        record.line(format!("engine {number}: {id} uses part {part} that a request of {maker} made"));
                        if maker != team && (maker == DEDICATED || team == DEDICATED) {
                            *crossings.lock().unwrap() += 1;
                        }
                    }
                    _ => {
                        all_before = false;
                        kept.insert(key, team.to_owned());
                    }
                }
            }
        })?;
    }
    site.start_gateways(1)?;
    for round in 0..ROUNDS {
        for team in [DEDICATED, "rangers"] {
            let usage = if trouble { "" } else { "x-token-usage: 1460,80\r\n" };
            let id = format!("r-{team}-{round}");
            record.line(format!("{id} is sent"));
            let answer = ask(
                site.gateways[0].front,
                &format!(
                    "POST /history/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nx-model: m0\r\n{usage}\
                     x-prompt-prefix: 5c1e07a2:800,91bd3f06:410,{team}{round}:250\r\nx-deadline-ms: 10000\r\n\
                     authorization: Bearer key-{team}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"
                ),
            )?;
            record.line(format!("{id}: {} complete: {}", answer.status(), answer.complete));
            if answer.status() != 200 {
                return Err("a request was not served".into());
            }
        }
    }
    let crossings = *crossings.lock().unwrap();
    record.line(format!("{crossings} parts were used across the wall"));
    Ok(crossings == 0)
}
