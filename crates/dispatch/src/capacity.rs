//! Capacity: the load that a server takes without refusing, learned from its responses.
//!
//! Without a limit each host sends until servers refuse. On derwent-maps-grown servers refused 23,127 of 58,291
//! arrivals of a day after queueing them, and the requests expired meanwhile.
//!
//! The bounds come from the configuration: slots and memory, each with a margin for the server's own queue, and a
//! backlog of prompts. A factor on them adapts by additive increase and multiplicative decrease. A server below its
//! bounds that has not refused is never full, so that nothing changes at normal load.

use std::time::Duration;

use jaystand_types::Moment;

use crate::{ServerKey, config::Engine, load::Load, prompt};

/// Requests behind the slots of an engine, as a share of the slots. Reports are 100 to 300 ms old; meanwhile the queue
/// keeps the engine busy.
const ENGINE_QUEUE: f64 = 0.5;
/// Requests of this host behind the slots of a plain server, as a share of the slots. The sheets state a queue of four
/// times the slots; other hosts send as well.
const PLAIN_QUEUE: f64 = 3.0;
/// Share of the memory by which the tokens of sent requests may exceed it. Requests with a common shared part count it
/// each, but the engine keeps it once.
const MEMORY_EXCESS: f64 = 0.5;
/// Prompts that wait for an engine, as the time to compute them. Objectives of urgent streams begin at 800 ms, and
/// engines compute urgent prompts first.
const BACKLOG: Duration = Duration::from_secs(1);
/// Upper bound on the slowdown that counts. Engines differ by a factor of up to 2.4; single late events by more.
const MAX_SLOWDOWN: f64 = 2.4;
/// An engine with fewer requests than this is not full by its backlog: a single prompt of 70,000 tokens takes 2 s.
const MIN_BACKLOG_REQUESTS: u32 = 4;
/// Bounds of the factor. The lower one leaves half of an engine's slots, so that a server that refused for another
/// reason than its load is still used; the upper one is twice the slots.
const FACTOR_BOUNDS: (f64, f64) = (1.0 / 3.0, 4.0 / 3.0);
/// Decrease of the factor after a refusal or a late first event.
const DECREASE: f64 = 0.8;
/// Increase of the factor for each good response to a request that was sent near the limit.
const INCREASE: f64 = 0.02;
/// Increase per second towards 1 without any response: evidence of an earlier overload expires.
const RECOVERY_PER_S: f64 = 0.05;
/// Fill from which a good response shows that the server may take more.
const NEAR_LIMIT: f64 = 0.8;
/// At most one decrease within this time. Requests that were sent before a decrease are still refused after it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// A first event is late after the expected time multiplied by this,
const LATE_FACTOR: u32 = 4;
/// and by no less than this: short waits vary by the steps of the engine.
const MIN_LATENESS: Duration = Duration::from_secs(1);
/// Pause after a refusal. Hosts of a large fleet have less than one request at a plain server at a time, so that only
/// a pause reduces what they send. Each further refusal without a good response doubles it.
const PAUSE: Duration = Duration::from_millis(80);
/// Number of doublings of the pause: a server that has capacity again gets requests within 320 ms.
const MAX_DOUBLINGS: u32 = 2;

jaystand_types::common! { value
    /// The load that a server takes by the configuration.
    pub struct Bounds {
        /// Requests; 0 when the slots are unknown, which sets no bound.
        active: u32,
        /// Time to compute the prompts that wait, in microseconds.
        prefill_us: u64,
        /// Tokens of memory.
        memory_tokens: u64,
    }
}

impl Bounds {
    /// Returns the bounds of an engine, for the load of all hosts.
    #[must_use]
    pub fn engine(engine: &Engine) -> Self {
        Self {
            active: with_margin(engine.slots, ENGINE_QUEUE),
            prefill_us: u64::try_from(BACKLOG.as_micros()).unwrap_or(u64::MAX),
            memory_tokens: scaled(engine.memory_tokens, 1.0 + MEMORY_EXCESS),
        }
    }

