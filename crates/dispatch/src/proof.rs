//! Whether the configuration in force is proven to be recent enough to accept keys.
//!
//! Where keys that are taken away must stop working within a bound, a host that has lost the store must stop
//! accepting keys before it could miss a revocation. A proof is the moment at which a linearizable read of the
//! configuration was sent. All times are of a clock that counts suspensions.

use std::time::Duration;

use jaystand_types::{Moment, Version};

/// Keys are accepted until this long before the bound. It covers rounding and clocks of different rates.
const MARGIN: Duration = Duration::from_millis(200);
/// Part of the bound after which a host that follows the store reads again, in hundredths. A read that fails and the
/// change to another source take about 2 s; the sheets state a bound of 5 s.
const READ_PART: u32 = 30;
/// Parts of the read period after which a proof is overdue, in hundredths: a read was lost.
const RENEWED_LATE: u32 = 150;

/// The newest proof of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Proof {
    bound: Option<Duration>,
    newest: Option<Proven>,
}

#[derive(Clone, Copy, Debug)]
struct Proven {
    version: Version,
    at: Moment,
}

impl Proof {
    /// No proof yet. Without a bound none is needed.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            newest: None,
        }
    }

    /// How often a host that follows the store reads the configuration; `None` where no proof is needed.
    #[must_use]
    pub fn read_period(&self) -> Option<Duration> {
        self.bound.map(|bound| bound * READ_PART / 100)
    }

    /// Whether the reads of the store have failed to renew the proof, so that other hosts should be asked.
    #[must_use]
    pub fn is_overdue(&self, now: Moment) -> bool {
        let Some(period) = self.read_period() else {
            return false;
        };
        self.newest
            .is_none_or(|proven| now >= proven.at + period * RENEWED_LATE / 100)
    }

    /// A version was the newest one at a moment, or later.
    pub fn confirm(&mut self, version: Version, at: Moment) {
        if self.newest.is_none_or(|known| known.at < at) {
            self.newest = Some(Proven { version, at });
        }
    }

    /// The newest proof: the version, and the moment.
    #[must_use]
    pub fn newest(&self) -> Option<(Version, Moment)> {
        self.newest.map(|proven| (proven.version, proven.at))
    }

    /// Whether keys of the version in force may be accepted.
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
