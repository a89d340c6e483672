//! Placement: the choice of the backend server with the lowest expected time to the first token.
//!
//! All hosts compute the same order of servers for a shared prompt part (rendezvous hashing), so that they use the same
//! few servers for it without any message, even right after a restart. The score of a server also depends on what this
//! host knows of its prefix cache, and on its load.

use std::{net::SocketAddr, time::Duration};

use jaystand_types::{DataCentre, Moment, Version};
use smallvec::SmallVec;

use crate::{
    ServerKey, ServiceName,
    admission::Reason,
    capacity::Bounds,
    config::Engine,
    directory::{Directory, Server},
    estimate::{Estimate, Outlook},
    holdings::Holdings,
    limit::Call,
    load::{Load, Peers},
    prompt::{self, Prompt, Salt},
    reach::Reach,
    weights::Versions,
};

/// Time to the first token on an idle engine, without the prefill. The site files state 53 and 60 ms.
const FIRST_TOKEN_MS: f64 = 55.0;
/// Prefill rate of an engine before its slowdown is measured, in prompt tokens per millisecond. The sheets state 92 and
/// 140.
const TOKENS_PER_MS: f64 = 100.0;
/// Prefill time for each pair of a computed token and a token of the prompt (attention). The site files state 0.3 ms
/// for a million pairs.
const TOKEN_PAIR_MS: f64 = 0.3e-6;
/// Delay of a first token by each running request, whose steps share the engine.
const ACTIVE_REQUEST_MS: f64 = 1.5;
/// Cost of a prefill for each running request of the server, as a share of the prefill time: the events of running
/// streams pause meanwhile.
const PREFILL_INTERFERENCE: f64 = 0.5;
/// Cost for each token of an answer at a server that computes prompts all the time: the answer's events pause
/// meanwhile.
const PRESSURE_TOKEN_MS: f64 = 1.0;
/// Delay of a first token by each request that exceeds the slots.
const QUEUED_REQUEST_MS: f64 = 45.0;
/// Weight of shared tokens that must be computed again. That delays the requests behind, evicts other parts and has a
/// price, while a first token some tens of milliseconds later is still in time.
const RECOMPUTE_WEIGHT: f64 = 4.0;
/// Share of the shared tokens that the first and second server of the order are presumed to have cached.
const PRESUMED_CACHED: [f64; 2] = [0.3, 0.1];
/// Time to start a fetch of cached parts from another server.
const FETCH_MS: f64 = 3.0;
/// Time to fetch one token: 131 KB over 137 GB/s, twice that between data centres.
const FETCH_TOKEN_MS: f64 = 0.002;
/// Fewer missing tokens than this are computed in the time that a fetch takes.
const MIN_FETCHED_TOKENS: u32 = 200;
/// Shared parts are saved to a store only if they have at least this many tokens in all, and no fewer than the
/// request's own part: the own part is saved too, and evicts others there. The stores of the large deployments
/// have room for some 600 whole prompts, and there are about as many documents.
const MIN_SAVED_TOKENS: u32 = 1_000;
/// Cost of a server on older weights, whose answers lose a fifth of their credit.
const OUTDATED_MS: f64 = 120.0;
/// Cost of a server in another data centre: the round trip takes about 2 ms, and the bytes have a price.
const REMOTE_MS: f64 = 4.0;
/// Servers from the start of the order that are compared for each request.
const FIRST_CANDIDATES: usize = 2;
/// Further servers, drawn at random for each request, that are compared. With more of them many hosts would find the
/// same idle server, since their reports of each other's load are some hundred milliseconds old.
const RANDOM_CANDIDATES: usize = 1;
/// The same for prompts with small shared parts. It matters little where these are cached, and their load is small, so
/// that hosts may choose the same server.
const SHORT_RANDOM_CANDIDATES: usize = 12;
/// The same for plain services, which have few servers and requests that take tens of milliseconds.
const PLAIN_RANDOM_CANDIDATES: usize = 3;
/// Combined with the identity of a request, draws the choice among candidates. The candidates are drawn with small
/// numbers.
const EVEN_DRAW: u64 = 1 << 32;
/// A request may begin this many times later than expected, and must still not begin on weights that are too old.
const BEGIN_MARGIN: u32 = 3;
/// Share of an engine's memory that running requests may fill before others wait for memory.
const USABLE_MEMORY_SHARE: f64 = 0.85;
/// Delay of a first token for each token of memory that must be freed, as a multiple of the time to compute a token.
const MEMORY_WAIT_FACTOR: f64 = 2.0;
/// How much slower a server is rated when all of its recent attempts failed.
const ERROR_FACTOR: f64 = 6.0;
/// Time of a plain answer on an idle server. Requests in flight add the same time, divided by the slots.
const PLAIN_ANSWER_MS: f64 = 40.0;
/// Expected times of plain answers are rounded to this, so that servers with small differences score equally.
const PLAIN_ROUNDING_MS: f64 = 3.0;

