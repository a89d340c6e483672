//! Choice of the backend server with the lowest expected time to the first token.
//!
//! All hosts compute the same order of servers for a shared prompt part (rendezvous hashing), so that they use
//! the same few servers for it without exchanging a word, also right after a restart. What a host has seen
//! itself corrects that order, and load overrides it.

use std::{net::SocketAddr, time::Duration};

use jaystand_types::{DataCentre, Moment, Version};
use smallvec::SmallVec;

use crate::{
    ServerKey, ServiceName,
    config::Engine,
    directory::{Directory, Server},
    holdings::Holdings,
    load::{Load, Peers},
    prompt::{self, Prompt, Salt},
    reach::Reach,
    weights::Versions,
};

/// Milliseconds to the first token on an idle engine, without the prompt; the site files state 53 and 60.
const FIRST_TOKEN_MS: f64 = 55.0;
/// Prompt tokens that an engine computes in a millisecond, before its pace is measured; the sheets state 92
/// and 140.
const TOKENS_PER_MS: f64 = 100.0;
/// Milliseconds for each pair of a computed token and a token of the prompt; the site files state 0.3 for a
/// million.
const PAIR_MS: f64 = 0.3e-6;
/// Milliseconds by which each running request delays a first token: its steps share the engine.
const ACTIVE_MS: f64 = 1.5;
/// Part of the time to compute a prompt by which each running stream of the server counts as delayed: its
/// events pause meanwhile.
const DISTURBANCE: f64 = 0.5;
/// Milliseconds for each token of an answer at a server that computes prompts all the time: the answer's events pause
/// meanwhile.
const PAUSE_TOKEN_MS: f64 = 1.0;
/// Milliseconds by which each request beyond the slots delays a first token.
const QUEUED_MS: f64 = 45.0;
/// Shared tokens that are missed count this many times: computing them again delays the requests behind, displaces
/// other parts and has a price, while a first token some tens of milliseconds later is still in time.
const RECOMPUTE_WEIGHT: f64 = 4.0;
/// Part of the shared tokens that the first and second server of the order are presumed to hold.
const PRESUMED_HELD: [f64; 2] = [0.3, 0.1];
/// Milliseconds to fetch kept parts from another server, and for each token: 131 KB over 137 GB/s, twice that
/// between data centres.
const FETCH_MS: f64 = 3.0;
const FETCH_TOKEN_MS: f64 = 0.002;
/// Parts of fewer tokens are computed in the time that a fetch takes.
const LEAST_FETCHED: u32 = 200;
/// Shared parts of fewer tokens in all, or than the request's own part, are not sent to a store: the own part goes
/// along and displaces others there. The stores of the large deployments have room for some 600 whole prompts,
/// whose documents are as many.
const LEAST_SAVED: u32 = 1_000;
/// Milliseconds added for a server on older weights, whose answers lose a fifth of their credit.
const OUTDATED_MS: f64 = 120.0;
/// Milliseconds added for a server in another data centre; both ways take about 2 ms, and the bytes have a
/// price.
const REMOTE_MS: f64 = 4.0;
/// Servers that are compared for each request: the first ones of its order, and others drawn for it. More would find the
/// same idle server on many hosts, whose news of each other are some hundred milliseconds old.
const FIRST: usize = 2;
const OTHERS: usize = 1;
/// The same for prompts whose shared parts are small: it does not matter where these are kept, and their load is small,
/// so that hosts that choose the same server do no harm.
const SHORT_OTHERS: usize = 12;
/// The same for plain services, which have few servers whose work takes tens of milliseconds.
const PLAIN_OTHERS: usize = 3;
/// A request may begin this many times later than expected; it must not begin on weights that are too old.
const BEGIN_MARGIN: u32 = 3;
/// Part of an engine's memory that running requests may fill before waiting is expected.
const MEMORY_PART: f64 = 0.85;
/// Memory that must become free delays a first token by this many times the time to compute as many tokens.
const MEMORY_WAIT: f64 = 2.0;
/// A failing server looks this many times slower when all of its recent attempts failed.
const ERROR_FACTOR: f64 = 6.0;
/// Milliseconds of a plain answer, and for each request ahead, per slot.
const PLAIN_STEP_MS: f64 = 40.0;
/// Plain answers that are expected within this many milliseconds of each other count as alike.
const PLAIN_ALIKE_MS: f64 = 3.0;

