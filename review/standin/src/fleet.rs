//! A small deployment: two gateways, the store with an address for each of them, and engines.

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
    gateway::{self, FRONT_PORT, Gateway, READY_PORT, Settings},
    record::Record,
    store::Store,
};

/// Number of engines of the site `mpr-ricambi`.
const ENGINES: u8 = 9;
/// Orders that arrive within this time after a link healed don't count.
const THAW_TIME: Duration = Duration::from_millis(300);
const LEASE_TIME: Duration = Duration::from_secs(3);
const START_TIME: Duration = Duration::from_secs(2);

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    store: Store,
    version: u64,
    seen: Arc<Mutex<Vec<Order>>>,
}

impl Fleet {
    /// Starts everything. `seeds` has for each gateway the address by which it knows the other one.
    pub fn start(
        record: &Record,
        folder: &Path,
        address: &impl Fn(u8) -> IpAddr,
        hosts: [IpAddr; 2],
        seeds: [SocketAddr; 2],
    ) -> io::Result<Result<Self, Verdict>> {
        let store = Store::default();
        store.put("config", "main", &config());
        store.put("versions", MODEL, &weights(1));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut fleet = Self {
            gateways: Vec::new(),
            store,
            version: 1,
            seen,
        };
        for number in 0..ENGINES {
            Engine::start(
                format!("i-{number}"),
                SocketAddr::new(address(100 + number), 8_080),
                fleet.store.clone(),
                record.clone(),
                Arc::clone(&fleet.seen),
            )?;
        }
        for (index, (host, seed)) in hosts.into_iter().zip(seeds).enumerate() {
            let door = SocketAddr::new(address(2 + u8::try_from(index).unwrap_or(0)), 8_784);
            fleet.store.listen(door)?;
            let settings = Settings {
                host: format!("front-{index}"),
                data_centre: format!("zone-{index}"),
                front: SocketAddr::new(host, FRONT_PORT),
                ready: SocketAddr::new(host, READY_PORT),
                seeds: vec![seed],
                store: door,
                grace_s: 8,
            };
            fleet.gateways.push(Gateway::start(&settings, folder)?);
            if !gateway::wait_ready(settings.ready, Duration::from_secs(10)) {
                let reason = format!("{} is not ready", settings.host);
                return Ok(Err(Verdict::NotRun(reason)));
            }
        }
        thread::sleep(START_TIME);
        Ok(Ok(fleet))
    }

    /// Names the next version of the weights, as the operator does.
    pub fn name_version(&mut self, record: &Record) {
        self.version += 1;
        let version = self.version;
        record.line(&format!("operator names version {version} of {MODEL}"));
        self.store.put("versions", MODEL, &weights(version));
    }

    pub fn orders(&self) -> Vec<Order> {
        self.seen.lock().expect("not poisoned").clone()
    }
}

/// Judges the orders that each server got: no fencing token lower than that of another holder before, and none of two
/// holders. Holders that take turns within the lease's duration are counted, too.
pub fn judge(seen: &[Order], healed_at: &[Duration], record: &Record) -> Verdict {
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

pub fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"talk\",\"host\":\"desk.example\",\"pathPrefix\":\
         \"/talk/\",\"kind\":\"stream\",\"timeoutMs\":10000,\"sloMs\":600,\
         \"gapAimMs\":400,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":2,\"public\":true}}],\
         \"services\":[{{\"name\":\"lm\",\"healthPath\":\"/h\",\"maxConns\":370,\"engine\":\
         {{\"slots\":64,\"kvCapacity\":109619,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}
