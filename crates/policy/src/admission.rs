//! Admission: which request a server's window admits next, which one waits, and which one is refused early.

use jaystand_types::{Moment, Outcome, RequestId, ServerId, Urgency};

use crate::{
    Action, Refusal, Request, Router, Strategy,
    active::{ActiveRequest, NextAttempt, Phase},
    health::State,
    numeric,
    placement::Choice,
    queue::{self, Entry},
    teams::{AnswerLengths, LimitReached},
    timer::Due,
};

/// Queues searched when a server with room takes over waiting requests.
const MAX_STEAL_QUEUES: usize = 4;
/// A request moves to another server only if its expected time to first token falls by this factor, because the server
/// where it waits probably has its prefix cached.
const MIN_STEAL_GAIN: f64 = 5.0;
/// Requests examined in each searched queue.
const MAX_STEAL_ENTRIES: usize = 4;
/// Longest queue of an ejected server or one on probation that a review routes again as a whole. Of longer queues it
/// routes only urgent requests.
const MAX_REROUTED_REQUESTS: usize = 64;
/// Servers that each review offers waiting requests to. The next review continues with the server after them.
const MAX_REVIEWED_SERVERS: usize = 64;
/// `Retry-After` when a team's limit on requests in flight is reached.
const IN_FLIGHT_RETRY_AFTER_SECONDS: f64 = 2.0;
/// Share of the predicted generation time that must fit before the deadline. Predictions err in both directions, and
/// refusing a request wrongly costs more than answering one late.
const MIN_ANSWER_SHARE: f64 = 0.5;

impl Router {
    /// Checks the limits of a new request and routes it.
    pub(crate) fn submit(&mut self, now: Moment, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.active_requests.contains_key(&id) {
            return;
        }
        if request.deadline <= now {
            actions.push(refuse_action(
                id,
                Refusal::DeadlinePassed,
                0.0,
                Outcome::NotRun,
            ));
            return;
        }
        let kind_index = self.teams.kind_index_of(&request.team, &request.kind);
        self.teams.activate(kind_index.team);
        let daemons = self.daemons;
        if let Err(limited) = self.teams.kind_mut(kind_index).admit(now, daemons) {
            let pause = match limited {
                LimitReached::InFlight => IN_FLIGHT_RETRY_AFTER_SECONDS,
                LimitReached::Rate(seconds) => seconds,
            };
            actions.push(refuse_action(
                id,
                Refusal::TeamLimit,
                pause,
                Outcome::NotRun,
            ));
            return;
        }
        self.retry_budget.earn();
        if request.urgency == Urgency::Urgent {
            self.hedge_budget.earn();
            self.last_urgent = Some(now);
        }
        let predicted_tokens = self.teams.kind(kind_index).predict(request.expected_tokens);
        self.answer_lengths.observe(predicted_tokens);
        let seconds = self.service_seconds(&request, predicted_tokens);
        let scale = self.scale(&request);
        let chain = &request.chain;
        self.heat
            .add(now, &chain.levels()[chain.base()..], seconds, scale);
        self.timers.push(request.deadline, Due::Deadline(id));
        self.sequence += 1;
        let active = ActiveRequest {
            kind_index,
            submitted_at: now,
            sequence: self.sequence,
            predicted_tokens,
            is_long: self.answer_lengths.is_long(predicted_tokens),
            charged_tokens: 0.0,
            phase: Phase::Backoff,
            attempts: smallvec::SmallVec::new(),
            attempts_sent: 0,
            may_have_run: false,
            answer_tokens: 0,
            next_attempt: NextAttempt::default(),
            avoid: smallvec::SmallVec::new(),
            hedged: false,
            request,
        };
        self.active_requests.insert(id, active);
        self.route(now, id, actions);
    }

