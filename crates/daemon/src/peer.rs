//! The `peer` plug-in: gossip with the other daemons, and what they know together: members, leaving hosts and
//! servers, loads, and the newest configuration.

mod client;
mod copy;
mod counted;
mod driver;
mod server;
#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use compact_str::CompactString;
use jaystand_control::{
    digest::{Config, Gossip, HotPrefix},
    mark::{Cause, Mark, Marks},
    member::{Entry, Members, Reachability, State},
};
use jaystand_kernel::{
    Kernel, Phase,
    plugin::{Running, Stage, StartResult},
    timer::Timer,
};
use jaystand_platform::{Host, HostState};
use jaystand_types::{Incarnation, Moment, Secret, ServerId};
use miette::{IntoDiagnostic, miette};
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch::Sender},
    task::JoinSet,
};

use crate::{config, settings::Settings};
use client::Channels;

/// Time that the seeds have to answer a starting daemon before it goes on without them.
const JOIN_WAIT: Duration = Duration::from_secs(1);
/// Time to tell others that this daemon leaves.
const LEAVE_WAIT: Duration = Duration::from_millis(500);

jaystand_kernel::register!("peer", Stage::State, start);

/// What the daemons know together. Clones share it.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

/// Which daemons share secrets and messages.
#[derive(Clone, Debug)]
struct Deployment {
    name: String,
    key: Secret,
}

struct Shared {
    gossip: Mutex<Gossip>,
    rng: Mutex<Pcg64Mcg>,
    timer: Timer,
    store: Arc<config::Store>,
    channels: Channels,
    copies: copy::Copies,
    /// A configuration is being fetched; several peers may name the same new version.
    fetching: AtomicBool,
    counts: Counts,
    /// Wakes the driver when a change must not wait for the next round.
    urgent: Notify,
    /// The revision of the view, for those who follow it.
    revision: Sender<u64>,
    reporters: Mutex<Reporters>,
}

/// Whether this daemon is the reporter of a server, as of one revision of the view.
#[derive(Default)]
struct Reporters {
    revision: u64,
    own: HashMap<CompactString, bool>,
}

#[derive(Clone)]
struct Counts {
    sent: IntCounter,
    received: IntCounter,
    exchanges: IntCounterVec,
    dropped: IntCounterVec,
    members: IntGauge,
    version: IntGauge,
}

