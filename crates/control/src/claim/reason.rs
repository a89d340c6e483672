//! Reasons for which an attempt was not dispatched.

use std::time::Duration;

/// Why an attempt ended without being dispatched and without the first answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
pub enum Reason {
    /// The platform could not be reached.
    #[error("the claim could not be recorded, because the platform is unreachable")]
    #[diagnostic(help("repeat the request with the same idempotency key"))]
    Unreachable,
    /// Other daemons kept changing the shard.
    #[error("the claim could not be recorded, because of contention")]
    #[diagnostic(help("repeat the request with the same idempotency key"))]
    Contended,
    /// The shard holds as many claims as it can.
    #[error("the claim could not be recorded, because its shard is full")]
    #[diagnostic(help("wait until older results have expired, then repeat the request"))]
    Full,
    /// The shard object cannot be decoded.
    #[error("the claim could not be recorded, because its shard object is corrupt")]
    #[diagnostic(help("restore the object `claim/<shard>` that the daemon's log names"))]
    Corrupt,
    /// The deadline passed before the claim was recorded.
    #[error("the claim was not recorded before the deadline")]
    #[diagnostic(help("repeat the request with the same idempotency key and a later deadline"))]
    Deadline,
    /// The daemon is shutting down.
    #[error("the daemon is shutting down")]
    #[diagnostic(help("repeat the request with the same idempotency key"))]
    ShuttingDown,
    /// Another request with the key was dispatched and has no recorded answer.
    #[error("an earlier request with this idempotency key has no recorded result yet")]
    #[diagnostic(help("repeat the request with the same idempotency key to get its result"))]
    InProgress,
    /// The key's result is past the retention time.
    #[error("the result for this idempotency key has expired")]
    #[diagnostic(help("look up the order at its backend; a new order needs a new key"))]
    Expired,
    /// The request ran, but its answer was too large to be kept.
    #[error("the request with this idempotency key ran, but its answer was not kept")]
    #[diagnostic(help("look up the order at its backend"))]
    NotKept,
}

impl Reason {
    /// Returns whether an attempt that ended with `not_run` for this reason has read the shard and found no record of
    /// the key, which means that no earlier request with the key ran.
    #[must_use]
    pub const fn excludes_earlier_run(self) -> bool {
        match self {
            Self::Full => true,
            Self::Unreachable
            | Self::Contended
            | Self::Corrupt
            | Self::Deadline
            | Self::ShuttingDown
            | Self::InProgress
            | Self::Expired
            | Self::NotKept => false,
        }
    }

    /// Returns the delay after which a repeat with the same key may end differently, or `None` if it never will.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Contended | Self::Deadline | Self::ShuttingDown | Self::InProgress => {
                Some(Duration::from_secs(1))
            }
            // The longest backoff of the platform client.
            Self::Unreachable => Some(Duration::from_secs(5)),
            Self::Full | Self::Corrupt => Some(Duration::from_secs(60)),
            Self::Expired | Self::NotKept => None,
        }
    }
}
