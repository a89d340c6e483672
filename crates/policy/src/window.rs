//! The adaptive limit on the requests that this daemon keeps in flight on one server.

use std::time::Duration;

use jaystand_types::Moment;

/// First-token times below this multiple of the unloaded time let the window grow.
const GROW_BELOW: f64 = 2.0;
/// First-token times above this multiple shrink it.
const SHRINK_ABOVE: f64 = 4.0;
const SHRINK_FACTOR: f64 = 0.8;
/// Least time between two reductions. An overload delays many answers, which count as one.
const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(250);

/// The window of one server.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    size: f64,
    slots: f64,
    shrunk_at: Moment,
}

impl Window {
    /// Creates a window of twice this daemon's share of the slots, because traffic is rarely even over daemons.
    pub(crate) fn new(slots: u32, daemons: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let initial_size = 2.0 * slots / f64::from(daemons.max(1));
        Self {
            size: initial_size.clamp(1.0, slots),
            slots,
            shrunk_at: Moment::ZERO,
        }
    }

    /// Applies a new number of slots.
    pub(crate) fn resize(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.size = self.size.clamp(1.0, self.slots);
    }

    /// Returns the number of requests that may be in flight, at least one.
    pub(crate) fn size(&self) -> f64 {
        self.size
    }

    /// Records the ratio of a first-token time to the unloaded time.
    pub(crate) fn observe(&mut self, now: Moment, ratio: f64, in_flight: u32) {
        if ratio > SHRINK_ABOVE {
            self.shrink(now);
        } else if ratio < GROW_BELOW && f64::from(in_flight) * 2.0 >= self.size {
            self.size = (self.size + 1.0 / self.size).min(self.slots);
        }
    }

    /// Shrinks the window after a refusal or an overload.
    pub(crate) fn shrink(&mut self, now: Moment) {
        if now.saturating_sub(self.shrunk_at) >= MIN_SHRINK_INTERVAL
            || self.shrunk_at == Moment::ZERO
        {
            self.size = (self.size * SHRINK_FACTOR).max(1.0);
            self.shrunk_at = now;
        }
    }
}
