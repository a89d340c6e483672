//! See the crate README.

pub mod claim;
pub mod watch;
