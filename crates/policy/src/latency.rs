//! Speed estimates of a server, learned from its answers: prefill time, time between tokens and service time, and the
//! timeouts derived from them.

use std::time::Duration;

use crate::{Settings, estimate::Estimate, numeric};

/// Attempts that compute fewer tokens update the fixed overhead of a request, others the prefill time per token.
const SHORT_PROMPT_TOKENS: f64 = 256.0;
/// Fixed part of the first-token time assumed before the first sample.
const INITIAL_OVERHEAD_SECONDS: f64 = 0.01;
const INITIAL_SERVICE_SECONDS: f64 = 1.0;
const INITIAL_TOKEN_INTERVAL_SECONDS: f64 = 0.02;
/// Gain of the overhead and the prefill time.
const SLOW_GAIN: f64 = 0.05;
/// Gain of all other estimates.
const GAIN: f64 = 0.1;
/// Share of the distance to its peers' values that a server's estimates move in each comparison. An estimate that is
/// too high keeps requests away, so no sample would correct it.
const DRIFT_SHARE: f64 = 0.005;
/// Mean deviations above the estimate at which an attempt times out.
const TIMEOUT_DEVIATIONS: f64 = 8.0;
/// Multiple of the expected first-token time in its timeout.
const TIMEOUT_MULTIPLE: f64 = 4.0;
const MAX_TIMEOUT_FACTOR: f64 = 8.0;

/// The speed estimates of one server, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    /// Fixed part of the first-token time.
    overhead: Estimate,
    /// Prefill time per token.
    prefill: Estimate,
    /// Time from dispatch to the end of an answer.
    service: Estimate,
    /// Time per token of a running answer.
    token: Estimate,
    /// Time between the arrivals of tokens, several of which may arrive at once.
    gap: Estimate,
    /// Absolute error of the expected first-token time.
    error: Estimate,
    /// Widens the timeouts after one has expired, so that a slow server does not time out again and again.
    timeout_factor: f64,
}

impl Latency {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            overhead: Estimate::new(INITIAL_OVERHEAD_SECONDS, SLOW_GAIN),
            prefill: Estimate::new(settings.prefill_per_token.as_secs_f64(), SLOW_GAIN),
            service: Estimate::new(INITIAL_SERVICE_SECONDS, GAIN),
            token: Estimate::new(INITIAL_TOKEN_INTERVAL_SECONDS, GAIN),
            gap: Estimate::new(INITIAL_TOKEN_INTERVAL_SECONDS, GAIN),
            error: Estimate::new(0.05, GAIN),
            timeout_factor: 1.0,
        }
    }

    /// Returns the expected seconds to first token when this many tokens must be computed.
    pub(crate) fn first_token(&self, tokens: f64) -> f64 {
        self.overhead.mean() + tokens * self.prefill.mean()
    }

    pub(crate) fn overhead(&self) -> f64 {
        self.overhead.mean()
    }

    pub(crate) fn prefill_per_token(&self) -> f64 {
        self.prefill.mean()
    }

    pub(crate) fn service_time(&self) -> f64 {
        self.service.mean()
    }

    pub(crate) fn token_interval(&self) -> f64 {
        self.token.mean()
    }

    /// Records the time to first token of an attempt. `tokens` includes the pending tokens ahead of its own.
    pub(crate) fn observe_first_token(&mut self, tokens: f64, seconds: f64) {
        let expected = self.first_token(tokens);
        self.error.add((seconds - expected).abs());
        self.timeout_factor = (self.timeout_factor * 0.9).max(1.0);
        if tokens < SHORT_PROMPT_TOKENS {
            let rest = (seconds - tokens * self.prefill.mean()).max(0.0);
            self.overhead.add_lower_biased(rest);
        } else {
            let rest = (seconds - self.overhead.mean()).max(0.0) / tokens;
            self.prefill.add_lower_biased(rest);
        }
    }

    /// Records tokens that arrived this long after the previous ones.
    pub(crate) fn observe_tokens(&mut self, tokens: u32, seconds: f64) {
        if tokens > 0 {
            self.token.add(seconds / f64::from(tokens));
            self.gap.add(seconds);
        }
    }

    /// Records the time from dispatch to the end of an answer.
    pub(crate) fn observe_service(&mut self, seconds: f64) {
        self.service.add(seconds);
    }

    /// Moves the overhead and the prefill time a little towards those of the peers.
    pub(crate) fn drift(&mut self, overhead: f64, prefill: f64) {
        self.overhead.move_towards(overhead, DRIFT_SHARE);
        self.prefill.move_towards(prefill, DRIFT_SHARE);
    }

    /// Widens the timeouts after one has expired.
    pub(crate) fn observe_timeout(&mut self) {
        self.timeout_factor = (self.timeout_factor * 2.0).min(MAX_TIMEOUT_FACTOR);
    }

    /// Returns the timeout for the first token.
    pub(crate) fn first_token_timeout(&self, tokens: f64, floor: Duration) -> Duration {
        let learned =
            TIMEOUT_MULTIPLE * self.first_token(tokens) + TIMEOUT_DEVIATIONS * self.error.mean();
        numeric::duration_from_secs(learned.max(floor.as_secs_f64()) * self.timeout_factor)
    }

    /// Returns the timeout between tokens.
    pub(crate) fn inter_token_timeout(&self, floor: Duration) -> Duration {
        let learned = self.gap.bound(TIMEOUT_DEVIATIONS);
        numeric::duration_from_secs(learned.max(floor.as_secs_f64()) * self.timeout_factor)
    }
}

/// Share of first tokens that are later than the margin.
const LATE_SHARE: f64 = 0.02;
/// Relative change of the margin per sample, small enough that the answers of a few slow servers hardly move it.
const MARGIN_GAIN: f64 = 0.02;
const INITIAL_LATE_MARGIN_SECONDS: f64 = 0.1;
const MIN_LATE_MARGIN_SECONDS: f64 = 0.01;
const MAX_LATE_MARGIN_SECONDS: f64 = 5.0;

/// How far a first token may exceed its expected time before it counts as late. It is a quantile over all servers, so
/// that the answers of a slow server do not raise its own margin.
#[derive(Clone, Debug)]
pub(crate) struct LateMargin {
    seconds: f64,
}

impl LateMargin {
    pub(crate) fn new() -> Self {
        Self {
            seconds: INITIAL_LATE_MARGIN_SECONDS,
        }
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Records the seconds by which a first token exceeded its expected time.
    pub(crate) fn observe(&mut self, excess: f64) {
        let late = if excess > self.seconds { 1.0 } else { 0.0 };
        let factor = 1.0 + MARGIN_GAIN * (late - LATE_SHARE);
        self.seconds =
            (self.seconds * factor).clamp(MIN_LATE_MARGIN_SECONDS, MAX_LATE_MARGIN_SECONDS);
    }
}
