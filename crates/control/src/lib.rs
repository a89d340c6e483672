//! State decisions: what a daemon does about state that it shares with others, given what it has read and which
//! answers it has lost.
//!
//! Nothing here has a clock, a runtime or a socket. Events go in and steps come out, so that every interleaving can
//! be tested.

pub mod claim;
