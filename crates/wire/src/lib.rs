//! Messages between callers, engines and daemons.

pub mod chat;
pub mod chunk;
pub mod engine;
pub mod error;
pub mod header;
pub mod order;
pub mod peer;
pub mod sse;
