//! Fault switches of an engine, and the random choice of a fault for each request.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Fault switches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Keeps all connections silent; the engine keeps working.
    pub frozen: bool,
    /// Factor on the length of each step.
    pub slow: f64,
    /// Faults from which one is chosen at random for each request that is hit.
    pub stream: Vec<StreamFault>,
    /// Share of requests that are hit.
    pub rate: f64,
    /// Maximum number of requests that are hit; `None` means no limit.
    pub limit: Option<u32>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// A fault of one request. Numbers are offsets of chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamFault {
    /// Breaks the connection before this chunk.
    Drop(u32),
    /// Goes silent before this chunk; the connection stays open.
    Silent(u32),
    /// Sends this chunk twice.
    Duplicate(u32),
    /// Omits this chunk.
    Skip(u32),
    /// Sends this chunk after the next one.
    Reorder(u32),
    /// Sends this chunk with the completion id of another request.
    Crossed(u32),
    /// Sends bytes that are not JSON in place of this chunk.
    BadBytes(u32),
    /// Closes the body cleanly before this chunk, without the terminal marker.
    Truncate(u32),
    /// Returns another request's id in the response head.
    WrongRequestId,
    /// Refuses; `proof` adds `x-not-started: 1`.
    Refuse {
        /// Whether the refusal proves that nothing ran.
        proof: bool,
    },
    /// Runs the request and sends the response head this many milliseconds late.
    Late(u64),
}

/// The faults in force and the state of their random choices.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) faults: Faults,
    hits: u32,
    random: Pcg64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            frozen: false,
            slow: 1.0,
            stream: Vec::new(),
            rate: 1.0,
            limit: None,
            seed: 1,
        }
    }
}

impl Default for Active {
    fn default() -> Self {
        Self::new(Faults::default())
    }
}

impl Active {
    pub(super) fn new(faults: Faults) -> Self {
        Self {
            hits: 0,
            random: Pcg64::seed_from_u64(faults.seed),
            faults,
        }
    }

    /// Draws the fault of the next request, if it is hit.
    pub(super) fn choose_fault(&mut self) -> Option<StreamFault> {
        let exhausted = self.faults.limit.is_some_and(|limit| self.hits >= limit);
        if self.faults.stream.is_empty() || exhausted {
            return None;
        }
        if !self.random.random_bool(self.faults.rate.clamp(0.0, 1.0)) {
            return None;
        }
        self.hits += 1;
        let index = self.random.random_range(0..self.faults.stream.len());
        self.faults.stream.get(index).cloned()
    }

    pub(super) fn apply_slowdown(&self, step: Duration) -> Duration {
        step.mul_f64(self.faults.slow.max(0.0))
    }
}

impl StreamFault {
    /// Returns the offset of the chunk that the fault hits, if it hits one.
    pub(super) fn offset(&self) -> Option<u32> {
        match self {
            Self::Drop(offset)
            | Self::Silent(offset)
            | Self::Duplicate(offset)
            | Self::Skip(offset)
            | Self::Reorder(offset)
            | Self::Crossed(offset)
            | Self::BadBytes(offset)
            | Self::Truncate(offset) => Some(*offset),
            Self::WrongRequestId | Self::Refuse { .. } | Self::Late(_) => None,
        }
    }
}
