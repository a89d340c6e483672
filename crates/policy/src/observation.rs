//! Observations of which servers recently had a prefix level cached.

use std::{hash::BuildHasherDefault, num::NonZeroUsize};

use jaystand_types::{Moment, ServerId};
use lru::LruCache;
use smallvec::SmallVec;

use crate::chain::Level;

/// Levels with observations; the least recently used ones are dropped.
const MAX_LEVELS_TRACKED: NonZeroUsize = NonZeroUsize::new(65_536).expect("positive");
/// Servers recorded for one level.
const MAX_HOLDERS: usize = 4;
/// Interval of the levels recorded besides the hot ones and the deepest. A conversation that branches off finds a
/// recorded level nearby.
const RECORD_STRIDE_LEVELS: usize = 8;

/// Hasher that passes its input through, because levels are identified by hashes already.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdentityHasher(u64);

impl std::hash::Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

pub(crate) type LevelHash = BuildHasherDefault<IdentityHasher>;

/// A server that was observed to have a level cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Holder {
    pub(crate) server: ServerId,
    /// Epoch of the server's cache when it was observed.
    pub(crate) epoch: u32,
    pub(crate) observed_at: Moment,
}

/// The observations of all levels.
pub(crate) struct Observations {
    entries: LruCache<u64, SmallVec<[Holder; MAX_HOLDERS]>, LevelHash>,
}

impl Observations {
    pub(crate) fn new() -> Self {
        Self {
            entries: LruCache::with_hasher(MAX_LEVELS_TRACKED, LevelHash::default()),
        }
    }

    /// Returns the holders of a level, the most recent last.
    pub(crate) fn holders(&self, level: &Level) -> &[Holder] {
        self.entries.peek(&level.hash).map_or(&[], |list| list)
    }

    /// Records that a server has the whole chain cached. Records all levels up to the first cold one, and some deeper
    /// ones.
    pub(crate) fn record(&mut self, levels: &[Level], first_cold_depth: usize, holder: Holder) {
        for (depth, level) in levels.iter().enumerate() {
            let deepest = depth + 1 == levels.len();
            if deepest
                || depth <= first_cold_depth
                || depth % RECORD_STRIDE_LEVELS == RECORD_STRIDE_LEVELS - 1
            {
                self.record_level(level, holder);
            }
        }
    }

    /// Replaces the server ids after a new configuration. Drops the servers for which `new_id` returns `None`.
    pub(crate) fn remap(&mut self, new_id: impl Fn(ServerId) -> Option<ServerId>) {
        for (_, list) in &mut self.entries {
            list.retain(|holder| match new_id(holder.server) {
                Some(server) => {
                    holder.server = server;
                    true
                }
                None => false,
            });
        }
    }

    fn record_level(&mut self, level: &Level, holder: Holder) {
        let list = self.entries.get_or_insert_mut(level.hash, SmallVec::new);
        list.retain(|known| known.server != holder.server);
        if list.len() == MAX_HOLDERS {
            list.remove(0);
        }
        list.push(holder);
    }
}
