//! The lease on weight orders: only its holder may send them.
//!
//! The lease is one object of the store, changed only by conditional writes. It is renewed only while there is work,
//! because each call to the store has a price. Hosts compare no clocks: the holder measures from the time at which it
//! sent its write, other hosts from the time at which they saw the object change. The clock must include the time that
//! the host was suspended.

use std::time::Duration;

use compact_str::CompactString;
use jaystand_types::{Moment, Version};

/// Another host takes over only after there has been work for this long. A live holder renews within tens of
/// milliseconds.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay between the attempts of hosts to take over, by rank, so that they do not all write at once.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// The same delay when the lease has no holder.
const FREE_RANK_DELAY: Duration = Duration::from_millis(80);
/// Delay before another call to the store, in which the result of the last one is awaited.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Share of the lease's duration, as a fraction, in which the holder relies on it. The rest covers the transmission of
/// an order.
const USABLE_SHARE: (u32, u32) = (2, 3);
/// The holder renews when this share of the usable time is left, as a fraction.
const RENEWAL_SHARE: (u32, u32) = (1, 2);

jaystand_types::common! { data
    /// The value of the lease's object in the store.
    pub struct Record {
        /// Name of the process that holds the lease; empty after a release.
        pub holder: CompactString,
        /// Fencing token, which grows with each change of the holder.
        pub fence: u64,
        /// Grows with each write.
        pub renewal: u64,
    }

    /// The next action of a process.
    pub enum Step {
        /// Do nothing for now.
        Wait,
        /// Read the object.
        Read,
        /// Create the object.
        Create(Record),
        /// Replace the object if it still has this revision.
        Replace(Version, Record),
    }
}

jaystand_types::common! { value
    /// The result of a write.
    pub enum Written {
        /// The write succeeded; the object has this revision.
        Done(Version),
        /// Another process wrote first.
        Conflict,
        /// The write did not take effect.
        Refused,
        /// The write may have taken effect, or may still do so.
        Unknown,
    }
}

/// The lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    name: CompactString,
    /// Time for which a write grants the lease.
    duration: Duration,
    /// The latest known value of the object, with its revision.
    seen: Option<(Version, Record)>,
    /// When the object was last seen to change, or its holder last reported. Other hosts may take over from the holder
    /// when the duration of the lease has passed since then.
    changed_at: Moment,
    /// Whether `seen` is recent enough for a conditional write. Otherwise the object is read first.
    is_current: bool,
    /// Since when there has been work for the holder.
    wanted_since: Option<Moment>,
    /// The write whose result is unknown, with the time at which it was sent.
    pending: Option<(Moment, Record)>,
    /// No call to the store is due before this time.
    not_before: Moment,
    /// Until then this process may rely on the lease, if it is the holder.
    usable_until: Moment,
    /// Fencing token whose holder has abandoned its lease.
    abandoned_fence: Option<u64>,
    /// The fencing token of the last report of a holder, with the time of the report.
    last_report: Option<(u64, Moment)>,
}

impl Lease {
    /// Creates the state for a process. The name must differ between runs of the process.
    #[must_use]
    pub fn new(name: CompactString, duration: Duration) -> Self {
        Self {
            name,
            duration,
            seen: None,
            changed_at: Moment::ZERO,
            is_current: false,
            wanted_since: None,
            pending: None,
            not_before: Moment::ZERO,
            usable_until: Moment::ZERO,
            abandoned_fence: None,
            last_report: None,
        }
    }

    /// Sets whether there is work for the holder.
    pub fn set_wanted(&mut self, now: Moment, wanted: bool) {
        if !wanted {
            self.wanted_since = None;
        } else if self.wanted_since.is_none() {
            self.wanted_since = Some(now);
        }
    }

    /// Records the value of the object in the store.
    pub fn observe(&mut self, now: Moment, object: Option<(Version, Record)>) {
        self.is_current = true;
        let Some((revision, record)) = object else {
            return;
        };
        if self
            .seen
            .as_ref()
            .is_some_and(|(seen, _)| *seen >= revision)
        {
            return;
        }
        // A pending write took effect if the object has its value.
        if let Some((sent, _)) = self.pending.take_if(|(_, written)| *written == record) {
            self.usable_until = self.usable_until.max(sent + self.usable_time());
        }
        if record.holder != self.name {
            self.usable_until = Moment::ZERO;
        }
        // A holder whose reports to other hosts have stopped no longer renews, so its last report counts and not the
        // time at which its last renewal was seen.
        let reported = self.last_report.filter(|(fence, _)| *fence == record.fence);
        self.changed_at = reported.map_or(now, |(_, at)| at.max(self.wanted_since.unwrap_or(now)));
        self.seen = Some((revision, record));
    }

