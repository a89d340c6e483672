//! Restarts of tasks that panic.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{task::LocalSet, time::sleep};

/// Guards against a process that goes on without a task that has panicked. The task starts again, each panic and each
/// new start is reported, and a task that ends without a panic isn't started again.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_starts_again() {
    let runs = Rc::new(Cell::new(0));
    let down = Rc::new(Cell::new(0));
    let max_down = Rc::new(Cell::new(0));
    let task = {
        let runs = Rc::clone(&runs);
        move || {
            let run = runs.get() + 1;
            runs.set(run);
            async move {
                sleep(Duration::from_millis(10)).await;
                assert!(run >= 4, "panic of run {run}");
            }
        }
    };
    let report = {
        let (down, max_down) = (Rc::clone(&down), Rc::clone(&max_down));
        move |ended: bool| {
            down.set(down.get() + if ended { 1 } else { -1 });
            max_down.set(max_down.get().max(down.get()));
        }
    };
    LocalSet::new()
        .run_until(async move {
            jaystand_gateway::restart_on_panic("test", task, report);
            sleep(Duration::from_secs(60)).await;
        })
        .await;
    assert_eq!((runs.get(), down.get(), max_down.get()), (4, 0, 1));
}
