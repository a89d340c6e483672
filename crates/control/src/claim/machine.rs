//! The decisions of one attempt to run a request once.

use std::time::Duration;

use jaystand_types::Version;

use super::{BodyHash, Key, Lookup, Nonce, Reason, Record, Reply, Seconds, Shard, State};

/// Conflicts and lost writes after which a claim is given up; about 0.3 s with the delays in between.
const MAX_ATTEMPTS: u32 = 6;

/// Conflicts that are followed by another read at once. Beyond these the shard is contended.
const IMMEDIATE_ATTEMPTS: u32 = 2;

const FIRST_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Doublings after which the delay is at its greatest.
const MAX_DOUBLINGS: u32 = 9;

/// One attempt to run a request once: the claim, then the record of its result or its release.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    key: Key,
    body: BodyHash,
    nonce: Nonce,
    goal: Goal,
    phase: Phase,
    attempts: u32,
    unsettled: Unsettled,
}

/// Whether a claim was written whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Unsettled {
    No,
    /// The greatest version on which such a claim was written; none for a shard that did not exist. The write may
    /// still take effect as long as the shard is at that version.
    On(Option<Version>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Goal {
    Claim,
    Finish(Option<Reply>),
    Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    New,
    Reading,
    Writing {
        expected: Option<Version>,
        claims: bool,
    },
    Waiting,
    Dispatched,
    Settled,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// The attempt begins.
    Start,
    /// The shard was read; `None` when the object does not exist.
    Read(Result<Option<(Version, &'a Shard)>, Fault>),
    /// The shard was written, at the returned version.
    Wrote(Result<Version, Fault>),
    /// The dispatched request has ended.
    Finished(Outcome),
    /// The wait is over.
    Elapsed,
    /// Nobody waits for the claim any more; a claim that was recorded is released.
    Abandoned(Reason),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the shard.
    Read,
    /// Apply the record to the shard as it was read, and write it back if it is still at `expected`.
    Write {
        /// The version that was read; none when the object does not exist.
        expected: Option<Version>,
        /// The record to apply.
        record: Record,
    },
    /// The claim is recorded: send the request, once.
    Dispatch,
    /// The request ran before; this was its answer.
    Answer(Reply),
    /// The request was not and will not be dispatched by this attempt.
    NotRun(Reason),
    /// An earlier request with the key may have run.
    Unknown(Reason),
    /// The key was used for a request with another body.
    KeyReused,
    /// Give [`Input::Elapsed`] after this time.
    Wait(Duration),
    /// Nothing is left to do.
    Settled,
}

/// What became of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was answered.
    Replied(Reply),
    /// It was provably not sent.
    NotSent,
}

jaystand_types::common! { value
    /// Why a read or a write failed.
    pub enum Fault {
        /// The shard is not at the expected version.
        Conflict,
        /// No answer; the write may or may not have taken effect, or may do so later.
        Lost,
        /// The request was provably not taken.
        Unavailable,
        /// The shard object cannot be understood.
        Corrupt,
    }
}

impl Machine {
    /// An attempt to run the request `body` under `key`. `nonce` must be random and new.
    #[must_use]
    pub fn new(key: Key, body: BodyHash, nonce: Nonce) -> Self {
        Self {
            key,
            body,
            nonce,
            goal: Goal::Claim,
            phase: Phase::New,
            attempts: 0,
            unsettled: Unsettled::No,
        }
    }

    /// The claimed key.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Whether the request was dispatched and its answer is not yet recorded.
    #[must_use]
    pub fn was_dispatched(&self) -> bool {
        let ended = matches!(self.goal, Goal::Finish(_));
        self.phase == Phase::Dispatched || (ended && self.phase != Phase::Settled)
    }

    /// Whether the next read can only lead to a write if the shard is as given. A read from memory is enough then,
    /// since the conditional update checks it.
    #[must_use]
    pub fn would_write(&self, shard: &Shard, now: Seconds) -> bool {
        let found = shard.find(self.key, now);
        let own = matches!(found, Lookup::Record(record) if record.nonce == self.nonce);
        match self.goal {
            Goal::Claim => found == Lookup::Absent && shard.has_room(),
            Goal::Finish(_) | Goal::Release => own,
        }
    }

    /// After a verdict: the delay before [`Input::Elapsed`] if the attempt has something to clear up.
    #[must_use]
    pub fn clean_up_delay(&self) -> Option<Duration> {
        (self.phase == Phase::Waiting).then(|| self.delay())
    }

    /// Takes what happened at time `now` and returns what to do. Inputs that do not fit the phase are answered by
    /// [`Step::Settled`] or by repeating the wait; they change nothing.
    pub fn handle(&mut self, now: Seconds, input: Input<'_>) -> Step {
        match (self.phase, input) {
            (Phase::New, Input::Start) | (Phase::Waiting, Input::Elapsed) => self.read(),
            (Phase::Reading, Input::Read(Ok(found))) => self.decide(now, found),
            (Phase::Reading, Input::Read(Err(fault))) => self.read_failed(fault),
            (Phase::Writing { expected, claims }, Input::Wrote(result)) => {
                self.wrote(result, expected, claims)
            }
            (Phase::Dispatched, Input::Finished(outcome)) => self.finished(outcome),
            (phase, Input::Abandoned(reason)) if self.goal == Goal::Claim => {
                self.abandon(phase, reason)
            }
            (Phase::Waiting, _) => Step::Wait(self.delay()),
            _ => Step::Settled,
        }
    }

    fn read(&mut self) -> Step {
        self.phase = Phase::Reading;
        Step::Read
    }

    fn decide(&mut self, now: Seconds, found: Option<(Version, &Shard)>) -> Step {
        let empty = Shard::default();
        let (version, shard) = match found {
            Some((version, shard)) => (Some(version), shard),
            None => (None, &empty),
        };
        if self.unsettled < Unsettled::On(version) {
            self.unsettled = Unsettled::No;
        }
        match self.goal.clone() {
            Goal::Claim => self.decide_claim(now, version, shard),
            Goal::Finish(reply) => self.decide_finish(now, version, shard, reply),
            Goal::Release => self.decide_release(now, version, shard),
        }
    }

    fn decide_claim(&mut self, now: Seconds, version: Option<Version>, shard: &Shard) -> Step {
        let record = match shard.find(self.key, now) {
            Lookup::Expired => return self.conclude(Step::Unknown(Reason::Expired)),
            Lookup::Record(record) => record,
            Lookup::Absent if !shard.has_room() => {
                return self.conclude(Step::NotRun(Reason::Full));
            }
            Lookup::Absent if self.attempts >= MAX_ATTEMPTS => {
                return self.conclude(Step::NotRun(Reason::Unreachable));
            }
            Lookup::Absent => return self.write(version, State::Claimed, now),
        };
        if record.nonce == self.nonce {
            return self.dispatch();
        }
        if record.body != self.body {
            return self.conclude(Step::KeyReused);
        }
        let verdict = match &record.state {
            State::Done(Some(reply)) => Step::Answer(reply.clone()),
            State::Done(None) => Step::Unknown(Reason::NotKept),
            State::Claimed | State::Released => Step::Unknown(Reason::InProgress),
        };
        self.conclude(verdict)
    }

    fn decide_finish(
        &mut self,
        now: Seconds,
        version: Option<Version>,
        shard: &Shard,
        reply: Option<Reply>,
    ) -> Step {
        match shard.find(self.key, now) {
            Lookup::Record(record)
                if record.nonce == self.nonce && record.state == State::Claimed =>
            {
                self.write(version, State::Done(reply), record.claimed_at)
            }
            _ => self.settle(),
        }
    }

    fn decide_release(&mut self, now: Seconds, version: Option<Version>, shard: &Shard) -> Step {
        let held = matches!(shard.find(self.key, now),
            Lookup::Record(record) if record.nonce == self.nonce);
        // Without a record of its own, the attempt still writes if a lost claim may arrive later: any update of the
        // shard makes that claim's condition fail for good.
        if held || self.unsettled != Unsettled::No {
            self.write(version, State::Released, now)
        } else {
            self.settle()
        }
    }

    fn write(&mut self, expected: Option<Version>, state: State, claimed_at: Seconds) -> Step {
        let claims = state == State::Claimed;
        self.phase = Phase::Writing { expected, claims };
        let record = Record {
            key: self.key,
            body: self.body,
            nonce: self.nonce,
            claimed_at,
            state,
        };
        Step::Write { expected, record }
    }

    fn read_failed(&mut self, fault: Fault) -> Step {
        if self.goal == Goal::Claim {
            let reason = if fault == Fault::Corrupt {
                Reason::Corrupt
            } else {
                Reason::Unreachable
            };
            return self.conclude(Step::NotRun(reason));
        }
        self.wait()
    }

    fn wrote(
        &mut self,
        result: Result<Version, Fault>,
        expected: Option<Version>,
        claims: bool,
    ) -> Step {
        match result {
            Ok(_) if claims && self.goal == Goal::Claim => self.dispatch(),
            // The claim was abandoned while it was being written.
            Ok(_) if claims => self.read(),
            Ok(_) => self.settle(),
            Err(Fault::Lost) => {
                if claims {
                    self.unsettled = self.unsettled.max(Unsettled::On(expected));
                }
                self.read_back()
            }
            Err(Fault::Conflict) => self.retry(),
            // Nothing was taken, so that the caller can come back; more calls would only add to an overload.
            Err(Fault::Unavailable | Fault::Corrupt) if self.goal == Goal::Claim => {
                self.conclude(Step::NotRun(Reason::Unreachable))
            }
            Err(Fault::Unavailable | Fault::Corrupt) => self.wait(),
        }
    }

    /// Reads the shard after a write that was lost or conflicted, the first times at once. After a lost write the
    /// read may still find the claim when no further write is allowed, so it is never skipped.
    fn read_back(&mut self) -> Step {
        if self.attempts >= IMMEDIATE_ATTEMPTS {
            return self.wait();
        }
        self.attempts += 1;
        self.read()
    }

    /// Tries again after a conflict.
    fn retry(&mut self) -> Step {
        if self.goal == Goal::Claim && self.attempts + 1 >= MAX_ATTEMPTS {
            return self.conclude(Step::NotRun(Reason::Contended));
        }
        self.read_back()
    }

    fn wait(&mut self) -> Step {
        let delay = self.delay();
        self.attempts = (self.attempts + 1).min(MAX_DOUBLINGS);
        self.phase = Phase::Waiting;
        Step::Wait(delay)
    }

    fn dispatch(&mut self) -> Step {
        self.phase = Phase::Dispatched;
        Step::Dispatch
    }

    fn finished(&mut self, outcome: Outcome) -> Step {
        self.attempts = 0;
        self.goal = match outcome {
            Outcome::Replied(reply) => Goal::Finish(reply.is_kept().then_some(reply)),
            Outcome::NotSent => Goal::Release,
        };
        self.read()
    }

    fn abandon(&mut self, phase: Phase, reason: Reason) -> Step {
        match phase {
            Phase::Dispatched | Phase::Settled => Step::Settled,
            // The write is under way; its result decides what there is to release.
            Phase::Writing { .. } => {
                self.goal = Goal::Release;
                Step::NotRun(reason)
            }
            Phase::New | Phase::Reading | Phase::Waiting => self.conclude(Step::NotRun(reason)),
        }
    }

    /// Ends the claim with a verdict. A lost write that may still take effect is left to be cleared up.
    fn conclude(&mut self, verdict: Step) -> Step {
        if self.unsettled == Unsettled::No {
            self.phase = Phase::Settled;
        } else {
            self.goal = Goal::Release;
            self.phase = Phase::Waiting;
        }
        verdict
    }

    fn settle(&mut self) -> Step {
        self.phase = Phase::Settled;
        Step::Settled
    }

    /// A delay that doubles with the attempts, between half and all of it. The nonce takes the place of a random
    /// source, so that equal machines behave equally.
    fn delay(&self) -> Duration {
        let whole = FIRST_DELAY * 2_u32.pow(self.attempts.min(MAX_DOUBLINGS));
        let spread = u32::try_from(self.nonce.rotate_left(self.attempts) % 1024).unwrap_or(0);
        (whole / 2 + whole / 2 * spread / 1024).min(MAX_DELAY)
    }
}
