//! A clock that also advances while the host is suspended. Leases and deadlines must not be extended by a suspension.

use jaystand_types::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the host started, suspensions included.
pub(crate) fn since_boot() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment::try_from(time).unwrap_or_default()
}
