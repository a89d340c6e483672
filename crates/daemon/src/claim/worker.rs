//! The worker of one shard.

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

/// Time that the first attempt of a round waits for others. It is a few times the platform's answer time, so that a
/// busy shard makes about as many updates as the platform answers one after the other.
const GROUP_WINDOW: Duration = Duration::from_millis(3);

pub(super) enum Command {
    Acquire {
        key: Key,
        body: BodyHash,
        deadline: Instant,
        answer: oneshot::Sender<Verdict>,
    },
    End {
        id: claim::Ticket,
        outcome: Outcome,
        /// Told once the outcome is recorded.
        recorded: oneshot::Sender<()>,
    },
    Forget {
        id: claim::Ticket,
    },
    Drain {
        done: oneshot::Sender<()>,
    },
}

enum Done {
    Read(Result<Option<(Version, Shard)>, Fault>),
    Wrote(Result<Version, Fault>),
}

struct Waiting {
    deadline: Instant,
    answer: oneshot::Sender<Verdict>,
}

type Io = Pin<Box<dyn Future<Output = Done> + Send>>;

pub(super) struct Worker<S> {
    shard: u8,
    store: S,
    commands: mpsc::UnboundedReceiver<Command>,
    // Tickets end through the worker's own queue. A weak sender, so that the queue closes with its users.
    tickets: mpsc::WeakUnboundedSender<Command>,
    started: Instant,
    group: Group,
    waiting: HashMap<claim::Ticket, Waiting>,
    recording: Vec<(claim::Ticket, oneshot::Sender<()>)>,
    draining: Option<oneshot::Sender<()>>,
}

impl<S: Store> Worker<S> {
    pub(super) fn new(
        shard: u8,
        store: S,
        commands: mpsc::UnboundedReceiver<Command>,
        tickets: mpsc::WeakUnboundedSender<Command>,
    ) -> Self {
        Self {
            shard,
            store,
            commands,
            tickets,
            started: Instant::now(),
            group: Group::default(),
            waiting: HashMap::new(),
            recording: Vec::new(),
            draining: None,
        }
    }

    /// Serves until drained, or until nobody is left to send commands.
    pub(super) async fn run(mut self) {
        let mut io: Option<Io> = None;
        // When the group decides next, if not at the next event.
        let mut wake: Option<Instant> = None;
        loop {
            if io.is_none() && wake.is_none_or(|at| at <= Instant::now()) {
                (io, wake) = self.advance();
            }
            if io.is_none() && self.is_drained() {
                return;
            }
            let deadline = self.waiting.values().map(|waiting| waiting.deadline).min();
            let next = wake
                .filter(|_| io.is_none())
                .into_iter()
                .chain(deadline)
                .min();
            tokio::select! {
                command = self.commands.recv() => {
                    let Some(command) = command else { return };
                    self.take(command);
                    let window = Instant::now() + GROUP_WINDOW;
                    wake = Some(wake.map_or(window, |at| at.min(window)));
                }
                done = until_done(&mut io) => {
                    io = None;
                    wake = None;
                    self.complete(done);
                }
                () = sleep_until(next) => {
                    self.expire(Instant::now(), Reason::Deadline);
                    wake = None;
                }
            }
        }
    }

    /// Ends the drain once everything is recorded.
    fn is_drained(&mut self) -> bool {
        let ready = self.group.is_settled() && self.commands.is_empty();
        match self.draining.take_if(|_| ready) {
            Some(done) => {
                let _ = done.send(());
                true
            }
            None => false,
        }
    }

    fn take(&mut self, command: Command) {
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
                self.waiting.insert(id, Waiting { deadline, answer });
            }
            Command::End {
                id,
                outcome,
                recorded,
            } => {
                self.group.finish(wall_clock(), id, outcome);
                self.recording.push((id, recorded));
            }
            Command::Forget { id } => self.group.forget(id),
            Command::Drain { done } => {
                self.draining = Some(done);
                let Some(last) = self.waiting.values().map(|waiting| waiting.deadline).max() else {
                    return;
                };
                self.expire(last, Reason::ShuttingDown);
            }
        }
    }

    /// Lets the group decide; returns the I/O that it needs, or when it decides again.
    fn advance(&mut self) -> (Option<Io>, Option<Instant>) {
        let mut verdicts = Vec::new();
        let action = self
            .group
            .next_action(self.now(), wall_clock(), &mut verdicts);
        self.conclude(verdicts);
        let (store, shard) = (self.store.clone(), self.shard);
        match action {
            Action::Read => {
                let read = async move { Done::Read(store.read(shard).await) };
                (Some(Box::pin(read)), None)
            }
            Action::Write {
                expected,
                shard: value,
            } => {
                let write = async move { Done::Wrote(store.write(shard, expected, value).await) };
                (Some(Box::pin(write)), None)
            }
            Action::Sleep(at) => (None, Some(self.started + at)),
            Action::Idle => (None, None),
        }
    }

    fn complete(&mut self, done: Done) {
        let (now, wall) = (self.now(), wall_clock());
        let mut verdicts = Vec::new();
        match done {
            Done::Read(result) => self.group.handle_read(now, wall, result, &mut verdicts),
            Done::Wrote(result) => self.group.handle_write(now, wall, result, &mut verdicts),
        }
        self.conclude(verdicts);
        self.announce();
    }

    /// Tells those who wait for a record that it stands.
    fn announce(&mut self) {
        let group = &self.group;
        for (_, recorded) in self
            .recording
            .extract_if(.., |(id, _)| !group.is_active(*id))
        {
            // Nobody has to wait.
            let _ = recorded.send(());
        }
    }

    /// Gives up the attempts whose deadline is not after `now`.
    fn expire(&mut self, now: Instant, reason: Reason) {
        let overdue = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now);
        let overdue: Vec<claim::Ticket> = overdue.map(|(id, _)| *id).collect();
        let wall = wall_clock();
        let verdicts = overdue.into_iter().filter_map(|id| {
            let verdict = self.group.abandon(wall, id, reason)?;
            Some((id, verdict))
        });
        let verdicts = verdicts.collect();
        self.conclude(verdicts);
    }

    fn conclude(&mut self, verdicts: Vec<(claim::Ticket, claim::Verdict)>) {
        for (id, verdict) in verdicts {
            let waiting = self.waiting.remove(&id);
            let verdict = match verdict {
                claim::Verdict::Dispatch => match self.tickets.upgrade() {
                    Some(shard) => Verdict::Dispatch(Ticket::new(id, shard)),
                    // Every user of the claims is gone.
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
            let Some(waiting) = waiting else { continue };
            if let Err(Verdict::Dispatch(ticket)) = waiting.answer.send(verdict) {
                // The caller went away before the verdict, so that nothing will be sent.
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

async fn until_done(io: &mut Option<Io>) -> Done {
    match io {
        Some(io) => io.await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
