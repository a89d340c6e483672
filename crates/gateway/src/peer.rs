//! Reports between hosts: membership, loads, updates and the lease on weight orders.
//!
//! A host that learns from reports that others know more fetches a copy of the store's objects from one of them.

use std::{
    collections::VecDeque,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jaystand_dispatch::{
    lease::{Fence, Record},
    limit::{self, Fleet, Rate},
    notice::LimitChange,
    report::{self, Schedule},
    revision::Revision,
    source::Source,
    weights::{Age, Sighting},
};
use jaystand_types::{DataCentre, Model, Moment};
use prost::Message;
use rand::seq::{IndexedRandom as _, IteratorRandom as _, SliceRandom as _};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    clock, copy, feed,
    hub::{Host, Hub, MAX_PEER_REPORT_AGE, State, host_id, whole_ms},
    message::{
        Group, LeaseEntry, LimitEntry, Loads, Parts, Report, Scope, SpeedEntry, WeightsEntry,
    },
    quota,
    servers::log_limit_change,
    suspect::{SuspicionEntry, apply_suspicions, compose_suspicions, count_suspected},
    updates,
};

/// Shared parts are reported for this long, since reports may be lost.
const PARTS_REPORTED_FOR: Duration = Duration::from_millis(450);
/// Largest number of parts that a report names.
const MAX_PARTS: usize = 64;
/// Largest number of other hosts that a report names. Each report names a new random choice, so that every host learns
/// of all.
const MAX_NAMED_HOSTS: usize = 8;
/// A host that has not reported for this long is gone.
const HOST_EXPIRY: Duration = Duration::from_secs(4);
/// Seeds that do not report are sent a report this often: they may be down, or gone for good.
const SEED_PERIOD: Duration = Duration::from_secs(1);
/// A process counts as new while it has run for less than this and knows fewer hosts than the next constant.
const MAX_NEW_AGE: Duration = Duration::from_secs(3);
const MAX_KNOWN_HOSTS_IF_NEW: usize = 24;
/// A process takes no share of a limit for this long after its start, since it may not know all hosts yet.
const SHARES_DELAY: Duration = Duration::from_secs(1);
/// How often a host checks which source it follows, and whether it needs a copy from a peer.
const COPY_PERIOD: Duration = Duration::from_millis(250);
/// A configuration that a peer has and this host lacks usually arrives from the store within this time.
const COPY_DELAY: Duration = Duration::from_millis(500);
/// A server's departure is reported for this long, so that hosts that start meanwhile learn of it. Afterwards the
/// store shows the server's entry as leaving or gone.
const DEPARTURES_REPORTED_FOR: Duration = Duration::from_secs(10);
/// Largest number of departures that a report names, the newest ones.
const MAX_DEPARTURES: usize = 64;
/// Largest number of limits that a report names.
const MAX_LIMITS: usize = 64;
/// Largest number of servers whose speeds a report names. Each report names a new random choice. At 15 bytes each and 40
/// whole reports a second they take 20 KB/s.
const MAX_SPEEDS: usize = 32;
/// Largest report that can be received.
const MAX_REPORT_BYTES: usize = 8_192;
/// Sends reports to other hosts for as long as the process runs.
///
/// In each period a few random hosts get a whole report, and others, up to a limit, a brief one. What must be known at
/// once is sent to all live hosts as news.
pub(crate) async fn send_reports(hub: Rc<Hub>, socket: Rc<UdpSocket>) {
    let mut ticks = hub.timer.every(report::PERIOD);
    let mut seeds_tried = Moment::ZERO;
    let mut schedule = Schedule::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = hub.report_now.notified() => {
                let due = schedule.schedule_news(hub.now(), hub.host_count());
                sleep(due.saturating_sub(hub.now())).await;
                let now = hub.now();
                let news = compose_report(&hub, now).news(&hub, now);
                quota::record_sent(&hub, news.quota.as_ref());
                send_report(&hub, &socket, &news, &live_hosts(&hub, now)).await;
                continue;
            }
        }
        let now = hub.now();
        hub.state.borrow_mut().observe_prompts(now);
        hub.observe_load(now);
        let mut others = live_hosts(&hub, now);
        share_limits(&hub, now);
        hub.state.borrow_mut().suspicions.expire(now);
        count_suspected(&hub);
        others.shuffle(&mut rand::rng());
        let mut brief_receivers = others.split_off(others.len().min(report::MAX_WHOLE_RECEIVERS));
        brief_receivers.truncate(report::MAX_BRIEF_RECEIVERS);
        let mut whole_receivers = others;
        if whole_receivers.is_empty() || now.saturating_sub(seeds_tried) >= SEED_PERIOD {
            seeds_tried = now;
            let settings = hub.settings.borrow();
            let local_address = settings.listen.front.ip();
            let other_seeds = settings.seeds.iter().filter(|seed| **seed != local_address);
            let other_seeds = other_seeds
                .filter(|seed| !whole_receivers.contains(seed) && !brief_receivers.contains(seed));
            whole_receivers.extend(other_seeds.copied().collect::<Vec<_>>());
        }
        let whole = compose_report(&hub, now);
        quota::record_sent(&hub, whole.quota.as_ref());
        send_report(&hub, &socket, &whole, &whole_receivers).await;
        send_report(&hub, &socket, &whole.brief(), &brief_receivers).await;
    }
}

