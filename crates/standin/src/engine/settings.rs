//! Settings of an engine: its behaviour without faults.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;

use super::WeightStore;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Model that it serves.
    pub model: CompactString,
    /// Weights version at start.
    pub weights_version: CompactString,
    /// Seed of incarnations and random faults.
    pub seed: u64,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot before the engine refuses with 429.
    pub queue: usize,
    /// Time of one step with an empty batch.
    pub step: Duration,
    /// Added to a step for each running request.
    pub step_per_request: Duration,
    /// Added to a step for each prompt token that it computes.
    pub prefill_per_token: Duration,
    /// Maximum number of prompt tokens that one step computes.
    pub prefill_budget: u32,
    /// Bytes of prompt text in a cache block.
    pub block_bytes: usize,
    /// Blocks that the cache holds.
    pub cache_blocks: usize,
    /// Bytes of prompt text that count as one token.
    pub bytes_per_token: u32,
    /// Length in tokens of an answer whose request sets no maximum.
    pub default_tokens: u32,
    /// Time that a request goes on without a reader of its stream, so that the stream can be resumed.
    pub resume_grace: Duration,
    /// Delay after which load reports show a change.
    pub load_lag: Duration,
    /// Delay after which cache events are reported.
    pub event_lag: Duration,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Whether orders with an old fencing token are refused.
    pub fencing: bool,
    /// Time to load weights while the weight store serves the load at full speed.
    pub load_time: Duration,
    /// The store that weights are loaded from, shared by the engines of a deployment.
    pub weight_store: WeightStore,
    /// Time to import one block of KV cache.
    pub import_per_block: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: CompactString::const_new("model"),
            weights_version: CompactString::const_new("v1"),
            seed: 1,
            slots: 16,
            queue: 1024,
            step: Duration::from_millis(5),
            step_per_request: Duration::from_micros(250),
            prefill_per_token: Duration::from_micros(100),
            prefill_budget: 512,
            block_bytes: 1024,
            cache_blocks: 4096,
            bytes_per_token: 4,
            default_tokens: 32,
            resume_grace: Duration::from_secs(2),
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: 0.0,
            fencing: true,
            load_time: Duration::from_secs(1),
            weight_store: WeightStore::new(3),
            import_per_block: Duration::from_micros(200),
        }
    }
}
