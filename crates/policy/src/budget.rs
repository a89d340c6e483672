//! A token bucket that limits extra attempts to a share of the requests.

/// The bucket of one kind of extra attempts.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    share: f64,
    tokens: f64,
    burst: f64,
}

impl Budget {
    /// Creates a bucket with `burst` extra attempts, its capacity. Each request adds `share`.
    pub(crate) fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            tokens: burst,
            burst,
        }
    }

    /// Credits one request.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends one extra attempt if the bucket has one. Returns whether it did.
    pub(crate) fn spend(&mut self) -> bool {
        self.spend_down_to(0.0)
    }

    /// Spends one extra attempt, and may overdraw the bucket by its capacity. Streams that callers already read use it,
    /// because ending one wastes all that was computed so far.
    pub(crate) fn spend_overdrawn(&mut self) -> bool {
        self.spend_down_to(-self.burst)
    }

    fn spend_down_to(&mut self, min_balance: f64) -> bool {
        let allowed = self.tokens - 1.0 >= min_balance;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