impl Peers {
    /// Whether this daemon holds the watch on the platform for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.shared.gossip.lock().members.is_watcher()
    }

    /// Whether a data centre is in this daemon's region, as far as is known.
    #[must_use]
    pub fn in_region(&self, data_centre: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let region = &gossip.members.own_entry().region;
        let mut inside = gossip
            .members
            .all()
            .filter(|entry| entry.data_centre == data_centre)
            .map(|entry| entry.region == *region)
            .peekable();
        inside.peek().is_none() || inside.any(|inside| inside)
    }

    /// Whether this daemon asks the server for its load on behalf of the region.
    #[must_use]
    pub fn is_reporter(&self, server: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let members = &gossip.members;
        let mut cache = self.shared.reporters.lock();
        if cache.revision != members.revision() {
            cache.revision = members.revision();
            cache.own.clear();
        }
        if let Some(own) = cache.own.get(server) {
            return *own;
        }
        let own = members.reporter(server) == Some(members.own_entry().name.as_str());
        cache.own.insert(server.into(), own);
        own
    }

    /// Whether this daemon is the first or second choice to hold a lease.
    #[must_use]
    pub fn is_lease_candidate(&self, lease: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let members = &gossip.members;
        let mut preferred = members.lease_candidates(lease).into_iter().take(2);
        preferred.any(|name| name == members.own_entry().name)
    }

    /// Whether daemons of a data centre answer.
    #[must_use]
    pub fn reachability(&self, data_centre: &str) -> Reachability {
        self.shared.gossip.lock().members.reachability(data_centre)
    }

    /// Whether anybody says that the host or backend server is leaving.
    #[must_use]
    pub fn is_leaving(&self, subject: &str) -> bool {
        self.shared
            .gossip
            .lock()
            .members
            .marks()
            .is_leaving(subject)
    }

    /// Whether an operator drains the backend server.
    #[must_use]
    pub fn is_drained(&self, server: &str) -> bool {
        self.shared.gossip.lock().members.marks().is_drained(server)
    }

    /// Sets or clears the operator's mark on a backend server. Every daemon learns it within seconds.
    pub fn set_drained(&self, server: &str, leaving: bool) {
        self.mark(|marks, now| marks.set_drained(now, server, leaving));
    }

    /// The operators' marks, cleared ones included, in the order of names.
    pub(crate) fn operator_marks(&self) -> Vec<Mark> {
        let gossip = self.shared.gossip.lock();
        let marks = gossip.members.marks().all();
        let operators = marks.filter(|mark| mark.cause == Cause::Operator);
        operators.cloned().collect()
    }

    /// Takes marks that were kept elsewhere; older ones than those known are ignored.
    pub(crate) fn merge_marks(&self, marks: Vec<Mark>) {
        self.mark(|held, now| {
            let mut changed = false;
            for mark in marks {
                changed |= held.merge(now, mark);
            }
            changed
        });
    }

    /// Notes what a run of an engine says of itself.
    pub fn observe_engine(&self, server: &str, run: Incarnation, leaving: bool) {
        self.mark(|marks, now| marks.observe_engine(now, server, run, leaving));
    }

    /// Takes the platform's host list; for watchers.
    pub fn observe_hosts(&self, hosts: &[Host]) {
        self.mark(|marks, now| {
            let mut changed = false;
            for host in hosts {
                changed |= marks.observe_listing(now, &host.name, host.state == HostState::Leaving);
            }
            changed
        });
    }

    /// Takes the load of a backend server that this daemon asked for.
    pub fn report_load(&self, server: ServerId, requests: u32, age: Duration) {
        let now = self.shared.timer.now();
        self.shared
            .gossip
            .lock()
            .report_load(now, server, requests, age);
    }

    /// Requests on a backend server as its reporter tells, and the age of that figure.
    #[must_use]
    pub fn load(&self, server: ServerId) -> Option<(u32, Duration)> {
        let now = self.shared.timer.now();
        self.shared.gossip.lock().loads.get(now, server)
    }

    /// Names this daemon's hot prefix heads, the hottest first.
    pub fn set_hot_prefixes(&self, hot: Vec<HotPrefix>) {
        self.shared.gossip.lock().set_hot_prefixes(hot);
    }

    /// Requests of the last seconds for a prefix head, over the daemons met lately.
    #[must_use]
    pub fn heat(&self, head: u64) -> u32 {
        let now = self.shared.timer.now();
        self.shared.gossip.lock().heat(now, head)
    }

    /// Every daemon that is known, in the order of names, the own one last.
    #[must_use]
    pub fn members(&self) -> Vec<Entry> {
        let gossip = self.shared.gossip.lock();
        gossip.members.all().cloned().collect()
    }

    /// The configuration of a daemon as its newest digest named it, and the age of that digest.
    #[must_use]
    pub fn member_config(&self, host: &str) -> Option<(Config, Duration)> {
        let now = self.shared.timer.now();
        let gossip = self.shared.gossip.lock();
        if host == gossip.members.own_entry().name {
            return Some((gossip.config(), Duration::ZERO));
        }
        let (config, met) = gossip.peer_config(host)?;
        Some((config, now.saturating_sub(met)))
    }

    /// Follows changes of members and marks; the value only tells versions of the view apart.
    #[must_use]
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.shared.revision.subscribe()
    }

    fn mark(&self, change: impl FnOnce(&mut Marks, Moment) -> bool) {
        let now = self.shared.timer.now();
        let changed = change(self.shared.gossip.lock().members.marks_mut(), now);
        if changed {
            self.shared.urgent.notify_one();
            self.shared.announce();
        }
    }
}

