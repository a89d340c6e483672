//! `jaystandd`, the router daemon.

use std::path::PathBuf;

use clap::Parser;
use jaystand_daemon::{Settings, settings, trace};
use tokio::signal::unix::{SignalKind, signal};

/// A request makes some hundred small allocations, for which the allocator of the C library took a fifth of the
/// processor time.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Routes language-model traffic whose prompts share long prefixes.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE", required_unless_present = "print_defaults")]
    settings: Option<PathBuf>,
    /// Print the default settings and exit.
    #[arg(long)]
    print_defaults: bool,
    /// Check the settings and exit.
    #[arg(long, requires = "settings")]
    check: bool,
}

fn main() -> miette::Result<()> {
    let arguments = Arguments::parse();
    if arguments.print_defaults {
        print!("{}", settings::defaults());
        return Ok(());
    }
    let path = arguments.settings.unwrap_or_default();
    let settings = Settings::read(&path)?;
    if arguments.check {
        println!("{}: no errors", path.display());
        return Ok(());
    }
    jaystand_kernel::install_logging(settings.host.name.as_str(), settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("the runtime cannot be started: {error}"))?;
    runtime.block_on(async {
        let stop = stop_signal()?;
        let traces = match &settings.trace {
            Some(export) => Some(trace::install(&settings.host, export)?),
            None => None,
        };
        let ended = jaystand_daemon::run(settings, stop).await;
        if let Some(exporter) = traces {
            exporter.finish();
        }
        ended
    })
}

/// Returns a future that completes on SIGTERM or SIGINT.
fn stop_signal() -> miette::Result<impl Future<Output = ()>> {
    let install = |kind| {
        signal(kind)
            .map_err(|error| miette::miette!("a signal handler cannot be installed: {error}"))
    };
    let mut terminate = install(SignalKind::terminate())?;
    let mut interrupt = install(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
