//! State of the teams: service received, limits per request kind, and predicted answer lengths.

use hashbrown::HashMap;
use jaystand_types::{KindName, Moment, TeamId};

use crate::{Fleet, estimate::Estimate, numeric};

/// Answer length assumed without an expected length or samples.
const DEFAULT_ANSWER_TOKENS: f64 = 256.0;
/// Number of answers that the expected length of the routing sheet counts as.
const SHEET_WEIGHT_ANSWERS: f64 = 4.0;
/// Gain of the mean answer length of a kind.
const KIND_LENGTH_GAIN: f64 = 0.05;
/// Seconds' worth of a rate limit that a burst may use at once.
const RATE_BURST_SECONDS: f64 = 10.0;
/// Number of kinds from which a team's new kind replaces an unused one that the routing sheet no longer lists.
const MIN_KINDS_FOR_REUSE: usize = 16;

/// The limit that refuses a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitReached {
    /// Too many requests in flight.
    InFlight,
    /// Too many requests per minute. One more is allowed after these seconds.
    Rate(f64),
}

/// A team.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    name: TeamId,
    weight: f64,
    /// Service received in answer tokens, divided by the weight.
    pub(crate) virtual_time: f64,
    kinds: Vec<Kind>,
    /// Whether the configuration names the team.
    listed: bool,
}

/// A request kind of a team.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    name: KindName,
    /// Whether the configuration has limits for the kind.
    listed: bool,
    max_in_flight: Option<u32>,
    per_minute: Option<u32>,
    pub(crate) in_flight: u32,
    /// Requests that the rate limit allows at once.
    credit: f64,
    /// When the credit was last updated.
    credited: Moment,
    /// Estimated logarithm of the answer length.
    length: Estimate,
}

/// All teams.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    list: Vec<Team>,
    index: HashMap<TeamId, usize>,
    /// Unused entries of the list.
    free: Vec<usize>,
    /// Virtual time of the last dispatch, at which idle teams start again.
    clock: f64,
}

/// The position of a team and of one of its kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KindIndex {
    pub(crate) team: usize,
    pub(crate) kind: usize,
}

impl Teams {
    /// Applies the shares and limits of a configuration.
    pub(crate) fn configure(&mut self, fleet: &Fleet) {
        for entry in &mut self.list {
            entry.listed = false;
            for kind in &mut entry.kinds {
                kind.listed = false;
                kind.max_in_flight = None;
                kind.per_minute = None;
            }
        }
        for share in &fleet.shares {
            let team = self.index_of(&share.team);
            self.list[team].weight = f64::from(share.weight.get());
            self.list[team].listed = true;
        }
        for limit in &fleet.limits {
            let kind_index = self.kind_index_of(&limit.team, &limit.kind);
            self.list[kind_index.team].listed = true;
            let kind = self.kind_mut(kind_index);
            kind.listed = true;
            kind.max_in_flight = limit.max_in_flight.map(Into::into);
            kind.per_minute = limit.requests_per_minute.map(Into::into);
        }
        self.drop_unlisted();
    }

    /// Returns the position of a team's kind, and adds both if they are new.
    pub(crate) fn kind_index_of(&mut self, team: &TeamId, kind: &KindName) -> KindIndex {
        let team = self.index_of(team);
        let kinds = &mut self.list[team].kinds;
        let found = kinds.iter().position(|known| known.name == *kind);
        let kind = found.unwrap_or_else(|| add_kind(kinds, kind));
        KindIndex { team, kind }
    }

    /// Returns the position of a team's kind if both are known.
    pub(crate) fn find_kind(&self, team: &TeamId, kind: &KindName) -> Option<KindIndex> {
        let team = *self.index.get(team)?;
        let kinds = &self.list[team].kinds;
        let kind = kinds.iter().position(|known| known.name == *kind)?;
        Some(KindIndex { team, kind })
    }

    pub(crate) fn team(&self, team: usize) -> &Team {
        &self.list[team]
    }

    pub(crate) fn kind(&self, kind_index: KindIndex) -> &Kind {
        &self.list[kind_index.team].kinds[kind_index.kind]
    }

    pub(crate) fn kind_mut(&mut self, kind_index: KindIndex) -> &mut Kind {
        &mut self.list[kind_index.team].kinds[kind_index.kind]
    }

    /// Moves an idle team to the current virtual time, so that it gets no service for the time when it was idle.
    pub(crate) fn activate(&mut self, team: usize) {
        let entry = &mut self.list[team];
        let idle = entry.kinds.iter().all(|kind| kind.in_flight == 0);
        if idle {
            entry.virtual_time = entry.virtual_time.max(self.clock);
        }
    }

    /// Charges a team for service. A negative amount refunds a prediction that was too high.
    pub(crate) fn charge(&mut self, team: usize, service: f64) {
        let entry = &mut self.list[team];
        entry.virtual_time += service / entry.weight;
    }

