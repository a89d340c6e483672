//! The cases. Each returns whether the rule held.

use std::{
    io::{self, Write as _},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{
        Entry, Gateway, KEY, OTHER_KEY, OTHER_TENANT, Record, TENANT, configuration, has_trouble,
        head, head_of, request_id, unix_ms,
    },
    http,
    server::{Engine, start_foreign, start_plain},
    store::{Store, UNREADABLE},
};

/// Error number of a process that has no descriptor left.
const TOO_MANY_OPEN_FILES: i32 = 24;
const ZONES: [&str; 2] = ["pichincha", "cotopaxi"];

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn start_store() -> io::Result<Store> {
    let store = Store::start(([127, 0, 0, 1], 0).into())?;
    store.put("config", "main", &configuration(7, false));
    Ok(store)
}

fn verdict(record: &Record, held: bool, text: &str) -> bool {
    let result = if held { "held" } else { "BROKEN" };
    record.line(format!("{result}: {text}"));
    println!("{result}: {text}");
    held
}

/// What became of one request: when it was sent, and the status that the client got.
type Outcomes = Arc<Mutex<Vec<(Duration, u16)>>>;

/// Sends requests to the gateways in turn until `stop` is set, each on a new connection.
fn send_steadily(
    record: &Record,
    fronts: Vec<std::net::SocketAddr>,
    per_s: f64,
    compose: impl Fn(&str) -> String + Send + Sync + 'static,
) -> (Outcomes, Arc<AtomicBool>) {
    let (outcomes, stop) = (Outcomes::default(), Arc::new(AtomicBool::new(false)));
    let (shared, stopped, record) = (Arc::clone(&outcomes), Arc::clone(&stop), record.clone());
    let compose = Arc::new(compose);
    thread::spawn(move || {
        for front in fronts.iter().copied().cycle() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let (shared, record, compose) =
                (Arc::clone(&shared), record.clone(), Arc::clone(&compose));
            thread::spawn(move || {
                let id = request_id();
                let sent = record.started.elapsed();
                record.line(format!("client sends {id} to {front}"));
                let reply = http::exchange(front, &compose(&id), Duration::from_secs(16));
                let status = if reply.complete { reply.status } else { 0 };
                record.line(format!(
                    "client gets {status} for {id}: {}",
                    if status == 200 {
                        "whole answer".to_owned()
                    } else {
                        String::from_utf8_lossy(&reply.body).into_owned()
                    }
                ));
                shared.lock().expect("outcomes").push((sent, status));
            });
            sleep_s(1.0 / per_s);
        }
    });
    (outcomes, stop)
}

/// Returns the number of requests that were sent in a span, and how many of them were served.
fn served_between(outcomes: &Outcomes, from: Duration, to: Duration) -> (usize, usize) {
    let outcomes = outcomes.lock().expect("outcomes");
    let sent: Vec<u16> = outcomes
        .iter()
        .filter(|(at, _)| *at >= from && *at < to)
        .map(|(_, s)| *s)
        .collect();
    (
        sent.len(),
        sent.iter().filter(|status| **status == 200).count(),
    )
}

/// Entries of another writer, of a service that no configuration names, take the model servers out of the weights updates.
pub fn foreign_weights(folder: &str) -> io::Result<bool> {
    const VERSION_MS: u32 = 6_000;
    let record = Record::create(folder)?;
    let store = start_store()?;
    store.put("versions", "m0", "{\"model\":\"m0\",\"version\":3}");
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let engines: Vec<Engine> = (0..9)
        .map(|number| {
            Engine::start(
                &record,
                &store,
                &format!("i-engine{number}"),
                zone(number),
                3,
            )
        })
        .collect::<io::Result<_>>()?;
    let fleet = Gateway::start_fleet(&record, &store, &ZONES, VERSION_MS)?;
    let fronts = fleet.iter().map(|gateway| gateway.front).collect();
    let (outcomes, stop) = send_steadily(&record, fronts, 20.0, |id| {
        let more = "X-Model: m0\r\nX-Token-Usage: 1460,27\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
                    Content-Length: 0\r\n";
        head("POST", "hulo84.example", "/xapu221/2f", id, 2_500, more)
    });
    sleep_s(3.0);
    if has_trouble() {
        for number in 0..2 {
            let name = format!("staging-{number}");
            let entry = Entry {
                name: name.clone(),
                service: "staging-lm".to_owned(),
                address: start_foreign(&record, &name)?,
                zone: zone(number).to_owned(),
                slots: 24,
                born: unix_ms(),
                version: Some(1),
            };
            entry.write(&store, 1);
            record.line(format!(
                "another writer writes {name} of a service that no configuration names"
            ));
        }
    }
    sleep_s(2.0);
    store.put("versions", "m0", "{\"model\":\"m0\",\"version\":4}");
    let acknowledged = record.started.elapsed();
    record.line("the operator names version 4; acknowledged");
    sleep_s(15.0);
    stop.store(true, Ordering::SeqCst);
    let older: Vec<&str> = engines
        .iter()
        .filter(|e| e.version() < 4)
        .map(|e| e.name.as_str())
        .collect();
    let late = Duration::from_millis(VERSION_MS.into());
    let (sent, served) = served_between(&outcomes, acknowledged + late, acknowledged + late * 2);
    let (sent_before, served_before) = served_between(&outcomes, Duration::ZERO, acknowledged);
    let text = format!(
        "15 s after the acknowledgement {} of {} servers have an older version; served before it: {served_before} of \
         {sent_before}, from {VERSION_MS} ms after it on: {served} of {sent}",
        older.len(),
        engines.len()
    );
    let held = older.len() <= 1 || older.len() * 10 <= engines.len();
    Ok(verdict(&record, held, &text))
}

