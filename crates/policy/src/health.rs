//! Detection of slow servers from their first-token times, against their own load and their peers.

use std::time::Duration;

use jaystand_types::Moment;

/// A server is as slow as the faster of its last two answers, and is judged for ejection by the fastest of the
/// last three: prompts of other daemons delay single answers, a slow server delays all.
const KEPT_SAMPLES: usize = 3;
const MAX_SLOWNESS: f64 = 16.0;
/// Tokens over which the pace of a server's answers is measured.
const PACE_TOKENS: u32 = 8;
/// Measures kept. A long prompt of another daemon slows one of them, a slow server all.
const KEPT_PACES: usize = 3;
/// A pace that was measured longer ago says nothing of the server now.
const MAX_PACE_AGE: Duration = Duration::from_secs(1);
/// Without new samples a server regains half of its lost weight in this time.
const HALF_LIFE_SECONDS: f64 = 2.0;
/// Slowness at which a server is ejected, if the limit on ejected servers allows it.
const EJECT_ABOVE: f64 = 3.0;
/// Slowness of a probe's answer under which an ejected server is taken back.
const READMIT_BELOW: f64 = 2.0;
/// Slowness that a server on probation is presumed to have.
const PROBATION_SLOWNESS: f64 = 1.5;
/// Time on probation after which an urgent request may be the probe.
const URGENT_PROBE_DELAY: Duration = Duration::from_secs(1);
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(16);

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// As many as its window allows.
    Healthy,
    /// One at a time, until an answer shows its speed.
    Probation { since: Moment },
    /// None until the moment.
    Ejected { until: Moment },
}

/// How much longer than usual a server takes between tokens. Prompts of other daemons delay first tokens, but hardly
/// slow the tokens of answers that already run, so a usual pace shows that late first tokens are due to load.
#[derive(Clone, Debug, Default)]
struct TokenPace {
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

    /// The fastest of the last measures, at least 1; none without a recent one.
    fn ratio(&self, now: Moment) -> Option<f64> {
        let fastest = self.ratios.into_iter().fold(MAX_SLOWNESS, f64::min);
        (now < self.measured_at + MAX_PACE_AGE && self.ratios[0] > 0.0).then(|| fastest.max(1.0))
    }
}

/// The health of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pace: TokenPace,
    /// Latest ratios, newest first.
    samples: [f64; KEPT_SAMPLES],
    measured_at: Moment,
    state: State,
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

    /// How many times slower than expected the server is now, at least 1.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        self.decayed(now, self.samples[0].min(self.samples[1]))
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Takes in tokens that came this many seconds after the ones before, where the peers take `usual` for each.
    pub(crate) fn observe_tokens(
        &mut self,
        now: Moment,
        tokens: u32,
        seconds: f64,
        usual_interval: f64,
    ) {
        self.pace.observe(now, tokens, seconds, usual_interval);
    }

    /// Takes in the ratio of a first-token time to what own load and peers predict.
    pub(crate) fn observe(&mut self, now: Moment, sample: f64) {
        let sample = sample.clamp(0.0, MAX_SLOWNESS);
        self.samples.rotate_right(1);
        self.samples[0] = sample;
        self.measured_at = now;
        if matches!(self.state, State::Probation { .. }) {
            self.evaluate_probe(now, sample);
        }
    }

    /// Whether the server is slow enough to be ejected, given how slow its peers are.
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

    /// Whether the server waits for a probe of that urgency. Urgent requests probe only when nothing else did.
    pub(crate) fn wants_probe(&self, now: Moment, urgent: bool) -> bool {
        match self.state {
            State::Probation { since } => !urgent || now >= since + URGENT_PROBE_DELAY,
            _ => false,
        }
    }

    /// Lets an ejected server be probed once its pause is over.
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
