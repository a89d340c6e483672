//! Reports between hosts, and copies of what the store holds for hosts that cannot reach it.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use jaystand_dispatch::{
    lease::Record,
    load::Load,
    report::{self, Schedule},
    weights::Age,
};
use jaystand_types::{DataCentre, Model, Moment, ServerName, Version};
use prost::Message;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{sleep, timeout},
};

use crate::{
    clock, feed, front,
    hub::{Host, Hub, PEER_FRESH, State, whole_ms},
    link::Link,
};

/// Hosts that a whole report goes to at most.
const MOST_RECEIVERS: usize = 8;
/// Shared parts are reported for this long, since reports may be lost.
const PARTS_REPEATED: Duration = Duration::from_millis(450);
/// Parts that a report names at most.
const MOST_PARTS: usize = 64;
/// Hosts that a report names, so that every host learns of all.
const NAMED_HOSTS: usize = 8;
/// A host that has not reported for this long is gone.
const HOST_EXPIRY: Duration = Duration::from_secs(4);
/// Seeds that do not report are tried this often: they may be down, or gone for good.
const SEED_PERIOD: Duration = Duration::from_secs(1);
/// How often a host checks whether it needs a copy.
const COPY_PERIOD: Duration = Duration::from_millis(250);
/// A configuration that a peer has and this host lacks usually comes from the store within this time.
const COPY_PATIENCE: Duration = Duration::from_millis(500);
/// Time allowed for a copy.
const COPY: Duration = Duration::from_millis(600);
/// Largest copy: a configuration of up to 1 MB, entries of some hundred servers.
const MOST_COPY: usize = 8 << 20;
/// Largest report.
const MOST_REPORT: usize = 8_192;
/// Token counts travel in this unit.
const TOKEN_UNIT: u64 = 64;

/// What a host reports to others.
#[derive(Clone, PartialEq, Message)]
struct Report {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    config_version: u64,
    #[prost(uint64, tag = "3")]
    servers_revision: u64,
    #[prost(bool, tag = "4")]
    connected: bool,
    #[prost(bool, tag = "5")]
    stopping: bool,
    #[prost(fixed32, repeated, tag = "6")]
    hosts: Vec<u32>,
    #[prost(message, repeated, tag = "7")]
    loads: Vec<LoadEntry>,
    #[prost(message, repeated, tag = "8")]
    updates: Vec<UpdateEntry>,
    #[prost(message, repeated, tag = "9")]
    weights: Vec<WeightsEntry>,
    #[prost(message, optional, tag = "10")]
    lease: Option<LeaseEntry>,
    #[prost(string, tag = "11")]
    data_centre: String,
    #[prost(uint64, optional, tag = "12")]
    abandoned_fence: Option<u64>,
    #[prost(message, repeated, tag = "13")]
    parts: Vec<PartEntry>,
    #[prost(enumeration = "Scope", tag = "14")]
    scope: i32,
    #[prost(uint64, tag = "15")]
    servers_changed: u64,
}

/// What a report states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum Scope {
    /// Everything.
    Whole = 0,
    /// Loads, updates and parts, which placement needs.
    Brief = 1,
    /// Updates that have just changed.
    News = 2,
}

#[derive(Clone, PartialEq, Message)]
struct LeaseEntry {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(string, tag = "2")]
    holder: String,
    #[prost(uint64, tag = "3")]
    fence: u64,
    #[prost(uint64, tag = "4")]
    renewal: u64,
}

#[derive(Clone, PartialEq, Message)]
struct PartEntry {
    #[prost(fixed64, tag = "1")]
    part: u64,
    #[prost(uint64, tag = "2")]
    server: u64,
    #[prost(uint32, tag = "3")]
    tokens: u32,
}

#[derive(Clone, PartialEq, Message)]
struct LoadEntry {
    #[prost(uint64, tag = "1")]
    server: u64,
    #[prost(uint32, tag = "2")]
    active: u32,
    #[prost(uint64, tag = "3")]
    prefill: u64,
    #[prost(uint64, tag = "4")]
    memory: u64,
}

