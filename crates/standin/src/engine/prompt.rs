//! Prompts as an engine sees them: their text, cache blocks and the deterministic answer to them.

use serde::{Deserialize, Serialize};

const WORDS: [&str; 16] = [
    "reef", "glass", "silicone", "pump", "filter", "heater", "gravel", "plant", "cairn", "ridge",
    "permit", "marker", "summit", "route", "boundary", "survey",
];

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    #[serde(default)]
    pub content: String,
}

/// A prompt cut into cache blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the whole prompt without a continued answer. The answer depends on this hash alone.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
    /// Salted hash chain of the full blocks.
    pub blocks: Vec<u64>,
}

impl Prompt {
    /// Cuts the messages into blocks. The last `continued` messages (0 or 1) hold the start of the answer: they
    /// count for the blocks but not for the hash.
    #[must_use]
    pub fn new(
        salt: &str,
        messages: &[Message],
        continued: usize,
        block_bytes: usize,
        bytes_per_token: u32,
    ) -> Self {
        let asked = messages.len().saturating_sub(continued);
        let mut text = Vec::new();
        let mut hash = 0;
        for (index, message) in messages.iter().enumerate() {
            if index == asked {
                hash = digest(0, &text);
            }
            // Separators, so that different (role, content) pairs never give the same text.
            text.extend_from_slice(message.role.as_bytes());
            text.push(0);
            text.extend_from_slice(message.content.as_bytes());
            text.push(0);
        }
        if asked == messages.len() {
            hash = digest(0, &text);
        }
        let mut parent = digest(0, salt.as_bytes());
        let full = text.chunks_exact(block_bytes.max(1));
        let blocks = full.map(|block| {
            parent = digest(parent, block);
            parent
        });
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        Self {
            hash,
            tokens: length.div_ceil(bytes_per_token.max(1)),
            blocks: blocks.collect(),
        }
    }
}

/// Returns the token at an index of the answer to a prompt.
#[must_use]
pub fn token_text(prompt_hash: u64, index: u32) -> String {
    // SplitMix64's finaliser spreads neighbouring indexes over the words.
    let mut mixed = prompt_hash ^ (u64::from(index) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^= mixed >> 27;
    let word = WORDS[usize::try_from(mixed % 16).unwrap_or_default()];
    format!("{word}{} ", (mixed >> 8) % 1000)
}

/// Returns the first `tokens` tokens of the answer to a prompt.
#[must_use]
pub fn answer_text(prompt_hash: u64, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token_text(prompt_hash, index))
        .collect()
}

fn digest(parent: u64, bytes: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(bytes);
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}
