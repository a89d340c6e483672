//! Health of a backend server, judged by the outcomes that this host saw itself.
//!
//! Health checks cost and may lie, so only requests count.

use std::time::Duration;

use jaystand_types::Moment;

/// A server that cannot be reached is left alone this long after the first failure, doubled after each
/// further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; a server that comes back waits no longer for its next request.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// A full server is left alone this long: its queue moves within tens of milliseconds.
const BUSY_PAUSE: Duration = Duration::from_millis(80);
/// Broken answers in a row before a server is left alone; single ones are the fault of a link or a run.
const BROKEN_IN_A_ROW: u32 = 2;
/// Weight of the newest outcome in the error rate.
const ERROR_GAIN: f64 = 0.15;
/// Weight of the newest outcome in the pace.
const PACE_GAIN: f64 = 0.12;
/// Seconds without an outcome after which the former ones count half.
const HALF_LIFE_S: f64 = 3.0;
/// Bounds on the pace, so that one outlier neither hides a server nor draws all work to it.
const PACE_BOUNDS: (f64, f64) = (0.3, 10.0);

jaystand_types::common! { value
    /// What became of an attempt, as far as it tells about the server.
    pub enum Outcome {
        /// A whole answer.
        Good,
        /// The server's own error.
        Error,
        /// It refused since it is full.
        Busy,
        /// The answer broke off or was no valid answer.
        Broken,
        /// No answer within the time allowed.
        Silent,
        /// No connection could be opened.
        Unreachable,
    }
}

/// Health of one incarnation of a server.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    paused_until: Moment,
    errors: f64,
    pace: f64,
    observed: Moment,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            paused_until: Moment::ZERO,
            errors: 0.0,
            pace: 1.0,
            observed: Moment::ZERO,
        }
    }
}

impl Health {
    /// Takes an outcome in.
    pub fn observe(&mut self, now: Moment, outcome: Outcome) {
        self.errors = self.error_rate(now);
        self.pace = self.slowdown(now);
        self.observed = now;
        let bad = f64::from(!matches!(outcome, Outcome::Good | Outcome::Busy));
        if outcome != Outcome::Busy {
            self.errors += (bad - self.errors) * ERROR_GAIN;
        }
        match outcome {
            Outcome::Good | Outcome::Error => self.failures = 0,
            Outcome::Busy => self.pause(now, BUSY_PAUSE),
            Outcome::Broken | Outcome::Silent => {
                self.failures += 1;
                if self.failures >= BROKEN_IN_A_ROW {
                    self.back_off(now, self.failures - BROKEN_IN_A_ROW);
                }
            }
            Outcome::Unreachable => {
                self.failures += 1;
                self.back_off(now, self.failures - 1);
            }
        }
    }

    /// Takes in how long a first token took, relative to what was expected.
    pub fn observe_slowdown(&mut self, ratio: f64) {
        let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace += (ratio - self.pace) * PACE_GAIN;
    }

    /// Whether the server should be left alone for now.
    #[must_use]
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Share of recent attempts that failed, newest counted most. Old failures fade, so that a server that gets
    /// no requests because of them gets some again.
    #[must_use]
    pub fn error_rate(&self, now: Moment) -> f64 {
        self.errors * self.faded(now)
    }

    /// How slow first tokens are, relative to what was expected. It fades, too.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        1.0 + (self.pace - 1.0) * self.faded(now)
    }

    fn faded(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE_S)
    }

    fn back_off(&mut self, now: Moment, doublings: u32) {
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings.min(8));
        self.pause(now, pause.min(LONGEST_PAUSE));
    }

    fn pause(&mut self, now: Moment, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }
}
