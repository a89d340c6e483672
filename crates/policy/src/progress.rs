//! Attempts from dispatch to the end, and what each step teaches.

use jaystand_types::{Incarnation, Moment, RequestId, ServerId};

use crate::{
    Action, AttemptNumber, Router, Strategy,
    backend::LEAST_EXPECTED,
    candidates::Rank,
    chain::Level,
    figure,
    flight::{Flight, Phase, Running},
    observation::Holder,
    placement::Choice,
    queue,
    timer::Due,
};

/// A cache that holds this part of what was predicted has kept the prefix.
const KEPT_PART: f64 = 0.5;
/// Service that a request costs its team on top of its answer, in tokens.
const BASE_CHARGE: f64 = 32.0;
/// Times the least time until the first token, by urgency class: engines let less urgent work wait.
const FLOOR_FACTORS: [u32; queue::CLASSES] = [1, 2, 4];
/// Prompt tokens cost this part of an answer token: they are computed many at a time.
const PROMPT_CHARGE: f64 = 0.02;

impl Router {
    /// Sends an attempt.
    pub(crate) fn dispatch(
        &mut self,
        now: Moment,
        id: RequestId,
        choice: Choice,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let backend = &mut self.backends[choice.server as usize];
        let next = std::mem::take(&mut flight.next);
        let resume = next.resume_on == Some(choice.server);
        flight.used += 1;
        flight.phase = Phase::Running;
        let pending = if resume { 0.0 } else { choice.missed };
        let running = Running {
            number: flight.used,
            server: choice.server,
            detached: false,
            sent: now,
            ahead: backend.pending_tokens,
            missed: choice.missed,
            pending,
            accepted: false,
            first_token: false,
            late: false,
            latest: now,
            long: flight.long,
            resume,
            observed: choice.observed,
            shared: choice.shared,
            unobserved_home: choice.unobserved_home,
        };
        flight.attempts.push(running);
        let tokens = backend.pending_tokens + choice.missed;
        backend.enter(now, flight.long);
        backend.pending_tokens += pending;
        backend.awaiting += 1;
        self.ranks[choice.server as usize] = Rank::new(now, backend);
        let class = queue::class(flight.request.urgency);
        let floor = self.settings.min_first_token_timeout * FLOOR_FACTORS[class];
        let left = flight.request.deadline.saturating_sub(now);
        // A plain service answers as a whole, and may take long for it. Half of the time left allows one retry.
        let floor = if backend.spec.service {
            floor.max(left / 2)
        } else {
            floor
        };
        let first_token_timeout = backend.latency.first_token_timeout(tokens, floor).min(left);
        let inter_token_timeout = backend
            .latency
            .inter_token_timeout(self.settings.min_inter_token_timeout);
        let late = backend.expected_first_token(tokens) + self.lateness.margin();
        let late = now + figure::duration(late);
        self.timers.push(late, Due::Late(id, running.number));
        if flight.charged == 0.0 {
            flight.charged = flight.predicted
                + BASE_CHARGE
                + PROMPT_CHARGE * f64::from(flight.request.prompt_tokens);
            self.teams.advance(flight.member.team);
            self.teams.charge(flight.member.team, flight.charged);
        }
        actions.push(Action::Dispatch {
            request: id,
            attempt: running.number,
            server: choice.server,
            priority: priority(self.settings.strategy, class),
            first_token_timeout,
            inter_token_timeout,
            resume,
            fresh_connection: next.fresh,
            hedge,
        });
    }

    /// The head of a response has arrived.
    pub(crate) fn accepted(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        cached_tokens: u32,
        incarnation: Incarnation,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let prompt = f64::from(flight.request.prompt_tokens);
        let Some(running) = flight.running_mut(attempt) else {
            return;
        };
        running.accepted = true;
        running.latest = now;
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        backend.observe_incarnation(incarnation);
        backend.strikes = 0;
        if running.resume {
            return;
        }
        let missed = (prompt - f64::from(cached_tokens)).max(0.0);
        let presumed = prompt - running.missed;
        let held = f64::from(cached_tokens) >= KEPT_PART * presumed;
        backend.pending_tokens = (backend.pending_tokens + missed - running.pending).max(0.0);
        running.pending = missed;
        running.missed = missed;
        let observed = running.observed;
        let (shared, unobserved_home) = (running.shared, running.unobserved_home);
        if let Some(seen) = observed {
            backend.observe_retention(now.saturating_sub(seen), held);
        }
        if flight.request.chain.levels().is_empty() {
            return;
        }
        let cached = f64::from(cached_tokens);
        if shared > 0.0 {
            self.group_held.add((cached / shared).min(1.0));
        }
        let rest = prompt - shared;
        if unobserved_home && rest > 0.0 {
            self.home_held
                .add(((cached - shared) / rest).clamp(0.0, 1.0));
        }
    }

    /// The first token of an attempt has arrived; attempts that raced it are cancelled.
    pub(crate) fn first_token(
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
        if running.first_token {
            return;
        }
        running.first_token = true;
        running.latest = now;
        let seen = *running;
        running.pending = 0.0;
        if !seen.detached {
            self.learn_first_token(now, &seen);
            self.record_holder(now, id, seen.server);
        }
        self.cancel_others(now, id, attempt, actions);
        if !seen.detached {
            self.pump(now, seen.server, actions);
        }
    }

