//! The claims of one shard of the key space, which are stored in one object of the platform.

use std::collections::{BTreeMap, BTreeSet};

use super::{Key, MAX_REPLY_BYTES, Record, State, key::HASH_BYTES, record::MAX_CONTENT_TYPE_BYTES};

/// Wall-clock time in seconds since 1970. Clock skew between hosts only shifts the end of the retention time.
pub type Seconds = u64;

/// How long a claim and its result are kept. After this time only a tombstone remains.
pub const RETENTION: Seconds = DAY_SECONDS;

/// Greatest encoded size of a shard; the platform's limit for a value.
pub const MAX_SHARD_BYTES: usize = 1 << 20;

const DAY_SECONDS: Seconds = 24 * 3600;

/// Upper bound of the encoded size of a record without its reply.
const MAX_RECORD_BYTES: usize = 96;

/// Upper bound of the encoded size of a tombstone list without its hashes, of the fields around a reply's contents,
/// and of the envelope.
const MAX_FRAMING_BYTES: usize = 32;

/// Space that is reserved for the result of each open claim, so that the result of a finished request always fits.
const MAX_RESULT_BYTES: usize = MAX_REPLY_BYTES + MAX_CONTENT_TYPE_BYTES + MAX_FRAMING_BYTES;

/// Days since 1970.
pub(crate) type Day = u32;

/// Claims, results and tombstones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    pub(crate) records: BTreeMap<Key, Record>,
    pub(crate) tombstones: BTreeMap<Day, BTreeSet<Key>>,
}

/// The result of looking a key up in a shard.
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
    /// Looks up a key at time `now`.
    #[must_use]
    pub fn find(&self, key: Key, now: Seconds) -> Lookup<'_> {
        match self.records.get(&key) {
            Some(record) if is_expired(record, now) => Lookup::Expired,
            Some(record) => Lookup::Record(record),
            None if self.tombstones.values().any(|keys| keys.contains(&key)) => Lookup::Expired,
            None => Lookup::Absent,
        }
    }

    /// Stores a record in place of the key's earlier one. A record in state `Released` removes the earlier one instead,
    /// if that belongs to the same attempt.
    pub fn apply(&mut self, record: Record) {
        if record.state != State::Released {
            self.records.insert(record.key, record);
        } else if self
            .records
            .get(&record.key)
            .is_some_and(|stored| stored.nonce == record.nonce)
        {
            self.records.remove(&record.key);
        }
    }

    /// Replaces records that are past the retention time with tombstones.
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

    /// Returns whether one more claim fits, assuming the greatest size for the result of each open claim.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let open_claims = self
            .records
            .values()
            .filter(|record| record.state == State::Claimed);
        let needed = self.max_encoded_len()
            + MAX_RECORD_BYTES
            + (open_claims.count() + 1) * MAX_RESULT_BYTES;
        needed <= MAX_SHARD_BYTES
    }

    /// Returns the number of claims and results, without tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the shard has no claims and no results.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns an upper bound of the encoded size.
    pub(crate) fn max_encoded_len(&self) -> usize {
        let records: usize = self.records.values().map(max_record_len).sum();
        let tombstones: usize = self
            .tombstones
            .values()
            .map(|keys| MAX_FRAMING_BYTES + keys.len() * HASH_BYTES)
            .sum();
        MAX_FRAMING_BYTES + records + tombstones
    }
}

fn is_expired(record: &Record, now: Seconds) -> bool {
    now.saturating_sub(record.claimed_at) >= RETENTION
}

/// Returns an upper bound of the encoded size of a record with its reply.
fn max_record_len(record: &Record) -> usize {
    let reply_bytes = match &record.state {
        State::Done(Some(reply)) => reply.body.len() + reply.content_type.len() + MAX_FRAMING_BYTES,
        _ => 0,
    };
    MAX_RECORD_BYTES + reply_bytes
}
