//! The platform client of the daemon, shared by every plug-in that needs it.

use std::sync::Arc;

use jaystand_kernel::Kernel;
use jaystand_platform::{Client, Settings};
use miette::Context as _;

/// The client of the platform that the settings name, made on first use; `None` when they name none.
///
/// Plug-ins share one client, since its call budget is that of the daemon.
///
/// # Errors
/// Fails when the settings are missing or the client's metrics cannot be registered.
pub fn client(kernel: &Kernel) -> miette::Result<Option<Arc<Client>>> {
    if let Ok(client) = kernel.require::<Client>() {
        return Ok(Some(client));
    }
    let settings = kernel.require::<crate::Settings>()?;
    let Some(platform) = settings.platform else {
        return Ok(None);
    };
    let settings = Settings::new(platform.address, platform.budget_per_s);
    let client = Client::new(settings, kernel.metrics()).wrap_err("the platform client")?;
    let client = Arc::new(client);
    kernel.provide(Arc::clone(&client));
    Ok(Some(client))
}
