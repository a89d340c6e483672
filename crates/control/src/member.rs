//! The view of the daemons: who runs, who leaves and who is silent, from gossip, direct contact and the
//! platform's host list.
//!
//! A daemon that cannot be reached is suspected; it refutes with a greater sequence when it hears of the
//! suspicion, and is removed when it does not. No platform is needed, so the view also works, and elects,
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

/// Time that a suspected daemon has to refute: several rounds of gossip through the region.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Removed daemons are still probed for this long, so that data centres that were cut off find each other.
const FORGET_AFTER: Duration = Duration::from_secs(24 * 3_600);
/// One lost exchange is common; two in a row are evidence.
const FAILURES_TO_SUSPECT: u32 = 2;
/// Random peers of the region in each round.
pub const PEERS_PER_ROUND: usize = 2;
/// Rounds between contacts with another region and between probes of removed daemons.
const ROUNDS_PER_FAR_CONTACT: u64 = 5;

jaystand_types::common! { value
    /// What is known of a daemon. Of two states at one sequence the greater wins.
    pub enum State {
        /// It runs.
        Live,
        /// Somebody could not reach it.
        Suspect,
        /// It finishes its work and stops.
        Leaving,
        /// It did not refute a suspicion.
        Gone,
    }

    /// Whether a data centre can be reached.
    pub enum Reachability {
        /// A daemon in it answers.
        Reachable,
        /// No daemon that is known in it answers.
        Unreachable,
        /// No daemon is known in it.
        Unknown,
    }
}

jaystand_types::common! { data
    /// One daemon as gossip carries it.
    #[derive(Eq, Hash)]
    pub struct Entry {
        /// Name of its host.
        pub name: HostName,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Its region.
        pub region: CompactString,
        /// Where it listens for peers.
        pub address: SocketAddr,
        /// Its run.
        pub incarnation: Incarnation,
        /// Orders the entries of one daemon; greater is newer.
        pub sequence: u64,
        /// Its state.
        pub state: State,
    }

    /// A peer to contact.
    #[derive(Eq)]
    pub struct Target {
        /// Its name; none for a seed that has not answered yet.
        pub name: Option<HostName>,
        /// Its address.
        pub address: SocketAddr,
    }
}

/// The view of one daemon.
#[derive(Clone, Debug)]
pub struct Members {
    own: Entry,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<HostName, Known>,
    marks: Marks,
    failures: HashMap<HostName, u32>,
    revision: u64,
    round: u64,
    /// The last summary and the revision that it belongs to.
    summary: Cell<Option<(u64, u64)>>,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    revision: u64,
    /// When the entry last changed.
    changed: Moment,
    /// When the state last changed.
    since: Moment,
}

