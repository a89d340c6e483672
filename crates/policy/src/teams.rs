//! Teams at run time: fair share, limits per request kind, and predicted answer length.

use hashbrown::HashMap;
use jaystand_types::{KindName, Moment, TeamId};

use crate::{Fleet, estimate::Estimate, numeric};

/// Answer length before anything is known.
const DEFAULT_ANSWER_TOKENS: f64 = 256.0;
/// The routing sheet's expected length counts as many answers as this.
const SHEET_WEIGHT_ANSWERS: f64 = 4.0;
const KIND_LENGTH_GAIN: f64 = 0.05;
/// Seconds of a rate limit that may be used at once.
const RATE_BURST_SECONDS: f64 = 10.0;
/// Kinds kept for a team after the routing sheet dropped them.
const MIN_KINDS_FOR_REUSE: usize = 16;

/// Why a limit holds a request back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitReached {
    /// Too many requests in flight.
    InFlight,
    /// Too many requests a minute; one more is allowed after these seconds.
    Rate(f64),
}

/// One team.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    name: TeamId,
    weight: f64,
    /// Service received, divided by the weight.
    pub(crate) virtual_time: f64,
    kinds: Vec<Kind>,
    listed: bool,
}

/// One request kind of a team.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    name: KindName,
    listed: bool,
    max_in_flight: Option<u32>,
    per_minute: Option<u32>,
    pub(crate) in_flight: u32,
    credit: f64,
    credited: Moment,
    /// Logarithm of answer lengths.
    length: Estimate,
}

/// All teams.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    list: Vec<Team>,
    index: HashMap<TeamId, usize>,
    free: Vec<usize>,
    /// Virtual time of the latest dispatch; teams that were idle start from here.
    clock: f64,
}

/// A kind of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KindIndex {
    pub(crate) team: usize,
    pub(crate) kind: usize,
}

impl Teams {
    /// Adopts shares and limits.
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

    /// The team's kind, added when it is new.
    pub(crate) fn kind_index_of(&mut self, team: &TeamId, kind: &KindName) -> KindIndex {
        let team = self.index_of(team);
        let kinds = &mut self.list[team].kinds;
        let found = kinds.iter().position(|known| known.name == *kind);
        let kind = found.unwrap_or_else(|| add_kind(kinds, kind));
        KindIndex { team, kind }
    }

    /// The team's kind, if it is known.
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

    /// Lets a team that was idle start at the present virtual time, so that it cannot save up service.
    pub(crate) fn activate(&mut self, team: usize) {
        let entry = &mut self.list[team];
        let idle = entry.kinds.iter().all(|kind| kind.in_flight == 0);
        if idle {
            entry.virtual_time = entry.virtual_time.max(self.clock);
        }
    }

    /// Charges a team for service; a negative amount gives back what was predicted too high.
    pub(crate) fn charge(&mut self, team: usize, service: f64) {
        let entry = &mut self.list[team];
        entry.virtual_time += service / entry.weight;
    }

    /// Moves the clock to a team whose request is dispatched.
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
    /// Counts a request in, unless a limit holds it back. Each of the live daemons grants its part of the limits,
    /// at least one request.
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

    /// Predicted answer length in tokens: the sheet's figure, corrected by the answers seen.
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

    /// Takes in the length of a whole answer.
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

/// The typical answer length, from which long work is told apart.
#[derive(Clone, Debug)]
pub(crate) struct AnswerLengths {
    length: Estimate,
}

/// Answers of this many times the typical length are long work.
const LONG_FACTOR: f64 = 4.0;
/// Answers up to this length are never long work.
const MAX_SHORT_TOKENS: f64 = 256.0;
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

    /// Whether an answer of this length is long work.
    pub(crate) fn is_long(&self, tokens: f64) -> bool {
        tokens > MAX_SHORT_TOKENS && tokens > LONG_FACTOR * self.length.mean().exp()
    }

    /// Seconds to come back after, at least one.
    pub(crate) fn retry_after(seconds: f64) -> std::time::Duration {
        numeric::duration_from_secs(seconds.clamp(1.0, 60.0))
    }
}
