//! Stand-ins for the systems around the router: engines, plain services, a ledger and the platform.
//!
//! `engine`, `ledger`, `platform` and `service` each have `start(settings) -> Handle`. A [`Handle`] gives access to the
//! loopback address, the fault switches and the records, and stops, crashes or restarts the stand-in. Time comes from
//! tokio's clock, so that tests can run on a paused clock, and randomness comes from seeds.

pub mod caller;
pub mod engine;
pub mod fleet;
mod gate;
pub mod ledger;
pub mod platform;
mod server;
pub mod service;

pub use server::{Body, Handle, Standin};
