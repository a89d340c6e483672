//! Choice of the server with the lowest expected time to first token.

use std::time::Duration;

use jaystand_types::{Moment, RepeatRule, ServerId};
use smallvec::SmallVec;

use crate::{
    Request, Settings, Strategy,
    backend::{Backend, Shape},
    chain::Level,
    figure,
    health::State,
    heat::{Heat, Scale},
    observation::Observations,
};

/// Members of a group that are scored, in rendezvous order under the level that chooses the member.
const MEMBERS: usize = 3;
/// Holders of observed levels that are scored.
const HOLDERS: usize = 6;
/// Servers sampled for the least loaded ones. Sampling keeps daemons with the same reports from choosing the
/// same idle server.
const SAMPLE: usize = 16;
const SAMPLE_SALT: u64 = 0x5bd1_e995;
/// Levels that may narrow the group one after another.
const GROUP_LEVELS: usize = 3;
/// Likelihood that a member of a hot prefix's group holds it.
const GROUP_HELD: f64 = 0.8;
/// A missed token counts more than its own computation: it delays the requests behind it, too.
const RECOMPUTE_WEIGHT: f64 = 1.5;
/// The same for the servers that follow the group in its order, which take what overflows.
const NEXT_HELD: f64 = 0.5;
const OVERFLOW: usize = 2;
/// What members are presumed to hold, relative to the first one. All daemons let a prefix overflow in the same
/// order, so that it is computed on few servers.
const RANK_HELD: [f64; MEMBERS] = [1.0, 0.3, 0.15];
const HOME_ADVANTAGE: f64 = 1.3;
/// A server without the prefix must win by this part of the best prefix holder's score, or by the least margin.
const MARGIN_PART: f64 = 0.15;
const LEAST_MARGIN: f64 = 0.01;
/// Urgent requests go to a server on probation only if it wins by this factor.
const PROBATION_PENALTY: f64 = 3.0;

jaystand_types::common! { value
    /// Why a server is a candidate.
    pub enum Source {
        /// Its rank in the rendezvous order of the prefix.
        Member,
        /// It was seen to hold a prefix of the request.
        Holder,
        /// It is among the least loaded.
        LeastLoaded,
        /// A baseline strategy chose it.
        Baseline,
    }
}

jaystand_types::common! { data
    /// A server considered for a request, with the terms of its score.
    pub struct Candidate {
        /// The server.
        pub server: ServerId,
        /// Why it is considered.
        pub source: Source,
        /// Wait for the window and for prompts ahead.
        pub queue: Duration,
        /// Computing the prompt tokens that its cache is expected to miss.
        pub prefill: Duration,
        /// Prompt tokens expected to be missed.
        pub missed_tokens: u32,
        /// Delay of the link.
        pub link: Duration,
        /// Penalty for recent slowness.
        pub health: Duration,
        /// The sum, which the lowest wins, with the margin that servers without the prefix must win by.
        pub score: Duration,
    }
}

/// The request to place.
pub(crate) struct Query<'a> {
    pub(crate) now: Moment,
    pub(crate) request: &'a Request,
    pub(crate) shape: Shape,
    pub(crate) avoid: &'a [ServerId],
    pub(crate) scale: Scale,
    /// Part of a prompt that the first member of a cold group has been found to hold.
    pub(crate) home_held: f64,
    /// Seconds above the expected first token at which it counts as late.
    pub(crate) margin: f64,
}

/// The chosen server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerId,
    /// Seconds before the request may be sent.
    pub(crate) wait: f64,
    /// Expected seconds to first token.
    pub(crate) expected: f64,
    pub(crate) missed: f64,
    /// Age of the observation that the choice relies on.
    pub(crate) observed: Option<Moment>,
    /// The server is the first member, and nothing was observed about it.
    pub(crate) unobserved_home: bool,
}

/// What is known of all servers.
pub(crate) struct View<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) backends: &'a [Backend],
    pub(crate) observations: &'a Observations,
    pub(crate) heat: &'a Heat,
}

/// Buffers that are kept between decisions.
#[derive(Debug, Default)]
pub(crate) struct Scratch {
    allowed: Vec<Ranked>,
    group: Vec<Ranked>,
    candidates: Vec<Scored>,
}

#[derive(Clone, Copy, Debug)]
struct Ranked {
    weight: u64,
    server: ServerId,
}

/// Servers with their rendezvous weights, greatest first.
type Overflow = SmallVec<[(u64, ServerId); 4]>;

