//! The plug-in registry. Plug-ins register an [`Entry`] at link time, and the kernel starts them stage by stage.

use futures::future::BoxFuture;

use crate::Kernel;

/// The registered plug-ins, in link order.
#[linkme::distributed_slice]
pub static PLUGINS: [Entry];

jaystand_types::common! { value
    /// The stage in which a plug-in starts. Stages start in the order of the variants, each after the one before it
    /// has started, and stop in the reverse order.
    pub enum Stage {
        /// Health, metrics and administration, which answer while the other stages start.
        Admin,
        /// Configuration and peers.
        State,
        /// Backend servers, claims and orders.
        Work,
        /// Listeners for callers.
        Entry,
    }
}

/// The failure of a plug-in to start. The report names the remedy.
pub type StartError = miette::Report;

/// The result of starting a plug-in.
pub type StartResult = Result<Running, StartError>;

/// One registered plug-in.
#[derive(Clone, Copy)]
pub struct Entry {
    /// The unique name, which log messages show and which decides the order within a stage.
    pub name: &'static str,
    /// The stage in which the plug-in starts.
    pub stage: Stage,
    /// Starts the plug-in.
    pub start: fn(Kernel) -> BoxFuture<'static, StartResult>,
}

/// A started plug-in.
pub struct Running {
    shutdown: BoxFuture<'static, ()>,
}

impl Running {
    /// Returns a plug-in that has nothing to finish on shutdown.
    #[must_use]
    pub fn detached() -> Self {
        Self {
            shutdown: Box::pin(async {}),
        }
    }

    /// Returns a plug-in whose `shutdown` finishes its work. `shutdown` is not polled before the daemon drains.
    #[must_use]
    pub fn with_shutdown(shutdown: impl Future<Output = ()> + Send + 'static) -> Self {
        Self {
            shutdown: Box::pin(shutdown),
        }
    }

    pub(crate) fn into_shutdown(self) -> BoxFuture<'static, ()> {
        self.shutdown
    }
}

/// Returns the plug-ins sorted by stage and then by name, so that the order does not depend on linking.
pub(crate) fn sorted_plugins() -> Vec<Entry> {
    let mut entries: Vec<Entry> = PLUGINS.iter().copied().collect();
    entries.sort_by_key(|entry| (entry.stage, entry.name));
    entries
}

/// Registers a plug-in, as in `register!("peer", Stage::State, start)`, where `start` is an
/// `async fn(Kernel) -> StartResult`.
#[macro_export]
macro_rules! register {
    ($name:literal, $stage:expr, $start:path) => {
        #[allow(unsafe_code, reason = "linkme places the entry in a link section")]
        #[$crate::linkme::distributed_slice($crate::PLUGINS)]
        #[linkme(crate = $crate::linkme)]
        static PLUGIN: $crate::plugin::Entry = $crate::plugin::Entry {
            name: $name,
            stage: $stage,
            start: |kernel| ::std::boxed::Box::pin($start(kernel)),
        };
    };
}
