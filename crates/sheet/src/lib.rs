//! The routing sheet and the directory: what operators write, checked as a whole before anything takes effect.

mod directory;
mod document;
mod rule;

pub use directory::{Directory, Fencing, Model, Server, ServerKind, Team};
pub use document::Document;
pub use rule::{Limits, Rule, Target};
