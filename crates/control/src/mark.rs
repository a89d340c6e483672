//! Marks that say that a host or backend server is leaving. A single mark suffices, and only newer evidence clears it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use compact_str::CompactString;
use jaystand_types::{Incarnation, Moment};

/// How long the platform's host list must say `live`, without a `leaving` in between, before the list's mark is
/// cleared. The list lags behind.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(20);

/// How long after its first answer a new run of an engine must answer again before the mark of another run is
/// cleared. A single answer may be a late one of a former run.
pub const RETURN_CONFIRM_TIME: Duration = Duration::from_secs(1);

/// How long cleared marks are kept. Longer than data centres stay cut off, so that an old mark cannot return.
const CLEARED_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Number of former runs of a server whose late answers are recognised.
const MAX_FORMER_RUNS: usize = 4;

jaystand_types::common! { value
    /// The source of a mark. The `Debug` output is part of [`Members::summary`](crate::member::Members::summary).
    pub enum Cause {
        /// An operator.
        Operator,
        /// The platform's host list.
        List,
        /// The given run of the engine itself.
        Engine(Incarnation),
    }

    /// The kind of a cause; a subject has at most one mark of each.
    enum Slot {
        Operator,
        List,
        Engine,
    }
}

jaystand_types::common! { data
    /// A statement that a subject is leaving, or no longer is. The `Debug` output is part of
    /// [`Members::summary`](crate::member::Members::summary).
    #[derive(Eq)]
    pub struct Mark {
        /// Name of the host or backend server.
        pub subject: CompactString,
        /// Source of the mark.
        pub cause: Cause,
        /// Number that orders the marks of one subject and kind of cause; greater is newer.
        pub stamp: u64,
        /// Whether the subject is leaving; `false` in a cleared mark.
        pub leaving: bool,
    }
}

/// All marks that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    known: BTreeMap<(CompactString, Slot), Known>,
    runs: BTreeMap<CompactString, Runs>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Known {
    mark: Mark,
    revision: u64,
    changed_at: Moment,
    /// Since when the host list has said `live` again.
    live_since: Option<Moment>,
}

/// The runs of an engine that are known from its answers and from marks.
#[derive(Clone, Debug, Default)]
struct Runs {
    current: Option<Incarnation>,
    former: VecDeque<Incarnation>,
    /// The run whose second answer is awaited, and when it first answered.
    returning: Option<(Incarnation, Moment)>,
}

impl Marks {
    /// Returns whether any mark says that the subject is leaving.
    #[must_use]
    pub fn is_leaving(&self, subject: &str) -> bool {
        [Slot::Operator, Slot::List, Slot::Engine]
            .into_iter()
            .any(|slot| {
                self.get(subject, slot)
                    .is_some_and(|known| known.mark.leaving)
            })
    }

    /// Returns whether an operator's mark says that the subject is leaving.
    #[must_use]
    pub fn is_drained(&self, subject: &str) -> bool {
        self.get(subject, Slot::Operator)
            .is_some_and(|known| known.mark.leaving)
    }

    /// Iterates over the subjects that are leaving, each once.
    pub fn leaving_subjects(&self) -> impl Iterator<Item = &CompactString> {
        let mut last = None;
        self.known
            .iter()
            .filter(|(_, known)| known.mark.leaving)
            .map(|((subject, _), _)| subject)
            .filter(move |subject| last.replace(*subject) != Some(*subject))
    }

    /// Iterates over all marks, cleared ones included.
    pub fn all(&self) -> impl Iterator<Item = &Mark> {
        self.known.values().map(|known| &known.mark)
    }

    /// Sets or clears the operators' mark. Returns whether it changed.
    pub fn set_drained(&mut self, now: Moment, subject: &str, leaving: bool) -> bool {
        let unchanged = self.is_drained(subject) == leaving;
        !unchanged && self.set(now, subject, Cause::Operator, leaving)
    }

    /// Records what the platform's host list says of a subject. Returns whether the mark changed.
    pub fn observe_listing(&mut self, now: Moment, subject: &str, leaving: bool) -> bool {
        let key = (CompactString::from(subject), Slot::List);
        let Some(known) = self.known.get_mut(&key).filter(|known| known.mark.leaving) else {
            return leaving && self.set(now, subject, Cause::List, true);
        };
        if leaving {
            known.live_since = None;
            return false;
        }
        let since = *known.live_since.get_or_insert(now);
        let settled = now.saturating_sub(since) >= LIST_SETTLE_TIME;
        settled && self.set(now, subject, Cause::List, false)
    }

