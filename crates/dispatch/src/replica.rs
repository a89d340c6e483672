//! Server entries that hosts copy from each other: the numbered changes at the host that is followed, and the application
//! of copies at its followers.
//!
//! A copy is one state at one change number: the names that are gone in this state, and then the entries that changed. No
//! name is in both, since a removal is forgotten when the name returns. Followers apply removals first, so that a copy of a
//! host that still sends both leaves the entry in place.
//!
//! Each copy has the count and a digest of all names. A follower whose own names differ asks for the complete state, so that
//! no fault can keep it diverged.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::{Moment, ServerName};

use crate::prompt;

/// Number of removals that are kept. A follower that lacks older ones gets a complete copy.
const MAX_KEPT_REMOVALS: usize = 1_024;
/// Time from one complete copy that a follower asks for because of a difference to the next one. Such a copy of 3,000
/// entries has 150 KB, and all followers of a host may differ from it at once.
const FULL_COPY_PAUSE: Duration = Duration::from_secs(10);

jaystand_types::common! { value
    /// Count and hash of a set of names.
    #[derive(Default)]
    pub struct Digest {
        /// Number of names.
        pub names: u64,
        /// Sum of the hashes of the names, whatever their order.
        pub sum: u64,
    }
}

impl Digest {
    /// Adds a name.
    pub fn add(&mut self, name: &str) {
        self.names = self.names.wrapping_add(1);
        self.sum = self.sum.wrapping_add(prompt::hash(name.as_bytes()));
    }

    /// Removes a name.
    pub fn subtract(&mut self, name: &str) {
        self.names = self.names.wrapping_sub(1);
        self.sum = self.sum.wrapping_sub(prompt::hash(name.as_bytes()));
    }
}

/// Entries and the numbers of their changes.
#[derive(Clone, Debug)]
pub struct Log<T> {
    newest: u64,
    entries: HashMap<ServerName, (u64, T)>,
    /// Names that are gone, in the order of their removals.
    removed: VecDeque<(u64, ServerName)>,
    /// Removals up to this change are no longer kept.
    removals_dropped_up_to: u64,
    digest: Digest,
}

impl<T> Default for Log<T> {
    fn default() -> Self {
        Self {
            newest: 0,
            entries: HashMap::new(),
            removed: VecDeque::new(),
            removals_dropped_up_to: 0,
            digest: Digest::default(),
        }
    }
}

impl<T: Clone> Log<T> {
    /// Counts a change, and returns its number.
    pub fn advance(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    /// Returns the number of the newest change.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the digest of the names.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the entry of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&T> {
        self.entries.get(name).map(|(_, entry)| entry)
    }

    /// Adds or replaces an entry.
    pub fn write(&mut self, name: &ServerName, entry: T) {
        let change = self.advance();
        if self.entries.insert(name.clone(), (change, entry)).is_none() {
            self.digest.add(name);
            self.removed.retain(|(_, removed)| removed != name);
        }
    }

    /// Removes an entry. Returns whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        if self.entries.remove(name).is_none() {
            return false;
        }
        self.digest.subtract(name);
        let change = self.advance();
        self.removed.push_back((change, name.into()));
        if self.removed.len() > MAX_KEPT_REMOVALS
            && let Some((change, _)) = self.removed.pop_front()
        {
            self.removals_dropped_up_to = change;
        }
        true
    }

    /// Returns whether a follower that knows the changes up to a number needs a complete copy, because it knows none or
    /// removals after the number are no longer kept.
    #[must_use]
    pub fn needs_full_copy(&self, after: u64) -> bool {
        after == 0 || after < self.removals_dropped_up_to
    }

    /// Returns the entries that changed after a number.
    pub fn written_after(&self, after: u64) -> impl Iterator<Item = (ServerName, T)> {
        let entries = self.entries.iter();
        let changed = entries.filter(move |(_, (change, _))| *change > after);
        changed.map(|(name, (_, entry))| (name.clone(), entry.clone()))
    }

    /// Returns the names that were removed after a number and have not returned.
    pub fn removed_after(&self, after: u64) -> impl Iterator<Item = ServerName> {
        let removed = self.removed.iter();
        let later = removed.filter(move |(change, _)| *change > after);
        later.map(|(_, name)| name.clone())
    }
}

/// The entries of a follower.
pub trait Replica<T> {
    /// Replaces all entries.
    fn replace(&mut self, entries: &[(ServerName, T)]);
    /// Removes an entry.
    fn remove(&mut self, name: &ServerName);
    /// Adds or replaces an entry.
    fn write(&mut self, name: &ServerName, entry: &T);
}

/// Applies a copy: all entries if it is complete, or else the changes since the former one.
pub fn apply<T>(
    replica: &mut impl Replica<T>,
    complete: bool,
    removed: &[ServerName],
    written: &[(ServerName, T)],
) {
    if complete {
        replica.replace(written);
        return;
    }
    for name in removed {
        replica.remove(name);
    }
    for (name, entry) in written {
        replica.write(name, entry);
    }
}

/// Decides when a follower asks for a complete copy because it differs from the host that it follows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Divergence {
    asked_at: Option<Moment>,
}

impl Divergence {
    /// Returns whether to ask for a complete copy after a copy was applied.
    pub fn is_copy_due(&mut self, now: Moment, followed: Digest, own: Digest) -> bool {
        let asked_at = self.asked_at;
        let paused = asked_at.is_some_and(|at| now < at + FULL_COPY_PAUSE);
        let due = followed != own && !paused;
        if due {
            self.asked_at = Some(now);
        }
        due
    }
}
