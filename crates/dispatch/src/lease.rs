//! The lease on weight orders: one host at a time may give them.
//!
//! The lease is one object of the store, written under the condition that nobody else has written it. It is
//! renewed only while there is work, because each call to the store has a price. No clock is compared between
//! hosts: a holder counts from the moment at which it sent its write, anybody else from the moment at which it
//! saw the object change. The times passed in must include the time that the host was suspended.

use std::time::Duration;

use compact_str::CompactString;
use jaystand_types::{Moment, Version};

/// Another host takes over after work has been left lying for this long. A live holder renews within tens of
/// milliseconds.
const HOLDER_PATIENCE: Duration = Duration::from_millis(700);
/// Hosts try one after the other, this far apart, so that they do not all write at once.
const RANK_STEP: Duration = Duration::from_millis(250);
/// Without any holder, hosts try this far apart.
const FIRST_RANK_STEP: Duration = Duration::from_millis(80);
/// A write that failed or whose answer was lost is tried again after this time.
const RETRY: Duration = Duration::from_millis(300);
/// Part of the lease's time during which its holder trusts it: the rest covers the way of an order.
const TRUSTED_PART: (u32, u32) = (2, 3);
/// The holder renews when this part of the trusted time is left.
const RENEWED_PART: (u32, u32) = (1, 2);

jaystand_types::common! { data
    /// The value of the object.
    pub struct Record {
        /// The process that holds the lease; empty when it was given up.
        pub holder: CompactString,
        /// Fencing number, which grows with each change of the holder.
        pub fence: u64,
        /// Grows with each write of a holder.
        pub renewal: u64,
    }

    /// What to do.
    pub enum Step {
        /// Nothing for now.
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
        /// Done; the object has this revision.
        Done(Version),
        /// Somebody else wrote first.
        Conflict,
        /// Not done.
        Refused,
        /// It may or may not have been done, or be done later.
        Unknown,
    }
}

/// The lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    name: CompactString,
    time: Duration,
    seen: Option<(Version, Record)>,
    changed: Moment,
    known: bool,
    wanted_since: Option<Moment>,
    pending: Option<(Moment, Record)>,
    not_before: Moment,
    trusted_until: Moment,
    /// Fencing number whose holder has abandoned its lease.
    free_fence: Option<u64>,
    /// When the holder of a fencing number was last heard.
    heard: Option<(u64, Moment)>,
}

impl Lease {
    /// The lease for a process of this name, which must differ between runs of the process.
    #[must_use]
    pub fn new(name: CompactString, time: Duration) -> Self {
        Self {
            name,
            time,
            seen: None,
            changed: Moment::ZERO,
            known: false,
            wanted_since: None,
            pending: None,
            not_before: Moment::ZERO,
            trusted_until: Moment::ZERO,
            free_fence: None,
            heard: None,
        }
    }

    /// States whether there is work for the holder.
    pub fn set_wanted(&mut self, now: Moment, wanted: bool) {
        if !wanted {
            self.wanted_since = None;
        } else if self.wanted_since.is_none() {
            self.wanted_since = Some(now);
        }
    }

    /// Takes in the object as the store holds it.
    pub fn observe(&mut self, now: Moment, object: Option<(Version, Record)>) {
        self.known = true;
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
        // An unanswered write of this process is settled by what the object holds.
        if let Some((sent, _)) = self.pending.take_if(|(_, written)| *written == record) {
            self.trusted_until = self.trusted_until.max(sent + self.trusted());
        }
        if record.holder != self.name {
            self.trusted_until = Moment::ZERO;
        }
        // A holder that reports to the other hosts and has fallen silent since does not renew any more, whenever
        // its last renewal was.
        let heard = self.heard.filter(|(fence, _)| *fence == record.fence);
        self.changed = heard.map_or(now, |(_, at)| at.max(self.wanted_since.unwrap_or(now)));
        self.seen = Some((revision, record));
    }

