//! The kernel holds the services that all plug-ins of a daemon share, and starts and stops the plug-ins in order.
//!
//! Plug-ins register themselves in [`PLUGINS`] at link time. The registry is read at start-up only. Nothing in this
//! crate is on the request path.

mod kernel;
mod lifecycle;
mod logging;
pub mod plugin;
pub mod timer;

pub use kernel::{Kernel, MissingService};
pub use lifecycle::{Gate, Lifecycle, Phase};
pub use logging::{
    LoggingError, install as install_logging, install_with as install_logging_with,
    set_level as set_log_level,
};
pub use plugin::PLUGINS;

#[doc(hidden)]
pub use linkme;
