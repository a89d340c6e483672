//! Attempts from dispatch to the end, and the statistics updated at each step.

use jaystand_types::{Incarnation, Moment, RequestId, ServerId};

use crate::{
    Action, AttemptNumber, Router, Strategy,
    active::{ActiveRequest, Attempt, Phase},
    backend::MIN_EXPECTED_SECONDS,
    candidates::ServerSummary,
    chain::Level,
    numeric,
    observation::Holder,
    placement::Choice,
    queue,
    timer::Due,
};

/// Share of the expected cached tokens from which a prefix counts as still cached.
const MIN_KEPT_SHARE: f64 = 0.5;
/// Fixed service that a request costs its team, in answer tokens.
const BASE_CHARGE_TOKENS: f64 = 32.0;
/// Factors on the lower bound of the first-token timeout, by urgency class. Engines let less urgent requests wait.
const MIN_TIMEOUT_FACTORS: [u32; queue::CLASSES] = [1, 2, 4];
/// Service that a prompt token costs, in answer tokens. Engines compute many prompt tokens at a time.
const PROMPT_CHARGE: f64 = 0.02;

impl Router {
    /// Sends an attempt to the chosen server.
    pub(crate) fn dispatch(
        &mut self,
        now: Moment,
        id: RequestId,
        choice: Choice,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let backend = &mut self.backends[choice.server as usize];
        let next = std::mem::take(&mut active.next_attempt);
        let resume = next.resume_on == Some(choice.server);
        active.attempts_sent += 1;
        active.phase = Phase::Running;
        let pending_tokens = if resume { 0.0 } else { choice.missed_tokens };
        let running = Attempt {
            number: active.attempts_sent,
            server: choice.server,
            detached: false,
            sent_at: now,
            tokens_ahead: backend.pending_tokens,
            missed_tokens: choice.missed_tokens,
            pending_tokens,
            accepted: false,
            first_token: false,
            counted_late: false,
            last_received_at: now,
            is_long: active.is_long,
            resume,
            observed_at: choice.observed_at,
            shared_tokens: choice.shared_tokens,
            unobserved_first_member: choice.unobserved_first_member,
        };
        active.attempts.push(running);
        let tokens = backend.pending_tokens + choice.missed_tokens;
        backend.add_attempt(now, active.is_long);
        backend.pending_tokens += pending_tokens;
        backend.awaiting_first_token += 1;
        self.summaries[choice.server as usize] = ServerSummary::new(now, backend);
        let class = queue::class(active.request.urgency);
        let floor = self.settings.min_first_token_timeout * MIN_TIMEOUT_FACTORS[class];
        let left = active.request.deadline.saturating_sub(now);
        // A plain service sends its answer as a whole, which may take long. Half of the time left allows one retry.
        let floor = if backend.spec.service {
            floor.max(left / 2)
        } else {
            floor
        };
        let first_token_timeout = backend.latency.first_token_timeout(tokens, floor).min(left);
        let inter_token_timeout = backend
            .latency
            .inter_token_timeout(self.settings.min_inter_token_timeout);
        let late = backend.expected_first_token(tokens) + self.late_margin.seconds();
        let late = now + numeric::duration_from_secs(late);
        self.timers
            .push(late, Due::FirstTokenLate(id, running.number));
        if active.charged_tokens == 0.0 {
            active.charged_tokens = active.predicted_tokens
                + BASE_CHARGE_TOKENS
                + PROMPT_CHARGE * f64::from(active.request.prompt_tokens);
            self.teams.advance_clock(active.kind_index.team);
            self.teams
                .charge(active.kind_index.team, active.charged_tokens);
        }
        actions.push(Action::Dispatch {
            request: id,
            attempt: running.number,
            server: choice.server,
            priority: priority(self.settings.strategy, class),
            first_token_timeout,
            inter_token_timeout,
            resume,
            fresh_connection: next.fresh_connection,
            hedge,
        });
    }