#[derive(Clone, PartialEq, Message)]
struct UpdateEntry {
    #[prost(uint64, tag = "1")]
    server: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(bool, tag = "3")]
    done: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WeightsEntry {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(bool, tag = "4")]
    presumed: bool,
}

/// A copy of what the store holds.
#[derive(Serialize, Deserialize)]
struct Copy {
    config: Option<Rc<RawValue>>,
    servers_revision: Version,
    servers: Vec<(ServerName, Rc<RawValue>)>,
    weights: Vec<(Model, Version)>,
    /// The newest configuration, and the milliseconds since it was known to be the newest.
    proven: Option<(Version, u64)>,
}

/// Reports to other hosts for as long as the process runs.
///
/// A few hosts, others each time, get a whole report; all others get a brief one. What must be known at once goes to
/// all as news.
pub(crate) async fn report(hub: Rc<Hub>, socket: Rc<UdpSocket>) {
    let mut ticks = hub.timer.every(report::PERIOD);
    let mut seeds_tried = Moment::ZERO;
    let mut schedule = Schedule::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = hub.report_now.notified() => {
                let due = schedule.news(hub.now(), hub.hosts());
                sleep(due.saturating_sub(hub.now())).await;
                let now = hub.now();
                let news = compose(&hub, now).news(&hub, now);
                send(&hub, &socket, &news, &live_hosts(&hub, now)).await;
                continue;
            }
        }
        let now = hub.now();
        let mut others = live_hosts(&hub, now);
        others.shuffle(&mut rand::rng());
        let mut rest = others.split_off(others.len().min(MOST_RECEIVERS));
        rest.truncate(report::MOST_BRIEF);
        let mut receivers = others;
        if now.saturating_sub(seeds_tried) >= SEED_PERIOD {
            seeds_tried = now;
            let settings = hub.settings.borrow();
            let own = settings.listen.front.ip();
            let unheard = settings.seeds.iter().filter(|seed| **seed != own);
            let unheard = unheard.filter(|seed| !receivers.contains(seed) && !rest.contains(seed));
            receivers.extend(unheard.copied().collect::<Vec<_>>());
        }
        let whole = compose(&hub, now);
        send(&hub, &socket, &whole, &receivers).await;
        if schedule.regular() {
            send(&hub, &socket, &whole.shortened(), &rest).await;
        }
    }
}

async fn send(hub: &Hub, socket: &UdpSocket, report: &Report, receivers: &[IpAddr]) {
    if receivers.is_empty() {
        return;
    }
    let bytes = report.encode_to_vec();
    let port = hub.settings.borrow().peer_port;
    for receiver in receivers {
        // Reports may be lost; the next one says the same.
        if let Err(error) = socket
            .send_to(&bytes, SocketAddr::new(*receiver, port))
            .await
        {
            log::debug!("cannot report to {receiver}: {error}");
        }
    }
}

impl Report {
    /// The part of a report that placement needs.
    fn shortened(&self) -> Self {
        Self {
            incarnation: self.incarnation,
            stopping: self.stopping,
            lease: self.lease.clone(),
            loads: self.loads.clone(),
            updates: self.updates.clone(),
            parts: self.parts.clone(),
            scope: Scope::Brief.into(),
            ..Self::default()
        }
    }

    /// The part of a report that must be known at once.
    fn news(self, hub: &Hub, now: Moment) -> Self {
        let state = hub.state.borrow();
        let recent = |entry: &UpdateEntry| {
            let update = state.updates.get(&entry.server);
            update.is_some_and(|update| report::is_news(now, update.since))
        };
        Self {
            incarnation: self.incarnation,
            stopping: self.stopping,
            lease: self.lease,
            abandoned_fence: self.abandoned_fence,
            updates: self.updates.into_iter().filter(recent).collect(),
            scope: Scope::News.into(),
            ..Self::default()
        }
    }
}

