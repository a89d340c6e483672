//! Messages between callers, engines and daemons.

pub mod peer;
