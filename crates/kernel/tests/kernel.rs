//! Tests of the timer service, the order of start and shutdown, and readiness.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use jaystand_kernel::{
    Kernel, Phase,
    plugin::{Running, Stage, StartResult},
    timer::Timer,
};
use prometheus::Registry;

/// Records what the plug-ins do, in order.
#[derive(Default)]
struct Journal(Mutex<Vec<&'static str>>);

impl Journal {
    fn record(&self, line: &'static str) {
        self.0.lock().expect("journal").push(line);
    }
}

mod late {
    use super::*;
    jaystand_kernel::register!("late", Stage::Entry, start);

    async fn start(kernel: Kernel) -> StartResult {
        let journal = kernel.require::<Journal>()?;
        journal.record("late started");
        Ok(Running::with_shutdown(async move {
            journal.record("late stopped");
        }))
    }
}

mod early {
    use super::*;
    jaystand_kernel::register!("early", Stage::Admin, start);

    async fn start(kernel: Kernel) -> StartResult {
        let journal = kernel.require::<Journal>()?;
        journal.record("early started");
        kernel.lifecycle().add_gate("early").set_open(true);
        Ok(Running::with_shutdown(async move {
            journal.record("early stopped");
        }))
    }
}

// Guards against a wrong start or stop order. A listener that starts before its configuration would answer with errors.
#[tokio::test(start_paused = true)]
async fn plugins_start_by_stage_and_stop_in_reverse() {
    let kernel = Kernel::new(Registry::new());
    let journal = Arc::new(Journal::default());
    kernel.provide(Arc::clone(&journal));
    let lifecycle = kernel.lifecycle().clone();
    let stop = async move {
        assert!(lifecycle.not_ready_reasons().is_empty());
        lifecycle.wait_for(Phase::Serving).await;
    };
    kernel
        .run(Duration::from_secs(1), Duration::from_secs(1), stop)
        .await
        .expect("plug-ins start");
    let lines = journal.0.lock().expect("journal").clone();
    assert_eq!(
        lines,
        [
            "early started",
            "late started",
            "late stopped",
            "early stopped"
        ]
    );
    assert_eq!(kernel.lifecycle().not_ready_reasons(), ["shutting down"]);
}

// Guards against a start-up failure that does not say which service is missing.
#[tokio::test(start_paused = true)]
async fn a_missing_service_is_named() {
    let kernel = Kernel::new(Registry::new());
    let error = kernel
        .run(Duration::ZERO, Duration::ZERO, async {})
        .await
        .expect_err("no journal");
    assert!(format!("{error:?}").contains("Journal"), "{error:?}");
}

// Guards against a process that replays, after a suspension, every tick that it missed.
#[tokio::test(start_paused = true)]
async fn missed_ticks_are_merged() {
    let timer = Timer::new();
    let mut ticks = timer.every(Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(105)).await;
    let mut received = 0;
    while tokio::time::timeout(Duration::from_millis(1), ticks.tick())
        .await
        .is_ok()
    {
        received += 1;
    }
    assert_eq!(received, 1);
}

// Guards against a wake-up that comes early, waits behind a later one or comes twice.
#[tokio::test(start_paused = true)]
async fn a_wake_up_comes_at_its_time_and_once() {
    let timer = Timer::new();
    let mut later = timer.wake_at(Duration::from_millis(50));
    let mut sooner = timer.wake_at(Duration::from_millis(20));
    assert!(sooner.tick().await >= Duration::from_millis(20));
    assert!(later.tick().await >= Duration::from_millis(50));
    let again = tokio::time::timeout(Duration::from_secs(5), later.tick()).await;
    assert!(again.is_err());
}
