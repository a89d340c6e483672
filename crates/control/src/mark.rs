//! Marks that say a host or backend server is leaving. Any one mark suffices, and a mark is only cleared by
//! evidence that is newer than it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use compact_str::CompactString;
use jaystand_types::{Incarnation, Moment};

/// The platform's list lags, so `live` counts against an earlier `leaving` only after this long without a
/// further `leaving`.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(20);

/// A late answer of a former run could clear the mark of a later one. A second answer of the same run this
/// much later shows that the run is alive.
pub const RETURN_CONFIRM_TIME: Duration = Duration::from_secs(1);

/// Cleared marks are kept for longer than data centres stay cut off, so that an old mark cannot come back.
const KEEP_CLEARED: Duration = Duration::from_secs(24 * 3_600);

/// Former runs of a server whose late answers are recognised.
const FORMER_RUNS: usize = 4;

jaystand_types::common! { value
    /// Who says that the subject is leaving.
    pub enum Cause {
        /// An operator drains it.
        Operator,
        /// The platform's host list.
        List,
        /// This run of the engine itself.
        Engine(Incarnation),
    }

    enum Slot {
        Operator,
        List,
        Engine,
    }
}

jaystand_types::common! { data
    /// One mark.
    #[derive(Eq)]
    pub struct Mark {
        /// Name of the host or backend server.
        pub subject: CompactString,
        /// Who says so.
        pub cause: Cause,
        /// Orders the marks of one subject and kind of cause; greater is newer.
        pub stamp: u64,
        /// Whether it is leaving; a cleared mark says `false`.
        pub leaving: bool,
    }
}

/// All marks that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    held: BTreeMap<(CompactString, Slot), Held>,
    runs: BTreeMap<CompactString, Runs>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Held {
    mark: Mark,
    revision: u64,
    changed: Moment,
    /// Since when the list has said `live` again.
    live_since: Option<Moment>,
}

/// The runs of an engine that answered this daemon.
#[derive(Clone, Debug, Default)]
struct Runs {
    current: Option<Incarnation>,
    former: VecDeque<Incarnation>,
    returning: Option<(Incarnation, Moment)>,
}

impl Marks {
    /// Whether any mark says that the subject is leaving.
    #[must_use]
    pub fn is_leaving(&self, subject: &str) -> bool {
        [Slot::Operator, Slot::List, Slot::Engine]
            .into_iter()
            .any(|slot| {
                self.get(subject, slot)
                    .is_some_and(|held| held.mark.leaving)
            })
    }

    /// Whether an operator drains the subject.
    #[must_use]
    pub fn is_drained(&self, subject: &str) -> bool {
        self.get(subject, Slot::Operator)
            .is_some_and(|held| held.mark.leaving)
    }

    /// Every subject that is leaving, each once.
    pub fn leaving_subjects(&self) -> impl Iterator<Item = &CompactString> {
        let mut last = None;
        self.held
            .iter()
            .filter(|(_, held)| held.mark.leaving)
            .map(|((subject, _), _)| subject)
            .filter(move |subject| last.replace(*subject) != Some(*subject))
    }

    /// Every mark, cleared ones included.
    pub fn all(&self) -> impl Iterator<Item = &Mark> {
        self.held.values().map(|held| &held.mark)
    }

    /// Sets or clears an operator's mark; `true` when that changes it.
    pub fn set_drained(&mut self, now: Moment, subject: &str, leaving: bool) -> bool {
        let unchanged = self.is_drained(subject) == leaving;
        !unchanged && self.set(now, subject, Cause::Operator, leaving)
    }

    /// Takes one sighting in the platform's host list; `true` when the mark changes.
    pub fn observe_listing(&mut self, now: Moment, subject: &str, leaving: bool) -> bool {
        let key = (CompactString::from(subject), Slot::List);
        let Some(held) = self.held.get_mut(&key).filter(|held| held.mark.leaving) else {
            return leaving && self.set(now, subject, Cause::List, true);
        };
        if leaving {
            held.live_since = None;
            return false;
        }
        let since = *held.live_since.get_or_insert(now);
        let settled = now.saturating_sub(since) >= LIST_SETTLE_TIME;
        settled && self.set(now, subject, Cause::List, false)
    }

