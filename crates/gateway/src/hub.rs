//! State that all tasks of the process share, and the operations that change it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::IpAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use hashbrown::HashMap;
use jaystand_adapter::entry;
use jaystand_dispatch::{
    ServerKey,
    budget::{Budget, Sharers},
    config::Configuration,
    directory::Directory,
    estimate::{Estimate, Sample},
    holdings::Holdings,
    lease::{Fence, Record},
    load::Peers,
    placement::Store as PartStore,
    prompt,
    proof::Proof,
    reach::Reach,
    revision::Revision,
    source::{self, Relays, Source},
    suspicion::Suspicions,
    weights::{Sighting, Versions},
};
use jaystand_kernel::timer::Timer;
use jaystand_types::{DataCentre, Era, Model, Moment, Version};
use serde_json::value::RawValue;
use tokio::sync::{Notify, watch};

use crate::{
    account::{Accounts, Shed},
    buffer::Buffers,
    clock,
    entries::Entries,
    front,
    metrics::Metrics,
    pack::Packed,
    pool::{Pool, Pooled},
    quota,
    settings::Settings,
    store::Store,
    supervise, updates,
    waiting::Waiting,
};

/// When this host compares its state with that of its peers, it ignores reports older than this.
pub(crate) const MAX_PEER_REPORT_AGE: Duration = Duration::from_secs(1);

/// Everything that the tasks of the process share.
pub(crate) struct Hub {
    pub(crate) settings: RefCell<Settings>,
    /// Random number that identifies this run of the process.
    pub(crate) incarnation: u64,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    pub(crate) store: Store,
    /// Memory for bodies of callers and servers.
    pub(crate) buffers: Buffers,
    /// Memory for answers of the store and of other hosts, which those bodies must not displace.
    pub(crate) inner_buffers: Buffers,
    /// Requests that wait until a server has capacity.
    pub(crate) waiting: Waiting,
    pub(crate) accounts: Accounts,
    /// Bytes of streams that wait for their callers.
    pub(crate) unread_bytes: Arc<AtomicUsize>,
    pub(crate) state: RefCell<State>,
    /// Wakes the task that gives weight orders.
    pub(crate) weights_changed: Notify,
    /// The hosts of the data centre that this host may follow instead of the store.
    pub(crate) relays: RefCell<Relays<IpAddr>>,
    /// The compressed contents of a complete copy for followers, with the number of their newest change.
    pub(crate) packed_copy: RefCell<Option<(u64, Packed)>>,
    /// The source of configuration, servers and weights: the store or another host.
    pub(crate) source: watch::Sender<Source<IpAddr>>,
    /// Makes the feed of servers list the store's entries again.
    pub(crate) relist_servers: Notify,
    /// Wakes the task that reports to peers, so that it sends a report at once.
    pub(crate) report_now: Notify,
    /// Set when the process is asked to stop.
    pub(crate) stopping: watch::Sender<bool>,
    /// When the process was asked to stop.
    pub(crate) stop_requested_at: Cell<Option<Moment>>,
    /// Set when the process ends; requests that are still open are dropped then.
    pub(crate) ended: Cell<bool>,
    /// Set when another holder of the lease on weight orders may have released it, so that it must be read again.
    pub(crate) lease_may_be_free: Cell<bool>,
    /// The lease that another host last reported to hold, and when, by the clock that also runs while the host is
    /// suspended.
    pub(crate) reported_lease: RefCell<Option<(Moment, Revision, Record)>>,
    /// Fencing token of a lease that its holder, this process or another, has abandoned.
    pub(crate) abandoned_fence: Cell<Option<Fence>>,
    /// The lease that this process holds.
    pub(crate) held_lease: RefCell<Option<(Revision, Record)>>,
    /// Number of tasks that have panicked and not started again.
    pub(crate) tasks_down: Cell<usize>,
    /// Number of requests without a final answer.
    pub(crate) open_requests: Cell<usize>,
}

