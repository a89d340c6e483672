//! The timer service of a process: periodic ticks and single wake-ups.
//!
//! A process takes its time from one service, so that tests can run it on tokio's paused clock.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use jaystand_types::Moment;
use parking_lot::Mutex;
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

/// A handle to the timer service. Clones share one driver task, which stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Timer {
    shared: Arc<Shared>,
    _driver: Arc<Driver>,
}

/// A subscription to ticks. Ticks that fall due while the subscriber is busy are merged into one.
#[derive(Debug)]
pub struct Subscription {
    wake: Arc<Wake>,
    timer: Timer,
}

#[derive(Debug)]
struct Shared {
    epoch: Instant,
    queue: Mutex<BinaryHeap<Reverse<Entry>>>,
    /// Notified when an entry is added, since the driver may have to wake earlier.
    entry_added: Notify,
}

/// The driver task, which is aborted on drop.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

/// The state that a subscription shares with its queue entry.
#[derive(Debug, Default)]
struct Wake {
    tick: Notify,
    cancelled: AtomicBool,
}

/// A queued tick. Entries are ordered by their due time.
#[derive(Debug)]
struct Entry {
    due: Instant,
    period: Option<Duration>,
    wake: Arc<Wake>,
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.wake.cancelled.store(true, Ordering::Relaxed);
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}

impl Timer {
    /// Starts the service. Its time counts from now.
    ///
    /// # Panics
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new() -> Self {
        let shared = Arc::new(Shared {
            epoch: Instant::now(),
            queue: Mutex::new(BinaryHeap::new()),
            entry_added: Notify::new(),
        });
        let driver = tokio::spawn(run_driver(Arc::clone(&shared)));
        Self {
            shared,
            _driver: Arc::new(Driver(driver)),
        }
    }

    /// Returns the monotonic time since the service started.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.shared.epoch.elapsed()
    }

    /// Subscribes to a tick every `period`. The first tick comes one period from now.
    #[must_use]
    pub fn every(&self, period: Duration) -> Subscription {
        self.subscribe(Instant::now() + period, Some(period))
    }

    /// Subscribes to a single tick at `moment`, which comes immediately if `moment` has passed.
    #[must_use]
    pub fn wake_at(&self, moment: Moment) -> Subscription {
        self.subscribe(self.shared.epoch + moment, None)
    }

    fn subscribe(&self, due: Instant, period: Option<Duration>) -> Subscription {
        let wake = Arc::new(Wake::default());
        self.shared.queue.lock().push(Reverse(Entry {
            due,
            period,
            wake: Arc::clone(&wake),
        }));
        self.shared.entry_added.notify_one();
        Subscription {
            wake,
            timer: self.clone(),
        }
    }
}

impl Subscription {
    /// Waits for the next tick, and returns the time at which the wait ended.
    pub async fn tick(&mut self) -> Moment {
        self.wake.tick.notified().await;
        self.timer.now()
    }
}

async fn run_driver(shared: Arc<Shared>) {
    loop {
        let next_due = fire_due(&shared, Instant::now());
        match next_due {
            Some(due) => {
                tokio::select! {
                    () = tokio::time::sleep_until(due) => {}
                    () = shared.entry_added.notified() => {}
                }
            }
            None => shared.entry_added.notified().await,
        }
    }
}

/// Wakes every subscriber whose tick is due, and returns the time at which the next tick is due.
fn fire_due(shared: &Shared, now: Instant) -> Option<Instant> {
    let mut queue = shared.queue.lock();
    while let Some(Reverse(entry)) = queue.peek() {
        if entry.due > now && !entry.wake.cancelled.load(Ordering::Relaxed) {
            return Some(entry.due);
        }
        let Some(Reverse(mut entry)) = queue.pop() else {
            break;
        };
        if entry.wake.cancelled.load(Ordering::Relaxed) {
            continue;
        }
        entry.wake.tick.notify_one();
        if let Some(period) = entry.period {
            // A process that was suspended skips the ticks that it missed.
            entry.due = (entry.due + period).max(now);
            queue.push(Reverse(entry));
        }
    }
    None
}
