//! The context in which plug-ins start, and the sequence from start to shutdown.

use std::{
    any::{Any, TypeId, type_name},
    collections::HashMap,
    sync::Arc,
    time::Duration,
};

use futures::future::BoxFuture;
use parking_lot::Mutex;
use prometheus::Registry;

use crate::{
    Lifecycle, Phase,
    plugin::{self, StartError},
    timer::Timer,
};

type Services = HashMap<TypeId, Arc<dyn Any + Send + Sync>>;

/// The timer, lifecycle, metrics and services that plug-ins share. Clones refer to the same kernel.
#[derive(Clone)]
pub struct Kernel {
    timer: Timer,
    lifecycle: Lifecycle,
    metrics: Registry,
    services: Arc<Mutex<Services>>,
}

/// The error returned to a plug-in that requires a service that no plug-in has provided yet. Holds the type's name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("service `{0}` is not provided")]
#[diagnostic(help("start the plug-in that provides it in an earlier stage"))]
pub struct MissingService(pub &'static str);

impl Kernel {
    /// Creates a kernel without services.
    ///
    /// # Panics
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new(metrics: Registry) -> Self {
        Self {
            timer: Timer::new(),
            lifecycle: Lifecycle::default(),
            metrics,
            services: Arc::default(),
        }
    }

    /// Returns the timer service.
    #[must_use]
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Returns the lifecycle: the phase and the readiness gates.
    #[must_use]
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Returns the metrics registry of the process.
    #[must_use]
    pub fn metrics(&self) -> &Registry {
        &self.metrics
    }

    /// Provides a service to plug-ins that start later. A second service of the same type replaces the first.
    pub fn provide<T: Any + Send + Sync>(&self, service: Arc<T>) {
        self.services.lock().insert(TypeId::of::<T>(), service);
    }

    /// Returns the service of type `T`.
    ///
    /// # Errors
    /// Fails when no plug-in has provided it yet.
    pub fn require<T: Any + Send + Sync>(&self) -> Result<Arc<T>, MissingService> {
        self.services
            .lock()
            .get(&TypeId::of::<T>())
            .cloned()
            .and_then(|service| service.downcast().ok())
            .ok_or(MissingService(type_name::<T>()))
    }

    /// Starts every registered plug-in, serves until `stop` completes, then shuts down.
    ///
    /// Once `stop` completes, the daemon reports that it is not ready, keeps accepting requests for `lame_duck`, and
    /// then stops the plug-ins in reverse start order. The plug-ins share the time `drain`. Those that have not
    /// finished when it ends are abandoned.
    ///
    /// # Errors
    /// Returns the failure of the first plug-in that does not start, after stopping those that started before it.
    pub async fn run(
        &self,
        lame_duck: Duration,
        drain: Duration,
        stop: impl Future<Output = ()>,
    ) -> Result<(), StartError> {
        let mut running: Vec<(&'static str, BoxFuture<'static, ()>)> = Vec::new();
        for entry in plugin::sorted_plugins() {
            match (entry.start)(self.clone()).await {
                Ok(started) => running.push((entry.name, started.into_shutdown())),
                Err(error) => {
                    self.stop_plugins(running, drain).await;
                    return Err(error.wrap_err(format!("plug-in `{}` did not start", entry.name)));
                }
            }
        }
        self.lifecycle.advance(Phase::Serving);
        stop.await;
        self.lifecycle.advance(Phase::LameDuck);
        tokio::time::sleep(lame_duck).await;
        self.stop_plugins(running, drain).await;
        Ok(())
    }

    /// Stops the plug-ins in reverse start order, within `drain` in total.
    async fn stop_plugins(
        &self,
        running: Vec<(&'static str, BoxFuture<'static, ()>)>,
        drain: Duration,
    ) {
        self.lifecycle.advance(Phase::Draining);
        let deadline = tokio::time::Instant::now() + drain;
        for (name, shutdown) in running.into_iter().rev() {
            if tokio::time::timeout_at(deadline, shutdown).await.is_err() {
                log::warn!("plug-in {name} had not finished when the drain time ended");
            }
        }
        self.lifecycle.advance(Phase::Stopped);
    }
}