    /// Returns the bounds of a plain server, for the load of this host. Reports are older than its requests last, so
    /// that other hosts' load says little.
    #[must_use]
    pub fn plain(slots: u32) -> Self {
        Self {
            active: with_margin(slots, PLAIN_QUEUE),
            prefill_us: 0,
            memory_tokens: 0,
        }
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Returns the load as a share of the bounds: the largest share of any of them. `slowdown` is how many times
    /// longer the server takes to compute prompts than expected.
    #[must_use]
    pub fn fill(&self, load: &Load, slowdown: f64) -> f64 {
        if self.active == 0 {
            return 0.0;
        }
        let share = |used: u64, bound: u64| {
            if bound == 0 {
                0.0
            } else {
                to_f64(used) / to_f64(bound)
            }
        };
        let mut fill = f64::from(load.active) / f64::from(self.active);
        fill = fill.max(share(load.memory_tokens, self.memory_tokens));
        if load.active >= MIN_BACKLOG_REQUESTS {
            fill = fill
                .max(share(load.prefill_us, self.prefill_us) * slowdown.clamp(1.0, MAX_SLOWDOWN));
        }
        fill
    }
}

/// What this host has learned of a server's capacity.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Factor on the bounds at `changed`.
    factor: f64,
    changed: Moment,
    /// Time of the last decrease.
    decreased: Option<Moment>,
    /// Refusals since the last good response.
    refusals: u32,
    /// The server gets no requests before.
    paused_until: Moment,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            factor: 1.0,
            changed: Moment::ZERO,
            decreased: None,
            refusals: 0,
            paused_until: Moment::ZERO,
        }
    }
}

impl Limit {
    /// Returns whether the server takes one more request that leaves a share, `reserve`, of the limit to others. Its size
    /// does not count, or large requests would wait until no small one arrives.
    #[must_use]
    pub fn has_room(&self, now: Moment, fill: f64, reserve: f64) -> bool {
        now >= self.paused_until && fill < self.factor(now) * (1.0 - reserve)
    }

    /// Returns the factor on the bounds.
    #[must_use]
    pub fn factor(&self, now: Moment) -> f64 {
        if self.factor >= 1.0 {
            return self.factor;
        }
        let elapsed = now.saturating_sub(self.changed).as_secs_f64();
        (self.factor + elapsed * RECOVERY_PER_S).min(1.0)
    }

    /// Records that the server refused a request because it is full, or because the request's deadline passed in its
    /// queue. `key` spreads the ends of the pauses of different servers.
    pub fn record_refusal(&mut self, now: Moment, key: ServerKey) {
        let pause = PAUSE * (1 << self.refusals.min(MAX_DOUBLINGS));
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.paused_until = self
            .paused_until
            .max(now + pause.mul_f64(0.75 + 0.5 * unit(prompt::mix(key, micros))));
        self.refusals = self.refusals.saturating_add(1);
        self.decrease(now);
    }

    /// Records the time to a first event or an answer. `fill` is the share of the bounds at which the request was sent.
    pub fn record_response(&mut self, now: Moment, took: Duration, expected: Duration, fill: f64) {
        let late = took > expected.saturating_mul(LATE_FACTOR)
            && took.saturating_sub(expected) >= MIN_LATENESS;
        if late {
            self.decrease(now);
            return;
        }
        self.refusals = 0;
        let factor = self.factor(now);
        if fill >= factor * NEAR_LIMIT {
            self.set(now, factor + INCREASE);
        }
    }

    fn decrease(&mut self, now: Moment) {
        let recent = |at: Moment| now.saturating_sub(at) < REACTION_TIME;
        if self.decreased.is_some_and(recent) {
            return;
        }
        self.decreased = Some(now);
        self.set(now, self.factor(now) * DECREASE);
    }

    fn set(&mut self, now: Moment, factor: f64) {
        self.factor = factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.changed = now;
    }
}

/// Returns a number from 0 to 1 for a hash.
pub(crate) fn unit(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn with_margin(slots: u32, margin: f64) -> u32 {
    u32::try_from(scaled(u64::from(slots), 1.0 + margin)).unwrap_or(u32::MAX)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and bounds are not negative"
)]
fn scaled(bound: u64, factor: f64) -> u64 {
    (to_f64(bound) * factor).round() as u64
}

#[allow(
    clippy::cast_precision_loss,
    reason = "loads and bounds stay far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
