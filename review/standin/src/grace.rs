//! The grace period is raised by a reload, and the gateway is then stopped as planned.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    caller::{End, call},
    gateway::{self, FRONT_PORT, Gateway, READY_PORT, Settings},
    http::Message,
    record::Record,
    server::{self, EventKind, Run, Setup},
    store::Store,
};

const FORMER_GRACE_S: u32 = 4;
/// The figure of all sheets.
const GRACE_S: u32 = 8;
const ROUNDS: u32 = 5;
/// Work of an order, which is sent half a second before the request to stop.
const ORDER_TIME: Duration = Duration::from_millis(5_500);
const EVENTS: u32 = 11;
const EVENT_INTERVAL: Duration = Duration::from_millis(500);
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const BEFORE_STOP: Duration = Duration::from_millis(500);

pub fn run(
    trouble: bool,
    record: &Record,
    folder: &Path,
    address: impl Fn(u8) -> IpAddr,
) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("config", "main", &config());
    let events = Arc::new(Mutex::new(Vec::new()));
    for (number, service) in ["libro", "libro", "oraculo", "oraculo"]
        .into_iter()
        .enumerate()
    {
        let number = u8::try_from(number).unwrap_or(0);
        server::start(Setup {
            name: format!("i-{number}"),
            service,
            address: SocketAddr::new(address(100 + number), 8_080),
            store: store.clone(),
            record: record.clone(),
            events: Arc::clone(&events),
            behaviour,
        })?;
    }
    let door = SocketAddr::new(address(2), 8_784);
    store.listen(door)?;
    let front = SocketAddr::new(address(10), FRONT_PORT);
    let (mut cut, mut answered) = (0, 0);
    for round in 0..ROUNDS {
        let mut settings = Settings {
            host: "front-0".to_owned(),
            data_centre: "zone-0".to_owned(),
            front,
            ready: SocketAddr::new(address(10), READY_PORT),
            seeds: Vec::new(),
            store: door,
            grace_s: if trouble { FORMER_GRACE_S } else { GRACE_S },
        };
        let mut gateway = Gateway::start(&settings, folder)?;
        record.line(&format!("gateway starts, grace {} s", settings.grace_s));
        if !gateway::wait_ready(settings.ready, Duration::from_secs(10)) {
            return Ok(Verdict::NotRun("the gateway is not ready".to_owned()));
        }
        settings.grace_s = GRACE_S;
        settings.write(folder)?;
        gateway.signal("HUP")?;
        record.line(&format!("settings file has grace {GRACE_S} s; SIGHUP"));
        thread::sleep(SETTLE_TIME);
        let callers: Vec<_> = [("/write/a", "order"), ("/talk/a", "stream")]
            .into_iter()
            .map(|(path, kind)| {
                let (id, record) = (format!("{kind}-{round}"), record.clone());
                thread::spawn(move || (call(front, path, &id, "{}", &record), id))
            })
            .collect();
        thread::sleep(BEFORE_STOP);
        let stopped_at = record.now();
        record.line("SIGTERM");
        gateway.signal("TERM")?;
        let kill_at = stopped_at + Duration::from_secs(u64::from(GRACE_S));
        while record.now() < kill_at && !gateway.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        let after = (record.now() - stopped_at).as_secs_f64();
        record.line(&format!(
            "the gateway has ended {after:.2} s after SIGTERM, or is killed now"
        ));
        drop(gateway);
        for caller in callers {
            let Ok((end, id)) = caller.join() else {
                return Ok(Verdict::NotRun("a caller failed".to_owned()));
            };
            let events = events.lock().expect("not poisoned").clone();
            let began = events
                .iter()
                .any(|event| event.id == id && event.kind == EventKind::Began);
            match end {
                End::Answered(status) if status == "200" => answered += 1,
                // It was read and passed on to a server, and its server needs 5 s after SIGTERM: less than five sixths
                // of the grace.
                End::Cut if began => {
                    cut += 1;
                    record.line(&format!("BROKEN: {id} was passed on and cut"));
                }
                other => record.line(&format!("{id} was not served: {other:?}")),
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!(
        "{answered} requests answered, {cut} passed on and cut"
    ));
    Ok(if cut > 0 {
        Verdict::Broken
    } else if answered == 0 {
        Verdict::NotRun("nothing was answered".to_owned())
    } else {
        Verdict::Held
    })
}

fn behaviour(request: &Message) -> Run {
    if request.line.contains("/talk/") {
        Run::Stream(EVENTS, EVENT_INTERVAL)
    } else {
        Run::Whole(ORDER_TIME)
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\
             \"{kind}\",\"timeoutMs\":10000,\"sloMs\":1000,\"gapAimMs\":1000,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":1,\"public\":true}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"libro\",\"healthPath\":\"/h\",\
         \"maxConns\":96}},{{\"name\":\"oraculo\",\"healthPath\":\"/h\",\"maxConns\":200}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("write", "unsafe", "libro"),
        route("talk", "stream", "oraculo"),
    )
}
