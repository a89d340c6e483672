//! The `peer` plug-in: gossips with the other daemons about members, leaving hosts and servers, loads, and the newest
//! configuration, and gives the other plug-ins access to this shared view.

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

/// How long a starting daemon waits for an answer from its seeds before it continues without them.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a stopping daemon may take to tell its peers that it leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

jaystand_kernel::register!("peer", Stage::State, start);

/// The view of the deployment that gossip keeps up to date. Clones share the same view.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

/// Identifies the daemons that may exchange messages: their deployment and its shared key.
#[derive(Clone, Debug)]
struct Deployment {
    name: String,
    key: Secret,
}

/// State that the tasks of the plug-in and the clones of [`Peers`] share.
struct Shared {
    gossip: Mutex<Gossip>,
    rng: Mutex<Pcg64Mcg>,
    timer: Timer,
    store: Arc<config::Store>,
    channels: Channels,
    copies: copy::Copies,
    /// Whether a configuration is being fetched. Several peers may name the same new version, which is fetched once.
    fetching: AtomicBool,
    counts: Counts,
    /// Wakes the task that sends changes which must not wait for the next round.
    urgent: Notify,
    /// Publishes the revision of the view to subscribers.
    revision: Sender<u64>,
    reporters: Mutex<Reporters>,
}

/// Cache of the servers whose reporter is this daemon, valid for one revision of the view.
#[derive(Default)]
struct Reporters {
    revision: u64,
    is_reporter: HashMap<CompactString, bool>,
}

