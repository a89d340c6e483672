//! See the crate README.
