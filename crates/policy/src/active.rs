//! A request on its way: where it waits or runs, and what its attempts prove.

use jaystand_types::{Moment, Outcome, RepeatRule, ServerId};
use smallvec::SmallVec;

use crate::{AttemptNumber, Request, teams::KindIndex};

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the queue of a server.
    Queued(ServerId),
    /// Waiting for its next attempt.
    Backoff,
    /// Some attempt runs.
    Running,
}

/// How the next attempt differs from a first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NextAttempt {
    /// Resume the stream on this server.
    pub(crate) resume_on: Option<ServerId>,
    /// Use a new connection.
    pub(crate) fresh_connection: bool,
}

/// An attempt that runs.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact about the attempt"
)]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) server: ServerId,
    /// The server is no longer part of the configuration; its last id is kept.
    pub(crate) detached: bool,
    pub(crate) sent_at: Moment,
    /// Prompt tokens that other requests had to compute there when it was sent.
    pub(crate) tokens_ahead: f64,
    /// Prompt tokens that it is expected, then known, to compute.
    pub(crate) missed_tokens: f64,
    /// Its part of the server's pending tokens.
    pub(crate) pending_tokens: f64,
    pub(crate) accepted: bool,
    pub(crate) first_token: bool,
    /// A first token that did not come in time has been counted against the server.
    pub(crate) counted_late: bool,
    pub(crate) last_received_at: Moment,
    pub(crate) is_long: bool,
    pub(crate) resume: bool,
    pub(crate) observed_at: Option<Moment>,
    /// Prompt tokens of the hot prefix that the server was presumed to hold as a member of its group.
    pub(crate) shared_tokens: f64,
    pub(crate) unobserved_first_member: bool,
}

/// The request with all that is known of it.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) kind_index: KindIndex,
    pub(crate) submitted_at: Moment,
    pub(crate) sequence: u64,
    /// Predicted answer length in tokens.
    pub(crate) predicted_tokens: f64,
    pub(crate) is_long: bool,
    /// Service charged to its team.
    pub(crate) charged_tokens: f64,
    pub(crate) phase: Phase,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// Attempts sent so far.
    pub(crate) attempts_sent: u32,
    /// Some attempt that ended may have run.
    pub(crate) may_have_run: bool,
    pub(crate) answer_tokens: u32,
    pub(crate) next_attempt: NextAttempt,
    pub(crate) avoid: SmallVec<[ServerId; 4]>,
    pub(crate) hedged: bool,
}

impl ActiveRequest {
    /// Whether a second attempt may run after one that may have run.
    pub(crate) fn repeatable(&self) -> bool {
        self.request.repeat == RepeatRule::Repeatable
    }

    /// What the caller may be told when the request is given up now.
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