async fn send_report(hub: &Hub, socket: &UdpSocket, report: &Report, receivers: &[IpAddr]) {
    if receivers.is_empty() {
        return;
    }
    let bytes = report.encode_to_vec();
    let port = hub.settings.borrow().peer_port;
    for receiver in receivers {
        // Reports may be lost; the next one repeats the content.
        if let Err(error) = socket
            .send_to(&bytes, SocketAddr::new(*receiver, port))
            .await
        {
            log::debug!("cannot report to {receiver}: {error}");
        }
    }
}

impl Report {
    fn recent_suspicions(&self) -> Vec<SuspicionEntry> {
        let recent = self.suspicions.iter().filter(|entry| entry.is_recent());
        recent.cloned().collect()
    }

    /// Returns the brief form of a report.
    fn brief(&self) -> Self {
        Self {
            incarnation: self.incarnation,
            era: self.era,
            stopping: self.stopping,
            lease: self.lease.clone(),
            loads: self.loads.clone(),
            updates: self.updates.clone(),
            model_updates: self.model_updates.clone(),
            parts: self.parts.clone(),
            departures: self.departures.clone(),
            limits: self.limits.clone(),
            suspicions: self.recent_suspicions(),
            quota: self.quota.clone(),
            scope: Scope::Brief.into(),
            data_centre: self.data_centre.clone(),
            link: self.link,
            ..Self::default()
        }
    }

    /// Returns the part of a report that peers must learn at once.
    fn news(self, hub: &Hub, now: Moment) -> Self {
        let suspicions = self.recent_suspicions();
        let state = hub.state.borrow();
        let (updates, model_updates) =
            updates::compose(&state, |update| report::is_news(now, update.since));
        Self {
            incarnation: self.incarnation,
            era: self.era,
            stopping: self.stopping,
            lease: self.lease,
            abandoned_fence: self.abandoned_fence,
            updates,
            model_updates,
            departures: self.departures,
            limits: self.limits,
            suspicions,
            quota: self.quota.and_then(|quota| quota.news(&state)),
            scope: Scope::News.into(),
            data_centre: self.data_centre,
            link: self.link,
            ..Self::default()
        }
    }
}

/// Returns the speeds of some random servers, by this host's requests.
fn compose_speeds(state: &State, now: Moment) -> Vec<SpeedEntry> {
    if state.estimate.is_none() {
        return Vec::new();
    }
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let speeds = state.directory.iter().filter_map(|server| {
        let (took, expected) = server.speed.to_report(now)?;
        Some(SpeedEntry {
            server: server.key,
            took_ms: millis(took),
            expected_ms: millis(expected),
        })
    });
    speeds.sample(&mut rand::rng(), MAX_SPEEDS)
}

