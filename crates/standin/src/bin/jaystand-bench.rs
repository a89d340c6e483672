//! Measures real daemons in front of stand-ins on loopback.

#[path = "../bench/mod.rs"]
mod bench;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use miette::IntoDiagnostic as _;

/// Threads for stand-ins and load; the daemons have their own.
const WORKERS: usize = 4;

#[derive(Debug, Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Compare(bench::compare::Options),
    Overhead(bench::overhead::Options),
    Stream(bench::stream::Options),
    Faults(bench::faults::Options),
    Drain(bench::drain::Options),
    Control(bench::control::Options),
}

fn main() -> miette::Result<ExitCode> {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let passed = runtime.block_on(run(options.command)).into_diagnostic()?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run(command: Command) -> std::io::Result<bool> {
    match command {
        Command::Compare(options) => bench::compare::compare(options).await,
        Command::Overhead(options) => bench::overhead::overhead(options).await,
        Command::Stream(options) => bench::stream::stream(options).await,
        Command::Faults(options) => bench::faults::faults(options).await,
        Command::Control(options) => bench::control::run(options).await,
        Command::Drain(options) => bench::drain::drain(options).await,
    }
}
