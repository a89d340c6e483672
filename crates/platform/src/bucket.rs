//! The token bucket that limits the calls of a client.

use std::time::Duration;

use jaystand_types::Moment;

/// A token bucket that refills at a steady rate. It holds the tokens of one second, but at least one.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled: Moment,
}

impl Bucket {
    /// Returns a bucket that is full at time zero.
    pub(crate) fn new(per_s: f64) -> Self {
        let burst = per_s.max(1.0);
        Self {
            per_s,
            burst,
            tokens: burst,
            refilled: Duration::ZERO,
        }
    }

    /// Takes one token and returns true, unless that would leave less than `share` of the burst to other calls.
    pub(crate) fn try_take(&mut self, now: Moment, share: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.burst);
        let granted = self.tokens >= 1.0 + (self.burst - 1.0) * share;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests;
