//! See the crate README.

pub mod claim;
