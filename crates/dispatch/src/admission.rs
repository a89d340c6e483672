//! Admission: which requests are refused at once, and after what time their callers should retry.

use std::time::Duration;

/// Callers ignore a retry time that is longer than the time to their deadline divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// A shorter retry time would bring the caller back before anything has changed.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which the set of usable servers is expected to have changed: an update or a restart ends, or an
/// entry appears.
const SERVERS_CHANGE_AFTER: Duration = Duration::from_millis(300);

/// All requests are accepted for this long after the process was asked to stop. The platform sends new connections
/// until two readiness probes, one a second, have failed.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(2_600);
/// Requests must be able to end this long before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

jaystand_types::common! { value
    /// Why a request that has not run is refused.
    pub enum Reason {
        /// The host has no configuration yet.
        NoConfiguration,
        /// The key or route is unknown, but the configuration may be out of date.
        Unconfirmed,
        /// The key may have been revoked: the configuration is not proven to be recent.
        Unproven,
        /// No server may run it.
        NoServer,
        /// All servers that may run it asked for a pause; the first pause ends after this time.
        Paused(Duration),
        /// All servers that may run it asked for a pause or limit requests; some host is expected to have a permit after
        /// this time.
        Limited(Duration),
        /// A part of its prompt is suspected to crash servers; the next trial is due after this time.
        SuspectedPart(Duration),
        /// It is suspected to crash servers itself; the next trial is due after this time.
        SuspectedRequest(Duration),
        /// All servers that may run it are full, and it would not be served in time; capacity is expected after this
        /// time.
        NoRoom(Duration),
        /// Its team is over its rate limit; the limit's bucket is expected to be filled again after this time.
        TeamLimit(Duration),
        /// Every attempt was refused or did not reach its server.
        Attempts,
        /// Its body does not fit into the memory reserved for bodies.
        Memory,
        /// Its first token is expected after its deadline.
        Overload,
        /// Its deadline has passed.
        Deadline,
        /// The process is stopping.
        Stopping,
    }
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Unconfirmed => "unconfirmed",
            Self::Unproven => "unproven",
            Self::NoServer => "no_server",
            Self::Paused(_) => "servers_pause",
            Self::Limited(_) => "servers_limit",
            Self::SuspectedPart(_) => "suspected_part",
            Self::SuspectedRequest(_) => "suspected_request",
            Self::NoRoom(_) => "no_room",
            Self::TeamLimit(_) => "team_limit",
            Self::Attempts => "attempts",
            Self::Memory => "memory",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
        }
    }
}

/// Returns whether a process that was asked to stop `since` ago refuses a request that may take up to `timeout`.
///
/// New connections still arrive for some time. After `ACCEPT_WHILE_STOPPING` only requests are accepted that can end
/// before the process is killed, which happens `grace` after it was asked to stop.
#[must_use]
pub fn refused_while_stopping(since: Duration, timeout: Duration, grace: Duration) -> bool {
    since > ACCEPT_WHILE_STOPPING && since + timeout > grace.saturating_sub(KILL_MARGIN)
}

/// Returns whether a request should be refused because its first token is expected after its deadline. `left` is the
/// time until the deadline.
#[must_use]
pub fn misses_deadline(expected: Duration, left: Duration) -> bool {
    expected > left
}

/// Returns the time after which the caller of a refused request should retry. `expected` is the expected time to the
/// first token, and `left` the time until the deadline.
#[must_use]
pub fn retry_after(reason: Reason, expected: Option<Duration>, left: Duration) -> Duration {
    let wanted = match reason {
        Reason::Stopping => Duration::ZERO,
        Reason::Paused(wait)
        | Reason::Limited(wait)
        | Reason::NoRoom(wait)
        | Reason::SuspectedPart(wait)
        | Reason::SuspectedRequest(wait)
        | Reason::TeamLimit(wait) => wait,
        Reason::Overload => expected.unwrap_or(SERVERS_CHANGE_AFTER) / 2,
        // The retry may reach another host, which may have the proof.
        Reason::Attempts | Reason::Unproven => MIN_RETRY_AFTER,
        Reason::NoConfiguration
        | Reason::Unconfirmed
        | Reason::NoServer
        | Reason::Memory
        | Reason::Deadline => SERVERS_CHANGE_AFTER,
    };
    wanted.max(MIN_RETRY_AFTER).min(longest_retry_after(left))
}

/// Returns the longest time after which callers retry as they are told, with `left` until their deadline.
#[must_use]
pub fn longest_retry_after(left: Duration) -> Duration {
    left / RETRY_AFTER_DIVISOR
}