/// Entries of another writer, of a service that no configuration names, name the addresses of live servers.
pub fn foreign_address(folder: &str) -> io::Result<bool> {
    const RECOVER: f64 = 12.0;
    let record = Record::create(folder)?;
    let store = start_store()?;
    let mut addresses = Vec::new();
    for number in 0..4 {
        let name = format!("i-desk{number}");
        addresses.push(start_plain(
            &record,
            &store,
            &name,
            ZONES[number % ZONES.len()],
            800,
        )?);
    }
    let mut fleet = Gateway::start_fleet(&record, &store, &ZONES, 6_000)?;
    let fronts = fleet.iter().map(|gateway| gateway.front).collect();
    let (outcomes, stop) = send_steadily(&record, fronts, 20.0, |id| {
        head(
            "POST",
            "jepu9.example",
            "/fiti832/ti23/2f",
            id,
            1_000,
            "Content-Length: 0\r\n",
        )
    });
    sleep_s(5.0);
    if has_trouble() {
        for (number, address) in addresses.iter().enumerate() {
            let entry = Entry {
                name: format!("inventory-{number}"),
                service: "host-inventory".to_owned(),
                address: *address,
                zone: ZONES[number % ZONES.len()].to_owned(),
                slots: 1,
                born: unix_ms(),
                version: None,
            };
            entry.write(&store, 1);
        }
        record.line("another writer writes entries of a service that no configuration names");
    }
    let fault = record.started.elapsed();
    for gateway in &mut fleet {
        gateway.kill(&record);
    }
    sleep_s(1.0);
    for gateway in &mut fleet {
        gateway.respawn(&record)?;
    }
    let back = record.started.elapsed();
    sleep_s(RECOVER + 8.0);
    stop.store(true, Ordering::SeqCst);
    sleep_s(1.2);
    let judged = back + Duration::from_secs_f64(RECOVER);
    let (sent_before, served_before) = served_between(&outcomes, Duration::ZERO, fault);
    let (sent, served) = served_between(&outcomes, judged, judged + Duration::from_secs(8));
    if served_before * 4 < sent_before || sent < 50 {
        return Err(io::Error::other(
            "too few requests were served before the fault, or sent after it",
        ));
    }
    let text = format!(
        "served before the final fault: {served_before} of {sent_before}; later than {RECOVER} s after the machines are \
         back: {served} of {sent}"
    );
    Ok(verdict(&record, served * 4 >= sent, &text))
}

