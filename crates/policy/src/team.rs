//! Fair shares and limits of teams.

use std::num::NonZeroU32;

use jaystand_types::{KindName, TeamId};

/// A team's weight in fair queueing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The team.
    pub team: TeamId,
    /// Weight; a team of weight 2 gets twice the service of a team of weight 1 under contention.
    pub weight: NonZeroU32,
}

/// Limits of one rule of the routing sheet, for the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The team.
    pub team: TeamId,
    /// The request kind.
    pub kind: KindName,
    /// Requests in flight at once.
    pub max_in_flight: Option<NonZeroU32>,
    /// Requests a minute.
    pub requests_per_minute: Option<NonZeroU32>,
}
