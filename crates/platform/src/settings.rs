//! Settings of the client.

use std::{net::SocketAddr, time::Duration};

/// Largest value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

jaystand_types::common! { data
    /// Address, budget and timeouts of the client.
    pub struct Settings {
        /// Address that the platform listens at.
        pub address: SocketAddr,
        /// Calls a second that the client may make, retries included. It is also the burst, which is at least one call.
        pub budget_per_s: f64,
        /// Time allowed to open a connection.
        pub connect_timeout: Duration,
        /// Time allowed for the answer to a read or a write, after the time to connect.
        pub call_timeout: Duration,
        /// Time for which the platform holds a watch without changes. Sent in whole seconds, at least one.
        pub watch_timeout: Duration,
        /// Time after `watch_timeout` at which a silent watch is abandoned.
        pub watch_margin: Duration,
        /// Maximum attempts at a read, the first included; at least one is made.
        pub read_attempts: u32,
        /// Delay before the first retry of a read, before jitter.
        pub first_backoff: Duration,
    }
}

impl Settings {
    /// Returns settings with the default timeouts and retries.
    #[must_use]
    pub fn new(address: SocketAddr, budget_per_s: f64) -> Self {
        Self {
            address,
            budget_per_s,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            watch_timeout: Duration::from_secs(30),
            watch_margin: Duration::from_secs(5),
            read_attempts: 3,
            first_backoff: Duration::from_millis(50),
        }
    }
}