/// What this host knows of the fleet: configuration, servers, weights and other hosts.
pub(crate) struct State {
    /// The era of the store that this state takes into account; 0 while none is known.
    pub(crate) era: Era,
    pub(crate) config: Option<Arc<Configuration>>,
    /// The document of the configuration in force, as it was received.
    pub(crate) config_text: Option<Rc<RawValue>>,
    /// When the configuration was last confirmed to be the newest, by the clock that also runs while the host is
    /// suspended.
    pub(crate) proof: Proof,
    pub(crate) directory: Directory,
    /// The store's objects, for hosts that follow this one or cannot reach the store.
    pub(crate) entries: Entries,
    pub(crate) versions: Versions,
    pub(crate) holdings: Holdings,
    pub(crate) budget: Budget,
    /// The accounts of teams with a rate limit.
    pub(crate) quotas: quota::Book,
    /// The other hosts that share the retry budget and the connections to servers.
    pub(crate) sharers: Sharers<IpAddr>,
    pub(crate) reach: Reach,
    /// Evidence against prompt parts that may crash servers.
    pub(crate) suspicions: Suspicions,
    /// Reachable stores of cached prompt parts.
    pub(crate) part_stores: Vec<PartStore>,
    pub(crate) peers: Peers<IpAddr>,
    /// The requests that other hosts have sent since their reports; `None` if placement takes reports as they are.
    pub(crate) estimate: Option<Estimate>,
    /// Fleet size from which on the estimate is used for placement.
    pub(crate) even_load_hosts: usize,
    pub(crate) hosts: HashMap<IpAddr, Host>,
    pub(crate) config_feed: Feed,
    pub(crate) servers_feed: Feed,
    pub(crate) weights_feed: Feed,
    /// Shared prompt parts that this host recently sent to servers, to be reported to other hosts.
    pub(crate) recent_parts: VecDeque<RecentPart>,
    /// Servers that recently told this host that they leave, to be reported to other hosts.
    pub(crate) departures: VecDeque<(Moment, ServerKey)>,
    /// Weights updates of servers that this host runs, and those that it has recently ended.
    pub(crate) updates: HashMap<(ServerKey, Model), updates::Status>,
}

/// What this host knows of another host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Host {
    pub(crate) last_seen: Moment,
    pub(crate) config_version: Version,
    pub(crate) servers_revision: Revision,
    pub(crate) servers_changed: Revision,
    pub(crate) connected: bool,
    /// The run of its process; `None` until the host itself has reported.
    pub(crate) incarnation: Option<u64>,
    pub(crate) data_centre: Option<DataCentre>,
    /// Its link in Mbit/s; 0 while it is not known.
    pub(crate) link_mbps: u32,
    /// Whether it was asked to stop.
    pub(crate) stopping: bool,
}

/// How far this host has followed the store's changes of one kind of object.
#[derive(Clone, Debug, Default)]
pub(crate) struct Feed {
    /// Revision of the store up to which changes are known.
    pub(crate) revision: Revision,
    /// Revision of the newest change of an object. Unlike `revision` it can be compared between hosts.
    pub(crate) changed: Revision,
    /// Since when the store does not answer; `None` while it does.
    pub(crate) lost_since: Option<Moment>,
    /// Whether a complete list, or an answer of the followed host, has been received.
    pub(crate) loaded: bool,
    /// Until when all changes are known, by the clock that also runs while the host is suspended; `None` before the
    /// first answer.
    pub(crate) seen_until: Option<Moment>,
}

/// A shared prompt part that was recently sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentPart {
    pub(crate) since: Moment,
    pub(crate) part: u64,
    pub(crate) server: ServerKey,
    pub(crate) tokens: u32,
}

impl Feed {
    /// Returns the number of the newest change, or 0 if the list of the present era has not arrived or is empty.
    pub(crate) fn newest_change_in_era(&self) -> Version {
        let is_of_era = self.changed.era() == self.revision.era();
        if is_of_era { self.changed.number() } else { 0 }
    }

    /// Records how far another host has followed the store, whose changes this host has applied.
    pub(crate) fn advance(&mut self, revision: Revision, changed: Revision) {
        if revision.supersedes(self.revision) {
            self.revision = revision;
        }
        if changed.supersedes(self.changed) {
            self.changed = changed;
        }
    }

    /// Records that all changes until a moment are known.
    pub(crate) fn record_seen(&mut self, until: Moment) {
        self.seen_until = self.seen_until.max(Some(until));
    }

