//! Recovery from failed and late attempts: retry, resume, hedge or refusal.

use std::time::Duration;

use jaystand_types::{Moment, RequestId, ServerId, Urgency};
use rand::RngExt;

use crate::{
    Action, AttemptNumber, Failure, Refusal, Router, Strategy,
    active::{ActiveRequest, Attempt, NextAttempt, Phase},
    admission::refuse_action,
    numeric,
    progress::cancel_action,
    queue,
    timer::Due,
};

/// Upper bound of the random backoff before the first retry. It doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Pause of a server that refuses a request without stating a pause.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// Pause of a server that cannot be connected to. It doubles with each consecutive failure.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
const MAX_CONNECT_PAUSE: Duration = Duration::from_secs(5);
/// Time after which a hedge without room, gain or budget is tried again.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Slowness sample recorded for a server that answers with an error.
const ERROR_SLOWNESS: f64 = 4.0;

/// The reaction to a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Wait for another attempt that still runs.
    Continue,
    /// Resume the stream at once.
    Resume,
    /// Send another attempt after a backoff.
    Retry,
    /// Refuse the request.
    GiveUp(Refusal),
}

impl Router {
    /// Handles a failed attempt.
    pub(crate) fn on_failed(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let Some(running) = active.remove_attempt(attempt) else {
            return;
        };
        // An accepted attempt may have run, even after a failure that otherwise proves that it did not.
        let proven = failure.proves_not_run() && !running.accepted;
        active.may_have_run |= !proven;
        let was_only_attempt = active.attempts.is_empty();
        self.release(now, &running);
        self.record_failure(now, &running, failure);
        let step = if was_only_attempt {
            self.next_step(now, id, &running, failure)
        } else {
            Step::Continue
        };
        if failure == Failure::Silent && step != Step::Resume {
            // The server may still run the attempt.
            actions.push(cancel_action(id, &running));
        }
        match step {
            Step::Continue => {}
            Step::GiveUp(reason) => self.refuse(now, id, reason, actions),
            Step::Resume => self.retry(now, id, actions),
            Step::Retry => {
                let delay = self.backoff(id);
                self.timers.push(now + delay, Due::Retry(id));
            }
        }
        if !running.detached {
            self.dispatch_waiting(now, running.server, actions);
        }
    }

    /// Updates the state of the server with the failure.
    fn record_failure(&mut self, now: Moment, running: &Attempt, failure: Failure) {
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        match failure {
            Failure::NotSent => {
                // Attempts that fail at the same time count as one failure.
                if now >= backend.paused_until {
                    let pause = CONNECT_PAUSE * 2_u32.pow(backend.connect_failures.min(10));
                    backend.connect_failures += 1;
                    backend.paused_until = now + pause.min(MAX_CONNECT_PAUSE);
                }
            }
            Failure::Refused { retry_after } => {
                backend.window.shrink(now);
                backend.paused_until = now + retry_after.unwrap_or(REFUSED_PAUSE);
            }
            Failure::Mismatch => backend.epoch += 1,
            Failure::Silent => backend.latency.observe_timeout(),
            Failure::ServerError => {
                backend.health.observe(now, ERROR_SLOWNESS);
                self.eject_if_slow(now, running.server);
            }
            Failure::Broken => {}
        }
    }

