//! After the final fault the store is silent for some seconds. The entries of the servers expire, and are back as it
//! returns.

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
    gateway::{self, FRONT_PORT, Gateway, PEER_PORT, READY_PORT, Settings},
    record::Record,
    server::{self, Run, Setup},
    store::Store,
};

const GATEWAYS: u8 = 6;
const SERVERS: u8 = 4;
const CALL_PERIOD: Duration = Duration::from_millis(100);
const BEFORE_FAULT: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_millis(800);
/// The store falls silent this long after the gateways are back.
const OUTAGE_DELAY: Duration = Duration::from_secs(4);
const OUTAGE_TIME: Duration = Duration::from_secs(4);
const RECOVER_TIME: Duration = Duration::from_secs(12);
const MEASURED_TIME: Duration = Duration::from_secs(15);

pub fn run(
    trouble: bool,
    record: &Record,
    folder: &Path,
    address: impl Fn(u8) -> IpAddr,
) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("config", "main", CONFIG);
    for number in 0..SERVERS {
        server::start(Setup {
            name: format!("i-{number}"),
            service: "libro",
            address: SocketAddr::new(address(100 + number), 8_080),
            store: store.clone(),
            record: record.clone(),
            events: Arc::new(Mutex::new(Vec::new())),
            behaviour: |_| Run::Whole(Duration::from_millis(30)),
        })?;
    }
    let door = SocketAddr::new(address(2), 8_784);
    store.listen(door)?;
    let all_settings: Vec<Settings> = (0..GATEWAYS)
        .map(|number| Settings {
            host: format!("front-{number}"),
            data_centre: "zone-0".to_owned(),
            front: SocketAddr::new(address(10 + number), FRONT_PORT),
            ready: SocketAddr::new(address(10 + number), READY_PORT),
            seeds: (0..3)
                .map(|seed| SocketAddr::new(address(10 + seed), PEER_PORT))
                .collect(),
            store: door,
            grace_s: 8,
        })
        .collect();
    let Some(gateways) = start_all(&all_settings, folder)? else {
        return Ok(Verdict::NotRun("a gateway is not ready".to_owned()));
    };
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = all_settings.iter().map(|s| s.front).collect();
    let before = share_served(&fronts, "before", BEFORE_FAULT, record);
    record.line("final fault: all gateways are killed");
    drop(gateways);
    thread::sleep(DOWN_TIME);
    let Some(mut gateways) = start_all(&all_settings, folder)? else {
        return Ok(Verdict::NotRun("a gateway is not ready again".to_owned()));
    };
    let back_at = record.now();
    record.line("all gateways are back and ready");
    thread::sleep(OUTAGE_DELAY);
    if trouble {
        record.line("the store is silent");
        store.set_silent(true);
        thread::sleep(OUTAGE_TIME);
        store.expire_and_return("servers");
        store.set_silent(false);
        record.line("the store is back, and so are the entries of the servers that had expired");
    }
    thread::sleep((back_at + RECOVER_TIME).saturating_sub(record.now()));
    let after = share_served(&fronts, "after", MEASURED_TIME, record);
    for settings in &all_settings {
        let ready = gateway::wait_ready(settings.ready, Duration::from_millis(300));
        record.line(&format!("{}: ready {ready}", settings.host));
    }
    record.line(&format!(
        "served before the final fault: {before:.2}; of those sent later than {RECOVER_TIME:?} after the \
         gateways were back: {after:.2}"
    ));
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Ok(Verdict::NotRun("a gateway has ended".to_owned()));
    }
    if before < 0.25 {
        return Ok(Verdict::NotRun("too few were served before".to_owned()));
    }
    if after < 0.25 {
        record.line("BROKEN: RECOVER");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

fn start_all(all: &[Settings], folder: &Path) -> io::Result<Option<Vec<Gateway>>> {
    let gateways: io::Result<Vec<_>> = all.iter().map(|s| Gateway::start(s, folder)).collect();
    let gateways = gateways?;
    let limit = Duration::from_secs(10);
    let ready = all.iter().all(|s| gateway::wait_ready(s.ready, limit));
    Ok(ready.then_some(gateways))
}

/// Sends requests to all gateways in turn, and returns which share of them was answered with success.
#[allow(clippy::cast_precision_loss)]
fn share_served(fronts: &[SocketAddr], name: &str, time: Duration, record: &Record) -> f64 {
    let until = record.now() + time;
    let (mut sent, mut served) = (0_usize, 0_usize);
    while record.now() < until {
        let id = format!("{name}-{sent}");
        let end = call(fronts[sent % fronts.len()], "/read/a", &id, "", record);
        served += usize::from(end == End::Answered("200".to_owned()));
        sent += 1;
        thread::sleep(CALL_PERIOD);
    }
    served as f64 / sent.max(1) as f64
}

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"read\",\"host\":\"desk.example\",\
    \"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"sloMs\":150,\"priority\":2,\
    \"service\":\"libro\",\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"libro\",\
    \"healthPath\":\"/h\",\"maxConns\":96}],\"limits\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
