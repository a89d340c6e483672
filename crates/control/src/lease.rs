//! A lease with a fencing token, which is stored in one platform object and held by conditional updates.
//!
//! Clocks of different hosts are never compared. A holder counts the time to live, less a margin, from the moment it
//! *sent* the write. Other daemons wait until the object has not changed for the time to live plus the margin.

use std::time::Duration;

use jaystand_types::{HostName, Incarnation, Moment, Version};
use rand::{Rng, RngExt};

/// Number of renewal periods in the time to live. A renewal is due after a third of it, so two renewals may fail.
const RENEWALS_PER_LEASE: u32 = 3;
/// Longest backoff after the first failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after any failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

jaystand_types::common! { value
    /// Durations that govern a lease.
    pub struct Settings {
        /// How long the lease lasts after a write.
        pub time_to_live: Duration,
        /// Margin that the holder subtracts from the time to live and other daemons add to it. It covers pauses between
        /// the check of the lease and its use. It is at least half of `max_delay`, so that orders of a former holder
        /// have arrived before the next holder counts the engines that are loading.
        pub margin: Duration,
        /// Longest time from the check of the lease to the arrival of an order.
        pub max_delay: Duration,
    }

    /// Proof of holding the lease.
    pub struct Grant {
        /// Fencing token, which is greater than that of every former holder.
        pub fence: u64,
        /// End of the grant. From this moment on nothing may be sent.
        pub until: Moment,
        /// Time from which on orders may be sent to engines that ignore the fencing token.
        pub unfenced_from: Moment,
    }

    /// Why a platform call failed.
    pub enum Fault {
        /// The object is not at the expected version.
        Conflict,
        /// No answer arrived. The write may or may not have taken effect.
        Lost,
        /// The call was refused or not sent.
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
    /// The value of the platform object. The names of the fields are part of the stored format.
    pub struct Record {
        /// Name of the holder's host.
        pub holder: HostName,
        /// Run of the holder.
        pub incarnation: Incarnation,
        /// Fencing token.
        pub fence: u64,
        /// Random number by which a writer recognises its own write if the answer is lost.
        pub nonce: u64,
        /// How long the lease lasts after the write, in milliseconds.
        pub time_to_live_ms: u64,
        /// Whether the holder has released the lease.
        pub released: bool,
    }
}

jaystand_types::common! { data
    /// An event for the state machine.
    pub enum Input {
        /// The requested wait is over, or the daemon starts.
        Elapsed,
        /// The object was read; `None` if it does not exist.
        Read(Result<Option<(Version, Record)>, Fault>),
        /// The object was written and is at the given version.
        Wrote(Result<Version, Fault>),
    }

    /// What the caller of the state machine has to do next.
    pub enum Step {
        /// Read the object.
        Read,
        /// Write the object if it is at version `expected`.
        Write {
            /// The version to replace; `None` if the object must not exist.
            expected: Option<Version>,
            /// The new value.
            record: Record,
        },
        /// Do nothing for this long.
        Wait(Duration),
    }
}

/// The state machine by which one daemon competes for a lease and holds it.
#[derive(Clone, Debug)]
pub struct Machine {
    holder: HostName,
    incarnation: Incarnation,
    settings: Settings,
    wanted: bool,
    /// The version that was last read while waiting for the lease, and since when it has been there.
    observed: Option<Observed>,
    /// The last write, until it is known to have taken effect.
    pending: Option<Pending>,
    held: Option<Held>,
    failures: u32,
}

#[derive(Clone, Debug)]
struct Observed {
    version: Version,
    since: Moment,
}

#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    sent_at: Moment,
}

#[derive(Clone, Debug)]
struct Held {
    record: Record,
    version: Version,
    sent_at: Moment,
    acquired_at: Moment,
}

