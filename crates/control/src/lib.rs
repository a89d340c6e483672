//! State machines of the control plane: configuration precedence, run-once claims, membership and gossip, the platform
//! lease, and engine orders.
//!
//! The crate has no clock, runtime or socket. Callers pass in events and carry out the returned steps, so that tests
//! can explore every interleaving.

pub mod claim;
pub mod config;
pub mod digest;
pub mod election;
pub mod lease;
pub mod load;
pub mod mark;
pub mod member;
pub mod order;
