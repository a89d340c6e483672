//! Drives one request: carries out the router's commands, runs the attempts and yields the answer for the caller.

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

/// The content that the request sends to backend servers.
#[derive(Debug)]
pub(crate) enum Job {
    /// A chat completion.
    Chat {
        team: TeamId,
        model: Model,
        /// The caller's body, which is parsed again when another engine continues the answer.
        original: Bytes,
        /// The body that is sent to engines.
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

/// The next part of the answer to the caller.
#[derive(Debug)]
pub(crate) enum Output {
    /// An event of the stream.
    Event(sse::Event),
    /// The stream is complete.
    End,
    /// A whole answer that is not an event stream.
    Answer(Answer),
    /// The router has refused the request.
    Refused {
        reason: Refusal,
        retry_after: Duration,
        outcome: Outcome,
    },
}

/// The backend server that serves the answer, for the headers of the response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub(crate) backend: Option<Arc<Backend>>,
    pub(crate) cached_tokens: u32,
    incarnation: Incarnation,
}

/// A request in progress. Dropping it cancels its attempts.
#[derive(Debug)]
pub(crate) struct Driver {
    handle: Handle,
    job: Job,
    deadline: Moment,
    urgency: Urgency,
    /// Whether the request must run at most once.
    run_once: bool,
    metrics: Arc<Metrics>,
    submitted: Instant,
    attempts: SmallVec<[Attempt; 2]>,
    heads: SmallVec<[(AttemptNumber, ResponseHead); 2]>,
    /// The attempt whose events are delivered to the caller.
    delivering: Option<AttemptNumber>,
    /// Servers of failed attempts that may still be running the request.
    possibly_running: SmallVec<[Arc<Backend>; 1]>,
    assembly: Assembly,
    source: Source,
    dispatched: bool,
    /// Span of the caller's request, open until the answer has ended.
    span: Span,
    /// Span of the wait for admission, open until the first attempt.
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
            run_once: rule.repeat == RepeatRule::Once,
            metrics,
            submitted: Instant::now(),
            attempts: SmallVec::new(),
            heads: SmallVec::new(),
            delivering: None,
            possibly_running: SmallVec::new(),
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

    /// Returns the time left until the deadline of the request.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.handle.now())
    }

