//! Prefill pressure: the share of recent time that a server spent computing prompts.
//!
//! Prefill delays the events of running streams. On mpr-ricambi drafts of 73 events run beside prompts of some 9,000
//! tokens. A step of an engine computes up to 2,048 tokens of other callers' prompts and an event takes four steps, so
//! that a fifth of the drafts paused for longer than their route allows, while a twentieth began late.
//!
//! Placement therefore sends long answers to servers with little pressure. These then look busy to long prompts, which
//! go elsewhere, so that both kinds separate as far as the load makes it worthwhile. Short answers are hardly affected.

use std::time::Duration;

use jaystand_types::Moment;

/// Time constant of the moving average: after it an earlier state counts for about a third. A draft lasts some two
/// seconds, and the prefill before it predicts the prefill during it.
const TIME_CONSTANT_S: f64 = 2.0;

/// Share of recent time in which a server had prompts to compute.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    level: f64,
    /// Time of the last observation.
    observed: Moment,
}

impl Pressure {
    /// Records the backlog: the time that the server needs to compute the prompts that wait for it now.
    pub fn observe(&mut self, now: Moment, backlog: Duration) {
        let elapsed = now.saturating_sub(self.observed).as_secs_f64();
        self.observed = now;
        if elapsed <= 0.0 {
            return;
        }
        let busy_share = (backlog.as_secs_f64() / elapsed).min(1.0);
        self.level += (busy_share - self.level) * (1.0 - (-elapsed / TIME_CONSTANT_S).exp());
    }

    /// Returns the share of recent time, from 0 to 1.
    #[must_use]
    pub fn level(self) -> f64 {
        self.level
    }
}