impl Machine {
    /// Creates the state machine of a daemon that does not hold the lease.
    #[must_use]
    pub fn new(holder: HostName, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            holder,
            incarnation,
            settings,
            wanted: false,
            observed: None,
            pending: None,
            held: None,
            failures: 0,
        }
    }

    /// Sets whether this daemon should try to hold the lease. If not, the next step releases a lease that it holds.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Returns the proof that this daemon holds the lease now. Must be called right before each use of the lease.
    #[must_use]
    pub fn grant(&self, now: Moment) -> Option<Grant> {
        let held = self.held.as_ref()?;
        let until =
            (held.sent_at + self.settings.time_to_live).saturating_sub(self.settings.margin);
        let grant = Grant {
            fence: held.record.fence,
            until,
            unfenced_from: held.acquired_at + self.settings.time_to_live + self.settings.max_delay,
        };
        (now < until && !held.record.released).then_some(grant)
    }

    /// Handles an event and returns what to do next.
    pub fn handle(&mut self, now: Moment, input: Input, rng: &mut impl Rng) -> Step {
        match input {
            Input::Elapsed => self.handle_elapsed(now, rng),
            Input::Read(Ok(found)) => {
                self.failures = 0;
                self.handle_read(now, found, rng)
            }
            Input::Wrote(Ok(version)) => {
                self.failures = 0;
                self.complete_write(now, version);
                Step::Wait(self.renewal_period())
            }
            // Either another daemon was faster, or an earlier write whose answer was lost took effect.
            Input::Wrote(Err(Fault::Conflict | Fault::Lost)) => {
                if !self.wanted {
                    self.held = None;
                }
                Step::Read
            }
            Input::Read(Err(_)) | Input::Wrote(Err(Fault::Unavailable)) => self.back_off(rng),
        }
    }

    fn handle_elapsed(&mut self, now: Moment, rng: &mut impl Rng) -> Step {
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
                // This also renews a lapsed lease: the write succeeds only if no other daemon has held it since.
                let (version, record) = (held.version, held.record.clone());
                self.write(now, Some(version), record, rng)
            }
            None if self.wanted => Step::Read,
            None => Step::Wait(self.settings.time_to_live),
        }
    }

    fn handle_read(
        &mut self,
        now: Moment,
        found: Option<(Version, Record)>,
        rng: &mut impl Rng,
    ) -> Step {
        let Some((version, record)) = found else {
            self.held = None;
            return self.acquire(now, None, 0, rng);
        };
        if self.is_pending(&record) {
            self.complete_write(now, version);
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
            // The renewal did not take effect and is repeated.
            let record = held.record.clone();
            return self.write(now, Some(version), record, rng);
        }
        let fence = record.fence;
        let takeover_delay = Duration::from_millis(record.time_to_live_ms) + self.settings.margin;
        let released = record.released;
        let since = match &self.observed {
            Some(observed) if observed.version == version => observed.since,
            _ => now,
        };
        self.observed = Some(Observed { version, since });
        let remaining = (since + takeover_delay).saturating_sub(now);
        if released || remaining.is_zero() {
            return self.acquire(now, Some(version), fence, rng);
        }
        // A random addition keeps several daemons from writing at the same time.
        Step::Wait(remaining.min(self.settings.time_to_live / 2) + jitter(FIRST_BACKOFF, rng))
    }

    /// Writes the record of a new holder, if this daemon should hold the lease.
    fn acquire(
        &mut self,
        now: Moment,
        expected: Option<Version>,
        former_fence: u64,
        rng: &mut impl Rng,
    ) -> Step {
        if !self.wanted {
            return Step::Wait(self.settings.time_to_live);
        }
        let time_to_live = self.settings.time_to_live.as_millis();
        let record = Record {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fence: former_fence + 1,
            nonce: 0,
            time_to_live_ms: u64::try_from(time_to_live).unwrap_or(u64::MAX),
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
            sent_at: now,
        });
        Step::Write { expected, record }
    }

    /// Records that the pending write has taken effect.
    fn complete_write(&mut self, now: Moment, version: Version) {
        let Some(Pending { record, sent_at }) = self.pending.take() else {
            return;
        };
        self.observed = None;
        if record.released {
            self.held = None;
            return;
        }
        let renewed = self
            .held
            .take()
            .filter(|held| held.record.fence == record.fence);
        let acquired_at = renewed.map_or(now, |held| held.acquired_at);
        self.held = Some(Held {
            record,
            version,
            sent_at,
            acquired_at,
        });
    }

    /// Returns whether the found record was written by the pending write.
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

/// Returns a random duration between half of `max` and `max`.
fn jitter(max: Duration, rng: &mut impl Rng) -> Duration {
    max.mul_f64(rng.random_range(0.5..=1.0))
}
