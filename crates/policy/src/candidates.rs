//! The servers that are scored for a request: members of the prefix's group, servers observed to have a level cached,
//! and the least loaded ones.

use std::cmp::Reverse;

use jaystand_types::{Moment, ServerId};
use smallvec::SmallVec;

use crate::{
    backend::Backend,
    health::State,
    numeric,
    placement::{Query, Source, View},
};

/// Members of the group that are scored, in rendezvous order of the first cold level.
const MAX_SCORED_MEMBERS: usize = 3;
/// Cached tokens assumed for a member, relative to the first one. All daemons overflow a prefix in the same order, so
/// few servers compute it.
const RANK_CACHED_SHARES: [f64; MAX_SCORED_MEMBERS] = [1.0, 0.3, 0.15];
/// Levels that may narrow the group, one after another.
const MAX_GROUP_LEVELS: usize = 3;
/// Servers scored that follow the group in its rendezvous order. They take the group's overflow.
const OVERFLOW_SERVERS: usize = 2;
/// Likelihood that an overflow server has the hot prefix cached, relative to a member.
const OVERFLOW_CACHED_SHARE: f64 = 0.5;
/// Groups up to this size are selected by insertion, larger ones by partitioning.
const MAX_INSERTION_GROUP: usize = 16;
/// Servers with observed levels after which the search for more stops.
const MAX_SCORED_HOLDERS: usize = 6;
/// Servers sampled to find the least loaded ones. Sampling keeps daemons with the same reports from choosing the same
/// idle server.
const LOAD_SAMPLE: usize = 16;
/// Makes the sample independent of other hashes of the request's id.
const LOAD_SAMPLE_SALT: u64 = 0x5bd1_e995;
/// Factor on the first member's cached tokens when candidates are ordered. All daemons agree on the first member,
/// whereas an observation is known only to some.
const FIRST_MEMBER_ADVANTAGE: f64 = 1.3;

/// The data of a server that the choice of candidates reads. It is kept apart from [`Backend`] so that the data of all
/// servers fits the processor's cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSummary {
    /// Hash of the server's name.
    name_hash: u64,
    access: Access,
    /// Load relative to the slots.
    pub(crate) occupancy: f64,
}

/// Whether a server may be a candidate, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Access {
    Ineligible,
    /// Ejected: used only when no other server is left.
    LastResort,
    Preferred,
}

impl ServerSummary {
    pub(crate) fn new(now: Moment, backend: &Backend) -> Self {
        let ejected = matches!(backend.health.state(), State::Ejected { .. });
        let access = match (backend.eligible(), ejected) {
            (false, _) => Access::Ineligible,
            (true, true) => Access::LastResort,
            (true, false) => Access::Preferred,
        };
        Self {
            name_hash: backend.name_hash,
            access,
            occupancy: backend.occupancy(now),
        }
    }
}

/// Buffers reused between decisions.
#[derive(Debug, Default)]
pub(crate) struct Scratch {
    pub(crate) allowed: Vec<Member>,
    /// For each server, the number of the last decision that allowed it.
    last_allowed: Vec<u32>,
    /// Number of the current decision, never 0.
    decision: u32,
    group: Vec<Member>,
    weighted: Vec<WeightedMember>,
    pub(crate) candidates: Vec<Scored>,
    /// Prompt tokens up to the end of the deepest hot level.
    pub(crate) shared_tokens: f64,
    /// Cached tokens assumed for every allowed server when the group includes all of them, or else 0.
    spread_tokens: f64,
}

/// A server in a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) name_hash: u64,
    pub(crate) server: ServerId,
}

/// A member with its rendezvous weight under one level.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedMember {
    weight: u64,
    pub(crate) member: Member,
}

impl WeightedMember {
    fn new(member: Member, hash: u64) -> Self {
        let weight = numeric::mix_hashes(hash, member.name_hash);
        Self { weight, member }
    }
}

/// The members of greatest weight, in rendezvous order.
pub(crate) type TopMembers = SmallVec<[WeightedMember; MAX_INSERTION_GROUP]>;

/// A candidate whose score is to be computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scored {
    pub(crate) server: ServerId,
    pub(crate) source: Source,
    /// Prompt tokens that its cache is expected to hold.
    pub(crate) cached_tokens: f64,
    /// When it was observed to hold them.
    pub(crate) observed_at: Option<Moment>,
    /// Position in the order in which candidates were added; the first member has 0.
    pub(crate) rank: usize,
}