/// What the choice reads.
pub struct View<'a, P> {
    /// The servers.
    pub directory: &'a Directory,
    /// Load by other hosts.
    pub peers: &'a Peers<P>,
    /// Weights versions.
    pub versions: &'a Versions,
    /// Prompt parts seen on servers.
    pub holdings: &'a Holdings,
    /// Stores of kept prompt parts that can be reached.
    pub stores: &'a [Store],
    /// Which data centres can be reached.
    pub reach: &'a Reach,
    /// Data centre of this host.
    pub data_centre: &'a DataCentre,
}

jaystand_types::common! { value
    /// A store of kept prompt parts.
    pub struct Store {
        /// Its identity among servers.
        pub key: ServerKey,
        /// Where it listens.
        pub address: SocketAddr,
    }
}

impl Store {
    /// The store at an address.
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
    /// Its identity, which spreads requests without a shared part.
    pub call: u64,
    /// The service that runs it.
    pub service: &'a ServiceName,
    /// The engines of that service.
    pub engine: Option<&'a Engine>,
    /// Its prompt, with the salt under which it is kept.
    pub prompt: Option<(&'a Prompt, &'a Salt)>,
    /// Servers that have failed it.
    pub avoid: &'a [ServerKey],
}

jaystand_types::common! { data
    /// The chosen server.
    pub struct Choice {
        /// The server.
        pub server: ServerKey,
        /// Expected time to the first token, or to the answer of a plain service.
        pub expected: Duration,
        /// Load that the request adds.
        pub load: Load,
        /// Weights version that the server serves of the request's model.
        pub version: Option<Version>,
        /// Server or store from which it should fetch kept parts first.
        pub fetch_from: Option<SocketAddr>,
        /// Store to which it should send the parts of the prompt.
        pub save_to: Option<Store>,
    }
}

