//! The lease on weight orders: only its holder may send them.
//!
//! The lease is one object of the store, changed only by conditional writes. It is renewed only while there is work,
//! because each call to the store has a price. Hosts compare no clocks: the holder measures from the time at which it
//! sent its write, other hosts from the time at which they saw the object change. The clock must include the time that
//! the host was suspended.
//!
//! When the store comes back from an older copy, in a later era, the object may be gone or be an older one, while the
//! last holder still relies on its lease. What was written in an earlier era therefore proves nothing but that somebody
//! may hold a lease, until the duration of a lease has passed since the era was noticed: no holder relies on a lease
//! longer, since a write that the store acknowledged before was also sent before. Only the process that relies on its
//! lease when it notices the era may take the new one at once.

use std::time::Duration;

use compact_str::CompactString;
use jaystand_types::{Era, Moment};

use crate::revision::Revision;

/// Another host takes over only after there has been work for this long. A live holder renews within tens of
/// milliseconds.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay between the attempts of hosts to take over, by rank, so that they do not all write at once.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// The same delay when the lease has no holder.
const FREE_RANK_DELAY: Duration = Duration::from_millis(80);
/// A holder that has not reported for this long, while there is work, may have renewed its lease since. Its object is
/// then read, so that the time of the renewal is known when the holder turns out to be gone. Hosts report every 200 ms.
const HOLDER_SILENCE: Duration = Duration::from_millis(300);
/// Delay of the first of these reads, by rank: when a holder is killed, all hosts miss its reports at once.
const SILENCE_RANK_DELAY: Duration = Duration::from_millis(50);
/// Delay between these reads at the host of rank 0. The host of rank n waits n + 1 times as long, so that 300 hosts make
/// 21 reads per second together.
const SILENCE_READ_DELAY: Duration = Duration::from_millis(300);
/// Delay before another call to the store, in which the result of the last one is awaited.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Share of the lease's duration, as a fraction, in which the holder relies on it. The rest covers the transmission of
/// an order.
const USABLE_SHARE: (u32, u32) = (2, 3);
/// The holder renews when this share of the usable time is left, as a fraction.
const RENEWAL_SHARE: (u32, u32) = (1, 2);

/// Bits of a fencing token below the era. A store with 1,000 changes a second fills them in 34 years, and tokens up to
/// era 8,191 are whole numbers also where engines keep them as floating-point numbers.
const FENCE_NUMBER_BITS: u32 = 40;

jaystand_types::common! { value
    /// A fencing token. It grows with each change of the holder, also across eras, although no process may remember the
    /// tokens of an earlier era: it begins with the era.
    pub struct Fence(u64);
}

jaystand_types::common! { data
    /// The value of the lease's object in the store.
    pub struct Record {
        /// Name of the process that holds the lease; empty after a release.
        pub holder: CompactString,
        /// Fencing token.
        pub fence: Fence,
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
        Replace(Revision, Record),
    }
}

