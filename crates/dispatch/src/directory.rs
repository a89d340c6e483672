//! The backend servers that this host knows, by incarnation.
//!
//! Any writer may add entries to the store. An entry names a server to use only if the configuration in force names its
//! service. The others are kept, since servers of a new service may register before the configuration that names it
//! arrives, but count for nothing.
//!
//! A server that restarts under its old name is a new incarnation and inherits nothing from the old one. After an
//! outage of the platform's store, missing entries are kept for a grace period, since live servers write theirs again.
//! When the store has come back from an older copy, that copy may have entries of incarnations that are gone. Those get
//! no requests during the grace period, in which what was written after the copy is written again.

use std::{net::SocketAddr, num::NonZeroUsize, time::Duration};

use hashbrown::{HashMap, HashSet};
use jaystand_types::{DataCentre, Model, Moment, ServerName, Version};
use lru::LruCache;
use smallvec::SmallVec;

use crate::{
    ServerKey, ServiceName, capacity,
    estimate::Speed,
    health::Health,
    limit::{Call, Fleet, Rate, Statement},
    load::Load,
    notice::{Archive, Availability, Effect, LimitChange, Notice},
    pressure::Pressure,
    prompt,
};

/// Time within which live servers write their lapsed entries again after an outage of the store. The users' pages state
/// two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);
/// The end of a limit is reported for this long, since reports may be lost.
const LIMIT_END_REPORTED_FOR: Duration = Duration::from_secs(10);
/// A weights update counts as ended when no report has named it for this long. The lease holder reports it several
/// times a second.
const UPDATE_EXPIRY: Duration = Duration::from_millis(1_200);
/// An answer of another server at a server's address counts for this long unless the other server's entry has the address
/// too. The users' pages state that the entry of a server that has ended is removed after three heartbeats of 1.2 s.
const OCCUPANT_EXPIRY: Duration = Duration::from_secs(4);
/// Number of gone incarnations that are remembered.
const MAX_GONE: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

jaystand_types::common! { data
    /// The directory entry that a server writes about itself.
    pub struct Entry {
        /// Name, which a later incarnation may reuse.
        pub name: ServerName,
        /// Start of this incarnation, in milliseconds since the Unix epoch; 0 when not stated.
        pub started_ms: u64,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Where it runs.
        pub data_centre: DataCentre,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts no new requests.
        pub leaving: bool,
        /// Remaining time for which it is slow after its start.
        pub warm_up_left: Duration,
        /// Weights version of each model that it serves; empty for plain services.
        pub weights: SmallVec<[(Model, Version); 1]>,
    }
}

/// A server and the state that this host keeps about it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its latest entry.
    pub entry: Entry,
    /// Identity of the incarnation.
    pub key: ServerKey,
    /// Health, by the outcomes of this host's requests.
    pub health: Health,
    /// Load of the requests that this host sent to it.
    pub load: Load,
    /// The load that it takes, by the outcomes of this host's requests.
    pub capacity: capacity::Limit,
    /// Share of recent time that it spent on the prefill of all hosts' prompts.
    pub pressure: Pressure,
    /// Its speed, by the experience of all hosts.
    pub speed: Speed,
    missing_since: Option<Moment>,
    /// Until when each model is being updated.
    updating: SmallVec<[(Model, Moment); 1]>,
    /// Newest version of each model that the server's own entries have stated. The version in `entry` may be newer, by an
    /// answer or by another host.
    written: SmallVec<[(Model, Version); 1]>,
    /// Whether the configuration in force names its service.
    in_use: bool,
    /// Whether another server in use has the same address and started later.
    displaced: bool,
    /// The other server that answered at its address.
    occupant: Option<Occupant>,
    /// Whether the incarnation was gone, and its entry is back only since the store came back from an older copy.
    doubted: bool,
    /// Whether it leaves or has asked for a pause.
    availability: Availability,
}

jaystand_types::common! { data
    /// A server that answered at the address of another one.
    struct Occupant {
        name: ServerName,
        answered_at: Moment,
    }
}

