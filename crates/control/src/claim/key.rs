//! Hashes of idempotency keys and request bodies.

use std::fmt;

/// Number of shard objects into which the key space is divided.
pub const SHARDS: u8 = 64;

/// Number of bytes kept of a hash. 128 bits make an accidental collision among a shard's keys negligible.
pub(crate) const HASH_BYTES: usize = 16;

/// Hash of a team's name and an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub(crate) [u8; HASH_BYTES]);

/// Hash of a request's body, which distinguishes a repeat from the reuse of a key for another request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyHash(pub(crate) [u8; HASH_BYTES]);

impl Key {
    /// Hashes the key `key` of `team`. Equal keys of two teams have different hashes.
    #[must_use]
    pub fn new(team: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // With the length, ("ab", "c") and ("a", "bc") get different hashes.
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key.as_bytes());
        Self(truncate(hasher.finalize()))
    }

    /// Returns the number of the key's shard, which is below [`SHARDS`].
    #[must_use]
    pub fn shard(self) -> u8 {
        self.0[0] % SHARDS
    }
}

impl BodyHash {
    /// Hashes a whole body.
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

fn write_hex(bytes: &[u8], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl fmt::Debug for BodyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}
