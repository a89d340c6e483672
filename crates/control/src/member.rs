//! Cluster membership: which daemons run, which are leaving and which do not answer. Learned from gossip, direct
//! contact and the platform's host list.
//!
//! A daemon that cannot be reached is suspected. It refutes the suspicion with a greater sequence number when it
//! learns of it, and is removed when it does not. The view needs no platform, so membership and elections also work
//! inside a data centre that is cut off.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use compact_str::CompactString;
use jaystand_types::{DataCentre, HostName, Incarnation, Moment};
use rand::{Rng, seq::IteratorRandom};

use crate::mark::{Mark, Marks};

/// How long a suspected daemon has to refute the suspicion; several rounds of gossip through the region.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long removed daemons are still probed, so that data centres that were cut off find each other again.
const REMOVED_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Consecutive failed calls after which a daemon is suspected. A single lost exchange is common.
const FAILURES_TO_SUSPECT: u32 = 2;
/// Number of random peers of the own region that are contacted in each round.
pub const PEERS_PER_ROUND: usize = 2;
/// Rounds between contacts with another region, and between probes of removed daemons.
const ROUNDS_PER_REMOTE_CONTACT: u64 = 5;

jaystand_types::common! { value
    /// The state of a daemon. Of two states with the same sequence number the greater one wins.
    pub enum State {
        /// The daemon runs.
        Live,
        /// Another daemon could not reach it.
        Suspect,
        /// The daemon finishes its work and stops.
        Leaving,
        /// The daemon did not refute a suspicion and is removed.
        Gone,
    }

    /// Whether a data centre can be reached.
    pub enum Reachability {
        /// At least one of its daemons answers.
        Reachable,
        /// None of its known daemons answers.
        Unreachable,
        /// None of its daemons is known.
        Unknown,
    }
}

jaystand_types::common! { data
    /// A daemon as gossip carries it. The `Debug` output is part of [`Members::summary`].
    #[derive(Eq, Hash)]
    pub struct Entry {
        /// Name of the daemon's host.
        pub name: HostName,
        /// Data centre of the host.
        pub data_centre: DataCentre,
        /// Region of the host.
        pub region: CompactString,
        /// Address on which the daemon listens for peers.
        pub address: SocketAddr,
        /// Identifies the run of the daemon; every start gets a new one.
        pub incarnation: Incarnation,
        /// Sequence number that orders the entries of one daemon; greater is newer.
        pub sequence: u64,
        /// State of the daemon.
        pub state: State,
    }

    /// A peer to contact.
    #[derive(Eq)]
    pub struct Target {
        /// Name of its host; `None` for a seed that has not answered yet.
        pub name: Option<HostName>,
        /// Address to contact.
        pub address: SocketAddr,
    }
}

/// Membership as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Members {
    own: Entry,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<HostName, Known>,
    marks: Marks,
    failures: HashMap<HostName, u32>,
    revision: u64,
    round: u64,
    /// The revision of the last computed summary, and the summary.
    cached_summary: Cell<Option<(u64, u64)>>,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    revision: u64,
    /// When the entry last changed.
    changed_at: Moment,
    /// When the state last changed.
    state_since: Moment,
}