/// Applies the speeds that another host has measured.
fn apply_speeds(state: &mut State, now: Moment, speeds: &[SpeedEntry]) {
    if state.estimate.is_none() {
        return;
    }
    for entry in speeds.iter().take(MAX_SPEEDS) {
        if let Some(server) = state.directory.get_mut(entry.server) {
            let took = Duration::from_millis(entry.took_ms.into());
            let expected = Duration::from_millis(entry.expected_ms.into());
            server.speed.merge(now, took, expected);
        }
    }
}

/// Returns the limits of servers, and the ends of limits that may not be known to all hosts yet.
fn compose_limits(state: &State, now: Moment) -> Vec<LimitEntry> {
    let limits = state.directory.limits(now);
    limits
        .into_iter()
        .take(MAX_LIMITS)
        .map(|(server, limit)| LimitEntry {
            server,
            millis: limit.rate.map_or(0, Rate::millis),
            // Rounded up, so that a statement never seems newer than it is.
            age_ms: whole_ms(limit.age) + 1,
        })
        .collect()
}

/// Removes the hosts that have not reported recently, and returns the others.
fn live_hosts(hub: &Hub, now: Moment) -> Vec<IpAddr> {
    let mut state = hub.state.borrow_mut();
    state
        .hosts
        .retain(|_, host| now.saturating_sub(host.last_seen) < HOST_EXPIRY);
    let hosts = state.hosts.len();
    state.sharers.expire(now);
    state.peers.expire(now, hosts);
    hub.metrics
        .peers
        .set(i64::try_from(state.peers.len()).unwrap_or(i64::MAX));
    state.hosts.keys().copied().collect()
}

/// Divides the limits of servers among the live hosts that are not stopping, and ends those that no host hears any more.
fn share_limits(hub: &Hub, now: Moment) {
    let takes_share = now >= SHARES_DELAY && !hub.is_stopping();
    let local = takes_share.then(|| host_id(hub.settings.borrow().listen.front.ip()));
    let mut state = hub.state.borrow_mut();
    let others = state.hosts.iter().filter(|(_, host)| !host.stopping);
    let others = others.map(|(address, _)| host_id(*address)).collect();
    state.directory.set_fleet(now, Fleet::new(local, others));
    for key in state.directory.expire_limits(now) {
        log_limit_change(&state.directory, key, Some(LimitChange::Ended), "silence");
    }
}

/// Drops the entries, the oldest first, that have been reported for longer than `reported_for`.
fn drop_expired<T>(
    entries: &mut VecDeque<T>,
    now: Moment,
    reported_for: Duration,
    since: impl Fn(&T) -> Moment,
) {
    while entries
        .front()
        .is_some_and(|oldest| since(oldest) + reported_for < now)
    {
        entries.pop_front();
    }
}

