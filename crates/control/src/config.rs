//! Configuration documents: which one is in force, and how a new one is accepted.
//!
//! A document is accepted by one conditional update of the object `config/current`, so two operators cannot both
//! replace the same parent. Daemons apply only greater versions.

mod accept;
mod codec;
mod fetch;
mod object;
mod precedence;

pub use accept::{Acceptance, Answer, Refusal, Step, rollback};
pub use codec::{Corrupt, Encoded, MAX_VALUE_BYTES};
pub use fetch::{Fetch, Fetched, Progress};
pub use object::{Fault, Input, Object};
pub use precedence::{Head, Offer, Precedence};
