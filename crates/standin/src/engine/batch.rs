//! Continuous batching: each step computes prompt tokens within a budget, and one answer token for each running
//! request whose prompt is done.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use rand::RngExt as _;
use tokio::{sync::Notify, time::Instant};

use super::{
    Engine, Settings,
    state::{Phase, State},
};

/// Runs steps until the engine is dropped. Holds no strong reference while it waits, so that the engine can be dropped.
pub(super) async fn run(engine: Weak<Engine>, work: Arc<Notify>) {
    let mut step_end = Instant::now();
    loop {
        let planned = {
            let Some(engine) = engine.upgrade() else {
                return;
            };
            let planned = engine.state.lock().plan_step(&engine.settings);
            planned
                .map(|(step, generation)| (engine.faults.lock().apply_slowdown(step), generation))
        };
        let Some((step, generation)) = planned else {
            work.notified().await;
            step_end = Instant::now();
            continue;
        };
        // Starts from the planned end of the last step, so that late timers do not slow the engine down.
        step_end += step;
        if step.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep_until(step_end).await;
        }
        let Some(engine) = engine.upgrade() else {
            return;
        };
        let mut state = engine.state.lock();
        if state.generation == generation {
            state.finish_step(&engine.settings);
        }
    }
}

impl State {
    /// Fills free slots and plans a step; returns its length and generation, or `None` if no request runs.
    fn plan_step(&mut self, settings: &Settings) -> Option<(Duration, u64)> {
        self.cancel_orphans(settings);
        while self.running.len() < settings.slots {
            let Some((_, id)) = self.waiting.pop_first() else {
                break;
            };
            self.admit(id, settings);
        }
        self.record_load();
        if self.running.is_empty() {
            return None;
        }
        let mut budget = settings.prefill_budget.max(1);
        for id in &self.running {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let computed = job.prefill.min(budget);
            job.prefill -= computed;
            budget -= computed;
        }
        let computed = settings.prefill_budget.max(1) - budget;
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let step = settings.step
            + settings.step_per_request * batch
            + settings.prefill_per_token * computed;
        Some((step, self.generation))
    }

    /// Makes one more token ready for each request whose prompt is computed.
    fn finish_step(&mut self, settings: &Settings) {
        let mut finished = Vec::new();
        for id in self.running.clone() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.prefill > 0 {
                continue;
            }
            if !job.stored {
                job.stored = true;
                let lost =
                    settings.event_loss > 0.0 && self.random.random_bool(settings.event_loss);
                self.cache.store(&job.prompt.blocks, lost);
            }
            let total = job.total;
            job.progress
                .send_modify(|progress| progress.ready = (progress.ready + 1).min(total));
            if job.progress.borrow().ready >= job.total {
                finished.push(id);
            }
        }
        for id in finished {
            self.end_job(id, Phase::Finished);
        }
    }

    /// Cancels requests whose stream has had no reader for the grace time.
    fn cancel_orphans(&mut self, settings: &Settings) {
        let orphans: Vec<_> = self
            .running
            .iter()
            .chain(self.waiting.values())
            .copied()
            .filter(|id| {
                let orphaned = self.jobs.get(id).and_then(|job| job.orphaned);
                orphaned.is_some_and(|since| since.elapsed() >= settings.resume_grace)
            })
            .collect();
        for id in orphans {
            self.end_job(id, Phase::Cancelled);
        }
    }
}
