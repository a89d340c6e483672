//! Client of the platform's object API.
//!
//! This crate exists for its error classes: a caller of a conditional write must know whether a failed write certainly
//! had no effect or may have taken effect.

mod backoff;
mod bucket;
mod client;
mod error;
mod object;
mod settings;
mod transport;

pub use backoff::Backoff;
pub use client::Client;
pub use error::Error;
pub use object::{
    Change, Changes, Expected, Host, HostState, Listed, Listing, Object, Revision, Role,
};
pub use settings::{MAX_VALUE_BYTES, Settings};
