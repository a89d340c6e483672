//! The worker of one shard. It performs the reads and writes that the shard's group asks for, and passes the verdicts
//! to the waiting callers.

use std::{
    collections::HashMap,
    pin::Pin,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jaystand_control::claim::{
    self, Action, BodyHash, Fault, Group, Key, Outcome, Reason, Seconds, Shard,
};
use jaystand_types::{Moment, Version};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{Store, Ticket, Verdict, not_run};

/// How long the first attempt of a round waits for others. It is a few times the platform's response time, so that a
/// busy shard makes about as many updates as the platform can answer one after the other.
const GROUP_WINDOW: Duration = Duration::from_millis(3);

/// A message to the worker.
pub(super) enum Command {
    /// Claims a key.
    Acquire {
        key: Key,
        body: BodyHash,
        deadline: Instant,
        answer: oneshot::Sender<Verdict>,
    },
    /// Settles a claim with the outcome of its request.
    End {
        id: claim::Ticket,
        outcome: Outcome,
        /// Completes once the outcome is stored.
        recorded: oneshot::Sender<()>,
    },
    /// Removes a request whose ticket was dropped. Its claim stays.
    Forget { id: claim::Ticket },
    /// Refuses new claims and ends the worker once all outcomes are stored.
    Drain { done: oneshot::Sender<()> },
}

/// The result of a call to the store.
enum Completion {
    Read(Result<Option<(Version, Shard)>, Fault>),
    Wrote(Result<Version, Fault>),
}

/// A caller that waits for the verdict on its claim.
struct Waiter {
    deadline: Instant,
    answer: oneshot::Sender<Verdict>,
}

type Io = Pin<Box<dyn Future<Output = Completion> + Send>>;

pub(super) struct Worker<S> {
    shard: u8,
    store: S,
    commands: mpsc::UnboundedReceiver<Command>,
    /// The sending side of `commands`, which tickets use to settle their claims. It is weak, so that the queue closes
    /// when its last user is gone.
    queue: mpsc::WeakUnboundedSender<Command>,
    started: Instant,
    group: Group,
    waiters: HashMap<claim::Ticket, Waiter>,
    /// Outcomes that are not stored yet, and the senders to notify.
    unrecorded: Vec<(claim::Ticket, oneshot::Sender<()>)>,
    /// Set once the worker drains; notified at the end of the drain.
    draining: Option<oneshot::Sender<()>>,
}

impl<S: Store> Worker<S> {
    pub(super) fn new(
        shard: u8,
        store: S,
        commands: mpsc::UnboundedReceiver<Command>,
        queue: mpsc::WeakUnboundedSender<Command>,
    ) -> Self {
        Self {
            shard,
            store,
            commands,
            queue,
            started: Instant::now(),
            group: Group::default(),
            waiters: HashMap::new(),
            unrecorded: Vec::new(),
            draining: None,
        }
    }

    /// Handles commands until the drain ends or no sender of commands is left.
    pub(super) async fn run(mut self) {
        let mut io: Option<Io> = None;
        // When the group decides next, unless an event comes first.
        let mut wake: Option<Instant> = None;
        loop {
            if io.is_none() && wake.is_none_or(|at| at <= Instant::now()) {
                (io, wake) = self.advance();
            }
            if io.is_none() && self.finish_drain() {
                return;
            }
            let deadline = self.waiters.values().map(|waiter| waiter.deadline).min();
            let next = wake
                .filter(|_| io.is_none())
                .into_iter()
                .chain(deadline)
                .min();
            tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else { return };
                    self.handle_command(command);
                    let window = Instant::now() + GROUP_WINDOW;
                    wake = Some(wake.map_or(window, |at| at.min(window)));
                }
                completion = io_completion(&mut io) => {
                    io = None;
                    wake = None;
                    self.handle_completion(completion);
                }
                () = sleep_until(next) => {
                    self.expire(Instant::now(), Reason::Deadline);
                    wake = None;
                }
            }
        }
    }

    /// Ends the drain if it has begun and every outcome is stored. Returns whether it has ended.
    fn finish_drain(&mut self) -> bool {
        let ready = self.group.is_settled() && self.commands.is_empty();
        match self.draining.take_if(|_| ready) {
            Some(done) => {
                let _ = done.send(());
                true
            }
            None => false,
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Acquire { answer, .. } if self.draining.is_some() => {
                let _ = answer.send(not_run(Reason::ShuttingDown));
            }
            Command::Acquire {
                key,
                body,
                deadline,
                answer,
            } => {
                let id = self.group.acquire(key, body, rand::random());
                self.waiters.insert(id, Waiter { deadline, answer });
            }
            Command::End {
                id,
                outcome,
                recorded,
            } => {
                self.group.finish(wall_clock(), id, outcome);
                self.unrecorded.push((id, recorded));
            }
            Command::Forget { id } => self.group.forget(id),
            Command::Drain { done } => {
                self.draining = Some(done);
                let Some(last) = self.waiters.values().map(|waiter| waiter.deadline).max() else {
                    return;
                };
                self.expire(last, Reason::ShuttingDown);
            }
        }
    }

    /// Lets the group decide. Returns the call to the store that it needs, or the time at which it decides again.
    fn advance(&mut self) -> (Option<Io>, Option<Instant>) {
        let mut verdicts = Vec::new();
        let action = self
            .group
            .next_action(self.now(), wall_clock(), &mut verdicts);
        self.deliver_verdicts(verdicts);
        let (store, shard) = (self.store.clone(), self.shard);
        match action {
            Action::Read => {
                let read = async move { Completion::Read(store.read(shard).await) };
                (Some(Box::pin(read)), None)
            }
            Action::Write {
                expected,
                shard: value,
            } => {
                let write =
                    async move { Completion::Wrote(store.write(shard, expected, value).await) };
                (Some(Box::pin(write)), None)
            }
            Action::Sleep(at) => (None, Some(self.started + at)),
            Action::Idle => (None, None),
        }
    }

    /// Passes the result of a call to the store to the group.
    fn handle_completion(&mut self, completion: Completion) {
        let (now, wall) = (self.now(), wall_clock());
        let mut verdicts = Vec::new();
        match completion {
            Completion::Read(result) => self.group.handle_read(now, wall, result, &mut verdicts),
            Completion::Wrote(result) => self.group.handle_write(now, wall, result, &mut verdicts),
        }
        self.deliver_verdicts(verdicts);
        self.notify_recorded();
    }

    /// Completes the receivers of outcomes that are stored now.
    fn notify_recorded(&mut self) {
        let group = &self.group;
        for (_, recorded) in self
            .unrecorded
            .extract_if(.., |(id, _)| !group.is_active(*id))
        {
            // The receiver may have been dropped.
            let _ = recorded.send(());
        }
    }

    /// Abandons the attempts whose deadline is not after `now`.
    fn expire(&mut self, now: Instant, reason: Reason) {
        let overdue = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.deadline <= now);
        let overdue: Vec<claim::Ticket> = overdue.map(|(id, _)| *id).collect();
        let wall = wall_clock();
        let verdicts = overdue.into_iter().filter_map(|id| {
            let verdict = self.group.abandon(wall, id, reason)?;
            Some((id, verdict))
        });
        let verdicts = verdicts.collect();
        self.deliver_verdicts(verdicts);
    }

    /// Sends verdicts to the callers that wait for them.
    fn deliver_verdicts(&mut self, verdicts: Vec<(claim::Ticket, claim::Verdict)>) {
        for (id, verdict) in verdicts {
            let waiter = self.waiters.remove(&id);
            let verdict = match verdict {
                claim::Verdict::Dispatch => match self.queue.upgrade() {
                    Some(shard) => Verdict::Dispatch(Ticket::new(id, shard)),
                    // The `Claims` are dropped, so no caller waits for the verdict.
                    None => continue,
                },
                claim::Verdict::Answer(reply) => Verdict::Answer(reply),
                claim::Verdict::NotRun(reason) => not_run(reason),
                claim::Verdict::Unknown(reason) => Verdict::Unknown {
                    reason,
                    retry_after: reason.retry_after(),
                },
                claim::Verdict::KeyReused => Verdict::KeyReused,
            };
            let Some(waiter) = waiter else { continue };
            if let Err(Verdict::Dispatch(ticket)) = waiter.answer.send(verdict) {
                // The caller went away before the verdict, so the request will not be sent.
                drop(ticket.end(Outcome::NotSent));
            }
        }
    }

    fn now(&self) -> Moment {
        self.started.elapsed()
    }
}

fn wall_clock() -> Seconds {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Waits for the call in flight; for ever if there is none.
async fn io_completion(io: &mut Option<Io>) -> Completion {
    match io {
        Some(io) => io.await,
        None => std::future::pending().await,
    }
}

/// Sleeps until `deadline`; for ever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
