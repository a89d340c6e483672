//! Detection of slow servers by comparing first-token times with those expected for their load and peers.

use std::time::Duration;

use jaystand_types::Moment;

/// Samples kept of a server. The lower of the last two is its slowness, and the lowest of all three decides on its
/// ejection: prompts of other daemons delay single answers, whereas a slow server delays all of them.
const KEPT_SAMPLES: usize = 3;
/// Upper bound of a slowness sample.
const MAX_SLOWNESS: f64 = 16.0;
/// Tokens that make up one pace sample.
const PACE_TOKENS: u32 = 8;
/// Pace samples kept. A long prompt of another daemon slows one of them, a slow server all of them.
const KEPT_PACES: usize = 3;
/// Age at which pace samples no longer describe the server.
const MAX_PACE_AGE: Duration = Duration::from_secs(1);
/// Without new samples, the excess slowness of a server halves in this time.
const HALF_LIFE_SECONDS: f64 = 2.0;
/// Slowness above which a server is ejected if the limit on ejected servers allows it.
const EJECT_ABOVE: f64 = 3.0;
/// Slowness of a probe's answer below which an ejected server counts as healthy again.
const READMIT_BELOW: f64 = 2.0;
/// Slowness assumed for a server when its probation starts.
const PROBATION_SLOWNESS: f64 = 1.5;
/// Time on probation after which an urgent request may serve as the probe.
const URGENT_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Length of the first ejection. It doubles with each ejection until a probe succeeds.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(16);

/// How many requests a server gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// As many as its window admits.
    Healthy,
    /// One at a time, until an answer shows its speed.
    Probation { since: Moment },
    /// None until this moment.
    Ejected { until: Moment },
}

/// How much longer than usual a server takes between tokens. Prompts of other daemons delay first tokens but hardly
/// slow running answers, so a usual pace shows that load causes the late first tokens.
#[derive(Clone, Debug, Default)]
struct TokenPace {
    /// Ratios of the time between tokens to the usual one, newest first; 0 where there is no sample.
    ratios: [f64; KEPT_PACES],
    measured_at: Moment,
    tokens: u32,
    seconds: f64,
}

impl TokenPace {
    fn observe(&mut self, now: Moment, tokens: u32, seconds: f64, usual_interval: f64) {
        self.tokens += tokens;
        self.seconds += seconds;
        if self.tokens < PACE_TOKENS || usual_interval <= 0.0 {
            return;
        }
        self.ratios.rotate_right(1);
        self.ratios[0] = self.seconds / f64::from(self.tokens) / usual_interval;
        self.measured_at = now;
        self.tokens = 0;
        self.seconds = 0.0;
    }

    /// Returns the lowest kept ratio, at least 1, or `None` without a recent sample.
    fn ratio(&self, now: Moment) -> Option<f64> {
        let fastest = self.ratios.into_iter().fold(MAX_SLOWNESS, f64::min);
        (now < self.measured_at + MAX_PACE_AGE && self.ratios[0] > 0.0).then(|| fastest.max(1.0))
    }
}

/// The health of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pace: TokenPace,
    /// Latest ratios of first-token times to the expected ones, newest first.
    samples: [f64; KEPT_SAMPLES],
    measured_at: Moment,
    state: State,
    /// Length of the next ejection.
    ejection_time: Duration,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            pace: TokenPace::default(),
            samples: [1.0; KEPT_SAMPLES],
            measured_at: Moment::ZERO,
            state: State::Healthy,
            ejection_time: INITIAL_EJECTION,
        }
    }

    /// Returns how many times slower than expected the server is, at least 1.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        self.decayed(now, self.samples[0].min(self.samples[1]))
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Records tokens that arrived `seconds` after the previous ones. `usual_interval` is the peers' time per token.
    pub(crate) fn observe_tokens(
        &mut self,
        now: Moment,
        tokens: u32,
        seconds: f64,
        usual_interval: f64,
    ) {
        self.pace.observe(now, tokens, seconds, usual_interval);
    }

    /// Records the ratio of a first-token time to the expected one.
    pub(crate) fn observe(&mut self, now: Moment, sample: f64) {
        let sample = sample.clamp(0.0, MAX_SLOWNESS);
        self.samples.rotate_right(1);
        self.samples[0] = sample;
        self.measured_at = now;
        if matches!(self.state, State::Probation { .. }) {
            self.evaluate_probe(now, sample);
        }
    }

    /// Returns whether the server is slow enough to be ejected, relative to the slowness of its peers.
    pub(crate) fn should_eject(&self, now: Moment, peers: f64) -> bool {
        let fastest = self.samples.into_iter().fold(MAX_SLOWNESS, f64::min);
        self.state == State::Healthy && self.decayed(now, fastest) / peers.max(1.0) > EJECT_ABOVE
    }

    pub(crate) fn eject(&mut self, now: Moment) {
        self.state = State::Ejected {
            until: now + self.ejection_time,
        };
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION);
    }

    /// Returns whether a request of this urgency may probe the server. Urgent requests do so only if no other request
    /// has.
    pub(crate) fn wants_probe(&self, now: Moment, urgent: bool) -> bool {
        match self.state {
            State::Probation { since } => !urgent || now >= since + URGENT_PROBE_DELAY,
            _ => false,
        }
    }

    /// Puts an ejected server on probation once its ejection has ended.
    pub(crate) fn start_due_probation(&mut self, now: Moment) {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::Probation { since: now };
                self.samples = [PROBATION_SLOWNESS; KEPT_SAMPLES];
                self.measured_at = now;
            }
            _ => {}
        }
    }

    /// Bounds a slowness by the pace and lets its excess over 1 decay with age.
    fn decayed(&self, now: Moment, ratio: f64) -> f64 {
        let ratio = ratio.min(self.pace.ratio(now).unwrap_or(MAX_SLOWNESS));
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        1.0 + (ratio - 1.0).max(0.0) * (-age / HALF_LIFE_SECONDS).exp2()
    }

    fn evaluate_probe(&mut self, now: Moment, sample: f64) {
        if sample < READMIT_BELOW {
            self.state = State::Healthy;
            self.ejection_time = INITIAL_EJECTION;
        } else if sample > EJECT_ABOVE {
            self.eject(now);
        }
    }
}

#[cfg(test)]
mod tests;
