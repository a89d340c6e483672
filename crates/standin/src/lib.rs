//! Stand-ins for everything outside the system: engines, plain services, a ledger and the platform.
//!
//! Each module has `start(settings) -> Handle`. A [`Handle`] gives the loopback address, the fault
//! switches and the records, and stops, crashes or restarts the stand-in. Time comes from tokio's
//! clock and randomness from seeds, so that tests can run on a paused clock.

pub mod caller;
pub mod engine;
pub mod fleet;
mod gate;
pub mod ledger;
pub mod platform;
mod server;
pub mod service;

pub use server::{Body, Handle, Standin};
