//! One policy under one seeded load, with the scripted faults of a run.

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

/// Entry hosts of a deployment.
pub(crate) const DAEMONS: usize = 6;
/// Long work may go on this long after the last arrival.
const DRAIN: Duration = Duration::from_secs(4);
const SLOW_FACTOR: f64 = 8.0;
/// One engine in so many is slowed.
const SLOW_ONE_IN: usize = 8;
const CRASH_DOWN: Duration = Duration::from_millis(300);
/// The slowed engines change after this long.
const SLOW_MOMENT: Duration = Duration::from_millis(800);

/// What one run showed.
pub(crate) struct Outcome {
    /// Answers, in the order of the arrivals.
    pub(crate) answers: Vec<Option<Answer>>,
    /// What the engines recorded.
    pub(crate) records: Vec<Record>,
    /// Whether the restarted daemon ended within its drain time.
    pub(crate) restarted: bool,
}

/// The engines of a comparison: a cache that holds about a tenth of the documents, so that entries go within
/// seconds when prompts are spread without regard to prefixes.
pub(crate) fn tune(deployment: &Deployment) -> impl Fn(usize, &mut Settings) + use<> {
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

/// Runs a policy.
pub(crate) async fn run(
    deployment: &Deployment,
    policy: &str,
    seed: u64,
    trace: &Arc<[Arrival]>,
) -> io::Result<Outcome> {
    let tuned = tune(deployment);
    let cluster = Cluster::start(deployment.clone(), DAEMONS, policy, seed, tuned).await?;
    let cluster = Arc::new(cluster);
    let began = Instant::now();
    let script = tokio::spawn(script(Arc::clone(&cluster), began, seed));
    let mut answers = vec![None; trace.len()];
    let mut calls = JoinSet::new();
    for (index, arrival) in trace.iter().enumerate() {
        tokio::time::sleep_until(began + arrival.at).await;
        let call = call(&cluster.fleet.deployment, arrival);
        let balancer = cluster.balancer.clone();
        calls.spawn(async move { (index, balancer.send(&call).await) });
        while let Some(Ok((index, answer))) = calls.try_join_next() {
            answers[index] = Some(answer);
        }
    }
    let deadline = Instant::now() + DRAIN;
    while let Ok(Some(joined)) = tokio::time::timeout_at(deadline, calls.join_next()).await {
        if let Ok((index, answer)) = joined {
            answers[index] = Some(answer);
        }
    }
    calls.abort_all();
    let restarted = script.await.map_err(io::Error::other)??;
    let records = cluster.fleet.engines.iter();
    let records = records.flat_map(engine::Handle::records).collect();
    if let Ok(cluster) = Arc::try_unwrap(cluster) {
        cluster.end().await;
    }
    Ok(Outcome {
        answers,
        records,
        restarted,
    })
}

pub(crate) fn call(deployment: &Deployment, arrival: &Arrival) -> Call {
    let kind = deployment.kinds[arrival.kind].name;
    Call::completion(
        Deployment::team_key(arrival.team),
        kind,
        arrival.body.clone(),
    )
}

/// The faults of a run, at the same times for all policies.
async fn script(cluster: Arc<Cluster>, began: Instant, seed: u64) -> io::Result<bool> {
    let engines = &cluster.fleet.engines;
    let chosen = usize::try_from(seed).unwrap_or(0) % engines.len();
    let (from, until) = Window::Slow.bounds();
    let mut moment = 0;
    let mut at = from;
    while at < until {
        tokio::time::sleep_until(began + at).await;
        slow(&cluster, chosen + moment);
        moment += 1;
        at += SLOW_MOMENT;
    }
    tokio::time::sleep_until(began + until).await;
    for engine in engines {
        engine.set_faults(Faults::default());
    }
    tokio::time::sleep_until(began + Window::Settle.bounds().0).await;
    engines[chosen].crash().await;
    tokio::time::sleep(CRASH_DOWN).await;
    engines[chosen].restart()?;
    let daemon = chosen % DAEMONS;
    let stopped = cluster.stop(daemon).await.is_some();
    cluster.restart(daemon).await?;
    cluster.wait_ready(daemon).await?;
    Ok(stopped)
}

/// Slows one engine in eight, others than the moment before.
fn slow(cluster: &Cluster, offset: usize) {
    for (index, engine) in cluster.fleet.engines.iter().enumerate() {
        let hit = (index + offset).is_multiple_of(SLOW_ONE_IN);
        engine.set_faults(Faults {
            slow: if hit { SLOW_FACTOR } else { 1.0 },
            ..Faults::default()
        });
    }
}

/// Attempts that got a slot, by prompt.
pub(crate) fn started(records: &[Record]) -> HashMap<u64, Vec<&Record>> {
    let mut by_prompt: HashMap<u64, Vec<&Record>> = HashMap::new();
    for record in records.iter().filter(|record| record.started_us.is_some()) {
        by_prompt.entry(record.prompt).or_default().push(record);
    }
    by_prompt
}
