//! The backend servers that may be used, by incarnation.
//!
//! A server that restarts under its old name is a new incarnation, of which nothing is known. Entries that
//! vanish while the store of the platform was away are kept for a while, since live servers write them again.

use std::{net::SocketAddr, time::Duration};

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Model, Moment, ServerName, Version};
use smallvec::SmallVec;

use crate::{
    ServerKey, ServiceName,
    health::Health,
    load::Load,
    notice::{Archive, Availability, Effect, Notice},
    pressure::Pressure,
    prompt,
};

/// After the store has returned, live servers have written their lapsed entries again within about this time;
/// the users' pages state two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);
/// A weights update is taken as ended when nothing was heard of it for this long. Its holder repeats the news
/// several times a second.
const UPDATE_EXPIRY: Duration = Duration::from_millis(1_200);

jaystand_types::common! { data
    /// What a server says of itself.
    pub struct Entry {
        /// Name, which may outlive an incarnation.
        pub name: ServerName,
        /// Milliseconds since the Unix epoch at which this incarnation started; 0 when not stated.
        pub started_ms: u64,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Where it runs.
        pub data_centre: DataCentre,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// How much longer it is slow after its start.
        pub warm_up_left: Duration,
        /// Weights version of each model that it serves; empty for plain services.
        pub weights: SmallVec<[(Model, Version); 1]>,
    }
}

/// A server with what this host knows of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its latest entry.
    pub entry: Entry,
    /// Identity of the incarnation.
    pub key: ServerKey,
    /// Health, by own outcomes.
    pub health: Health,
    /// Requests that this host sent to it.
    pub load: Load,
    /// How much of recent time it spent on prompts of all hosts.
    pub pressure: Pressure,
    missing_since: Option<Moment>,
    updating_until: Option<Moment>,
    /// Whether another server listens at its address.
    replaced: bool,
    /// What it has stated of itself.
    availability: Availability,
}

jaystand_types::common! { value
    /// What an entry changed.
    pub enum Change {
        /// Nothing that matters for requests.
        Nothing,
        /// A server is new, or runs as a new incarnation.
        Added,
        /// It leaves.
        Leaving,
        /// It serves other weights.
        Weights,
        /// It is gone.
        Removed,
        /// Its entry is missing, and may yet return.
        Missing,
    }
}

/// All known servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: HashMap<ServerName, Server>,
    names: HashMap<ServerKey, ServerName>,
    grace_until: Moment,
    /// What is known of incarnations that are not among the servers.
    archive: Archive,
}

impl Entry {
    /// Identity of the incarnation, equal on all hosts.
    #[must_use]
    pub fn key(&self) -> ServerKey {
        // Four bytes tell some hundred servers apart, and keep the reports between hosts short.
        prompt::hash_all(&[self.name.as_bytes(), &self.started_ms.to_le_bytes()])
            & u64::from(u32::MAX)
    }

    /// Weights version that it serves of a model.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<Version> {
        let found = self.weights.iter().find(|(name, _)| name == model);
        found.map(|(_, version)| *version)
    }
}

impl Server {
    fn new(entry: Entry) -> Self {
        Self {
            key: entry.key(),
            entry,
            health: Health::default(),
            load: Load::default(),
            pressure: Pressure::default(),
            missing_since: None,
            updating_until: None,
            replaced: false,
            availability: Availability::default(),
        }
    }

    /// Whether it may get new requests, its health and weights aside.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        !self.availability.leaves() && !self.replaced
    }

    /// Until when it wants no requests from this host, if it does not now.
    #[must_use]
    pub fn paused_until(&self, now: Moment) -> Option<Moment> {
        self.availability.paused_until(now)
    }

    /// Whether it changes its weights and refuses requests meanwhile.
    #[must_use]
    pub fn updating(&self, now: Moment) -> bool {
        self.updating_until.is_some_and(|until| now < until)
    }

    /// Notes that it changes its weights, which is to be repeated while it does, or that it has ended to.
    pub fn set_updating(&mut self, now: Moment, updating: bool) {
        self.updating_until = updating.then(|| now + UPDATE_EXPIRY);
    }
}

impl Directory {
    /// The store is back after an outage: entries that are missing now may return.
    pub fn store_returned(&mut self, now: Moment) {
        self.grace_until = now + RETURN_GRACE;
    }

    /// Takes an entry in.
    pub fn upsert(&mut self, mut entry: Entry) -> Change {
        let Some(server) = self.servers.get_mut(&entry.name) else {
            self.insert(entry);
            return Change::Added;
        };
        if entry.started_ms < server.entry.started_ms {
            // A late write of a former incarnation.
            return Change::Nothing;
        }
        if entry.started_ms > server.entry.started_ms || entry.service != server.entry.service {
            self.forget(&entry.name);
            self.insert(entry);
            return Change::Added;
        }
        server.missing_since = None;
        // Neither a leaving server nor newer weights are undone within an incarnation.
        let leaves = entry.leaving && server.availability.mark_leaving();
        let mut newer = false;
        for (model, version) in &mut entry.weights {
            let known = server.entry.version(model).unwrap_or(0);
            newer |= *version > known;
            *version = known.max(*version);
        }
        server.entry = entry;
        if newer {
            server.updating_until = None;
        }
        match (leaves, newer) {
            (true, _) => Change::Leaving,
            (false, true) => Change::Weights,
            (false, false) => Change::Nothing,
        }
    }

