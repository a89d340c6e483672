//! The strategies of common load balancers, for comparison. They match well-configured balancers, so that a comparison
//! does not gain from a weak baseline.

use crate::{
    Strategy,
    candidates::{Member, Scored, Scratch, top_members},
    numeric,
    placement::{Choice, Query, Source, View, new_choice},
};

impl View<'_> {
    /// Chooses a server by a baseline strategy. `turn` is the arrival number of the request.
    pub(crate) fn place_baseline(
        &self,
        query: &Query<'_>,
        turn: u64,
        scratch: &mut Scratch,
    ) -> Option<Choice> {
        scratch.candidates.clear();
        self.collect_allowed(query, scratch);
        let allowed = &scratch.allowed;
        let server = match self.settings.strategy {
            Strategy::HashOnly | Strategy::Jaystand => {
                // Hashes up to the base level, much like a hash over the prompt's first kilobytes. A hash of the first
                // level alone would send all documents of a team to one server.
                let chain = &query.request.chain;
                let base = chain.levels().get(chain.base());
                let hash = base.map_or(query.request.id, |level| level.hash);
                top_members(allowed, hash, 1)
                    .first()
                    .map(|first| first.member.server)
            }
            Strategy::LeastLoaded => {
                // Breaks ties by a hash; otherwise all daemons would choose the first idle server.
                let key = |member: &&Member| {
                    let load = self.summaries[member.server as usize].occupancy;
                    (
                        load,
                        numeric::mix_hashes(query.request.id, member.name_hash),
                    )
                };
                let least = allowed.iter().min_by(|a, b| {
                    let ((a, first), (b, second)) = (key(a), key(b));
                    a.total_cmp(&b).then(first.cmp(&second))
                });
                least.map(|member| member.server)
            }
            Strategy::RoundRobin => {
                let index = numeric::remainder(turn, allowed.len());
                allowed.get(index).map(|member| member.server)
            }
        }?;
        let scored = Scored {
            server,
            source: Source::Baseline,
            cached_tokens: 0.0,
            observed_at: None,
            rank: 0,
        };
        Some(new_choice(&scored, self.terms(query, &scored)))
    }
}