    /// Handles a response head: corrects the expected missed tokens and updates the cache estimates.
    pub(crate) fn on_accepted(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        cached_tokens: u32,
        incarnation: Incarnation,
    ) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let prompt = f64::from(active.request.prompt_tokens);
        let Some(running) = active.attempt_mut(attempt) else {
            return;
        };
        running.accepted = true;
        running.last_received_at = now;
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        backend.observe_incarnation(incarnation);
        backend.connect_failures = 0;
        if running.resume {
            return;
        }
        let missed_tokens = (prompt - f64::from(cached_tokens)).max(0.0);
        let expected_cached = prompt - running.missed_tokens;
        let still_cached = f64::from(cached_tokens) >= MIN_KEPT_SHARE * expected_cached;
        backend.pending_tokens =
            (backend.pending_tokens + missed_tokens - running.pending_tokens).max(0.0);
        running.pending_tokens = missed_tokens;
        running.missed_tokens = missed_tokens;
        let observed_at = running.observed_at;
        let (shared_tokens, unobserved_first_member) =
            (running.shared_tokens, running.unobserved_first_member);
        if let Some(observed_at) = observed_at {
            backend.observe_retention(now.saturating_sub(observed_at), still_cached);
        }
        if active.request.chain.levels().is_empty() {
            return;
        }
        let cached = f64::from(cached_tokens);
        if shared_tokens > 0.0 {
            self.group_cached_share
                .add((cached / shared_tokens).min(1.0));
        }
        let rest = prompt - shared_tokens;
        if unobserved_first_member && rest > 0.0 {
            self.first_member_cached_share
                .add(((cached - shared_tokens) / rest).clamp(0.0, 1.0));
        }
    }

    /// Handles the first token of an attempt, and cancels the attempts that raced it.
    pub(crate) fn on_first_token(
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
        if running.first_token {
            return;
        }
        running.first_token = true;
        running.last_received_at = now;
        let snapshot = *running;
        running.pending_tokens = 0.0;
        if !snapshot.detached {
            self.record_first_token(now, &snapshot);
            self.record_holder(now, id, snapshot.server);
        }
        self.cancel_others(now, id, attempt, actions);
        if !snapshot.detached {
            self.dispatch_waiting(now, snapshot.server, actions);
        }
    }

    /// Records that a server has computed a prompt and therefore has its prefix cached.
    fn record_holder(&mut self, now: Moment, id: RequestId, server: ServerId) {
        let request = &self.active_requests[&id].request;
        let levels = request.chain.levels();
        if levels.is_empty() {
            return;
        }
        let scale = self.scale(request);
        let hot = |level: &&Level| self.heat.servers_needed(now, level, scale) > 1;
        let base = request.chain.base();
        let first_cold_depth = base + levels[base..].iter().take_while(hot).count();
        let holder = Holder {
            server,
            epoch: self.backends[server as usize].epoch,
            observed_at: now,
        };
        self.observations.record(levels, first_cold_depth, holder);
    }

    /// Updates the state of the server with a first-token time, and ejects it if it is slow.
    fn record_first_token(&mut self, now: Moment, running: &Attempt) {
        let backend = &mut self.backends[running.server as usize];
        backend.pending_tokens = (backend.pending_tokens - running.pending_tokens).max(0.0);
        backend.late_attempts -= u32::from(running.counted_late);
        backend.awaiting_first_token -= 1;
        if running.resume {
            return;
        }
        let seconds = now.saturating_sub(running.sent_at).as_secs_f64();
        let tokens = running.tokens_ahead + running.missed_tokens;
        let sample = backend.slowness_sample(tokens, seconds);
        backend.health.observe(now, sample);
        self.late_margin
            .observe(seconds - backend.expected_first_token(tokens));
        let unloaded = backend
            .latency
            .first_token(running.missed_tokens)
            .max(MIN_EXPECTED_SECONDS);
        backend
            .window
            .observe(now, seconds / unloaded, backend.in_flight);
        backend.latency.observe_first_token(tokens, seconds);
        self.eject_if_slow(now, running.server);
    }

    /// Handles further tokens of an attempt.
    pub(crate) fn on_progress(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        self.on_first_token(now, id, attempt, actions);
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let Some(running) = active.attempt_mut(attempt) else {
            return;
        };
        let gap = now.saturating_sub(running.last_received_at).as_secs_f64();
        running.last_received_at = now;
        let snapshot = *running;
        active.answer_tokens = active.answer_tokens.saturating_add(tokens);
        let became_long =
            !snapshot.is_long && self.answer_lengths.is_long(f64::from(active.answer_tokens));
        if became_long {
            active.is_long = true;
            if let Some(running) = active.attempt_mut(attempt) {
                running.is_long = true;
            }
        }
        if snapshot.detached {
            return;
        }
        let backend = &mut self.backends[snapshot.server as usize];
        backend.long_in_flight += u32::from(became_long);
        let usual_interval = backend.peers.token;
        backend
            .health
            .observe_tokens(now, tokens, gap, usual_interval);
        if gap > 0.0 {
            backend.latency.observe_tokens(tokens, gap);
        }
    }

    /// Handles the end of an answer, and ends its request.
    pub(crate) fn on_finished(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        self.on_progress(now, id, attempt, tokens, actions);
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let Some(running) = active.remove_attempt(attempt) else {
            return;
        };
        let answer_tokens = active.answer_tokens;
        let kind_index = active.kind_index;
        let correction = f64::from(answer_tokens) - active.predicted_tokens;
        if !running.resume && !running.detached {
            let seconds = now.saturating_sub(running.sent_at).as_secs_f64();
            let backend = &mut self.backends[running.server as usize];
            backend.latency.observe_service(seconds);
        }
        self.teams
            .kind_mut(kind_index)
            .observe_length(answer_tokens);
        self.teams.charge(kind_index.team, correction);
        self.end_request(now, id, &[running], actions);
    }

    /// Removes a request with its attempts, and dispatches waiting requests to their servers.
    pub(crate) fn end_request(
        &mut self,
        now: Moment,
        id: RequestId,
        ended: &[Attempt],
        actions: &mut Vec<Action>,
    ) -> Option<ActiveRequest> {
        let active = self.active_requests.remove(&id)?;
        if let Phase::Queued(server) = active.phase {
            self.dequeue(id, server);
        }
        let kind = self.teams.kind_mut(active.kind_index);
        kind.in_flight = kind.in_flight.saturating_sub(1);
        for running in ended.iter().chain(&active.attempts) {
            self.release(now, running);
        }
        for running in ended.iter().chain(&active.attempts) {
            if !running.detached {
                self.dispatch_waiting(now, running.server, actions);
            }
        }
        Some(active)
    }

    /// Removes an attempt from the counts of its server.
    pub(crate) fn release(&mut self, now: Moment, running: &Attempt) {
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        if !running.first_token {
            backend.pending_tokens = (backend.pending_tokens - running.pending_tokens).max(0.0);
            backend.late_attempts -= u32::from(running.counted_late);
            backend.awaiting_first_token -= 1;
        }
        backend.remove_attempt(now, running.is_long);
        self.update_summary(now, running.server);
    }

    /// Cancels all attempts of a request but the one that has its first token.
    fn cancel_others(
        &mut self,
        now: Moment,
        id: RequestId,
        winner: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        if active.attempts.len() < 2 {
            return;
        }
        let others = active.attempts.iter().filter(|a| a.number != winner);
        let losers: smallvec::SmallVec<[Attempt; 2]> = others.copied().collect();
        active.attempts.retain(|a| a.number == winner);
        active.may_have_run = true;
        for loser in &losers {
            actions.push(cancel_action(id, loser));
            self.release(now, loser);
        }
        for loser in &losers {
            if !loser.detached {
                self.dispatch_waiting(now, loser.server, actions);
            }
        }
    }
}

/// Returns the action that cancels an attempt.
pub(crate) fn cancel_action(request: RequestId, running: &Attempt) -> Action {
    Action::CancelAttempt {
        request,
        attempt: running.number,
        server: running.server,
    }
}

/// Returns the engine priority of an urgency class. Baseline strategies give all requests the same.
fn priority(strategy: Strategy, class: usize) -> u8 {
    if strategy == Strategy::Jaystand {
        u8::try_from(class).unwrap_or(u8::MAX)
    } else {
        1
    }
}
