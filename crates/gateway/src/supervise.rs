//! Restarts the tasks that must run for as long as the process does.
//!
//! A panic ends one task. If the task served a request, the request is closed without an answer. A task that must
//! always run is started again; otherwise the process would go on without it and still report that it is ready.

use std::{future::Future, panic, time::Duration};

use tokio::{task::spawn_local, time::sleep};

/// Pause before a task starts again, doubled after each further panic.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a task starts again.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Runs a task, and runs it again whenever it panics. Calls `report` with `true` after each panic and with `false`
/// before each new start.
pub fn restart_on_panic<F>(
    name: &'static str,
    mut start: impl FnMut() -> F + 'static,
    report: impl Fn(bool) + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        let mut pause = FIRST_PAUSE;
        while let Err(error) = spawn_local(start()).await {
            if !error.is_panic() {
                return;
            }
            report(true);
            log::error!(part = name, pause_ms = pause.as_millis();
                "a part of the process has panicked and starts again");
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
            report(false);
        }
    });
}

/// Installs a panic hook that writes panics to the log.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string);
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let message = text.unwrap_or("no message");
        log::error!(place = location.unwrap_or_default(); "panic: {message}");
    }));
}
