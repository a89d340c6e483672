//! The plug-in registry: plug-ins add an [`Entry`] at link time and the kernel starts them in stage order.

use futures::future::BoxFuture;

use crate::Kernel;

/// Every registered plug-in.
#[linkme::distributed_slice]
pub static PLUGINS: [Entry];

jaystand_types::common! { value
    /// When a plug-in starts; a stage starts after the one before it has started, and stops before it.
    pub enum Stage {
        /// Health, metrics and administration: answers while everything else starts.
        Admin,
        /// Configuration and peers.
        State,
        /// Backend servers, claims and orders.
        Work,
        /// Listeners for callers.
        Entry,
    }
}

/// A failure to start; the report names the remedy.
pub type StartError = miette::Report;

/// What a plug-in's start returns.
pub type StartResult = Result<Running, StartError>;

/// One registered plug-in.
#[derive(Clone, Copy)]
pub struct Entry {
    /// Unique name, used in logs and for the order within a stage.
    pub name: &'static str,
    /// When it starts.
    pub stage: Stage,
    /// Starts it.
    pub start: fn(Kernel) -> BoxFuture<'static, StartResult>,
}

/// A started plug-in.
pub struct Running {
    stop: BoxFuture<'static, ()>,
}

impl Running {
    /// A plug-in that has nothing to finish on shutdown.
    #[must_use]
    pub fn detached() -> Self {
        Self {
            stop: Box::pin(async {}),
        }
    }

    /// A plug-in whose `stop` finishes its work; it is polled once the daemon drains.
    #[must_use]
    pub fn with_shutdown(stop: impl Future<Output = ()> + Send + 'static) -> Self {
        Self {
            stop: Box::pin(stop),
        }
    }

    pub(crate) fn into_stop(self) -> BoxFuture<'static, ()> {
        self.stop
    }
}

/// The plug-ins in start order: by stage, then by name, so that the order does not depend on linking.
pub(crate) fn in_start_order() -> Vec<Entry> {
    let mut entries: Vec<Entry> = PLUGINS.iter().copied().collect();
    entries.sort_by_key(|entry| (entry.stage, entry.name));
    entries
}

/// Registers a plug-in: `register!("peer", Stage::State, start)` where `start` is
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
