//! State decisions: configuration precedence, run-once claims, membership and digest, platform lease, engine orders.
//!
//! Nothing here has a clock, a runtime or a socket. Events go in and steps come out, so that every interleaving can
//! be tested.

pub mod claim;
pub mod config;
pub mod digest;
pub mod election;
pub mod lease;
pub mod load;
pub mod mark;
pub mod member;
pub mod order;