    /// Waits for the next part of the answer to the caller. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Output {
        for attempt in &mut self.attempts {
            attempt.restart_timeout();
        }
        loop {
            let input = tokio::select! {
                biased;
                command = self.handle.commands.recv() => Input::Command(command),
                (index, signal) = next_signal(&mut self.attempts) => Input::Signal(index, signal),
            };
            let output = match input {
                Input::Command(Some(command)) => self.handle_command(command),
                Input::Command(None) => std::future::pending().await,
                Input::Signal(index, signal) => self.handle_signal(index, signal),
            };
            if let Some(output) = output {
                return output;
            }
        }
    }

    fn handle_command(&mut self, command: Command) -> Option<Output> {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::CancelAttempt(number) => self.remove_attempt(number),
            Command::Refuse {
                reason,
                retry_after,
                outcome,
            } => {
                self.finish_request();
                self.metrics.count_refusal(reason);
                return Some(Output::Refused {
                    reason,
                    retry_after,
                    outcome,
                });
            }
        }
        None
    }

    /// Finishes the request and cancels the attempts that are still running.
    fn finish_request(&mut self) {
        self.handle.finish();
        self.attempts.clear();
        for backend in self.possibly_running.drain(..) {
            backend.cancel(self.handle.request);
        }
    }

    /// Drops an attempt, which cancels it unless it has ended.
    fn remove_attempt(&mut self, number: AttemptNumber) {
        self.attempts.retain(|attempt| attempt.number != number);
        self.heads.retain(|(attempt, _)| *attempt != number);
        if self.delivering == Some(number) {
            self.delivering = None;
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.record_dispatch(&dispatch);
        let request = self.handle.request;
        let backend = &dispatch.backend;
        for previous in self.possibly_running.drain(..) {
            // The same server may still hold the stream and resume it.
            if !Arc::ptr_eq(&previous, backend) {
                previous.cancel(request);
            }
        }
        let position = self.stream_position(&dispatch);
        let built = match position {
            Some(position) => self.build_message(&dispatch, position),
            None => None,
        };
        let Some((mut message, expected)) = built else {
            self.fail_attempt(dispatch.attempt, Failure::NotSent);
            return;
        };
        let span = tracing::info_span!(
            target: "jaystand",
            parent: &self.span,
            "attempt",
            number = dispatch.attempt,
            server = backend.server.name.as_str()
        );
        trace::inject_context(&span, message.headers_mut());
        let plan = Plan {
            span,
            number: dispatch.attempt,
            expected,
            first_token_timeout: self.extend_timeout(dispatch.first_token_timeout),
            inter_token_timeout: self.extend_timeout(dispatch.inter_token_timeout),
            fresh_connection: dispatch.fresh_connection,
            unpooled_connection: self.run_once,
            backend: dispatch.backend,
        };
        self.attempts.push(Attempt::start(plan, message));
    }

    /// Extends a timeout to the request's deadline if the request must run at most once. Such a request is not sent
    /// again, so an earlier timeout would only lose the answer of a slow attempt.
    fn extend_timeout(&self, timeout: Duration) -> Duration {
        if self.run_once {
            timeout.max(self.time_left())
        } else {
            timeout
        }
    }

    fn record_dispatch(&mut self, dispatch: &Dispatch) {
        self.admission = None;
        if !self.dispatched {
            self.dispatched = true;
            let waited = self.submitted.elapsed();
            self.metrics.observe_admission(self.urgency, waited);
        } else if dispatch.hedge {
            self.metrics.count_hedge();
        } else {
            self.metrics.count_retry();
        }
    }

    fn handle_signal(&mut self, index: usize, signal: Signal) -> Option<Output> {
        let number = self.attempts[index].number;
        match signal {
            Signal::Head(head) => self.handle_head(index, head),
            Signal::Event(event) => return self.handle_stream_event(index, event),
            // A whole answer cannot continue the stream that the caller has begun to read.
            Signal::Answer(_) if self.assembly.next_offset() > 0 => {
                self.fail_attempt(number, Failure::ServerError);
            }
            Signal::Answer(answer) => {
                self.source.backend = Some(Arc::clone(&self.attempts[index].backend));
                self.finish_attempt(number);
                return Some(Output::Answer(answer));
            }
            Signal::Failed(failure) => {
                if !failure.proves_not_run() {
                    self.possibly_running
                        .push(Arc::clone(&self.attempts[index].backend));
                }
                self.fail_attempt(number, failure);
            }
        }
        None
    }

    fn handle_head(&mut self, index: usize, head: ResponseHead) {
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

    fn handle_stream_event(&mut self, index: usize, event: sse::Event) -> Option<Output> {
        let number = self.attempts[index].number;
        // Another attempt of a hedged request delivers the answer; the router is about to cancel this one.
        if self.delivering.is_some_and(|attempt| attempt != number) {
            return None;
        }
        match self.assembly.accept(event) {
            Ok(Step::Deliver(event)) => {
                self.record_delivery(index);
                Some(Output::Event(event))
            }
            Ok(Step::Duplicate) => None,
            Ok(Step::End) => {
                self.attempts[index].finish();
                self.finish_attempt(number);
                Some(Output::End)
            }
            Err(fault) => {
                let backend = Arc::clone(&self.attempts[index].backend);
                log::warn!(request = jaystand_types::render_request_id(self.handle.request).as_str(); "{}: {fault}", backend.server.name);
                self.attempts[index].finish();
                if fault == Fault::WrongRequest {
                    backend.retire_connections();
                }
                self.possibly_running.push(backend);
                self.fail_attempt(number, Failure::Broken);
                None
            }
        }
    }

    /// Tells the router that an event of the attempt is delivered. The first delivery chooses the attempt whose events
    /// the caller gets.
    fn record_delivery(&mut self, index: usize) {
        let request = self.handle.request;
        let attempt = self.attempts[index].number;
        if self.delivering.is_some() {
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
            self.metrics.observe_first_token(self.urgency, waited);
        }
        self.delivering = Some(attempt);
        let head = self.heads.iter().find(|(number, _)| *number == attempt);
        self.source = Source {
            backend: Some(Arc::clone(&self.attempts[index].backend)),
            cached_tokens: head.map_or(0, |(_, head)| head.cached_tokens),
            incarnation: head.map_or(0, |(_, head)| head.incarnation),
        };
        self.handle
            .send_event(Event::FirstToken { request, attempt });
    }

    /// Tells the router that the attempt has answered the request, and finishes the request.
    fn finish_attempt(&mut self, attempt: AttemptNumber) {
        self.handle.send_event(Event::Finished {
            request: self.handle.request,
            attempt,
            tokens: 0,
        });
        self.finish_request();
    }

    /// Removes a failed attempt and tells the router.
    fn fail_attempt(&mut self, attempt: AttemptNumber, failure: Failure) {
        self.remove_attempt(attempt);
        self.metrics.count_failed_attempt(failure);
        self.handle.send_event(Event::Failed {
            request: self.handle.request,
            attempt,
            failure,
        });
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        for backend in self.possibly_running.drain(..) {
            backend.cancel(self.handle.request);
        }
    }
}

/// What the driver waits for.
enum Input {
    Command(Option<Command>),
    Signal(usize, Signal),
}

/// Waits for the next signal of any attempt. Returns the attempt's index with it.
async fn next_signal(attempts: &mut SmallVec<[Attempt; 2]>) -> (usize, Signal) {
    match attempts.as_mut_slice() {
        [] => std::future::pending().await,
        [attempt] => (0, attempt.next().await),
        several => {
            let waits = several.iter_mut().map(|attempt| Box::pin(attempt.next()));
            let (signal, index, _) = futures::future::select_all(waits).await;
            (index, signal)
        }
    }
}