/// The state on which a placement is based.
pub struct View<'a, P> {
    /// The known servers.
    pub directory: &'a Directory,
    /// Load that other hosts report.
    pub peers: &'a Peers<P>,
    /// Weights versions that were named.
    pub versions: &'a Versions,
    /// Prompt parts that servers and stores have cached.
    pub holdings: &'a Holdings,
    /// Reachable stores of cached prompt parts.
    pub stores: &'a [Store],
    /// Which data centres can be reached.
    pub reach: &'a Reach,
    /// Data centre of this host.
    pub data_centre: &'a DataCentre,
    /// The traffic by which load is evened out; `None` to take reports as they are and the lowest score.
    pub estimate: Option<&'a Estimate>,
}

jaystand_types::common! { value
    /// A store of cached prompt parts.
    pub struct Store {
        /// Its identity, as for a server.
        pub key: ServerKey,
        /// Where it listens.
        pub address: SocketAddr,
    }
}

impl Store {
    /// Returns the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let key = prompt::hash(address.to_string().as_bytes());
        Self {
            key: key & u64::from(u32::MAX),
            address,
        }
    }
}

/// The request to place.
pub struct Query<'a> {
    /// Hash of the request's identity. It orders the servers for requests without a prompt and draws the random
    /// candidates.
    pub call: u64,
    /// The service that runs it.
    pub service: &'a ServiceName,
    /// The engines of that service.
    pub engine: Option<&'a Engine>,
    /// Its prompt, with the salt of its cache keys.
    pub prompt: Option<(&'a Prompt, &'a Salt)>,
    /// Servers to exclude, because an attempt at them failed.
    pub avoid: &'a [ServerKey],
}

jaystand_types::common! { data
    /// The result of a placement.
    pub struct Choice {
        /// The chosen server.
        pub server: ServerKey,
        /// Expected time to the first token, or to the answer of a plain service.
        pub expected: Duration,
        /// Load that the request adds to the server.
        pub load: Load,
        /// Weights version that the server serves of the request's model.
        pub version: Option<Version>,
        /// Server or store from which the server should fetch cached parts before the prefill.
        pub fetch_from: Option<SocketAddr>,
        /// Store to which the server should save the parts of the prompt.
        pub save_to: Option<Store>,
    }
}

jaystand_types::common! { value
    /// Why a request has no server.
    pub enum Unplaced {
        /// All servers that may run it are full.
        Full,
        /// No server may run it.
        NoServer,
    }
}

/// Some of the known servers.
type Servers<'a> = SmallVec<[&'a Server; 32]>;

