//! What the daemon tells the router and what the router asks it to do.

use std::time::Duration;

use jaystand_types::{DataCentre, Incarnation, Outcome, RequestId, ServerId};

use crate::{Request, load};

/// Number of an attempt within a request, from 1.
pub type AttemptNumber = u32;

/// Something that happened.
#[allow(
    clippy::large_enum_variant,
    reason = "an event is built and consumed in one call"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request has arrived.
    Submit(Request),
    /// The head of an attempt's response has arrived and its identity was accepted.
    Accepted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: u32,
        /// The engine's incarnation; 0 for plain services.
        incarnation: Incarnation,
    },
    /// The first token of an attempt has arrived.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// More tokens have arrived since the last event of the attempt.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Tokens since the last event.
        tokens: u32,
    },
    /// The terminal marker of an attempt has arrived.
    Finished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Tokens since the last event.
        tokens: u32,
    },
    /// An attempt has failed.
    Failed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        failure: Failure,
    },
    /// The caller has gone away.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// A load report has arrived, directly or through a peer.
    Load {
        /// The server.
        server: ServerId,
        /// The report.
        report: load::Report,
    },
    /// A sign that the server is leaving.
    Leaving {
        /// The server.
        server: ServerId,
    },
    /// The server takes work again, under a newer incarnation or by an operator's order.
    Returned {
        /// The server.
        server: ServerId,
    },
    /// A data centre can or cannot be reached.
    Reachable {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// The number of live daemons that share the deployment's limits, this one included.
    Daemons {
        /// How many.
        live: u32,
    },
    /// Time has passed.
    Tick,
}

jaystand_types::common! { value
    /// Why an attempt failed.
    pub enum Failure {
        /// No byte of the request was sent.
        NotSent,
        /// The server refused before it started, and proved it.
        Refused {
            /// When to come back, if the server said so.
            retry_after: Option<Duration>,
        },
        /// The answer came from another incarnation, weights version or request; the server did not start it.
        Mismatch,
        /// No byte arrived within the attempt's deadline: the connection is suspect.
        Silent,
        /// The connection broke after the request was sent.
        Broken,
        /// The server answered with an error after it may have started.
        ServerError,
    }
}

impl Failure {
    /// Whether this proves that the attempt did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. } | Self::Mismatch)
    }
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request's deadline cannot be met with the load ahead of it.
    Overload,
    /// The team's limit on requests in flight or a minute is reached.
    TeamLimit,
    /// No allowed server can take it.
    NoServer,
    /// Its deadline has passed.
    DeadlinePassed,
    /// Attempts failed and no further one is allowed.
    AttemptsExhausted,
    /// The daemon's queue is full.
    QueueFull,
}

/// Something that the daemon must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// To which server.
        server: ServerId,
        /// Priority for the engine, 0 highest.
        priority: u8,
        /// Time allowed until the first token.
        first_token_timeout: Duration,
        /// Time allowed between tokens.
        inter_token_timeout: Duration,
        /// Whether to resume the stream on the same server from the last offset, or else to continue
        /// it on another server from the text already sent.
        resume: bool,
        /// Whether to open a new connection and retire the idle ones to the server.
        fresh_connection: bool,
        /// Whether the attempt races an earlier one that goes on.
        hedge: bool,
    },
    /// Cancel an attempt, on the server too.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The server that runs it.
        server: ServerId,
    },
    /// Give the caller its final answer now.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Refusal,
        /// When the caller should come back.
        retry_after: Duration,
        /// `NotRun` only if every attempt is proven not to have run.
        outcome: Outcome,
    },
}
