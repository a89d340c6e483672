//! Passive health of a backend server, from the outcomes of this host's own requests.
//!
//! Active health checks are not used: they have a cost and may be wrong.

use std::time::Duration;

use jaystand_types::Moment;

/// Backoff after the first failure to reach a server. Each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound on the backoff: a server that recovers gets its next request after at most this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff after a server refused a request because it is full. Its queue moves within tens of milliseconds.
const BUSY_BACKOFF: Duration = Duration::from_millis(80);
/// Consecutive broken or missing answers that start a backoff. A single one may be the fault of a link or a run.
const BROKEN_BEFORE_BACKOFF: u32 = 2;
/// Weight of the newest outcome in the error rate.
const ERROR_GAIN: f64 = 0.15;
/// Weight of the newest ratio in the slowdown.
const SLOWDOWN_GAIN: f64 = 0.12;
/// Seconds without an outcome after which earlier ones count half.
const HALF_LIFE_S: f64 = 3.0;
/// Bounds on one ratio, so that an outlier neither hides a server nor attracts all requests to it.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 10.0);

jaystand_types::common! { value
    /// The outcome of an attempt, as far as it concerns the health of the server.
    pub enum Outcome {
        /// The answer was complete.
        Good,
        /// The server answered with an error of its own.
        Error,
        /// The server refused the request because it is full.
        Busy,
        /// The answer broke off or was invalid.
        Broken,
        /// No answer came before the timeout.
        Silent,
        /// No connection could be opened.
        Unreachable,
    }
}

/// Health of one incarnation of a server.
#[derive(Clone, Debug)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    backoff_until: Moment,
    /// Error rate at `observed`.
    errors: f64,
    /// Slowdown at `observed`.
    slowdown: f64,
    /// Time of the last outcome.
    observed: Moment,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            backoff_until: Moment::ZERO,
            errors: 0.0,
            slowdown: 1.0,
            observed: Moment::ZERO,
        }
    }
}

impl Health {
    /// Records the outcome of an attempt.
    pub fn observe(&mut self, now: Moment, outcome: Outcome) {
        self.errors = self.error_rate(now);
        self.slowdown = self.slowdown(now);
        self.observed = now;
        let bad = f64::from(!matches!(outcome, Outcome::Good | Outcome::Busy));
        if outcome != Outcome::Busy {
            self.errors += (bad - self.errors) * ERROR_GAIN;
        }
        match outcome {
            Outcome::Good | Outcome::Error => self.failures = 0,
            Outcome::Busy => self.extend_backoff(now, BUSY_BACKOFF),
            Outcome::Broken | Outcome::Silent => {
                self.failures += 1;
                if self.failures >= BROKEN_BEFORE_BACKOFF {
                    self.back_off(now, self.failures - BROKEN_BEFORE_BACKOFF);
                }
            }
            Outcome::Unreachable => {
                self.failures += 1;
                self.back_off(now, self.failures - 1);
            }
        }
    }

    /// Records the measured time to a first token, as a ratio to the expected time.
    pub fn observe_slowdown(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown += (ratio - self.slowdown) * SLOWDOWN_GAIN;
    }

    /// Returns whether the server should get no requests for now.
    #[must_use]
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Returns the share of recent attempts that failed, with more weight on newer ones.
    ///
    /// Old failures decay, so that a server that gets no requests because of them gets some again.
    #[must_use]
    pub fn error_rate(&self, now: Moment) -> f64 {
        self.errors * self.decay(now)
    }

    /// Returns the smoothed ratio of measured to expected times to the first token. It decays towards 1.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(now)
    }

    /// Returns the factor by which earlier outcomes have decayed.
    fn decay(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.observed).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE_S)
    }

    /// Backs off for the initial time, doubled so many times.
    fn back_off(&mut self, now: Moment, doublings: u32) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << doublings.min(8));
        self.extend_backoff(now, backoff.min(MAX_BACKOFF));
    }

    fn extend_backoff(&mut self, now: Moment, backoff: Duration) {
        self.backoff_until = self.backoff_until.max(now + backoff);
    }
}
