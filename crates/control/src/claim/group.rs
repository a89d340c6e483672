//! Group commit: the attempts on one shard share its reads and go into one conditional update.

use std::{collections::BTreeSet, time::Duration};

use jaystand_types::{Moment, Version};

use super::{
    BodyHash, Fault, Input, Key, Machine, Nonce, Outcome, Reason, Reply, Seconds, Shard, Step,
};

/// Identity of an attempt within its group.
pub type Ticket = u64;

/// The attempts on one shard, and what was last read of it. At most one read or write is under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Group {
    members: Vec<Member>,
    found: Option<Copy>,
    phase: Phase,
    next_ticket: Ticket,
}

/// A copy of the shard, and whether it was read for the members that are waiting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Copy {
    version: Option<Version>,
    shard: Shard,
    fresh: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Idle,
    Reading,
    /// The shard as it will be if the write takes effect.
    Writing(Shard),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    ticket: Ticket,
    machine: Machine,
    want: Want,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Want {
    Read,
    /// Part of the write under way.
    Write,
    Elapse(Moment),
    /// Dispatched: waits for the request to end.
    End,
    /// To be removed.
    Nothing,
}

/// What the group needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the shard and call [`Group::handle_read`].
    Read,
    /// Write the shard if it is at `expected` and call [`Group::handle_write`].
    Write {
        /// The version that the shard must be at; none when it must not exist.
        expected: Option<Version>,
        /// The new content.
        shard: Shard,
    },
    /// Nothing before this time, unless an attempt begins or ends.
    Sleep(Moment),
    /// Nothing until an attempt begins or ends.
    Idle,
}

/// The end of an attempt's claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Send the request, once, then call [`Group::finish`].
    Dispatch,
    /// The first answer.
    Answer(Reply),
    /// Not dispatched.
    NotRun(Reason),
    /// An earlier request with the key may have run.
    Unknown(Reason),
    /// The key was used for another body.
    KeyReused,
}

