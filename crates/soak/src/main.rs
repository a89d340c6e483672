//! `jaystand-soak`: injects random faults into running gateways and checks their promises.

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
    plan::{self, RECOVERY_TIME, Shape},
    report::{self, Figures},
};
use miette::{IntoDiagnostic as _, miette};
use tokio::{task::LocalSet, time::sleep};

/// Share of the requests after the recovery that must be served whole.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Time after the last fault before the recovered system is checked: entries lapse after 3 s, and engines must have new
/// weights after 6 s.
const SETTLING_TIME: Duration = Duration::from_secs(7);

/// Injects random faults into running gateways and checks what callers and servers see.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a soak; the exit code is 1 if a promise was broken.
    Run(Run),
    /// Runs a gateway.
    #[command(hide = true)]
    Gateway {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Runs a backend server.
    #[command(hide = true)]
    Server {
        /// Address to listen at.
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
    /// Seed of the faults; chosen at random if not given, and printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Length of the run in minutes.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Number of gateways and servers together; a third of them are gateways.
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
            runtime.block_on(run_soak(&run))
        }
        Command::Gateway { settings } => {
            let parsed = jaystand_gateway::Settings::read(&settings)?;
            jaystand_gateway::start_logging(&parsed)?;
            let runtime = single_threaded()?;
            LocalSet::new().block_on(&runtime, jaystand_gateway::run(parsed, settings))?;
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

async fn run_soak(run: &Run) -> miette::Result<ExitCode> {
    let seed = run.seed.unwrap_or_else(rand::random);
    let length = Duration::try_from_secs_f64(run.minutes * 60.0).into_diagnostic()?;
    if length < plan::WARM_UP + RECOVERY_TIME {
        return Err(miette!(
            "--minutes {} is too short: the minimum is 0.24",
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
    let events = plan::generate(seed, shape, length);
    let started = Instant::now();
    let cluster = Cluster::start(setup, started).await.into_diagnostic()?;
    let callers = tokio::spawn(Arc::clone(&cluster.callers).run(seed, run.rate, length));
    let mut faults = Vec::new();
    for event in events.clone() {
        let cluster = Arc::clone(&cluster);
        faults.push(tokio::spawn(async move {
            sleep(event.start.saturating_sub(started.elapsed())).await;
            cluster.apply(event.fault, event.duration).await
        }));
    }
    for fault in faults {
        fault.await.into_diagnostic()?.into_diagnostic()?;
    }
    // Faults of one process wait for each other, so the last may end after its planned time.
    let settled_at = started.elapsed().max(length.saturating_sub(RECOVERY_TIME)) + SETTLING_TIME;
    callers.await.into_diagnostic()?;
    sleep(settled_at.saturating_sub(started.elapsed())).await;
    cluster.check_recovery().await;
    cluster.stop().await;
    let checker = cluster.checker.lock().expect("not poisoned");
    let mut breaches = checker.breaches();
    let served = checker.served_share(settled_at, length);
    if served.is_some_and(|served| served < MIN_SERVED_SHARE) {
        let observed = format!(
            "{served:?} of the requests after {:.1} s",
            settled_at.as_secs_f64()
        );
        breaches.push(Breach {
            promise: "the system serves again",
            seen: observed,
        });
    }
    let figures = Figures::new(seed, &checker, &events, &breaches);
    let text = serde_json::to_string_pretty(&figures).into_diagnostic()?;
    std::fs::write(folder.join("report.json"), text).into_diagnostic()?;
    report::draw_plot(&folder.join("requests.svg"), &checker, &events, length)
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
