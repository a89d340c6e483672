//! Load reports of backend servers. They lag, so a daemon's own observations take precedence.

use std::time::Duration;

/// What a backend server says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the server's own queue.
    pub waiting: u32,
    /// Age of the figures when they arrived.
    pub age: Duration,
}