    /// Records that a server has computed a prompt and so holds its prefix.
    fn record_holder(&mut self, now: Moment, id: RequestId, server: ServerId) {
        let request = &self.flights[&id].request;
        let levels = request.chain.levels();
        if levels.is_empty() {
            return;
        }
        let scale = self.scale(request);
        let hot = |level: &&Level| self.heat.servers(now, level, scale) > 1;
        let base = request.chain.base();
        let anchor = base + levels[base..].iter().take_while(hot).count();
        let holder = Holder {
            server,
            epoch: self.backends[server as usize].epoch,
            seen: now,
        };
        self.observations.record(levels, anchor, holder);
    }

    fn learn_first_token(&mut self, now: Moment, running: &Running) {
        let backend = &mut self.backends[running.server as usize];
        backend.pending_tokens = (backend.pending_tokens - running.pending).max(0.0);
        backend.overdue -= u32::from(running.late);
        backend.awaiting -= 1;
        if running.resume {
            return;
        }
        let seconds = now.saturating_sub(running.sent).as_secs_f64();
        let tokens = running.ahead + running.missed;
        let sample = backend.slowness_sample(tokens, seconds);
        backend.health.observe(now, sample);
        self.lateness
            .observe(seconds - backend.expected_first_token(tokens));
        let unloaded = backend
            .latency
            .first_token(running.missed)
            .max(LEAST_EXPECTED);
        backend
            .window
            .observe(now, seconds / unloaded, backend.in_flight);
        backend.latency.observe_first_token(tokens, seconds);
        self.eject_if_slow(now, running.server);
    }

    /// Tokens have arrived.
    pub(crate) fn progress(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        self.first_token(now, id, attempt, actions);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.running_mut(attempt) else {
            return;
        };
        let gap = now.saturating_sub(running.latest).as_secs_f64();
        running.latest = now;
        let seen = *running;
        flight.tokens = flight.tokens.saturating_add(tokens);
        let became_long = !seen.long && self.typical.is_long(f64::from(flight.tokens));
        if became_long {
            flight.long = true;
            if let Some(running) = flight.running_mut(attempt) {
                running.long = true;
            }
        }
        if seen.detached {
            return;
        }
        let backend = &mut self.backends[seen.server as usize];
        backend.long_in_flight += u32::from(became_long);
        let usual = backend.peers.token;
        backend.health.observe_tokens(now, tokens, gap, usual);
        if gap > 0.0 {
            backend.latency.observe_tokens(tokens, gap);
        }
    }

    /// The whole answer has arrived.
    pub(crate) fn finished(
        &mut self,
        now: Moment,
        id: RequestId,
        attempt: AttemptNumber,
        tokens: u32,
        actions: &mut Vec<Action>,
    ) {
        self.progress(now, id, attempt, tokens, actions);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(running) = flight.take(attempt) else {
            return;
        };
        let answer = flight.tokens;
        let member = flight.member;
        let correction = f64::from(answer) - flight.predicted;
        if !running.resume && !running.detached {
            let seconds = now.saturating_sub(running.sent).as_secs_f64();
            let backend = &mut self.backends[running.server as usize];
            backend.latency.observe_service(seconds);
        }
        self.teams.kind_mut(member).observe_length(answer);
        self.teams.charge(member.team, correction);
        self.end(now, id, &[running], actions);
    }

    /// Removes a request and frees what it held; the windows that open take waiting requests.
    pub(crate) fn end(
        &mut self,
        now: Moment,
        id: RequestId,
        ended: &[Running],
        actions: &mut Vec<Action>,
    ) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if let Phase::Queued(server) = flight.phase {
            self.unqueue(id, server);
        }
        let kind = self.teams.kind_mut(flight.member);
        kind.in_flight = kind.in_flight.saturating_sub(1);
        for running in ended.iter().chain(&flight.attempts) {
            self.release(now, running);
        }
        for running in ended.iter().chain(&flight.attempts) {
            if !running.detached {
                self.pump(now, running.server, actions);
            }
        }
        Some(flight)
    }

    /// Counts an attempt out of its server.
    pub(crate) fn release(&mut self, now: Moment, running: &Running) {
        if running.detached {
            return;
        }
        let backend = &mut self.backends[running.server as usize];
        if !running.first_token {
            backend.pending_tokens = (backend.pending_tokens - running.pending).max(0.0);
            backend.overdue -= u32::from(running.late);
            backend.awaiting -= 1;
        }
        backend.leave(now, running.long);
        self.rank(now, running.server);
    }

    fn cancel_others(
        &mut self,
        now: Moment,
        id: RequestId,
        winner: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.attempts.len() < 2 {
            return;
        }
        let others = flight.attempts.iter().filter(|a| a.number != winner);
        let losers: smallvec::SmallVec<[Running; 2]> = others.copied().collect();
        flight.attempts.retain(|a| a.number == winner);
        flight.may_have_run = true;
        for loser in &losers {
            actions.push(cancellation(id, loser));
            self.release(now, loser);
        }
        for loser in &losers {
            if !loser.detached {
                self.pump(now, loser.server, actions);
            }
        }
    }
}

/// The action that cancels an attempt.
pub(crate) fn cancellation(request: RequestId, running: &Running) -> Action {
    Action::CancelAttempt {
        request,
        attempt: running.number,
        server: running.server,
    }
}

fn priority(strategy: Strategy, class: usize) -> u8 {
    if strategy == Strategy::Jaystand {
        u8::try_from(class).unwrap_or(u8::MAX)
    } else {
        1
    }
}
