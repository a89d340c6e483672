//! Requests that have not ended: where each one waits or runs, and whether it may have run.

use jaystand_types::{Moment, Outcome, RepeatRule, ServerId};
use smallvec::SmallVec;

use crate::{AttemptNumber, Request, teams::KindIndex};

/// Where a request waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the queue of a server.
    Queued(ServerId),
    /// Waiting for its next attempt, which a timer starts.
    Backoff,
    /// At least one attempt runs.
    Running,
}

/// How the next attempt differs from a first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NextAttempt {
    /// The server to resume the stream on, if any.
    pub(crate) resume_on: Option<ServerId>,
    /// Whether to use a new connection.
    pub(crate) fresh_connection: bool,
}

/// A running attempt.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact about the attempt"
)]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) server: ServerId,
    /// Whether the server has left the configuration. `server` then keeps its last id.
    pub(crate) detached: bool,
    pub(crate) sent_at: Moment,
    /// Prompt tokens of other requests that were pending on the server when the attempt was sent.
    pub(crate) tokens_ahead: f64,
    /// Prompt tokens that it has to compute: an estimate until the response head states them.
    pub(crate) missed_tokens: f64,
    /// Its share of the server's pending tokens.
    pub(crate) pending_tokens: f64,
    /// Whether the response head has arrived.
    pub(crate) accepted: bool,
    /// Whether the first token has arrived.
    pub(crate) first_token: bool,
    /// Whether its late first token has been recorded against the server.
    pub(crate) counted_late: bool,
    /// When data last arrived, or else when it was sent.
    pub(crate) last_received_at: Moment,
    pub(crate) is_long: bool,
    /// Whether it resumes a stream.
    pub(crate) resume: bool,
    /// Time of the observation that the choice of the server relied on.
    pub(crate) observed_at: Option<Moment>,
    /// Prompt tokens of the hot prefix that the server was expected to have cached as a member of its group.
    pub(crate) shared_tokens: f64,
    /// Whether the server was chosen as the first member without an observation.
    pub(crate) unobserved_first_member: bool,
}

/// A request that has not ended, with the state of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) kind_index: KindIndex,
    pub(crate) submitted_at: Moment,
    /// Order of arrival.
    pub(crate) sequence: u64,
    /// Predicted answer length in tokens.
    pub(crate) predicted_tokens: f64,
    pub(crate) is_long: bool,
    /// Service charged to its team, in answer tokens; 0 before the first dispatch.
    pub(crate) charged_tokens: f64,
    pub(crate) phase: Phase,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// Number of attempts sent so far.
    pub(crate) attempts_sent: u32,
    /// Whether an attempt that has ended may have run.
    pub(crate) may_have_run: bool,
    /// Answer tokens received so far.
    pub(crate) answer_tokens: u32,
    pub(crate) next_attempt: NextAttempt,
    /// Servers where an attempt failed; used only when no others are left.
    pub(crate) avoid: SmallVec<[ServerId; 4]>,
    /// Whether a hedge has been sent.
    pub(crate) hedged: bool,
}

impl ActiveRequest {
    /// Returns whether another attempt may be sent after one that may have run.
    pub(crate) fn repeatable(&self) -> bool {
        self.request.repeat == RepeatRule::Repeatable
    }

    /// Returns the outcome to report if the request is refused now.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.may_have_run || !self.attempts.is_empty() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    pub(crate) fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.number == number)
    }

    pub(crate) fn remove_attempt(&mut self, number: AttemptNumber) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.number == number)?;
        Some(self.attempts.remove(index))
    }

    pub(crate) fn avoid_server(&mut self, server: ServerId) {
        if !self.avoid.contains(&server) {
            self.avoid.push(server);
        }
    }
}
