//! The routing sheet and the directory, which operators write. Both are checked as a whole before any of it takes
//! effect.

mod check;
mod column;
mod diff;
mod directory;
mod document;
mod fault;
mod hash;
mod parse;
mod report;
mod rule;

pub use column::Column;
pub use diff::{Action, Change, Field, Subject, diff};
pub use directory::{Directory, Fencing, Model, Server, ServerKind, Team};
pub use document::Document;
pub use fault::{Fault, Faults, Place, Problem, Section};
pub use parse::Sheet;
pub use report::{ChangeReport, FaultReport};
pub use rule::{Limits, Rule, Target};
