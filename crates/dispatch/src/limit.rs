//! Request limits: the rate at which a server in need accepts requests from all hosts together.

use std::fmt;

/// Thousandths of a request in a request.
const MILLIS: f64 = 1_000.0;

jaystand_types::common! { value
    /// A positive number of requests a second, in thousandths.
    pub struct Rate(u32);
}

jaystand_types::common! { value
    /// The limit that an answer names.
    #[derive(Default)]
    pub enum Limit {
        /// The answer is too old to tell.
        #[default]
        Unstated,
        /// The answer names no limit.
        None,
        /// Requests a second from all hosts together.
        PerSecond(Rate),
        /// A limit that cannot be parsed, or that no server can mean.
        Invalid,
    }
}

jaystand_types::common! { value
    /// The purpose of a call to a server. Each call counts towards the server's limit.
    pub enum Call {
        /// The first send of a caller's request.
        Request,
        /// A further send of a caller's request.
        Retry,
        /// A send that resumes a stream.
        Resume,
        /// A question for events of the prefix cache.
        CacheEvents,
        /// A question for the report that precedes an order.
        Report,
        /// A weight order.
        Order,
    }
}

impl Rate {
    /// Returns the rate in requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / MILLIS
    }
}

impl TryFrom<f64> for Rate {
    type Error = OutOfRange;

    /// Converts requests a second. Fractions below a thousandth are rounded up, and rates above the largest one are
    /// reduced to it.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive, and a cast saturates"
    )]
    fn try_from(per_second: f64) -> Result<Self, OutOfRange> {
        if per_second.is_finite() && per_second > 0.0 {
            Ok(Self((per_second * MILLIS).ceil() as u32))
        } else {
            Err(OutOfRange(per_second))
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// A number that is not a rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is no positive number of requests a second")]
pub struct OutOfRange(f64);

impl Call {
    /// All purposes.
    pub const ALL: [Self; 6] = [
        Self::Request,
        Self::Retry,
        Self::Resume,
        Self::CacheEvents,
        Self::Report,
        Self::Order,
    ];

    /// Returns the name of the purpose in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::CacheEvents => "cache_events",
            Self::Report => "report",
            Self::Order => "order",
        }
    }
}
