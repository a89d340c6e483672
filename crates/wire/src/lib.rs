//! The messages between callers, engines and daemons, and their codecs.

pub mod chat;
pub mod chunk;
pub mod engine;
pub mod error;
pub mod header;
pub mod order;
pub mod peer;
pub mod sse;
