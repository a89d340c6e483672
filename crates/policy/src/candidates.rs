//! The servers that are scored for a request: members of the prefix's group, holders of observed levels and the
//! least loaded.

use std::cmp::Reverse;

use jaystand_types::{Moment, ServerId};
use smallvec::SmallVec;

use crate::{
    backend::Backend,
    figure,
    health::State,
    placement::{Query, Source, View},
};

/// Members of a group that are scored, in rendezvous order under the level that chooses the member.
const MEMBERS: usize = 3;
/// What members are presumed to hold, relative to the first one. All daemons let a prefix overflow in the same
/// order, so that it is computed on few servers.
const RANK_HELD: [f64; MEMBERS] = [1.0, 0.3, 0.15];
/// Levels that may narrow the group one after another.
const GROUP_LEVELS: usize = 3;
/// Servers after the group in its order that are scored, too: what overflows goes to them.
const OVERFLOW: usize = 2;
/// Likelihood that they hold the hot prefix, relative to the members.
const NEXT_HELD: f64 = 0.5;
/// Groups up to this size are selected by insertion, larger ones by partition.
const SMALL_GROUP: usize = 16;
/// Holders of observed levels that are scored.
const HOLDERS: usize = 6;
/// Servers sampled for the least loaded ones. Sampling keeps daemons with the same reports from choosing the
/// same idle server.
const SAMPLE: usize = 16;
const SAMPLE_SALT: u64 = 0x5bd1_e995;
/// The first member counts as holding this much more when the protected candidate is chosen: all daemons know
/// it, whereas other holders are known to some.
const HOME_ADVANTAGE: f64 = 1.3;

/// What choosing candidates reads of every server, apart from the rest so that it stays in the processor's cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    /// Hash of the name.
    key: u64,
    access: Access,
    /// Load as a part of the slots.
    pub(crate) occupancy: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Access {
    Closed,
    /// Ejected: only when there is no other.
    Last,
    Open,
}

impl Rank {
    pub(crate) fn new(now: Moment, backend: &Backend) -> Self {
        let ejected = matches!(backend.health.state(), State::Ejected { .. });
        let access = match (backend.eligible(), ejected) {
            (false, _) => Access::Closed,
            (true, true) => Access::Last,
            (true, false) => Access::Open,
        };
        Self {
            key: backend.key,
            access,
            occupancy: backend.occupancy(now),
        }
    }
}

/// Buffers that are kept between decisions.
#[derive(Debug, Default)]
pub(crate) struct Scratch {
    pub(crate) allowed: Vec<Member>,
    /// For each server, the number of the decision that last allowed it.
    marks: Vec<u32>,
    decision: u32,
    group: Vec<Member>,
    weighted: Vec<Weighted>,
    pub(crate) candidates: Vec<Scored>,
    /// Prompt tokens up to the end of the deepest hot level.
    pub(crate) shared: f64,
    /// What every allowed server is presumed to hold, because the group takes in all of them.
    spread: f64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) key: u64,
    pub(crate) server: ServerId,
}

/// A member with its rendezvous weight under one level.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighted {
    weight: u64,
    pub(crate) member: Member,
}

impl Weighted {
    fn new(member: Member, hash: u64) -> Self {
        let weight = figure::mix(hash, member.key);
        Self { weight, member }
    }
}

/// Members in rendezvous order, the first ones.
pub(crate) type First = SmallVec<[Weighted; SMALL_GROUP]>;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scored {
    pub(crate) server: ServerId,
    pub(crate) source: Source,
    /// Prompt tokens that its cache is presumed to hold.
    pub(crate) held: f64,
    /// When it was seen to hold them.
    pub(crate) observed: Option<Moment>,
    pub(crate) rank: usize,
}