    /// Dispatches a request to its best server, queues it there, or refuses it.
    pub(crate) fn route(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        let Some(choice) = self.choose_server(now, id) else {
            self.refuse(now, id, Refusal::NoServer, actions);
            return;
        };
        let active = &self.active_requests[&id];
        let class = queue::class(active.request.urgency);
        let profile = self.profile(now, class, active.is_long);
        let backend = &self.backends[choice.server as usize];
        let first_in_line = backend.queue.count_ahead(self.queue_class(class)) == 0;
        if first_in_line && backend.admits(now, profile, choice.missed_tokens, &self.settings) {
            self.dispatch(now, id, choice, false, actions);
        } else if self.too_late(now, active, choice) {
            self.refuse(now, id, Refusal::Overload, actions);
        } else {
            self.enqueue(now, id, choice, actions);
        }
    }

    /// Dispatches waiting requests to a server while its window has room.
    pub(crate) fn dispatch_waiting(
        &mut self,
        now: Moment,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        while let Some(id) = self.next_waiting(now, server) {
            let choice = self.evaluate_server(now, id, server);
            self.dispatch(now, id, choice, false, actions);
        }
    }

    /// Removes a waiting request from a server's queue.
    pub(crate) fn dequeue(&mut self, id: RequestId, server: ServerId) {
        let removed = self.backends[server as usize].queue.remove(id);
        if removed.is_some() {
            self.queued -= 1;
            self.unlist_if_empty(server);
        }
    }

    /// Routes all requests that wait for a server again.
    pub(crate) fn reroute_queue(
        &mut self,
        now: Moment,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let entries = self.backends[server as usize].queue.drain();
        self.reroute(now, server, entries, actions);
    }

    /// Routes the urgent requests that wait for a late server again.
    pub(crate) fn reroute_urgent(
        &mut self,
        now: Moment,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let entries = self.backends[server as usize].queue.drain_urgent();
        self.reroute(now, server, entries, actions);
    }