fn live_hosts(hub: &Hub, now: Moment) -> Vec<IpAddr> {
    let mut state = hub.state.borrow_mut();
    state
        .hosts
        .retain(|_, host| now.saturating_sub(host.seen) < HOST_EXPIRY);
    let hosts = state.hosts.len();
    state.peers.expire(now, hosts);
    hub.metrics
        .peers
        .set(i64::try_from(state.peers.len()).unwrap_or(i64::MAX));
    state.hosts.keys().copied().collect()
}

fn compose(hub: &Hub, now: Moment) -> Report {
    let mut state = hub.state.borrow_mut();
    while state
        .fresh_parts
        .front()
        .is_some_and(|part| part.since + PARTS_REPEATED < now)
    {
        state.fresh_parts.pop_front();
    }
    let state = &*state;
    let busy = state
        .directory
        .iter()
        .filter(|server| !server.load.is_idle());
    let hosts: Vec<u32> = state
        .hosts
        .keys()
        .filter_map(|address| match address {
            IpAddr::V4(address) => Some(address.to_bits()),
            IpAddr::V6(_) => None,
        })
        .collect();
    Report {
        incarnation: hub.incarnation,
        config_version: state.config.as_ref().map_or(0, |config| config.version()),
        servers_revision: state.servers_feed.revision,
        servers_changed: state.servers_feed.changed,
        connected: state.config_feed.connected() && state.servers_feed.connected(),
        stopping: hub.is_stopping(),
        lease: hub
            .lease_held
            .borrow()
            .as_ref()
            .map(|(revision, record)| LeaseEntry {
                revision: *revision,
                holder: record.holder.to_string(),
                fence: record.fence,
                renewal: record.renewal,
            }),
        data_centre: hub.settings.borrow().data_centre.to_string(),
        abandoned_fence: hub.lease_abandoned.get(),
        hosts: hosts
            .sample(&mut rand::rng(), NAMED_HOSTS)
            .copied()
            .collect(),
        loads: busy
            .map(|server| LoadEntry {
                server: server.key,
                active: server.load.active,
                prefill: server.load.prefill / TOKEN_UNIT,
                memory: server.load.memory / TOKEN_UNIT,
            })
            .collect(),
        scope: Scope::Whole.into(),
        parts: state
            .fresh_parts
            .iter()
            .rev()
            .take(MOST_PARTS)
            .map(|part| PartEntry {
                part: part.part,
                server: part.server,
                tokens: part.tokens,
            })
            .collect(),
        updates: state
            .updates
            .iter()
            .map(|(server, news)| UpdateEntry {
                server: *server,
                version: news.version,
                done: news.done,
            })
            .collect(),
        weights: state
            .versions
            .ages(now)
            .map(|(model, version, age)| {
                let (length, presumed) = match age {
                    Age::Known(length) => (length, false),
                    Age::Presumed(length) => (length, true),
                };
                WeightsEntry {
                    model: model.to_string(),
                    version,
                    age_ms: whole_ms(length),
                    presumed,
                }
            })
            .collect(),
    }
}

/// Takes reports in for as long as the process runs.
pub(crate) async fn listen(hub: Rc<Hub>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MOST_REPORT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Report::decode(&buffer[..length]) {
                Ok(report) => take_in(&hub, from.ip(), &report),
                Err(error) => log::warn!("report of {from} cannot be read: {error}"),
            },
            Err(error) => log::debug!("cannot receive reports: {error}"),
        }
    }
}

