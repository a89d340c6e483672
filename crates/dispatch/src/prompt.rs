//! The prompt of a request as placement sees it: its parts in order, and what they cost.

use compact_str::{CompactString, format_compact};
use jaystand_types::{Model, Version};
use smallvec::SmallVec;

use crate::config::Team;

const HASH_BYTES: usize = 8;

jaystand_types::common! { data
    /// A part of a prompt.
    pub struct Part {
        /// Its name; equal names in prompts of one model stand for equal text.
        pub name: CompactString,
        /// Its tokens.
        pub tokens: u32,
    }

    /// The prompt of a request.
    pub struct Prompt {
        /// Model that the request asks for.
        pub model: Model,
        /// Its parts. The last one belongs to the request itself or to its session.
        pub parts: SmallVec<[Part; 4]>,
        /// Prompt tokens.
        pub input_tokens: u32,
        /// Most tokens that the answer may have.
        pub output_tokens: u32,
    }
}

impl Prompt {
    /// Parts that other requests share: all but the last one, or the only one.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        let shared = self.parts.len().saturating_sub(1).max(1);
        &self.parts[..shared.min(self.parts.len())]
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Tokens that a run of the request keeps in an engine's memory.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens)
    }

    /// What requests to the same servers have in common, whatever the weights: their largest shared part. Smaller
    /// ones behind it are displaced before they come again, or are read again in little time.
    #[must_use]
    pub fn affinity_key(&self, salt: &Salt) -> u64 {
        let largest = self.shared().iter().rev().max_by_key(|part| part.tokens);
        let name = largest.map_or("", |part| part.name.as_str());
        hash_all(&[self.model.as_bytes(), salt.team.as_bytes(), name.as_bytes()])
    }
}

/// Under which salt prompts are kept. Requests of different salts share no part.
///
/// The salt names the weights version, since engines and stores do not say under which version they made a
/// part; and the team, if the team is isolated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Salt {
    team: CompactString,
}

impl Salt {
    /// The salt for the requests of a team.
    #[must_use]
    pub fn new(team: Option<&Team>) -> Self {
        let isolated = team.filter(|team| team.isolated);
        Self {
            team: isolated.map_or_else(CompactString::default, |team| {
                format_compact!(".{}", team.name)
            }),
        }
    }

    /// Its text for a weights version.
    #[must_use]
    pub fn text(&self, version: Option<Version>) -> CompactString {
        format_compact!("v{}{}", version.unwrap_or(0), self.team)
    }
}

/// Identity of a part that is kept under a salt.
#[must_use]
pub fn cache_key(salt: &str, part: &str) -> u64 {
    hash_all(&[salt.as_bytes(), part.as_bytes()])
}

/// Hash of one byte string, equal on all hosts.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    hash_all(&[bytes])
}

/// Hash of several byte strings; their lengths count, so that they cannot run into each other.
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

/// Mixes two hashes; a cheap rendezvous weight.
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut z = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
