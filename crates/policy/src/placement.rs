//! Placement: choosing the server with the lowest expected time to first token.

use std::time::Duration;

use jaystand_types::{Moment, RepeatRule, ServerId};

use crate::{
    Request, Settings,
    backend::{AdmissionProfile, Backend},
    candidates::{Scored, Scratch, ServerSummary},
    chain::Level,
    health::State,
    heat::{Heat, Scale},
    numeric,
    observation::Observations,
};

/// Weight of the time to compute a missed token, which also delays the requests behind it.
const RECOMPUTE_WEIGHT: f64 = 2.0;
/// Another candidate must beat the first one by this share of the first one's score. Without a margin, lagging reports
/// would make all daemons move to the same server at once.
const MARGIN_SHARE: f64 = 0.15;
/// Lower bound of that margin.
const MIN_MARGIN_SECONDS: f64 = 0.01;
/// Least slowness assumed for a server on probation when an urgent request is placed, so that the server must win by
/// this factor.
const PROBATION_PENALTY: f64 = 3.0;

jaystand_types::common! { value
    /// Why a server is a candidate.
    pub enum Source {
        /// It ranks high in the rendezvous order of the prefix.
        Member,
        /// It was observed to have a prefix of the request cached.
        Holder,
        /// It is one of the least loaded servers.
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
        /// Why it is a candidate.
        pub source: Source,
        /// Wait for room in the window and for the prompts ahead.
        pub queue: Duration,
        /// Time to compute the prompt tokens that its cache is expected to miss.
        pub prefill: Duration,
        /// Prompt tokens that its cache is expected to miss.
        pub missed_tokens: u32,
        /// Delay of the link to its data centre.
        pub link: Duration,
        /// Penalty for recent slowness.
        pub health: Duration,
        /// The sum of the terms. All candidates but the first also carry the margin that they must win by. The lowest
        /// score wins.
        pub score: Duration,
    }
}

/// A request to place, with the estimates that its placement uses.
pub(crate) struct Query<'a> {
    pub(crate) now: Moment,
    pub(crate) request: &'a Request,
    pub(crate) profile: AdmissionProfile,
    /// Servers to use only when no others are left.
    pub(crate) avoid: &'a [ServerId],
    pub(crate) scale: Scale,
    /// Share of a hot prefix that members of its group have had cached.
    pub(crate) group_cached_share: f64,
    /// Share of the prompt after the hot prefix that the first member has had cached.
    pub(crate) first_member_cached_share: f64,
    /// Seconds after its expected time at which a first token counts as late.
    pub(crate) late_margin: f64,
}

impl Query<'_> {
    /// Returns the prompt tokens up to the end of a level.
    pub(crate) fn tokens_up_to(&self, level: &Level) -> f64 {
        let levels = self.request.chain.levels();
        let end = levels.last().map_or(1, |level| level.end.max(1));
        f64::from(self.request.prompt_tokens) * f64::from(level.end) / f64::from(end)
    }
}

/// The chosen server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerId,
    /// Expected time until the request may be sent.
    pub(crate) wait_seconds: f64,
    /// Expected time to first token.
    pub(crate) expected_seconds: f64,
    /// Prompt tokens that the server's cache is expected to miss.
    pub(crate) missed_tokens: f64,
    /// Time of the observation that the choice relies on.
    pub(crate) observed_at: Option<Moment>,
    /// Prompt tokens up to the end of the deepest hot level if the server was chosen as a member, or else 0.
    pub(crate) shared_tokens: f64,
    /// Whether the server is the first member and was not observed to have the prefix cached.
    pub(crate) unobserved_first_member: bool,
}

/// Read access to the router's state that placement needs.
pub(crate) struct View<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) backends: &'a [Backend],
    pub(crate) summaries: &'a [ServerSummary],
    pub(crate) observations: &'a Observations,
    pub(crate) heat: &'a Heat,
}

/// The terms of a candidate's score, in seconds unless named otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ScoreTerms {
    wait: f64,
    prefill_ahead: f64,
    prefill: f64,
    missed_tokens: f64,
    link: f64,
    health: f64,
}

impl ScoreTerms {
    fn total(self) -> f64 {
        self.wait + self.prefill_ahead + self.prefill + self.link + self.health
    }
}

