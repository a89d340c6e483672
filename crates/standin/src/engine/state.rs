//! State of an engine: its identity, batch, queue, cache and records.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use jaystand_types::RequestId;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use super::{
    Prompt, Settings,
    cache::Cache,
    load::{History, Sample},
};

const MAX_RECORDS: usize = 1_000_000;
const JOB_PRUNE_THRESHOLD: usize = 100_000;

jaystand_types::common! { value
    /// Phase of a job. The order counts: ended phases compare greater.
    pub(super) enum Phase {
        Waiting,
        Running,
        Finished,
        Cancelled,
    }

    /// Progress of a job, which the readers of its stream wait for.
    pub(super) struct Progress {
        /// Number of tokens ready, counted from the start of the answer.
        pub(super) ready: u32,
        pub(super) phase: Phase,
    }
}

/// A request that the engine has accepted.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) prompt: Prompt,
    pub(super) priority: u8,
    pub(super) sequence: u64,
    /// Length of the whole answer in tokens.
    pub(super) total: u32,
    /// Prompt tokens still to compute.
    pub(super) prefill: u32,
    pub(super) cached: u32,
    /// Whether the job has ever got a slot.
    pub(super) started: bool,
    /// Whether its blocks have been put into the cache.
    pub(super) stored: bool,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) readers: usize,
    /// When the last reader was dropped.
    pub(super) orphaned: Option<Instant>,
    /// Number of its record, as returned by [`State::record`].
    record: Option<usize>,
}

