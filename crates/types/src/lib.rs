//! Identifiers, checked values and common derives for all jaystand crates.
//!
//! The crate performs no I/O and starts no runtime, so that crates without I/O can depend on it.

mod id;
mod macros;
mod outcome;
mod secret;

pub use id::{
    DataCentre, Era, HostName, Incarnation, KindName, Model, Moment, RequestId, ServerId,
    ServerName, TeamId, Version, parse_request_id, render_request_id,
};
pub use outcome::{Outcome, RepeatRule, UnknownName, Urgency};
pub use secret::Secret;

#[doc(hidden)]
pub use serde;