jaystand_types::common! { identity
    /// The result of a write.
    pub enum Written {
        /// The write succeeded; the object has this revision.
        Done(Revision),
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
    /// The latest known era of the store, and when this process noticed it.
    era: Era,
    era_noticed_at: Moment,
    /// Until then no other process holds a lease, since this one relied on its own when it noticed the era.
    sole_heir_until: Moment,
    /// Whether to read the object although there is no work, since the store has just come back: the wait for a former
    /// holder begins with that.
    read_due: bool,
    /// The latest known value of the object in this era, with its revision.
    seen: Option<(Revision, Record)>,
    /// When the latest known revision of the object was first seen. Other hosts may take over from the holder when the
    /// duration of the lease has passed since then.
    changed_at: Moment,
    /// Whether `seen` is recent enough for a conditional write. Otherwise the object is read first.
    is_current: bool,
    /// Since when there has been work for the holder.
    wanted_since: Option<Moment>,
    /// The write whose result is unknown, with the time at which it was sent.
    pending: Option<(Moment, Record)>,
    /// No call to the store is due before this time.
    not_before: Moment,
    /// No read of the object of a silent holder is due before this time.
    next_silence_read: Moment,
    /// Until then this process may rely on the lease, if it is the holder.
    usable_until: Moment,
    /// The greatest `renewal` of the records that this process has written. Each write has its own, so that a read shows
    /// which of them took effect.
    last_renewal: u64,
    /// The greatest fencing token that this process has stopped using. Other hosts may use a greater one from then on.
    retired_fence: Option<Fence>,
    /// The fencing token of this process that it has abandoned, or releases, and that others do not know to be free yet.
    leaving: Option<Fence>,
    /// Number of orders that have been sent and not answered.
    open_orders: usize,
    /// Fencing token whose holder has abandoned its lease.
    abandoned_fence: Option<Fence>,
    /// The fencing token of the last report of a holder, with the time of the report.
    last_report: Option<(Fence, Moment)>,
}

impl Fence {
    fn new(era: Era, number: u64) -> Self {
        Self(era << FENCE_NUMBER_BITS | number)
    }

    fn era(self) -> Era {
        self.0 >> FENCE_NUMBER_BITS
    }

    fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<u64> for Fence {
    fn from(value: u64) -> Self {
        Self(value)
    }
}

impl From<Fence> for u64 {
    fn from(fence: Fence) -> Self {
        fence.0
    }
}

impl Lease {
    /// Creates the state for a process. The name must differ between runs of the process.
    #[must_use]
    pub fn new(name: CompactString, duration: Duration) -> Self {
        Self {
            name,
            duration,
            era: 0,
            era_noticed_at: Moment::ZERO,
            sole_heir_until: Moment::ZERO,
            read_due: false,
            seen: None,
            changed_at: Moment::ZERO,
            is_current: false,
            wanted_since: None,
            pending: None,
            not_before: Moment::ZERO,
            next_silence_read: Moment::ZERO,
            usable_until: Moment::ZERO,
            last_renewal: 0,
            retired_fence: None,
            leaving: None,
            open_orders: 0,
            abandoned_fence: None,
            last_report: None,
        }
    }

    /// Records the era of the store. In a later one than before, nothing that was seen, written or reported still holds.
    pub fn observe_era(&mut self, now: Moment, era: Era) {
        if era <= self.era {
            return;
        }
        self.sole_heir_until = if self.held_fence(now).is_some() {
            self.usable_until
        } else {
            Moment::ZERO
        };
        self.read_due = self.era != 0;
        self.era = era;
        self.era_noticed_at = now;
        self.seen = None;
        self.is_current = false;
        self.pending = None;
        self.usable_until = Moment::ZERO;
        self.leaving = None;
        self.abandoned_fence = None;
        self.last_report = None;
    }

    /// Sets whether there is work for the holder.
    pub fn set_wanted(&mut self, now: Moment, wanted: bool) {
        if !wanted {
            self.wanted_since = None;
        } else if self.wanted_since.is_none() {
            self.wanted_since = Some(now);
        }
    }

    /// Records the value of the object in the store, as an answer of an era showed it.
    pub fn observe(&mut self, now: Moment, era: Era, object: Option<(Revision, Record)>) {
        self.observe_era(now, era);
        if era < self.era {
            return;
        }
        self.is_current = true;
        self.read_due = false;
        let Some((revision, record)) = object else {
            return;
        };
        let is_known = |(seen, _): &(Revision, Record)| !revision.supersedes(*seen);
        if self.seen.as_ref().is_some_and(is_known) {
            return;
        }
        // A pending write took effect if the object has its value.
        if let Some((sent, _)) = self.pending.take_if(|(_, written)| *written == record) {
            self.usable_until = self.usable_until.max(sent + self.usable_time());
        }
        if record.fence.era() < self.era && self.held_fence(now).is_some() {
            // A late write of an earlier era has replaced the value of this process.
            self.sole_heir_until = self.usable_until;
        }
        if record.holder != self.name {
            self.usable_until = Moment::ZERO;
        }
        // The renewal may be as recent as this read, whenever the holder last reported.
        self.changed_at = now;
        self.seen = Some((revision, record));
    }

    /// Records the result of the write that the last step requested.
    pub fn record_write(&mut self, now: Moment, result: Written) {
        match result {
            Written::Done(revision) => {
                // A write that was carried out in another era than the one that it was meant for proves nothing.
                self.observe_era(now, revision.era());
                if let Some((_, record)) = self.pending.clone() {
                    self.observe(now, revision.era(), Some((revision, record)));
                    self.pending = None;
                }
            }
            Written::Conflict => {
                self.pending = None;
                self.is_current = false;
            }
            Written::Refused => {
                self.pending = None;
                // The store may be back from an older copy when it answers again.
                self.is_current = false;
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
        if now < self.not_before {
            return Step::Wait;
        }
        if self.read_due && !self.is_current {
            self.not_before = now + RETRY_DELAY;
            return Step::Read;
        }
        let Some(wanted) = self.wanted_since else {
            return Step::Wait;
        };
        if !self.is_current {
            self.not_before = now + RETRY_DELAY;
            return Step::Read;
        }
        let Some((revision, record)) = self.present().cloned() else {
            if now < self.free_since(now, wanted, rank) {
                return Step::Wait;
            }
            let next = self.next_record();
            self.begin_write(now, &next);
            return match &self.seen {
                Some((revision, _)) => Step::Replace(*revision, next),
                None => Step::Create(next),
            };
        };
        let is_holder = self.is_own(&record);
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
            let heard = self.last_report_of(record.fence).max(wanted);
            let due = (heard + HOLDER_TIMEOUT).max(self.changed_at + self.duration);
            if now < due + RANK_DELAY * rank {
                return self.watch_silent_holder(now, heard, rank);
            }
        }
        let next = if is_holder {
            Record {
                renewal: self.next_renewal(&record),
                ..record
            }
        } else {
            self.next_record()
        };
        self.begin_write(now, &next);
        Step::Replace(revision, next)
    }

    /// Returns the step of a host that waits for the lease of another one, of which it last heard at a time.
    fn watch_silent_holder(&mut self, now: Moment, heard: Moment, rank: u32) -> Step {
        let silent_at = heard + HOLDER_SILENCE + SILENCE_RANK_DELAY * rank;
        if now < silent_at.max(self.next_silence_read) {
            return Step::Wait;
        }
        self.next_silence_read = now + SILENCE_READ_DELAY * rank.saturating_add(1);
        Step::Read
    }

    /// Returns when the holder of a fencing token last reported.
    fn last_report_of(&self, fence: Fence) -> Moment {
        let report = self.last_report.filter(|(reported, _)| *reported == fence);
        report.map_or(Moment::ZERO, |(_, at)| at)
    }

    /// Returns whether a value is one of this process with a fencing token that it still uses.
    fn is_own(&self, record: &Record) -> bool {
        record.holder == self.name
            && self.retired_fence < Some(record.fence)
            && self.abandoned_fence != Some(record.fence)
    }

    /// Returns the number of the next write, after the given value.
    fn next_renewal(&self, record: &Record) -> u64 {
        record.renewal.max(self.last_renewal) + 1
    }

    /// Returns the value of the object if it was written in the present era.
    fn present(&self) -> Option<&(Revision, Record)> {
        let seen = self.seen.as_ref();
        seen.filter(|(_, record)| record.fence.era() == self.era)
    }

    /// Returns when this process may take a lease of which the present era has no value.
    fn free_since(&self, now: Moment, wanted: Moment, rank: u32) -> Moment {
        if now < self.sole_heir_until {
            return now;
        }
        // A store that names no era has never come back from a copy, and has lost no lease.
        let expired = if self.era == 0 {
            Moment::ZERO
        } else {
            self.era_noticed_at + self.duration
        };
        let reported = self.last_report.map_or(Moment::ZERO, |(_, at)| {
            at + self.duration + RANK_DELAY * rank
        });
        // A late write of an earlier era may have replaced the value of a holder that has not noticed it.
        let replaced = match &self.seen {
            Some(_) => self.changed_at + self.duration,
            None => Moment::ZERO,
        };
        (wanted.max(expired).max(replaced) + FREE_RANK_DELAY * rank).max(reported)
    }

    /// Returns the value with which this process takes the lease.
    ///
    /// The number of a token is never greater than that of the object's revision. A token that follows a lost value, or
    /// one that a late write of an earlier era has replaced, is therefore greater than all tokens before if it is greater
    /// than the revision.
    fn next_record(&self) -> Record {
        let (fence, renewal) = match &self.seen {
            None => (Fence::new(self.era, 1), self.last_renewal + 1),
            Some((_, record)) if record.fence.era() == self.era => {
                (record.fence.next(), self.next_renewal(record))
            }
            Some((revision, record)) => (
                Fence::new(self.era, revision.number() + 1),
                self.next_renewal(record),
            ),
        };
        Record {
            holder: self.name.clone(),
            fence,
            renewal,
        }
    }

    /// Stops using the lease and returns the write that releases it, so that another host need not wait until it expires.
    /// While orders have not been answered, returns that nothing is to be done yet.
    pub fn release(&mut self, now: Moment) -> Step {
        if let Some(fence) = self.held_fence(now) {
            self.retire(fence);
            self.leaving = Some(fence);
        }
        if self.open_orders > 0 {
            return Step::Wait;
        }
        let left = self.leaving.take();
        let Some((revision, record)) = self.present().cloned() else {
            return Step::Wait;
        };
        if left != Some(record.fence) || record.holder != self.name {
            return Step::Wait;
        }
        let released = Record {
            holder: CompactString::default(),
            renewal: self.next_renewal(&record),
            ..record
        };
        self.last_renewal = released.renewal;
        Step::Replace(revision, released)
    }

    /// Records a report in which the holder states that it still has the lease, with the value that it wrote last.
    pub fn observe_holder(&mut self, now: Moment, revision: Revision, record: Record) {
        self.observe_era(now, revision.era());
        self.last_report = Some((record.fence, now));
        if revision.era() < self.era {
            // A host that has not noticed the present era, and gives orders until it does.
            return;
        }
        let seen = self.seen.as_ref().map(|(seen, _)| *seen);
        if seen.is_none_or(|seen| revision.supersedes(seen)) {
            self.seen = Some((revision, record));
            self.changed_at = now;
            self.is_current = true;
        } else if seen == Some(revision) {
            self.is_current = true;
        }
    }

    /// Returns the value that this process wrote, with its revision, while it holds the lease.
    #[must_use]
    pub fn held_record(&self, now: Moment) -> Option<(Revision, &Record)> {
        self.held_fence(now)?;
        let (revision, record) = self.seen.as_ref()?;
        Some((*revision, record))
    }

    /// Stops using the lease without a write, since the store cannot be reached. Its fencing token is not used again,
    /// also if the object shows later that a write took effect. Returns the token.
    pub fn abandon(&mut self, now: Moment) -> Option<Fence> {
        let fence = self.held_fence(now)?;
        self.retire(fence);
        self.leaving = Some(fence);
        Some(fence)
    }

    /// Returns the fencing token that this process has abandoned once its last order has been answered. Other hosts may
    /// then take the lease over at once.
    pub fn take_abandoned(&mut self) -> Option<Fence> {
        if self.open_orders > 0 {
            return None;
        }
        self.leaving.take()
    }

    /// Records that an order with a fencing token is about to be sent. Returns false, and records nothing, if this process
    /// does not hold the lease with this token.
    pub fn begin_order(&mut self, now: Moment, fence: Fence) -> bool {
        let holds = self.held_fence(now) == Some(fence);
        self.open_orders += usize::from(holds);
        holds
    }

    /// Records that an order was answered, or that its connection was closed.
    pub fn end_order(&mut self) {
        self.open_orders = self.open_orders.saturating_sub(1);
    }

    /// Stops using a fencing token for good.
    fn retire(&mut self, fence: Fence) {
        self.retired_fence = self.retired_fence.max(Some(fence));
        self.usable_until = Moment::ZERO;
        self.is_current = false;
    }

    /// Records that the holder of a fencing token has abandoned its lease.
    pub fn observe_abandoned(&mut self, fence: Fence) {
        self.abandoned_fence = Some(fence);
    }

    /// Records that the object may have changed, so that it is read before the next write.
    pub fn require_read(&mut self) {
        self.is_current = false;
    }

    /// Returns the fencing token, while this process holds the lease.
    #[must_use]
    pub fn held_fence(&self, now: Moment) -> Option<Fence> {
        let (_, record) = self.present()?;
        let is_holder = self.is_own(record) && now < self.usable_until;
        is_holder.then_some(record.fence)
    }

    /// Stops using the lease because an engine has seen a greater fencing token than the given one, which is not used
    /// again.
    pub fn mark_fenced_off(&mut self, fence: Fence) {
        self.retire(fence);
    }

    /// Records that a write is sent.
    fn begin_write(&mut self, now: Moment, record: &Record) {
        self.pending = Some((now, record.clone()));
        self.last_renewal = record.renewal;
        // The next step waits for the result of this write.
        self.not_before = now + RETRY_DELAY;
    }

    /// Returns how long after a write the holder may rely on the lease.
    fn usable_time(&self) -> Duration {
        self.duration * USABLE_SHARE.0 / USABLE_SHARE.1
    }
}
