//! A lease with a fencing number, held in one platform object through conditional updates.
//!
//! No clock is compared between hosts. A holder trusts its lease from the moment it *sent* the write, less a
//! margin; anybody else waits until the object has not changed for the whole time plus the margin.

use std::time::Duration;

use jaystand_types::{HostName, Incarnation, Moment, Version};
use rand::{Rng, RngExt};

/// Renewals are due when a third of the time has passed, so that two may fail.
const RENEWALS_PER_LEASE: u32 = 3;
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

jaystand_types::common! { value
    /// Times of a lease.
    pub struct Settings {
        /// How long a write keeps the lease.
        pub time_to_live: Duration,
        /// Taken off by the holder and added by everybody else. Covers pauses between the check of the lease
        /// and the use of it. At least half of `max_delay`, so that orders of a former holder have arrived
        /// before the next one counts what is loading.
        pub margin: Duration,
        /// Longest time from the check of the lease to the arrival of an order.
        pub max_delay: Duration,
    }

    /// Proof of holding the lease.
    pub struct Grant {
        /// Fencing number; greater than that of every former holder.
        pub fence: u64,
        /// Nothing may be sent from this moment on.
        pub until: Moment,
        /// From when on engines that ignore the fencing number may get orders.
        pub unfenced_from: Moment,
    }

    /// Why a platform call failed.
    pub enum Fault {
        /// The object has another version.
        Conflict,
        /// No answer: the write may or may not have taken effect.
        Lost,
        /// Refused or not sent.
        Unavailable,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            time_to_live: Duration::from_secs(10),
            margin: Duration::from_millis(2_500),
            max_delay: Duration::from_secs(5),
        }
    }
}

jaystand_types::common! { message
    /// The value of the object.
    pub struct Record {
        /// Name of the holder's host.
        pub holder: HostName,
        /// The holder's run.
        pub incarnation: Incarnation,
        /// Fencing number.
        pub fence: u64,
        /// Identifies the write, to recognise it when its answer is lost.
        pub nonce: u64,
        /// How long the write keeps the lease, in milliseconds.
        pub time_to_live_ms: u64,
        /// The holder has given it up.
        pub released: bool,
    }
}

jaystand_types::common! { data
    /// What happened.
    pub enum Input {
        /// The time asked for has passed, or the daemon starts.
        Elapsed,
        /// The object was read.
        Read(Result<Option<(Version, Record)>, Fault>),
        /// The object was written.
        Wrote(Result<Version, Fault>),
    }

    /// What to do next.
    pub enum Step {
        /// Read the object.
        Read,
        /// Write the object if its version is still `expected`; none means that it must not exist.
        Write {
            /// The version to replace.
            expected: Option<Version>,
            /// The new value.
            record: Record,
        },
        /// Do nothing for this long.
        Wait(Duration),
    }
}

/// One daemon's part in a lease.
#[derive(Clone, Debug)]
pub struct Machine {
    holder: HostName,
    incarnation: Incarnation,
    settings: Settings,
    wanted: bool,
    seen: Option<Seen>,
    pending: Option<Pending>,
    held: Option<Held>,
    failures: u32,
}

#[derive(Clone, Debug)]
struct Seen {
    version: Version,
    since: Moment,
}

#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    sent: Moment,
}

#[derive(Clone, Debug)]
struct Held {
    record: Record,
    version: Version,
    sent: Moment,
    acquired: Moment,
}

