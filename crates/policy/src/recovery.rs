//! What follows a failed or late attempt: retry, resume, hedge, or the final answer.

use std::time::Duration;

use jaystand_types::{Moment, RequestId, ServerId, Urgency};
use rand::RngExt;

use crate::{
    Action, AttemptNumber, Failure, Refusal, Router, Strategy,
    admission::refusal,
    figure,
    flight::{Flight, Next, Phase, Running},
    progress::cancellation,
    queue,
    timer::Due,
};

/// The first retry waits for a random time up to this one; it doubles with each attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);
/// A server that refuses without saying for how long is left alone for this time.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// A server that cannot be connected to is left alone for this time, doubled with each failure in a row.
const UNREACHED_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_UNREACHED_PAUSE: Duration = Duration::from_secs(5);
/// Time after which a hedge that found no room, or no budget, is tried again.
const HEDGE_PAUSE: Duration = Duration::from_millis(50);
/// Slowness counted against a server that answers with an error.
const ERROR_SLOWNESS: f64 = 4.0;

/// What follows the failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Another attempt still runs.
    Continue,
    /// The stream is resumed at once.
    Resume,
    /// Another attempt is sent after a pause.
    Retry,
    /// The caller gets its final answer.
    GiveUp(Refusal),
}

impl Router {
    /// An attempt has failed.
    pub(crate) fn failed(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.take(attempt) else {
            return;
        };
        // An accepted attempt may have run, whatever the failure claims.
        let proven = failure.proves_not_run() && !running.accepted;
        flight.may_have_run |= !proven;
        let alone = flight.attempts.is_empty();
        self.release(now, &running);
        self.learn_failure(now, &running, failure);
        let step = if alone {
            self.next_step(now, id, &running, failure)
        } else {
            Step::Continue
        };
        if failure == Failure::Silent && step != Step::Resume {
            // The server may still run it, unheard.
            actions.push(cancellation(id, &running));
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
            self.pump(now, running.server, actions);
        }
    }

    fn learn_failure(&mut self, now: Moment, running: &Running, failure: Failure) {
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        match failure {
            Failure::NotSent => {
                // Attempts that fail together count once.
                if now >= backend.cooling {
                    let pause = UNREACHED_PAUSE * 2_u32.pow(backend.strikes.min(10));
                    backend.strikes += 1;
                    backend.cooling = now + pause.min(LONGEST_UNREACHED_PAUSE);
                }
            }
            Failure::Refused { retry_after } => {
                backend.window.shrink(now);
                backend.cooling = now + retry_after.unwrap_or(REFUSED_PAUSE);
            }
            Failure::Mismatch => backend.epoch += 1,
            Failure::Silent => backend.latency.observe_silence(),
            Failure::ServerError => {
                backend.health.observe(now, ERROR_SLOWNESS);
                self.eject_if_slow(now, running.server);
            }
            Failure::Broken => {}
        }
    }

    /// Decides what follows the failure of a request's only attempt.
    fn next_step(
        &mut self,
        now: Moment,
        id: RequestId,
        running: &Running,
        failure: Failure,
    ) -> Step {
        let Some(flight) = self.flights.get_mut(&id) else {
            return Step::Continue;
        };
        if flight.request.deadline <= now {
            return Step::GiveUp(Refusal::DeadlinePassed);
        }
        let may_repeat = flight.repeatable() || !flight.may_have_run;
        if !may_repeat || flight.used >= self.settings.max_attempts {
            return Step::GiveUp(Refusal::AttemptsExhausted);
        }
        let in_budget = if flight.tokens > 0 {
            self.retries.spend_overdrawn()
        } else {
            self.retries.spend()
        };
        if !in_budget {
            return Step::GiveUp(Refusal::AttemptsExhausted);
        }
        let backend = self.backends.get(running.server as usize);
        let connected = !running.detached && backend.is_some_and(|backend| backend.reachable);
        plan(flight, running, failure, connected);
        flight.phase = Phase::Backoff;
        if flight.next.resume_on.is_some() {
            Step::Resume
        } else {
            Step::Retry
        }
    }

    /// A random time that grows with the attempts of the request.
    fn backoff(&mut self, id: RequestId) -> Duration {
        let used = self.flights.get(&id).map_or(1, |flight| flight.used);
        let longest = FIRST_BACKOFF * 2_u32.pow(used.saturating_sub(1).min(10));
        longest
            .min(LONGEST_BACKOFF)
            .mul_f64(self.random.random::<f64>())
    }

    /// Sends the next attempt of a request that waits for it.
    pub(crate) fn retry(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.phase != Phase::Backoff {
            return;
        }
        match flight.next.resume_on {
            Some(server) => {
                let choice = self.choice_of(now, id, server);
                self.dispatch(now, id, choice, false, actions);
            }
            None => self.route(now, id, actions),
        }
    }