impl<P: std::hash::Hash + Eq + Clone> View<'_, P> {
    /// Returns the best server for a request, or `None` if no server may run it. Capacity is not considered.
    ///
    /// Servers in backoff or in a data centre that is in doubt are used only if there are no others.
    #[must_use]
    pub fn choose(&self, now: Moment, query: &Query<'_>) -> Option<Choice> {
        self.choose_among(now, query, &self.usable(now, query), |_| true)
    }

    /// Returns the best server with capacity for a request, of which it leaves a share, `reserve`, to others. A full server
    /// is skipped in favour of the next one in the order.
    ///
    /// # Errors
    /// Fails if all servers that may run the request are full, or if there are none.
    pub fn choose_with_room(
        &self,
        now: Moment,
        query: &Query<'_>,
        reserve: f64,
    ) -> Result<Choice, Unplaced> {
        let usable = self.usable(now, query);
        let is_open = |server: &Server| self.has_room(now, server, query.engine, reserve);
        if let Some(choice) = self.choose_among(now, query, &usable, is_open) {
            return Ok(choice);
        }
        // Servers that are full may be the only ones whose weights are new enough.
        let any = self.choose_among(now, query, &usable, |_| true);
        Err(any.map_or(Unplaced::NoServer, |_| Unplaced::Full))
    }

    /// Returns whether a server of a service takes one more request. Servers in backoff or in a data centre that is in
    /// doubt count only if there are no others.
    #[must_use]
    pub fn has_any_room(
        &self,
        now: Moment,
        service: &ServiceName,
        engine: Option<&Engine>,
    ) -> bool {
        let (mut healthy, mut room) = (false, false);
        let servers = self.directory.iter();
        for server in servers.filter(|s| s.entry.service == *service && s.takes_work()) {
            let is_healthy =
                !server.health.is_backing_off(now) && !self.may_be_cut_off(now, server);
            let has_room = self.has_room(now, server, engine, 0.0);
            if is_healthy && has_room {
                return true;
            }
            healthy |= is_healthy;
            room |= has_room;
        }
        room && !healthy
    }

    /// Returns the load on a server as a share of its configured bounds.
    #[must_use]
    pub fn fill(&self, now: Moment, server: &Server, engine: Option<&Engine>) -> f64 {
        let Some(engine) = engine else {
            return Bounds::plain(server.entry.slots).fill(&server.load, 1.0);
        };
        let mut load = server.load;
        load.add(self.peers.total(server.key));
        Bounds::engine(engine).fill(&load, server.health.slowdown(now))
    }

    /// Returns whether a server takes one more request.
    fn has_room(
        &self,
        now: Moment,
        server: &Server,
        engine: Option<&Engine>,
        reserve: f64,
    ) -> bool {
        let fill = self.fill(now, server, engine);
        server.capacity.has_room(now, fill, reserve)
    }

    /// Returns the servers that may run a request.
    fn usable(&self, now: Moment, query: &Query<'_>) -> Servers<'_> {
        let allowed: Servers<'_> = self
            .directory
            .iter()
            .filter(|server| Self::may_run(now, server, query))
            .collect();
        let healthy: Servers<'_> = allowed
            .iter()
            .copied()
            .filter(|server| {
                !server.health.is_backing_off(now) && !self.may_be_cut_off(now, server)
            })
            .collect();
        if healthy.is_empty() { allowed } else { healthy }
    }

    /// Returns the best of some servers for a request, of those that are open.
    fn choose_among(
        &self,
        now: Moment,
        query: &Query<'_>,
        usable: &[&Server],
        is_open: impl Fn(&Server) -> bool,
    ) -> Option<Choice> {
        let affinity = query
            .prompt
            .map_or(query.call, |(prompt, salt)| prompt.affinity_key(salt));
        let mut order: SmallVec<[(u64, &Server); 32]> = usable
            .iter()
            .map(|server| (prompt::mix(affinity, server.key), *server))
            .collect();
        order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let random_candidates = match query.prompt {
            Some((prompt, _)) if prompt.shared_tokens() >= MIN_SAVED_TOKENS => RANDOM_CANDIDATES,
            Some(_) => SHORT_RANDOM_CANDIDATES,
            None => PLAIN_RANDOM_CANDIDATES,
        };
        let sample = Sample::new(query.call, order.len(), random_candidates);
        // If no server of the sample would begin the request on weights that are new enough, all are compared.
        self.choose_from(now, query, &order, Some(&sample), &is_open)
            .or_else(|| self.choose_from(now, query, &order, None, &is_open))
    }

    /// Returns why no server of the request's service accepts a request now, if pauses and limits are the reason, with
    /// the time until the first one does.
    #[must_use]
    pub fn closed_reason(&self, now: Moment, query: &Query<'_>) -> Option<Reason> {
        let mut earliest = None;
        let mut limited = false;
        let servers = self.directory.iter();
        for server in servers.filter(|s| s.entry.service == *query.service && s.takes_work()) {
            let until = server.closed_until(now)?;
            earliest = Some(earliest.map_or(until, |earliest: Moment| earliest.min(until)));
            limited |= server.paused_until(now).is_none();
        }
        let wait = earliest?.saturating_sub(now);
        Some(if limited {
            Reason::Limited(wait)
        } else {
            Reason::Paused(wait)
        })
    }

    /// Returns the server with the lowest score among the sampled ones and those that have cached the whole shared
    /// part. Without a sample all servers are compared. Servers that are not open are skipped; for each of the first ones
    /// of the order the next one is compared.
    fn choose_from(
        &self,
        now: Moment,
        query: &Query<'_>,
        order: &[(u64, &Server)],
        sample: Option<&Sample>,
        is_open: &impl Fn(&Server) -> bool,
    ) -> Option<Choice> {
        let outlook = self
            .estimate
            .map(|estimate| estimate.outlook(query.service, self.peers.mean_age(now)));
        let mut cache_keys = CacheKeys::default();
        let mut best: Option<(f64, Choice)> = None;
        let mut first_candidates = FIRST_CANDIDATES;
        let mut scored: SmallVec<[(f64, f64); 16]> = SmallVec::new();
        let mut choices: SmallVec<[Choice; 16]> = SmallVec::new();
        for (rank, (_, server)) in order.iter().enumerate() {
            let is_first = rank < first_candidates;
            let is_sampled = is_first || sample.is_none_or(|sample| sample.contains(rank));
            if !is_sampled && !self.has_cached_all(now, query, &mut cache_keys, server) {
                continue;
            }
            if !is_open(server) {
                first_candidates += usize::from(is_first);
                continue;
            }
            let (score, choice) = match query.prompt {
                Some((prompt, salt)) => {
                    let version = server.entry.version(&prompt.model);
                    let keys = cache_keys.for_version(prompt, salt, version);
                    let first = order
                        .iter()
                        .map(|(_, other)| *other)
                        .find(|other| other.entry.version(&prompt.model) == version);
                    let coverage = self.coverage(now, prompt, keys, server, first, rank);
                    self.score_engine(now, query, prompt, server, &coverage, outlook)
                }
                None => self.score_plain(now, server, outlook),
            };
            if self.begins_too_late(now, query, &choice) {
                continue;
            }
            if let Some(outlook) = outlook {
                let cost = self.request_cost_ms(now, query, server, &choice, outlook);
                scored.push((score, cost));
                choices.push(choice);
                continue;
            }
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, choice));
            }
        }
        if let Some(outlook) = outlook {
            let draw = prompt::mix(query.call, EVEN_DRAW);
            return outlook
                .pick(&scored, draw)
                .map(|index| choices.swap_remove(index));
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the load on a server by this host's requests and by reports.
    fn load(&self, server: &Server) -> Load {
        let mut load = server.load;
        load.add(self.peers.total(server.key));
        load
    }

    /// Returns by how much one more request of its service raises a server's score.
    fn request_cost_ms(
        &self,
        now: Moment,
        query: &Query<'_>,
        server: &Server,
        choice: &Choice,
        outlook: Outlook,
    ) -> f64 {
        let ms = if query.prompt.is_some() {
            let load = self.load(server);
            let slots = query.engine.map_or(server.entry.slots, |e| e.slots);
            let queued = if load.active >= slots {
                QUEUED_REQUEST_MS
            } else {
                0.0
            };
            outlook.request_ms()
                + ACTIVE_REQUEST_MS
                + queued
                + PREFILL_INTERFERENCE * to_f64(choice.load.prefill_us) / 1_000.0
        } else {
            PLAIN_ANSWER_MS / f64::from(server.entry.slots.max(1))
        };
        ms * slowdown_factor(now, server, Some(outlook))
    }

    /// Returns whether a server has cached all shared parts of the request's prompt, as far as is known.
    fn has_cached_all(
        &self,
        now: Moment,
        query: &Query<'_>,
        cache_keys: &mut CacheKeys,
        server: &Server,
    ) -> bool {
        let Some((prompt, salt)) = query.prompt else {
            return false;
        };
        let keys = cache_keys.for_version(prompt, salt, server.entry.version(&prompt.model));
        let shared = prompt.shared_tokens();
        shared > 0 && self.cached_tokens(now, prompt, keys, server.key) >= shared
    }

    /// Returns whether the request would begin at a time at which the weights of its server are too old.
    fn begins_too_late(&self, now: Moment, query: &Query<'_>, choice: &Choice) -> bool {
        let (Some((prompt, _)), Some(version)) = (query.prompt, choice.version) else {
            return false;
        };
        let begins = now + choice.expected * BEGIN_MARGIN;
        version < self.versions.required(begins, &prompt.model)
    }

    /// Returns whether a server may run the request at all.
    fn may_run(now: Moment, server: &Server, query: &Query<'_>) -> bool {
        if server.entry.service != *query.service
            || !server.takes_work()
            || !server.accepts(now, Call::Request)
            || query.avoid.contains(&server.key)
        {
            return false;
        }
        let Some((prompt, _)) = query.prompt else {
            return !server.is_updating(now);
        };
        if server.is_updating_model(now, &prompt.model) {
            return false;
        }
        if server.entry.weights.is_empty() {
            return true;
        }
        server.entry.version(&prompt.model).is_some()
    }

    /// Returns how much of a prompt a server is expected to have cached, and how much it could fetch.
    ///
    /// `first` is the first server of the order with the same weights version, and `rank` the position of `server` in
    /// the order.
    fn coverage(
        &self,
        now: Moment,
        prompt: &Prompt,
        keys: &[u64],
        server: &Server,
        first: Option<&Server>,
        rank: usize,
    ) -> Coverage {
        let shared = f64::from(prompt.shared_tokens());
        let cached = self.cached_tokens(now, prompt, keys, server.key);
        let mut coverage = Coverage {
            cached: f64::from(cached),
            fetched: 0.0,
            source: None,
            save_to: None,
        };
        if !self.holdings.reports(server.key) {
            let presumed = shared * PRESUMED_CACHED.get(rank).copied().unwrap_or(0.0);
            coverage.cached = coverage.cached.max(presumed);
        }
        let missing = prompt.shared_tokens().saturating_sub(cached);
        let Some(last) = prompt.shared().len().checked_sub(1) else {
            return coverage;
        };
        let store = self.store_of(keys[last]);
        let own_tokens = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        let worth_saving = prompt.shared_tokens() >= MIN_SAVED_TOKENS.max(own_tokens);
        if let Some(store) = store.filter(|_| worth_saving) {
            let stored = self.holdings.tokens(now, keys[last], store.key);
            coverage.save_to = (stored == 0).then_some(store);
        }
        if missing < MIN_FETCHED_TOKENS {
            // An engine without cache reports may have evicted the parts; then the store has them.
            let is_uncertain = !self.holdings.reports(server.key) && coverage.save_to.is_none();
            let store =
                store.filter(|_| is_uncertain && prompt.shared_tokens() >= MIN_SAVED_TOKENS);
            coverage.source = store.map(|store| store.address);
            return coverage;
        }
        let engines = self
            .holdings
            .holders(now, keys[last])
            .filter_map(|(key, _)| {
                let source = self.directory.get(key)?;
                let usable =
                    source.key != server.key && self.may_fetch_from(now, source, &prompt.model);
                usable.then_some((key, source.entry.address))
            });
        let stores = store.iter().map(|store| (store.key, store.address));
        let best = engines
            .chain(stores)
            .map(|(key, address)| (self.cached_tokens(now, prompt, keys, key), address))
            .max_by_key(|(available, _)| *available);
        if let Some((available, address)) = best.filter(|(available, _)| *available > cached) {
            let fetched = f64::from(available.min(prompt.shared_tokens()) - cached);
            coverage.cached = coverage.cached.min(shared - fetched).max(f64::from(cached));
            coverage.fetched = fetched;
            coverage.source = Some(address);
        } else if let Some(store) = store.filter(|_| worth_saving) {
            // The parts may have been saved for another host; a miss costs a millisecond.
            coverage.source = Some(store.address);
        } else if let Some(first) = first.filter(|first| first.key != server.key) {
            // Other hosts use the first server of the order, too.
            coverage.source = Some(first.entry.address);
        }
        coverage
    }

    /// Returns the store that keeps a part.
    fn store_of(&self, key: u64) -> Option<Store> {
        let stores = self.stores.iter().copied();
        stores.max_by_key(|store| prompt::mix(key, store.key))
    }

    /// Returns how many tokens of a prompt a server is expected to have cached, from the first part on without a gap.
    fn cached_tokens(&self, now: Moment, prompt: &Prompt, keys: &[u64], server: ServerKey) -> u32 {
        let mut cached = 0;
        for (part, key) in prompt.parts.iter().zip(keys) {
            let part_cached = self.holdings.tokens(now, *key, server).min(part.tokens);
            cached += part_cached;
            if part_cached < part.tokens {
                break;
            }
        }
        cached
    }

    /// Returns whether a server is in another data centre that may be cut off.
    fn may_be_cut_off(&self, now: Moment, server: &Server) -> bool {
        let data_centre = &server.entry.data_centre;
        data_centre != self.data_centre && self.reach.is_doubtful(now, data_centre)
    }

    /// Returns the cost of the distance to a server.
    fn distance_ms(&self, server: &Server) -> f64 {
        if server.entry.data_centre == *self.data_centre {
            0.0
        } else {
            REMOTE_MS
        }
    }

    /// Returns whether parts of prompts for a model may be fetched from a server.
    fn may_fetch_from(&self, now: Moment, source: &Server, model: &str) -> bool {
        source.is_in_use()
            && !source.health.is_backing_off(now)
            && !source.is_updating_model(now, model)
            && !self.may_be_cut_off(now, source)
    }

    /// Returns the score of an engine for a request, where lower is better, and the choice that it would give.
    fn score_engine(
        &self,
        now: Moment,
        query: &Query<'_>,
        prompt: &Prompt,
        server: &Server,
        coverage: &Coverage,
        outlook: Option<Outlook>,
    ) -> (f64, Choice) {
        let version = server.entry.version(&prompt.model);
        let input = f64::from(prompt.input_tokens);
        let uncached = (input - coverage.cached - coverage.fetched).max(0.0);
        let uncached_shared =
            (f64::from(prompt.shared_tokens()) - coverage.cached - coverage.fetched).max(0.0);
        let load = self.load(server);
        let prefill_ms = uncached / TOKENS_PER_MS + uncached * input * TOKEN_PAIR_MS;
        let mut ms = FIRST_TOKEN_MS + to_f64(load.prefill_us) / 1_000.0 + prefill_ms;
        if coverage.source.is_some() {
            ms += FETCH_MS + coverage.fetched * FETCH_TOKEN_MS;
        }
        ms += f64::from(load.active) * ACTIVE_REQUEST_MS;
        let slots = query.engine.map_or(server.entry.slots, |e| e.slots);
        if load.active >= slots {
            ms += f64::from(load.active + 1 - slots) * QUEUED_REQUEST_MS;
        }
        let capacity = query
            .engine
            .map_or(f64::INFINITY, |e| to_f64(e.memory_tokens));
        let excess =
            to_f64(load.memory_tokens + prompt.memory_tokens()) - capacity * USABLE_MEMORY_SHARE;
        if excess > 0.0 {
            // Engines begin a short urgent prompt before the long ones that wait for more memory.
            ms += MEMORY_WAIT_FACTOR * excess.min(to_f64(prompt.memory_tokens())) / TOKENS_PER_MS;
        }
        ms *= slowdown_factor(now, server, outlook);
        ms += f64::from(u32::try_from(server.entry.warm_up_left.as_millis().min(500)).unwrap_or(0))
            * 0.1;
        let mut score = ms + (RECOMPUTE_WEIGHT - 1.0) * uncached_shared / TOKENS_PER_MS;
        score += prefill_ms * f64::from(load.active) * PREFILL_INTERFERENCE;
        score += server.pressure.level() * f64::from(prompt.output_tokens) * PRESSURE_TOKEN_MS;
        if version.is_some_and(|v| v < self.versions.preferred(now, &prompt.model)) {
            score += OUTDATED_MS;
        }
        score += self.distance_ms(server);
        let choice = Choice {
            server: server.key,
            expected: duration_from_ms(ms),
            load: Load {
                active: 1,
                prefill_us: truncate(prefill_ms * 1_000.0),
                memory_tokens: prompt.memory_tokens(),
            },
            version,
            fetch_from: coverage.source,
            save_to: coverage.save_to,
        };
        (score, choice)
    }

    /// Returns the score of a server of a plain service, where lower is better, and the choice that it would give.
    fn score_plain(&self, now: Moment, server: &Server, outlook: Option<Outlook>) -> (f64, Choice) {
        let others = self.peers.total(server.key).active;
        let in_flight = match outlook {
            // Reports are older than a request lasts.
            Some(outlook) => f64::from(server.load.active) + outlook.in_flight(others),
            None => f64::from(server.load.active + others),
        };
        let busy = in_flight / f64::from(server.entry.slots.max(1));
        let mut ms = PLAIN_ANSWER_MS * (1.0 + busy);
        ms *= slowdown_factor(now, server, outlook);
        // Without the rounding, a slightly better server would get all requests.
        let mut score = if outlook.is_some() {
            ms
        } else {
            (ms / PLAIN_ROUNDING_MS).round() * PLAIN_ROUNDING_MS
        };
        score += self.distance_ms(server);
        let choice = Choice {
            server: server.key,
            expected: duration_from_ms(ms),
            load: Load {
                active: 1,
                prefill_us: 0,
                memory_tokens: 0,
            },
            version: None,
            fetch_from: None,
            save_to: None,
        };
        (score, choice)
    }
}