impl Shared {
    /// Tells followers when the view has changed.
    fn announce(&self) {
        let gossip = self.gossip.lock();
        let revision = gossip.members.revision();
        let running = gossip
            .members
            .all()
            .filter(|entry| entry.state == State::Live);
        self.counts
            .members
            .set(i64::try_from(running.count()).unwrap_or(i64::MAX));
        drop(gossip);
        self.revision.send_if_modified(|current| {
            let changed = *current != revision;
            *current = revision;
            changed
        });
    }
}

impl Counts {
    fn new(metrics: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            metrics.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let bytes = counter(
            "jaystand_control_bytes_total",
            "Bytes on connections between daemons.",
            "direction",
        )?;
        let members = IntGauge::new("jaystand_members", "Daemons that run, as known here.")?;
        metrics.register(Box::new(members.clone()))?;
        let version = IntGauge::new(
            "jaystand_config_version",
            "Version of the configuration in force.",
        )?;
        metrics.register(Box::new(version.clone()))?;
        Ok(Self {
            sent: bytes.with_label_values(&["sent"]),
            received: bytes.with_label_values(&["received"]),
            exchanges: counter(
                "jaystand_peer_exchanges_total",
                "Calls to peers by result.",
                "result",
            )?,
            dropped: counter(
                "jaystand_peer_dropped_total",
                "Messages of peers that were dropped.",
                "reason",
            )?,
            members,
            version,
        })
    }

    fn drop(&self, reason: &str) {
        self.dropped.with_label_values(&[reason]).inc();
    }
}

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let store = kernel.require::<config::Store>()?;
    if !settings.peers.seeds.is_empty() && settings.peers.key.is_empty() {
        return Err(miette!(
            help = "set `peers.key` or `peers.key_file` to the key that all daemons share",
            "peers.seeds names other daemons, but there is no shared key"
        ));
    }
    let address = settings.listen.peers;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| miette!("listen.peers: cannot listen on {address}: {error}"))?;
    let address = listener.local_addr().into_diagnostic()?;
    let counts = Counts::new(kernel.metrics()).into_diagnostic()?;
    let deployment = Deployment {
        name: settings.host.deployment.clone(),
        key: settings.peers.key.clone(),
    };
    let members = Members::new(own_entry(&settings, address), settings.peers.seeds.clone());
    let shared = Arc::new(Shared {
        gossip: Mutex::new(Gossip::new(members)),
        rng: Mutex::new(Pcg64Mcg::seed_from_u64(rand::random())),
        timer: kernel.timer().clone(),
        store,
        channels: Channels::new(&deployment, counts.clone())?,
        copies: copy::Copies::default(),
        fetching: AtomicBool::new(false),
        counts,
        urgent: Notify::new(),
        revision: Sender::new(0),
        reporters: Mutex::default(),
    });
    kernel.provide(Arc::new(Peers {
        shared: Arc::clone(&shared),
    }));
    let mut tasks = JoinSet::new();
    tasks.spawn(server::serve(listener, Arc::clone(&shared), deployment));
    tasks.spawn(driver::follow_configuration(Arc::clone(&shared)));
    // A failed join is not an error: the daemon may be the first one.
    let _ = tokio::time::timeout(JOIN_WAIT, driver::join(&shared, &settings.peers.seeds)).await;
    tasks.spawn(driver::rounds(Arc::clone(&shared)));
    tasks.spawn(driver::urgent(Arc::clone(&shared)));
    tasks.spawn(leave(kernel, Arc::clone(&shared)));
    Ok(Running::with_shutdown(
        async move { tasks.shutdown().await },
    ))
}

fn own_entry(settings: &Settings, address: SocketAddr) -> Entry {
    Entry {
        name: settings.host.name.clone(),
        data_centre: settings.host.data_centre.clone(),
        region: settings.host.region.as_str().into(),
        address,
        incarnation: rand::random(),
        sequence: 1,
        state: State::Live,
    }
}

/// Hands over the daemon's roles as soon as it is asked to stop, while it still serves.
async fn leave(kernel: Kernel, shared: Arc<Shared>) {
    kernel.lifecycle().wait_for(Phase::LameDuck).await;
    shared.gossip.lock().members.leave();
    shared.announce();
    let _ = tokio::time::timeout(LEAVE_WAIT, driver::tell(&shared)).await;
}
