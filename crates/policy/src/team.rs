//! Weights and limits of teams in the configuration.

use std::num::NonZeroU32;

use jaystand_types::{KindName, TeamId};

/// A team's weight in fair queueing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The team.
    pub team: TeamId,
    /// Under contention, a team of weight 2 gets twice the service of a team of weight 1.
    pub weight: NonZeroU32,
}

/// Limits of one rule of the routing sheet, for the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The team.
    pub team: TeamId,
    /// The request kind.
    pub kind: KindName,
    /// Maximum number of requests in flight.
    pub max_in_flight: Option<NonZeroU32>,
    /// Maximum number of requests per minute.
    pub requests_per_minute: Option<NonZeroU32>,
}