    /// Decides how to react to the failure of a request's only running attempt.
    fn next_step(
        &mut self,
        now: Moment,
        id: RequestId,
        running: &Attempt,
        failure: Failure,
    ) -> Step {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return Step::Continue;
        };
        if active.request.deadline <= now {
            return Step::GiveUp(Refusal::DeadlinePassed);
        }
        let may_repeat = active.repeatable() || !active.may_have_run;
        if !may_repeat || active.attempts_sent >= self.settings.max_attempts {
            return Step::GiveUp(Refusal::AttemptsExhausted);
        }
        let in_budget = if active.answer_tokens > 0 {
            self.retry_budget.spend_overdrawn()
        } else {
            self.retry_budget.spend()
        };
        if !in_budget {
            return Step::GiveUp(Refusal::AttemptsExhausted);
        }
        let backend = self.backends.get(running.server as usize);
        let connected = !running.detached && backend.is_some_and(|backend| backend.reachable);
        plan_next_attempt(active, running, failure, connected);
        active.phase = Phase::Backoff;
        if active.next_attempt.resume_on.is_some() {
            Step::Resume
        } else {
            Step::Retry
        }
    }

    /// Returns a random backoff whose upper bound grows with the attempts of the request.
    fn backoff(&mut self, id: RequestId) -> Duration {
        let used = self
            .active_requests
            .get(&id)
            .map_or(1, |active| active.attempts_sent);
        let max_backoff = INITIAL_BACKOFF * 2_u32.pow(used.saturating_sub(1).min(10));
        max_backoff
            .min(MAX_BACKOFF)
            .mul_f64(self.random.random::<f64>())
    }

    /// Sends the next attempt of a request in backoff.
    pub(crate) fn retry(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        if active.phase != Phase::Backoff {
            return;
        }
        match active.next_attempt.resume_on {
            Some(server) => {
                let choice = self.evaluate_server(now, id, server);
                self.dispatch(now, id, choice, false, actions);
            }
            None => self.route(now, id, actions),
        }
    }

    /// Handles a late first token: records it against the server, and may start a hedge.
    pub(crate) fn on_first_token_late(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let Some(running) = active.attempt_mut(attempt) else {
            return;
        };
        if running.first_token || running.resume || running.detached {
            return;
        }
        if running.counted_late {
            let slow = running.server;
            self.try_hedge(now, id, attempt, slow, actions);
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        // The response head may have shown since that the cache held less than expected, which moves the due time.
        let expected = backend.expected_first_token(running.tokens_ahead + running.missed_tokens);
        let late_at =
            running.sent_at + numeric::duration_from_secs(expected + self.late_margin.seconds());
        if now < late_at {
            self.timers.push(late_at, Due::FirstTokenLate(id, attempt));
            return;
        }
        running.counted_late = true;
        let running = *running;
        let seconds = now.saturating_sub(running.sent_at).as_secs_f64();
        let sample = backend.slowness_sample(running.tokens_ahead + running.missed_tokens, seconds);
        backend.health.observe(now, sample);
        backend.late_attempts += 1;
        self.eject_if_slow(now, running.server);
        self.try_hedge(now, id, attempt, running.server, actions);
        self.reroute_urgent(now, running.server, actions);
    }

    /// Sends a second attempt that races a late one. Tries again later if the best other server has no room, or the
    /// hedge costs too much.
    fn try_hedge(
        &mut self,
        now: Moment,
        id: RequestId,
        late: AttemptNumber,
        slow: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let active = &self.active_requests[&id];
        let may_hedge = self.settings.strategy == Strategy::Jaystand
            && active.request.urgency == Urgency::Urgent
            && active.repeatable()
            && !active.hedged
            && active.attempts.len() == 1
            && active.attempts_sent < self.settings.max_attempts;
        if !may_hedge {
            return;
        }
        let mut avoid = active.avoid.clone();
        avoid.push(slow);
        let profile = self.profile(now, queue::class(active.request.urgency), active.is_long);
        let mut scratch = std::mem::take(&mut self.scratch);
        let query = self.query(now, &active.request, profile, &avoid);
        let choice = self.view().place(&query, &mut scratch);
        self.scratch = scratch;
        let Some(choice) = choice.filter(|choice| choice.server != slow) else {
            return;
        };
        let backend = &self.backends[choice.server as usize];
        let has_room = backend.admits(now, profile, choice.missed_tokens, &self.settings);
        // A hedge that has to compute the prompt again delays other requests by that time. It must not cost more than
        // the time since the late attempt was sent.
        let sent_at = active
            .attempts
            .first()
            .map_or(now, |running| running.sent_at);
        let seconds_lost = now.saturating_sub(sent_at).as_secs_f64();
        let is_worthwhile =
            choice.missed_tokens * backend.latency.prefill_per_token() <= seconds_lost;
        if !has_room || !is_worthwhile || !self.hedge_budget.spend() {
            self.timers
                .push(now + HEDGE_RETRY_INTERVAL, Due::FirstTokenLate(id, late));
            return;
        }
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.hedged = true;
        }
        self.dispatch(now, id, choice, true, actions);
    }

    /// Ends a request whose caller has abandoned it, and cancels its attempts.
    pub(crate) fn cancel(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(active) = self.active_requests.get(&id) {
            cancel_attempts(active, actions);
            self.end_request(now, id, &[], actions);
        }
    }

    /// Refuses a request whose deadline has passed.
    pub(crate) fn on_deadline_passed(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        self.refuse(now, id, Refusal::DeadlinePassed, actions);
    }

    /// Refuses a request and cancels its attempts.
    pub(crate) fn refuse(
        &mut self,
        now: Moment,
        id: RequestId,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get(&id) else {
            return;
        };
        cancel_attempts(active, actions);
        let seconds = self.queue_drain_seconds(active);
        actions.push(refuse_action(id, reason, seconds, active.outcome()));
        self.end_request(now, id, &[], actions);
    }

    /// Returns the seconds until the shortest queue of the request's servers is expected to drain.
    fn queue_drain_seconds(&self, active: &ActiveRequest) -> f64 {
        let mut least = f64::INFINITY;
        for server in active.request.servers.iter().take(DRAIN_SAMPLE_SERVERS) {
            if let Some(backend) = self.backends.get(*server as usize) {
                let waiting = f64::from(backend.queue.count_ahead(queue::CLASSES - 1));
                least = least.min(waiting * backend.latency.service_time() / backend.window.size());
            }
        }
        if least.is_finite() { least } else { 1.0 }
    }
}

/// Servers considered for the time after which a caller should retry.
const DRAIN_SAMPLE_SERVERS: usize = 8;

fn cancel_attempts(active: &ActiveRequest, actions: &mut Vec<Action>) {
    for running in &active.attempts {
        actions.push(cancel_action(active.request.id, running));
    }
}

/// Decides how and where the next attempt runs.
fn plan_next_attempt(
    active: &mut ActiveRequest,
    running: &Attempt,
    failure: Failure,
    connected: bool,
) {
    let stream_cut = matches!(failure, Failure::Silent | Failure::Broken);
    // Resumes on the same server once only. A second consecutive failure there is more than a broken connection.
    let resume = stream_cut && running.accepted && !running.resume && connected;
    active.next_attempt = NextAttempt {
        resume_on: resume.then_some(running.server),
        fresh_connection: stream_cut,
    };
    let suspect_connection = failure == Failure::Silent && active.attempts_sent == 1;
    let same_server = resume || suspect_connection || failure == Failure::Mismatch;
    if !same_server && !running.detached {
        active.avoid_server(running.server);
    }
}
