//! Decisions of the gateway, which treats request bodies as opaque: routing, placement, retries, refusals and weights
//! updates.
//!
//! The crate has no clock, runtime or socket. Callers pass the current time as `now`, so that tests can run in virtual
//! time.

pub mod admission;
pub mod budget;
pub mod capacity;
pub mod config;
pub mod directory;
pub mod estimate;
pub mod health;
pub mod holdings;
pub mod lease;
pub mod limit;
pub mod load;
pub mod notice;
pub mod placement;
pub mod pressure;
pub mod prompt;
pub mod proof;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod replica;
pub mod report;
pub mod revision;
pub mod source;
pub mod suspicion;
pub mod weights;

use compact_str::CompactString;

/// Name of a service, which is a pool of interchangeable backend servers.
pub type ServiceName = CompactString;
/// Identity of a request as its caller wrote it. Its content is opaque.
pub type CallId = CompactString;
/// Identity of one incarnation of a backend server, derived from its name and start time.
pub type ServerKey = u64;
