//! The record of a claim and its result.

use bytes::Bytes;
use compact_str::CompactString;

use super::{BodyHash, Key, Seconds};

/// Greatest size of a reply's body that is kept for repeats.
pub const MAX_REPLY_BYTES: usize = 16 << 10;

/// Greatest length of a reply's content type that is kept for repeats.
pub(crate) const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// Random identity of an attempt, by which it recognises its own record after a lost answer.
pub type Nonce = u64;

/// A claim of a key by one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// The claimed key.
    pub key: Key,
    /// Hash of the request's body.
    pub body: BodyHash,
    /// The attempt that holds the claim.
    pub nonce: Nonce,
    /// When the key was claimed, by the clock of the claiming host.
    pub claimed_at: Seconds,
    /// State of the claim.
    pub state: State,
}

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The request was or may yet be dispatched.
    Claimed,
    /// The request was answered. The reply is `None` if it was too large to be kept.
    Done(Option<Reply>),
    /// The request was provably not sent. Writing this state removes the record.
    Released,
}

/// The answer that is returned to repeats.
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
    /// Returns whether the reply is small enough to be kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.body.len() <= MAX_REPLY_BYTES && self.content_type.len() <= MAX_CONTENT_TYPE_BYTES
    }
}
