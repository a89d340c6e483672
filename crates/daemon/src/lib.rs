//! See the crate README.

pub mod admin;
mod backend;
mod chat;
pub mod config;
mod drive;
mod entry;
mod exchange;
mod hub;
mod memory;
mod metrics;
mod poll;
mod reply;
mod service;
pub mod settings;
pub mod stream;

use std::sync::Arc;

use jaystand_kernel::Kernel;
use prometheus::Registry;

pub use settings::Settings;

/// Runs one daemon until `stop` completes and every request has finished. Installs no logger, so that several
/// daemons can run in one process.
///
/// # Errors
/// Fails when a part of the daemon does not start, for example because an address is in use.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> miette::Result<()> {
    let kernel = Kernel::new(Registry::new());
    let shutdown = settings.shutdown;
    kernel.provide(Arc::new(settings));
    kernel.run(shutdown.lame_duck, shutdown.drain, stop).await
}
