//! Hashes that stand for idempotency keys and request bodies.

use std::fmt;

/// Number of shard objects that the key space is divided into.
pub const SHARDS: u8 = 64;

/// Bytes kept of a hash. 128 bits make an accidental collision among a shard's keys negligible.
pub(crate) const HASH_BYTES: usize = 16;

/// Hash of an idempotency key within its team.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub(crate) [u8; HASH_BYTES]);

/// Hash of a request's body, which tells a repeat from the reuse of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyHash(pub(crate) [u8; HASH_BYTES]);

impl Key {
    /// The key that `team` names `key`; two teams never share one.
    #[must_use]
    pub fn new(team: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length keeps ("ab", "c") apart from ("a", "bc").
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key.as_bytes());
        Self(truncate(hasher.finalize()))
    }

    /// The shard that holds the key, below [`SHARDS`].
    #[must_use]
    pub fn shard(self) -> u8 {
        self.0[0] % SHARDS
    }
}

impl BodyHash {
    /// The hash of a whole body.
    #[must_use]
    pub fn new(body: &[u8]) -> Self {
        Self(truncate(blake3::hash(body)))
    }
}

fn truncate(hash: blake3::Hash) -> [u8; HASH_BYTES] {
    let mut bytes = [0; HASH_BYTES];
    bytes.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    bytes
}

fn render(bytes: &[u8], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        render(&self.0, f)
    }
}

impl fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        render(&self.0, f)
    }
}
