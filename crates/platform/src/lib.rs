//! Client of the platform's object API.
//!
//! The error classes are the reason for this crate: a caller that writes conditionally must know whether a failed
//! write was provably not taken or may have been taken.

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
