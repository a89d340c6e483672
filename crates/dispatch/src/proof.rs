//! Whether the configuration in force is proven to be recent enough to accept API keys.
//!
//! Where revoked keys must stop working within a bound, a host that has lost the store must stop accepting keys before
//! it could miss a revocation. A proof is the time at which a linearizable read of the configuration was sent. The
//! clock must include the time that the host was suspended.

use std::time::Duration;

use jaystand_types::{Moment, Version};

/// A host stops accepting keys this long before the bound. The margin covers rounding and clocks of different rates.
const MARGIN: Duration = Duration::from_millis(200);
/// Interval between the reads of a host that follows the store, in percent of the bound. A failed read and the change
/// to another source take about 2 s together; the sheets state a bound of 5 s.
const READ_PERIOD_PERCENT: u32 = 30;
/// Age at which a proof is overdue, in percent of the read period. At this age a read has been lost.
const OVERDUE_PERCENT: u32 = 150;

/// The newest proof of the configuration, and the bound within which it must be renewed.
#[derive(Clone, Debug, Default)]
pub struct Proof {
    bound: Option<Duration>,
    newest: Option<Proven>,
}

/// A version that was the newest one at some time.
#[derive(Clone, Copy, Debug)]
struct Proven {
    version: Version,
    at: Moment,
}

impl Proof {
    /// Creates the state without a proof. Without a bound no proof is needed.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            newest: None,
        }
    }

    /// Returns the interval at which a host that follows the store reads the configuration; `None` if no proof is
    /// needed.
    #[must_use]
    pub fn read_period(&self) -> Option<Duration> {
        self.bound.map(|bound| bound * READ_PERIOD_PERCENT / 100)
    }

    /// Returns whether the reads of the store have failed to renew the proof, so that other hosts should be asked.
    #[must_use]
    pub fn is_overdue(&self, now: Moment) -> bool {
        let Some(period) = self.read_period() else {
            return false;
        };
        self.newest
            .is_none_or(|proven| now >= proven.at + period * OVERDUE_PERCENT / 100)
    }

    /// Records that a version was the newest one at a time, or at a later one, while a version is in force here. An older
    /// version proves nothing: the store may have come back from a copy, and a later version that took keys away may be
    /// lost until it is written again.
    pub fn confirm(&mut self, version: Version, at: Moment, in_force: Version) {
        if version < in_force {
            return;
        }
        if self.newest.is_none_or(|known| known.at < at) {
            self.newest = Some(Proven { version, at });
        }
    }

    /// Returns the newest proof: the version and the time.
    #[must_use]
    pub fn newest(&self) -> Option<(Version, Moment)> {
        self.newest.map(|proven| (proven.version, proven.at))
    }

    /// Returns whether keys of the version in force may be accepted.
    #[must_use]
    pub fn accepts_keys(&self, now: Moment, in_force: Version) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        self.newest.is_some_and(|proven| {
            proven.version <= in_force && now < proven.at + bound.saturating_sub(MARGIN)
        })
    }
}