impl Machine {
    /// A daemon that holds nothing.
    #[must_use]
    pub fn new(holder: HostName, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            holder,
            incarnation,
            settings,
            wanted: false,
            seen: None,
            pending: None,
            held: None,
            failures: 0,
        }
    }

    /// Whether this daemon should try to hold the lease. One that should not lets it go at the next step.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// The proof of holding the lease now; to be asked for right before each use.
    #[must_use]
    pub fn grant(&self, now: Moment) -> Option<Grant> {
        let held = self.held.as_ref()?;
        let until = (held.sent + self.settings.time_to_live).saturating_sub(self.settings.margin);
        let grant = Grant {
            fence: held.record.fence,
            until,
            unfenced_from: held.acquired + self.settings.time_to_live + self.settings.max_delay,
        };
        (now < until && !held.record.released).then_some(grant)
    }

    /// Advances by one event.
    pub fn handle(&mut self, now: Moment, input: Input, rng: &mut impl Rng) -> Step {
        match input {
            Input::Elapsed => self.elapsed(now, rng),
            Input::Read(Ok(found)) => {
                self.failures = 0;
                self.found(now, found, rng)
            }
            Input::Wrote(Ok(version)) => {
                self.failures = 0;
                self.written(now, version);
                Step::Wait(self.renewal_period())
            }
            // Either somebody else was faster or an earlier write whose answer was lost took effect.
            Input::Wrote(Err(Fault::Conflict | Fault::Lost)) => {
                if !self.wanted {
                    self.held = None;
                }
                Step::Read
            }
            Input::Read(Err(_)) | Input::Wrote(Err(Fault::Unavailable)) => self.back_off(rng),
        }
    }

    fn elapsed(&mut self, now: Moment, rng: &mut impl Rng) -> Step {
        match &self.held {
            Some(held) if !self.wanted => {
                let released = Record {
                    released: true,
                    ..held.record.clone()
                };
                let version = held.version;
                self.held = None;
                self.write(now, Some(version), released, rng)
            }
            Some(held) => {
                // Also after the lease has lapsed: the write succeeds only if nobody else has held it since.
                let (version, record) = (held.version, held.record.clone());
                self.write(now, Some(version), record, rng)
            }
            None if self.wanted => Step::Read,
            None => Step::Wait(self.settings.time_to_live),
        }
    }

    fn found(&mut self, now: Moment, found: Option<(Version, Record)>, rng: &mut impl Rng) -> Step {
        let Some((version, record)) = found else {
            self.held = None;
            return self.take(now, None, 0, rng);
        };
        if self.is_pending(&record) {
            self.written(now, version);
            return Step::Wait(self.renewal_period());
        }
        if self
            .held
            .as_ref()
            .is_some_and(|held| held.version != version)
        {
            self.held = None;
        }
        if !self.wanted {
            return Step::Wait(self.settings.time_to_live);
        }
        if let Some(held) = &self.held {
            // The renewal did not take effect.
            let record = held.record.clone();
            return self.write(now, Some(version), record, rng);
        }
        let fence = record.fence;
        let patience = Duration::from_millis(record.time_to_live_ms) + self.settings.margin;
        let released = record.released;
        let since = match &self.seen {
            Some(seen) if seen.version == version => seen.since,
            _ => now,
        };
        self.seen = Some(Seen { version, since });
        let left = (since + patience).saturating_sub(now);
        if released || left.is_zero() {
            return self.take(now, Some(version), fence, rng);
        }
        // Waits a little longer at random, so that several daemons do not write at once.
        Step::Wait(left.min(self.settings.time_to_live / 2) + jitter(FIRST_BACKOFF, rng))
    }

    fn take(
        &mut self,
        now: Moment,
        expected: Option<Version>,
        former_fence: u64,
        rng: &mut impl Rng,
    ) -> Step {
        if !self.wanted {
            return Step::Wait(self.settings.time_to_live);
        }
        let ttl = self.settings.time_to_live.as_millis();
        let record = Record {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fence: former_fence + 1,
            nonce: 0,
            time_to_live_ms: u64::try_from(ttl).unwrap_or(u64::MAX),
            released: false,
        };
        self.write(now, expected, record, rng)
    }

    fn write(
        &mut self,
        now: Moment,
        expected: Option<Version>,
        mut record: Record,
        rng: &mut impl Rng,
    ) -> Step {
        record.nonce = rng.random();
        self.pending = Some(Pending {
            record: record.clone(),
            sent: now,
        });
        Step::Write { expected, record }
    }

    fn written(&mut self, now: Moment, version: Version) {
        let Some(Pending { record, sent }) = self.pending.take() else {
            return;
        };
        self.seen = None;
        if record.released {
            self.held = None;
            return;
        }
        let renewed = self
            .held
            .take()
            .filter(|held| held.record.fence == record.fence);
        let acquired = renewed.map_or(now, |held| held.acquired);
        self.held = Some(Held {
            record,
            version,
            sent,
            acquired,
        });
    }

    fn is_pending(&self, found: &Record) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.record == *found)
    }

    fn renewal_period(&self) -> Duration {
        self.settings.time_to_live / RENEWALS_PER_LEASE
    }

    fn back_off(&mut self, rng: &mut impl Rng) -> Step {
        let backoff = FIRST_BACKOFF * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        Step::Wait(jitter(backoff.min(MAX_BACKOFF), rng))
    }
}

/// Between half of `time` and `time`.
fn jitter(time: Duration, rng: &mut impl Rng) -> Duration {
    time.mul_f64(rng.random_range(0.5..=1.0))
}