    /// Takes in that an entry was removed.
    pub fn remove(&mut self, now: Moment, name: &str) -> Change {
        let Some(server) = self.servers.get_mut(name) else {
            return Change::Nothing;
        };
        if now < self.grace_until && !server.availability.leaves() {
            server.missing_since.get_or_insert(now);
            return Change::Missing;
        }
        self.forget(name);
        Change::Removed
    }

    /// Names of known servers that a complete list does not hold.
    #[must_use]
    pub fn absent(&self, listed: &hashbrown::HashSet<ServerName>) -> Vec<ServerName> {
        let names = self.servers.keys();
        names
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect()
    }

    /// Removes the servers whose entries did not return in time, and names them.
    pub fn expire(&mut self, now: Moment) -> Vec<ServerName> {
        if now < self.grace_until {
            return Vec::new();
        }
        let missing = |server: &&Server| server.missing_since.is_some();
        let gone: Vec<ServerName> = self
            .servers
            .values()
            .filter(missing)
            .map(|server| server.entry.name.clone())
            .collect();
        for name in &gone {
            self.forget(name);
        }
        gone
    }

    /// Takes in what an answer of a server says of it.
    pub fn observe_notice(&mut self, now: Moment, key: ServerKey, notice: Notice) -> Effect {
        self.change_availability(key, |availability| availability.observe(now, notice))
    }

    /// Takes in that a server said that it leaves, to this host or another. Returns whether that is news.
    pub fn mark_leaving(&mut self, key: ServerKey) -> bool {
        self.change_availability(key, Availability::mark_leaving)
    }

    fn change_availability<T>(
        &mut self,
        key: ServerKey,
        change: impl FnOnce(&mut Availability) -> T,
    ) -> T {
        if let Some(server) = self.get_mut(key) {
            return change(&mut server.availability);
        }
        let mut availability = self.archive.take(key);
        let result = change(&mut availability);
        self.archive.keep(key, availability);
        result
    }

    /// Notes that another server answered at the address of this one: this incarnation has ended, though its entry
    /// may stay for some heartbeats. Returns whether that is news.
    pub fn mark_replaced(&mut self, key: ServerKey) -> bool {
        match self.get_mut(key) {
            Some(server) => !std::mem::replace(&mut server.replaced, true),
            None => false,
        }
    }

    /// Notes a newer weights version of a server, as an answer or another host showed it.
    pub fn learn_version(&mut self, key: ServerKey, model: &str, version: Version) -> bool {
        let Some(server) = self.get_mut(key) else {
            return false;
        };
        let known = server.entry.weights.iter_mut().find(|(m, _)| m == model);
        match known {
            Some((_, known)) if *known < version => {
                *known = version;
                server.updating_until = None;
                true
            }
            _ => false,
        }
    }

    /// A server by incarnation.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(self.names.get(&key)?)
    }

    /// The name of a server, for logs; empty when it is not known.
    #[must_use]
    pub fn name(&self, key: ServerKey) -> &str {
        self.names.get(&key).map_or("", |name| name)
    }

    /// A server by incarnation.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(self.names.get(&key)?)
    }

    /// Takes in the prompts that servers have to compute now, as the time that they take.
    pub fn observe_prompts(&mut self, now: Moment, backlog: impl Fn(&Server) -> Duration) {
        for server in self.servers.values_mut() {
            let backlog = backlog(server);
            server.pressure.observe(now, backlog);
        }
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn forget(&mut self, name: &str) {
        if let Some(server) = self.servers.remove(name) {
            self.names.remove(&server.key);
            self.archive.keep(server.key, server.availability);
        }
    }

    fn insert(&mut self, entry: Entry) {
        let mut server = Server::new(entry);
        server.availability = self.archive.take(server.key);
        if server.entry.leaving {
            server.availability.mark_leaving();
        }
        // Only one process listens at an address: the one that started last.
        for other in self.servers.values_mut() {
            if other.entry.address != server.entry.address || other.entry.name == server.entry.name
            {
                continue;
            }
            if other.entry.started_ms < server.entry.started_ms {
                other.replaced = true;
            } else if other.entry.started_ms > server.entry.started_ms {
                server.replaced = true;
            }
        }
        self.names.insert(server.key, server.entry.name.clone());
        self.servers.insert(server.entry.name.clone(), server);
    }
}
