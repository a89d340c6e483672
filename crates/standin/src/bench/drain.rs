//! `drain`: stops every daemon in turn, as planned, under load.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clap::Args;
use jaystand_standin::{caller::Answer, fleet::Deployment};
use tokio::{task::JoinSet, time::Instant};

use super::{cluster::Cluster, run, trace};

/// Stops every daemon in turn and counts cut requests.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// `tanekaha` or `cumbre`.
    #[arg(long, default_value = "cumbre")]
    deployment: String,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
}

pub(crate) async fn drain(options: Options) -> io::Result<bool> {
    let deployment = Deployment::named(&options.deployment)
        .ok_or_else(|| io::Error::other("use tanekaha or cumbre"))?;
    let tune = run::engine_settings(&deployment);
    let cluster = Cluster::start(
        deployment.clone(),
        run::DAEMONS,
        "jaystand",
        options.seed,
        tune,
    );
    let cluster = Arc::new(cluster.await?);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_load(
        Arc::clone(&cluster),
        options.seed,
        options.rate,
        Arc::clone(&stop),
    ));
    let mut in_time = true;
    for index in 0..run::DAEMONS {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let took = cluster.stop(index).await;
        in_time &= took.is_some();
        match took {
            Some(took) => println!("entry-{} stopped in {:.2} s", index + 1, took.as_secs_f64()),
            None => println!("entry-{} did NOT stop as planned", index + 1),
        }
        cluster.restart(index).await?;
        cluster.wait_ready(index).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let answers = load.await.map_err(io::Error::other)?;
    let whole = answers.iter().filter(|answer| answer.complete()).count();
    let refused = answers
        .iter()
        .filter(|answer| !answer.complete() && answer.not_run())
        .count();
    let cut = answers.len() - whole - refused;
    println!(
        "{} requests: {whole} whole, {refused} refused as not_run, {cut} cut",
        answers.len()
    );
    for answer in answers
        .iter()
        .filter(|answer| !answer.complete() && !answer.not_run())
        .take(5)
    {
        println!(
            "cut: {:?} status {:?} outcome `{}`",
            answer.cut, answer.status, answer.outcome
        );
    }
    if let Ok(cluster) = Arc::try_unwrap(cluster) {
        cluster.shut_down().await;
    }
    Ok(cut == 0 && in_time && whole > 0)
}

/// Sends the arrivals of a comparison at a steady rate, repeatedly, until `stop` is set.
async fn send_load(
    cluster: Arc<Cluster>,
    seed: u64,
    rate: f64,
    stop: Arc<AtomicBool>,
) -> Vec<Answer> {
    let deployment = &cluster.fleet.deployment;
    let arrivals = trace::generate(deployment, seed, 100.0);
    let mut calls = JoinSet::new();
    let gap = Duration::from_secs_f64(1.0 / rate.max(1.0));
    let mut next_send = Instant::now();
    for arrival in arrivals.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        next_send += gap;
        tokio::time::sleep_until(next_send).await;
        let call = run::completion_call(deployment, arrival);
        let balancer = cluster.balancer.clone();
        calls.spawn(async move { balancer.send(&call).await });
    }
    calls.join_all().await
}