    /// Records the result of the write that the last step requested.
    pub fn record_write(&mut self, now: Moment, result: Written) {
        match result {
            Written::Done(revision) => {
                if let Some((_, record)) = self.pending.clone() {
                    self.observe(now, Some((revision, record)));
                    self.pending = None;
                }
            }
            Written::Conflict => {
                self.pending = None;
                self.is_current = false;
            }
            Written::Refused => {
                self.pending = None;
                self.not_before = now + RETRY_DELAY;
            }
            Written::Unknown => {
                self.is_current = false;
                self.not_before = now + RETRY_DELAY;
            }
        }
    }

    /// Returns the action that is due. `rank` is the number of hosts that try before this one.
    pub fn step(&mut self, now: Moment, rank: u32) -> Step {
        let Some(wanted) = self.wanted_since else {
            return Step::Wait;
        };
        if now < self.not_before {
            return Step::Wait;
        }
        if !self.is_current {
            self.not_before = now + RETRY_DELAY;
            return Step::Read;
        }
        let Some((revision, record)) = self.seen.clone() else {
            if now < wanted + FREE_RANK_DELAY * rank {
                return Step::Wait;
            }
            let first = Record {
                holder: self.name.clone(),
                fence: 1,
                renewal: 1,
            };
            self.begin_write(now, &first);
            return Step::Create(first);
        };
        let is_holder = record.holder == self.name;
        let is_free = record.holder.is_empty() || self.abandoned_fence == Some(record.fence);
        if is_free && !is_holder {
            if now < wanted + FREE_RANK_DELAY * rank {
                return Step::Wait;
            }
        } else if is_holder {
            let left = self.usable_until.saturating_sub(now);
            if left > self.usable_time() * RENEWAL_SHARE.0 / RENEWAL_SHARE.1 {
                return Step::Wait;
            }
        } else {
            let holder_overdue = wanted + HOLDER_TIMEOUT + RANK_DELAY * rank;
            if now < holder_overdue.max(self.changed_at + self.duration + RANK_DELAY * rank) {
                return Step::Wait;
            }
        }
        let next = Record {
            holder: self.name.clone(),
            fence: record.fence + u64::from(!is_holder),
            renewal: record.renewal + 1,
        };
        self.begin_write(now, &next);
        Step::Replace(revision, next)
    }

    /// Releases the lease, so that another host need not wait until it expires. Returns the write that does so.
    pub fn release(&mut self, now: Moment) -> Step {
        let is_holder = self.held_fence(now).is_some();
        self.usable_until = Moment::ZERO;
        let Some((revision, record)) = self.seen.clone().filter(|_| is_holder) else {
            return Step::Wait;
        };
        let released = Record {
            holder: CompactString::default(),
            renewal: record.renewal + 1,
            ..record
        };
        Step::Replace(revision, released)
    }

    /// Records a report in which the holder states that it still has the lease, with the value that it wrote last.
    pub fn observe_holder(&mut self, now: Moment, revision: Version, record: Record) {
        self.last_report = Some((record.fence, now));
        if self.seen.as_ref().is_none_or(|(seen, _)| *seen <= revision) {
            self.seen = Some((revision, record));
            self.changed_at = now;
            self.is_current = true;
        }
    }

    /// Returns the value that this process wrote, with its revision, while it holds the lease.
    #[must_use]
    pub fn held_record(&self, now: Moment) -> Option<(Version, &Record)> {
        self.held_fence(now)?;
        let (revision, record) = self.seen.as_ref()?;
        Some((*revision, record))
    }

    /// Stops using the lease without a write, since the store cannot be reached. Returns the fencing token of the
    /// lease, which another host may take over at once.
    pub fn abandon(&mut self, now: Moment) -> Option<u64> {
        let fence = self.held_fence(now)?;
        self.usable_until = Moment::ZERO;
        self.is_current = false;
        Some(fence)
    }

    /// Records that the holder of a fencing token has abandoned its lease.
    pub fn observe_abandoned(&mut self, fence: u64) {
        self.abandoned_fence = Some(fence);
    }

    /// Records that the object may have changed, so that it is read before the next write.
    pub fn require_read(&mut self) {
        self.is_current = false;
    }

    /// Returns the fencing token, while this process holds the lease.
    #[must_use]
    pub fn held_fence(&self, now: Moment) -> Option<u64> {
        let (_, record) = self.seen.as_ref()?;
        let is_holder = record.holder == self.name && now < self.usable_until;
        is_holder.then_some(record.fence)
    }

    /// Stops using the lease because an engine has seen a greater fencing token.
    pub fn mark_fenced_off(&mut self) {
        self.usable_until = Moment::ZERO;
        self.is_current = false;
    }

    /// Records that a write is sent.
    fn begin_write(&mut self, now: Moment, record: &Record) {
        self.pending = Some((now, record.clone()));
        // The next step waits for the result of this write.
        self.not_before = now + RETRY_DELAY;
    }

    /// Returns how long after a write the holder may rely on the lease.
    fn usable_time(&self) -> Duration {
        self.duration * USABLE_SHARE.0 / USABLE_SHARE.1
    }
}
