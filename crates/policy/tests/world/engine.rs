//! A fake model server with slots, a priority queue, one prefill at a time and a prefix cache with eviction.

use std::{collections::HashMap, time::Duration};

use jaystand_policy::Level;
use jaystand_types::Moment;

/// An attempt on a server: the daemon, the request and the number of the attempt.
pub type Job = (usize, u64, u32);

/// A fake model server.
pub struct Engine {
    pub up: bool,
    /// Factor on all computing times.
    pub slow_factor: f64,
    pub incarnation: u64,
    pub slots: usize,
    pub running: Vec<Job>,
    waiting: Vec<(u8, Job)>,
    /// When the last prefill ends.
    prefill_free_at: Moment,
    /// Last use of each cached level.
    cache: HashMap<u64, Moment>,
    max_cached_levels: usize,
    cache_lifetime: Duration,
}

impl Engine {
    pub fn new(slots: usize, max_cached_levels: usize, cache_lifetime: Duration) -> Self {
        Self {
            up: true,
            slow_factor: 1.0,
            incarnation: 1,
            slots,
            running: Vec::new(),
            waiting: Vec::new(),
            prefill_free_at: Moment::ZERO,
            cache: HashMap::new(),
            max_cached_levels,
            cache_lifetime,
        }
    }

    /// Drops all jobs and the cache, and returns the jobs. The engine comes up again with a new incarnation.
    pub fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.incarnation += 1;
        self.cache.clear();
        self.prefill_free_at = Moment::ZERO;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..).map(|(_, job)| job));
        lost
    }

    pub fn enqueue(&mut self, priority: u8, job: Job) {
        self.waiting.push((priority, job));
    }

    /// Moves the most urgent waiting job to a free slot, and returns it.
    pub fn start_next(&mut self) -> Option<Job> {
        if self.running.len() >= self.slots {
            return None;
        }
        let best = self
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(index, (p, _))| (*p, *index))?
            .0;
        let (_, job) = self.waiting.remove(best);
        self.running.push(job);
        Some(job)
    }

    pub fn stop(&mut self, job: Job) {
        self.running.retain(|known| *known != job);
        self.waiting.retain(|(_, known)| *known != job);
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the bytes of the prompt that are cached.
    pub fn lookup(&self, now: Moment, levels: &[Level]) -> u32 {
        let is_fresh = |used: &Moment| *used + self.cache_lifetime > now;
        let is_fresh = |level: &&Level| self.cache.get(&level.hash).is_some_and(is_fresh);
        levels
            .iter()
            .rev()
            .find(is_fresh)
            .map_or(0, |level| level.end)
    }

    /// Caches a computed prompt, and evicts the least recently used levels.
    pub fn store(&mut self, now: Moment, levels: &[Level]) {
        self.cache
            .extend(levels.iter().map(|level| (level.hash, now)));
        while self.cache.len() > self.max_cached_levels {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(hash, used)| (**used, **hash));
            let hash = *oldest.expect("not empty").0;
            self.cache.remove(&hash);
        }
    }

    /// Adds a prefill of this length, and returns when it ends.
    pub fn prefill(&mut self, now: Moment, length: Duration) -> Moment {
        self.prefill_free_at = self.prefill_free_at.max(now) + length.mul_f64(self.slow_factor);
        self.prefill_free_at
    }
}
