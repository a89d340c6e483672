//! The `claim` plug-in: records a claim of the idempotency key before a request that must run once is dispatched.
//!
//! One worker a shard runs the shard's [`Group`](jaystand_control::claim::Group): attempts that arrive within a few
//! milliseconds, or while a read or write is under way, share the next conditional update. Results and releases are
//! retried through outages.

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

/// The answer that a repeat gets.
pub type StoredReply = claim::Reply;

/// Retry-After of an answer that names no time of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Run-once claims of this daemon.
pub struct Claims {
    shards: Vec<mpsc::UnboundedSender<Command>>,
    timer: Timer,
    verdicts: IntCounterVec,
}

/// The right and duty to send one request. Dropping it without [`Claims::finish`] or [`Claims::release`] leaves the
/// claim in place, so that repeats are `unknown`.
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
    /// Send it, once, then finish or release the ticket.
    Dispatch(Ticket),
    /// It ran before; this was its answer.
    Answer(StoredReply),
    /// It was not and will not be sent.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to repeat it.
        retry_after: Duration,
    },
    /// An earlier request with the key may have run.
    Unknown {
        /// Why.
        reason: Reason,
        /// When a repeat may end differently; none when it never will.
        retry_after: Option<Duration>,
    },
    /// The key was used for a request with another body.
    KeyReused,
}

impl Claims {
    /// Starts the workers on `store`.
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
                let tickets = sender.downgrade();
                tokio::spawn(Worker::new(shard, store.clone(), commands, tickets).run());
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
    /// When the future is dropped before its verdict, the claim is released.
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
        let left = deadline.saturating_sub(self.timer.now());
        let command = Command::Acquire {
            key,
            body,
            deadline: Instant::now() + left,
            answer,
        };
        // A worker that has ended dropped the command or its answer, and has dispatched nothing for it.
        let _ = shard.send(command);
        let verdict = verdict
            .await
            .unwrap_or_else(|_| not_run(Reason::ShuttingDown));
        self.verdicts.with_label_values(&[verdict.as_str()]).inc();
        verdict
    }

    /// Records the answer of a dispatched request for repeats. The record is written in the background, whether the
    /// returned receiver is awaited or not; it completes once the record stands.
    pub fn finish(&self, ticket: Ticket, reply: StoredReply) -> oneshot::Receiver<()> {
        ticket.end(Outcome::Replied(reply))
    }

    /// Gives the key free again, in the background. Only for a request of which provably no byte was sent.
    pub fn release(&self, ticket: Ticket) {
        drop(ticket.end(Outcome::NotSent));
    }

    /// Refuses new claims and waits until every result and release is recorded.
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
