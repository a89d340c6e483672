//! State decisions: configuration precedence, run-once claims, membership and digest, platform lease, engine orders.

pub mod digest;
pub mod election;
pub mod lease;
pub mod load;
pub mod mark;
pub mod member;
pub mod order;
