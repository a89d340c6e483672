//! See the crate README.

pub mod chat;
pub mod chunk;
pub mod engine;
pub mod error;
pub mod header;
pub mod sse;