    /// Records what a run of an engine says of itself. Returns whether the mark changed.
    pub fn observe_engine(
        &mut self,
        now: Moment,
        subject: &str,
        run: Incarnation,
        leaving: bool,
    ) -> bool {
        let marked = self
            .get(subject, Slot::Engine)
            .filter(|known| known.mark.leaving)
            .map(|known| known.mark.cause);
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
                if !runs.confirm_return(now, run) {
                    return false;
                }
                if let Cause::Engine(former) = cause {
                    runs.retire(former);
                }
                self.set(now, subject, Cause::Engine(run), false)
            }
        }
    }

    /// Merges a mark from a peer. Returns `true` if it is newer than the known one.
    pub fn merge(&mut self, now: Moment, mark: Mark) -> bool {
        let slot = mark.cause.slot();
        let newer = self
            .get(&mark.subject, slot)
            .is_none_or(|known| mark.order_key() > known.mark.order_key());
        if newer {
            if let Cause::Engine(run) = mark.cause {
                let runs = self.runs.entry(mark.subject.clone()).or_default();
                runs.observe(run);
            }
            self.store(now, mark);
        }
        newer
    }

    /// Merges all marks of a peer. Marks that the peer lacks or holds in another version count as changed.
    pub(crate) fn merge_table(&mut self, now: Moment, marks: Vec<Mark>) {
        let received = marks.clone();
        for mark in marks {
            self.merge(now, mark);
        }
        let known: Vec<Mark> = self
            .known
            .values()
            .map(|known| known.mark.clone())
            .collect();
        for mark in known.into_iter().filter(|mark| !received.contains(mark)) {
            self.store(now, mark);
        }
    }

    /// Removes marks that were cleared long ago.
    pub fn prune(&mut self, now: Moment) {
        self.known.retain(|_, known| {
            known.mark.leaving || now.saturating_sub(known.changed_at) < CLEARED_RETENTION
        });
    }

    /// Returns a number that grows with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the marks that changed after `revision` and at or after `moment`, oldest change first, each with its
    /// revision.
    #[must_use]
    pub fn changed_since(&self, revision: u64, moment: Moment) -> Vec<(u64, &Mark)> {
        let mut changed: Vec<(u64, &Mark)> = self
            .known
            .values()
            .filter(|known| known.revision > revision && known.changed_at >= moment)
            .map(|known| (known.revision, &known.mark))
            .collect();
        changed.sort_unstable_by_key(|(revision, _)| *revision);
        changed
    }

    fn get(&self, subject: &str, slot: Slot) -> Option<&Known> {
        self.known.get(&(CompactString::from(subject), slot))
    }

    fn set(&mut self, now: Moment, subject: &str, cause: Cause, leaving: bool) -> bool {
        let known = self.get(subject, cause.slot());
        let mark = Mark {
            subject: subject.into(),
            cause,
            stamp: known.map_or(1, |known| known.mark.stamp.saturating_add(1)),
            leaving,
        };
        self.store(now, mark);
        true
    }

    fn store(&mut self, now: Moment, mark: Mark) {
        self.revision += 1;
        let known = Known {
            revision: self.revision,
            changed_at: now,
            live_since: None,
            mark,
        };
        let key = (known.mark.subject.clone(), known.mark.cause.slot());
        self.known.insert(key, known);
    }
}

impl Mark {
    /// Returns the key by which marks are ordered. Of two marks with the same stamp, `leaving` wins; the cause only
    /// makes the order total.
    fn order_key(&self) -> (u64, bool, Cause) {
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
    /// Records an answer or a mark of a run, which becomes the current one unless it is known.
    fn observe(&mut self, run: Incarnation) {
        if self.current == Some(run) || self.former.contains(&run) {
            return;
        }
        if let Some(former) = self.current.replace(run) {
            self.retire(former);
        }
    }

    /// Adds a run to the former ones.
    fn retire(&mut self, run: Incarnation) {
        if self.former.contains(&run) {
            return;
        }
        self.former.push_back(run);
        if self.former.len() > MAX_FORMER_RUNS {
            self.former.pop_front();
        }
    }

    /// Returns whether `run` first answered at least [`RETURN_CONFIRM_TIME`] ago, and notes its first answer.
    fn confirm_return(&mut self, now: Moment, run: Incarnation) -> bool {
        match self.returning {
            Some((returning, since)) if returning == run => {
                now.saturating_sub(since) >= RETURN_CONFIRM_TIME
            }
            _ => {
                self.returning = Some((run, now));
                false
            }
        }
    }
}