#[derive(Clone, Copy, Debug)]
struct Scored {
    server: ServerId,
    source: Source,
    held: f64,
    observed: Option<Moment>,
    rank: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Terms {
    wait: f64,
    ahead: f64,
    prefill: f64,
    missed: f64,
    link: f64,
    health: f64,
}

impl Terms {
    fn total(self) -> f64 {
        self.wait + self.ahead + self.prefill + self.link + self.health
    }
}

impl View<'_> {
    /// The server for the request, if any of the allowed ones takes work.
    pub(crate) fn place(&self, query: &Query<'_>, scratch: &mut Scratch) -> Option<Choice> {
        self.gather(query, scratch);
        let mut best: Option<(f64, Choice)> = None;
        let mut margin = 0.0;
        for scored in &scratch.candidates {
            let terms = self.terms(query, scored);
            let total = terms.total();
            if best.is_none() {
                margin = (MARGIN_PART * total).max(LEAST_MARGIN);
            }
            let score = if best.is_none() {
                total
            } else {
                total + margin
            };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, choice(scored, terms)));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// A server on probation that this request may probe. Nothing else would bring it back: what it held has
    /// moved to others.
    pub(crate) fn probe(&self, query: &Query<'_>) -> Option<ServerId> {
        if query.request.repeat != RepeatRule::Repeatable {
            return None;
        }
        let urgent = query.shape.class == 0;
        let waits = |server: &&ServerId| {
            let backend = self.backends.get(**server as usize);
            backend.is_some_and(|backend| {
                let idle = backend.in_flight == 0 && backend.queue.is_empty();
                idle && backend.eligible() && backend.health.wants_probe(query.now, urgent)
            })
        };
        let avoided = |server: &&ServerId| !query.avoid.contains(server);
        query
            .request
            .servers
            .iter()
            .filter(avoided)
            .find(waits)
            .copied()
    }

    /// The terms of a given server, with what is observed of it.
    pub(crate) fn evaluate(&self, query: &Query<'_>, server: ServerId) -> Choice {
        let levels = query.request.chain.levels();
        let end = levels.last().map_or(1, |level| level.end.max(1));
        let epoch = self.backends[server as usize].epoch;
        let mut scored = Scored {
            server,
            source: Source::Holder,
            held: 0.0,
            observed: None,
            rank: 0,
        };
        for level in levels.iter().rev() {
            let holders = self.observations.holders(level);
            let holder = holders
                .iter()
                .find(|h| h.server == server && h.epoch == epoch);
            if let Some(holder) = holder {
                let age = query.now.saturating_sub(holder.seen);
                let retained = self.backends[server as usize].retained(age);
                scored.held = self.tokens_to(query, level, end) * retained;
                scored.observed = Some(holder.seen);
                break;
            }
        }
        choice(&scored, self.terms(query, &scored))
    }

    /// All candidates with their terms, best first.
    pub(crate) fn explain(&self, query: &Query<'_>) -> Vec<Candidate> {
        let mut scratch = Scratch::default();
        self.gather(query, &mut scratch);
        let mut margin = 0.0;
        let mut list = Vec::new();
        for (position, scored) in scratch.candidates.iter().enumerate() {
            let terms = self.terms(query, scored);
            let score = terms.total() + margin;
            if position == 0 {
                margin = (MARGIN_PART * score).max(LEAST_MARGIN);
            }
            list.push(Candidate {
                server: scored.server,
                source: scored.source,
                queue: figure::duration(terms.wait + terms.ahead),
                prefill: figure::duration(terms.prefill),
                missed_tokens: figure::floor(terms.missed),
                link: figure::duration(terms.link),
                health: figure::duration(terms.health),
                score: figure::duration(score),
            });
        }
        list.sort_by_key(|candidate| candidate.score);
        list
    }

    /// Collects the candidates, the likeliest prefix holder first.
    fn gather(&self, query: &Query<'_>, scratch: &mut Scratch) {
        scratch.candidates.clear();
        self.allow(query, scratch);
        if scratch.allowed.is_empty() {
            return;
        }
        self.add_members(query, scratch);
        self.add_holders(query, scratch);
        self.add_least_loaded(query, scratch);
        // The margin protects the first one. All daemons prefer the home to other holders, so that they agree.
        scratch.candidates.sort_by(|a, b| {
            protected(b)
                .total_cmp(&protected(a))
                .then(a.rank.cmp(&b.rank))
        });
    }

