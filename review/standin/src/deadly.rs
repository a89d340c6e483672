//! A request that crashes each server that begins to run it comes again and again.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    caller::{End, call},
    fleet::config,
    gateway::{self, FRONT_PORT, Gateway, PEER_PORT, READY_PORT, Settings},
    http::Message,
    record::Record,
    server::{self, Event, EventKind, Run, Setup},
    store::Store,
};

const SERVERS: u8 = 9;
/// The deadly request comes this often for this long: 3 in 100 of 15.2 a second, for 20 s.
const DEADLY_PERIOD: Duration = Duration::from_millis(2_190);
const DEADLY_TIME: Duration = Duration::from_secs(20);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Servers that may crash before the count begins, and requests that may reach servers later.
const FREE_CRASHES: usize = 3;
const MAX_LATER: usize = 3;
const CALLERS: u64 = 24;
const CALL_PAUSE: Duration = Duration::from_millis(350);
const QUIET_TIME: Duration = Duration::from_secs(4);

pub fn run(
    trouble: bool,
    record: &Record,
    folder: &Path,
    address: impl Fn(u8) -> IpAddr,
) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("config", "main", &config());
    let events = Arc::new(Mutex::new(Vec::new()));
    for number in 0..SERVERS {
        server::start(Setup {
            name: format!("i-{number}"),
            service: "lm",
            address: SocketAddr::new(address(100 + number), 8_080),
            store: store.clone(),
            record: record.clone(),
            events: Arc::clone(&events),
            behaviour,
        })?;
    }
    let mut gateways = Vec::new();
    let mut fronts = Vec::new();
    for number in 0..2 {
        let door = SocketAddr::new(address(2 + number), 8_784);
        store.listen(door)?;
        let settings = Settings {
            host: format!("front-{number}"),
            data_centre: "zone-0".to_owned(),
            front: SocketAddr::new(address(10 + number), FRONT_PORT),
            ready: SocketAddr::new(address(10 + number), READY_PORT),
            seeds: vec![SocketAddr::new(address(11 - number), PEER_PORT)],
            store: door,
            grace_s: 8,
        };
        gateways.push(Gateway::start(&settings, folder)?);
        if !gateway::wait_ready(settings.ready, Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", settings.host)));
        }
        fronts.push(settings.front);
    }
    let (stop, next_id) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(1)),
    );
    let cut = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = fronts[usize::from(caller % 2 == 1)];
            let (stop, next_id) = (Arc::clone(&stop), Arc::clone(&next_id));
            let (cut, record) = (Arc::clone(&cut), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("sound-{}", next_id.fetch_add(1, Ordering::SeqCst));
                    if call(front, "/talk/a", &id, "sound", &record) == End::Cut {
                        cut.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(CALL_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(QUIET_TIME);
    let cut_before = cut.load(Ordering::SeqCst);
    let began = record.now();
    let mut sent = 0;
    while record.now() < began + DEADLY_TIME {
        let id = format!("again-{sent}");
        // The body makes the request deadly; its path, caller and body are the same each time.
        let body = if trouble { "deadly" } else { "sound" };
        let (front, record) = (fronts[sent % fronts.len()], record.clone());
        thread::spawn(move || call(front, "/talk/again", &id, body, &record));
        sent += 1;
        thread::sleep(DEADLY_PERIOD);
    }
    thread::sleep(QUIET_TIME);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Ok(Verdict::NotRun("a gateway has ended".to_owned()));
    }
    let events = events.lock().expect("not poisoned").clone();
    let lost = cut.load(Ordering::SeqCst) - cut_before;
    Ok(judge(&events, sent, lost, record))
}

fn behaviour(request: &Message) -> Run {
    if request.body == b"deadly" {
        Run::Crash
    } else {
        Run::Stream(12, Duration::from_millis(60))
    }
}

/// Judges that at most three of the deadly requests reach servers later than the stable window after the third crash.
fn judge(events: &[Event], sent: usize, lost: u64, record: &Record) -> Verdict {
    let crashes: Vec<&Event> = events
        .iter()
        .filter(|event| event.kind == EventKind::Crashed)
        .collect();
    let arrivals = events
        .iter()
        .filter(|event| event.kind == EventKind::Began && event.id.starts_with("again-"));
    let later = match crashes.get(FREE_CRASHES - 1) {
        Some(third) => arrivals
            .filter(|event| event.at > third.at + STABLE_WINDOW)
            .count(),
        None => 0,
    };
    record.line(&format!(
        "the request came {sent} times, crashed {} servers, and reached servers {later} times later \
         than {STABLE_WINDOW:?} after the third crash ({MAX_LATER} allowed); {lost} sound requests were \
         cut meanwhile",
        crashes.len()
    ));
    if later > MAX_LATER {
        record.line("BROKEN: BUDGET");
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
