//! The state machine of one attempt to run a request once.

use std::time::Duration;

use jaystand_types::Version;

use super::{BodyHash, Key, Lookup, Nonce, Reason, Record, Reply, Seconds, Shard, State};

/// Number of conflicts and lost writes after which a claim is given up; about 0.3 s with the delays in between.
const MAX_ATTEMPTS: u32 = 6;

/// Number of conflicts and lost writes that are followed by another read without delay. After more the shard is taken
/// to be contended.
const MAX_IMMEDIATE_RETRIES: u32 = 2;

/// Delay before the first retry, before it is randomised.
const FIRST_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Number of doublings after which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 9;

/// One attempt to run a request once: its claim, and then the recording of the result or the release of the claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    key: Key,
    body: BodyHash,
    nonce: Nonce,
    goal: Goal,
    phase: Phase,
    attempts: u32,
    pending_claim: PendingClaim,
}

/// Whether a claim whose answer was lost may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum PendingClaim {
    None,
    /// The greatest version that such a claim was written to replace; `None` for a shard that did not exist. The write
    /// may still take effect as long as the shard is at that version.
    Replacing(Option<Version>),
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

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// The attempt begins.
    Start,
    /// The shard was read; `None` if the object does not exist.
    Read(Result<Option<(Version, &'a Shard)>, Fault>),
    /// The shard was written and is at the given version.
    Wrote(Result<Version, Fault>),
    /// The dispatched request has ended.
    Finished(Outcome),
    /// The wait is over.
    Elapsed,
    /// The caller no longer waits for the claim. A recorded claim is released.
    Abandoned(Reason),
}

/// What the caller of the state machine has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the shard.
    Read,
    /// Apply the record to the shard as it was read, and write it back if it is still at `expected`.
    Write {
        /// The version that was read; `None` if the object does not exist.
        expected: Option<Version>,
        /// The record to apply.
        record: Record,
    },
    /// Send the request, once. The claim is recorded.
    Dispatch,
    /// Return this answer of an earlier request with the key.
    Answer(Reply),
    /// Report that this attempt did not and will not dispatch the request.
    NotRun(Reason),
    /// Report that an earlier request with the key may have run.
    Unknown(Reason),
    /// Report that the key was used for a request with another body.
    KeyReused,
    /// Pass in [`Input::Elapsed`] after this time.
    Wait(Duration),
    /// Do nothing.
    Settled,
}

/// The end of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request was answered.
    Replied(Reply),
    /// The request was provably not sent.
    NotSent,
}

jaystand_types::common! { value
    /// Why a read or a write failed.
    pub enum Fault {
        /// The shard is not at the expected version.
        Conflict,
        /// No answer arrived. The write may or may not have taken effect, or may do so later.
        Lost,
        /// The request was provably not accepted.
        Unavailable,
        /// The shard object cannot be decoded.
        Corrupt,
    }
}

impl Machine {
    /// Creates an attempt to run the request with the given body under `key`. `nonce` must be random and new.
    #[must_use]
    pub fn new(key: Key, body: BodyHash, nonce: Nonce) -> Self {
        Self {
            key,
            body,
            nonce,
            goal: Goal::Claim,
            phase: Phase::New,
            attempts: 0,
            pending_claim: PendingClaim::None,
        }
    }

    /// Returns the key of the request.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns whether the request was dispatched and its answer is not yet recorded.
    #[must_use]
    pub fn was_dispatched(&self) -> bool {
        let has_ended = matches!(self.goal, Goal::Finish(_));
        self.phase == Phase::Dispatched || (has_ended && self.phase != Phase::Settled)
    }

    /// Returns whether reading the given shard would lead to a write. A cached copy of the shard is sufficient then,
    /// since the conditional update checks its version.
    #[must_use]
    pub fn would_write(&self, shard: &Shard, now: Seconds) -> bool {
        let found = shard.find(self.key, now);
        let is_own = matches!(found, Lookup::Record(record) if record.nonce == self.nonce);
        match self.goal {
            Goal::Claim => found == Lookup::Absent && shard.has_room(),
            Goal::Finish(_) | Goal::Release => is_own,
        }
    }