jaystand_types::common! { value
    /// What an added or removed entry changed.
    pub enum Change {
        /// Nothing that affects requests.
        Nothing,
        /// The server is new, or runs as a new incarnation.
        Added,
        /// The entry is new, and the configuration in force does not name its service.
        Unused,
        /// The server leaves.
        Leaving,
        /// The server serves newer weights.
        Weights,
        /// The server was removed.
        Removed,
        /// The entry is missing but may return.
        Missing,
        /// The entry of a gone incarnation is back in an older copy of the store.
        Doubted,
    }
}

/// All known servers.
#[derive(Clone, Debug)]
pub struct Directory {
    servers: HashMap<ServerName, Server>,
    names: HashMap<ServerKey, ServerName>,
    /// Names of the servers with each address.
    addresses: HashMap<SocketAddr, SmallVec<[ServerName; 1]>>,
    /// Services that the configuration in force names; empty before one is known.
    services: HashSet<ServiceName>,
    /// Number of servers in use.
    used: usize,
    /// Until then missing entries are kept.
    grace_until: Moment,
    /// Whether the grace period began because the store came back from an older copy.
    restored: bool,
    /// Incarnations that are gone.
    gone: LruCache<ServerKey, ()>,
    /// Availability of incarnations that are not among the servers.
    archive: Archive,
    /// Limits of incarnations that have ended, for the next ones of their names. A server that starts again is still in
    /// need, and no host knows its new incarnation's limit before its first answer.
    former_limits: HashMap<ServerName, Availability>,
    /// The hosts among which limits are divided.
    fleet: Fleet,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            names: HashMap::new(),
            addresses: HashMap::new(),
            services: HashSet::new(),
            used: 0,
            grace_until: Moment::ZERO,
            restored: false,
            gone: LruCache::new(MAX_GONE),
            archive: Archive::default(),
            former_limits: HashMap::new(),
            fleet: Fleet::default(),
        }
    }
}

impl Entry {
    /// Returns the identity of the incarnation, which is equal on all hosts.
    #[must_use]
    pub fn key(&self) -> ServerKey {
        // Four bytes suffice for some hundred servers and keep the reports between hosts short.
        prompt::hash_all(&[self.name.as_bytes(), &self.started_ms.to_le_bytes()])
            & u64::from(u32::MAX)
    }

    /// Returns the weights version that the server serves of a model.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<Version> {
        find_version(&self.weights, model)
    }
}

impl Server {
    fn new(entry: Entry) -> Self {
        Self {
            key: entry.key(),
            written: entry.weights.clone(),
            entry,
            health: Health::default(),
            load: Load::default(),
            capacity: capacity::Limit::default(),
            pressure: Pressure::default(),
            speed: Speed::default(),
            missing_since: None,
            updating: SmallVec::new(),
            in_use: false,
            displaced: false,
            occupant: None,
            doubted: false,
            availability: Availability::default(),
        }
    }

