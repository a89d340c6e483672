//! The strategies of usual balancers, for comparison.

use crate::{
    Strategy,
    candidates::{Member, Scored, Scratch, first_members},
    figure,
    placement::{Choice, Query, Source, View, choice},
};

impl View<'_> {
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
                first_members(allowed, hash, 1)
                    .first()
                    .map(|first| first.member.server)
            }
            Strategy::LeastLoaded => {
                let load = |member: &&Member| self.ranks[member.server as usize].occupancy;
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
