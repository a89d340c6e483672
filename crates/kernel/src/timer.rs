//! One timer service a process. Parts subscribe to periodic ticks or ask for a wake-up, so that a
//! process has one place that knows the time and tests can run it on a paused clock.

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

/// The timer service. Clones share one driver task, which stops with the last clone.
#[derive(Clone, Debug)]
pub struct Timer {
    shared: Arc<Shared>,
    _driver: Arc<Driver>,
}

/// A subscription to ticks. Ticks that are due while the subscriber is busy are merged into one.
#[derive(Debug)]
pub struct Subscription {
    wake: Arc<Wake>,
    timer: Timer,
}

#[derive(Debug)]
struct Shared {
    epoch: Instant,
    queue: Mutex<BinaryHeap<Reverse<Entry>>>,
    changed: Notify,
}

#[derive(Debug)]
struct Driver(JoinHandle<()>);

#[derive(Debug, Default)]
struct Wake {
    due: Notify,
    cancelled: AtomicBool,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
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
        self.at == other.at
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
        self.at.cmp(&other.at)
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}

impl Timer {
    /// Starts the service; time zero is now.
    ///
    /// # Panics
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new() -> Self {
        let shared = Arc::new(Shared {
            epoch: Instant::now(),
            queue: Mutex::new(BinaryHeap::new()),
            changed: Notify::new(),
        });
        let driver = tokio::spawn(drive(Arc::clone(&shared)));
        Self {
            shared,
            _driver: Arc::new(Driver(driver)),
        }
    }

    /// Monotonic time since the service started.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.shared.epoch.elapsed()
    }

    /// Ticks every `period`, for the first time one period from now.
    #[must_use]
    pub fn every(&self, period: Duration) -> Subscription {
        self.subscribe(Instant::now() + period, Some(period))
    }

    /// Ticks once at `moment`, at once if it has passed.
    #[must_use]
    pub fn wake_at(&self, moment: Moment) -> Subscription {
        self.subscribe(self.shared.epoch + moment, None)
    }

    fn subscribe(&self, at: Instant, period: Option<Duration>) -> Subscription {
        let wake = Arc::new(Wake::default());
        self.shared.queue.lock().push(Reverse(Entry {
            at,
            period,
            wake: Arc::clone(&wake),
        }));
        self.shared.changed.notify_one();
        Subscription {
            wake,
            timer: self.clone(),
        }
    }
}

impl Subscription {
    /// Waits for the next tick and returns the time of the return.
    pub async fn tick(&mut self) -> Moment {
        self.wake.due.notified().await;
        self.timer.now()
    }
}

async fn drive(shared: Arc<Shared>) {
    loop {
        let next = fire_due(&shared, Instant::now());
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.changed.notified() => {}
                }
            }
            None => shared.changed.notified().await,
        }
    }
}

/// Wakes every due subscriber and returns when the next one is due.
fn fire_due(shared: &Shared, now: Instant) -> Option<Instant> {
    let mut queue = shared.queue.lock();
    while let Some(Reverse(entry)) = queue.peek() {
        if entry.at > now && !entry.wake.cancelled.load(Ordering::Relaxed) {
            return Some(entry.at);
        }
        let Some(Reverse(mut entry)) = queue.pop() else {
            break;
        };
        if entry.wake.cancelled.load(Ordering::Relaxed) {
            continue;
        }
        entry.wake.due.notify_one();
        if let Some(period) = entry.period {
            // Skips the ticks that a paused process has missed.
            entry.at = (entry.at + period).max(now);
            queue.push(Reverse(entry));
        }
    }
    None
}