/// Composes a whole report of what this host knows.
fn compose_report(hub: &Hub, now: Moment) -> Report {
    let mut state = hub.state.borrow_mut();
    drop_expired(&mut state.recent_parts, now, PARTS_REPORTED_FOR, |part| {
        part.since
    });
    drop_expired(
        &mut state.departures,
        now,
        DEPARTURES_REPORTED_FOR,
        |entry| entry.0,
    );
    let quota = quota::compose(&mut state.quotas);
    let state = &*state;
    let busy = state
        .directory
        .iter()
        .filter(|server| !server.load.is_idle());
    let reporting: Vec<_> = reporting_hosts(state).collect();
    let (updates, model_updates) = updates::compose(state, |_| true);
    let named = reporting.sample(&mut rand::rng(), MAX_NAMED_HOSTS).copied();
    Report {
        incarnation: hub.incarnation,
        config_version: state.config.as_ref().map_or(0, |config| config.version()),
        era: hub.store.era(),
        servers_era: state.servers_feed.revision.era(),
        servers_revision: state.servers_feed.revision.number(),
        servers_changed: state.servers_feed.newest_change_in_era(),
        connected: state.is_connected(),
        stopping: hub.is_stopping(),
        lease: hub
            .held_lease
            .borrow()
            .as_ref()
            .map(|(revision, record)| LeaseEntry {
                era: revision.era(),
                revision: revision.number(),
                holder: record.holder.to_string(),
                fence: record.fence.into(),
                renewal: record.renewal,
            }),
        data_centre: hub.settings.borrow().data_centre.to_string(),
        abandoned_fence: hub.abandoned_fence.get().map(u64::from),
        groups: group_by_data_centre(named),
        new: is_new(state, now),
        link: hub.settings.borrow().link_mbps,
        loads: Loads::compose(busy),
        scope: Scope::Whole.into(),
        parts: Parts::compose(state.recent_parts.iter().rev().take(MAX_PARTS)),
        departures: state
            .departures
            .iter()
            .rev()
            .take(MAX_DEPARTURES)
            .map(|(_, server)| *server)
            .collect(),
        limits: compose_limits(state, now),
        suspicions: compose_suspicions(state, now),
        quota,
        speeds: compose_speeds(state, now),
        updates,
        model_updates,
        weights: state
            .versions
            .ages(now)
            .filter(|(model, ..)| state.directory.has_model(model))
            .map(|(model, version, age)| WeightsEntry {
                model: model.to_string(),
                version,
                age_ms: whole_ms(age.duration()),
                presumed: age.is_presumed(),
            })
            .collect(),
    }
}

/// Returns the hosts that have reported themselves and do not stop. Hosts that only others named may be dead, so they
/// are not named again.
fn reporting_hosts(state: &State) -> impl Iterator<Item = (&IpAddr, &DataCentre, u32)> {
    let reporting = state
        .hosts
        .iter()
        .filter(|(_, host)| host.incarnation.is_some() && !host.stopping);
    reporting
        .filter_map(|(address, host)| Some((address, host.data_centre.as_ref()?, host.link_mbps)))
}

/// Groups hosts by data centre. Hosts without an IPv4 address are left out.
fn group_by_data_centre<'a>(
    hosts: impl Iterator<Item = (&'a IpAddr, &'a DataCentre, u32)>,
) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for (address, data_centre, link) in hosts {
        let IpAddr::V4(address) = address else {
            continue;
        };
        let known = groups.iter().position(|g| g.data_centre == **data_centre);
        let index = known.unwrap_or_else(|| {
            groups.push(Group {
                data_centre: data_centre.to_string(),
                hosts: Vec::new(),
                links: Vec::new(),
            });
            groups.len() - 1
        });
        groups[index].hosts.push(address.to_bits());
        groups[index].links.push(link);
    }
    groups
}

/// Returns whether the process has just started, so that other hosts should name the hosts of its data centre.
fn is_new(state: &State, now: Moment) -> bool {
    now < MAX_NEW_AGE && state.hosts.len() < MAX_KNOWN_HOSTS_IF_NEW
}

/// Composes the report that names, for a host that has just started, the other hosts of its data centre.
fn compose_introduction(hub: &Hub, data_centre: &str) -> Report {
    let state = hub.state.borrow();
    let hosts = reporting_hosts(&state).filter(|(_, other, _)| **other == data_centre);
    Report {
        incarnation: hub.incarnation,
        era: hub.store.era(),
        stopping: hub.is_stopping(),
        data_centre: hub.settings.borrow().data_centre.to_string(),
        link: hub.settings.borrow().link_mbps,
        groups: group_by_data_centre(hosts),
        scope: Scope::News.into(),
        ..Report::default()
    }
}

