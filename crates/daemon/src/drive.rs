//! Drives one request: carries out the router's orders, runs the attempts and yields the caller's answer.

mod message;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use jaystand_policy::{AttemptNumber, Event, Failure, Refusal};
use jaystand_sheet::Rule;
use jaystand_types::{Incarnation, Model, Moment, Outcome, RepeatRule, TeamId, Urgency};
use jaystand_wire::{engine::ResponseHead, sse};
use smallvec::SmallVec;
use tokio::time::Instant;
use tracing::Span;

use crate::{
    backend::Backend,
    exchange::{Answer, Attempt, Plan, Signal},
    hub::{Command, Dispatch, Handle},
    metrics::Metrics,
    stream::{Assembly, Fault, Step},
    trace,
};

/// What the request sends to backend servers.
#[derive(Debug)]
pub(crate) enum Job {
    /// A chat completion.
    Chat {
        team: TeamId,
        model: Model,
        /// The caller's body, parsed again when another engine continues the answer.
        original: Bytes,
        /// The body for engines.
        body: Bytes,
        headers: HeaderMap,
    },
    /// A call of a plain service.
    Service {
        method: Method,
        path: Uri,
        headers: HeaderMap,
        body: Bytes,
    },
}

/// What the caller gets next.
#[derive(Debug)]
pub(crate) enum Output {
    /// An event of the stream.
    Event(sse::Event),
    /// The stream is complete.
    End,
    /// A whole answer that is not a stream.
    Answer(Answer),
    /// The request is given up.
    Refused {
        reason: Refusal,
        retry_after: Duration,
        outcome: Outcome,
    },
}

/// Who served the answer, for the caller's headers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub(crate) backend: Option<Arc<Backend>>,
    pub(crate) cached_tokens: u32,
    incarnation: Incarnation,
}

/// One request on its way. Dropping it cancels what runs.
#[derive(Debug)]
pub(crate) struct Driver {
    handle: Handle,
    job: Job,
    deadline: Moment,
    urgency: Urgency,
    /// Whether the request must run at most once.
    once: bool,
    metrics: Arc<Metrics>,
    submitted: Instant,
    attempts: SmallVec<[Attempt; 2]>,
    heads: SmallVec<[(AttemptNumber, ResponseHead); 2]>,
    owner: Option<AttemptNumber>,
    /// Servers of failed attempts, which may still run them.
    suspects: SmallVec<[Arc<Backend>; 1]>,
    assembly: Assembly,
    source: Source,
    dispatched: bool,
    /// The caller's span, kept open until the answer has ended.
    span: Span,
    /// Open until the first attempt is made.
    admission: Option<Span>,
}

impl Driver {
    pub(crate) fn new(
        handle: Handle,
        job: Job,
        whole: bool,
        deadline: Moment,
        rule: &Rule,
        metrics: Arc<Metrics>,
    ) -> Self {
        let assembly = Assembly::new(handle.request, whole);
        Self {
            handle,
            job,
            deadline,
            urgency: rule.urgency,
            once: rule.repeat == RepeatRule::Once,
            metrics,
            submitted: Instant::now(),
            attempts: SmallVec::new(),
            heads: SmallVec::new(),
            owner: None,
            suspects: SmallVec::new(),
            assembly,
            source: Source::default(),
            dispatched: false,
            span: Span::current(),
            admission: Some(tracing::info_span!(target: "jaystand", "admission")),
        }
    }

    pub(crate) fn source(&self) -> &Source {
        &self.source
    }

    pub(crate) fn assembly(&self) -> &Assembly {
        &self.assembly
    }

