//! Runs one policy under one seeded load with scripted faults.

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use jaystand_standin::{
    caller::{Answer, Call},
    engine::{self, Faults, Record, Settings},
    fleet::Deployment,
};
use tokio::{task::JoinSet, time::Instant};

use super::{
    cluster::Cluster,
    trace::{Arrival, BLOCK_BYTES, BYTES_PER_TOKEN, Window},
};

/// Number of daemons of a deployment.
pub(crate) const DAEMONS: usize = 6;
/// Time after the last arrival in which calls may still end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
const SLOW_FACTOR: f64 = 8.0;
/// One in this many engines is slowed.
const SLOW_ONE_IN: usize = 8;
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);
/// Time after which other engines are slowed.
const SLOW_INTERVAL: Duration = Duration::from_millis(800);

/// Results of one run.
pub(crate) struct Outcome {
    /// Answers in the order of the arrivals; `None` for calls that did not end in time.
    pub(crate) answers: Vec<Option<Answer>>,
    /// Records of all engines.
    pub(crate) records: Vec<Record>,
    /// Whether the daemon that was restarted had stopped as planned.
    pub(crate) restarted: bool,
}

/// Returns the change of settings for the engines of a comparison. A cache holds about a tenth of the documents, so
/// that entries are evicted within seconds if a policy ignores prefixes.
pub(crate) fn engine_settings(deployment: &Deployment) -> impl Fn(usize, &mut Settings) + use<> {
    let cache_blocks = 2560 / deployment.engines;
    move |_, settings| {
        settings.slots = 16;
        settings.step = Duration::from_millis(6);
        settings.step_per_request = Duration::from_micros(300);
        settings.prefill_per_token = Duration::from_micros(50);
        settings.prefill_budget = 512;
        settings.block_bytes = BLOCK_BYTES;
        settings.bytes_per_token = BYTES_PER_TOKEN;
        settings.cache_blocks = cache_blocks;
        settings.load_lag = Duration::from_secs(1);
    }
}

/// Runs a policy and collects answers and records.
pub(crate) async fn run(
    deployment: &Deployment,
    policy: &str,
    seed: u64,
    trace: &Arc<[Arrival]>,
) -> io::Result<Outcome> {
    let tune = engine_settings(deployment);
    let cluster = Cluster::start(deployment.clone(), DAEMONS, policy, seed, tune).await?;
    let cluster = Arc::new(cluster);
    let began = Instant::now();
    let fault_task = tokio::spawn(run_faults(Arc::clone(&cluster), began, seed));
    let mut answers = vec![None; trace.len()];
    let mut calls = JoinSet::new();
    for (index, arrival) in trace.iter().enumerate() {
        tokio::time::sleep_until(began + arrival.at).await;
        let call = completion_call(&cluster.fleet.deployment, arrival);
        let balancer = cluster.balancer.clone();
        calls.spawn(async move { (index, balancer.send(&call).await) });
        while let Some(Ok((index, answer))) = calls.try_join_next() {
            answers[index] = Some(answer);
        }
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while let Ok(Some(joined)) = tokio::time::timeout_at(deadline, calls.join_next()).await {
        if let Ok((index, answer)) = joined {
            answers[index] = Some(answer);
        }
    }
    calls.abort_all();
    let restarted = fault_task.await.map_err(io::Error::other)??;
    let records = cluster.fleet.engines.iter();
    let records = records.flat_map(engine::Handle::records).collect();
    if let Ok(cluster) = Arc::try_unwrap(cluster) {
        cluster.shut_down().await;
    }
    Ok(Outcome {
        answers,
        records,
        restarted,
    })
}

pub(crate) fn completion_call(deployment: &Deployment, arrival: &Arrival) -> Call {
    let kind = deployment.kinds[arrival.kind].name;
    Call::completion(
        Deployment::team_key(arrival.team),
        kind,
        arrival.body.clone(),
    )
}

/// Injects the faults of a run, at the same times for all policies. Returns whether the daemon stopped as planned.
async fn run_faults(cluster: Arc<Cluster>, began: Instant, seed: u64) -> io::Result<bool> {
    let engines = &cluster.fleet.engines;
    let chosen = usize::try_from(seed).unwrap_or(0) % engines.len();
    let (from, until) = Window::Slow.bounds();
    let mut rotation = 0;
    let mut at = from;
    while at < until {
        tokio::time::sleep_until(began + at).await;
        slow_engines(&cluster, chosen + rotation);
        rotation += 1;
        at += SLOW_INTERVAL;
    }
    tokio::time::sleep_until(began + until).await;
    for engine in engines {
        engine.set_faults(Faults::default());
    }
    tokio::time::sleep_until(began + Window::Settle.bounds().0).await;
    engines[chosen].crash().await;
    tokio::time::sleep(CRASH_DOWNTIME).await;
    engines[chosen].restart()?;
    let daemon = chosen % DAEMONS;
    let stopped = cluster.stop(daemon).await.is_some();
    cluster.restart(daemon).await?;
    cluster.wait_ready(daemon).await?;
    Ok(stopped)
}

/// Slows one in [`SLOW_ONE_IN`] engines; `offset` selects which, so that other engines are slowed in each interval.
fn slow_engines(cluster: &Cluster, offset: usize) {
    for (index, engine) in cluster.fleet.engines.iter().enumerate() {
        let hit = (index + offset).is_multiple_of(SLOW_ONE_IN);
        engine.set_faults(Faults {
            slow: if hit { SLOW_FACTOR } else { 1.0 },
            ..Faults::default()
        });
    }
}

/// Groups the attempts that got a slot by the hash of their prompt.
pub(crate) fn started_by_prompt(records: &[Record]) -> HashMap<u64, Vec<&Record>> {
    let mut by_prompt: HashMap<u64, Vec<&Record>> = HashMap::new();
    for record in records.iter().filter(|record| record.started_us.is_some()) {
        by_prompt.entry(record.prompt).or_default().push(record);
    }
    by_prompt
}
