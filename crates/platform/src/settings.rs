//! Settings of the client.

use std::{net::SocketAddr, time::Duration};

/// Greatest size of a value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

jaystand_types::common! { data
    /// Address, budget and timeouts of the client.
    pub struct Settings {
        /// Where the platform listens.
        pub address: SocketAddr,
        /// Calls a second that the client may make, retries included; also the burst, which is at least one call.
        pub budget_per_s: f64,
        /// Time to open a connection.
        pub connect_timeout: Duration,
        /// Time for the answer to a read or a write once connected.
        pub call_timeout: Duration,
        /// Time that the platform holds a watch without changes; whole seconds, at least one.
        pub watch_timeout: Duration,
        /// Time beyond `watch_timeout` after which a silent watch is abandoned.
        pub watch_margin: Duration,
        /// Attempts at a read, the first included.
        pub read_attempts: u32,
        /// Delay before the first retry of a read, before jitter.
        pub first_backoff: Duration,
    }
}

impl Settings {
    /// Settings with the default timeouts.
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
