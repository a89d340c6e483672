//! The router daemon. Its plug-ins connect sockets to the crates that decide, `policy` and `control`.

pub mod admin;
mod api;
mod backend;
mod chat;
pub mod claim;
pub mod config;
mod drive;
mod entry;
mod exchange;
mod hub;
mod marks;
mod memory;
mod metrics;
mod once;
mod order;
pub mod peer;
pub mod platform;
mod poll;
mod reply;
mod service;
pub mod settings;
pub mod stream;
pub mod trace;
pub mod watch;

use std::{net::SocketAddr, sync::Arc};

use jaystand_kernel::Kernel;
use parking_lot::Mutex;
use prometheus::Registry;
use tokio::sync::oneshot;

pub use settings::Settings;

/// The addresses that a daemon listens on. A port is chosen by the system where the settings have 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For health, metrics and administration.
    pub admin: SocketAddr,
}

/// The listeners that are bound so far, and the sender to notify once all are.
#[derive(Debug, Default)]
pub(crate) struct Listeners {
    pub(crate) admin: Mutex<Option<SocketAddr>>,
    pub(crate) announce: Mutex<Option<oneshot::Sender<Addresses>>>,
}

/// Runs one daemon until `stop` completes and every request has finished. Installs no logger, so that several
/// daemons can run in one process.
///
/// # Errors
/// Fails when a part of the daemon does not start, for example because an address is in use.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> miette::Result<()> {
    start(settings, stop, None).await
}

/// Runs one daemon as [`run`] does, and sends its addresses to `announce` once it listens.
///
/// # Errors
/// Fails as [`run`] does.
pub async fn run_announcing(
    settings: Settings,
    stop: impl Future<Output = ()>,
    announce: oneshot::Sender<Addresses>,
) -> miette::Result<()> {
    start(settings, stop, Some(announce)).await
}

async fn start(
    settings: Settings,
    stop: impl Future<Output = ()>,
    announce: Option<oneshot::Sender<Addresses>>,
) -> miette::Result<()> {
    let kernel = Kernel::new(Registry::new());
    let shutdown = settings.shutdown;
    kernel.provide(Arc::new(settings));
    kernel.provide(Arc::new(Listeners {
        admin: Mutex::default(),
        announce: Mutex::new(announce),
    }));
    kernel.run(shutdown.lame_duck, shutdown.drain, stop).await
}
