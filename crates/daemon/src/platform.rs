//! The platform client of the daemon, shared by every plug-in that needs it.

use std::sync::Arc;

use jaystand_kernel::Kernel;
use jaystand_platform::{Client, Settings};
use miette::Context as _;

/// Returns the client of the platform that the settings name, and creates it on first use. Returns `None` if the
/// settings name no platform.
///
/// All plug-ins share one client, because the budget for calls applies to the whole daemon.
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