fn take_in(hub: &Hub, from: IpAddr, report: &Report) {
    if report.incarnation == hub.incarnation {
        return;
    }
    for weights in &report.weights {
        let model = Model::from(weights.model.as_str());
        let age = Duration::from_millis(weights.age_ms);
        let age = if weights.presumed {
            Age::Presumed(age)
        } else {
            Age::Known(age)
        };
        hub.name_weights(&model, weights.version, Some(age), "peer");
    }
    let now = hub.now();
    let mut learned = Vec::new();
    {
        let own = hub.settings.borrow().listen.front.ip();
        let mut state = hub.state.borrow_mut();
        for bits in &report.hosts {
            let address = IpAddr::V4(Ipv4Addr::from_bits(*bits));
            if address != own {
                let new = Host {
                    seen: now,
                    ..Host::default()
                };
                state.hosts.entry(address).or_insert(new);
            }
        }
        let was_stopping = state.hosts.get(&from).is_some_and(|host| host.stopping);
        if report.stopping && !was_stopping {
            hub.lease_doubted.set(true);
            hub.weights_changed.notify_one();
        }
        let host = state.hosts.entry(from).or_default();
        host.seen = now;
        host.stopping = report.stopping;
        if report.scope() == Scope::Whole {
            take_in_whole(&mut state, now, from, report);
        }
        if report.abandoned_fence.is_some() && hub.lease_abandoned.get() < report.abandoned_fence {
            hub.lease_abandoned.set(report.abandoned_fence);
            hub.weights_changed.notify_one();
        }
        if let Some(lease) = &report.lease {
            let record = Record {
                holder: lease.holder.as_str().into(),
                fence: lease.fence,
                renewal: lease.renewal,
            };
            let heard = (clock::since_boot(), lease.revision, record);
            *hub.lease_heard.borrow_mut() = Some(heard);
        }
        for entry in &report.parts {
            state
                .holdings
                .sent(now, entry.part, entry.server, entry.tokens);
        }
        let loads = report.loads.iter().map(|entry| {
            let load = Load {
                active: entry.active,
                prefill: entry.prefill * TOKEN_UNIT,
                memory: entry.memory * TOKEN_UNIT,
            };
            (entry.server, load)
        });
        if report.scope() != Scope::News {
            state.peers.report(now, from, loads);
        }
        for update in &report.updates {
            let Some(server) = state.directory.get_mut(update.server) else {
                continue;
            };
            let Some((model, known)) = server.entry.weights.first().cloned() else {
                continue;
            };
            if update.done {
                learned.push((update.server, model, update.version));
            } else if known < update.version {
                server.set_updating(now, true);
            }
        }
    }
    for (server, model, version) in learned {
        hub.learn_version(server, &model, version, "peer");
    }
}

/// Takes in what only whole reports state.
fn take_in_whole(state: &mut State, now: Moment, from: IpAddr, report: &Report) {
    let host = Host {
        seen: now,
        config_version: report.config_version,
        servers_revision: report.servers_revision,
        servers_changed: report.servers_changed,
        connected: report.connected,
        stopping: report.stopping,
    };
    state.hosts.insert(from, host);
    state
        .reach
        .heard(now, &DataCentre::from(report.data_centre.as_str()));
}