impl View<'_> {
    /// Collects the candidates, the one most likely to have the prefix cached first.
    pub(crate) fn collect_candidates(&self, query: &Query<'_>, scratch: &mut Scratch) {
        scratch.candidates.clear();
        scratch.shared_tokens = 0.0;
        scratch.spread_tokens = 0.0;
        self.collect_allowed(query, scratch);
        if scratch.allowed.is_empty() {
            return;
        }
        self.add_members(query, scratch);
        self.add_holders(query, scratch);
        self.add_least_loaded(query, scratch);
        // The margin favours the first candidate. Preferring the first member makes all daemons agree on it.
        scratch.candidates.sort_by(|a, b| {
            protected_tokens(b)
                .total_cmp(&protected_tokens(a))
                .then(a.rank.cmp(&b.rank))
        });
    }

    /// Collects the servers that may take the request. Avoided and ejected ones are used only when no other is left.
    pub(crate) fn collect_allowed(&self, query: &Query<'_>, scratch: &mut Scratch) {
        scratch.decision = scratch.decision.wrapping_add(1).max(1);
        scratch.last_allowed.resize(self.summaries.len(), 0);
        for (least, avoiding) in [(Access::Preferred, true), (Access::LastResort, false)] {
            scratch.allowed.clear();
            for &server in query.request.servers.iter() {
                let Some(summary) = self.summaries.get(server as usize) else {
                    continue;
                };
                if summary.access < least || (avoiding && query.avoid.contains(&server)) {
                    continue;
                }
                let name_hash = summary.name_hash;
                scratch.allowed.push(Member { name_hash, server });
                scratch.last_allowed[server as usize] = scratch.decision;
            }
            if !scratch.allowed.is_empty() {
                return;
            }
        }
    }

    /// Adds the members of the prefix's group. Hot levels narrow the group; the first cold level orders its members.
    fn add_members(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        if levels.is_empty() {
            // Without a prefix, only load matters.
            return;
        }
        let (allowed, group) = (&scratch.allowed, &mut scratch.group);
        let weighted = &mut scratch.weighted;
        let mut shared_tokens = 0.0;
        let mut overflow = TopMembers::new();
        // A prompt with hot levels only is spread by request id.
        let mut order_hash = query.request.id;
        let mut narrowed = 0;
        for level in &levels[query.request.chain.base()..] {
            let servers = self.heat.servers_needed(query.now, level, query.scale);
            if servers < 2 {
                order_hash = level.hash;
                break;
            }
            shared_tokens = query.tokens_up_to(level);
            let pool = if narrowed == 0 { allowed } else { &*group };
            if narrowed < MAX_GROUP_LEVELS && servers < pool.len() {
                overflow = select_group(pool, level.hash, servers, weighted);
                group.clear();
                group.extend(weighted.iter().map(|weighted| weighted.member));
                narrowed += 1;
            }
        }
        let group = if narrowed == 0 { allowed } else { &*group };
        let members = top_members(group, order_hash, MAX_SCORED_MEMBERS);
        let rest = f64::from(query.request.prompt_tokens) - shared_tokens;
        scratch.shared_tokens = shared_tokens;
        let shared_tokens = shared_tokens * query.group_cached_share;
        for (rank, weighted) in members.into_iter().enumerate() {
            scratch.candidates.push(Scored {
                server: weighted.member.server,
                source: Source::Member,
                cached_tokens: shared_tokens
                    + query.first_member_cached_share * rest * RANK_CACHED_SHARES[rank],
                observed_at: None,
                rank,
            });
        }
        for weighted in overflow {
            let server = weighted.member.server;
            add_candidate(
                scratch,
                server,
                Source::Member,
                shared_tokens * OVERFLOW_CACHED_SHARE,
                None,
            );
        }
        scratch.spread_tokens = if narrowed == 0 { shared_tokens } else { 0.0 };
    }

    /// Adds the servers observed to have a level cached, deepest levels first.
    fn add_holders(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        let mut found = 0;
        for level in levels.iter().rev() {
            for holder in self.observations.holders(level).iter().rev() {
                let Some(backend) = self.backends.get(holder.server as usize) else {
                    continue;
                };
                let allowed =
                    scratch.last_allowed.get(holder.server as usize) == Some(&scratch.decision);
                if holder.epoch != backend.epoch || !allowed {
                    continue;
                }
                let age = query.now.saturating_sub(holder.observed_at);
                let cached_tokens = query.tokens_up_to(level) * backend.retention_probability(age);
                add_candidate(
                    scratch,
                    holder.server,
                    Source::Holder,
                    cached_tokens,
                    Some(holder.observed_at),
                );
                found += 1;
            }
            if found >= MAX_SCORED_HOLDERS {
                return;
            }
        }
    }

    /// Adds the two least loaded servers of a sample.
    fn add_least_loaded(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let total = scratch.allowed.len();
        let start = numeric::remainder(
            numeric::mix_hashes(query.request.id, LOAD_SAMPLE_SALT),
            total,
        );
        let mut least: SmallVec<[(f64, ServerId); 2]> = SmallVec::new();
        for offset in 0..LOAD_SAMPLE.min(total) {
            let server = scratch.allowed[(start + offset) % total].server;
            let occupancy = self.summaries[server as usize].occupancy;
            let position = least.partition_point(|(load, _)| *load <= occupancy);
            if position < 2 {
                least.truncate(1);
                least.insert(position.min(least.len()), (occupancy, server));
            }
        }
        for (_, server) in least {
            add_candidate(
                scratch,
                server,
                Source::LeastLoaded,
                scratch.spread_tokens,
                None,
            );
        }
    }
}