impl Members {
    /// Creates a view that holds only the own daemon.
    #[must_use]
    pub fn new(own: Entry, seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != own.address)
                .collect(),
            own,
            known: BTreeMap::new(),
            marks: Marks::default(),
            failures: HashMap::new(),
            revision: 1,
            round: 0,
            cached_summary: Cell::new(None),
        }
    }

    /// Returns the entry of the own daemon.
    #[must_use]
    pub fn own_entry(&self) -> &Entry {
        &self.own
    }

    /// Returns the marks on hosts and backend servers.
    #[must_use]
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Returns the marks on hosts and backend servers for modification.
    pub fn marks_mut(&mut self) -> &mut Marks {
        &mut self.marks
    }

    /// Iterates over the entries of the other daemons in the order of their names, then the own one.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.known
            .values()
            .map(|known| &known.entry)
            .chain([&self.own])
    }

    /// Returns the entry of the daemon with the given host name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Entry> {
        if name == self.own.name {
            return Some(&self.own);
        }
        self.known.get(name).map(|known| &known.entry)
    }

    /// Sets the state of the own daemon to leaving.
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.own.sequence += 1;
        self.revision += 1;
    }

    /// Merges an entry from a peer or a fetched table. Returns `true` if it changes the view.
    pub fn merge(&mut self, now: Moment, entry: Entry) -> bool {
        if entry.name == self.own.name {
            return self.refute(&entry);
        }
        let merged = match self.known.get(&entry.name) {
            None if entry.state == State::Gone => return false,
            None => entry,
            Some(known) => match merge_entries(&known.entry, entry) {
                Some(merged) => merged,
                None => return false,
            },
        };
        self.store(now, merged);
        true
    }

    /// Merges a mark from a peer. Returns `true` if it is newer than the known one.
    pub fn merge_mark(&mut self, now: Moment, mark: Mark) -> bool {
        self.marks.merge(now, mark)
    }

    /// Records that a peer answered or called.
    pub fn record_contact(&mut self, name: &str) {
        self.failures.remove(name);
    }

    /// Records a failed call to a peer, and suspects the peer after several in a row.
    pub fn record_failure(&mut self, now: Moment, name: &str) {
        let Some(known) = self.known.get(name) else {
            return;
        };
        let failures = self.failures.entry(name.into()).or_default();
        *failures += 1;
        if *failures < FAILURES_TO_SUSPECT {
            return;
        }
        let state = match known.entry.state {
            State::Live => State::Suspect,
            // A leaving daemon that no longer answers has stopped.
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return,
        };
        let entry = Entry {
            state,
            ..known.entry.clone()
        };
        self.store(now, entry);
    }

    /// Removes daemons that did not refute a suspicion in time, and forgets daemons that were removed long ago.
    pub fn tick(&mut self, now: Moment) {
        let overdue: Vec<Entry> = self
            .known
            .values()
            .filter(|known| known.entry.state == State::Suspect)
            .filter(|known| now.saturating_sub(known.state_since) >= SUSPICION_TIMEOUT)
            .map(|known| Entry {
                state: State::Gone,
                ..known.entry.clone()
            })
            .collect();
        for entry in overdue {
            self.store(now, entry);
        }
        self.known.retain(|_, known| {
            known.entry.state != State::Gone
                || now.saturating_sub(known.state_since) < REMOVED_RETENTION
        });
        self.marks.prune(now);
    }

    /// Returns whether any daemon of a data centre can be reached.
    #[must_use]
    pub fn reachability(&self, data_centre: &str) -> Reachability {
        let mut known = self
            .all()
            .filter(|entry| entry.data_centre == data_centre)
            .peekable();
        if known.peek().is_none() {
            return Reachability::Unknown;
        }
        if known.any(|entry| matches!(entry.state, State::Live | State::Leaving)) {
            Reachability::Reachable
        } else {
            Reachability::Unreachable
        }
    }

    /// Returns the peers to contact in this round, of which there is one a second: two random ones of the region, up
    /// to two live ones whose last call failed, and every fifth round one of another region and one that was removed
    /// or is only a seed. If the first two groups are empty, the last two are contacted in every round.
    pub fn round_targets(&mut self, rng: &mut impl Rng) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.sample(rng, PEERS_PER_ROUND, |own, entry| {
            entry.region == own.region && entry.state != State::Gone
        });
        let unanswered = self.sample(rng, PEERS_PER_ROUND, |_, entry| {
            entry.state == State::Live && self.failures.contains_key(&entry.name)
        });
        targets.extend(unanswered);
        let isolated = targets.is_empty();
        if isolated || self.round.is_multiple_of(ROUNDS_PER_REMOTE_CONTACT) {
            targets.extend(self.sample_other_region(rng));
            targets.extend(
                self.sample_removed_or_seeds(rng, if isolated { PEERS_PER_ROUND } else { 1 }),
            );
        }
        let mut seen = Vec::new();
        targets.retain(|target| {
            let new = !seen.contains(&target.address);
            seen.push(target.address);
            new
        });
        targets
    }

    /// Returns the peers to contact at once about a change that cannot wait for the next round.
    pub fn urgent_targets(&self, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = self.sample(rng, PEERS_PER_ROUND, |own, entry| {
            entry.region == own.region && entry.state != State::Gone
        });
        targets.extend(self.sample_other_region(rng));
        targets
    }

    /// Returns a number that grows with every change of entries or marks.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision + self.marks.revision()
    }

    /// Returns the entries that changed after `revision` and at or after `moment`, oldest change first, each with its
    /// revision.
    #[must_use]
    pub fn changed_since(&self, revision: u64, moment: Moment) -> Vec<(u64, &Entry)> {
        let mut changed: Vec<(u64, &Entry)> = self
            .known
            .values()
            .filter(|known| known.revision > revision && known.changed_at >= moment)
            .map(|known| (known.revision, &known.entry))
            .collect();
        changed.sort_unstable_by_key(|(revision, _)| *revision);
        changed
    }

    /// Returns a hash of the daemons of the own region and of all marks. Equal summaries mean equal views.
    ///
    /// The hash covers the `Debug` output of [`Entry`] and [`Mark`], and daemons of different builds compare it. The
    /// names of these types, their fields and variants must therefore stay as they are.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let revision = self.revision();
        if let Some((computed_at, summary)) = self.cached_summary.get()
            && computed_at == revision
        {
            return summary;
        }
        let entries = self
            .all()
            .filter(|entry| entry.region == self.own.region && entry.state != State::Gone)
            .map(|entry| hash(format_args!("{entry:?}")));
        let marks = self.marks.changed_since(0, Moment::ZERO).into_iter();
        let marks = marks.map(|(_, mark)| hash(format_args!("{mark:?}")));
        // The order differs between daemons, and a sum does not depend on it.
        let summary = entries.chain(marks).fold(0, u64::wrapping_add);
        self.cached_summary.set(Some((revision, summary)));
        summary
    }

    /// Merges the whole table of a peer. Entries of the own region that the peer lacks or holds in another version are
    /// spread again, since the peer, and possibly others, missed them.
    pub fn merge_table(&mut self, now: Moment, entries: Vec<Entry>, marks: Vec<Mark>) {
        let received: HashMap<HostName, Entry> = entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()))
            .collect();
        for entry in entries {
            self.merge(now, entry);
        }
        let region = &self.own.region;
        let missed: Vec<Entry> = self
            .known
            .values()
            .map(|known| &known.entry)
            .filter(|entry| entry.region == *region && received.get(&entry.name) != Some(entry))
            .cloned()
            .collect();
        for entry in missed {
            self.store(now, entry);
        }
        self.marks.merge_table(now, marks);
    }

    /// Returns up to `count` random daemons for which `is_candidate`, given the own entry and theirs, holds.
    fn sample(
        &self,
        rng: &mut impl Rng,
        count: usize,
        is_candidate: impl Fn(&Entry, &Entry) -> bool,
    ) -> Vec<Target> {
        self.known
            .values()
            .map(|known| &known.entry)
            .filter(|entry| is_candidate(&self.own, entry))
            .sample(rng, count)
            .into_iter()
            .map(Target::from)
            .collect()
    }

    /// Returns a random daemon of another region.
    fn sample_other_region(&self, rng: &mut impl Rng) -> Vec<Target> {
        self.sample(rng, 1, |own, entry| {
            entry.region != own.region && entry.state != State::Gone
        })
    }

    /// Returns up to `count` random targets among removed daemons and seeds at which no daemon is known.
    fn sample_removed_or_seeds(&self, rng: &mut impl Rng, count: usize) -> Vec<Target> {
        let gone = self
            .known
            .values()
            .map(|known| &known.entry)
            .filter(|entry| entry.state == State::Gone)
            .map(Target::from);
        let is_known = |seed: &SocketAddr| {
            self.known
                .values()
                .any(|known| known.entry.address == *seed)
        };
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| !is_known(seed))
            .map(|seed| Target {
                name: None,
                address: *seed,
            });
        gone.chain(seeds).sample(rng, count)
    }

    /// Raises the own sequence number if `entry`, about the own daemon, contradicts the own entry and is not older.
    /// Returns whether it did.
    fn refute(&mut self, entry: &Entry) -> bool {
        let other_run = entry.incarnation != self.own.incarnation;
        let contradicts = entry.state > self.own.state || other_run;
        if !contradicts || entry.sequence < self.own.sequence {
            return false;
        }
        self.own.sequence = entry.sequence.saturating_add(1);
        self.revision += 1;
        true
    }

    fn store(&mut self, now: Moment, entry: Entry) {
        self.revision += 1;
        let known = self.known.get(&entry.name);
        let state_since = match known {
            Some(known) if known.entry.state == entry.state => known.state_since,
            _ => now,
        };
        if entry.state == State::Live {
            self.failures.remove(&entry.name);
        }
        let revision = self.revision;
        let known = Known {
            entry,
            revision,
            changed_at: now,
            state_since,
        };
        self.known.insert(known.entry.name.clone(), known);
    }
}

impl From<&Entry> for Target {
    fn from(entry: &Entry) -> Self {
        Self {
            name: Some(entry.name.clone()),
            address: entry.address,
        }
    }
}

/// Returns the entry that replaces `known`, or `None` if `known` stays.
fn merge_entries(known: &Entry, other: Entry) -> Option<Entry> {
    if known.incarnation != other.incarnation {
        let order = |entry: &Entry| (entry.sequence, entry.incarnation);
        return (order(&other) > order(known)).then_some(other);
    }
    let order = |entry: &Entry| (entry.sequence, entry.state);
    let leaving = known.state == State::Leaving || other.state == State::Leaving;
    let mut newest = if order(&other) > order(known) {
        other
    } else {
        known.clone()
    };
    // A run that is leaving stays so, in whatever order the messages arrive.
    if leaving && newest.state < State::Leaving {
        newest.state = State::Leaving;
    }
    (newest != *known).then_some(newest)
}

fn hash(text: std::fmt::Arguments<'_>) -> u64 {
    crate::digest::short_hash(blake3::hash(text.to_string().as_bytes()).as_bytes())
}