/// Receives and applies reports for as long as the process runs.
pub(crate) async fn receive_reports(hub: Rc<Hub>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_REPORT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Report::decode(&buffer[..length]) {
                Ok(report) => {
                    apply_report(&hub, from.ip(), &report);
                    if report.new {
                        let introduction = compose_introduction(&hub, &report.data_centre);
                        send_report(&hub, &socket, &introduction, &[from.ip()]).await;
                    }
                }
                Err(error) => log::warn!("report of {from} cannot be read: {error}"),
            },
            Err(error) => log::debug!("cannot receive reports: {error}"),
        }
    }
}

/// Applies a report of another host.
fn apply_report(hub: &Hub, from: IpAddr, report: &Report) {
    if report.incarnation == hub.incarnation {
        return;
    }
    hub.learn_era(report.era);
    for weights in &report.weights {
        let model = Model::from(weights.model.as_str());
        let age = Age::new(Duration::from_millis(weights.age_ms), weights.presumed);
        hub.record_named_weights(&model, weights.version, Sighting::Stated(age), "peer");
    }
    let now = hub.now();
    {
        let mut state = hub.state.borrow_mut();
        record_hosts(hub, &mut state, now, from, report);
        let was_stopping = state.hosts.get(&from).is_some_and(|host| host.stopping);
        if report.stopping && !was_stopping {
            hub.lease_may_be_free.set(true);
            hub.weights_changed.notify_one();
        }
        let data_centre = DataCentre::from(report.data_centre.as_str());
        let host = state.hosts.entry(from).or_default();
        host.last_seen = now;
        host.stopping = report.stopping;
        host.incarnation = Some(report.incarnation);
        host.data_centre = Some(data_centre.clone());
        host.link_mbps = report.link;
        if report.scope() == Scope::Whole {
            host.config_version = report.config_version;
            host.servers_revision = Revision::new(report.servers_era, report.servers_revision);
            host.servers_changed = Revision::new(report.servers_era, report.servers_changed);
            host.connected = report.connected;
            state.reach.record_contact(now, &data_centre);
        }
        let abandoned = report.abandoned_fence.map(Fence::from);
        if abandoned.is_some() && hub.abandoned_fence.get() < abandoned {
            hub.abandoned_fence.set(abandoned);
            hub.weights_changed.notify_one();
        }
        if let Some(lease) = &report.lease {
            let record = Record {
                holder: lease.holder.as_str().into(),
                fence: lease.fence.into(),
                renewal: lease.renewal,
            };
            let revision = Revision::new(lease.era, lease.revision);
            let reported = (clock::since_boot(), revision, record);
            *hub.reported_lease.borrow_mut() = Some(reported);
        }
        for (part, server, tokens) in report.parts.iter().flat_map(Parts::iter) {
            state.holdings.record_sent(now, part, server, tokens);
        }
        if report.scope() != Scope::News {
            let loads = report.loads.iter().flat_map(Loads::iter);
            state.peers.record_report(now, from, loads);
        }
        for server in &report.departures {
            if state.directory.mark_leaving(*server) {
                log::info!(server = state.directory.name(*server), source = "peer"; "the server leaves");
            }
        }
        for entry in &report.limits {
            let statement = limit::Statement {
                rate: Rate::from_millis(entry.millis),
                age: Duration::from_millis(entry.age_ms),
            };
            let change = state.directory.learn_limit(now, entry.server, statement);
            log_limit_change(&state.directory, entry.server, change, "peer");
        }
        apply_suspicions(&mut state, now, &report.suspicions);
        apply_speeds(&mut state, now, &report.speeds);
    }
    updates::apply(hub, now, report);
}

