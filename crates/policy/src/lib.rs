//! Request decisions: which server runs a request, when it is admitted, and what follows a failed attempt.
//!
//! The crate has no clock, runtime or socket. Callers pass `now` with each event and carry out the returned actions,
//! so tests can replay every decision in virtual time.

mod active;
mod admission;
mod backend;
mod baseline;
mod budget;
mod candidates;
mod chain;
mod estimate;
mod event;
mod fleet;
mod health;
mod heat;
mod latency;
pub mod load;
mod numeric;
mod observation;
mod placement;
mod progress;
mod queue;
mod recovery;
pub mod request;
pub mod router;
pub mod server;
mod settings;
pub mod team;
mod teams;
mod timer;
mod window;

pub use chain::{Chain, Level, MAX_LEVELS, Salt};
pub use event::{Action, AttemptNumber, Event, Failure, Refusal};
pub use placement::{Candidate, Source};
pub use request::Request;
pub use router::Router;
pub(crate) use router::{Settings, Strategy};

/// The servers, team shares and limits of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Backend servers, indexed by [`jaystand_types::ServerId`].
    pub servers: Vec<server::Spec>,
    /// Weights of teams in fair queueing.
    pub shares: Vec<team::Share>,
    /// Limits per team and request kind, for the whole deployment.
    pub limits: Vec<team::Limit>,
}
