//! Two data centres lose each other again and again, while both reach the store and the servers.

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
    engine::{Engine, MODEL, Order},
    gateway::{self, FRONT_PORT, Gateway, PEER_PORT, READY_PORT, Settings},
    peers::Link,
    record::Record,
    store::Store,
};

const ENGINES: u8 = 9;
/// The operator names new weights this often.
const BUMP_PERIOD: Duration = Duration::from_millis(2_400);
const CUTS: u32 = 5;
const CUT_TIME: Duration = Duration::from_millis(6_000);
const HEALED_TIME: Duration = Duration::from_millis(5_500);
/// Orders that arrive within this time after a link healed don't count.
const THAW_TIME: Duration = Duration::from_millis(300);
const LEASE_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);

pub fn run(
    trouble: bool,
    record: &Record,
    folder: &Path,
    address: impl Fn(u8) -> IpAddr,
) -> io::Result<Verdict> {
    let store = Store::default();
    store.put("config", "main", &config());
    store.put("versions", MODEL, &weights(1));
    let seen = Arc::new(Mutex::new(Vec::new()));
    for number in 0..ENGINES {
        Engine::start(
            format!("i-{number}"),
            SocketAddr::new(address(100 + number), 8_080),
            store.clone(),
            record.clone(),
            Arc::clone(&seen),
        )?;
    }
    let hosts = [address(10), address(30)];
    let aliases = [address(20), address(21)];
    let link = Link::start(hosts, aliases)?;
    let mut gateways = Vec::new();
    for (index, host) in hosts.into_iter().enumerate() {
        let door = SocketAddr::new(address(2 + u8::try_from(index).unwrap_or(0)), 8_784);
        store.listen(door)?;
        let settings = Settings {
            host: format!("front-{index}"),
            data_centre: format!("zone-{index}"),
            front: SocketAddr::new(host, FRONT_PORT),
            ready: SocketAddr::new(host, READY_PORT),
            seeds: vec![SocketAddr::new(aliases[1 - index], PEER_PORT)],
            store: door,
        };
        gateways.push(Gateway::start(&settings, folder)?);
        if !gateway::wait_ready(settings.ready, Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", settings.host)));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut version = 1;
    let mut next_bump = record.now();
    let mut healed_at = Vec::new();
    let first_cut = record.now() + Duration::from_secs(3);
    let mut is_cut = false;
    let end = first_cut + (CUT_TIME + HEALED_TIME) * CUTS;
    while record.now() < end {
        if record.now() >= next_bump {
            version += 1;
            record.line(&format!("operator names version {version} of {MODEL}"));
            store.put("versions", MODEL, &weights(version));
            next_bump += BUMP_PERIOD;
        }
        let since = record.now().saturating_sub(first_cut);
        let cycle = CUT_TIME + HEALED_TIME;
        let in_cycle = Duration::from_secs_f64(since.as_secs_f64() % cycle.as_secs_f64());
        let cut = trouble && !since.is_zero() && in_cycle < CUT_TIME;
        if cut != is_cut {
            is_cut = cut;
            link.set_cut(cut);
            let text = if cut { "lose" } else { "find" };
            record.line(&format!("zone-0 and zone-1 {text} each other"));
            if !cut {
                healed_at.push(record.now());
            }
        }
        thread::sleep(STEP);
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        return Ok(Verdict::NotRun("a gateway has ended".to_owned()));
    }
    let seen = seen.lock().expect("not poisoned").clone();
    Ok(judge(&seen, &healed_at, record))
}

/// Judges the orders that each server got: no fencing token lower than that of another holder before, and none of two
/// holders. Holders that take turns within the lease's duration are counted, too.
fn judge(seen: &[Order], healed_at: &[Duration], record: &Record) -> Verdict {
    if seen.is_empty() {
        return Verdict::NotRun("no order was given".to_owned());
    }
    let counts = |order: &&Order| {
        let after = |healed: &Duration| order.at >= *healed && order.at < *healed + THAW_TIME;
        !healed_at.iter().any(after)
    };
    let (mut lower, mut shared, mut turns) = (0, 0, 0);
    for number in 0..ENGINES {
        let name = format!("i-{number}");
        let orders: Vec<&Order> = seen
            .iter()
            .filter(|order| order.server == name)
            .filter(counts)
            .collect();
        for (index, order) in orders.iter().enumerate() {
            let before = &orders[..index];
            let others = before.iter().filter(|known| known.holder != order.holder);
            if let Some(greater) = others.clone().find(|known| known.fence > order.fence) {
                lower += 1;
                record.line(&format!(
                    "BROKEN: {name} got fence {} of {} at {:.4} (answered {}) after fence {} of {} at {:.4}",
                    order.fence,
                    order.holder,
                    order.at.as_secs_f64(),
                    order.status,
                    greater.fence,
                    greater.holder,
                    greater.at.as_secs_f64()
                ));
            }
            if others.clone().any(|known| known.fence == order.fence) {
                shared += 1;
                record.line(&format!("BROKEN: {name}: fence {} of two", order.fence));
            }
            let other = others.clone().last();
            let returns = other.is_some_and(|other| {
                let mut own = before
                    .iter()
                    .filter(|known| known.holder == order.holder && known.at < other.at);
                own.any(|own| own.at + LEASE_TIME > order.at)
            });
            if returns {
                turns += 1;
                record.line(&format!(
                    "BROKEN: {name}: {} orders again at {:.4}, within {LEASE_TIME:?} of its order \
                     before that of another holder",
                    order.holder,
                    order.at.as_secs_f64()
                ));
            }
        }
    }
    let orders = seen.len();
    record.line(&format!(
        "{orders} orders; {lower} with a lower fence than another holder's before, {shared} with \
         the fence of another holder, {turns} by holders that take turns"
    ));
    if lower + shared + turns > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn weights(version: u64) -> String {
    format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}")
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"ask\",\"host\":\"desk.example\",\"pathPrefix\":\
         \"/ask/\",\"kind\":\"stream\",\"resumable\":true,\"timeoutMs\":10000,\"sloMs\":600,\
         \"gapAimMs\":400,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":2,\"public\":true}}],\
         \"services\":[{{\"name\":\"lm\",\"healthPath\":\"/h\",\"maxConns\":370,\"engine\":\
         {{\"slots\":64,\"kvCapacity\":109619,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}