    /// Advances the clock to the virtual time of a team whose request is dispatched.
    pub(crate) fn advance_clock(&mut self, team: usize) {
        self.clock = self.clock.max(self.list[team].virtual_time);
    }

    fn index_of(&mut self, name: &TeamId) -> usize {
        if let Some(&team) = self.index.get(name) {
            return team;
        }
        let entry = Team {
            name: name.clone(),
            weight: 1.0,
            virtual_time: self.clock,
            kinds: Vec::new(),
            listed: false,
        };
        let team = if let Some(team) = self.free.pop() {
            self.list[team] = entry;
            team
        } else {
            self.list.push(entry);
            self.list.len() - 1
        };
        self.index.insert(name.clone(), team);
        team
    }

    fn drop_unlisted(&mut self) {
        for (team, entry) in self.list.iter_mut().enumerate() {
            let idle = entry.kinds.iter().all(|kind| kind.in_flight == 0);
            if !entry.listed && idle && self.index.remove(&entry.name).is_some() {
                entry.kinds.clear();
                self.free.push(team);
            }
        }
    }
}

impl Kind {
    /// Counts a request as in flight unless a limit refuses it. Each live daemon grants an equal share of the limits,
    /// but at least one request.
    pub(crate) fn admit(&mut self, now: Moment, daemons: u32) -> Result<(), LimitReached> {
        if let Some(limit) = self.max_in_flight
            && self.in_flight >= limit.div_ceil(daemons).max(1)
        {
            return Err(LimitReached::InFlight);
        }
        if let Some(limit) = self.per_minute {
            let rate = f64::from(limit) / 60.0 / f64::from(daemons);
            let burst = (rate * RATE_BURST_SECONDS).max(1.0);
            let earned = now.saturating_sub(self.credited).as_secs_f64() * rate;
            self.credit = (self.credit + earned).min(burst);
            self.credited = now;
            if self.credit < 1.0 {
                return Err(LimitReached::Rate((1.0 - self.credit) / rate));
            }
            self.credit -= 1.0;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Returns the predicted answer length in tokens: the expected length from the sheet, weighted with past answers.
    pub(crate) fn predict(&self, expected: u32) -> f64 {
        let prior = if expected == 0 {
            DEFAULT_ANSWER_TOKENS
        } else {
            f64::from(expected)
        };
        let samples = f64::from(self.length.samples());
        let weighted = SHEET_WEIGHT_ANSWERS * prior.ln() + samples * self.length.mean();
        (weighted / (SHEET_WEIGHT_ANSWERS + samples)).exp()
    }

    /// Records the length of a complete answer.
    pub(crate) fn observe_length(&mut self, tokens: u32) {
        self.length.add(f64::from(tokens.max(1)).ln());
    }
}

fn add_kind(kinds: &mut Vec<Kind>, name: &KindName) -> usize {
    let kind = Kind {
        name: name.clone(),
        listed: false,
        max_in_flight: None,
        per_minute: None,
        in_flight: 0,
        credit: f64::INFINITY,
        credited: Moment::ZERO,
        length: Estimate::new(DEFAULT_ANSWER_TOKENS.ln(), KIND_LENGTH_GAIN),
    };
    let unused = kinds.iter().position(|k| !k.listed && k.in_flight == 0);
    match unused {
        Some(index) if kinds.len() >= MIN_KINDS_FOR_REUSE => {
            kinds[index] = kind;
            index
        }
        _ => {
            kinds.push(kind);
            kinds.len() - 1
        }
    }
}

/// The typical answer length of all requests, which decides what counts as long.
#[derive(Clone, Debug)]
pub(crate) struct AnswerLengths {
    length: Estimate,
}

/// Multiple of the typical length from which an answer counts as long.
const LONG_FACTOR: f64 = 4.0;
/// Answers up to this length never count as long.
const MAX_SHORT_TOKENS: f64 = 256.0;
/// Gain of the typical answer length.
const ANSWER_LENGTH_GAIN: f64 = 0.02;

impl AnswerLengths {
    pub(crate) fn new() -> Self {
        Self {
            length: Estimate::new(DEFAULT_ANSWER_TOKENS.ln(), ANSWER_LENGTH_GAIN),
        }
    }

    pub(crate) fn observe(&mut self, predicted_tokens: f64) {
        self.length.add(predicted_tokens.max(1.0).ln());
    }

    /// Returns whether an answer of this length counts as long.
    pub(crate) fn is_long(&self, tokens: f64) -> bool {
        tokens > MAX_SHORT_TOKENS && tokens > LONG_FACTOR * self.length.mean().exp()
    }

    /// Returns the `Retry-After` for a delay in seconds, bounded to 1 to 60 s.
    pub(crate) fn retry_after(seconds: f64) -> std::time::Duration {
        numeric::duration_from_secs(seconds.clamp(1.0, 60.0))
    }
}