impl View<'_> {
    /// Chooses a server for the request. Returns `None` if no allowed server accepts work.
    pub(crate) fn place(&self, query: &Query<'_>, scratch: &mut Scratch) -> Option<Choice> {
        self.collect_candidates(query, scratch);
        let mut best: Option<(f64, Choice)> = None;
        let mut margin = 0.0;
        for scored in &scratch.candidates {
            let terms = self.terms(query, scored);
            let total = terms.total();
            if best.is_none() {
                margin = (MARGIN_SHARE * total).max(MIN_MARGIN_SECONDS);
            }
            let score = if best.is_none() {
                total
            } else {
                total + margin
            };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let shared_tokens = if scored.source == Source::Member {
                    scratch.shared_tokens
                } else {
                    0.0
                };
                let choice = Choice {
                    shared_tokens,
                    ..new_choice(scored, terms)
                };
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns a server on probation that this request may probe. Scores alone would not bring such a server back,
    /// because its prefixes have moved to others.
    pub(crate) fn find_probe_target(&self, query: &Query<'_>) -> Option<ServerId> {
        if query.request.repeat != RepeatRule::Repeatable || query.profile.is_long {
            return None;
        }
        let urgent = query.profile.class == 0;
        let wants_probe = |server: &&ServerId| {
            let backend = self.backends.get(**server as usize);
            backend.is_some_and(|backend| {
                let idle = backend.awaiting_first_token == 0 && backend.queue.is_empty();
                idle && backend.eligible() && backend.health.wants_probe(query.now, urgent)
            })
        };
        let avoided = |server: &&ServerId| !query.avoid.contains(server);
        query
            .request
            .servers
            .iter()
            .filter(avoided)
            .find(wants_probe)
            .copied()
    }

    /// Returns the expected cost of a given server, from the deepest observed level.
    pub(crate) fn evaluate(&self, query: &Query<'_>, server: ServerId) -> Choice {
        let levels = query.request.chain.levels();
        let epoch = self.backends[server as usize].epoch;
        let mut scored = Scored {
            server,
            source: Source::Holder,
            cached_tokens: 0.0,
            observed_at: None,
            rank: 0,
        };
        for level in levels.iter().rev() {
            let holders = self.observations.holders(level);
            let holder = holders
                .iter()
                .find(|h| h.server == server && h.epoch == epoch);
            if let Some(holder) = holder {
                let age = query.now.saturating_sub(holder.observed_at);
                let retention_probability =
                    self.backends[server as usize].retention_probability(age);
                scored.cached_tokens = query.tokens_up_to(level) * retention_probability;
                scored.observed_at = Some(holder.observed_at);
                break;
            }
        }
        new_choice(&scored, self.terms(query, &scored))
    }

    /// Returns all candidates with the terms of their scores, best first.
    pub(crate) fn explain(&self, query: &Query<'_>) -> Vec<Candidate> {
        let mut scratch = Scratch::default();
        self.collect_candidates(query, &mut scratch);
        let mut margin = 0.0;
        let mut list = Vec::new();
        for (position, scored) in scratch.candidates.iter().enumerate() {
            let terms = self.terms(query, scored);
            let score = terms.total() + margin;
            if position == 0 {
                margin = (MARGIN_SHARE * score).max(MIN_MARGIN_SECONDS);
            }
            list.push(Candidate {
                server: scored.server,
                source: scored.source,
                queue: numeric::duration_from_secs(terms.wait + terms.prefill_ahead),
                prefill: numeric::duration_from_secs(terms.prefill),
                missed_tokens: numeric::floor_to_count(terms.missed_tokens),
                link: numeric::duration_from_secs(terms.link),
                health: numeric::duration_from_secs(terms.health),
                score: numeric::duration_from_secs(score),
            });
        }
        list.sort_by_key(|candidate| candidate.score);
        list
    }

    /// Computes the score of a candidate.
    pub(crate) fn terms(&self, query: &Query<'_>, scored: &Scored) -> ScoreTerms {
        let backend = &self.backends[scored.server as usize];
        let prompt = f64::from(query.request.prompt_tokens);
        let missed_tokens = (prompt - scored.cached_tokens).max(0.0);
        let prefill = backend
            .latency
            .first_token(missed_tokens * RECOMPUTE_WEIGHT);
        let prefill_ahead = backend.pending_tokens * backend.latency.prefill_per_token();
        let mut slowness = backend.health.slowness(query.now) / backend.peers.slowness.max(1.0);
        if query.profile.class == 0 && matches!(backend.health.state(), State::Probation { .. }) {
            slowness = slowness.max(PROBATION_PENALTY);
        }
        // A first token that is late now reveals a slow server before the token arrives.
        let late_penalty = if backend.late_attempts > 0 {
            query.late_margin
        } else {
            0.0
        };
        ScoreTerms {
            wait: backend.expected_wait(query.now, query.profile, self.settings),
            prefill_ahead,
            prefill,
            missed_tokens,
            link: if backend.is_local {
                0.0
            } else {
                self.settings.link_delay.as_secs_f64()
            },
            health: (prefill + prefill_ahead) * (slowness - 1.0).max(0.0) + late_penalty,
        }
    }
}

pub(crate) fn new_choice(scored: &Scored, terms: ScoreTerms) -> Choice {
    Choice {
        server: scored.server,
        wait_seconds: terms.wait,
        expected_seconds: terms.total(),
        missed_tokens: terms.missed_tokens,
        observed_at: scored.observed_at,
        shared_tokens: 0.0,
        unobserved_first_member: scored.source == Source::Member && scored.rank == 0,
    }
}
