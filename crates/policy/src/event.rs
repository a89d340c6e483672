//! Events that the daemon passes to the router, and actions that the router returns.

use std::time::Duration;

use jaystand_types::{DataCentre, Incarnation, Outcome, RequestId, ServerId};

use crate::{Request, load};

/// Number of an attempt within a request, starting at 1.
pub type AttemptNumber = u32;

/// An input of the router.
#[allow(
    clippy::large_enum_variant,
    reason = "an event is built and consumed in one call"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request has arrived.
    Submit(Request),
    /// The response head of an attempt has arrived, and its identity is the expected one.
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
    /// The end marker of an attempt's answer has arrived.
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
        /// Why it failed.
        failure: Failure,
    },
    /// The caller has abandoned the request.
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
    /// The server is known to be leaving.
    Leaving {
        /// The server.
        server: ServerId,
    },
    /// The server accepts work again, with a newer incarnation or by an operator's order.
    Returned {
        /// The server.
        server: ServerId,
    },
    /// Reachability of a data centre has changed.
    Reachable {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// The number of live daemons that share the deployment's limits, this one included.
    Daemons {
        /// Number of live daemons.
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
        /// The server refused the attempt and proved that it did not start it.
        Refused {
            /// The pause that the server asked for, if any.
            retry_after: Option<Duration>,
        },
        /// The answer came from another incarnation, weights version or request; the server did not start the attempt.
        Mismatch,
        /// No byte arrived before the attempt's timeout, so the connection may be broken.
        Silent,
        /// The connection broke after the request was sent.
        Broken,
        /// The server answered with an error after it may have started.
        ServerError,
    }
}

impl Failure {
    /// Returns whether this failure proves that the attempt did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. } | Self::Mismatch)
    }
}

/// Why a request is refused or ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request cannot meet its deadline with the present load.
    Overload,
    /// The team has reached its limit on requests in flight or per minute.
    TeamLimit,
    /// No allowed server accepts work.
    NoServer,
    /// The deadline has passed.
    DeadlinePassed,
    /// An attempt failed and no further attempt is allowed.
    AttemptsExhausted,
    /// The daemon's queue is full.
    QueueFull,
}

/// An output of the router, which the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The server to send it to.
        server: ServerId,
        /// Priority for the engine; 0 is the highest.
        priority: u8,
        /// Timeout for the first token.
        first_token_timeout: Duration,
        /// Timeout between tokens.
        inter_token_timeout: Duration,
        /// Whether to resume the stream on the same server from the last offset. Otherwise, a stream that has started
        /// continues from the text already sent.
        resume: bool,
        /// Whether to open a new connection and close the idle ones to the server.
        fresh_connection: bool,
        /// Whether the attempt is a hedge: an earlier attempt is still running.
        hedge: bool,
    },
    /// Cancel an attempt, also on the server.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The server that runs it.
        server: ServerId,
    },
    /// End the request with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why the request is refused.
        reason: Refusal,
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// `NotRun` only if every attempt is proven not to have run.
        outcome: Outcome,
    },
}
