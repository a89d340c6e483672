//! The bounded prefix cache: blocks in order of last use, and the events that report changes.

use std::{collections::VecDeque, num::NonZeroUsize, time::Duration};

use lru::LruCache;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const MAX_EVENTS: usize = 4096;

#[derive(Debug)]
pub(super) struct Cache {
    blocks: LruCache<u64, ()>,
    events: VecDeque<(Instant, Event)>,
    next_seq: u64,
}

/// A change of the cache, as reported to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Event {
    seq: u64,
    stored: Vec<String>,
    removed: Vec<String>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            blocks: LruCache::new(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN)),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Returns how many leading blocks are present, and marks them as used.
    pub(super) fn lookup(&mut self, blocks: &[u64]) -> usize {
        let present = blocks
            .iter()
            .take_while(|block| self.blocks.contains(block));
        let present = present.count();
        // Promotes the deepest block first, so that a prefix is evicted after the blocks that extend it.
        for block in blocks[..present].iter().rev() {
            self.blocks.promote(block);
        }
        present
    }

    /// Stores blocks and evicts the least recently used ones. `lost` drops the event, but not its sequence number.
    pub(super) fn store(&mut self, blocks: &[u64], lost: bool) {
        let mut event = Event {
            seq: self.next_seq,
            stored: Vec::new(),
            removed: Vec::new(),
        };
        for block in blocks.iter().rev() {
            match self.blocks.push(*block, ()) {
                None => event.stored.push(render_hash(*block)),
                Some((old, ())) if old == *block => {}
                Some((old, ())) => {
                    event.stored.push(render_hash(*block));
                    event.removed.push(render_hash(old));
                }
            }
        }
        if event.stored.is_empty() {
            return;
        }
        self.next_seq += 1;
        if !lost {
            self.events.push_back((Instant::now(), event));
        }
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(super) fn contains(&self, block: u64) -> bool {
        self.blocks.contains(&block)
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<Event> {
        let visible = self
            .events
            .iter()
            .filter(|(added_at, event)| event.seq > after && added_at.elapsed() >= lag);
        visible.map(|(_, event)| event.clone()).collect()
    }
}

pub(super) fn render_hash(block: u64) -> String {
    format!("{block:016x}")
}

pub(super) fn parse_hash(block: &str) -> Option<u64> {
    u64::from_str_radix(block, 16).ok()
}
