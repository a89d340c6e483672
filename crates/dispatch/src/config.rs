//! The configuration in force: routes, teams, services and limits. It is checked once, when it arrives.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use compact_str::CompactString;
use hashbrown::HashMap;
use jaystand_types::{KindName, Model, RepeatRule, TeamId, Version};

use crate::{ServiceName, quota};

jaystand_types::common! { value
    /// How an answer reaches the caller.
    pub enum Delivery {
        /// In one response body.
        Whole,
        /// As a stream of events.
        Events,
    }
}

jaystand_types::common! { data
    /// A service that a route may use, with its share of the route's requests.
    pub struct Target {
        /// The service.
        pub service: ServiceName,
        /// Its share, relative to the other targets.
        pub weight: u32,
    }

    /// A route: which requests match it and how they are served.
    pub struct Route {
        /// Name of the route, which is the request kind.
        pub name: KindName,
        /// Host name of matching requests, in lower case.
        pub host: CompactString,
        /// Path prefix of matching requests; starts and ends with a slash.
        pub prefix: CompactString,
        /// Whether a request may be sent to a second server.
        pub repeat: RepeatRule,
        /// How the answer reaches the caller.
        pub delivery: Delivery,
        /// Time after which a request without an answer fails.
        pub timeout: Option<Duration>,
        /// Latency objective for the answer, or for the first event of a stream.
        pub objective: Option<Duration>,
        /// Longest allowed pause between the events of a stream.
        pub pause: Option<Duration>,
        /// Priority of the requests; 0 is the highest.
        pub rank: u8,
        /// Maximum number of servers that may run one request.
        pub attempts: u32,
        /// Whether requests need no key.
        pub public: bool,
        /// Services that may run the requests.
        pub targets: Vec<Target>,
    }

    /// A team.
    pub struct Team {
        /// Its name.
        pub name: TeamId,
        /// Priority of its requests; overrides the route's.
        pub rank: Option<u8>,
        /// Whether its cached prompts are not shared with other teams.
        pub isolated: bool,
        /// Its rate limit; `None` if it has none.
        pub limit: Option<quota::Limit>,
    }

    /// The engines behind a service.
    pub struct Engine {
        /// Requests that an engine runs concurrently.
        pub slots: u32,
        /// Capacity of an engine's memory, in tokens.
        pub memory_tokens: u64,
        /// Models that the engines serve.
        pub models: Vec<Model>,
    }

    /// A service.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Connections that a server accepts from all clients together.
        pub connections: u32,
        /// Set when its servers are engines.
        pub engine: Option<Engine>,
        /// Address of the service if it is a store of cached prompt parts, which runs no requests.
        pub store: Option<SocketAddr>,
    }

    /// Bounds on what a caller may send.
    pub struct Limits {
        /// Maximum size of a request head.
        pub head_bytes: usize,
        /// Maximum size of a request body.
        pub body_bytes: usize,
        /// Time within which a request head must arrive.
        pub head_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }

    /// A decoded configuration whose parts have not been checked against each other.
    pub struct Draft {
        /// Version; greater is newer.
        pub version: Version,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<Service>,
        /// Teams with their keys; `None` when no request needs a key.
        pub teams: Option<Vec<(Team, Vec<CompactString>)>>,
        /// Bounds on what a caller may send.
        pub limits: Limits,
    }
}

/// An error in one part of a configuration, which makes that part unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The path prefix of a route does not begin and end with a slash.
    #[error("route `{0}`: its path prefix must begin and end with a slash")]
    Prefix(KindName),
    /// No service may run the route's requests.
    #[error("route `{0}`: no service has a weight above 0")]
    NoTarget(KindName),
    /// Two teams have the same key, which therefore identifies neither of them.
    #[error("teams `{0}` and `{1}` hold the same key")]
    SharedKey(TeamId, TeamId),
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    version: Version,
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    keys: Option<HashMap<CompactString, Arc<Team>>>,
    limits: Limits,
}

impl Configuration {
    /// Checks a draft. Parts with errors are left out and reported, so that one faulty route does not disable the
    /// others.
    #[must_use]
    pub fn check(draft: Draft) -> (Self, Vec<Problem>) {
        let mut problems = Vec::new();
        let mut routes: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in draft.routes {
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                problems.push(Problem::Prefix(route.name));
            } else if route.targets.iter().all(|target| target.weight == 0) {
                problems.push(Problem::NoTarget(route.name));
            } else {
                routes
                    .entry(route.host.clone())
                    .or_default()
                    .push(Arc::new(route));
            }
        }
        for candidates in routes.values_mut() {
            candidates.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = draft.teams.map(|teams| index_keys(teams, &mut problems));
        let services = draft
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let configuration = Self {
            version: draft.version,
            routes,
            services,
            keys,
            limits: draft.limits,
        };
        (configuration, problems)
    }

    /// Returns the version; greater is newer.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on what a caller may send.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route for a request: the one with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let candidates = match self.routes.get(host) {
            Some(candidates) => candidates,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        candidates
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether requests on routes that are not public need a key.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the rate limits of the teams. A team may be named several times.
    pub fn team_limits(&self) -> impl Iterator<Item = (TeamId, quota::Limit)> {
        let teams = self.keys.iter().flat_map(HashMap::values);
        teams.filter_map(|team| Some((team.name.clone(), team.limit?)))
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the names of the services whose servers may run requests.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        let routes = self.routes.values().flatten();
        let targets = routes.flat_map(|route| &route.targets);
        let of_routes = targets.map(|target| &target.service);
        let all = self.services.keys().chain(of_routes);
        // Stores of cached parts have no servers.
        let is_store = |name: &ServiceName| self.service(name)?.store;
        all.filter(move |name| is_store(name).is_none())
    }

    /// Returns the addresses of the stores of cached prompt parts.
    pub fn stores(&self) -> impl Iterator<Item = SocketAddr> {
        self.services.values().filter_map(|service| service.store)
    }
}

impl Route {
    /// Chooses the service for a request by weight. The same request id always gets the same service.
    #[must_use]
    pub fn target(&self, call: &str) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = crate::prompt::hash(call.as_bytes()) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        self.repeat == RepeatRule::Repeatable
    }
}

/// Maps each key to its team. Keys that several teams have are left out and reported.
fn index_keys(
    teams: Vec<(Team, Vec<CompactString>)>,
    problems: &mut Vec<Problem>,
) -> HashMap<CompactString, Arc<Team>> {
    let mut index: HashMap<CompactString, Arc<Team>> = HashMap::new();
    let mut shared = Vec::new();
    for (team, keys) in teams {
        let team = Arc::new(team);
        for key in keys {
            if let Some(other) = index.get(&key).filter(|other| other.name != team.name) {
                problems.push(Problem::SharedKey(other.name.clone(), team.name.clone()));
                shared.push(key);
            } else {
                index.insert(key, Arc::clone(&team));
            }
        }
    }
    for key in shared {
        index.remove(&key);
    }
    index
}