    /// The servers that may take the request; those to avoid or ejected only when there are no others.
    fn allow(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let passes: [fn(&Backend, bool) -> bool; 2] = [
            |backend, avoided| !avoided && !matches!(backend.health.state(), State::Ejected { .. }),
            |_, _| true,
        ];
        for pass in passes {
            scratch.allowed.clear();
            for &server in query.request.servers.iter() {
                let Some(backend) = self.backends.get(server as usize) else {
                    continue;
                };
                if backend.eligible() && pass(backend, query.avoid.contains(&server)) {
                    scratch.allowed.push(Ranked { weight: 0, server });
                }
            }
            if !scratch.allowed.is_empty() {
                return;
            }
        }
    }

    /// Shallow hot levels narrow the group, the first cold level orders its members.
    fn add_members(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        let end = levels.last().map_or(1, |level| level.end.max(1));
        scratch.group.clone_from(&scratch.allowed);
        let mut shared = 0.0;
        let mut next = Overflow::new();
        let mut anchor = query.request.id;
        let mut narrowed = 0;
        for level in levels {
            anchor = level.hash;
            let servers = self.heat.servers(query.now, level, query.scale);
            if servers < 2 {
                break;
            }
            shared = self.tokens_to(query, level, end) * GROUP_HELD;
            if narrowed < GROUP_LEVELS && servers < scratch.group.len() {
                next = self.narrow(&mut scratch.group, level.hash, servers);
                narrowed += 1;
            }
        }
        let members = self.first_members(&scratch.group, anchor);
        let prompt = f64::from(query.request.prompt_tokens);
        for (rank, server) in members.into_iter().enumerate() {
            let home = if levels.is_empty() {
                0.0
            } else {
                query.home_held * prompt * RANK_HELD[rank]
            };
            scratch.candidates.push(Scored {
                server,
                source: Source::Member,
                held: shared.max(home),
                observed: None,
                rank,
            });
        }
        for (_, server) in next {
            add(scratch, server, Source::Member, shared * NEXT_HELD, None);
        }
    }

    fn add_holders(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        let end = levels.last().map_or(1, |level| level.end.max(1));
        let mut found = 0;
        for level in levels.iter().rev() {
            for holder in self.observations.holders(level).iter().rev() {
                let Some(backend) = self.backends.get(holder.server as usize) else {
                    continue;
                };
                let allowed = scratch.allowed.iter().any(|r| r.server == holder.server);
                if holder.epoch != backend.epoch || !allowed {
                    continue;
                }
                let age = query.now.saturating_sub(holder.seen);
                let held = self.tokens_to(query, level, end) * backend.retained(age);
                add(
                    scratch,
                    holder.server,
                    Source::Holder,
                    held,
                    Some(holder.seen),
                );
                found += 1;
            }
            if found >= HOLDERS {
                return;
            }
        }
    }

    fn add_least_loaded(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let total = scratch.allowed.len();
        let start = figure::index(figure::mix(query.request.id, SAMPLE_SALT), total);
        let mut least: SmallVec<[(f64, ServerId); 2]> = SmallVec::new();
        for offset in 0..SAMPLE.min(total) {
            let server = scratch.allowed[(start + offset) % total].server;
            let occupancy = self.backends[server as usize].occupancy(query.now);
            let position = least.partition_point(|(load, _)| *load <= occupancy);
            if position < 2 {
                least.truncate(1);
                least.insert(position.min(least.len()), (occupancy, server));
            }
        }
        for (_, server) in least {
            add(scratch, server, Source::LeastLoaded, 0.0, None);
        }
    }

    fn terms(&self, query: &Query<'_>, scored: &Scored) -> Terms {
        let backend = &self.backends[scored.server as usize];
        let prompt = f64::from(query.request.prompt_tokens);
        let missed = (prompt - scored.held).max(0.0);
        let prefill = backend.latency.first_token(missed * RECOMPUTE_WEIGHT);
        let ahead = backend.pending_tokens * backend.latency.prefill();
        let mut slowness = backend.health.slowness(query.now) / backend.peers.slowness.max(1.0);
        if query.shape.class == 0 && matches!(backend.health.state(), State::Probation { .. }) {
            slowness = slowness.max(PROBATION_PENALTY);
        }
        // A first token that is late right now shows a slow server before any answer does.
        let stalled = if backend.overdue > 0 {
            query.margin
        } else {
            0.0
        };
        Terms {
            wait: backend.wait(query.now, query.shape, self.settings),
            ahead,
            prefill,
            missed,
            link: if backend.near {
                0.0
            } else {
                self.settings.link_delay.as_secs_f64()
            },
            health: (prefill + ahead) * (slowness - 1.0).max(0.0) + stalled,
        }
    }