/// A crowd sends requests of legal size whose heads have many short fields, and stops one byte short of the end of each
/// body.
pub fn crowd_memory(folder: &str) -> io::Result<bool> {
    const MEMORY_KB: u64 = 110 << 10;
    const CLIENTS: usize = 1_700;
    const FIELDS: usize = 92;
    const HEAD_BYTES: usize = 15_500;
    const BODY_BYTES: usize = 16_000;
    let record = Record::create(folder)?;
    let store = start_store()?;
    start_plain(&record, &store, "i-desk0", ZONES[0], 800)?;
    start_plain(&record, &store, "i-desk1", ZONES[1], 800)?;
    let mut fleet = Gateway::start_fleet(&record, &store, &ZONES, 6_000)?;
    let front = fleet[0].front;
    let (outcomes, stop) = send_steadily(&record, vec![front], 10.0, |id| {
        head(
            "POST",
            "jepu9.example",
            "/fiti832/ti23/2f",
            id,
            1_000,
            "Content-Length: 0\r\n",
        )
    });
    sleep_s(2.0);
    record.line(format!(
        "peak memory before the crowd: {} kB",
        fleet[0].peak_memory_kb()
    ));
    let mut crowd = Vec::new();
    if has_trouble() {
        let value = "v".repeat(HEAD_BYTES / FIELDS - "f00: \r\n".len());
        let fields: String = (0..FIELDS)
            .map(|field| format!("f{field:02}: {value}\r\n"))
            .collect();
        let more = format!("{fields}Content-Length: {BODY_BYTES}\r\n");
        let mut refused = 0;
        for _ in 0..CLIENTS {
            let id = request_id();
            let mut request = head(
                "POST",
                "jepu9.example",
                "/fiti832/ti23/2f",
                &id,
                15_000,
                &more,
            )
            .into_bytes();
            request.extend(std::iter::repeat_n(b'b', BODY_BYTES - 1));
            let connected = TcpStream::connect_timeout(&front, Duration::from_secs(1));
            let sent = connected.and_then(|mut stream| {
                stream.set_write_timeout(Some(Duration::from_millis(200)))?;
                // A gateway may refuse the request and close the connection.
                refused += usize::from(stream.write_all(&request).is_err());
                Ok(stream)
            });
            match sent {
                Ok(stream) => crowd.push(stream),
                Err(error) if error.raw_os_error() == Some(TOO_MANY_OPEN_FILES) => {
                    return Err(error);
                }
                Err(_) => refused += 1,
            }
        }
        record.line(format!(
            "{CLIENTS} clients have sent {BODY_BYTES} bytes less one after heads of {FIELDS} fields; {refused} of them \
             were turned away meanwhile"
        ));
    }
    let mut peak = 0;
    for _ in 0..20 {
        sleep_s(0.2);
        peak = peak.max(fleet[0].peak_memory_kb());
    }
    stop.store(true, Ordering::SeqCst);
    drop(crowd);
    sleep_s(1.2);
    if fleet[0].has_ended() {
        return Ok(verdict(&record, false, "the process has ended"));
    }
    let (sent, served) = served_between(&outcomes, Duration::ZERO, Duration::from_secs(60));
    let text = format!(
        "peak memory of the process: {peak} kB of the {MEMORY_KB} kB of its machine; ordinary requests served: {served} \
         of {sent}"
    );
    Ok(verdict(&record, peak <= MEMORY_KB, &text))
}

/// Entries of another writer name the service of the model servers, and lack fields that a model server writes.
pub fn foreign_fields(folder: &str) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let store = start_store()?;
    store.put("versions", "m0", "{\"model\":\"m0\",\"version\":3}");
    let zone = |number: usize| ZONES[number % ZONES.len()];
    for number in 0..9 {
        Engine::start(
            &record,
            &store,
            &format!("i-engine{number}"),
            zone(number),
            3,
        )?;
    }
    let fleet = Gateway::start_fleet(&record, &store, &ZONES, 6_000)?;
    let fronts = fleet.iter().map(|gateway| gateway.front).collect();
    let (outcomes, stop) = send_steadily(&record, fronts, 20.0, |id| {
        // As on the sheet, the prompts share 40 first and 565 second parts.
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        let (first, second) = (number * 7 % 40, number * 31 % 565);
        let more = format!(
            "X-Model: m0\r\nX-Token-Usage: 1800,27\r\nX-Prompt-Prefix: {first:08x}:341,1{second:07x}:227,{id}:1232\r\n\
             Content-Length: 0\r\n"
        );
        head("POST", "hulo84.example", "/xapu221/2f", id, 2_500, &more)
    });
    sleep_s(5.0);
    if has_trouble() {
        let name = "agent-0".to_owned();
        let entry = Entry {
            name: name.clone(),
            service: "oraculo".to_owned(),
            address: start_foreign(&record, &name)?,
            zone: zone(0).to_owned(),
            slots: 24,
            born: unix_ms(),
            version: None,
        };
        entry.write(&store, 1);
        record.line(format!(
            "another writer writes {name} without `stage` and `models`"
        ));
    }
    let written = record.started.elapsed();
    sleep_s(15.0);
    stop.store(true, Ordering::SeqCst);
    sleep_s(2.7);
    let end = Duration::from_secs(60);
    let (sent_before, served_before) = served_between(&outcomes, Duration::ZERO, written);
    let (sent, served) = served_between(&outcomes, written, end);
    let outcomes = outcomes.lock().expect("outcomes");
    let denied = outcomes
        .iter()
        .filter(|(_, status)| (300..500).contains(status))
        .count();
    let text = format!(
        "{denied} of {} proper requests ended with a 4xx that no server sealed; served before the entry: {served_before} \
         of {sent_before}, after it: {served} of {sent}",
        outcomes.len()
    );
    Ok(verdict(&record, denied <= 5 + outcomes.len() / 500, &text))
}