    /// Takes in the result of the write that the last step asked for.
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
                self.known = false;
            }
            Written::Refused => {
                self.pending = None;
                self.not_before = now + RETRY;
            }
            Written::Unknown => {
                self.known = false;
                self.not_before = now + RETRY;
            }
        }
    }

    /// What to do now. `rank` is the number of hosts that try before this one.
    pub fn step(&mut self, now: Moment, rank: u32) -> Step {
        let Some(wanted) = self.wanted_since else {
            return Step::Wait;
        };
        if now < self.not_before {
            return Step::Wait;
        }
        if !self.known {
            self.not_before = now + RETRY;
            return Step::Read;
        }
        let Some((revision, record)) = self.seen.clone() else {
            if now < wanted + FIRST_RANK_STEP * rank {
                return Step::Wait;
            }
            let first = Record {
                holder: self.name.clone(),
                fence: 1,
                renewal: 1,
            };
            self.begin(now, &first);
            return Step::Create(first);
        };
        let mine = record.holder == self.name;
        let free = record.holder.is_empty() || self.free_fence == Some(record.fence);
        if free && !mine {
            if now < wanted + FIRST_RANK_STEP * rank {
                return Step::Wait;
            }
        } else if mine {
            let left = self.trusted_until.saturating_sub(now);
            if left > self.trusted() * RENEWED_PART.0 / RENEWED_PART.1 {
                return Step::Wait;
            }
        } else {
            let patience = wanted + HOLDER_PATIENCE + RANK_STEP * rank;
            if now < patience.max(self.changed + self.time + RANK_STEP * rank) {
                return Step::Wait;
            }
        }
        let next = Record {
            holder: self.name.clone(),
            fence: record.fence + u64::from(!mine),
            renewal: record.renewal + 1,
        };
        self.begin(now, &next);
        Step::Replace(revision, next)
    }

    /// Gives the lease up, so that another host need not wait for it to end.
    pub fn release(&mut self, now: Moment) -> Step {
        let held = self.held_fence(now).is_some();
        self.trusted_until = Moment::ZERO;
        let Some((revision, record)) = self.seen.clone().filter(|_| held) else {
            return Step::Wait;
        };
        let released = Record {
            holder: CompactString::default(),
            renewal: record.renewal + 1,
            ..record
        };
        Step::Replace(revision, released)
    }

    /// The holder was heard to hold the lease still, with the object that it wrote last.
    pub fn observe_holder(&mut self, now: Moment, revision: Version, record: Record) {
        self.heard = Some((record.fence, now));
        if self.seen.as_ref().is_none_or(|(seen, _)| *seen <= revision) {
            self.seen = Some((revision, record));
            self.changed = now;
            self.known = true;
        }
    }

    /// The object as this process wrote it, while it holds the lease.
    #[must_use]
    pub fn held_record(&self, now: Moment) -> Option<(Version, &Record)> {
        self.held_fence(now)?;
        let (revision, record) = self.seen.as_ref()?;
        Some((*revision, record))
    }

    /// Stops to trust the lease without telling the store, which cannot be reached. Returns the fencing number
    /// of the lease that others may take over at once.
    pub fn abandon(&mut self, now: Moment) -> Option<u64> {
        let fence = self.held_fence(now)?;
        self.trusted_until = Moment::ZERO;
        self.known = false;
        Some(fence)
    }

    /// The holder of a fencing number was heard to have abandoned its lease.
    pub fn observe_abandoned(&mut self, fence: u64) {
        self.free_fence = Some(fence);
    }

    /// The object may have changed: it is read before the next write.
    pub fn require_read(&mut self) {
        self.known = false;
    }

    /// The fencing number, while this process holds the lease.
    #[must_use]
    pub fn held_fence(&self, now: Moment) -> Option<u64> {
        let (_, record) = self.seen.as_ref()?;
        let holds = record.holder == self.name && now < self.trusted_until;
        holds.then_some(record.fence)
    }

    /// Gives the lease up after an engine has seen a greater fencing number.
    pub fn mark_fenced_off(&mut self) {
        self.trusted_until = Moment::ZERO;
        self.known = false;
    }

    fn begin(&mut self, now: Moment, record: &Record) {
        self.pending = Some((now, record.clone()));
        // The next step waits for the result of this write.
        self.not_before = now + RETRY;
    }

    fn trusted(&self) -> Duration {
        self.time * TRUSTED_PART.0 / TRUSTED_PART.1
    }
}
