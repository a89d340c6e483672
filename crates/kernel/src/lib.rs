//! The kernel: what every plug-in of a daemon shares, and the order in which plug-ins start and stop.
//!
//! Plug-ins register themselves in [`PLUGINS`] at link time. The registry is consulted at start-up only; nothing here
//! lies on the request path.

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
