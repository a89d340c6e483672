//! Load polling: asks each engine for its load every second and notes leaving, return and new incarnations.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use jaystand_kernel::{
    Kernel, Phase,
    plugin::{Running, Stage, Started},
};
use jaystand_policy::{Router, load::Report, router};
use jaystand_wire::engine::{LOAD_PATH, Load};

use crate::{
    backend::Backend,
    config,
    hub::Hub,
    settings::{PolicyName, Settings},
};

const PERIOD: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(800);
/// Polls in flight at once, so that a round over many servers does not open as many connections.
const CONCURRENCY: usize = 64;
const MAX_REPORT_BYTES: usize = 16 * 1024;

jaystand_kernel::register!("backend", Stage::Work, start);

async fn start(kernel: Kernel) -> Started {
    let settings = kernel.require::<Settings>()?;
    let store = kernel.require::<config::Store>()?;
    let hub = Arc::new(Hub::new(
        kernel.timer().clone(),
        Router::new(router_settings(&settings), rand::random()),
        settings.limits.queue,
    ));
    kernel.provide(Arc::clone(&hub));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow_configuration(
        kernel.clone(),
        store,
        Arc::clone(&hub),
    ));
    tasks.spawn(Arc::clone(&hub).tick());
    tasks.spawn(poll(kernel.clone(), hub));
    Ok(Running::until(async move { tasks.shutdown().await }))
}

fn router_settings(settings: &Settings) -> router::Settings {
    router::Settings {
        strategy: match settings.policy.name {
            PolicyName::Jaystand => router::Strategy::Jaystand,
            PolicyName::HashOnly => router::Strategy::HashOnly,
            PolicyName::LeastLoaded => router::Strategy::LeastLoaded,
            PolicyName::RoundRobin => router::Strategy::RoundRobin,
        },
        data_centre: settings.host.data_centre.clone(),
        queue: settings.limits.queue,
        ..router::Settings::default()
    }
}

async fn follow_configuration(kernel: Kernel, store: Arc<config::Store>, hub: Arc<Hub>) {
    let gate = kernel.lifecycle().gate("a configuration");
    let mut changes = store.subscribe();
    loop {
        let active = changes.borrow_and_update().clone();
        if let Some(active) = active {
            hub.configure(active);
            gate.set(true);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn poll(kernel: Kernel, hub: Arc<Hub>) {
    let mut ticks = kernel.timer().every(PERIOD);
    while kernel.lifecycle().phase() < Phase::Stopped {
        ticks.tick().await;
        let Some(configured) = hub.configured() else {
            continue;
        };
        let engines = configured.backends.iter().filter(|it| !it.is_service());
        stream::iter(engines)
            .for_each_concurrent(CONCURRENCY, |backend| poll_one(&hub, backend))
            .await;
    }
}

async fn poll_one(hub: &Hub, backend: &Arc<Backend>) {
    let Ok(Some(load)) = tokio::time::timeout(TIMEOUT, fetch(backend)).await else {
        return;
    };
    backend.saw_weights_version(&load.weights_version);
    backend.saw_incarnation(load.incarnation);
    hub.set_leaving(backend, load.leaving);
    let report = Report {
        running: load.running,
        waiting: load.waiting,
        age: Duration::from_millis(load.age_ms),
    };
    hub.load(backend, report);
}

async fn fetch(backend: &Backend) -> Option<Load> {
    let request = Request::get(backend.uri(LOAD_PATH))
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = backend.client(false).request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
