//! `jaystand-gateway`, the program that runs on the entry hosts of the users' platform.

use std::path::PathBuf;

use clap::Parser;
use jaystand_gateway::Settings;
use miette::IntoDiagnostic as _;
use tokio::task::LocalSet;

/// Passes requests with long shared prompts to backend servers.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE", env = "JAYSTAND_SETTINGS")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    let settings = Settings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return Ok(());
    }
    jaystand_gateway::start_logging(&settings)?;
    // An entry host has a fraction of one core, so more threads would only add context switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    LocalSet::new().block_on(
        &runtime,
        jaystand_gateway::run(settings, arguments.settings),
    )
}
