//! Run-once claims. A non-idempotent request is dispatched only by the daemon whose claim of its idempotency key is
//! recorded in the platform's object API.
//!
//! Keys are hashed into [`SHARDS`] shard objects. A [`Machine`] is the state machine of one attempt. A [`Group`] runs
//! the machines of one shard over a single sequence of reads and conditional updates.

mod codec;
mod group;
mod key;
mod machine;
mod reason;
mod record;
mod shard;

pub use codec::Corrupt;
pub use group::{Action, Group, Ticket, Verdict};
pub use key::{BodyHash, Key, SHARDS};
pub use machine::{Fault, Input, Machine, Outcome, Step};
pub use reason::Reason;
pub use record::{MAX_REPLY_BYTES, Nonce, Record, Reply, State};
pub use shard::{Lookup, MAX_SHARD_BYTES, RETENTION, Seconds, Shard};