/// A change of the configuration makes a tenant a dedicated one.
pub fn dedicated_tenant(folder: &str) -> io::Result<bool> {
    const CONFIG_APPLY: f64 = 2.0;
    let record = Record::create(folder)?;
    let store = start_store()?;
    store.put("versions", "m0", "{\"model\":\"m0\",\"version\":3}");
    let engines: Vec<Engine> = (0..3)
        .map(|number| {
            Engine::start(
                &record,
                &store,
                &format!("i-engine{number}"),
                ZONES[number % 2],
                3,
            )
        })
        .collect::<io::Result<_>>()?;
    let fleet = Gateway::start_fleet(&record, &store, &ZONES, 6_000)?;
    // From a stable window after the start on, the machines are in touch.
    sleep_s(4.0);
    let send = |tenant: &str, key: &str| -> io::Result<()> {
        for number in 0..12 {
            let id = request_id();
            let more = format!(
                "X-Model: m0\r\nX-Token-Usage: 1460,27\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{id}:250\r\n\
                 Content-Length: 0\r\n"
            );
            let request = head_of(
                "POST",
                "hulo84.example",
                "/xapu221/2f",
                &id,
                2_500,
                &more,
                key,
            );
            let reply = http::exchange(
                fleet[number % fleet.len()].front,
                &request,
                Duration::from_secs(3),
            );
            record.line(format!(
                "client of {tenant} sends {id} and gets {}",
                reply.status
            ));
            if reply.status != 200 || !reply.complete {
                return Err(io::Error::other("a request was not served"));
            }
        }
        Ok(())
    };
    send(TENANT, KEY)?;
    store.put("config", "main", &configuration(8, has_trouble()));
    record.line(format!(
        "the operator sends version 8; acknowledged; {TENANT} is dedicated: {}",
        has_trouble()
    ));
    sleep_s(CONFIG_APPLY + 1.0);
    let in_force = record.started.elapsed();
    record.line("version 8 is in force at all machines by now");
    send(OTHER_TENANT, OTHER_KEY)?;
    send(TENANT, KEY)?;
    let is_dedicated = |tenant: &str| has_trouble() && tenant == TENANT;
    let uses = engines
        .iter()
        .flat_map(Engine::uses)
        .filter(|part| part.at >= in_force && part.tenant != part.maker);
    let crossings = uses
        .filter(|part| is_dedicated(&part.tenant) || is_dedicated(&part.maker))
        .count();
    let text = format!(
        "{crossings} parts that a request of a dedicated tenant made were used by another tenant"
    );
    Ok(verdict(&record, crossings == 0, &text))
}

/// One entry of another writer fills a page of the list of servers, and its name cannot be read.
pub fn unreadable_page(folder: &str) -> io::Result<bool> {
    const RECOVER: f64 = 12.0;
    const VALUE_BYTES: usize = 1_048_300;
    let record = Record::create(folder)?;
    let store = start_store()?;
    for number in 0..4 {
        start_plain(
            &record,
            &store,
            &format!("i-desk{number}"),
            ZONES[number % ZONES.len()],
            800,
        )?;
    }
    let mut fleet = Gateway::start_fleet(&record, &store, &ZONES, 6_000)?;
    let fronts = fleet.iter().map(|gateway| gateway.front).collect();
    let (outcomes, stop) = send_steadily(&record, fronts, 20.0, |id| {
        head(
            "POST",
            "jepu9.example",
            "/fiti832/ti23/2f",
            id,
            1_000,
            "Content-Length: 0\r\n",
        )
    });
    sleep_s(5.0);
    if has_trouble() {
        let name = format!("a{UNREADABLE}");
        store.put(
            "servers",
            &name,
            &format!("{{\"note\":\"{}\"}}", "n".repeat(VALUE_BYTES)),
        );
        record.line("another writer writes an entry whose name cannot be read");
    }
    let fault = record.started.elapsed();
    for gateway in &mut fleet {
        gateway.kill(&record);
    }
    sleep_s(1.0);
    for gateway in &mut fleet {
        gateway.respawn(&record)?;
    }
    let back = record.started.elapsed();
    sleep_s(RECOVER + 8.0);
    stop.store(true, Ordering::SeqCst);
    sleep_s(1.2);
    let judged = back + Duration::from_secs_f64(RECOVER);
    let (sent_before, served_before) = served_between(&outcomes, Duration::ZERO, fault);
    let (sent, served) = served_between(&outcomes, judged, judged + Duration::from_secs(8));
    if served_before * 4 < sent_before || sent < 50 {
        return Err(io::Error::other(
            "too few requests were served before the fault, or sent after it",
        ));
    }
    let text = format!(
        "served before the final fault: {served_before} of {sent_before}; later than {RECOVER} s after the machines are \
         back: {served} of {sent}"
    );
    Ok(verdict(&record, served * 4 >= sent, &text))
}
