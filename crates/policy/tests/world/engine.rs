//! A fake model server: slots, a priority queue, one prefill at a time and a prefix cache that evicts.

use std::{collections::HashMap, time::Duration};

use jaystand_policy::Level;
use jaystand_types::Moment;

/// A piece of work on a server: the daemon, the request and the attempt.
pub type Job = (usize, u64, u32);

pub struct Engine {
    pub up: bool,
    pub slow: f64,
    pub incarnation: u64,
    pub slots: usize,
    pub running: Vec<Job>,
    waiting: Vec<(u8, Job)>,
    prefill_free: Moment,
    cache: HashMap<u64, Moment>,
    cache_levels: usize,
    cache_time: Duration,
}

impl Engine {
    pub fn new(slots: usize, cache_levels: usize, cache_time: Duration) -> Self {
        Self {
            up: true,
            slow: 1.0,
            incarnation: 1,
            slots,
            running: Vec::new(),
            waiting: Vec::new(),
            prefill_free: Moment::ZERO,
            cache: HashMap::new(),
            cache_levels,
            cache_time,
        }
    }

    /// Loses all work and the cache; a new incarnation starts when the engine comes up.
    pub fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.incarnation += 1;
        self.cache.clear();
        self.prefill_free = Moment::ZERO;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..).map(|(_, job)| job));
        lost
    }

    pub fn wait(&mut self, priority: u8, job: Job) {
        self.waiting.push((priority, job));
    }

    /// The next job that a free slot takes, the most urgent first.
    pub fn start(&mut self) -> Option<Job> {
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

    /// Bytes of the prompt that are cached.
    pub fn lookup(&self, now: Moment, levels: &[Level]) -> u32 {
        let fresh = |used: &Moment| *used + self.cache_time > now;
        let fresh = |level: &&Level| self.cache.get(&level.hash).is_some_and(fresh);
        levels.iter().rev().find(fresh).map_or(0, |level| level.end)
    }

    /// Caches a computed prompt, evicting what was used longest ago.
    pub fn store(&mut self, now: Moment, levels: &[Level]) {
        self.cache
            .extend(levels.iter().map(|level| (level.hash, now)));
        while self.cache.len() > self.cache_levels {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(hash, used)| (**used, **hash));
            let hash = *oldest.expect("not empty").0;
            self.cache.remove(&hash);
        }
    }

    /// When a prefill of that length that starts now ends.
    pub fn prefill(&mut self, now: Moment, length: Duration) -> Moment {
        self.prefill_free = self.prefill_free.max(now) + length.mul_f64(self.slow);
        self.prefill_free
    }
}