impl Members {
    /// A view that holds the own daemon only.
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
            summary: Cell::new(None),
        }
    }

    /// The own entry.
    #[must_use]
    pub fn own_entry(&self) -> &Entry {
        &self.own
    }

    /// Marks on hosts and backend servers.
    #[must_use]
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Marks on hosts and backend servers, to change them.
    pub fn marks_mut(&mut self) -> &mut Marks {
        &mut self.marks
    }

    /// Every daemon, the own one included, in the order of names.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.known
            .values()
            .map(|known| &known.entry)
            .chain([&self.own])
    }

    /// The entry of a daemon.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Entry> {
        if name == self.own.name {
            return Some(&self.own);
        }
        self.known.get(name).map(|known| &known.entry)
    }

    /// Declares that the own daemon is leaving.
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.own.sequence += 1;
        self.revision += 1;
    }

    /// Takes an entry from a peer or a fetched table; `true` when it changes the view.
    pub fn merge(&mut self, now: Moment, entry: Entry) -> bool {
        if entry.name == self.own.name {
            return self.refute(&entry);
        }
        let merged = match self.known.get(&entry.name) {
            None if entry.state == State::Gone => return false,
            None => entry,
            Some(known) => match newer(&known.entry, entry) {
                Some(merged) => merged,
                None => return false,
            },
        };
        self.store(now, merged);
        true
    }

    /// Takes a mark from a peer; `true` when it is newer than the one held.
    pub fn merge_mark(&mut self, now: Moment, mark: Mark) -> bool {
        self.marks.merge(now, mark)
    }

    /// A peer answered or called.
    pub fn record_contact(&mut self, name: &str) {
        self.failures.remove(name);
    }

    /// A call to a peer failed.
    pub fn record_failure(&mut self, now: Moment, name: &str) {
        let Some(known) = self.known.get(name) else {
            return;
        };
        let count = self.failures.entry(name.into()).or_default();
        *count += 1;
        if *count < FAILURES_TO_SUSPECT {
            return;
        }
        let state = match known.entry.state {
            State::Live => State::Suspect,
            // A leaving daemon that stops answering has stopped.
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return,
        };
        let entry = Entry {
            state,
            ..known.entry.clone()
        };
        self.store(now, entry);
    }

    /// Removes daemons that did not refute in time and forgets those removed long ago.
    pub fn tick(&mut self, now: Moment) {
        let overdue: Vec<Entry> = self
            .known
            .values()
            .filter(|known| known.entry.state == State::Suspect)
            .filter(|known| now.saturating_sub(known.since) >= SUSPICION_TIMEOUT)
            .map(|known| Entry {
                state: State::Gone,
                ..known.entry.clone()
            })
            .collect();
        for entry in overdue {
            self.store(now, entry);
        }
        self.known.retain(|_, known| {
            known.entry.state != State::Gone || now.saturating_sub(known.since) < FORGET_AFTER
        });
        self.marks.prune(now);
    }

    /// Whether daemons of a data centre can be reached.
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

    /// The peers of this second's round: two random ones of the region, those whose last answer is missing,
    /// and every fifth round one of another region and one that was removed or is only a seed.
    pub fn round_targets(&mut self, rng: &mut impl Rng) -> Vec<Target> {
        self.round += 1;
        let mut targets = self.random(rng, PEERS_PER_ROUND, |own, entry| {
            entry.region == own.region && entry.state != State::Gone
        });
        let unanswered = self.random(rng, PEERS_PER_ROUND, |_, entry| {
            entry.state == State::Live && self.failures.contains_key(&entry.name)
        });
        targets.extend(unanswered);
        let alone = targets.is_empty();
        if alone || self.round.is_multiple_of(ROUNDS_PER_FAR_CONTACT) {
            targets.extend(self.far(rng));
            targets.extend(self.lost(rng, if alone { PEERS_PER_ROUND } else { 1 }));
        }
        let mut seen = Vec::new();
        targets.retain(|target| {
            let new = !seen.contains(&target.address);
            seen.push(target.address);
            new
        });
        targets
    }

    /// The peers that are told at once of a change that cannot wait for the next round.
    pub fn urgent_targets(&self, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = self.random(rng, PEERS_PER_ROUND, |own, entry| {
            entry.region == own.region && entry.state != State::Gone
        });
        targets.extend(self.far(rng));
        targets
    }

    /// Grows with every change of entries or marks.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision + self.marks.revision()
    }

    /// Entries that changed after `revision` and not before `moment`, oldest change first.
    #[must_use]
    pub fn changed_since(&self, revision: u64, moment: Moment) -> Vec<(u64, &Entry)> {
        let mut changed: Vec<(u64, &Entry)> = self
            .known
            .values()
            .filter(|known| known.revision > revision && known.changed >= moment)
            .map(|known| (known.revision, &known.entry))
            .collect();
        changed.sort_unstable_by_key(|(revision, _)| *revision);
        changed
    }

    /// Hash of the region's daemons and of all marks. Equal summaries mean equal views.
    #[must_use]
    pub fn summary(&self) -> u64 {
        let revision = self.revision();
        if let Some((computed_at, summary)) = self.summary.get()
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
        // The sum does not depend on the order, which differs between daemons.
        let summary = entries.chain(marks).fold(0, u64::wrapping_add);
        self.summary.set(Some((revision, summary)));
        summary
    }

    /// Merges a whole table from a peer. Where the own view is newer, it is spread again: the peer, and perhaps
    /// everybody else, has missed it.
    pub fn merge_table(&mut self, now: Moment, entries: Vec<Entry>, marks: Vec<Mark>) {
        let theirs: HashMap<HostName, Entry> = entries
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
            .filter(|entry| entry.region == *region && theirs.get(&entry.name) != Some(entry))
            .cloned()
            .collect();
        for entry in missed {
            self.store(now, entry);
        }
        self.marks.merge_table(now, marks);
    }

    fn random(
        &self,
        rng: &mut impl Rng,
        count: usize,
        wanted: impl Fn(&Entry, &Entry) -> bool,
    ) -> Vec<Target> {
        self.known
            .values()
            .map(|known| &known.entry)
            .filter(|entry| wanted(&self.own, entry))
            .sample(rng, count)
            .into_iter()
            .map(Target::from)
            .collect()
    }

    fn far(&self, rng: &mut impl Rng) -> Vec<Target> {
        self.random(rng, 1, |own, entry| {
            entry.region != own.region && entry.state != State::Gone
        })
    }

    /// Removed daemons and seeds that are not known to run.
    fn lost(&self, rng: &mut impl Rng, count: usize) -> Vec<Target> {
        let gone = self
            .known
            .values()
            .map(|known| &known.entry)
            .filter(|entry| entry.state == State::Gone)
            .map(Target::from);
        let running = |seed: &SocketAddr| self.known.values().any(|k| k.entry.address == *seed);
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| !running(seed))
            .map(|seed| Target {
                name: None,
                address: *seed,
            });
        gone.chain(seeds).sample(rng, count)
    }

    /// Answers an entry about the own daemon that is not its latest word.
    fn refute(&mut self, entry: &Entry) -> bool {
        let other_run = entry.incarnation != self.own.incarnation;
        let doubted = entry.state > self.own.state || other_run;
        if !doubted || entry.sequence < self.own.sequence {
            return false;
        }
        self.own.sequence = entry.sequence.saturating_add(1);
        self.revision += 1;
        true
    }

    fn store(&mut self, now: Moment, entry: Entry) {
        self.revision += 1;
        let known = self.known.get(&entry.name);
        let since = match known {
            Some(known) if known.entry.state == entry.state => known.since,
            _ => now,
        };
        if entry.state == State::Live {
            self.failures.remove(&entry.name);
        }
        let revision = self.revision;
        let known = Known {
            entry,
            revision,
            changed: now,
            since,
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

/// The entry that replaces `held`, if any.
fn newer(held: &Entry, other: Entry) -> Option<Entry> {
    if held.incarnation != other.incarnation {
        let order = |entry: &Entry| (entry.sequence, entry.incarnation);
        return (order(&other) > order(held)).then_some(other);
    }
    let order = |entry: &Entry| (entry.sequence, entry.state);
    let leaving = held.state == State::Leaving || other.state == State::Leaving;
    let mut newest = if order(&other) > order(held) {
        other
    } else {
        held.clone()
    };
    // A run that is leaving never comes back, however the messages are reordered.
    if leaving && newest.state < State::Leaving {
        newest.state = State::Leaving;
    }
    (newest != *held).then_some(newest)
}

fn hash(text: std::fmt::Arguments<'_>) -> u64 {
    crate::digest::short_hash(blake3::hash(text.to_string().as_bytes()).as_bytes())
}