    /// The first token of an attempt is late: counts against the server, and may start a hedge.
    pub(crate) fn late(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.running_mut(attempt) else {
            return;
        };
        if running.first_token || running.resume || running.detached {
            return;
        }
        if running.late {
            let slow = running.server;
            self.hedge(now, id, attempt, slow, actions);
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        // The cache may have held less than presumed: the head of the response has told by now.
        let expected = backend.expected_first_token(running.ahead + running.missed);
        let due = running.sent + figure::duration(expected + self.lateness.margin());
        if now < due {
            self.timers.push(due, Due::Late(id, attempt));
            return;
        }
        running.late = true;
        let running = *running;
        let seconds = now.saturating_sub(running.sent).as_secs_f64();
        let sample = backend.slowness_sample(running.ahead + running.missed, seconds);
        backend.health.observe(now, sample);
        backend.overdue += 1;
        self.eject_if_slow(now, running.server);
        self.hedge(now, id, attempt, running.server, actions);
        self.replace_urgent(now, running.server, actions);
    }

    /// Sends a second attempt that races a late one, now or as soon as another server has room.
    fn hedge(
        &mut self,
        now: Moment,
        id: RequestId,
        late: AttemptNumber,
        slow: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let flight = &self.flights[&id];
        let may_hedge = self.settings.strategy == Strategy::Jaystand
            && flight.request.urgency == Urgency::Urgent
            && flight.repeatable()
            && !flight.hedged
            && flight.attempts.len() == 1
            && flight.used < self.settings.max_attempts;
        if !may_hedge {
            return;
        }
        let mut avoid = flight.avoid.clone();
        avoid.push(slow);
        let shape = self.shape(now, queue::class(flight.request.urgency), flight.long);
        let mut scratch = std::mem::take(&mut self.scratch);
        let query = self.query(now, &flight.request, shape, &avoid);
        let choice = self.view().place(&query, &mut scratch);
        self.scratch = scratch;
        let Some(choice) = choice.filter(|choice| choice.server != slow) else {
            return;
        };
        let backend = &self.backends[choice.server as usize];
        let room = backend.admits(now, shape, choice.missed, &self.settings);
        // A hedge that has to compute the prompt again delays others by that time. It must not cost more than the
        // late attempt has lost already.
        let sent = flight.attempts.first().map_or(now, |running| running.sent);
        let lost = now.saturating_sub(sent).as_secs_f64();
        let pays = choice.missed * backend.latency.prefill() <= lost;
        if !room || !pays || !self.hedges.spend() {
            self.timers.push(now + HEDGE_PAUSE, Due::Late(id, late));
            return;
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.hedged = true;
        }
        self.dispatch(now, id, choice, true, actions);
    }

    /// The caller has gone away.
    pub(crate) fn cancel(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(flight) = self.flights.get(&id) {
            cancel_attempts(flight, actions);
            self.end(now, id, &[], actions);
        }
    }

    pub(crate) fn deadline_passed(
        &mut self,
        now: Moment,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        self.refuse(now, id, Refusal::DeadlinePassed, actions);
    }

    /// Gives a request up: cancels what runs and answers the caller at once.
    pub(crate) fn refuse(
        &mut self,
        now: Moment,
        id: RequestId,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        cancel_attempts(flight, actions);
        let seconds = self.come_back_seconds(flight);
        actions.push(refusal(id, reason, seconds, flight.outcome()));
        self.end(now, id, &[], actions);
    }

    /// Time for the present queue to drain.
    fn come_back_seconds(&self, flight: &Flight) -> f64 {
        let mut least = f64::INFINITY;
        for server in flight.request.servers.iter().take(DRAIN_SAMPLE) {
            if let Some(backend) = self.backends.get(*server as usize) {
                let waiting = f64::from(backend.queue.ahead_of(queue::CLASSES - 1));
                least = least.min(waiting * backend.latency.service() / backend.window.size());
            }
        }
        if least.is_finite() { least } else { 1.0 }
    }
}

/// Servers looked at for the time to come back.
const DRAIN_SAMPLE: usize = 8;

fn cancel_attempts(flight: &Flight, actions: &mut Vec<Action>) {
    for running in &flight.attempts {
        actions.push(cancellation(flight.request.id, running));
    }
}

/// Chooses where and how the next attempt runs.
fn plan(flight: &mut Flight, running: &Running, failure: Failure, connected: bool) {
    let stream_cut = matches!(failure, Failure::Silent | Failure::Broken);
    // One resume on the same server: a second failure in a row there means more than a bad connection.
    let resume = stream_cut && running.accepted && !running.resume && connected;
    flight.next = Next {
        resume_on: resume.then_some(running.server),
        fresh: stream_cut,
    };
    let suspect_connection = failure == Failure::Silent && flight.used == 1;
    let same_server = resume || suspect_connection || failure == Failure::Mismatch;
    if !same_server && !running.detached {
        flight.avoid(running.server);
    }
}