    fn reroute(
        &mut self,
        now: Moment,
        server: ServerId,
        mut entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        self.queued -= entries.len();
        self.unlist_if_empty(server);
        entries.sort_by_key(|entry| entry.sequence);
        for entry in &entries {
            self.set_phase(entry.request, Phase::Backoff);
        }
        for entry in entries {
            self.route(now, entry.request, actions);
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline, routes those of slow servers again, and fills
    /// windows that gained room without an event.
    pub(crate) fn review_queues(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.queued == 0 {
            return;
        }
        for server in self.queued_servers.clone() {
            self.refuse_unmeetable(now, server, actions);
            let backend = &self.backends[server as usize];
            let held_back = backend.health.state() != State::Healthy;
            if held_back && backend.queue.len() <= MAX_REROUTED_REQUESTS {
                self.reroute_queue(now, server, actions);
            } else if held_back || backend.late_attempts > 0 {
                self.reroute_urgent(now, server, actions);
            }
        }
        for server in self.queued_servers.clone() {
            self.dispatch_waiting(now, server, actions);
        }
        let total = self.backends.len();
        for _ in 0..MAX_REVIEWED_SERVERS.min(total) {
            if self.queued == 0 {
                return;
            }
            self.last_reviewed = (self.last_reviewed + 1) % total;
            let server = ServerId::try_from(self.last_reviewed).unwrap_or(ServerId::MAX);
            self.dispatch_waiting(now, server, actions);
        }
    }

    fn choose_server(&mut self, now: Moment, id: RequestId) -> Option<Choice> {
        let mut scratch = std::mem::take(&mut self.scratch);
        let active = &self.active_requests[&id];
        let profile = self.profile(now, queue::class(active.request.urgency), active.is_long);
        let query = self.query(now, &active.request, profile, &active.avoid);
        let view = self.view();
        let probe_target = if self.on_probation > 0 {
            view.find_probe_target(&query)
        } else {
            None
        };
        let choice = if let Some(server) = probe_target {
            Some(view.evaluate(&query, server))
        } else if self.settings.strategy == Strategy::Jaystand {
            view.place(&query, &mut scratch)
        } else {
            view.place_baseline(&query, active.sequence, &mut scratch)
        };
        self.scratch = scratch;
        choice
    }

    /// Returns the expected cost of sending a request to a given server.
    pub(crate) fn evaluate_server(&self, now: Moment, id: RequestId, server: ServerId) -> Choice {
        let active = &self.active_requests[&id];
        let profile = self.profile(now, queue::class(active.request.urgency), active.is_long);
        let query = self.query(now, &active.request, profile, &active.avoid);
        self.view().evaluate(&query, server)
    }

    fn enqueue(&mut self, now: Moment, id: RequestId, choice: Choice, actions: &mut Vec<Action>) {
        let server = choice.server;
        if self.queued >= self.settings.max_queued && !self.make_room(now, id, actions) {
            self.refuse(now, id, Refusal::QueueFull, actions);
            return;
        }
        let active = &self.active_requests[&id];
        let entry = Entry {
            request: id,
            class: queue::class(active.request.urgency),
            is_long: active.is_long,
            team: active.kind_index.team,
            submitted_at: active.submitted_at,
            missed_tokens: choice.missed_tokens,
            sequence: active.sequence,
        };
        let backend = &mut self.backends[server as usize];
        if backend.queue.is_empty() {
            self.queued_servers.push(server);
        }
        backend.queue.push(entry);
        self.update_summary(now, server);
        self.queued += 1;
        self.set_phase(id, Phase::Queued(server));
    }

    /// Refuses the last request of the lowest urgency class that waits, if that class is below the given request's.
    /// Returns whether it refused one.
    fn make_room(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if self.settings.strategy != Strategy::Jaystand {
            return false;
        }
        let class = queue::class(self.active_requests[&id].request.urgency);
        let queues = self
            .queued_servers
            .iter()
            .map(|s| &self.backends[*s as usize].queue);
        let least = queues
            .flat_map(queue::Queue::entries)
            .filter(|entry| entry.class > class)
            .max_by_key(|entry| (entry.class, entry.sequence));
        let Some(refused) = least.map(|entry| entry.request) else {
            return false;
        };
        self.refuse(now, refused, Refusal::QueueFull, actions);
        true
    }

    /// Removes and returns the next request for a server's window: one from its own queue, or else one from another
    /// server's queue that gains by moving.
    fn next_waiting(&mut self, now: Moment, server: ServerId) -> Option<RequestId> {
        if self.queued == 0 || !self.backends[server as usize].eligible() {
            return None;
        }
        let entry = self.pop_queue(now, server);
        if let Some(entry) = entry {
            self.queued -= 1;
            self.unlist_if_empty(server);
            return Some(entry.request);
        }
        let (id, from) = self.find_elsewhere(now, server)?;
        self.dequeue(id, from);
        Some(id)
    }

    fn pop_queue(&mut self, now: Moment, server: ServerId) -> Option<Entry> {
        let mut queue = std::mem::take(&mut self.backends[server as usize].queue);
        let backend = &self.backends[server as usize];
        let fifo = self.settings.strategy != Strategy::Jaystand;
        let popped = queue.pop(
            |entry| {
                if fifo {
                    return (0, 0.0, entry.sequence);
                }
                let class = entry.aged_class(now, &self.settings);
                let time = self.teams.team(entry.team).virtual_time;
                (class, time, entry.sequence)
            },
            |entry| {
                let profile = self.profile(now, entry.class, entry.is_long);
                backend.admits(now, profile, entry.missed_tokens, &self.settings)
            },
        );
        self.backends[server as usize].queue = queue;
        popped
    }

    /// Finds a request in another server's queue that gains by moving to this server. Returns it with its server.
    fn find_elsewhere(&self, now: Moment, server: ServerId) -> Option<(RequestId, ServerId)> {
        if self.settings.strategy != Strategy::Jaystand {
            return None;
        }
        let backend = &self.backends[server as usize];
        if !backend.queue.is_empty()
            && !backend.admits(now, self.profile(now, 0, false), 0.0, &self.settings)
        {
            return None;
        }
        let mut best: Option<(usize, u64, RequestId, ServerId)> = None;
        for &from in self
            .queued_servers
            .iter()
            .filter(|from| **from != server)
            .take(MAX_STEAL_QUEUES)
        {
            for entry in self.backends[from as usize]
                .queue
                .entries()
                .iter()
                .take(MAX_STEAL_ENTRIES)
            {
                let key = (entry.aged_class(now, &self.settings), entry.sequence);
                if best.is_some_and(|(class, sequence, _, _)| (class, sequence) <= key) {
                    continue;
                }
                if self.gains_by_moving(now, entry, from, server) {
                    best = Some((key.0, key.1, entry.request, from));
                }
            }
        }
        best.map(|(_, _, id, from)| (id, from))
    }

    /// Returns whether a waiting request gains enough by moving from one server to another.
    fn gains_by_moving(&self, now: Moment, entry: &Entry, from: ServerId, to: ServerId) -> bool {
        let profile = self.profile(now, entry.class, entry.is_long);
        if !self.backends[to as usize].admits(now, profile, 0.0, &self.settings) {
            return false;
        }
        let active = &self.active_requests[&entry.request];
        if !active.request.servers.contains(&to) || active.avoid.contains(&to) {
            return false;
        }
        let there = self.evaluate_server(now, entry.request, to);
        if !self.backends[to as usize].admits(now, profile, there.missed_tokens, &self.settings) {
            return false;
        }
        let here = self.evaluate_server(now, entry.request, from);
        there.expected_seconds * MIN_STEAL_GAIN < here.expected_seconds
    }

    /// Refuses the requests in a server's queue that would miss their deadline.
    fn refuse_unmeetable(&mut self, now: Moment, server: ServerId, actions: &mut Vec<Action>) {
        if self.settings.strategy != Strategy::Jaystand {
            return;
        }
        let backend = &self.backends[server as usize];
        let mut order: Vec<(usize, u64, RequestId)> = Vec::with_capacity(backend.queue.len());
        for entry in backend.queue.entries() {
            let class = entry.aged_class(now, &self.settings);
            order.push((class, entry.sequence, entry.request));
        }
        order.sort_unstable();
        let service_interval = backend.latency.service_time() / backend.window.size();
        let mut wait = 0.0;
        let mut late = Vec::new();
        for (_, _, id) in order {
            let choice = Choice {
                wait_seconds: wait + service_interval,
                ..self.evaluate_server(now, id, server)
            };
            if self.too_late(now, &self.active_requests[&id], choice) {
                late.push(id);
            } else {
                wait += service_interval;
            }
        }
        for id in late {
            self.refuse(now, id, Refusal::Overload, actions);
        }
    }

    /// Returns whether a request that has not run would miss its deadline with this choice.
    fn too_late(&self, now: Moment, active: &ActiveRequest, choice: Choice) -> bool {
        if self.settings.strategy != Strategy::Jaystand || active.may_have_run {
            return false;
        }
        let backend = &self.backends[choice.server as usize];
        let answer = backend.latency.first_token(choice.missed_tokens)
            + active.predicted_tokens * backend.latency.token_interval() * MIN_ANSWER_SHARE;
        now + numeric::duration_from_secs(choice.wait_seconds + answer) > active.request.deadline
    }

    /// Removes a server from the list of servers with waiting requests once its queue is empty.
    fn unlist_if_empty(&mut self, server: ServerId) {
        if self.backends[server as usize].queue.is_empty() {
            self.queued_servers.retain(|waiting| *waiting != server);
        }
    }

    fn set_phase(&mut self, id: RequestId, phase: Phase) {
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.phase = phase;
        }
    }

    /// Returns the lowest class whose waiting requests go before a request of this class. Baseline strategies know no
    /// classes.
    fn queue_class(&self, class: usize) -> usize {
        if self.settings.strategy == Strategy::Jaystand {
            class
        } else {
            queue::CLASSES - 1
        }
    }
}

/// Returns the action that refuses a request.
pub(crate) fn refuse_action(
    request: RequestId,
    reason: Refusal,
    seconds: f64,
    outcome: Outcome,
) -> Action {
    Action::Refuse {
        request,
        reason,
        retry_after: AnswerLengths::retry_after(seconds),
        outcome,
    }
}
