//! Exponential backoff with jitter, for the delays between retries.

use std::time::Duration;

/// Delays that double up to [`Backoff::CAP`]. Jitter draws each from the upper half of its range, so that clients that
/// failed together do not retry together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    /// Longest delay.
    pub const CAP: Duration = Duration::from_secs(5);

    /// Returns delays that start at `first`.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        let first = first.min(Self::CAP);
        Self { first, next: first }
    }

    /// Returns the next delay: at least `asked`, the delay that the other side asked for, but at most [`Self::CAP`].
    pub fn delay(&mut self, asked: Option<Duration>) -> Duration {
        let base = self.next.max(asked.unwrap_or_default()).min(Self::CAP);
        self.next = (self.next * 2).min(Self::CAP);
        let jittered = base.mul_f64(rand::random_range(0.5..=1.0));
        jittered.max(asked.unwrap_or_default().min(Self::CAP))
    }

    /// Starts again at the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