/// Serves copies to other hosts.
pub(crate) async fn serve_copies(hub: Rc<Hub>, listener: TcpListener) {
    front::serve_text(hub, listener, |hub, _| {
        match serde_json::to_vec(&copy_of(hub)) {
            Ok(text) => (http::StatusCode::OK, text),
            Err(error) => {
                log::error!("cannot encode a copy: {error}");
                (http::StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        }
    })
    .await;
}

fn copy_of(hub: &Hub) -> Copy {
    let state = hub.state.borrow();
    let proven = state.proof.newest();
    let age = |at: Moment| clock::since_boot().saturating_sub(at);
    Copy {
        proven: proven.map(|(version, at)| (version, whole_ms(age(at)) + 1)),
        config: state.config_text.clone(),
        servers_revision: state.servers_feed.revision,
        servers: state
            .entries
            .iter()
            .map(|(name, text)| (name.clone(), Rc::clone(text)))
            .collect(),
        weights: state
            .versions
            .iter()
            .map(|(model, version)| (model.clone(), version))
            .collect(),
    }
}

/// Fetches copies from peers whenever they know more than this host.
pub(crate) async fn fetch_copies(hub: Rc<Hub>) {
    let mut ticks = hub.timer.every(COPY_PERIOD);
    let mut behind_since: Option<Moment> = None;
    let mut hangs_since: Option<Moment> = None;
    loop {
        let now = ticks.tick().await;
        if servers_hang(&hub, now) {
            let since = *hangs_since.get_or_insert(now);
            let patience = COPY_PATIENCE + feed::gather_pause(hub.hosts());
            if now.saturating_sub(since) > patience {
                hangs_since = None;
                hub.list_servers.notify_one();
            }
        } else {
            hangs_since = None;
        }
        let Some(source) = better_informed(&hub, now) else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        let empty = hub.state.borrow().config.is_none();
        if !empty && now.saturating_sub(since) < COPY_PATIENCE {
            continue;
        }
        // The age of the peer's proof counts from here: the answer may wait on the way.
        let asked = clock::since_boot();
        match timeout(COPY, fetch(&hub, source)).await {
            Ok(Ok(copy)) => {
                log::info!(peer:% = source, servers = copy.servers.len(); "copy of a peer taken in");
                adopt(&hub, &copy, asked);
            }
            Ok(Err(error)) => log::info!(peer:% = source; "no copy: {error}"),
            Err(_) => log::info!(peer:% = source; "no copy in time"),
        }
    }
}

/// Whether a live host knows newer servers although the feed of this host seems to work: its watch hangs.
fn servers_hang(hub: &Hub, now: Moment) -> bool {
    let state = hub.state.borrow();
    let feed = &state.servers_feed;
    let fresh = |host: &&Host| now.saturating_sub(host.seen) < PEER_FRESH;
    let mut hosts = state.hosts.values().filter(fresh);
    feed.connected() && hosts.any(|host| host.connected && host.servers_changed > feed.changed)
}

/// A live host that knows a newer configuration; or, while this host cannot reach the store, one that knows newer
/// servers, or can reach the store when this host needs proof of its configuration.
fn better_informed(hub: &Hub, now: Moment) -> Option<IpAddr> {
    let state = hub.state.borrow();
    let version = state.config.as_ref().map_or(0, |config| config.version());
    let cut_off = !state.servers_feed.connected();
    let unproven = state.proof.wants_renewal(clock::since_boot());
    let revision = state.servers_feed.revision;
    let better: Vec<IpAddr> = state
        .hosts
        .iter()
        .filter(|(_, host)| now.saturating_sub(host.seen) < PEER_FRESH)
        .filter(|(_, host)| {
            host.config_version > version
                || (cut_off && host.servers_revision > revision)
                || (unproven && host.connected)
        })
        .map(|(address, _)| *address)
        .collect();
    better.choose(&mut rand::rng()).copied()
}

async fn fetch(hub: &Hub, peer: IpAddr) -> std::io::Result<Copy> {
    let port = hub.settings.borrow().peer_port;
    let address = SocketAddr::new(peer, port);
    let mut link = Link::open(address, COPY, COPY).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/copy");
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let response = link.send(request).await.map_err(std::io::Error::other)?;
    let body = Limited::new(response.into_body(), MOST_COPY)
        .collect()
        .await;
    let body = body.map_err(std::io::Error::other)?.to_bytes();
    serde_json::from_slice(&body).map_err(std::io::Error::other)
}

fn adopt(hub: &Hub, copy: &Copy, asked: Moment) {
    if let Some(config) = &copy.config {
        hub.adopt_config(config, "peer");
    }
    if let Some((version, age_ms)) = copy.proven
        && let Some(at) = asked.checked_sub(Duration::from_millis(age_ms))
    {
        hub.state.borrow_mut().proof.confirm(version, at);
    }
    for (model, version) in &copy.weights {
        hub.name_weights(model, *version, None, "peer");
    }
    let behind = {
        let state = hub.state.borrow();
        !state.servers_feed.connected() && copy.servers_revision > state.servers_feed.revision
    };
    if behind {
        hub.replace_servers(copy.servers.iter().map(|(name, text)| (name, &**text)));
        hub.state.borrow_mut().servers_feed.revision = copy.servers_revision;
    }
}
