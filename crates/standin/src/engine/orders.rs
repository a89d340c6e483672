//! Orders to load weights or change role, and export and import of KV cache blocks.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, header::HOST};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpStream;

use super::{Engine, cache};
use crate::server::{self, Body, error};

/// Steps of a load; its rate is set anew at each step, from the number of loads at that time.
const LOAD_STEPS: u32 = 50;

/// The store that engines load weights from. Clones refer to the same store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    parallel: usize,
    loading: Arc<AtomicUsize>,
}

/// Guard that counts a load until it is dropped, even if the load is cancelled.
struct Loading(WeightStore);

#[derive(Debug, Deserialize)]
struct Envelope {
    fence: Option<u64>,
    incarnation: Option<u64>,
    order: Order,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Order {
    Load(Weights),
    Role(CompactString),
}

#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the protocol"
)]
#[derive(Clone, Debug, Deserialize)]
struct Weights {
    #[serde(default)]
    model: CompactString,
    #[serde(default)]
    adapter: CompactString,
    #[serde(default)]
    weights_version: CompactString,
}

/// Request or reply of a KV cache transfer; `levels` are the engine's own block hashes.
#[derive(Debug, Serialize, Deserialize)]
struct Blocks {
    #[serde(default)]
    salt: String,
    #[serde(default)]
    model: CompactString,
    #[serde(default)]
    weights_version: CompactString,
    levels: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    from: Option<SocketAddr>,
}

impl WeightStore {
    /// Creates a store that serves `parallel` loads at full speed; more loads share that rate.
    #[must_use]
    pub fn new(parallel: usize) -> Self {
        Self {
            parallel: parallel.max(1),
            loading: Arc::default(),
        }
    }

    /// Returns the number of loads in progress.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.loading.load(Ordering::Relaxed)
    }

    async fn load(&self, base_time: Duration) {
        self.loading.fetch_add(1, Ordering::Relaxed);
        let _guard = Loading(self.clone());
        for _ in 0..LOAD_STEPS {
            let share = u32::try_from(self.loading().max(self.parallel)).unwrap_or(u32::MAX);
            let parallel = u32::try_from(self.parallel).unwrap_or(u32::MAX);
            tokio::time::sleep(base_time / LOAD_STEPS * share / parallel).await;
        }
    }
}