impl View<'_> {
    /// Collects the candidates, the likeliest prefix holder first.
    pub(crate) fn gather(&self, query: &Query<'_>, scratch: &mut Scratch) {
        scratch.candidates.clear();
        scratch.shared = 0.0;
        scratch.spread = 0.0;
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
    pub(crate) fn allow(&self, query: &Query<'_>, scratch: &mut Scratch) {
        scratch.decision = scratch.decision.wrapping_add(1).max(1);
        scratch.marks.resize(self.ranks.len(), 0);
        for (least, avoiding) in [(Access::Open, true), (Access::Last, false)] {
            scratch.allowed.clear();
            for &server in query.request.servers.iter() {
                let Some(rank) = self.ranks.get(server as usize) else {
                    continue;
                };
                if rank.access < least || (avoiding && query.avoid.contains(&server)) {
                    continue;
                }
                let key = rank.key;
                scratch.allowed.push(Member { key, server });
                scratch.marks[server as usize] = scratch.decision;
            }
            if !scratch.allowed.is_empty() {
                return;
            }
        }
    }

    /// Shallow hot levels narrow the group, the first cold level orders its members.
    fn add_members(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        if levels.is_empty() {
            // Without a prefix only load matters.
            return;
        }
        let (allowed, group) = (&scratch.allowed, &mut scratch.group);
        let weighted = &mut scratch.weighted;
        let mut shared = 0.0;
        let mut next = First::new();
        // A prompt that is hot as a whole is spread by request.
        let mut anchor = query.request.id;
        let mut narrowed = 0;
        for level in &levels[query.request.chain.base()..] {
            let servers = self.heat.servers(query.now, level, query.scale);
            if servers < 2 {
                anchor = level.hash;
                break;
            }
            shared = query.tokens_to(level);
            let present = if narrowed == 0 { allowed } else { &*group };
            if narrowed < GROUP_LEVELS && servers < present.len() {
                next = narrow(present, level.hash, servers, weighted);
                group.clear();
                group.extend(weighted.iter().map(|weighted| weighted.member));
                narrowed += 1;
            }
        }
        let group = if narrowed == 0 { allowed } else { &*group };
        let members = first_members(group, anchor, MEMBERS);
        let rest = f64::from(query.request.prompt_tokens) - shared;
        scratch.shared = shared;
        let shared = shared * query.group_held;
        for (rank, weighted) in members.into_iter().enumerate() {
            scratch.candidates.push(Scored {
                server: weighted.member.server,
                source: Source::Member,
                held: shared + query.home_held * rest * RANK_HELD[rank],
                observed: None,
                rank,
            });
        }
        for weighted in next {
            let server = weighted.member.server;
            add(scratch, server, Source::Member, shared * NEXT_HELD, None);
        }
        scratch.spread = if narrowed == 0 { shared } else { 0.0 };
    }

    fn add_holders(&self, query: &Query<'_>, scratch: &mut Scratch) {
        let levels = query.request.chain.levels();
        let mut found = 0;
        for level in levels.iter().rev() {
            for holder in self.observations.holders(level).iter().rev() {
                let Some(backend) = self.backends.get(holder.server as usize) else {
                    continue;
                };
                let allowed = scratch.marks.get(holder.server as usize) == Some(&scratch.decision);
                if holder.epoch != backend.epoch || !allowed {
                    continue;
                }
                let age = query.now.saturating_sub(holder.seen);
                let held = query.tokens_to(level) * backend.retained(age);
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
            let occupancy = self.ranks[server as usize].occupancy;
            let position = least.partition_point(|(load, _)| *load <= occupancy);
            if position < 2 {
                least.truncate(1);
                least.insert(position.min(least.len()), (occupancy, server));
            }
        }
        for (_, server) in least {
            add(scratch, server, Source::LeastLoaded, scratch.spread, None);
        }
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

/// Keeps the first members of the rendezvous order of a level in `kept`; gives the ones after them.
fn narrow(from: &[Member], hash: u64, servers: usize, kept: &mut Vec<Weighted>) -> First {
    kept.clear();
    if servers + OVERFLOW <= SMALL_GROUP {
        let first = first_members(from, hash, servers + OVERFLOW);
        kept.extend_from_slice(&first);
    } else {
        kept.extend(from.iter().map(|member| Weighted::new(*member, hash)));
        kept.select_nth_unstable_by_key(servers - 1, |w| Reverse((w.weight, w.member.server)));
    }
    let servers = servers.min(kept.len());
    let mut next = First::new();
    for weighted in &kept[servers..] {
        insert_first(&mut next, OVERFLOW, *weighted);
    }
    kept.truncate(servers);
    next
}

/// The first members of the rendezvous order of a level, in order.
pub(crate) fn first_members(group: &[Member], hash: u64, most: usize) -> First {
    let mut first = First::new();
    for member in group {
        insert_first(&mut first, most, Weighted::new(*member, hash));
    }
    first
}

/// Keeps the `most` members of greatest weight in order.
#[inline]
fn insert_first(first: &mut First, most: usize, weighted: Weighted) {
    // Most members fail here, so this part is inlined into the loops.
    if first.len() < most || first[most - 1].weight < weighted.weight {
        insert_in_order(first, most, weighted);
    }
}

fn insert_in_order(first: &mut First, most: usize, weighted: Weighted) {
    let position = first.partition_point(|known| known.weight >= weighted.weight);
    first.truncate(most - 1);
    first.insert(position, weighted);
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