impl<P: std::hash::Hash + Eq + Clone> View<'_, P> {
    /// The best server, if any may take the request. Servers that are paused come last.
    #[must_use]
    pub fn choose(&self, now: Moment, query: &Query<'_>) -> Option<Choice> {
        let allowed: SmallVec<[&Server; 32]> = self
            .directory
            .iter()
            .filter(|server| Self::may_take(now, server, query))
            .collect();
        let sound: SmallVec<[&Server; 32]> = allowed
            .iter()
            .copied()
            .filter(|server| !server.health.is_backing_off(now) && !self.cut_off(now, server))
            .collect();
        let candidates = if sound.is_empty() { &allowed } else { &sound };
        let anchor = query
            .prompt
            .map_or(query.call, |(prompt, salt)| prompt.affinity_key(salt));
        let mut order: SmallVec<[(u64, &Server); 32]> = candidates
            .iter()
            .map(|server| (prompt::mix(anchor, server.key), *server))
            .collect();
        order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let others = match query.prompt {
            Some((prompt, _)) if prompt.shared_tokens() >= LEAST_SAVED => OTHERS,
            Some(_) => SHORT_OTHERS,
            None => PLAIN_OTHERS,
        };
        let sample = Sample::new(query.call, order.len(), others);
        // When no server of the sample can begin in time on weights that are new enough, all are compared.
        self.best_of(now, query, &order, Some(&sample))
            .or_else(|| self.best_of(now, query, &order, None))
    }

    /// When the first server of the request's service takes requests again, if all of them want none for now.
    #[must_use]
    pub fn all_paused_until(&self, now: Moment, query: &Query<'_>) -> Option<Moment> {
        let mut soonest = None;
        let servers = self.directory.iter();
        for server in servers.filter(|s| s.entry.service == *query.service && s.takes_work()) {
            let until = server.paused_until(now)?;
            soonest = Some(soonest.map_or(until, |soonest: Moment| soonest.min(until)));
        }
        soonest
    }

    fn best_of(
        &self,
        now: Moment,
        query: &Query<'_>,
        order: &[(u64, &Server)],
        sample: Option<&Sample>,
    ) -> Option<Choice> {
        let mut kept = Kept::default();
        let mut best: Option<(f64, Choice)> = None;
        for (rank, (_, server)) in order.iter().enumerate() {
            let sampled = sample.is_none_or(|sample| sample.holds(rank));
            if !sampled && !self.keeps_all(now, query, &mut kept, server) {
                continue;
            }
            let (score, choice) = match query.prompt {
                Some((prompt, salt)) => {
                    let version = server.entry.version(&prompt.model);
                    let keys = kept.keys(prompt, salt, version);
                    let home = order
                        .iter()
                        .map(|(_, other)| *other)
                        .find(|other| other.entry.version(&prompt.model) == version);
                    let stock = self.stock(now, prompt, keys, server, home, rank);
                    self.rate_engine(now, query, prompt, server, version, &stock)
                }
                None => self.rate_plain(now, server),
            };
            if self.overdue(now, query, &choice) {
                continue;
            }
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Whether a server is known to keep all shared parts of the request's prompt.
    fn keeps_all(&self, now: Moment, query: &Query<'_>, kept: &mut Kept, server: &Server) -> bool {
        let Some((prompt, salt)) = query.prompt else {
            return false;
        };
        let keys = kept.keys(prompt, salt, server.entry.version(&prompt.model));
        let shared = prompt.shared_tokens();
        shared > 0 && self.held(now, prompt, keys, server.key) >= shared
    }

    /// Whether the request would begin on weights that are required to be newer by then.
    fn overdue(&self, now: Moment, query: &Query<'_>, choice: &Choice) -> bool {
        let (Some((prompt, _)), Some(version)) = (query.prompt, choice.version) else {
            return false;
        };
        let begins = now + choice.expected * BEGIN_MARGIN;
        version < self.versions.required(begins, &prompt.model)
    }

    fn may_take(now: Moment, server: &Server, query: &Query<'_>) -> bool {
        if server.entry.service != *query.service
            || !server.takes_work()
            || server.updating(now)
            || server.paused_until(now).is_some()
            || query.avoid.contains(&server.key)
        {
            return false;
        }
        let Some((prompt, _)) = query.prompt else {
            return true;
        };
        if server.entry.weights.is_empty() {
            return true;
        }
        server.entry.version(&prompt.model).is_some()
    }

    /// What a server keeps of a prompt, and what it could fetch.
    fn stock(
        &self,
        now: Moment,
        prompt: &Prompt,
        keys: &[u64],
        server: &Server,
        home: Option<&Server>,
        rank: usize,
    ) -> Stock {
        let shared = f64::from(prompt.shared_tokens());
        let held = self.held(now, prompt, keys, server.key);
        let mut stock = Stock {
            held: f64::from(held),
            fetched: 0.0,
            source: None,
            save_to: None,
        };
        if !self.holdings.reports(server.key) {
            let presumed = shared * PRESUMED_HELD.get(rank).copied().unwrap_or(0.0);
            stock.held = stock.held.max(presumed);
        }
        let missing = prompt.shared_tokens().saturating_sub(held);
        let Some(last) = prompt.shared().len().checked_sub(1) else {
            return stock;
        };
        let store = self.store_of(keys[last]);
        let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        let worth_saving = prompt.shared_tokens() >= LEAST_SAVED.max(own);
        if let Some(store) = store.filter(|_| worth_saving) {
            let kept = self.holdings.tokens(now, keys[last], store.key);
            stock.save_to = (kept == 0).then_some(store);
        }
        if missing < LEAST_FETCHED {
            // What an engine is taken to keep may have been displaced; then the store has it.
            let doubtful = !self.holdings.reports(server.key) && stock.save_to.is_none();
            let store = store.filter(|_| doubtful && prompt.shared_tokens() >= LEAST_SAVED);
            stock.source = store.map(|store| store.address);
            return stock;
        }
        let engines = self
            .holdings
            .holders(now, keys[last])
            .filter_map(|(key, _)| {
                let source = self.directory.get(key)?;
                let usable = source.key != server.key && self.may_fetch(now, source);
                usable.then_some((key, source.entry.address))
            });
        let stores = store.iter().map(|store| (store.key, store.address));
        let best = engines
            .chain(stores)
            .map(|(key, address)| (self.held(now, prompt, keys, key), address))
            .max_by_key(|(there, _)| *there);
        if let Some((there, address)) = best.filter(|(there, _)| *there > held) {
            let fetched = f64::from(there.min(prompt.shared_tokens()) - held);
            stock.held = stock.held.min(shared - fetched).max(f64::from(held));
            stock.fetched = fetched;
            stock.source = Some(address);
        } else if let Some(store) = store.filter(|_| worth_saving) {
            // Another host may have had it saved; a miss costs a millisecond.
            stock.source = Some(store.address);
        } else if let Some(home) = home.filter(|home| home.key != server.key) {
            // Other hosts use the first server of the order, too.
            stock.source = Some(home.entry.address);
        }
        stock
    }

    /// The store that keeps a part.
    fn store_of(&self, key: u64) -> Option<Store> {
        let stores = self.stores.iter().copied();
        stores.max_by_key(|store| prompt::mix(key, store.key))
    }

    /// Prompt tokens that a server is known to keep, from the first part on without a gap.
    fn held(&self, now: Moment, prompt: &Prompt, keys: &[u64], server: ServerKey) -> u32 {
        let mut held = 0;
        for (part, key) in prompt.parts.iter().zip(keys) {
            let kept = self.holdings.tokens(now, *key, server).min(part.tokens);
            held += kept;
            if kept < part.tokens {
                break;
            }
        }
        held
    }

    fn cut_off(&self, now: Moment, server: &Server) -> bool {
        let data_centre = &server.entry.data_centre;
        data_centre != self.data_centre && self.reach.is_doubtful(now, data_centre)
    }

    fn distance_ms(&self, server: &Server) -> f64 {
        if server.entry.data_centre == *self.data_centre {
            0.0
        } else {
            REMOTE_MS
        }
    }

    fn may_fetch(&self, now: Moment, source: &Server) -> bool {
        !source.health.is_backing_off(now) && !source.updating(now) && !self.cut_off(now, source)
    }

    fn rate_engine(
        &self,
        now: Moment,
        query: &Query<'_>,
        prompt: &Prompt,
        server: &Server,
        version: Option<Version>,
        stock: &Stock,
    ) -> (f64, Choice) {
        let input = f64::from(prompt.input_tokens);
        let missed = (input - stock.held - stock.fetched).max(0.0);
        let missed_shared =
            (f64::from(prompt.shared_tokens()) - stock.held - stock.fetched).max(0.0);
        let mut load = server.load;
        load.add(self.peers.total(server.key));
        let compute_ms = missed / TOKENS_PER_MS + missed * input * PAIR_MS;
        let mut ms = FIRST_TOKEN_MS + as_f64(load.prefill_us) / 1_000.0 + compute_ms;
        if stock.source.is_some() {
            ms += FETCH_MS + stock.fetched * FETCH_TOKEN_MS;
        }
        ms += f64::from(load.active) * ACTIVE_MS;
        let slots = query.engine.map_or(server.entry.slots, |e| e.slots);
        if load.active >= slots {
            ms += f64::from(load.active + 1 - slots) * QUEUED_MS;
        }
        let memory = query
            .engine
            .map_or(f64::INFINITY, |e| as_f64(e.memory_tokens));
        let excess = as_f64(load.memory_tokens + prompt.memory_tokens()) - memory * MEMORY_PART;
        if excess > 0.0 {
            // Engines begin a short urgent prompt before the long ones that wait for more memory.
            ms += MEMORY_WAIT * excess.min(as_f64(prompt.memory_tokens())) / TOKENS_PER_MS;
        }
        ms *= slowness(now, server);
        ms += f64::from(u32::try_from(server.entry.warm_up_left.as_millis().min(500)).unwrap_or(0))
            * 0.1;
        let mut score = ms + (RECOMPUTE_WEIGHT - 1.0) * missed_shared / TOKENS_PER_MS;
        score += compute_ms * f64::from(load.active) * DISTURBANCE;
        score += server.pressure.level() * f64::from(prompt.output_tokens) * PAUSE_TOKEN_MS;
        if version.is_some_and(|v| v < self.versions.preferred(now, &prompt.model)) {
            score += OUTDATED_MS;
        }
        score += self.distance_ms(server);
        let choice = Choice {
            server: server.key,
            expected: milliseconds(ms),
            load: Load {
                active: 1,
                prefill_us: whole(compute_ms * 1_000.0),
                memory_tokens: prompt.memory_tokens(),
            },
            version,
            fetch_from: stock.source,
            save_to: stock.save_to,
        };
        (score, choice)
    }

    fn rate_plain(&self, now: Moment, server: &Server) -> (f64, Choice) {
        let mut load = server.load;
        load.add(self.peers.total(server.key));
        let busy = f64::from(load.active) / f64::from(server.entry.slots.max(1));
        let mut ms = PLAIN_STEP_MS * (1.0 + busy);
        ms *= slowness(now, server);
        // Servers that differ by less take turns, or the slightly better one would get all.
        let mut score = (ms / PLAIN_ALIKE_MS).round() * PLAIN_ALIKE_MS;
        score += self.distance_ms(server);
        let choice = Choice {
            server: server.key,
            expected: milliseconds(ms),
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

/// How many times longer a server takes than one without faults, by the outcomes that this host saw.
fn slowness(now: Moment, server: &Server) -> f64 {
    server.health.slowdown(now) * (1.0 + ERROR_FACTOR * server.health.error_rate(now).powi(2))
}

/// The servers that are compared for a request, by their rank: the first ones of the order, and some others that
/// differ from request to request.
///
/// Loads are some hundred milliseconds old. If every host compared all servers, all would choose the same idle
/// one until the next report.
struct Sample {
    others: SmallVec<[usize; PLAIN_OTHERS]>,
}

impl Sample {
    fn new(call: u64, servers: usize, others: usize) -> Self {
        let others = (0..others as u64).map(|number| {
            let point = prompt::mix(call, number) % (servers.max(1) as u64);
            usize::try_from(point).unwrap_or(0)
        });
        Self {
            others: others.collect(),
        }
    }

    fn holds(&self, rank: usize) -> bool {
        rank < FIRST || self.others.contains(&rank)
    }
}

/// What a server keeps of a prompt.
struct Stock {
    /// Prompt tokens that it is taken to keep.
    held: f64,
    /// Prompt tokens that it can fetch.
    fetched: f64,
    /// From where.
    source: Option<SocketAddr>,
    /// Where the parts should be kept, too.
    save_to: Option<Store>,
}

/// The keys under which a prompt's parts are kept, for each weights version in use.
#[derive(Default)]
struct Kept(SmallVec<[(Option<Version>, Keys); 2]>);

type Keys = SmallVec<[u64; 4]>;

impl Kept {
    fn keys(&mut self, prompt: &Prompt, salt: &Salt, version: Option<Version>) -> &[u64] {
        let known = self.0.iter().position(|(known, _)| *known == version);
        let index = known.unwrap_or_else(|| {
            self.0.push((version, cache_keys(prompt, salt, version)));
            self.0.len() - 1
        });
        &self.0[index].1
    }
}

/// The keys under which a prompt's parts are kept.
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
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are small and not negative"
)]
fn whole(tokens: f64) -> u64 {
    tokens as u64
}

fn milliseconds(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX)
}