    /// Returns the delay before [`Input::Elapsed`] if the attempt still has to clean up after its verdict.
    #[must_use]
    pub fn clean_up_delay(&self) -> Option<Duration> {
        (self.phase == Phase::Waiting).then(|| self.delay())
    }

    /// Handles an event at time `now` and returns what to do next. An input that does not fit the phase changes nothing
    /// and is answered by [`Step::Settled`] or by the current wait.
    pub fn handle(&mut self, now: Seconds, input: Input<'_>) -> Step {
        match (self.phase, input) {
            (Phase::New, Input::Start) | (Phase::Waiting, Input::Elapsed) => self.read(),
            (Phase::Reading, Input::Read(Ok(found))) => self.decide(now, found),
            (Phase::Reading, Input::Read(Err(fault))) => self.handle_read_fault(fault),
            (Phase::Writing { expected, claims }, Input::Wrote(result)) => {
                self.handle_write_result(result, expected, claims)
            }
            (Phase::Dispatched, Input::Finished(outcome)) => self.handle_finished(outcome),
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
        if self.pending_claim < PendingClaim::Replacing(version) {
            self.pending_claim = PendingClaim::None;
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
        let is_recorded = matches!(shard.find(self.key, now),
            Lookup::Record(record) if record.nonce == self.nonce);
        // If a lost claim may still take effect, the attempt writes even without a record of its own. Any update of
        // the shard makes the condition of that claim fail for good.
        if is_recorded || self.pending_claim != PendingClaim::None {
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

    fn handle_read_fault(&mut self, fault: Fault) -> Step {
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

    fn handle_write_result(
        &mut self,
        result: Result<Version, Fault>,
        expected: Option<Version>,
        claims: bool,
    ) -> Step {
        match result {
            Ok(_) if claims && self.goal == Goal::Claim => self.dispatch(),
            // The attempt was abandoned while its claim was being written.
            Ok(_) if claims => self.read(),
            Ok(_) => self.settle(),
            Err(Fault::Lost) => {
                if claims {
                    self.pending_claim = self.pending_claim.max(PendingClaim::Replacing(expected));
                }
                self.read_back()
            }
            Err(Fault::Conflict) => self.retry(),
            // The write was not accepted, so the caller can repeat the request. Retries would add to an overload.
            Err(Fault::Unavailable | Fault::Corrupt) if self.goal == Goal::Claim => {
                self.conclude(Step::NotRun(Reason::Unreachable))
            }
            Err(Fault::Unavailable | Fault::Corrupt) => self.wait(),
        }
    }

    /// Reads the shard after a lost or conflicting write, the first times without delay. The read is never skipped,
    /// since after a lost write it may find the claim even when no further write is allowed.
    fn read_back(&mut self) -> Step {
        if self.attempts >= MAX_IMMEDIATE_RETRIES {
            return self.wait();
        }
        self.attempts += 1;
        self.read()
    }

    /// Retries after a conflict, or gives up a contended claim.
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

    fn handle_finished(&mut self, outcome: Outcome) -> Step {
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
            // The result of the write under way decides what there is to release.
            Phase::Writing { .. } => {
                self.goal = Goal::Release;
                Step::NotRun(reason)
            }
            Phase::New | Phase::Reading | Phase::Waiting => self.conclude(Step::NotRun(reason)),
        }
    }

    /// Ends the claim with a verdict. If a lost claim may still take effect, the attempt goes on to clean up.
    fn conclude(&mut self, verdict: Step) -> Step {
        if self.pending_claim == PendingClaim::None {
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

    /// Returns a delay between half and all of a value that doubles with each attempt. The nonce replaces a random
    /// source, so that equal machines behave equally.
    fn delay(&self) -> Duration {
        let max = FIRST_DELAY * 2_u32.pow(self.attempts.min(MAX_DOUBLINGS));
        let jitter = u32::try_from(self.nonce.rotate_left(self.attempts) % 1024).unwrap_or(0);
        (max / 2 + max / 2 * jitter / 1024).min(MAX_DELAY)
    }
}
