//! Refusals: which requests are refused at once, and when their callers should come back.

use std::time::Duration;

/// Callers follow a time to come back up to this part of the time they have left; more would be ignored.
const FOLLOWED_PART: u32 = 3;
/// Least time to come back; less would bring the caller back into the same moment.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// Time after which servers are expected to have changed: an update or a restart ends, an entry appears.
const SERVERS_CHANGE: Duration = Duration::from_millis(300);

/// Requests are served for this long after the request to stop, whatever they take: the platform sends new
/// connections until two questions, one a second, went without a good answer.
const STILL_SERVED: Duration = Duration::from_millis(2_600);
/// Requests must be able to end this long before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

jaystand_types::common! { value
    /// Why a request that has not run is refused.
    pub enum Reason {
        /// No configuration is known yet.
        NoConfiguration,
        /// The key or route is unknown, but the configuration may be old.
        Unconfirmed,
        /// Its key may have been taken away: the configuration is not proven to be recent.
        Unproven,
        /// No server may take it.
        NoServer,
        /// All servers that may take it asked for a pause; the first of them takes requests again after this time.
        Paused(Duration),
        /// Every server that was tried refused it or could not be reached.
        Attempts,
        /// Its body does not fit into the memory for bodies.
        Memory,
        /// Its first token would come after its deadline.
        Overload,
        /// Its deadline has passed.
        Deadline,
        /// The process stops.
        Stopping,
    }
}

impl Reason {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Unconfirmed => "unconfirmed",
            Self::Unproven => "unproven",
            Self::NoServer => "no_server",
            Self::Paused(_) => "servers_pause",
            Self::Attempts => "attempts",
            Self::Memory => "memory",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
        }
    }
}

/// Whether a process that was asked to stop `since` ago refuses a request that may take `patience`. New
/// connections come for some time, and are served if their requests can end before the process is killed.
#[must_use]
pub fn refused_while_stopping(since: Duration, patience: Duration, grace: Duration) -> bool {
    since > STILL_SERVED && since + patience > grace.saturating_sub(KILL_MARGIN)
}

/// Whether a request whose first token is expected after `expected` should be refused with `left` until its
/// deadline.
#[must_use]
pub fn misses_deadline(expected: Duration, left: Duration) -> bool {
    expected > left
}

/// When the caller of a refused request should come back, with `left` until its deadline.
#[must_use]
pub fn retry_after(reason: Reason, expected: Option<Duration>, left: Duration) -> Duration {
    let wanted = match reason {
        Reason::Stopping => Duration::ZERO,
        Reason::Paused(pause) => pause,
        Reason::Overload => expected.unwrap_or(SERVERS_CHANGE) / 2,
        // Another host, which the caller comes back to, may have the proof.
        Reason::Attempts | Reason::Unproven => LEAST_PAUSE,
        Reason::NoConfiguration
        | Reason::Unconfirmed
        | Reason::NoServer
        | Reason::Memory
        | Reason::Deadline => SERVERS_CHANGE,
    };
    wanted.max(LEAST_PAUSE).min(left / FOLLOWED_PART)
}