    /// Returns whether the server accepts new requests, as far as is known. Its health, weights and pauses are not
    /// considered.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.in_use && !self.availability.leaves() && !self.is_replaced() && !self.doubted
    }

    /// Returns whether the configuration in force names the server's service.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.in_use
    }

    /// Returns whether another server listens at the server's address, as far as is known.
    fn is_replaced(&self) -> bool {
        self.displaced || self.occupant.is_some()
    }

    /// Returns whether the server's entry proves that servers that started earlier are no longer at its address.
    fn holds_address(&self) -> bool {
        self.in_use && self.occupant.is_none() && !self.doubted
    }

    /// Returns the end of the pause that the server asked this host for, if the pause still lasts.
    #[must_use]
    pub fn paused_until(&self, now: Moment) -> Option<Moment> {
        self.availability.paused_until(now)
    }

    /// Returns the limit that the server names for requests of all hosts together.
    #[must_use]
    pub fn limit(&self) -> Option<Rate> {
        self.availability.limit()
    }

    /// Returns whether this host has a share of the server's limit.
    #[must_use]
    pub fn has_limit_share(&self) -> bool {
        self.availability.has_limit_share()
    }

    /// Returns whether the server accepts a call now, by its pauses and its limit.
    #[must_use]
    pub fn accepts(&self, now: Moment, call: Call) -> bool {
        self.availability.allows(now, call)
    }

    /// Returns when the server's pause ends and its limit allows a caller's request; `None` if both allow one now.
    #[must_use]
    pub fn closed_until(&self, now: Moment) -> Option<Moment> {
        self.availability.closed_until(now)
    }

    /// Returns whether a weights update is under way.
    #[must_use]
    pub fn is_updating(&self, now: Moment) -> bool {
        self.updating.iter().any(|(_, until)| now < *until)
    }

    /// Returns whether a weights update of a model is under way, during which the server refuses requests for it.
    #[must_use]
    pub fn is_updating_model(&self, now: Moment, model: &str) -> bool {
        let mut updating = self.updating.iter();
        updating.any(|(updated, until)| updated == model && now < *until)
    }

    /// Records whether a weights update of a model is under way. The record expires unless it is repeated.
    pub fn set_updating(&mut self, now: Moment, model: &Model, updating: bool) {
        self.updating
            .retain(|(updated, until)| updated != model && now < *until);
        if updating {
            self.updating.push((model.clone(), now + UPDATE_EXPIRY));
        }
    }

    /// Sets the version of a model that the server is believed to serve. Returns whether it is newer than before.
    fn raise_version(&mut self, model: &str, version: Version) -> bool {
        let mut served = self.entry.weights.iter_mut();
        match served.find(|(served, _)| served == model) {
            Some((_, known)) if *known < version => {
                *known = version;
                self.updating.retain(|(updated, _)| updated != model);
                true
            }
            _ => false,
        }
    }
}

impl Directory {
    /// Records that the store is back after an outage: entries that are missing now may return.
    pub fn store_returned(&mut self, now: Moment) {
        self.grace_until = now + RETURN_GRACE;
    }

    /// Records that the store has come back from an older copy: entries that are missing now may return, and those of gone
    /// incarnations may be there again.
    pub fn store_restored(&mut self, now: Moment) {
        self.store_returned(now);
        self.restored = true;
    }

    /// Sets the services that the configuration in force names. Returns the number of servers that are in use now and were
    /// not before, and of those that are no longer in use.
    pub fn set_services(
        &mut self,
        services: impl IntoIterator<Item = ServiceName>,
    ) -> (usize, usize) {
        self.services = services.into_iter().collect();
        let (mut added, mut dropped) = (0, 0);
        for server in self.servers.values_mut() {
            let in_use = self.services.contains(&server.entry.service);
            added += usize::from(in_use && !server.in_use);
            dropped += usize::from(!in_use && server.in_use);
            server.in_use = in_use;
        }
        self.used = self.used + added - dropped;
        if added + dropped > 0 {
            self.settle_all_addresses();
        }
        (added, dropped)
    }

    /// Adds an entry, or updates the known one.
    pub fn upsert(&mut self, mut entry: Entry) -> Change {
        let Some(server) = self.servers.get_mut(&entry.name) else {
            return self.insert(entry);
        };
        if entry.started_ms < server.entry.started_ms {
            // A late write of an older incarnation.
            return Change::Nothing;
        }
        if entry.started_ms > server.entry.started_ms || entry.service != server.entry.service {
            self.forget(&entry.name);
            return self.insert(entry);
        }
        server.missing_since = None;
        // Within an incarnation a server does not return from leaving, and its weights versions only grow.
        let starts_leaving = entry.leaving && server.availability.mark_leaving();
        let mut has_newer_weights = false;
        let former_written = std::mem::take(&mut server.written);
        for (model, version) in &mut entry.weights {
            let written = find_version(&former_written, model).unwrap_or(0);
            server.written.push((model.clone(), written.max(*version)));
            let known = server.entry.version(model).unwrap_or(0);
            if *version > known {
                has_newer_weights = true;
                server.updating.retain(|(updated, _)| updated != model);
            }
            *version = known.max(*version);
        }
        let (former, address) = (server.entry.address, entry.address);
        server.entry = entry;
        if former != address {
            server.occupant = None;
            let name = server.entry.name.clone();
            self.leave_address(former, &name);
            self.take_address(address, name);
        }
        match (starts_leaving, has_newer_weights) {
            (true, _) => Change::Leaving,
            (false, true) => Change::Weights,
            (false, false) => Change::Nothing,
        }
    }