/// Record of one request as the engine saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request id.
    pub request: RequestId,
    /// Hash of the prompt.
    pub prompt: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The `x-cache-salt` header.
    pub salt: String,
    /// The `x-priority` header.
    pub priority: u8,
    /// The `x-expect-incarnation` header.
    pub expected_incarnation: Option<u64>,
    /// The engine's own incarnation.
    pub incarnation: u64,
    /// Weights version that answered.
    pub weights_version: String,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Offset of the first token; above 0 for a continuation.
    pub first: u32,
    /// Whether it was refused before it could start.
    pub refused: bool,
    /// Arrival, in microseconds since the engine's start.
    pub arrived_us: u64,
    /// When it got a slot.
    pub started_us: Option<u64>,
    /// When its last token was ready.
    pub finished_us: Option<u64>,
    /// Tokens generated.
    pub tokens: u32,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Number of times that a reader resumed it.
    pub resumed: u32,
    /// The `idempotency-key` header.
    pub key: Option<String>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: u64,
    pub(super) model: CompactString,
    pub(super) adapter: CompactString,
    pub(super) weights_version: CompactString,
    pub(super) role: CompactString,
    pub(super) fence: u64,
    pub(super) loading: bool,
    pub(super) leaving: bool,
    pub(super) cache: Cache,
    pub(super) waiting: BTreeMap<(u8, u64), RequestId>,
    pub(super) running: Vec<RequestId>,
    pub(super) jobs: HashMap<RequestId, Job>,
    pub(super) load: History,
    pub(super) random: Pcg64,
    /// Number of crashes; a step or load that began before a crash has no effect after it.
    pub(super) generation: u64,
    epoch: Instant,
    sequence: u64,
    records: Vec<Record>,
    /// Number of records already taken out; record numbers count from the first one ever.
    taken_records: usize,
    /// Model and weights version at start.
    initial: (CompactString, CompactString),
    cache_blocks: usize,
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        let mut random = Pcg64::seed_from_u64(settings.seed);
        Self {
            incarnation: random.random(),
            model: settings.model.clone(),
            adapter: CompactString::default(),
            weights_version: settings.weights_version.clone(),
            role: CompactString::const_new("serve"),
            fence: 0,
            loading: false,
            leaving: false,
            cache: Cache::new(settings.cache_blocks),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            jobs: HashMap::new(),
            load: History::default(),
            random,
            generation: 0,
            epoch: Instant::now(),
            sequence: 0,
            records: Vec::new(),
            taken_records: 0,
            initial: (settings.model.clone(), settings.weights_version.clone()),
            cache_blocks: settings.cache_blocks,
        }
    }

    /// Discards all jobs and the cache and starts a new incarnation. Records stay.
    pub(super) fn crash(&mut self) {
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in ids {
            self.end_job(id, Phase::Cancelled);
        }
        self.jobs.clear();
        self.cache = Cache::new(self.cache_blocks);
        self.load = History::default();
        self.incarnation = self.random.random();
        (self.model, self.weights_version) = self.initial.clone();
        self.adapter = CompactString::default();
        self.role = CompactString::const_new("serve");
        self.fence = 0;
        self.loading = false;
        self.leaving = false;
        self.generation += 1;
    }

    pub(super) fn records(&self) -> Vec<Record> {
        self.records.clone()
    }

    pub(super) fn take_records(&mut self) -> Vec<Record> {
        self.taken_records += self.records.len();
        std::mem::take(&mut self.records)
    }

    /// Adds a record; returns the number that refers to it, or `None` if there are too many records.
    pub(super) fn record(&mut self, mut record: Record) -> Option<usize> {
        record.incarnation = self.incarnation;
        record.weights_version = self.weights_version.to_string();
        record.arrived_us = self.elapsed_us();
        if self.records.len() >= MAX_RECORDS {
            return None;
        }
        self.records.push(record);
        Some(self.taken_records + self.records.len() - 1)
    }

    /// Changes a record, unless it has been taken out.
    pub(super) fn update_record(
        &mut self,
        number: Option<usize>,
        change: impl FnOnce(&mut Record),
    ) {
        let index = number.and_then(|number| number.checked_sub(self.taken_records));
        if let Some(record) = index.and_then(|index| self.records.get_mut(index)) {
            change(record);
        }
    }

    /// Adds a request to the queue. If too many jobs are known, ended jobs are removed first.
    pub(super) fn enqueue(
        &mut self,
        id: RequestId,
        prompt: Prompt,
        priority: u8,
        first: u32,
        total: u32,
        record: Option<usize>,
    ) {
        if self.jobs.len() > JOB_PRUNE_THRESHOLD {
            self.jobs
                .retain(|_, job| job.progress.borrow().phase <= Phase::Running);
        }
        self.sequence += 1;
        let progress = Progress {
            ready: first,
            phase: Phase::Waiting,
        };
        let job = Job {
            prompt,
            priority,
            sequence: self.sequence,
            total,
            prefill: 0,
            cached: 0,
            started: false,
            stored: false,
            progress: watch::Sender::new(progress),
            readers: 0,
            orphaned: None,
            record,
        };
        self.waiting.insert((priority, self.sequence), id);
        self.jobs.insert(id, job);
        self.record_load();
    }

    /// Moves a waiting job into the batch.
    pub(super) fn admit(&mut self, id: RequestId, settings: &Settings) {
        let now = self.elapsed_us();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let present = self.cache.lookup(&job.prompt.blocks);
        let bytes = present * settings.block_bytes;
        let tokens = u32::try_from(bytes).unwrap_or(u32::MAX) / settings.bytes_per_token.max(1);
        // The last prompt token is always computed: its output is the first token of the answer.
        job.cached = tokens.min(job.prompt.tokens.saturating_sub(1));
        job.prefill = job.prompt.tokens - job.cached;
        job.started = true;
        job.progress
            .send_modify(|progress| progress.phase = Phase::Running);
        let (cached, record) = (job.cached, job.record);
        self.running.push(id);
        self.update_record(record, |record| {
            record.started_us = Some(now);
            record.cached_tokens = cached;
        });
    }

    /// Ends a job that waits or runs. Ended jobs stay known, so that their streams can still be read.
    pub(super) fn end_job(&mut self, id: RequestId, phase: Phase) {
        let now = self.elapsed_us();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let before = *job.progress.borrow();
        if before.phase >= Phase::Finished {
            return;
        }
        job.progress.send_modify(|progress| progress.phase = phase);
        job.prompt.blocks = Vec::new();
        let (queue_key, record) = ((job.priority, job.sequence), job.record);
        self.waiting.remove(&queue_key);
        self.running.retain(|running| *running != id);
        self.update_record(record, |record| {
            record.cancelled = phase == Phase::Cancelled;
            record.tokens = before.ready.saturating_sub(record.first);
            record.finished_us = (phase == Phase::Finished).then_some(now);
        });
        self.record_load();
    }

    pub(super) fn count_resume(&mut self, id: RequestId) {
        let record = self.jobs.get(&id).and_then(|job| job.record);
        self.update_record(record, |record| record.resumed += 1);
    }

    pub(super) fn record_load(&mut self) {
        self.load.push(Sample {
            running: self.running.len(),
            waiting: self.waiting.len(),
        });
    }

    fn elapsed_us(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