    /// Keeps the first servers of the rendezvous order of a level; gives the ones after them.
    fn narrow(&self, group: &mut Vec<Ranked>, hash: u64, servers: usize) -> Overflow {
        for ranked in group.iter_mut() {
            ranked.weight = figure::mix(hash, self.backends[ranked.server as usize].key);
        }
        group.select_nth_unstable_by_key(servers - 1, |ranked| {
            (std::cmp::Reverse(ranked.weight), ranked.server)
        });
        let mut next = Overflow::new();
        for ranked in &group[servers..] {
            insert_first(&mut next, OVERFLOW, ranked.weight, ranked.server);
        }
        group.truncate(servers);
        next
    }

    fn first_members(&self, group: &[Ranked], hash: u64) -> SmallVec<[ServerId; MEMBERS]> {
        let mut first = Overflow::new();
        for ranked in group {
            let weight = figure::mix(hash, self.backends[ranked.server as usize].key);
            insert_first(&mut first, MEMBERS, weight, ranked.server);
        }
        first.into_iter().map(|(_, server)| server).collect()
    }

    #[allow(clippy::unused_self, reason = "reads as a term of the score")]
    fn tokens_to(&self, query: &Query<'_>, level: &Level, end: u32) -> f64 {
        f64::from(query.request.prompt_tokens) * f64::from(level.end) / f64::from(end)
    }

    /// The server that a baseline strategy chooses; `turn` counts its requests.
    pub(crate) fn place_baseline(
        &self,
        query: &Query<'_>,
        turn: u64,
        scratch: &mut Scratch,
    ) -> Option<Choice> {
        scratch.candidates.clear();
        self.allow(query, scratch);
        let allowed = &scratch.allowed;
        let server = match self.settings.strategy {
            Strategy::HashOnly | Strategy::Jaystand => {
                let levels = query.request.chain.levels();
                let hash = levels.first().map_or(query.request.id, |level| level.hash);
                self.first_members(allowed, hash).first().copied()
            }
            Strategy::LeastLoaded => {
                let load = |ranked: &&Ranked| {
                    let backend = &self.backends[ranked.server as usize];
                    backend.occupancy(query.now)
                };
                let least = allowed.iter().min_by(|a, b| load(a).total_cmp(&load(b)));
                least.map(|ranked| ranked.server)
            }
            Strategy::RoundRobin => {
                let index = figure::index(turn, allowed.len());
                allowed.get(index).map(|ranked| ranked.server)
            }
        }?;
        let scored = Scored {
            server,
            source: Source::Baseline,
            held: 0.0,
            observed: None,
            rank: 0,
        };
        Some(choice(&scored, self.terms(query, &scored)))
    }
}

/// Held tokens, with the advantage of the first member.
fn protected(scored: &Scored) -> f64 {
    if scored.rank == 0 {
        scored.held * HOME_ADVANTAGE
    } else {
        scored.held
    }
}

/// Keeps the `most` servers of greatest weight in order.
fn insert_first(first: &mut Overflow, most: usize, weight: u64, server: ServerId) {
    let position = first.partition_point(|(known, _)| *known >= weight);
    if position < most {
        first.truncate(most - 1);
        first.insert(position, (weight, server));
    }
}

fn choice(scored: &Scored, terms: Terms) -> Choice {
    Choice {
        server: scored.server,
        wait: terms.wait,
        expected: terms.total(),
        missed: terms.missed,
        observed: scored.observed,
        unobserved_home: scored.source == Source::Member && scored.rank == 0,
    }
}

fn add(
    scratch: &mut Scratch,
    server: ServerId,
    source: Source,
    held: f64,
    observed: Option<Moment>,
) {
    let known = scratch.candidates.iter_mut().find(|c| c.server == server);
    match known {
        Some(known) if observed.is_some() && known.observed.is_none() => {
            known.held = known.held.max(held);
            known.source = source;
            known.observed = observed;
        }
        Some(_) => {}
        None => {
            let rank = scratch.candidates.len();
            scratch.candidates.push(Scored {
                server,
                source,
                held,
                observed,
                rank,
            });
        }
    }
}
