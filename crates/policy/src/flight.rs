//! A request on its way: where it waits or runs, and what its attempts prove.

use jaystand_types::{Moment, Outcome, RepeatRule, ServerId};
use smallvec::SmallVec;

use crate::{AttemptNumber, Request, roster::Member};

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
pub(crate) struct Next {
    /// Resume the stream on this server.
    pub(crate) resume_on: Option<ServerId>,
    /// Use a new connection.
    pub(crate) fresh: bool,
}

/// An attempt that runs.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is an independent fact about the attempt"
)]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) number: AttemptNumber,
    pub(crate) server: ServerId,
    /// The server is no longer part of the configuration; its last id is kept.
    pub(crate) detached: bool,
    pub(crate) sent: Moment,
    /// Prompt tokens that other requests had to compute there when it was sent.
    pub(crate) ahead: f64,
    /// Prompt tokens that it is expected, then known, to compute.
    pub(crate) missed: f64,
    /// Its part of the server's pending tokens.
    pub(crate) pending: f64,
    pub(crate) accepted: bool,
    pub(crate) first_token: bool,
    /// A first token that did not come in time has been counted against the server.
    pub(crate) late: bool,
    pub(crate) latest: Moment,
    pub(crate) long: bool,
    pub(crate) resume: bool,
    pub(crate) observed: Option<Moment>,
    /// Prompt tokens of the hot prefix that the server was presumed to hold as a member of its group.
    pub(crate) shared: f64,
    pub(crate) unobserved_home: bool,
}

/// The request with all that is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) request: Request,
    pub(crate) member: Member,
    pub(crate) submitted: Moment,
    pub(crate) sequence: u64,
    /// Predicted answer length in tokens.
    pub(crate) predicted: f64,
    pub(crate) long: bool,
    /// Service charged to its team.
    pub(crate) charged: f64,
    pub(crate) phase: Phase,
    pub(crate) attempts: SmallVec<[Running; 2]>,
    /// Attempts sent so far.
    pub(crate) used: u32,
    /// Some attempt that ended may have run.
    pub(crate) may_have_run: bool,
    pub(crate) tokens: u32,
    pub(crate) next: Next,
    pub(crate) avoid: SmallVec<[ServerId; 4]>,
    pub(crate) hedged: bool,
}

impl Flight {
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

    pub(crate) fn running_mut(&mut self, number: AttemptNumber) -> Option<&mut Running> {
        self.attempts.iter_mut().find(|a| a.number == number)
    }

    pub(crate) fn take(&mut self, number: AttemptNumber) -> Option<Running> {
        let index = self.attempts.iter().position(|a| a.number == number)?;
        Some(self.attempts.remove(index))
    }

    pub(crate) fn avoid(&mut self, server: ServerId) {
        if !self.avoid.contains(&server) {
            self.avoid.push(server);
        }
    }
}
