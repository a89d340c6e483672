//! The token bucket that bounds this client's calls.

use std::time::Duration;

use jaystand_types::Moment;

/// Refills at a steady rate up to one second's worth, and up to one token at lower rates.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled: Moment,
}

impl Bucket {
    /// A full bucket at time zero.
    pub(crate) fn new(per_s: f64) -> Self {
        let burst = per_s.max(1.0);
        Self {
            per_s,
            burst,
            tokens: burst,
            refilled: Duration::ZERO,
        }
    }

    /// Takes one token if that leaves `share` of the burst to others; false when it does not.
    pub(crate) fn take(&mut self, now: Moment, share: f64) -> bool {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + passed * self.per_s).min(self.burst);
        let granted = self.tokens >= 1.0 + (self.burst - 1.0) * share;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests;