/// Records the hosts that a report names, and its sender as a possible relay.
fn record_hosts(hub: &Hub, state: &mut State, now: Moment, from: IpAddr, report: &Report) {
    let settings = hub.settings.borrow();
    let local_address = settings.listen.front.ip();
    let mut relays = hub.relays.borrow_mut();
    for group in &report.groups {
        for (number, bits) in group.hosts.iter().enumerate() {
            let link = group.links.get(number).copied().unwrap_or(0);
            let address = IpAddr::V4(Ipv4Addr::from_bits(*bits));
            if address == local_address || state.hosts.contains_key(&address) {
                continue;
            }
            let named = Host {
                last_seen: now,
                data_centre: Some(group.data_centre.as_str().into()),
                link_mbps: link,
                ..Host::default()
            };
            state.hosts.insert(address, named);
            state.sharers.record(now, address);
            if group.data_centre == settings.data_centre {
                relays.record_contact(now, address, link);
            }
        }
    }
    let quota = report.quota.as_ref();
    quota::record(
        &mut state.quotas,
        from,
        report.incarnation,
        report.stopping,
        quota,
    );
    if report.stopping {
        state
            .sharers
            .record_stopping(now, from, settings.budget.window);
    } else {
        state.sharers.record(now, from);
    }
    if report.stopping {
        relays.remove(from);
    } else if report.data_centre == settings.data_centre {
        relays.record_contact(now, from, report.link);
    }
}

/// Fetches copies from peers that know more than this host, for as long as the process runs.
pub(crate) async fn fetch_copies(hub: Rc<Hub>) {
    let mut ticks = hub.timer.every(COPY_PERIOD);
    let mut behind_since: Option<Moment> = None;
    let mut hanging_since: Option<Moment> = None;
    loop {
        let now = ticks.tick().await;
        hub.choose_source();
        if servers_watch_hangs(&hub, now) {
            let since = *hanging_since.get_or_insert(now);
            let max_delay = COPY_DELAY + feed::batch_pause(hub.count_store_followers());
            if now.saturating_sub(since) > max_delay {
                hanging_since = None;
                recover_servers_feed(&hub);
            }
        } else {
            hanging_since = None;
        }
        let Some(source) = choose_better_informed(&hub, now) else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        let empty = hub.state.borrow().config.is_none();
        if !empty && now.saturating_sub(since) < COPY_DELAY {
            continue;
        }
        if let Err(error) = copy::fetch(&hub, source).await {
            log::info!(peer:% = source; "no copy: {error}");
        }
    }
}

/// Leaves a followed host that has fallen behind, or lists the servers again when the store is followed.
fn recover_servers_feed(hub: &Hub) {
    let source = *hub.source.borrow();
    if let Source::Host(host) = source {
        log::warn!(peer:% = host; "the followed host has fallen behind others; looking for another source");
        hub.record_relay_failure(host);
    } else {
        hub.relist_servers.notify_one();
    }
}

/// Returns whether a live host knows newer servers although this host's feed seems to work, which means that its watch
/// hangs.
fn servers_watch_hangs(hub: &Hub, now: Moment) -> bool {
    let state = hub.state.borrow();
    let feed = &state.servers_feed;
    let fresh = |host: &&Host| now.saturating_sub(host.last_seen) < MAX_PEER_REPORT_AGE;
    let mut hosts = state.hosts.values().filter(fresh);
    feed.is_connected()
        && hosts.any(|host| host.connected && host.servers_changed.supersedes(feed.changed))
}

/// Chooses a live host that knows a newer configuration; or, while this host cannot reach the store, one that knows
/// newer servers; or, when this host needs its configuration confirmed, one that can reach the store.
fn choose_better_informed(hub: &Hub, now: Moment) -> Option<IpAddr> {
    let state = hub.state.borrow();
    let version = state.config.as_ref().map_or(0, |config| config.version());
    let cut_off = !state.servers_feed.is_connected();
    let unconfirmed = state.proof.is_overdue(clock::since_boot());
    let revision = state.servers_feed.revision;
    let better: Vec<IpAddr> = state
        .hosts
        .iter()
        .filter(|(_, host)| now.saturating_sub(host.last_seen) < MAX_PEER_REPORT_AGE)
        .filter(|(_, host)| {
            host.config_version > version
                || (cut_off && host.servers_revision.supersedes(revision))
                || (unconfirmed && host.connected)
        })
        .map(|(address, _)| *address)
        .collect();
    better.choose(&mut rand::rng()).copied()
}
