//! Load reports of backend servers. They lag, so a daemon's own observations take precedence.

use std::time::Duration;

/// The load of a backend server as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the server's own queue.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}
