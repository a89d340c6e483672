//! Group commit: concurrent attempts on one shard share its reads and its conditional updates.

use std::{collections::BTreeSet, time::Duration};

use jaystand_types::{Moment, Version};

use super::{
    BodyHash, Fault, Input, Key, Machine, Nonce, Outcome, Reason, Reply, Seconds, Shard, Step,
};

/// Identifies an attempt within its group.
pub type Ticket = u64;

/// The attempts on one shard and its last known content. At most one read or write is under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Group {
    members: Vec<Member>,
    snapshot: Option<Snapshot>,
    phase: Phase,
    next_ticket: Ticket,
}

/// A copy of the shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Snapshot {
    /// Version of the shard object; `None` if it does not exist.
    version: Option<Version>,
    shard: Shard,
    /// Whether the shard was read for the members that are waiting, and has not been used yet.
    fresh: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Idle,
    Reading,
    /// The content of the shard if the write takes effect.
    Writing(Shard),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    ticket: Ticket,
    machine: Machine,
    waits_for: Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wait {
    Read,
    /// The member's record is part of the write under way.
    Write,
    Until(Moment),
    /// The request was dispatched and has not ended.
    Finish,
    /// The member is to be removed.
    Nothing,
}

/// What the caller of the group has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the shard, and call [`Group::handle_read`].
    Read,
    /// Write the shard if it is at version `expected`, and call [`Group::handle_write`].
    Write {
        /// The version to replace; `None` if the shard must not exist.
        expected: Option<Version>,
        /// The new content.
        shard: Shard,
    },
    /// Do nothing until this time or until an attempt begins or ends.
    Sleep(Moment),
    /// Do nothing until an attempt begins or ends.
    Idle,
}

/// The result of an attempt's claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Send the request, once, then call [`Group::finish`].
    Dispatch,
    /// Return this answer of an earlier request with the key.
    Answer(Reply),
    /// The request was not dispatched.
    NotRun(Reason),
    /// An earlier request with the key may have run.
    Unknown(Reason),
    /// The key was used for a request with another body.
    KeyReused,
}

