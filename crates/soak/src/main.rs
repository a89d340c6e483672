//! `jaystand-soak`: hurts running gateways at random and checks their promises.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use clap::{Parser, Subcommand};
use jaystand_adapter_standin::server;
use jaystand_soak::{
    check::Breach,
    cluster::{Cluster, Setup},
    plan::{self, CALM_END, Shape},
    report::{self, Figures},
};
use miette::{IntoDiagnostic as _, miette};
use tokio::{task::LocalSet, time::sleep};

/// Part of the requests of the calm end that must be served whole.
const SERVED_AGAIN: f64 = 0.95;
/// The calm end counts from so long after the last fault: entries lapse after 3 s, weights are required after 6 s.
const SETTLED: Duration = Duration::from_secs(7);

/// Plays random faults against running gateways and checks what callers and servers see.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays faults, and ends with 1 if a promise was broken.
    Run(Run),
    /// Serves as a gateway.
    #[command(hide = true)]
    Gateway {
        /// Settings file.
        settings: PathBuf,
    },
    /// Serves as a backend server.
    #[command(hide = true)]
    Server {
        /// Where to listen.
        address: SocketAddr,
        /// Name of the incarnation.
        #[arg(long)]
        name: String,
        /// Service: `lm` for an engine.
        #[arg(long)]
        service: String,
        /// Weights version.
        #[arg(long)]
        version: u64,
    },
}

#[derive(Debug, clap::Args)]
struct Run {
    /// Seed of the faults; drawn and printed if not given.
    #[arg(long)]
    seed: Option<u64>,
    /// Length of the run in minutes.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Gateways and servers together, a third of them gateways.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u16).range(3..=120))]
    processes: u16,
    /// Requests a second.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=2_000))]
    rate: u32,
    /// Folder for settings, logs and the report.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

fn main() -> miette::Result<ExitCode> {
    match Arguments::parse().command {
        Command::Run(run) => {
            let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
            runtime.block_on(play(&run))
        }
        Command::Gateway { settings } => {
            let checked = jaystand_gateway::Settings::read(&settings)?;
            jaystand_gateway::start_logging(&checked)?;
            let runtime = single_threaded()?;
            LocalSet::new().block_on(&runtime, jaystand_gateway::run(checked, settings))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Server {
            address,
            name,
            service,
            version,
        } => {
            let run = server::run(address, name, service == "lm", version);
            single_threaded()?.block_on(run).into_diagnostic()?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn single_threaded() -> miette::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().into_diagnostic()
}

async fn play(run: &Run) -> miette::Result<ExitCode> {
    let seed = run.seed.unwrap_or_else(rand::random);
    let length = Duration::try_from_secs_f64(run.minutes * 60.0).into_diagnostic()?;
    if length < plan::WARM_UP + CALM_END {
        return Err(miette!(
            "--minutes {} is too short: a run needs 0.24 at least",
            run.minutes
        ));
    }
    let processes = usize::from(run.processes);
    let shape = Shape {
        gateways: (processes / 3).clamp(1, 80),
        servers: (processes - processes / 3).min(100),
    };
    let folder = run.folder.join(seed.to_string());
    std::fs::create_dir_all(&folder).into_diagnostic()?;
    println!(
        "seed {seed}, {} gateways, {} servers, {}",
        shape.gateways,
        shape.servers,
        folder.display()
    );
    let setup = Setup {
        program: std::env::current_exe().into_diagnostic()?,
        folder: folder.clone(),
        shape,
    };
    let events = plan::draw(seed, shape, length);
    let started = Instant::now();
    let cluster = Cluster::start(setup, started).await.into_diagnostic()?;
    let callers = tokio::spawn(Arc::clone(&cluster.crowd).run(seed, run.rate, length));
    let mut faults = Vec::new();
    for event in events.clone() {
        let cluster = Arc::clone(&cluster);
        faults.push(tokio::spawn(async move {
            sleep(event.at.saturating_sub(started.elapsed())).await;
            cluster.play(event.fault, event.lasts).await
        }));
    }
    for fault in faults {
        fault.await.into_diagnostic()?.into_diagnostic()?;
    }
    // Planned stops queue behind each other and may end late.
    let settled = started.elapsed().max(length.saturating_sub(CALM_END)) + SETTLED;
    callers.await.into_diagnostic()?;
    sleep(settled.saturating_sub(started.elapsed())).await;
    cluster.check_calm().await;
    cluster.stop().await;
    let judge = cluster.judge.lock().expect("not poisoned");
    let mut breaches = judge.verdict();
    let served = judge.served(settled, length);
    if served.is_some_and(|served| served < SERVED_AGAIN) {
        let text = format!(
            "{served:?} of the requests after {:.1} s",
            settled.as_secs_f64()
        );
        breaches.push(Breach {
            promise: "the system serves again",
            seen: text,
        });
    }
    let figures = Figures::new(seed, &judge, &events, &breaches);
    let text = serde_json::to_string_pretty(&figures).into_diagnostic()?;
    std::fs::write(folder.join("report.json"), text).into_diagnostic()?;
    report::draw(&folder.join("requests.svg"), &judge, &events, length)
        .map_err(|error| miette!("cannot draw the plot: {error}"))?;
    println!(
        "{:?}, {} faults, calm {served:?}",
        figures.ends,
        events.len()
    );
    for breach in &breaches {
        println!("broken: {}: {}", breach.promise, breach.seen);
    }
    Ok(if breaches.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
