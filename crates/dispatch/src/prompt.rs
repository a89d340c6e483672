//! The prompt of a request as placement sees it: its parts in order with their token counts, and the hashes that
//! identify them.

use compact_str::{CompactString, format_compact};
use jaystand_types::{Model, Version};
use smallvec::SmallVec;

use crate::config::Team;

/// Hash of a part's name, which is equal on all hosts and under all salts.
pub type PartId = u64;

/// Length of the hashes.
const HASH_BYTES: usize = 8;

jaystand_types::common! { data
    /// A part of a prompt.
    pub struct Part {
        /// Its name. Parts with equal names in prompts of one model have equal text.
        pub name: CompactString,
        /// Number of tokens.
        pub tokens: u32,
    }

    /// The prompt of a request.
    pub struct Prompt {
        /// Model that the request asks for.
        pub model: Model,
        /// Its parts in order. The last one belongs to this request or its session.
        pub parts: SmallVec<[Part; 4]>,
        /// Number of prompt tokens.
        pub input_tokens: u32,
        /// Maximum number of tokens of the answer.
        pub output_tokens: u32,
    }
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last one, or the only one.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        let count = self.parts.len().saturating_sub(1).max(1);
        &self.parts[..count.min(self.parts.len())]
    }

    /// Returns the ids of the shared parts.
    pub fn shared_ids(&self) -> impl Iterator<Item = PartId> {
        let shared = self.shared().iter();
        shared.map(|part| hash(part.name.as_bytes()))
    }

    /// Returns the number of tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns how many tokens the request occupies at most in an engine's memory.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens)
    }

    /// Returns the rendezvous key that places requests with the same largest shared part on the same servers.
    ///
    /// The key is the same for all weights versions. Smaller parts do not count: after the largest one they are evicted
    /// before they are needed again, or are computed again in little time.
    #[must_use]
    pub fn affinity_key(&self, salt: &Salt) -> u64 {
        let largest = self.shared().iter().rev().max_by_key(|part| part.tokens);
        let name = largest.map_or("", |part| part.name.as_str());
        hash_all(&[self.model.as_bytes(), salt.team.as_bytes(), name.as_bytes()])
    }
}

/// The salt of cache keys. Requests with different salts share no cached part.
///
/// The salt contains the weights version, since engines and stores do not state with which version they computed a
/// part, and the name of the team if the team is isolated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Salt {
    team: CompactString,
}

impl Salt {
    /// Returns the salt for the requests of a team.
    #[must_use]
    pub fn new(team: Option<&Team>) -> Self {
        let isolated = team.filter(|team| team.isolated);
        Self {
            team: isolated.map_or_else(CompactString::default, |team| {
                format_compact!(".{}", team.name)
            }),
        }
    }

    /// Returns the text of the salt for a weights version.
    #[must_use]
    pub fn text(&self, version: Option<Version>) -> CompactString {
        format_compact!("v{}{}", version.unwrap_or(0), self.team)
    }
}

/// Returns the cache key of a part under a salt.
#[must_use]
pub fn cache_key(salt: &str, part: &str) -> u64 {
    hash_all(&[salt.as_bytes(), part.as_bytes()])
}

/// Returns the hash of a byte string. It is equal on all hosts.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    hash_all(&[bytes])
}

/// Returns the hash of several byte strings. Their lengths are hashed too, so that the same bytes split at other places
/// give another hash.
#[must_use]
pub fn hash_all(pieces: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for piece in pieces {
        hasher.update(&(piece.len() as u64).to_le_bytes());
        hasher.update(piece);
    }
    let mut bytes = [0; HASH_BYTES];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    u64::from_le_bytes(bytes)
}

/// Combines two hashes into one. It serves as a cheap rendezvous weight.
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut z = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