    /// Removes an entry, or marks it as missing during the grace period after an outage.
    pub fn remove(&mut self, now: Moment, name: &str) -> Change {
        let Some(server) = self.servers.get_mut(name) else {
            return Change::Nothing;
        };
        if now < self.grace_until && !server.availability.leaves() && !server.doubted {
            server.missing_since.get_or_insert(now);
            return Change::Missing;
        }
        self.forget(name);
        Change::Removed
    }

    /// Returns the names of known servers that are not in a complete list.
    #[must_use]
    pub fn absent(&self, listed: &hashbrown::HashSet<ServerName>) -> Vec<ServerName> {
        let names = self.servers.keys();
        names
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect()
    }

    /// Returns the names of the servers of which the entry is missing but may return.
    pub fn missing(&self) -> impl Iterator<Item = &ServerName> {
        let servers = self.servers.values();
        let missing = servers.filter(|server| server.missing_since.is_some());
        missing.map(|server| &server.entry.name)
    }

    /// Removes the servers whose entries did not return within the grace period, and returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<ServerName> {
        self.expire_occupants(now);
        if now < self.grace_until {
            return Vec::new();
        }
        if std::mem::take(&mut self.restored) {
            for server in self.servers.values_mut() {
                server.doubted = false;
            }
            self.settle_all_addresses();
        }
        let missing = |server: &&Server| server.missing_since.is_some();
        let expired: Vec<ServerName> = self
            .servers
            .values()
            .filter(missing)
            .map(|server| server.entry.name.clone())
            .collect();
        for name in &expired {
            self.forget(name);
        }
        expired
    }

    /// Records the notice in an answer of a server.
    pub fn observe_notice(&mut self, now: Moment, key: ServerKey, notice: Notice) -> Effect {
        self.change_availability(key, |availability, fleet| {
            availability.observe(now, key, notice, fleet)
        })
    }

    /// Uses a permit for a call to a server and returns true, if its pause and its limit allow the call.
    pub fn take_call(&mut self, now: Moment, key: ServerKey, call: Call) -> bool {
        self.change_availability(key, |availability, _| {
            let allowed = availability.allows(now, call);
            if allowed {
                availability.take(now, call);
            }
            allowed
        })
    }

    /// Returns the permit of a caller's request that was not sent after all.
    pub fn give_back_call(&mut self, key: ServerKey) {
        self.change_availability(key, |availability, _| availability.give_back());
    }

    /// Divides all limits among the hosts of a fleet.
    pub fn set_fleet(&mut self, now: Moment, fleet: Fleet) {
        self.fleet = fleet;
        for server in self.servers.values_mut() {
            server
                .availability
                .share_limit(now, server.key, &self.fleet);
        }
    }

    /// Ends the limits that no host has heard for too long, and returns their servers.
    pub fn expire_limits(&mut self, now: Moment) -> Vec<ServerKey> {
        self.former_limits
            .retain(|_, former| !former.expire_limit(now));
        let servers = self.servers.values_mut();
        servers
            .filter_map(|server| {
                let ended = server.availability.expire_limit(now);
                ended.then_some(server.key)
            })
            .collect()
    }

    /// Returns the limit of the incarnation that has this name now.
    #[must_use]
    pub fn limit_of(&self, name: &str) -> Option<Rate> {
        self.servers.get(name)?.limit()
    }

    /// Returns what this host knows of limits and of their recent ends, the newest statements first. In large fleets more
    /// servers name a limit than a report holds, and hosts need the changes first.
    #[must_use]
    pub fn limits(&self, now: Moment) -> Vec<(ServerKey, Statement)> {
        let servers = self.servers.values();
        let mut limits: Vec<(ServerKey, Statement)> = servers
            .filter_map(|server| Some((server.key, server.availability.statement(now)?)))
            .filter(|(_, limit)| limit.rate.is_some() || limit.age < LIMIT_END_REPORTED_FOR)
            .collect();
        limits.sort_unstable_by_key(|(_, limit)| limit.age);
        limits
    }

    /// Records what another host knows of a server's limit. Returns what it changed.
    pub fn learn_limit(
        &mut self,
        now: Moment,
        key: ServerKey,
        statement: Statement,
    ) -> Option<LimitChange> {
        self.change_availability(key, |availability, fleet| {
            availability.learn_limit(now, key, statement, fleet)
        })
    }

    /// Records that a server told this host or another one that it leaves. Returns whether that was not known.
    pub fn mark_leaving(&mut self, key: ServerKey) -> bool {
        self.change_availability(key, |availability, _| availability.mark_leaving())
    }

    /// Applies a change to the availability of a server, or to the archived one if the server has no entry.
    fn change_availability<T>(
        &mut self,
        key: ServerKey,
        change: impl FnOnce(&mut Availability, &Fleet) -> T,
    ) -> T {
        let name = self.names.get(&key);
        if let Some(server) = name.and_then(|name| self.servers.get_mut(name)) {
            return change(&mut server.availability, &self.fleet);
        }
        let mut availability = self.archive.take(key);
        let result = change(&mut availability, &self.fleet);
        self.archive.keep(key, availability);
        result
    }

    /// Records that another server answered at the address of this one: this incarnation has ended, although its entry
    /// may stay for some heartbeats. Returns whether that was not known.
    pub fn mark_replaced(&mut self, now: Moment, key: ServerKey, by: &str) -> bool {
        let Some(server) = self.get_mut(key) else {
            return false;
        };
        let occupant = Occupant {
            name: by.into(),
            answered_at: now,
        };
        let is_new = server.occupant.replace(occupant).is_none();
        let address = server.entry.address;
        self.settle_address(address);
        is_new
    }

    /// Ends the marks of servers at whose address another one answered, if nothing else shows that the other one is there.
    fn expire_occupants(&mut self, now: Moment) {
        let is_expired = |server: &&Server| {
            server.occupant.as_ref().is_some_and(|occupant| {
                let other = self.servers.get(&occupant.name);
                let is_there =
                    other.is_some_and(|o| o.in_use && o.entry.address == server.entry.address);
                !is_there && now.saturating_sub(occupant.answered_at) >= OCCUPANT_EXPIRY
            })
        };
        let expired: Vec<ServerKey> = self
            .servers
            .values()
            .filter(is_expired)
            .map(|server| server.key)
            .collect();
        for key in expired {
            if let Some(server) = self.get_mut(key) {
                server.occupant = None;
                let address = server.entry.address;
                self.settle_address(address);
            }
        }
    }

    /// Records the weights version of a server as stated by an answer or by another host. Returns whether it is newer
    /// than the known one.
    pub fn learn_version(&mut self, key: ServerKey, model: &str, version: Version) -> bool {
        let server = self.get_mut(key);
        server.is_some_and(|server| server.raise_version(model, version))
    }

    /// Records that a server has refused a request since it does not serve the `expected` version of a model, and which one
    /// it stated. Returns the version that it is believed to serve now, if that has changed: the stated one, or else the one
    /// of its own entries.
    pub fn refute_version(
        &mut self,
        key: ServerKey,
        model: &str,
        expected: Version,
        stated: Option<Version>,
    ) -> Option<Version> {
        let server = self.get_mut(key)?;
        let written = find_version(&server.written, model).unwrap_or(0);
        let present = stated.unwrap_or(0).max(written);
        if present > expected {
            return server.raise_version(model, present).then_some(present);
        }
        let mut believed = server.entry.weights.iter_mut();
        let (_, believed) = believed.find(|(known, _)| known == model)?;
        // Since the request was sent, the server may have stated another version.
        if *believed != expected || present == expected {
            return None;
        }
        *believed = present;
        Some(present)
    }

    /// Returns a server by incarnation.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(self.names.get(&key)?)
    }

    /// Returns the name of a server for logs, or an empty text when it is not known.
    #[must_use]
    pub fn name(&self, key: ServerKey) -> &str {
        self.names.get(&key).map_or("", |name| name)
    }

    /// Returns a mutable reference to a server, by incarnation.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(self.names.get(&key)?)
    }

    /// Updates the pressure of all servers. `backlog` returns the time that a server needs to compute the prompts that
    /// wait for it.
    pub fn observe_prompts(&mut self, now: Moment, backlog: impl Fn(&Server) -> Duration) {
        for server in self.servers.values_mut() {
            let backlog = backlog(server);
            server.pressure.observe(now, backlog);
        }
    }

    /// Iterates over the servers in use.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.in_use)
    }

    /// Returns whether a server in use serves some version of a model.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.iter()
            .any(|server| server.entry.version(model).is_some())
    }

    /// Returns the number of servers in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used
    }

    /// Returns whether no server is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used == 0
    }

    /// Returns the number of entries whose service the configuration in force does not name.
    #[must_use]
    pub fn unused(&self) -> usize {
        self.servers.len() - self.used
    }

    /// Removes a server. The archive keeps its availability.
    fn forget(&mut self, name: &str) {
        if let Some(server) = self.servers.remove(name) {
            self.names.remove(&server.key);
            self.used -= usize::from(server.in_use);
            self.leave_address(server.entry.address, name);
            self.gone.put(server.key, ());
            if server.limit().is_some() {
                let name = server.entry.name.clone();
                self.former_limits.insert(name, server.availability);
            }
            self.archive.keep(server.key, server.availability);
        }
    }

    fn insert(&mut self, entry: Entry) -> Change {
        let mut server = Server::new(entry);
        server.doubted = self.gone.pop(&server.key).is_some() && self.restored;
        server.availability = self.archive.take(server.key);
        if let Some(former) = self.former_limits.remove(&server.entry.name) {
            server.availability.inherit_limit(&former);
        }
        if server.entry.leaving {
            server.availability.mark_leaving();
        }
        server.in_use = self.services.contains(&server.entry.service);
        let change = if !server.in_use {
            Change::Unused
        } else if server.doubted {
            Change::Doubted
        } else {
            Change::Added
        };
        self.used += usize::from(server.in_use);
        let (name, address) = (server.entry.name.clone(), server.entry.address);
        self.names.insert(server.key, name.clone());
        self.servers.insert(name.clone(), server);
        self.take_address(address, name);
        change
    }

    fn take_address(&mut self, address: SocketAddr, name: ServerName) {
        self.addresses.entry(address).or_default().push(name);
        self.settle_address(address);
    }

    fn leave_address(&mut self, address: SocketAddr, name: &str) {
        if let Some(names) = self.addresses.get_mut(&address) {
            names.retain(|other| other != name);
            if names.is_empty() {
                self.addresses.remove(&address);
            }
        }
        self.settle_address(address);
    }

    /// Decides which servers are displaced at an address. At most one process listens there: the one that started last.
    fn settle_address(&mut self, address: SocketAddr) {
        let Some(names) = self.addresses.get(&address) else {
            return;
        };
        let servers = names.iter().filter_map(|name| self.servers.get(name));
        let holders = servers.filter(|server| server.holds_address());
        let newest = holders.map(|server| server.entry.started_ms).max();
        for name in names {
            if let Some(server) = self.servers.get_mut(name) {
                server.displaced = newest.is_some_and(|newest| server.entry.started_ms < newest);
            }
        }
    }

    fn settle_all_addresses(&mut self) {
        let addresses: Vec<SocketAddr> = self.addresses.keys().copied().collect();
        for address in addresses {
            self.settle_address(address);
        }
    }
}

fn find_version(weights: &[(Model, Version)], model: &str) -> Option<Version> {
    let found = weights.iter().find(|(name, _)| name == model);
    found.map(|(_, version)| *version)
}
