//! Which servers this daemon has lately seen to hold a prefix level.

use std::{hash::BuildHasherDefault, num::NonZeroUsize};

use jaystand_types::{Moment, ServerId};
use lru::LruCache;
use smallvec::SmallVec;

use crate::chain::Level;

const MAX_LEVELS_TRACKED: NonZeroUsize = NonZeroUsize::new(65_536).expect("positive");
const MAX_HOLDERS: usize = 4;
/// Every this many levels one is recorded, besides the deepest: a conversation that branches off finds one nearby.
const RECORD_STRIDE_LEVELS: usize = 8;

/// Levels are hashes already, so their own bits serve as the hash.
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

/// A server that held a level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Holder {
    pub(crate) server: ServerId,
    /// Epoch of the server's cache when it was seen.
    pub(crate) epoch: u32,
    pub(crate) seen: Moment,
}

/// The observations.
pub(crate) struct Observations {
    entries: LruCache<u64, SmallVec<[Holder; MAX_HOLDERS]>, LevelHash>,
}

impl Observations {
    pub(crate) fn new() -> Self {
        Self {
            entries: LruCache::with_hasher(MAX_LEVELS_TRACKED, LevelHash::default()),
        }
    }

    /// The holders of a level, most recent last.
    pub(crate) fn holders(&self, level: &Level) -> &[Holder] {
        self.entries.peek(&level.hash).map_or(&[], |list| list)
    }

    /// Records that the server holds the whole chain.
    pub(crate) fn record(&mut self, levels: &[Level], hot_depth: usize, holder: Holder) {
        for (depth, level) in levels.iter().enumerate() {
            let deepest = depth + 1 == levels.len();
            if deepest
                || depth <= hot_depth
                || depth % RECORD_STRIDE_LEVELS == RECORD_STRIDE_LEVELS - 1
            {
                self.record_level(level, holder);
            }
        }
    }

    /// Renames the servers after a new configuration; `None` drops a server.
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