/// Metrics of the plug-in.
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
    /// Returns whether this daemon is one of those that watch the platform for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.shared.gossip.lock().members.is_watcher()
    }

    /// Returns whether a data centre is in this daemon's region. A data centre without known daemons counts as inside.
    #[must_use]
    pub fn in_region(&self, data_centre: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let region = &gossip.members.own_entry().region;
        let mut in_region = gossip
            .members
            .all()
            .filter(|entry| entry.data_centre == data_centre)
            .map(|entry| entry.region == *region)
            .peekable();
        in_region.peek().is_none() || in_region.any(|in_region| in_region)
    }

    /// Returns whether this daemon is the one of its region that asks the server for its load.
    #[must_use]
    pub fn is_reporter(&self, server: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let members = &gossip.members;
        let mut cache = self.shared.reporters.lock();
        if cache.revision != members.revision() {
            cache.revision = members.revision();
            cache.is_reporter.clear();
        }
        if let Some(is_reporter) = cache.is_reporter.get(server) {
            return *is_reporter;
        }
        let is_reporter = members.reporter(server) == Some(members.own_entry().name.as_str());
        cache.is_reporter.insert(server.into(), is_reporter);
        is_reporter
    }

    /// Returns whether this daemon is the first or second candidate for a lease.
    #[must_use]
    pub fn is_lease_candidate(&self, lease: &str) -> bool {
        let gossip = self.shared.gossip.lock();
        let members = &gossip.members;
        let mut candidates = members.lease_candidates(lease).into_iter().take(2);
        candidates.any(|name| name == members.own_entry().name)
    }

    /// Returns whether daemons of a data centre answer.
    #[must_use]
    pub fn reachability(&self, data_centre: &str) -> Reachability {
        self.shared.gossip.lock().members.reachability(data_centre)
    }

    /// Returns whether the platform, an operator or the engine itself has marked the host or backend server as leaving.
    #[must_use]
    pub fn is_leaving(&self, subject: &str) -> bool {
        self.shared
            .gossip
            .lock()
            .members
            .marks()
            .is_leaving(subject)
    }

    /// Returns whether an operator has drained the backend server.
    #[must_use]
    pub fn is_drained(&self, server: &str) -> bool {
        self.shared.gossip.lock().members.marks().is_drained(server)
    }

    /// Sets or clears the operator's mark on a backend server. The mark reaches every daemon within seconds.
    pub fn set_drained(&self, server: &str, leaving: bool) {
        self.update_marks(|marks, now| marks.set_drained(now, server, leaving));
    }

    /// Returns the operators' marks, cleared ones included, ordered by name.
    pub(crate) fn operator_marks(&self) -> Vec<Mark> {
        let gossip = self.shared.gossip.lock();
        let marks = gossip.members.marks().all();
        let operators = marks.filter(|mark| mark.cause == Cause::Operator);
        operators.cloned().collect()
    }

    /// Merges marks that were stored elsewhere. Marks older than the known ones are ignored.
    pub(crate) fn merge_marks(&self, marks: Vec<Mark>) {
        self.update_marks(|known, now| {
            let mut changed = false;
            for mark in marks {
                changed |= known.merge(now, mark);
            }
            changed
        });
    }

    /// Records whether a run of an engine reports itself as leaving.
    pub fn observe_engine(&self, server: &str, run: Incarnation, leaving: bool) {
        self.update_marks(|marks, now| marks.observe_engine(now, server, run, leaving));
    }

    /// Records which hosts are leaving according to the platform's host list. Only watchers call this.
    pub fn observe_hosts(&self, hosts: &[Host]) {
        self.update_marks(|marks, now| {
            let mut changed = false;
            for host in hosts {
                changed |= marks.observe_listing(now, &host.name, host.state == HostState::Leaving);
            }
            changed
        });
    }

    /// Records the load that a backend server reported to this daemon, and the age of that report.
    pub fn report_load(&self, server: ServerId, requests: u32, age: Duration) {
        let now = self.shared.timer.now();
        self.shared
            .gossip
            .lock()
            .report_load(now, server, requests, age);
    }

    /// Returns the number of requests on a backend server according to its reporter, and the age of that figure.
    #[must_use]
    pub fn load(&self, server: ServerId) -> Option<(u32, Duration)> {
        let now = self.shared.timer.now();
        self.shared.gossip.lock().loads.get(now, server)
    }

    /// Sets the hot prefix heads that this daemon gossips, the hottest first.
    pub fn set_hot_prefixes(&self, hot: Vec<HotPrefix>) {
        self.shared.gossip.lock().set_hot_prefixes(hot);
    }

    /// Returns the number of requests for a prefix head within the last seconds, summed over the daemons that have
    /// exchanged with this one recently.
    #[must_use]
    pub fn heat(&self, head: u64) -> u32 {
        let now = self.shared.timer.now();
        self.shared.gossip.lock().heat(now, head)
    }

    /// Returns every known daemon ordered by name, with this daemon last.
    #[must_use]
    pub fn members(&self) -> Vec<Entry> {
        let gossip = self.shared.gossip.lock();
        gossip.members.all().cloned().collect()
    }

    /// Returns the configuration that the newest digest of a daemon names, and the age of that digest.
    #[must_use]
    pub fn member_config(&self, host: &str) -> Option<(Config, Duration)> {
        let now = self.shared.timer.now();
        let gossip = self.shared.gossip.lock();
        if host == gossip.members.own_entry().name {
            return Some((gossip.config(), Duration::ZERO));
        }
        let (config, received_at) = gossip.peer_config(host)?;
        Some((config, now.saturating_sub(received_at)))
    }

    /// Subscribes to changes of members and marks. The value only distinguishes revisions of the view.
    #[must_use]
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.shared.revision.subscribe()
    }

    /// Applies `change` to the marks. If it reports a change, peers and subscribers are told at once.
    fn update_marks(&self, change: impl FnOnce(&mut Marks, Moment) -> bool) {
        let now = self.shared.timer.now();
        let changed = change(self.shared.gossip.lock().members.marks_mut(), now);
        if changed {
            self.shared.urgent.notify_one();
            self.shared.publish_revision();
        }
    }
}

impl Shared {
    /// Updates the member gauge, and wakes subscribers if the view has changed.
    fn publish_revision(&self) {
        let gossip = self.gossip.lock();
        let revision = gossip.members.revision();
        let live = gossip
            .members
            .all()
            .filter(|entry| entry.state == State::Live);
        self.counts
            .members
            .set(i64::try_from(live.count()).unwrap_or(i64::MAX));
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

    fn record_dropped(&self, reason: &str) {
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
    // A failed join is not an error, because this daemon may be the first of the deployment.
    let _ = tokio::time::timeout(JOIN_TIMEOUT, driver::join(&shared, &settings.peers.seeds)).await;
    tasks.spawn(driver::run_rounds(Arc::clone(&shared)));
    tasks.spawn(driver::send_urgent_changes(Arc::clone(&shared)));
    tasks.spawn(leave_on_shutdown(kernel, Arc::clone(&shared)));
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

/// Marks this daemon as leaving when its shutdown begins, so that others take over its roles while it still serves.
async fn leave_on_shutdown(kernel: Kernel, shared: Arc<Shared>) {
    kernel.lifecycle().wait_for(Phase::LameDuck).await;
    shared.gossip.lock().members.leave();
    shared.publish_revision();
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, driver::exchange_urgently(&shared)).await;
}
