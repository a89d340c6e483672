//! Keeps the parts of the process running that run for as long as it does.
//!
//! A panic ends one task. A request that it ends is closed without an answer; a part of the process that it ends must
//! start again, or the process would go on without it and still call itself ready.

use std::{future::Future, panic, time::Duration};

use tokio::{task::spawn_local, time::sleep};

/// Pause before a part starts again, doubled after each further panic.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Runs a part, and again whenever it panics. `report` learns of each end (`true`) and of each new start (`false`).
pub fn restart_on_panic<F>(
    name: &'static str,
    mut make: impl FnMut() -> F + 'static,
    report: impl Fn(bool) + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        let mut pause = FIRST_PAUSE;
        while let Err(end) = spawn_local(make()).await {
            if !end.is_panic() {
                return;
            }
            report(true);
            log::error!(part = name, pause_ms = pause.as_millis(); "a part of the process has panicked and starts again");
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
            report(false);
        }
    });
}

/// Writes panics to the log, beside what the process does about them.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string);
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let message = text.unwrap_or("no message");
        log::error!(place = place.unwrap_or_default(); "panic: {message}");
    }));
}
