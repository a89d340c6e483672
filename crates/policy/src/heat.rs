//! The heat of prefix levels: how many requests with the level run at once in the whole deployment.

use std::num::NonZeroUsize;

use jaystand_types::Moment;
use lru::LruCache;

use crate::{chain::Level, numeric, observation::LevelHash};

/// Levels counted; the least recently used ones are dropped.
const MAX_LEVELS_TRACKED: NonZeroUsize = NonZeroUsize::new(16_384).expect("positive");
/// Averaging time of demand. Demand swings within seconds, and a shorter time would measure noise.
const HORIZON_SECONDS: f64 = 3.0;
/// Share of a server's slots that one prefix may fill before it is spread over another server.
const TARGET_OCCUPANCY: f64 = 0.5;

/// The decaying demand of one level.
#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    /// Service seconds, decayed until `updated_at`.
    work: f64,
    updated_at: Moment,
}

impl Counter {
    fn decayed(self, now: Moment) -> f64 {
        self.work * (-now.saturating_sub(self.updated_at).as_secs_f64() / HORIZON_SECONDS).exp()
    }
}

/// The demand of all tracked levels.
pub(crate) struct Heat {
    counters: LruCache<u64, Counter, LevelHash>,
}

impl Heat {
    pub(crate) fn new() -> Self {
        Self {
            counters: LruCache::with_hasher(MAX_LEVELS_TRACKED, LevelHash::default()),
        }
    }

    /// Adds a request that occupies a slot for `seconds`. Counts a level only if the one above it needs several
    /// servers, because nothing below a cold level needs to be spread.
    pub(crate) fn add(&mut self, now: Moment, levels: &[Level], seconds: f64, scale: Scale) {
        for level in levels {
            let counter = self
                .counters
                .get_or_insert_mut(level.hash, Counter::default);
            let work = counter.decayed(now) + seconds;
            *counter = Counter {
                work,
                updated_at: now,
            };
            if scale.servers_needed(work) < 2 {
                return;
            }
        }
    }

    /// Returns the number of servers that a level needs.
    pub(crate) fn servers_needed(&self, now: Moment, level: &Level, scale: Scale) -> usize {
        let counter = self.counters.peek(&level.hash);
        counter.map_or(1, |counter| scale.servers_needed(counter.decayed(now)))
    }
}

/// Factors that convert this daemon's measured work to a number of servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    /// Daemons, each with about the same share of the traffic.
    pub(crate) daemons: f64,
    /// Slots of a typical server.
    pub(crate) slots: f64,
}

impl Scale {
    fn servers_needed(self, work: f64) -> usize {
        let running = work / HORIZON_SECONDS * self.daemons;
        numeric::ceil_to_count(running / (self.slots * TARGET_OCCUPANCY)).max(1)
    }
}
