//! Parts of the process that panic.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{task::LocalSet, time::sleep};

/// Guards against a process that goes on blind after a panic: the part starts again, each end and each new start is
/// reported, and a part that ends by itself stays ended.
#[tokio::test(start_paused = true)]
async fn a_part_that_panics_starts_again() {
    let runs = Rc::new(Cell::new(0));
    let down = Rc::new(Cell::new(0));
    let most_down = Rc::new(Cell::new(0));
    let part = {
        let runs = Rc::clone(&runs);
        move || {
            let run = runs.get() + 1;
            runs.set(run);
            async move {
                sleep(Duration::from_millis(10)).await;
                assert!(run >= 4, "the fault of run {run}");
            }
        }
    };
    let report = {
        let (down, most_down) = (Rc::clone(&down), Rc::clone(&most_down));
        move |ended: bool| {
            down.set(down.get() + if ended { 1 } else { -1 });
            most_down.set(most_down.get().max(down.get()));
        }
    };
    LocalSet::new()
        .run_until(async move {
            jaystand_gateway::restart_on_panic("test", part, report);
            sleep(Duration::from_secs(60)).await;
        })
        .await;
    assert_eq!((runs.get(), down.get(), most_down.get()), (4, 0, 1));
}
