//! The `backend` plug-in: passes configurations to the router and polls the engines of the region.
//!
//! The reporter daemon of an engine reads the engine's load every second and records when the engine leaves, returns or
//! has a new incarnation. The other daemons receive the load from their peers.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use jaystand_control::member::Reachability;
use jaystand_kernel::{
    Gate, Kernel, Phase,
    plugin::{Running, Stage, StartResult},
};
use jaystand_policy::{Event, Router, load::Report, router};
use jaystand_types::{DataCentre, ServerId};
use jaystand_wire::engine::{LOAD_PATH, Load};
use tokio::sync::watch;

use crate::{
    backend::Backend,
    config,
    hub::{Configured, Hub},
    peer::Peers,
    settings::{PolicyName, Settings},
};

const POLL_PERIOD: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Limits the polls in flight, so that a round over many servers does not open as many connections at once.
const MAX_CONCURRENT_POLLS: usize = 64;
/// Older loads from peers are ignored, because they no longer describe the present load.
const MAX_LOAD_AGE: Duration = Duration::from_secs(8);
const MAX_REPORT_BYTES: usize = 16 * 1024;

jaystand_kernel::register!("backend", Stage::Work, start);

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let store = kernel.require::<config::Store>()?;
    let peers = kernel.require::<Peers>()?;
    let hub = Arc::new(Hub::new(
        kernel.timer().clone(),
        Router::new(router_settings(&settings), rand::random()),
        settings.limits.queue,
    ));
    kernel.provide(Arc::clone(&hub));
    // The gate is added and the present configuration applied before the listener for callers starts. Otherwise the
    // daemon could report readiness without a configuration, or serve a first request before applying the one it has.
    let gate = kernel.lifecycle().add_gate("a configuration");
    let mut changes = store.subscribe();
    apply_configuration(&hub, &gate, &mut changes);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow_configuration(Arc::clone(&hub), gate, changes));
    tasks.spawn(Arc::clone(&hub).run_ticks());
    tasks.spawn(poll_engines(kernel.clone(), hub, peers));
    Ok(Running::with_shutdown(
        async move { tasks.shutdown().await },
    ))
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
        max_queued: settings.limits.queue,
        ..router::Settings::default()
    }
}

type Changes = watch::Receiver<Option<Arc<config::Active>>>;

async fn follow_configuration(hub: Arc<Hub>, gate: Gate, mut changes: Changes) {
    while changes.changed().await.is_ok() {
        apply_configuration(&hub, &gate, &mut changes);
    }
}

/// Passes the configuration in force to the router and opens the gate. Does nothing before there is one.
fn apply_configuration(hub: &Hub, gate: &Gate, changes: &mut Changes) {
    let active = changes.borrow_and_update().clone();
    if let Some(active) = active {
        hub.configure(active);
        gate.set_open(true);
    }
}

/// Polls the engines of the region in rounds until the daemon stops.
async fn poll_engines(kernel: Kernel, hub: Arc<Hub>, peers: Arc<Peers>) {
    let mut ticks = kernel.timer().every(POLL_PERIOD);
    let mut unreachable: HashSet<DataCentre> = HashSet::new();
    while kernel.lifecycle().phase() < Phase::Stopped {
        ticks.tick().await;
        let Some(configured) = hub.configured() else {
            continue;
        };
        // Only servers of this region are candidates for its requests. Other regions poll their own servers.
        let region: HashSet<DataCentre> = data_centres(&configured)
            .filter(|data_centre| peers.in_region(data_centre))
            .cloned()
            .collect();
        let engines: Vec<(ServerId, Arc<Backend>)> = (0..)
            .zip(configured.backends.iter().cloned())
            .filter(|(_, backend)| {
                !backend.is_service() && region.contains(&backend.server.data_centre)
            })
            .collect();
        let answers: Vec<(DataCentre, bool)> = stream::iter(engines)
            .map(|(id, backend)| update_load(Arc::clone(&hub), Arc::clone(&peers), id, backend))
            .buffer_unordered(MAX_CONCURRENT_POLLS)
            .filter_map(std::future::ready)
            .collect()
            .await;
        update_reachability(&hub, &peers, &region, &answers, &mut unreachable);
    }
}

/// Returns each data centre that has a backend server once.
fn data_centres(configured: &Configured) -> impl Iterator<Item = &DataCentre> {
    let data_centres: HashSet<&DataCentre> = configured
        .backends
        .iter()
        .map(|backend| &backend.server.data_centre)
        .collect();
    data_centres.into_iter()
}

/// Updates the router's load of an engine, by polling the engine or with the load that peers report. Returns the data
/// centre of a polled engine and whether the engine answered; `None` if it was not polled.
async fn update_load(
    hub: Arc<Hub>,
    peers: Arc<Peers>,
    id: ServerId,
    backend: Arc<Backend>,
) -> Option<(DataCentre, bool)> {
    let data_centre = &backend.server.data_centre;
    // Engines can keep running while all daemons of their data centre are silent. Only polling the engines shows
    // whether the data centre is cut off.
    if peers.is_reporter(&backend.server.name)
        || peers.reachability(data_centre) == Reachability::Unreachable
    {
        let answered = poll_engine(&hub, &peers, id, &backend).await;
        return Some((data_centre.clone(), answered));
    }
    if let Some((running, age)) = peers.load(id).filter(|(_, age)| *age < MAX_LOAD_AGE) {
        let waiting = running.saturating_sub(backend.server.slots.get());
        let running = running - waiting;
        hub.record_load(
            &backend,
            Report {
                running,
                waiting,
                age,
            },
        );
    }
    None
}

/// Tells the router which data centres are cut off. These are the ones where no daemon and no polled engine answers.
fn update_reachability(
    hub: &Hub,
    peers: &Peers,
    region: &HashSet<DataCentre>,
    answers: &[(DataCentre, bool)],
    unreachable: &mut HashSet<DataCentre>,
) {
    for data_centre in region {
        let mut polled = answers
            .iter()
            .filter(|(polled_centre, _)| polled_centre == data_centre);
        let reachable = peers.reachability(data_centre) != Reachability::Unreachable
            || polled.any(|(_, answered)| *answered);
        let changed = if reachable {
            unreachable.remove(data_centre)
        } else {
            unreachable.insert(data_centre.clone())
        };
        if changed {
            log::warn!("data centre {data_centre} is reachable: {reachable}");
            let data_centre = data_centre.clone();
            hub.send_event(Event::Reachable {
                data_centre,
                reachable,
            });
        }
    }
}

/// Reads an engine's load and passes it to the router and the peers. Returns whether the engine answered in time.
async fn poll_engine(hub: &Hub, peers: &Peers, id: ServerId, backend: &Arc<Backend>) -> bool {
    let Ok(Some(load)) = tokio::time::timeout(POLL_TIMEOUT, fetch_load(backend)).await else {
        return false;
    };
    backend.record_weights_version(&load.weights_version);
    backend.record_incarnation(load.incarnation);
    let age = Duration::from_millis(load.age_ms);
    let name = &backend.server.name;
    peers.observe_engine(name, load.incarnation, load.leaving);
    peers.report_load(id, load.running.saturating_add(load.waiting), age);
    if load.leaving {
        hub.set_leaving(backend, true);
    }
    let report = Report {
        running: load.running,
        waiting: load.waiting,
        age,
    };
    hub.record_load(backend, report);
    true
}

/// Reads the load report of an engine; `None` if the call fails or the report is malformed.
async fn fetch_load(backend: &Backend) -> Option<Load> {
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