impl Drop for Loading {
    fn drop(&mut self) {
        self.0.loading.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) fn state_report(engine: &Engine) -> Response<Body> {
    let state = engine.state.lock();
    let report = json!({
        "incarnation": state.incarnation,
        "model": state.model,
        "adapter": state.adapter,
        "weights_version": state.weights_version,
        "role": state.role,
        "loading": state.loading,
        "fence": state.fence,
    });
    server::json(StatusCode::OK, &report)
}

pub(super) fn accept_order(engine: Arc<Engine>, body: &[u8]) -> Response<Body> {
    let envelope = match serde_json::from_slice::<Envelope>(body) {
        Ok(envelope) => envelope,
        Err(problem) => return error(StatusCode::BAD_REQUEST, "order", &problem.to_string()),
    };
    let mut state = engine.state.lock();
    let conflict = |code, message| error(StatusCode::CONFLICT, code, message);
    if envelope
        .incarnation
        .is_some_and(|expected| expected != state.incarnation)
    {
        return conflict("incarnation", "another incarnation");
    }
    let fence = envelope.fence.unwrap_or(0);
    if engine.settings.fencing && fence < state.fence {
        return conflict("fence", "the fencing number is old");
    }
    if state.loading {
        return conflict("loading", "a load is in progress");
    }
    state.fence = fence;
    match envelope.order {
        Order::Role(role) => state.role = role,
        Order::Load(weights) => {
            state.loading = true;
            let generation = state.generation;
            drop(state);
            tokio::spawn(load_weights(engine, weights, generation));
        }
    }
    server::json(StatusCode::ACCEPTED, &json!({"accepted": true}))
}

/// Waits until all requests have ended, loads the weights, and switches to the new identity with an empty cache.
async fn load_weights(engine: Arc<Engine>, weights: Weights, generation: u64) {
    let base_time = engine.settings.load_time;
    loop {
        let (running, waiting) = engine.load();
        if running + waiting == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    engine.settings.weight_store.load(base_time).await;
    let mut state = engine.state.lock();
    if state.generation != generation {
        return;
    }
    if !weights.model.is_empty() {
        state.model = weights.model;
    }
    if !weights.weights_version.is_empty() {
        state.weights_version = weights.weights_version;
    }
    state.adapter = weights.adapter;
    state.loading = false;
    state.cache.clear();
}

pub(super) fn export_blocks(engine: &Engine, body: &[u8]) -> Response<Body> {
    let Ok(wanted) = serde_json::from_slice::<Blocks>(body) else {
        return error(StatusCode::BAD_REQUEST, "body", "no export request");
    };
    let state = engine.state.lock();
    let other_weights =
        !wanted.weights_version.is_empty() && wanted.weights_version != state.weights_version;
    let other_model = !wanted.model.is_empty() && wanted.model != state.model;
    if other_weights || other_model {
        return error(
            StatusCode::CONFLICT,
            "identity",
            "another model or weights version",
        );
    }
    let present =
        |level: &String| cache::parse_hash(level).is_some_and(|hash| state.cache.contains(hash));
    let blocks = Blocks {
        levels: wanted.levels.into_iter().filter(present).collect(),
        salt: wanted.salt,
        model: state.model.clone(),
        weights_version: state.weights_version.clone(),
        from: None,
    };
    drop(state);
    server::json(StatusCode::OK, &blocks)
}

pub(super) async fn import_blocks(engine: Arc<Engine>, body: &[u8]) -> Response<Body> {
    let wanted = serde_json::from_slice::<Blocks>(body);
    let Some((wanted, from)) = wanted
        .ok()
        .and_then(|wanted| wanted.from.map(|from| (wanted, from)))
    else {
        return error(StatusCode::BAD_REQUEST, "body", "no import request");
    };
    let conflict = || {
        error(
            StatusCode::CONFLICT,
            "identity",
            "another model or weights version",
        )
    };
    let (model, weights_version, generation) = {
        let state = engine.state.lock();
        (
            state.model.clone(),
            state.weights_version.clone(),
            state.generation,
        )
    };
    if wanted.weights_version != weights_version {
        return conflict();
    }
    let request = Blocks {
        salt: wanted.salt.clone(),
        model: model.clone(),
        weights_version: weights_version.clone(),
        levels: wanted.levels,
        from: None,
    };
    let Ok(exported) = fetch_blocks(from, &request).await else {
        return error(
            StatusCode::BAD_GATEWAY,
            "export",
            "the other engine did not export",
        );
    };
    let same = exported.salt == wanted.salt
        && exported.model == model
        && exported.weights_version == weights_version;
    if !same {
        return conflict();
    }
    let blocks: Vec<u64> = exported
        .levels
        .iter()
        .filter_map(|level| cache::parse_hash(level))
        .collect();
    let count = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
    tokio::time::sleep(engine.settings.import_per_block * count).await;
    let mut state = engine.state.lock();
    // A crash or a load may have changed the identity during the transfer.
    if state.generation != generation || state.weights_version != weights_version {
        return conflict();
    }
    state.cache.store(&blocks, false);
    server::json(StatusCode::OK, &json!({"imported": count}))
}

async fn fetch_blocks(from: SocketAddr, wanted: &Blocks) -> io::Result<Blocks> {
    let stream = TcpStream::connect(from).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let body = serde_json::to_vec(wanted)?;
    let request = Request::post("/v1/kv/export")
        .header(HOST, from.to_string())
        .body(Full::new(bytes::Bytes::from(body)))
        .map_err(io::Error::other)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    if response.status() != StatusCode::OK {
        return Err(io::Error::other("refused"));
    }
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