    /// Time left until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.handle.now())
    }

    /// Waits for the caller's next piece of the answer. May be dropped and called again without loss.
    pub(crate) async fn next(&mut self) -> Output {
        for attempt in &mut self.attempts {
            attempt.restart_wait();
        }
        loop {
            let happened = tokio::select! {
                biased;
                command = self.handle.commands.recv() => Happened::Command(command),
                (index, signal) = next_signal(&mut self.attempts) => Happened::Signal(index, signal),
            };
            let output = match happened {
                Happened::Command(Some(command)) => self.handle_command(command),
                Happened::Command(None) => std::future::pending().await,
                Happened::Signal(index, signal) => self.take(index, signal),
            };
            if let Some(output) = output {
                return output;
            }
        }
    }

    fn handle_command(&mut self, command: Command) -> Option<Output> {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::CancelAttempt(number) => self.remove(number),
            Command::Refuse {
                reason,
                retry_after,
                outcome,
            } => {
                self.close();
                self.metrics.refused(reason);
                return Some(Output::Refused {
                    reason,
                    retry_after,
                    outcome,
                });
            }
        }
        None
    }

    /// Ends the request: attempts that still run are cancelled.
    fn close(&mut self) {
        self.handle.finish();
        self.attempts.clear();
        for suspect in self.suspects.drain(..) {
            suspect.cancel(self.handle.request);
        }
    }

    fn remove(&mut self, number: AttemptNumber) {
        self.attempts.retain(|attempt| attempt.number != number);
        self.heads.retain(|(of, _)| *of != number);
        if self.owner == Some(number) {
            self.owner = None;
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.note_dispatch(&dispatch);
        let request = self.handle.request;
        let backend = &dispatch.backend;
        for suspect in self.suspects.drain(..) {
            // The same server goes on with the stream that it may still hold.
            if !Arc::ptr_eq(&suspect, backend) {
                suspect.cancel(request);
            }
        }
        let position = self.position(&dispatch);
        let built = match position {
            Some(position) => self.build(&dispatch, position),
            None => None,
        };
        let Some((mut message, expected)) = built else {
            self.failed(dispatch.attempt, Failure::NotSent);
            return;
        };
        let span = tracing::info_span!(
            target: "jaystand",
            parent: &self.span,
            "attempt",
            number = dispatch.attempt,
            server = backend.server.name.as_str()
        );
        trace::pass_on(&span, message.headers_mut());
        let plan = Plan {
            span,
            number: dispatch.attempt,
            expected,
            first_token_deadline: self.patience(dispatch.first_token_deadline),
            token_deadline: self.patience(dispatch.token_deadline),
            fresh_connection: dispatch.fresh_connection,
            own_connection: self.once,
            backend: dispatch.backend,
        };
        self.attempts.push(Attempt::start(plan, message));
    }

    /// A request that must run at most once is not sent again, so giving a slow attempt up early would only lose
    /// its answer.
    fn patience(&self, learned: Duration) -> Duration {
        if self.once {
            learned.max(self.time_left())
        } else {
            learned
        }
    }

    fn note_dispatch(&mut self, dispatch: &Dispatch) {
        self.admission = None;
        if !self.dispatched {
            self.dispatched = true;
            let waited = self.submitted.elapsed();
            self.metrics.admitted(self.urgency, waited);
        } else if dispatch.hedge {
            self.metrics.hedged();
        } else {
            self.metrics.retried();
        }
    }

    fn take(&mut self, index: usize, signal: Signal) -> Option<Output> {
        let number = self.attempts[index].number;
        match signal {
            Signal::Head(head) => self.head(index, head),
            Signal::Event(event) => return self.event(index, event),
            // The stream that the caller has begun to read cannot be taken up here.
            Signal::Answer(_) if self.assembly.next_offset() > 0 => {
                self.failed(number, Failure::ServerError);
            }
            Signal::Answer(answer) => {
                self.source.backend = Some(Arc::clone(&self.attempts[index].backend));
                self.finished(number);
                return Some(Output::Answer(answer));
            }
            Signal::Failed(failure) => {
                if !failure.proves_not_run() {
                    self.suspects
                        .push(Arc::clone(&self.attempts[index].backend));
                }
                self.failed(number, failure);
            }
        }
        None
    }

    fn head(&mut self, index: usize, head: ResponseHead) {
        let attempt = &self.attempts[index];
        attempt.backend.record_incarnation(head.incarnation);
        if head.leaving {
            self.handle.record_leaving(&attempt.backend);
        }
        self.handle.send_event(Event::Accepted {
            request: self.handle.request,
            attempt: attempt.number,
            cached_tokens: head.cached_tokens,
            incarnation: head.incarnation,
        });
        self.heads.push((attempt.number, head));
    }

    fn event(&mut self, index: usize, event: sse::Event) -> Option<Output> {
        let number = self.attempts[index].number;
        // The loser of a race is about to be cancelled.
        if self.owner.is_some_and(|owner| owner != number) {
            return None;
        }
        match self.assembly.accept(event) {
            Ok(Step::Deliver(event)) => {
                self.delivered(index);
                Some(Output::Event(event))
            }
            Ok(Step::Duplicate) => None,
            Ok(Step::End) => {
                self.attempts[index].conclude();
                self.finished(number);
                Some(Output::End)
            }
            Err(fault) => {
                let backend = Arc::clone(&self.attempts[index].backend);
                log::warn!(request = jaystand_types::render_request_id(self.handle.request).as_str(); "{}: {fault}", backend.server.name);
                self.attempts[index].conclude();
                if fault == Fault::WrongRequest {
                    backend.retire_connections();
                }
                self.suspects.push(backend);
                self.failed(number, Failure::Broken);
                None
            }
        }
    }

    fn delivered(&mut self, index: usize) {
        let request = self.handle.request;
        let attempt = self.attempts[index].number;
        if self.owner.is_some() {
            let tokens = 1;
            self.handle.send_event(Event::Progress {
                request,
                attempt,
                tokens,
            });
            return;
        }
        if self.assembly.next_offset() == 1 {
            let waited = self.submitted.elapsed();
            self.metrics.first_token(self.urgency, waited);
        }
        self.owner = Some(attempt);
        let head = self.heads.iter().find(|(of, _)| *of == attempt);
        self.source = Source {
            backend: Some(Arc::clone(&self.attempts[index].backend)),
            cached_tokens: head.map_or(0, |(_, head)| head.cached_tokens),
            incarnation: head.map_or(0, |(_, head)| head.incarnation),
        };
        self.handle
            .send_event(Event::FirstToken { request, attempt });
    }

    fn finished(&mut self, attempt: AttemptNumber) {
        self.handle.send_event(Event::Finished {
            request: self.handle.request,
            attempt,
            tokens: 0,
        });
        self.close();
    }

    fn failed(&mut self, attempt: AttemptNumber, failure: Failure) {
        self.remove(attempt);
        self.metrics.attempt_failed(failure);
        self.handle.send_event(Event::Failed {
            request: self.handle.request,
            attempt,
            failure,
        });
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        for suspect in self.suspects.drain(..) {
            suspect.cancel(self.handle.request);
        }
    }
}

enum Happened {
    Command(Option<Command>),
    Signal(usize, Signal),
}

async fn next_signal(attempts: &mut SmallVec<[Attempt; 2]>) -> (usize, Signal) {
    match attempts.as_mut_slice() {
        [] => std::future::pending().await,
        [attempt] => (0, attempt.next().await),
        many => {
            let waits = many.iter_mut().map(|attempt| Box::pin(attempt.next()));
            let (signal, index, _) = futures::future::select_all(waits).await;
            (index, signal)
        }
    }
}
