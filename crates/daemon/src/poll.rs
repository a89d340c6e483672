//! Load polling: the reporter daemon of an engine asks it for its load every second and notes leaving, return and
//! new incarnations; the other daemons hear the load from their peers.

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

const PERIOD: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_millis(800);
/// Polls in flight at once, so that a round over many servers does not open as many connections.
const CONCURRENCY: usize = 64;
/// Loads of peers that are older than this say nothing of the present.
const MAX_AGE: Duration = Duration::from_secs(8);
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
    // Both happen before the caller listener starts: readiness must not be reported without a configuration, and
    // the first caller must not meet a daemon that has one and has not applied it.
    let gate = kernel.lifecycle().add_gate("a configuration");
    let mut changes = store.subscribe();
    adopt(&hub, &gate, &mut changes);
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow_configuration(Arc::clone(&hub), gate, changes));
    tasks.spawn(Arc::clone(&hub).run_ticks());
    tasks.spawn(poll(kernel.clone(), hub, peers));
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
        adopt(&hub, &gate, &mut changes);
    }
}

fn adopt(hub: &Hub, gate: &Gate, changes: &mut Changes) {
    let active = changes.borrow_and_update().clone();
    if let Some(active) = active {
        hub.configure(active);
        gate.set_open(true);
    }
}

async fn poll(kernel: Kernel, hub: Arc<Hub>, peers: Arc<Peers>) {
    let mut ticks = kernel.timer().every(PERIOD);
    let mut unreachable: HashSet<DataCentre> = HashSet::new();
    while kernel.lifecycle().phase() < Phase::Stopped {
        ticks.tick().await;
        let Some(configured) = hub.configured() else {
            continue;
        };
        // Only the servers of the region are candidates here; other regions poll their own.
        let region: HashSet<DataCentre> = centres(&configured)
            .filter(|centre| peers.in_region(centre))
            .cloned()
            .collect();
        let engines: Vec<(ServerId, Arc<Backend>)> = (0..)
            .zip(configured.backends.iter().cloned())
            .filter(|(_, it)| !it.is_service() && region.contains(&it.server.data_centre))
            .collect();
        let answered: Vec<(DataCentre, bool)> = stream::iter(engines)
            .map(|(id, backend)| look_at(Arc::clone(&hub), Arc::clone(&peers), id, backend))
            .buffer_unordered(CONCURRENCY)
            .filter_map(std::future::ready)
            .collect()
            .await;
        note_reach(&hub, &peers, &region, &answered, &mut unreachable);
    }
}

fn centres(configured: &Configured) -> impl Iterator<Item = &DataCentre> {
    let centres: HashSet<&DataCentre> = configured
        .backends
        .iter()
        .map(|backend| &backend.server.data_centre)
        .collect();
    centres.into_iter()
}

/// Asks an engine, or takes its load from the peers. Returns whether an engine that was asked has answered.
async fn look_at(
    hub: Arc<Hub>,
    peers: Arc<Peers>,
    id: ServerId,
    backend: Arc<Backend>,
) -> Option<(DataCentre, bool)> {
    let data_centre = &backend.server.data_centre;
    // Engines can run on when all daemons beside them are silent, so only asking them shows whether the data
    // centre is cut off.
    if peers.is_reporter(&backend.server.name)
        || peers.reachability(data_centre) == Reachability::Unreachable
    {
        let answered = poll_one(&hub, &peers, id, &backend).await;
        return Some((data_centre.clone(), answered));
    }
    if let Some((running, age)) = peers.load(id).filter(|(_, age)| *age < MAX_AGE) {
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

/// Tells the router which data centres are cut off: no daemon of theirs and no engine that was asked answers.
fn note_reach(
    hub: &Hub,
    peers: &Peers,
    region: &HashSet<DataCentre>,
    answered: &[(DataCentre, bool)],
    unreachable: &mut HashSet<DataCentre>,
) {
    for data_centre in region {
        let mut asked = answered.iter().filter(|(centre, _)| centre == data_centre);
        let reachable = peers.reachability(data_centre) != Reachability::Unreachable
            || asked.any(|(_, ok)| *ok);
        let changed = if reachable {
            unreachable.remove(data_centre)
        } else {
            unreachable.insert(data_centre.clone())
        };
        if changed {
            log::warn!("data centre {data_centre}: reachable {reachable}");
            let data_centre = data_centre.clone();
            hub.send_event(Event::Reachable {
                data_centre,
                reachable,
            });
        }
    }
}

async fn poll_one(hub: &Hub, peers: &Peers, id: ServerId, backend: &Arc<Backend>) -> bool {
    let Ok(Some(load)) = tokio::time::timeout(TIMEOUT, fetch(backend)).await else {
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
