//! One claim and its result.

use bytes::Bytes;
use compact_str::CompactString;

use super::{BodyHash, Key, Seconds};

/// Greatest body of a reply that is kept for repeats.
pub const MAX_REPLY_BYTES: usize = 16 << 10;

/// Greatest content type that is kept for repeats.
pub(crate) const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// Random identity of one attempt, by which it recognises its own record after a lost answer.
pub type Nonce = u64;

/// A claim of a key by one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// The claimed key.
    pub key: Key,
    /// What was asked for under the key.
    pub body: BodyHash,
    /// The attempt that holds the claim.
    pub nonce: Nonce,
    /// When it was claimed, by the claiming host's clock.
    pub claimed_at: Seconds,
    /// What became of it.
    pub state: State,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Dispatched or about to be, for all that others know.
    Claimed,
    /// Answered; the reply is absent when it was too large to be kept.
    Done(Option<Reply>),
    /// Provably not sent. Writing this state removes the record.
    Released,
}

/// The answer that a repeat gets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: CompactString,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Whether the reply is small enough to be kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.body.len() <= MAX_REPLY_BYTES && self.content_type.len() <= MAX_CONTENT_TYPE_BYTES
    }
}