impl Group {
    /// Adds an attempt. `nonce` must be random and new.
    pub fn acquire(&mut self, key: Key, body: BodyHash, nonce: Nonce) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let mut machine = Machine::new(key, body, nonce);
        // The machine's first step is always a read, whatever the time.
        machine.handle(0, Input::Start);
        self.members.push(Member {
            ticket,
            machine,
            want: Want::Read,
        });
        ticket
    }

    /// Takes the end of a dispatched request. Unknown tickets are ignored.
    pub fn finish(&mut self, now: Seconds, ticket: Ticket, outcome: Outcome) {
        let member = self
            .members
            .iter_mut()
            .find(|member| member.ticket == ticket);
        if let Some(member) = member.filter(|member| member.want == Want::End) {
            member.machine.handle(now, Input::Finished(outcome));
            member.want = Want::Read;
        }
    }

    /// Drops a dispatched request whose end will never be known. Its claim stays, so that repeats are `unknown`.
    pub fn forget(&mut self, ticket: Ticket) {
        let lost = |member: &Member| member.ticket == ticket && member.want == Want::End;
        self.members.retain(|member| !lost(member));
    }

    /// Gives up an attempt that has no verdict yet, because of its deadline or a shutdown. Returns its verdict, or
    /// nothing when it already had one.
    pub fn abandon(&mut self, now: Seconds, ticket: Ticket, reason: Reason) -> Option<Verdict> {
        let running = self.running();
        let member = self
            .members
            .iter_mut()
            .find(|member| member.ticket == ticket)?;
        let Step::NotRun(reason) = member.machine.handle(now, Input::Abandoned(reason)) else {
            return None;
        };
        if member.want != Want::Write {
            member.want = match member.machine.clean_up_delay() {
                Some(_) => Want::Elapse(Duration::ZERO),
                None => Want::Nothing,
            };
        }
        Some(if running.contains(&member.machine.key()) {
            Verdict::Unknown(Reason::InProgress)
        } else {
            Verdict::NotRun(reason)
        })
    }

    /// Whether the attempt has anything left to claim, finish or clear up.
    #[must_use]
    pub fn is_active(&self, ticket: Ticket) -> bool {
        let held = |member: &Member| member.ticket == ticket && member.want != Want::Nothing;
        self.members.iter().any(held)
    }

    /// Whether no attempt is claiming, finishing or being cleared up. Dispatched requests do not count.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let ended = |member: &Member| matches!(member.want, Want::End | Want::Nothing);
        self.phase == Phase::Idle && self.members.iter().all(ended)
    }

    /// Decides as much as is possible without I/O and returns what is needed next. `now` is monotonic, `wall` the
    /// wall clock. Must not be called while a read or write is under way.
    pub fn next_action(
        &mut self,
        now: Moment,
        wall: Seconds,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) -> Action {
        self.elapse(now, wall);
        self.members.retain(|member| member.want != Want::Nothing);
        if self.members.iter().any(|member| member.want == Want::Read) {
            let Some(mut copy) = self.found.take().filter(|copy| self.suffices(copy, wall)) else {
                self.phase = Phase::Reading;
                return Action::Read;
            };
            copy.fresh = false;
            if let Some(action) = self.decide(copy, now, wall, verdicts) {
                return action;
            }
        }
        self.members.retain(|member| member.want != Want::Nothing);
        let wake = self.members.iter().filter_map(|member| match member.want {
            Want::Elapse(at) => Some(at),
            _ => None,
        });
        wake.min().map_or(Action::Idle, Action::Sleep)
    }

    /// Takes the result of [`Action::Read`]; `None` when the shard does not exist.
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
                self.found = Some(Copy {
                    version,
                    shard,
                    fresh: true,
                });
            }
            Err(fault) => {
                let running = self.running();
                for member in &mut self.members {
                    if member.want == Want::Read {
                        let mut step = member.machine.handle(wall, Input::Read(Err(fault)));
                        let runs = running.contains(&member.machine.key());
                        if runs && matches!(step, Step::NotRun(_)) {
                            step = Step::Unknown(Reason::InProgress);
                        }
                        member.follow(step, now, verdicts);
                    }
                }
            }
        }
    }

    /// Takes the result of [`Action::Write`].
    pub fn handle_write(
        &mut self,
        now: Moment,
        wall: Seconds,
        result: Result<Version, Fault>,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) {
        let written = std::mem::take(&mut self.phase);
        self.found = match (result, written) {
            (Ok(version), Phase::Writing(shard)) => Some(Copy {
                version: Some(version),
                shard,
                fresh: false,
            }),
            _ => None,
        };
        for member in &mut self.members {
            if member.want == Want::Write {
                let step = member.machine.handle(wall, Input::Wrote(result));
                member.follow(step, now, verdicts);
            }
        }
    }

    /// Keys of requests that this group has dispatched and whose end is not yet recorded. A repeat that cannot read
    /// the shard is `unknown` then, not `not_run`.
    fn running(&self) -> BTreeSet<Key> {
        let dispatched = self
            .members
            .iter()
            .filter(|member| member.machine.was_dispatched());
        dispatched.map(|member| member.machine.key()).collect()
    }

    fn elapse(&mut self, now: Moment, wall: Seconds) {
        for member in &mut self.members {
            if matches!(member.want, Want::Elapse(at) if at <= now) {
                member.machine.handle(wall, Input::Elapsed);
                member.want = Want::Read;
            }
        }
    }

    /// Whether the copy may stand for a read: it was just read, or it can only lead to writes, which check it.
    fn suffices(&self, copy: &Copy, wall: Seconds) -> bool {
        let writes = |member: &Member| member.machine.would_write(&copy.shard, wall);
        let mut readers = self
            .members
            .iter()
            .filter(|member| member.want == Want::Read);
        copy.fresh || readers.all(writes)
    }

    /// Gives the shard to every member that waits for it, and gathers their records into one write. A second
    /// attempt on a key waits for the next round, since the first one's record is not yet committed.
    fn decide(
        &mut self,
        copy: Copy,
        now: Moment,
        wall: Seconds,
        verdicts: &mut Vec<(Ticket, Verdict)>,
    ) -> Option<Action> {
        let mut written = BTreeSet::new();
        let mut shard = copy.shard.clone();
        for member in &mut self.members {
            if member.want != Want::Read || written.contains(&member.machine.key()) {
                continue;
            }
            let found = copy.version.map(|version| (version, &shard));
            match member.machine.handle(wall, Input::Read(Ok(found))) {
                Step::Write { record, .. } => {
                    member.want = Want::Write;
                    written.insert(record.key);
                    shard.apply(record);
                }
                step => member.follow(step, now, verdicts),
            }
        }
        let expected = copy.version;
        self.found = Some(copy);
        if written.is_empty() {
            return None;
        }
        shard.expire(wall);
        self.phase = Phase::Writing(shard.clone());
        Some(Action::Write { expected, shard })
    }
}

impl Member {
    fn follow(&mut self, step: Step, now: Moment, verdicts: &mut Vec<(Ticket, Verdict)>) {
        let verdict = match step {
            Step::Read => {
                self.want = Want::Read;
                return;
            }
            Step::Wait(delay) => {
                self.want = Want::Elapse(now + delay);
                return;
            }
            // Writes are taken by `Group::decide`; no other input leads to one.
            Step::Settled | Step::Write { .. } => {
                self.want = Want::Nothing;
                return;
            }
            Step::Dispatch => {
                self.want = Want::End;
                verdicts.push((self.ticket, Verdict::Dispatch));
                return;
            }
            Step::Answer(reply) => Verdict::Answer(reply),
            Step::NotRun(reason) => Verdict::NotRun(reason),
            Step::Unknown(reason) => Verdict::Unknown(reason),
            Step::KeyReused => Verdict::KeyReused,
        };
        verdicts.push((self.ticket, verdict));
        let clean_up = self.machine.clean_up_delay();
        self.want = clean_up.map_or(Want::Nothing, |delay| Want::Elapse(now + delay));
    }
}
