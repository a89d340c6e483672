//! Detection of slow servers from their first-token times, against their own load and their peers.

use std::time::Duration;

use jaystand_types::Moment;

/// Weight of one sample: three slow answers in a row mark a server.
const GAIN: f64 = 0.4;
const LARGEST_SAMPLE: f64 = 16.0;
/// Without new samples a server regains half of its lost weight in this time.
const HALF_LIFE: f64 = 2.0;
/// Slowness at which a server is ejected, if the limit on ejected servers allows it.
const EJECT_ABOVE: f64 = 3.0;
/// Slowness of a probe's answer under which an ejected server is taken back.
const READMIT_BELOW: f64 = 2.0;
/// Slowness that a server on probation is presumed to have.
const PROBATION: f64 = 1.5;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(16);
const MIN_SAMPLES: u32 = 2;

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// As many as its window allows.
    Open,
    /// One at a time, until an answer shows its speed.
    Probation,
    /// None until the moment.
    Ejected { until: Moment },
}

/// The health of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    ratio: f64,
    at: Moment,
    samples: u32,
    state: State,
    pause: Duration,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            ratio: 1.0,
            at: Moment::ZERO,
            samples: 0,
            state: State::Open,
            pause: FIRST_PAUSE,
        }
    }

    /// How many times slower than expected the server is now, at least 1.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        1.0 + (self.ratio - 1.0).max(0.0) * (-age / HALF_LIFE).exp2()
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Takes in the ratio of a first-token time to what own load and peers predict.
    pub(crate) fn observe(&mut self, now: Moment, sample: f64) {
        let sample = sample.clamp(0.0, LARGEST_SAMPLE);
        let present = self.slowness(now);
        self.ratio = present + GAIN * (sample - present);
        self.at = now;
        self.samples = self.samples.saturating_add(1);
        if self.state == State::Probation {
            self.judge_probe(now, sample);
        }
    }

    /// Whether the server is slow enough to be ejected, given how slow its peers are.
    pub(crate) fn should_eject(&self, now: Moment, peers: f64) -> bool {
        self.state == State::Open
            && self.samples >= MIN_SAMPLES
            && self.slowness(now) / peers.max(1.0) > EJECT_ABOVE
    }

    pub(crate) fn eject(&mut self, now: Moment) {
        self.state = State::Ejected {
            until: now + self.pause,
        };
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Lets an ejected server be probed once its pause is over.
    pub(crate) fn advance(&mut self, now: Moment) {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::Probation;
                self.ratio = PROBATION;
                self.at = now;
                self.samples = 0;
            }
            _ => {}
        }
    }

    fn judge_probe(&mut self, now: Moment, sample: f64) {
        if sample < READMIT_BELOW {
            self.state = State::Open;
            self.pause = FIRST_PAUSE;
        } else if sample > EJECT_ABOVE {
            self.eject(now);
        }
    }
}