/// Returns the expected time of a request at an idle server.
#[must_use]
pub fn idle_time(prompt: Option<&Prompt>) -> Duration {
    let ms = prompt.map_or(PLAIN_ANSWER_MS, |prompt| {
        FIRST_TOKEN_MS + f64::from(prompt.input_tokens) / TOKENS_PER_MS
    });
    duration_from_ms(ms)
}

/// Returns how many times longer a server takes than expected, by the outcomes and times that this host has seen.
fn slowdown_factor(now: Moment, server: &Server, outlook: Option<Outlook>) -> f64 {
    let slowdown = outlook.map_or_else(
        || server.health.slowdown(now),
        |outlook| outlook.slowness(now, &server.speed),
    );
    slowdown * (1.0 + ERROR_FACTOR * server.health.error_rate(now).powi(2))
}

/// The servers that are compared for a request in addition to the first ones of the order: some that are drawn for each
/// request, by their rank.
///
/// Reported loads are some hundred milliseconds old. If every host compared all servers, all would choose the same idle
/// one until the next report.
struct Sample {
    random: SmallVec<[usize; PLAIN_RANDOM_CANDIDATES]>,
}

impl Sample {
    fn new(call: u64, servers: usize, random_candidates: usize) -> Self {
        let ranks = (0..random_candidates as u64).map(|number| {
            let rank = prompt::mix(call, number) % (servers.max(1) as u64);
            usize::try_from(rank).unwrap_or(0)
        });
        Self {
            random: ranks.collect(),
        }
    }

