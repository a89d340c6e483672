//! What a server's answers teach about its speed: prefill cost, time between tokens, service time, and the deadlines
//! that follow.

use std::time::Duration;

use crate::{Settings, estimate::Estimate, figure};

/// Prompts that miss fewer tokens than this measure the fixed cost of a request, longer ones the prefill.
const SHORT_PROMPT: f64 = 256.0;
/// Fixed time to first token before anything is measured.
const INITIAL_OVERHEAD: f64 = 0.01;
const INITIAL_SERVICE: f64 = 1.0;
const INITIAL_TOKEN: f64 = 0.02;
const SLOW_GAIN: f64 = 0.05;
const GAIN: f64 = 0.1;
/// A sample counts at most this many times the present estimate, so a slow moment does not become the norm.
const OUTLIER: f64 = 4.0;
/// Deviations above the mean at which an answer counts as silent.
const DEADLINE_DEVIATIONS: f64 = 8.0;
const DEADLINE_FACTOR: f64 = 4.0;
const MAX_PATIENCE: f64 = 8.0;

/// The learned figures of one server, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    overhead: Estimate,
    prefill: Estimate,
    service: Estimate,
    token: Estimate,
    gap: Estimate,
    error: Estimate,
    /// Widens the deadlines after they expired, so that a slow server is not taken for silent again and again.
    patience: f64,
}

impl Latency {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            overhead: Estimate::new(INITIAL_OVERHEAD, SLOW_GAIN),
            prefill: Estimate::new(settings.prefill_per_token.as_secs_f64(), SLOW_GAIN),
            service: Estimate::new(INITIAL_SERVICE, GAIN),
            token: Estimate::new(INITIAL_TOKEN, GAIN),
            gap: Estimate::new(INITIAL_TOKEN, GAIN),
            error: Estimate::new(0.05, GAIN),
            patience: 1.0,
        }
    }

    /// Expected seconds to first token when this many tokens must be computed.
    pub(crate) fn first_token(&self, tokens: f64) -> f64 {
        self.overhead.mean() + tokens * self.prefill.mean()
    }

    /// Seconds to first token that nearly all answers stay under.
    pub(crate) fn late_first_token(&self, tokens: f64) -> f64 {
        self.first_token(tokens) + 3.0 * self.error.mean()
    }

    pub(crate) fn overhead(&self) -> f64 {
        self.overhead.mean()
    }

    pub(crate) fn prefill(&self) -> f64 {
        self.prefill.mean()
    }

    pub(crate) fn service(&self) -> f64 {
        self.service.mean()
    }

    pub(crate) fn token(&self) -> f64 {
        self.token.mean()
    }

    /// Takes in the time to first token of an attempt that computed this many tokens, those ahead included.
    pub(crate) fn observe_first_token(&mut self, tokens: f64, seconds: f64) {
        let expected = self.first_token(tokens);
        self.error.add((seconds - expected).abs());
        self.patience = (self.patience * 0.9).max(1.0);
        if tokens < SHORT_PROMPT {
            let rest = (seconds - tokens * self.prefill.mean()).max(0.0);
            let bound = limit(&self.overhead, rest);
            self.overhead.add(bound);
        } else {
            let rest = (seconds - self.overhead.mean()).max(0.0) / tokens;
            let bound = limit(&self.prefill, rest);
            self.prefill.add(bound);
        }
    }

    /// Takes in tokens that arrived this long after the previous ones.
    pub(crate) fn observe_tokens(&mut self, tokens: u32, seconds: f64) {
        if tokens > 0 {
            self.token.add(seconds / f64::from(tokens));
            self.gap.add(seconds);
        }
    }

    /// Takes in the time from dispatch to the end of an answer.
    pub(crate) fn observe_service(&mut self, seconds: f64) {
        self.service.add(seconds);
    }

    /// A deadline of this server has expired.
    pub(crate) fn observe_silence(&mut self) {
        self.patience = (self.patience * 2.0).min(MAX_PATIENCE);
    }

    /// Time allowed until the first token.
    pub(crate) fn first_token_deadline(&self, tokens: f64, floor: Duration) -> Duration {
        let learned =
            DEADLINE_FACTOR * self.first_token(tokens) + DEADLINE_DEVIATIONS * self.error.mean();
        figure::duration(learned.max(floor.as_secs_f64()) * self.patience)
    }

    /// Time allowed between tokens.
    pub(crate) fn token_deadline(&self, floor: Duration) -> Duration {
        let learned = self.gap.bound(DEADLINE_DEVIATIONS);
        figure::duration(learned.max(floor.as_secs_f64()) * self.patience)
    }
}

fn limit(estimate: &Estimate, sample: f64) -> f64 {
    if estimate.samples() < 4 {
        return sample;
    }
    sample.min(estimate.mean() * OUTLIER)
}
