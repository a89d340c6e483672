//! The prefix chain: one hash for each nested level of a prompt. Prefixes have the same hash only if they are equal and
//! of the same team, model, adapter and weights version.

use smallvec::SmallVec;

/// Maximum number of levels of a chain. Placement ignores text after the last level.
pub const MAX_LEVELS: usize = 64;

/// Levels that a chain stores without allocating.
const INLINE_LEVELS: usize = 16;

jaystand_types::common! { value
    /// Separates the cache entries of different teams, models, adapters and weights versions.
    pub struct Salt(u64);
}

/// The hashes of a prompt's nested prefixes, shallowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    levels: SmallVec<[Level; INLINE_LEVELS]>,
}

jaystand_types::common! { value
    /// One level of a chain: the prompt from its start to the end of this level.
    pub struct Level {
        /// Hash of the prefix that ends here.
        pub hash: u64,
        /// Length of that prefix in bytes.
        pub end: u32,
    }
}

impl Salt {
    /// Creates the salt of a team's requests to one model, adapter and weights version. An empty adapter means none.
    #[must_use]
    pub fn new(team: &str, model: &str, adapter: &str, weights_version: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("jaystand prefix chain salt v1");
        for part in [team, model, adapter, weights_version] {
            // The length separates ("ab", "c") from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(truncate(hasher))
    }

    /// Returns the salt as sent in the engine's `x-cache-salt` header.
    #[must_use]
    pub fn render(self) -> String {
        format!("{:016x}", self.0)
    }
}

impl Chain {
    /// Hashes the segments, such as the messages of a conversation. Cuts those longer than `piece_bytes` into pieces.
    pub fn new<'a>(
        salt: Salt,
        piece_bytes: usize,
        segments: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut chain = Self::default();
        for segment in segments {
            // A message without text adds a level too, because it changes the prompt.
            if segment.is_empty() {
                chain.push(salt, segment);
            }
            for piece in segment.chunks(piece_bytes.max(1)) {
                chain.push(salt, piece);
            }
        }
        chain
    }

    /// Returns the levels, shallowest first.
    #[must_use]
    pub fn levels(&self) -> &[Level] {
        &self.levels
    }

    /// Returns the index of the level from which placement starts: the deepest one that adds at least as much text as
    /// all levels above it. The levels above are cheap to cache on many servers. Placing by them would put everything
    /// below, such as all documents under one system prompt, on the same few servers.
    pub(crate) fn base(&self) -> usize {
        let mut base = 0;
        for (index, pair) in self.levels.windows(2).enumerate() {
            let (above, level) = (pair[0].end, pair[1].end);
            if level - above >= above {
                base = index + 1;
            }
        }
        base
    }

    fn push(&mut self, salt: Salt, piece: &[u8]) {
        if self.levels.len() == MAX_LEVELS {
            return;
        }
        let (parent, start) = self
            .levels
            .last()
            .map_or((salt.0, 0), |level| (level.hash, level.end));
        let mut hasher = blake3::Hasher::new();
        hasher.update(&parent.to_le_bytes());
        hasher.update(piece);
        self.levels.push(Level {
            hash: truncate(hasher),
            end: start.saturating_add(u32::try_from(piece.len()).unwrap_or(u32::MAX)),
        });
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "a finished hasher has no further use"
)]
fn truncate(hasher: blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

#[cfg(test)]
mod tests;
