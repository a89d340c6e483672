//! The claims of one shard of the key space, as one object of the platform.

use std::collections::{BTreeMap, BTreeSet};

use super::{Key, MAX_REPLY_BYTES, Record, State, key::HASH_BYTES, record::MAX_CONTENT_TYPE_BYTES};

/// Wall-clock time in seconds since 1970. Skew between hosts only moves the end of the retention time.
pub type Seconds = u64;

/// How long a claim and its result are kept before only a tombstone remains.
pub const RETENTION: Seconds = DAY_SECONDS;

/// Greatest encoded size of a shard, the platform's limit for a value.
pub const MAX_SHARD_BYTES: usize = 1 << 20;

const DAY_SECONDS: Seconds = 24 * 3600;

/// Upper bound of a record's encoding without its reply.
const RECORD_BYTES: usize = 96;

/// Upper bound of the encoding of a tombstone list without its hashes, and of the envelope.
const LIST_BYTES: usize = 32;

/// Room that a claim must find for its later result, so that a finished request is never left without one.
const RESULT_BYTES: usize = MAX_REPLY_BYTES + MAX_CONTENT_TYPE_BYTES + LIST_BYTES;

/// Days since 1970.
pub(crate) type Day = u32;

/// Claims, results and tombstones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    pub(crate) records: BTreeMap<Key, Record>,
    pub(crate) tombstones: BTreeMap<Day, BTreeSet<Key>>,
}

/// What a shard knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// The key was never claimed, or its claim was released.
    Absent,
    /// The key was claimed longer ago than the retention time.
    Expired,
    /// The key is claimed.
    Record(&'a Record),
}

impl Shard {
    /// Looks a key up at time `now`.
    #[must_use]
    pub fn find(&self, key: Key, now: Seconds) -> Lookup<'_> {
        match self.records.get(&key) {
            Some(record) if is_expired(record, now) => Lookup::Expired,
            Some(record) => Lookup::Record(record),
            None if self.tombstones.values().any(|keys| keys.contains(&key)) => Lookup::Expired,
            None => Lookup::Absent,
        }
    }

    /// Stores a record in place of the key's earlier one. A released record is removed instead, and only if it
    /// belongs to the same attempt.
    pub fn apply(&mut self, record: Record) {
        if record.state != State::Released {
            self.records.insert(record.key, record);
        } else if self
            .records
            .get(&record.key)
            .is_some_and(|old| old.nonce == record.nonce)
        {
            self.records.remove(&record.key);
        }
    }

    /// Replaces the records that are past the retention time by tombstones.
    pub fn expire(&mut self, now: Seconds) {
        for record in self
            .records
            .values()
            .filter(|record| is_expired(record, now))
        {
            let day = Day::try_from(record.claimed_at / DAY_SECONDS).unwrap_or(Day::MAX);
            self.tombstones.entry(day).or_default().insert(record.key);
        }
        self.records.retain(|_, record| !is_expired(record, now));
    }

    /// Whether one more claim fits, with the results of every open claim at their greatest size.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let open = self
            .records
            .values()
            .filter(|record| record.state == State::Claimed);
        let needed = self.size_bound() + RECORD_BYTES + (open.count() + 1) * RESULT_BYTES;
        needed <= MAX_SHARD_BYTES
    }

    /// Number of claims and results, without tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the shard has no claims and no results.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Upper bound of the encoded size.
    pub(crate) fn size_bound(&self) -> usize {
        let records: usize = self.records.values().map(record_bound).sum();
        let tombstones: usize = self
            .tombstones
            .values()
            .map(|keys| LIST_BYTES + keys.len() * HASH_BYTES)
            .sum();
        LIST_BYTES + records + tombstones
    }
}

fn is_expired(record: &Record, now: Seconds) -> bool {
    now.saturating_sub(record.claimed_at) >= RETENTION
}

fn record_bound(record: &Record) -> usize {
    let reply = match &record.state {
        State::Done(Some(reply)) => reply.body.len() + reply.content_type.len() + LIST_BYTES,
        _ => 0,
    };
    RECORD_BYTES + reply
}
