//! Output of the log to standard output, which never blocks and has a bounded number of lines.

use std::{
    io::{self, Write},
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

use std::sync::Mutex;

use log::Level;

/// Size of the bucket: lines that may be written at once after a quiet time, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;
/// Share of the bucket that is reserved for warnings and errors. Lines of lower levels are dropped while no more is
/// left.
const RESERVED_FOR_FAILURES: f64 = 0.4;

/// Lines dropped since the count was last read.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Token bucket that bounds the number of lines.
pub(crate) struct Bucket {
    /// Lines per second.
    rate: f64,
    /// Lines left, and when they were last counted.
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    pub(crate) fn new(lines_per_s: u32) -> Self {
        let rate = f64::from(lines_per_s);
        Self {
            rate,
            state: Mutex::new((rate * BURST_SECONDS, Instant::now())),
        }
    }

    /// Takes one line of a level from the bucket. Returns whether there was one left for the level.
    pub(crate) fn try_take(&self, level: Level) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let burst = self.rate * BURST_SECONDS;
        let now = Instant::now();
        let refilled = now.duration_since(state.1).as_secs_f64() * self.rate;
        *state = ((state.0 + refilled).min(burst), now);
        let reserved = if level <= Level::Warn {
            0.0
        } else {
            burst * RESERVED_FOR_FAILURES
        };
        let allowed = state.0 >= reserved + 1.0;
        if allowed {
            state.0 -= 1.0;
        } else {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Returns the number of lines dropped since the last call, and resets it.
pub(crate) fn take_dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

/// Standard output that drops lines instead of waiting for its reader.
pub(crate) struct Output;

impl Output {
    /// Makes standard output non-blocking.
    pub(crate) fn open() -> io::Result<Self> {
        let stdout = rustix::stdio::stdout();
        let flags = rustix::fs::fcntl_getfl(stdout)?;
        rustix::fs::fcntl_setfl(stdout, flags | rustix::fs::OFlags::NONBLOCK)?;
        Ok(Self)
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stdout = rustix::stdio::stdout();
        let mut written = 0;
        while written < line.len() {
            match rustix::io::write(stdout, &line[written..]) {
                Ok(count) => written += count,
                Err(rustix::io::Errno::INTR) => {}
                // The reader is slow. The rest of the line is lost, and the line is counted as dropped.
                Err(_) => {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