    fn contains(&self, rank: usize) -> bool {
        self.random.contains(&rank)
    }
}

/// How much of a prompt a server need not compute.
struct Coverage {
    /// Prompt tokens that it is expected to have cached.
    cached: f64,
    /// Prompt tokens that it can fetch.
    fetched: f64,
    /// Server or store to fetch from.
    source: Option<SocketAddr>,
    /// Store to which the parts should be saved.
    save_to: Option<Store>,
}

/// The cache keys of a prompt's parts, for each weights version in use.
#[derive(Default)]
struct CacheKeys(SmallVec<[(Option<Version>, Keys); 2]>);

type Keys = SmallVec<[u64; 4]>;

impl CacheKeys {
    fn for_version(&mut self, prompt: &Prompt, salt: &Salt, version: Option<Version>) -> &[u64] {
        let known = self.0.iter().position(|(known, _)| *known == version);
        let index = known.unwrap_or_else(|| {
            self.0.push((version, cache_keys(prompt, salt, version)));
            self.0.len() - 1
        });
        &self.0[index].1
    }
}

/// Returns the cache keys of a prompt's parts.
#[must_use]
pub fn cache_keys(prompt: &Prompt, salt: &Salt, version: Option<Version>) -> Keys {
    let salt = salt.text(version);
    let parts = prompt.parts.iter();
    parts
        .map(|part| prompt::cache_key(&salt, &part.name))
        .collect()
}

#[allow(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are small and not negative"
)]
fn truncate(tokens: f64) -> u64 {
    tokens as u64
}

/// Converts milliseconds to a duration; a value that is out of range becomes the longest duration.
fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX)
}
