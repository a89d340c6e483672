//! The context that plug-ins start in, and the sequence from start to shutdown.

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

/// What plug-ins share. Clones refer to the same kernel.
#[derive(Clone)]
pub struct Kernel {
    timer: Timer,
    lifecycle: Lifecycle,
    metrics: Registry,
    services: Arc<Mutex<Services>>,
}

/// A plug-in asked for a service that no earlier plug-in provides.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("service `{0}` is not provided")]
#[diagnostic(help("start the plug-in that provides it in an earlier stage"))]
pub struct MissingService(pub &'static str);

impl Kernel {
    /// A kernel without services.
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

    /// The timer service.
    #[must_use]
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Phase and readiness.
    #[must_use]
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// The metrics registry of the process.
    #[must_use]
    pub fn metrics(&self) -> &Registry {
        &self.metrics
    }

    /// Offers a service to plug-ins that start later. A second service of the type replaces the first.
    pub fn provide<T: Any + Send + Sync>(&self, service: Arc<T>) {
        self.services.lock().insert(TypeId::of::<T>(), service);
    }

    /// The service of this type.
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

    /// Starts every registered plug-in, serves until `stop` completes, then drains.
    ///
    /// On `stop` the daemon reports not ready, keeps accepting for `lame_duck`, then stops the
    /// plug-ins in reverse start order. Plug-ins that have not finished after `drain` in all are abandoned.
    ///
    /// # Errors
    /// Returns the first plug-in's failure to start; those that started before it are stopped.
    pub async fn run(
        &self,
        lame_duck: Duration,
        drain: Duration,
        stop: impl Future<Output = ()>,
    ) -> Result<(), StartError> {
        let mut running: Vec<(&'static str, BoxFuture<'static, ()>)> = Vec::new();
        for entry in plugin::in_start_order() {
            match (entry.start)(self.clone()).await {
                Ok(started) => running.push((entry.name, started.into_stop())),
                Err(error) => {
                    self.finish(running, drain).await;
                    return Err(error.wrap_err(format!("plug-in `{}` did not start", entry.name)));
                }
            }
        }
        self.lifecycle.advance(Phase::Serving);
        stop.await;
        self.lifecycle.advance(Phase::LameDuck);
        tokio::time::sleep(lame_duck).await;
        self.finish(running, drain).await;
        Ok(())
    }

    async fn finish(&self, running: Vec<(&'static str, BoxFuture<'static, ()>)>, drain: Duration) {
        self.lifecycle.advance(Phase::Draining);
        let deadline = tokio::time::Instant::now() + drain;
        for (name, stop) in running.into_iter().rev() {
            if tokio::time::timeout_at(deadline, stop).await.is_err() {
                log::warn!("plug-in {name} had not finished when the drain time ended");
            }
        }
        self.lifecycle.advance(Phase::Stopped);
    }
}