    /// Takes what a run of an engine says of itself; `true` when the mark changes.
    pub fn observe_engine(
        &mut self,
        now: Moment,
        subject: &str,
        run: Incarnation,
        leaving: bool,
    ) -> bool {
        let marked = self
            .get(subject, Slot::Engine)
            .filter(|held| held.mark.leaving)
            .map(|held| held.mark.cause);
        let runs = self.runs.entry(subject.into()).or_default();
        if runs.former.contains(&run) {
            return false;
        }
        runs.observe(run);
        match marked {
            Some(cause) if cause == Cause::Engine(run) => false,
            None | Some(_) if leaving => self.set(now, subject, Cause::Engine(run), true),
            None => false,
            Some(cause) => {
                if !runs.confirms_return(now, run) {
                    return false;
                }
                if let Cause::Engine(former) = cause {
                    runs.retire(former);
                }
                self.set(now, subject, Cause::Engine(run), false)
            }
        }
    }

    /// Takes a mark from a peer; `true` when it is newer than the one held.
    pub fn merge(&mut self, now: Moment, mark: Mark) -> bool {
        let slot = mark.cause.slot();
        let newer = self
            .get(&mark.subject, slot)
            .is_none_or(|held| mark.order() > held.mark.order());
        if newer {
            if let Cause::Engine(run) = mark.cause {
                let runs = self.runs.entry(mark.subject.clone()).or_default();
                runs.observe(run);
            }
            self.store(now, mark);
        }
        newer
    }

    /// Merges all marks of a peer; those of which it holds an older one or none count as changed.
    pub(crate) fn merge_table(&mut self, now: Moment, marks: Vec<Mark>) {
        let theirs = marks.clone();
        for mark in marks {
            self.merge(now, mark);
        }
        let held: Vec<Mark> = self.held.values().map(|held| held.mark.clone()).collect();
        for mark in held.into_iter().filter(|mark| !theirs.contains(mark)) {
            self.store(now, mark);
        }
    }

    /// Drops marks that were cleared long ago.
    pub fn prune(&mut self, now: Moment) {
        self.held
            .retain(|_, held| held.mark.leaving || now.saturating_sub(held.changed) < KEEP_CLEARED);
    }

    /// Grows with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Marks that changed after `revision` and not before `moment`, oldest change first, each with its
    /// revision.
    #[must_use]
    pub fn changed_since(&self, revision: u64, moment: Moment) -> Vec<(u64, &Mark)> {
        let mut changed: Vec<(u64, &Mark)> = self
            .held
            .values()
            .filter(|held| held.revision > revision && held.changed >= moment)
            .map(|held| (held.revision, &held.mark))
            .collect();
        changed.sort_unstable_by_key(|(revision, _)| *revision);
        changed
    }

    fn get(&self, subject: &str, slot: Slot) -> Option<&Held> {
        self.held.get(&(CompactString::from(subject), slot))
    }

    fn set(&mut self, now: Moment, subject: &str, cause: Cause, leaving: bool) -> bool {
        let held = self.get(subject, cause.slot());
        let mark = Mark {
            subject: subject.into(),
            cause,
            stamp: held.map_or(1, |held| held.mark.stamp.saturating_add(1)),
            leaving,
        };
        self.store(now, mark);
        true
    }

    fn store(&mut self, now: Moment, mark: Mark) {
        self.revision += 1;
        let held = Held {
            revision: self.revision,
            changed: now,
            live_since: None,
            mark,
        };
        let key = (held.mark.subject.clone(), held.mark.cause.slot());
        self.held.insert(key, held);
    }
}

impl Mark {
    /// Of two marks with one stamp, `leaving` wins; the cause only makes the order total.
    fn order(&self) -> (u64, bool, Cause) {
        (self.stamp, self.leaving, self.cause)
    }
}

impl Cause {
    fn slot(self) -> Slot {
        match self {
            Self::Operator => Slot::Operator,
            Self::List => Slot::List,
            Self::Engine(_) => Slot::Engine,
        }
    }
}

impl Runs {
    fn observe(&mut self, run: Incarnation) {
        if self.current == Some(run) || self.former.contains(&run) {
            return;
        }
        if let Some(former) = self.current.replace(run) {
            self.retire(former);
        }
    }

    fn retire(&mut self, run: Incarnation) {
        if self.former.contains(&run) {
            return;
        }
        self.former.push_back(run);
        if self.former.len() > FORMER_RUNS {
            self.former.pop_front();
        }
    }

    fn confirms_return(&mut self, now: Moment, run: Incarnation) -> bool {
        match self.returning {
            Some((seen, since)) if seen == run => now.saturating_sub(since) >= RETURN_CONFIRM_TIME,
            _ => {
                self.returning = Some((run, now));
                false
            }
        }
    }
}