/// Returns the cached tokens by which candidates are ordered, with the advantage of the first member.
fn protected_tokens(scored: &Scored) -> f64 {
    if scored.rank == 0 {
        scored.cached_tokens * FIRST_MEMBER_ADVANTAGE
    } else {
        scored.cached_tokens
    }
}

/// Puts the first `servers` members in the rendezvous order of a level into `kept`, and returns the overflow servers
/// after them.
fn select_group(
    from: &[Member],
    hash: u64,
    servers: usize,
    kept: &mut Vec<WeightedMember>,
) -> TopMembers {
    kept.clear();
    if servers + OVERFLOW_SERVERS <= MAX_INSERTION_GROUP {
        let first = top_members(from, hash, servers + OVERFLOW_SERVERS);
        kept.extend_from_slice(&first);
    } else {
        kept.extend(from.iter().map(|member| WeightedMember::new(*member, hash)));
        kept.select_nth_unstable_by_key(servers - 1, |w| Reverse((w.weight, w.member.server)));
    }
    let servers = servers.min(kept.len());
    let mut overflow = TopMembers::new();
    for weighted in &kept[servers..] {
        insert_if_top(&mut overflow, OVERFLOW_SERVERS, *weighted);
    }
    kept.truncate(servers);
    overflow
}

/// Returns the first `limit` members in the rendezvous order of a level.
pub(crate) fn top_members(group: &[Member], hash: u64, limit: usize) -> TopMembers {
    let mut first = TopMembers::new();
    for member in group {
        insert_if_top(&mut first, limit, WeightedMember::new(*member, hash));
    }
    first
}

/// Inserts a member if it is among the `limit` members of greatest weight.
#[inline]
fn insert_if_top(first: &mut TopMembers, limit: usize, weighted: WeightedMember) {
    // Most members fail this test, so only it is inlined into the loops.
    if first.len() < limit || first[limit - 1].weight < weighted.weight {
        insert_in_order(first, limit, weighted);
    }
}

fn insert_in_order(first: &mut TopMembers, limit: usize, weighted: WeightedMember) {
    let position = first.partition_point(|known| known.weight >= weighted.weight);
    first.truncate(limit - 1);
    first.insert(position, weighted);
}

/// Adds a server as a candidate, or updates the candidate with its first observation.
fn add_candidate(
    scratch: &mut Scratch,
    server: ServerId,
    source: Source,
    cached_tokens: f64,
    observed_at: Option<Moment>,
) {
    let known = scratch.candidates.iter_mut().find(|c| c.server == server);
    match known {
        Some(known) if observed_at.is_some() && known.observed_at.is_none() => {
            known.cached_tokens = known.cached_tokens.max(cached_tokens);
            known.source = source;
            known.observed_at = observed_at;
        }
        Some(_) => {}
        None => {
            let rank = scratch.candidates.len();
            scratch.candidates.push(Scored {
                server,
                source,
                cached_tokens,
                observed_at,
                rank,
            });
        }
    }
}
