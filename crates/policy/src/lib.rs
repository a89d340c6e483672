//! Request decisions: where a request runs, when it is admitted, and what happens when an attempt fails.
//!
//! The crate has no clock, runtime or socket. Callers pass `now` with each event and carry out the actions
//! that come back, so every decision can be replayed in virtual time.

mod chain;
mod event;
pub mod load;
pub mod request;
pub mod server;
pub mod team;

pub use chain::{Chain, MAX_LEVELS, Salt};
pub use event::{Action, Attempt, Event, Failure, Refusal};
pub use request::Request;

/// The servers and limits of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Backend servers, indexed by [`jaystand_types::ServerId`].
    pub servers: Vec<server::Spec>,
    /// Fair shares of teams.
    pub shares: Vec<team::Share>,
    /// Limits per team and request kind, for the whole deployment.
    pub limits: Vec<team::Limit>,
}
