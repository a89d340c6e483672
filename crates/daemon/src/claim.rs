//! The `claim` plug-in: records a claim of the idempotency key before a request that must run once is dispatched.
//!
//! Each shard has a worker that runs the shard's [`Group`](jaystand_control::claim::Group). Attempts that arrive within
//! a few milliseconds, or while a read or write is in flight, share the next conditional update. Results and releases
//! are retried until an outage of the platform has ended.

mod store;
mod worker;

use std::{sync::Arc, time::Duration};

use jaystand_control::claim::{self, BodyHash, Key, Outcome, Reason, SHARDS};
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
    register,
    timer::Timer,
};
use jaystand_types::Moment;
use miette::IntoDiagnostic as _;
use prometheus::{IntCounterVec, Opts, Registry};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::platform;
pub use store::Store;
use worker::{Command, Worker};

register!("claim", Stage::Work, start);

/// The answer that is recorded with a claim and returned to repeats.
pub type StoredReply = claim::Reply;

/// Retry-After for reasons that have no time of their own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Makes and settles the run-once claims of this daemon.
pub struct Claims {
    shards: Vec<mpsc::UnboundedSender<Command>>,
    timer: Timer,
    verdicts: IntCounterVec,
}

/// Permission to send one request that holds a claim. It must be passed to [`Claims::finish`] or [`Claims::release`].
/// If it is dropped instead, the claim stays, and repeats get the outcome `unknown`.
#[must_use = "a dropped ticket leaves its key claimed"]
#[derive(Debug)]
pub struct Ticket {
    id: claim::Ticket,
    shard: mpsc::UnboundedSender<Command>,
    ended: bool,
}

/// What to do with a request that must run once.
#[derive(Debug)]
pub enum Verdict {
    /// Send the request once, then finish or release the ticket.
    Dispatch(Ticket),
    /// The request ran before, with this answer.
    Answer(StoredReply),
    /// This request was not sent and will not be.
    NotRun {
        /// Why it was not sent.
        reason: Reason,
        /// Time after which to repeat it.
        retry_after: Duration,
    },
    /// An earlier request with the key may have run.
    Unknown {
        /// Why that is unknown.
        reason: Reason,
        /// Time after which a repeat may get another verdict; none if it never will.
        retry_after: Option<Duration>,
    },
    /// The key was used for a request with another body.
    KeyReused,
}

impl Claims {
    /// Starts a worker for each shard of `store`.
    ///
    /// # Errors
    /// Fails when `metrics` already has this plug-in's counters.
    ///
    /// # Panics
    /// Panics outside a tokio runtime.
    pub fn start(
        store: &impl Store,
        timer: Timer,
        metrics: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let options = Opts::new("jaystand_claims_total", "Claims by verdict.");
        let verdicts = IntCounterVec::new(options, &["verdict"])?;
        metrics.register(Box::new(verdicts.clone()))?;
        let shards = (0..SHARDS)
            .map(|shard| {
                let (sender, commands) = mpsc::unbounded_channel();
                let queue = sender.downgrade();
                tokio::spawn(Worker::new(shard, store.clone(), commands, queue).run());
                sender
            })
            .collect();
        Ok(Self {
            shards,
            timer,
            verdicts,
        })
    }

    /// Claims `key` of `team` for a request whose body has the hash `body`, until `deadline`.
    ///
    /// If the future is dropped before the verdict, the claim is released.
    pub async fn acquire(
        &self,
        team: &str,
        key: &str,
        body: BodyHash,
        deadline: Moment,
    ) -> Verdict {
        let key = Key::new(team, key);
        let shard = &self.shards[usize::from(key.shard())];
        let (answer, verdict) = oneshot::channel();
        let remaining = deadline.saturating_sub(self.timer.now());
        let command = Command::Acquire {
            key,
            body,
            deadline: Instant::now() + remaining,
            answer,
        };
        // If the worker has ended, it has dropped the command or the answer channel, and nothing was dispatched.
        let _ = shard.send(command);
        let verdict = verdict
            .await
            .unwrap_or_else(|_| not_run(Reason::ShuttingDown));
        self.verdicts.with_label_values(&[verdict.as_str()]).inc();
        verdict
    }

    /// Records the answer of a dispatched request for repeats. The record is written in the background, whether or not
    /// the returned receiver is awaited. The receiver completes once the record is stored.
    pub fn finish(&self, ticket: Ticket, reply: StoredReply) -> oneshot::Receiver<()> {
        ticket.end(Outcome::Replied(reply))
    }

    /// Releases the key in the background, so that it can be claimed again. Only for a request of which provably no
    /// byte was sent.
    pub fn release(&self, ticket: Ticket) {
        drop(ticket.end(Outcome::NotSent));
    }

    /// Refuses new claims, and waits until every result and release is stored.
    pub async fn drain(&self) {
        let drained: Vec<oneshot::Receiver<()>> = self
            .shards
            .iter()
            .map(|shard| {
                let (done, drained) = oneshot::channel();
                let _ = shard.send(Command::Drain { done });
                drained
            })
            .collect();
        for shard in drained {
            let _ = shard.await;
        }
    }
}

impl Ticket {
    fn new(id: claim::Ticket, shard: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            id,
            shard,
            ended: false,
        }
    }

    /// Sends the outcome of the request to the worker. The returned receiver completes once the outcome is stored.
    fn end(mut self, outcome: Outcome) -> oneshot::Receiver<()> {
        self.ended = true;
        let (recorded, receiver) = oneshot::channel();
        let _ = self.shard.send(Command::End {
            id: self.id,
            outcome,
            recorded,
        });
        receiver
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.shard.send(Command::Forget { id: self.id });
        }
    }
}

impl Verdict {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Dispatch(_) => "dispatch",
            Self::Answer(_) => "answer",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
            Self::KeyReused => "key_reused",
        }
    }
}

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after: reason.retry_after().unwrap_or(DEFAULT_RETRY_AFTER),
    }
}

async fn start(kernel: Kernel) -> StartResult {
    let store = platform::client(&kernel)?.map(|client| client.yielding());
    let claims = Claims::start(&store, kernel.timer().clone(), kernel.metrics());
    let claims = Arc::new(claims.into_diagnostic()?);
    kernel.provide(Arc::clone(&claims));
    Ok(Running::with_shutdown(async move { claims.drain().await }))
}
