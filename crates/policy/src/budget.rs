//! A token bucket that ties extra attempts to a share of the requests.

/// The bucket.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    share: f64,
    tokens: f64,
    burst: f64,
}

impl Budget {
    /// A bucket full of `burst` extra attempts, which each request refills by `share`.
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

    /// Takes one extra attempt, if the bucket holds it.
    pub(crate) fn spend(&mut self) -> bool {
        self.spend_down_to(0.0)
    }

    /// Takes one extra attempt, overdrawing by up to a full bucket. Streams that callers already read use
    /// it: to give one up costs all that was computed so far.
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