impl Group {
    /// Adds an attempt and returns its ticket. `nonce` must be random and new.
    pub fn acquire(&mut self, key: Key, body: BodyHash, nonce: Nonce) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let mut machine = Machine::new(key, body, nonce);
        // The first step of a machine is a read at any time.
        machine.handle(0, Input::Start);
        self.members.push(Member {
            ticket,
            machine,
            waits_for: Wait::Read,
        });
        ticket
    }

    /// Records the end of a dispatched request. Unknown tickets are ignored.
    pub fn finish(&mut self, now: Seconds, ticket: Ticket, outcome: Outcome) {
        let member = self
            .members
            .iter_mut()
            .find(|member| member.ticket == ticket);
        if let Some(member) = member.filter(|member| member.waits_for == Wait::Finish) {
            member.machine.handle(now, Input::Finished(outcome));
            member.waits_for = Wait::Read;
        }
    }

    /// Removes a dispatched request whose end will never be known. Its claim stays, so repeats are `unknown`.
    pub fn forget(&mut self, ticket: Ticket) {
        let is_forgotten =
            |member: &Member| member.ticket == ticket && member.waits_for == Wait::Finish;
        self.members.retain(|member| !is_forgotten(member));
    }

    /// Gives up an attempt that has no verdict yet, because of its deadline or a shutdown. Returns its verdict, or
    /// `None` if it already had one.
    pub fn abandon(&mut self, now: Seconds, ticket: Ticket, reason: Reason) -> Option<Verdict> {
        let running = self.running_keys();
        let member = self
            .members
            .iter_mut()
            .find(|member| member.ticket == ticket)?;
        let Step::NotRun(reason) = member.machine.handle(now, Input::Abandoned(reason)) else {
            return None;
        };
        if member.waits_for != Wait::Write {
            member.waits_for = match member.machine.clean_up_delay() {
                Some(_) => Wait::Until(Duration::ZERO),
                None => Wait::Nothing,
            };
        }
        Some(if running.contains(&member.machine.key()) {
            Verdict::Unknown(Reason::InProgress)
        } else {
            Verdict::NotRun(reason)
        })
    }

    /// Returns whether the attempt is still claiming, dispatched, recording its result or cleaning up.
    #[must_use]
    pub fn is_active(&self, ticket: Ticket) -> bool {
        let is_active =
            |member: &Member| member.ticket == ticket && member.waits_for != Wait::Nothing;
        self.members.iter().any(is_active)
    }

    /// Returns whether no attempt is claiming, recording its result or cleaning up. Dispatched requests do not count.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let is_settled = |member: &Member| matches!(member.waits_for, Wait::Finish | Wait::Nothing);
        self.phase == Phase::Idle && self.members.iter().all(is_settled)
    }

    /// Decides as much as possible without I/O, adds the verdicts to `verdicts`, and returns what to do next. `now` is
    /// monotonic time, `wall` wall-clock time. Must not be called while a read or write is under way.
    pub fn next_action(
        &mut self,
        now: Moment,
        wall: Seconds,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) -> Action {
        self.resume_waiting(now, wall);
        self.members
            .retain(|member| member.waits_for != Wait::Nothing);
        if self
            .members
            .iter()
            .any(|member| member.waits_for == Wait::Read)
        {
            let Some(mut snapshot) = self
                .snapshot
                .take()
                .filter(|snapshot| self.is_usable(snapshot, wall))
            else {
                self.phase = Phase::Reading;
                return Action::Read;
            };
            snapshot.fresh = false;
            if let Some(action) = self.decide(snapshot, now, wall, verdicts) {
                return action;
            }
        }
        self.members
            .retain(|member| member.waits_for != Wait::Nothing);
        let wake_times = self
            .members
            .iter()
            .filter_map(|member| match member.waits_for {
                Wait::Until(time) => Some(time),
                _ => None,
            });
        wake_times.min().map_or(Action::Idle, Action::Sleep)
    }

    /// Handles the result of [`Action::Read`], which is `None` if the shard does not exist.
    pub fn handle_read(
        &mut self,
        now: Moment,
        wall: Seconds,
        result: Result<Option<(Version, Shard)>, Fault>,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) {
        self.phase = Phase::Idle;
        match result {
            Ok(found) => {
                let (version, shard) = found
                    .map_or((None, Shard::default()), |(version, shard)| {
                        (Some(version), shard)
                    });
                self.snapshot = Some(Snapshot {
                    version,
                    shard,
                    fresh: true,
                });
            }
            Err(fault) => {
                let running = self.running_keys();
                for member in &mut self.members {
                    if member.waits_for == Wait::Read {
                        let mut step = member.machine.handle(wall, Input::Read(Err(fault)));
                        let is_running = running.contains(&member.machine.key());
                        if is_running && matches!(step, Step::NotRun(_)) {
                            step = Step::Unknown(Reason::InProgress);
                        }
                        member.apply_step(step, now, verdicts);
                    }
                }
            }
        }
    }

    /// Handles the result of [`Action::Write`].
    pub fn handle_write(
        &mut self,
        now: Moment,
        wall: Seconds,
        result: Result<Version, Fault>,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) {
        let phase = std::mem::take(&mut self.phase);
        self.snapshot = match (result, phase) {
            (Ok(version), Phase::Writing(shard)) => Some(Snapshot {
                version: Some(version),
                shard,
                fresh: false,
            }),
            _ => None,
        };
        for member in &mut self.members {
            if member.waits_for == Wait::Write {
                let step = member.machine.handle(wall, Input::Wrote(result));
                member.apply_step(step, now, verdicts);
            }
        }
    }

    /// Returns the keys of requests that this group has dispatched and whose end is not yet recorded. A repeat of them
    /// that cannot read the shard is `unknown`, not `not_run`.
    fn running_keys(&self) -> BTreeSet<Key> {
        let dispatched = self
            .members
            .iter()
            .filter(|member| member.machine.was_dispatched());
        dispatched.map(|member| member.machine.key()).collect()
    }

    /// Resumes the members whose wait is over.
    fn resume_waiting(&mut self, now: Moment, wall: Seconds) {
        for member in &mut self.members {
            if matches!(member.waits_for, Wait::Until(time) if time <= now) {
                member.machine.handle(wall, Input::Elapsed);
                member.waits_for = Wait::Read;
            }
        }
    }

    /// Returns whether the snapshot may replace a read: either it was just read, or it leads only to writes, which
    /// check its version.
    fn is_usable(&self, snapshot: &Snapshot, wall: Seconds) -> bool {
        let would_write = |member: &Member| member.machine.would_write(&snapshot.shard, wall);
        let mut readers = self
            .members
            .iter()
            .filter(|member| member.waits_for == Wait::Read);
        snapshot.fresh || readers.all(would_write)
    }

    /// Passes the shard to every member that waits for a read, and combines their records into one write. A second
    /// attempt on a key waits for the next read, since the record of the first one is not yet committed.
    fn decide(
        &mut self,
        snapshot: Snapshot,
        now: Moment,
        wall: Seconds,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) -> Option<Action> {
        let mut written_keys = BTreeSet::new();
        let mut shard = snapshot.shard.clone();
        for member in &mut self.members {
            if member.waits_for != Wait::Read || written_keys.contains(&member.machine.key()) {
                continue;
            }
            let found = snapshot.version.map(|version| (version, &shard));
            match member.machine.handle(wall, Input::Read(Ok(found))) {
                Step::Write { record, .. } => {
                    member.waits_for = Wait::Write;
                    written_keys.insert(record.key);
                    shard.apply(record);
                }
                step => member.apply_step(step, now, verdicts),
            }
        }
        let expected = snapshot.version;
        self.snapshot = Some(snapshot);
        if written_keys.is_empty() {
            return None;
        }
        shard.expire(wall);
        self.phase = Phase::Writing(shard.clone());
        Some(Action::Write { expected, shard })
    }
}

impl Member {
    /// Notes what the member waits for after a step of its machine, and adds its verdict if there is one.
    fn apply_step(&mut self, step: Step, now: Moment, verdicts: &mut Vec<(Ticket, Verdict)>) {
        let verdict = match step {
            Step::Read => {
                self.waits_for = Wait::Read;
                return;
            }
            Step::Wait(delay) => {
                self.waits_for = Wait::Until(now + delay);
                return;
            }
            // `Group::decide` handles writes, and no other input leads to one.
            Step::Settled | Step::Write { .. } => {
                self.waits_for = Wait::Nothing;
                return;
            }
            Step::Dispatch => {
                self.waits_for = Wait::Finish;
                verdicts.push((self.ticket, Verdict::Dispatch));
                return;
            }
            Step::Answer(reply) => Verdict::Answer(reply),
            Step::NotRun(reason) => Verdict::NotRun(reason),
            Step::Unknown(reason) => Verdict::Unknown(reason),
            Step::KeyReused => Verdict::KeyReused,
        };
        verdicts.push((self.ticket, verdict));
        let clean_up_delay = self.machine.clean_up_delay();
        self.waits_for = clean_up_delay.map_or(Wait::Nothing, |delay| Wait::Until(now + delay));
    }
}