    /// Returns for how long before a moment changes are unknown.
    pub(crate) fn unseen_before(&self, moment: Moment) -> Option<Duration> {
        let seen_until = self.seen_until?;
        Some(moment.saturating_sub(seen_until))
    }

    /// Returns whether the store answers.
    pub(crate) fn is_connected(&self) -> bool {
        self.loaded && self.lost_since.is_none()
    }

    /// Returns whether the store answers, or did until less than `max_outage` ago.
    pub(crate) fn is_connected_within(&self, now: Moment, max_outage: Duration) -> bool {
        let lost = self.lost_since.map(|since| now.saturating_sub(since));
        self.loaded && lost.is_none_or(|lost| lost < max_outage)
    }
}

impl Hub {
    pub(crate) fn new(settings: Settings, metrics: Metrics, incarnation: u64) -> Self {
        // Nothing was spent before the first start of the fleet.
        let slack_from = if settings.bootstrap {
            Moment::ZERO
        } else {
            settings.budget.window
        };
        let state = State {
            era: 0,
            config: None,
            config_text: None,
            proof: Proof::new(settings.revocation),
            directory: Directory::default(),
            entries: Entries::default(),
            versions: Versions::new(settings.weights),
            holdings: Holdings::default(),
            budget: Budget::new(settings.budget.clone(), slack_from),
            quotas: quota::new_book(&settings),
            sharers: Sharers::default(),
            reach: Reach::default(),
            suspicions: Suspicions::default(),
            part_stores: Vec::new(),
            peers: Peers::default(),
            estimate: settings.even_load_hosts.map(|_| Estimate::default()),
            even_load_hosts: settings.even_load_hosts.unwrap_or(usize::MAX),
            hosts: HashMap::new(),
            config_feed: Feed::default(),
            servers_feed: Feed::default(),
            weights_feed: Feed::default(),
            recent_parts: VecDeque::new(),
            departures: VecDeque::new(),
            updates: HashMap::new(),
        };
        let timer = Timer::new();
        let relays = Relays::new(settings.listen.front.ip(), settings.link_mbps, timer.now());
        let inner_buffers = Buffers::new(settings.inner_buffer_bytes);
        Self {
            store: Store::new(settings.store, inner_buffers.clone()),
            buffers: Buffers::new(settings.buffer_bytes),
            inner_buffers,
            waiting: Waiting::new(settings.buffer_bytes),
            accounts: Accounts::new(settings.caller_connections),
            unread_bytes: Arc::default(),
            relays: RefCell::new(relays),
            packed_copy: RefCell::new(None),
            source: watch::Sender::new(Source::Unknown),
            settings: RefCell::new(settings),
            incarnation,
            timer,
            metrics,
            pool: Pool::default(),
            state: RefCell::new(state),
            weights_changed: Notify::new(),
            relist_servers: Notify::new(),
            report_now: Notify::new(),
            stopping: watch::Sender::new(false),
            stop_requested_at: Cell::new(None),
            ended: Cell::new(false),
            lease_may_be_free: Cell::new(false),
            reported_lease: RefCell::new(None),
            held_lease: RefCell::new(None),
            abandoned_fence: Cell::new(None),
            tasks_down: Cell::new(0),
            open_requests: Cell::new(0),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.timer.now()
    }

    /// Updates the estimate of the servers' load, and its metrics.
    pub(crate) fn observe_load(&self, now: Moment) {
        let state = &mut *self.state.borrow_mut();
        let Some(estimate) = &mut state.estimate else {
            return;
        };
        let peers = &state.peers;
        let samples = state.directory.iter().map(|server| Sample {
            service: &server.entry.service,
            own: server.load.active,
            others: peers.total(server.key).active,
        });
        estimate.observe(now, samples);
        for (service, summary) in estimate.summaries(peers.mean_age(now)) {
            let measures = [
                ("mean", summary.mean),
                ("busiest", summary.busiest),
                ("unreported", summary.unreported),
            ];
            for (measure, value) in measures {
                let gauge = &self.metrics.server_load;
                gauge
                    .with_label_values(&[service.as_str(), measure])
                    .set(value);
            }
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the host can serve: it knows a configuration and servers, all of its tasks run, and it has not
    /// been asked to stop.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let knows_enough = state.config.is_some() && !state.directory.is_empty();
        knows_enough && self.tasks_down.get() == 0 && !self.is_stopping()
    }

    /// Puts a configuration in force if it is newer than the present one. Returns its version, if it can be read.
    pub(crate) fn adopt_config(&self, text: &RawValue, source: &str) -> Option<Version> {
        let draft = match jaystand_adapter::config::decode(text.get().as_bytes()) {
            Ok(draft) => draft,
            Err(error) => {
                log::error!(source; "configuration cannot be read, the former one stays: {error}");
                return None;
            }
        };
        let mut state = self.state.borrow_mut();
        let version = draft.version;
        let known = state.config.as_ref().map_or(0, |config| config.version());
        if version <= known {
            return Some(version);
        }
        let (config, problems) = Configuration::check(draft);
        for problem in problems {
            log::error!(version, source; "part of the configuration is left out: {problem}");
        }
        log::info!(version, former = known, routes = config.routes(), source; "configuration in force");
        self.metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let former = state.config.clone();
        quota::set_limits(self, &mut state.quotas, former.as_deref(), &config);
        let (added, dropped) = state
            .directory
            .set_services(config.service_names().cloned());
        if added + dropped > 0 {
            log::info!(version, added, dropped; "servers in use changed with the configuration");
            self.weights_changed.notify_one();
        }
        self.count_servers(&state.directory);
        state.config = Some(Arc::new(config));
        state.config_text = Some(Rc::from(text.to_owned()));
        state.entries.record_config_change();
        Some(version)
    }

    /// Records a named weights version that this host learned of.
    pub(crate) fn record_named_weights(
        &self,
        model: &Model,
        version: Version,
        sighting: Sighting,
        source: &str,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.versions.record(now, model, version, sighting) {
            log::info!(model = model.as_str(), version, source; "weights named");
            state.entries.record_weights_change();
            self.weights_changed.notify_one();
        }
    }

    /// Runs a task for as long as the process runs, and starts it again when it panics.
    pub(crate) fn spawn_supervised<F>(
        self: &Rc<Self>,
        name: &'static str,
        task: impl Fn(Rc<Self>) -> F + 'static,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let (hub, hub_for_report) = (Rc::clone(self), Rc::clone(self));
        let report = move |down: bool| {
            let tasks = hub_for_report.tasks_down.get();
            hub_for_report
                .tasks_down
                .set(if down { tasks + 1 } else { tasks - 1 });
            if down {
                hub_for_report.metrics.panics.inc();
            }
        };
        supervise::restart_on_panic(name, move || task(Rc::clone(&hub)), report);
    }

    /// Records the era of the store that another host knows.
    pub(crate) fn learn_era(&self, era: Era) {
        self.store.learn_era(era, "peer");
        self.enter_era();
    }

    /// Takes the latest known era of the store into account, before anything that the store or another host says in it.
    pub(crate) fn enter_era(&self) {
        let era = self.store.era();
        let mut state = self.state.borrow_mut();
        if era > state.era {
            if state.era > 0 {
                state.directory.store_restored(self.now());
            }
            state.era = era;
            self.metrics
                .store_era
                .set(i64::try_from(era).unwrap_or(i64::MAX));
            self.weights_changed.notify_one();
        }
    }

    /// Records whether the store answered a call for a kind of object.
    pub(crate) fn record_store_answer(&self, kind: Kind, answered: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let feed = state.feed(kind);
        let lost_since = feed.lost_since;
        match (lost_since, answered) {
            (Some(since), true) => {
                feed.lost_since = None;
                let outage_ms = whole_ms(now.saturating_sub(since));
                log::info!(feed = kind.as_str(), outage_ms; "the store answers again");
                if kind == Kind::Servers {
                    state.directory.store_returned(now);
                }
            }
            (None, false) => {
                feed.lost_since = Some(now);
                log::warn!(feed = kind.as_str(); "the store does not answer; going on with what is known");
                state.entries.wake_waiters();
            }
            _ => {}
        }
    }

    /// Chooses the source of configuration, servers and weights anew.
    pub(crate) fn choose_source(&self) {
        let source = self.relays.borrow_mut().choose(self.now(), host_id);
        let changed = self.source.send_if_modified(|former| {
            let changed = *former != source;
            *former = source;
            changed
        });
        if changed {
            log::info!(source:? = source; "source of configuration, servers and weights chosen");
        }
    }

    /// Records that another host follows this one.
    pub(crate) fn record_follower(&self) {
        self.relays.borrow_mut().record_follower(self.now());
        self.choose_source();
    }

    /// Records that the host that this one follows does not answer, or has lost the store.
    pub(crate) fn record_relay_failure(&self, host: IpAddr) {
        self.relays.borrow_mut().record_failure(self.now(), host);
        self.choose_source();
    }

    /// Returns the number of hosts of the fleet that follow the store.
    pub(crate) fn count_store_followers(&self) -> usize {
        let mut links: HashMap<DataCentre, Vec<u32>> = HashMap::new();
        let settings = self.settings.borrow();
        links.insert(settings.data_centre.clone(), vec![settings.link_mbps]);
        let state = self.state.borrow();
        for host in state.hosts.values() {
            if let Some(data_centre) = &host.data_centre {
                links
                    .entry(data_centre.clone())
                    .or_default()
                    .push(host.link_mbps);
            }
        }
        source::count_store_followers(links.into_values())
    }

    /// Returns whether the configuration is the newest as far as this host can tell: the store answers, or other hosts
    /// that reach it have reported recently and none of them has a newer one.
    pub(crate) fn config_is_confirmed(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        if state.config_feed.is_connected() {
            return true;
        }
        let version = state.config.as_ref().map_or(0, |config| config.version());
        let fresh = |host: &&Host| {
            host.connected && now.saturating_sub(host.last_seen) < MAX_PEER_REPORT_AGE
        };
        let mut hosts = state.hosts.values().filter(fresh).peekable();
        hosts.peek().is_some() && hosts.all(|host| host.config_version <= version)
    }

    /// Returns whether API keys may be accepted: the configuration was confirmed recently enough that no revoked key
    /// is accepted for too long.
    pub(crate) fn accepts_keys(&self) -> bool {
        let state = self.state.borrow();
        let in_force = state.config.as_ref().map_or(0, |config| config.version());
        state.proof.accepts_keys(clock::since_boot(), in_force)
    }

    /// Returns a connection to the pool after its last answer was read to the end.
    pub(crate) async fn return_connection(&self, pooled: Pooled, stated_idle: Option<Duration>) {
        let max_idle = self.max_idle_connections(pooled.server);
        self.pool.release(pooled, stated_idle, max_idle).await;
    }

    /// Returns how many idle connections this host may keep to a server: half of its share of the connections that the
    /// server accepts from all hosts together.
    fn max_idle_connections(&self, server: ServerKey) -> usize {
        let hosts = self.share_count();
        let state = self.state.borrow();
        let service = state.directory.get(server).and_then(|server| {
            let config = state.config.as_ref()?;
            config.service(&server.entry.service)
        });
        let accepted = service.map_or(0, |service| service.connections);
        usize::try_from(accepted).unwrap_or(usize::MAX) / hosts / 2
    }

    /// Returns the largest accepted request body, in bytes: 0 without a configuration, since no request is admitted
    /// then.
    pub(crate) fn body_limit(&self) -> usize {
        let state = self.state.borrow();
        let config = state.config.as_ref();
        config.map_or(0, |config| config.limits().body_bytes)
    }

    /// Closes the connections of clients that are too slow, and updates the metrics of connections.
    pub(crate) fn sweep_connections(&self) {
        let config = self.state.borrow().config.clone();
        let (head_timeout, idle_timeout) = config.map_or(
            (front::DEFAULT_HEAD_TIMEOUT, front::DEFAULT_IDLE_TIMEOUT),
            |config| {
                let limits = config.limits();
                (limits.head_timeout, limits.idle_timeout)
            },
        );
        let clients = &self.metrics.clients;
        for (listener, account) in self.accounts.all() {
            account.sweep(head_timeout, idle_timeout);
            let open = i64::try_from(account.len()).unwrap_or(i64::MAX);
            let connections = &clients.open_connections;
            connections.with_label_values(&[listener]).set(open);
            for reason in Shed::ALL {
                let shed = account.take_shed(reason);
                if shed == 0 {
                    continue;
                }
                let labels = [listener, reason.as_str()];
                clients.shed.with_label_values(&labels).inc_by(shed);
                if reason != Shed::Idle {
                    log::warn!(listener, reason = reason.as_str(), shed, open; "connections shed");
                }
            }
        }
        let held = [
            ("bodies", self.buffers.used_bytes()),
            ("streams", self.unread_bytes.load(Ordering::Relaxed)),
        ];
        for (kind, bytes) in held {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            clients.held_bytes.with_label_values(&[kind]).set(bytes);
        }
    }

    /// Returns the number of hosts that share the retry budget and the connections to servers, this one included.
    pub(crate) fn share_count(&self) -> usize {
        self.state.borrow().sharers.count() + 1
    }

    /// Returns the number of live hosts, this one included.
    pub(crate) fn host_count(&self) -> usize {
        let state = self.state.borrow();
        state.hosts.len().max(state.peers.len()) + 1
    }
}

impl State {
    /// Returns the estimate of the servers' load if the fleet is large enough to use it. In a fleet of six to eight hosts
    /// each knows most of the load from fresh reports, and the lowest score serves more requests in time.
    pub(crate) fn placement_estimate(&self) -> Option<&Estimate> {
        let is_used = self.sharers.count() + 1 >= self.even_load_hosts;
        self.estimate.as_ref().filter(|_| is_used)
    }

    /// Records that a version of the configuration was the newest one at a time.
    pub(crate) fn confirm_config(&mut self, version: Version, at: Moment) {
        let in_force = self.config.as_ref().map_or(0, |config| config.version());
        self.proof.confirm(version, at, in_force);
    }

    /// Returns whether this host is in touch with the store, directly or through another host.
    pub(crate) fn is_connected(&self) -> bool {
        self.config_feed.is_connected() && self.servers_feed.is_connected()
    }

    /// Returns whether this host is in touch with the store, or was until less than `max_outage` ago.
    pub(crate) fn is_connected_within(&self, now: Moment, max_outage: Duration) -> bool {
        let feeds = [&self.config_feed, &self.servers_feed];
        feeds
            .into_iter()
            .all(|feed| feed.is_connected_within(now, max_outage))
    }

    /// Records which servers have prompts to compute, by the requests that this host and the others have sent.
    pub(crate) fn observe_prompts(&mut self, now: Moment) {
        let peers = &self.peers;
        self.directory.observe_prompts(now, |server| {
            Duration::from_micros(server.load.prefill_us + peers.total(server.key).prefill_us)
        });
    }

    pub(crate) fn feed(&mut self, kind: Kind) -> &mut Feed {
        match kind {
            Kind::Config => &mut self.config_feed,
            Kind::Servers => &mut self.servers_feed,
            Kind::Weights => &mut self.weights_feed,
        }
    }
}

jaystand_types::common! { value
    /// A kind of object that the process follows in the store.
    pub(crate) enum Kind {
        /// The configuration.
        Config,
        /// Server entries.
        Servers,
        /// Named weights.
        Weights,
    }
}

impl Kind {
    /// Returns the kind's name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Servers => "servers",
            Self::Weights => "weights",
        }
    }

    /// Returns the kind's name in the store.
    pub(crate) const fn store_kind(self) -> &'static str {
        match self {
            Self::Config => jaystand_adapter::config::KIND,
            Self::Servers => entry::SERVERS_KIND,
            Self::Weights => entry::WEIGHTS_KIND,
        }
    }
}

/// Returns the id of a host in rendezvous orders, which is the same on all hosts.
pub(crate) fn host_id(host: IpAddr) -> u64 {
    match host {
        IpAddr::V4(address) => prompt::hash(&address.octets()),
        IpAddr::V6(address) => prompt::hash(&address.octets()),
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether an object of this name holds the configuration in force.
pub(crate) fn is_config(name: &CompactString) -> bool {
    name == jaystand_adapter::config::NAME
}
