//! Admission: which request enters a server's window next, which waits, and which is refused early.

use jaystand_types::{Moment, Outcome, RequestId, ServerId, Urgency};

use crate::{
    Action, Refusal, Request, Router, Strategy, figure,
    flight::{Flight, Next, Phase},
    health::State,
    placement::Choice,
    queue::{self, Entry},
    roster::{Limited, Typical},
    timer::Due,
};

/// Queues looked at, and requests in each, when a server with room takes over waiting work.
const STEAL_QUEUES: usize = 4;
/// A request moves to an idle server only if it gains by this factor: where it waits, its prefix is cached.
const STEAL_GAIN: f64 = 5.0;
const STEAL_ENTRIES: usize = 4;
/// Longest queue of a server on probation that is placed again in a review; of longer ones, only urgent work.
const REPLACED_REQUESTS: usize = 64;
/// Servers offered waiting work in each review; the next review goes on from there.
const REVIEWED_SERVERS: usize = 64;
/// Retry-After when a limit on requests in flight is reached, in seconds.
const LIMIT_PAUSE: f64 = 2.0;
/// Part of the predicted answer time that must fit before the deadline: predictions err to both sides, and a
/// request refused wrongly costs more than one that ends late.
const ANSWER_PART: f64 = 0.5;

impl Router {
    /// Takes a new request in.
    pub(crate) fn submit(&mut self, now: Moment, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.flights.contains_key(&id) {
            return;
        }
        if request.deadline <= now {
            actions.push(refusal(id, Refusal::DeadlinePassed, 0.0, Outcome::NotRun));
            return;
        }
        let member = self.teams.member(&request.team, &request.kind);
        self.teams.activate(member.team);
        let daemons = self.daemons;
        if let Err(limited) = self.teams.kind_mut(member).admit(now, daemons) {
            let pause = match limited {
                Limited::InFlight => LIMIT_PAUSE,
                Limited::Rate(seconds) => seconds,
            };
            actions.push(refusal(id, Refusal::TeamLimit, pause, Outcome::NotRun));
            return;
        }
        self.retries.earn();
        if request.urgency == Urgency::Urgent {
            self.hedges.earn();
            self.latest_urgent = Some(now);
        }
        let predicted = self.teams.kind(member).predict(request.expected_tokens);
        self.typical.observe(predicted);
        let seconds = self.service_seconds(&request, predicted);
        let scale = self.scale(&request);
        let chain = &request.chain;
        self.heat
            .add(now, &chain.levels()[chain.base()..], seconds, scale);
        self.timers.push(request.deadline, Due::Deadline(id));
        self.sequence += 1;
        let flight = Flight {
            member,
            submitted: now,
            sequence: self.sequence,
            predicted,
            long: self.typical.is_long(predicted),
            charged: 0.0,
            phase: Phase::Backoff,
            attempts: smallvec::SmallVec::new(),
            used: 0,
            may_have_run: false,
            tokens: 0,
            next: Next::default(),
            avoid: smallvec::SmallVec::new(),
            hedged: false,
            request,
        };
        self.flights.insert(id, flight);
        self.route(now, id, actions);
    }

    /// Sends a request to its best server, or lets it wait there, or refuses it.
    pub(crate) fn route(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) {
        let Some(choice) = self.choose(now, id) else {
            self.refuse(now, id, Refusal::NoServer, actions);
            return;
        };
        let flight = &self.flights[&id];
        let class = queue::class(flight.request.urgency);
        let shape = self.shape(now, class, flight.long);
        let backend = &self.backends[choice.server as usize];
        let first_in_line = backend.queue.ahead_of(self.counted_class(class)) == 0;
        if first_in_line && backend.admits(now, shape, choice.missed, &self.settings) {
            self.dispatch(now, id, choice, false, actions);
        } else if self.too_late(now, flight, choice) {
            self.refuse(now, id, Refusal::Overload, actions);
        } else {
            self.enqueue(now, id, choice, actions);
        }
    }

    /// Lets waiting requests into a server's window while it has room.
    pub(crate) fn pump(&mut self, now: Moment, server: ServerId, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_waiting(now, server) {
            let choice = self.choice_of(now, id, server);
            self.dispatch(now, id, choice, false, actions);
        }
    }

    /// Takes a waiting request out of its queue.
    pub(crate) fn unqueue(&mut self, id: RequestId, server: ServerId) {
        let removed = self.backends[server as usize].queue.remove(id);
        if removed.is_some() {
            self.queued -= 1;
            self.forget_if_empty(server);
        }
    }

    /// Places the requests that wait for a server again.
    pub(crate) fn replace_queue(
        &mut self,
        now: Moment,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let entries = self.backends[server as usize].queue.drain();
        self.place_again(now, server, entries, actions);
    }

    /// Places the urgent requests that wait for a server that is late again.
    pub(crate) fn replace_urgent(
        &mut self,
        now: Moment,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let entries = self.backends[server as usize].queue.drain_urgent();
        self.place_again(now, server, entries, actions);
    }

    fn place_again(
        &mut self,
        now: Moment,
        server: ServerId,
        mut entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        self.queued -= entries.len();
        self.forget_if_empty(server);
        entries.sort_by_key(|entry| entry.sequence);
        for entry in &entries {
            self.set_phase(entry.request, Phase::Backoff);
        }
        for entry in entries {
            self.route(now, entry.request, actions);
        }
    }

    /// Refuses what can no longer meet its deadline, and fills windows that opened without an event.
    pub(crate) fn review_queues(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.queued == 0 {
            return;
        }
        for server in self.waiting.clone() {
            self.refuse_late(now, server, actions);
            let backend = &self.backends[server as usize];
            let held_back = backend.health.state() != State::Open;
            if held_back && backend.queue.len() <= REPLACED_REQUESTS {
                self.replace_queue(now, server, actions);
            } else if held_back || backend.overdue > 0 {
                self.replace_urgent(now, server, actions);
            }
        }
        for server in self.waiting.clone() {
            self.pump(now, server, actions);
        }
        let total = self.backends.len();
        for _ in 0..REVIEWED_SERVERS.min(total) {
            if self.queued == 0 {
                return;
            }
            self.reviewed = (self.reviewed + 1) % total;
            let server = ServerId::try_from(self.reviewed).unwrap_or(ServerId::MAX);
            self.pump(now, server, actions);
        }
    }

    fn choose(&mut self, now: Moment, id: RequestId) -> Option<Choice> {
        let mut scratch = std::mem::take(&mut self.scratch);
        let flight = &self.flights[&id];
        let shape = self.shape(now, queue::class(flight.request.urgency), flight.long);
        let query = self.query(now, &flight.request, shape, &flight.avoid);
        let view = self.view();
        let probed = if self.on_probation > 0 {
            view.probe(&query)
        } else {
            None
        };
        let choice = if let Some(server) = probed {
            Some(view.evaluate(&query, server))
        } else if self.settings.strategy == Strategy::Jaystand {
            view.place(&query, &mut scratch)
        } else {
            view.place_baseline(&query, flight.sequence, &mut scratch)
        };
        self.scratch = scratch;
        choice
    }

    /// The terms of sending a request to a given server.
    pub(crate) fn choice_of(&self, now: Moment, id: RequestId, server: ServerId) -> Choice {
        let flight = &self.flights[&id];
        let shape = self.shape(now, queue::class(flight.request.urgency), flight.long);
        let query = self.query(now, &flight.request, shape, &flight.avoid);
        self.view().evaluate(&query, server)
    }

    fn enqueue(&mut self, now: Moment, id: RequestId, choice: Choice, actions: &mut Vec<Action>) {
        let server = choice.server;
        if self.queued >= self.settings.max_queued && !self.make_room(now, id, actions) {
            self.refuse(now, id, Refusal::QueueFull, actions);
            return;
        }
        let flight = &self.flights[&id];
        let entry = Entry {
            request: id,
            class: queue::class(flight.request.urgency),
            long: flight.long,
            team: flight.member.team,
            since: flight.submitted,
            missed: choice.missed,
            sequence: flight.sequence,
        };
        let backend = &mut self.backends[server as usize];
        if backend.queue.is_empty() {
            self.waiting.push(server);
        }
        backend.queue.push(entry);
        self.rank(now, server);
        self.queued += 1;
        self.set_phase(id, Phase::Queued(server));
    }

    /// Refuses the latest waiting request of the lowest urgency, if it is below that of the given one.
    fn make_room(&mut self, now: Moment, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if self.settings.strategy != Strategy::Jaystand {
            return false;
        }
        let class = queue::class(self.flights[&id].request.urgency);
        let queues = self
            .waiting
            .iter()
            .map(|s| &self.backends[*s as usize].queue);
        let least = queues
            .flat_map(queue::Queue::entries)
            .filter(|entry| entry.class > class)
            .max_by_key(|entry| (entry.class, entry.sequence));
        let Some(victim) = least.map(|entry| entry.request) else {
            return false;
        };
        self.refuse(now, victim, Refusal::QueueFull, actions);
        true
    }

    /// The next request for a server's window: one that waits for it, else one that waits longer elsewhere.
    fn next_waiting(&mut self, now: Moment, server: ServerId) -> Option<RequestId> {
        if self.queued == 0 || !self.backends[server as usize].eligible() {
            return None;
        }
        let entry = self.pop_own(now, server);
        if let Some(entry) = entry {
            self.queued -= 1;
            self.forget_if_empty(server);
            return Some(entry.request);
        }
        let (id, from) = self.find_elsewhere(now, server)?;
        self.unqueue(id, from);
        Some(id)
    }

    fn pop_own(&mut self, now: Moment, server: ServerId) -> Option<Entry> {
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
                let shape = self.shape(now, entry.class, entry.long);
                backend.admits(now, shape, entry.missed, &self.settings)
            },
        );
        self.backends[server as usize].queue = queue;
        popped
    }

    /// A request in another server's queue that gains by coming here.
    fn find_elsewhere(&self, now: Moment, server: ServerId) -> Option<(RequestId, ServerId)> {
        if self.settings.strategy != Strategy::Jaystand {
            return None;
        }
        let backend = &self.backends[server as usize];
        if !backend.queue.is_empty()
            && !backend.admits(now, self.shape(now, 0, false), 0.0, &self.settings)
        {
            return None;
        }
        let mut best: Option<(usize, u64, RequestId, ServerId)> = None;
        for &from in self
            .waiting
            .iter()
            .filter(|from| **from != server)
            .take(STEAL_QUEUES)
        {
            for entry in self.backends[from as usize]
                .queue
                .entries()
                .iter()
                .take(STEAL_ENTRIES)
            {
                let key = (entry.aged_class(now, &self.settings), entry.sequence);
                if best.is_some_and(|(class, sequence, _, _)| (class, sequence) <= key) {
                    continue;
                }
                if self.gains(now, entry, from, server) {
                    best = Some((key.0, key.1, entry.request, from));
                }
            }
        }
        best.map(|(_, _, id, from)| (id, from))
    }

    fn gains(&self, now: Moment, entry: &Entry, from: ServerId, to: ServerId) -> bool {
        let shape = self.shape(now, entry.class, entry.long);
        if !self.backends[to as usize].admits(now, shape, 0.0, &self.settings) {
            return false;
        }
        let flight = &self.flights[&entry.request];
        if !flight.request.servers.contains(&to) || flight.avoid.contains(&to) {
            return false;
        }
        let there = self.choice_of(now, entry.request, to);
        if !self.backends[to as usize].admits(now, shape, there.missed, &self.settings) {
            return false;
        }
        let here = self.choice_of(now, entry.request, from);
        there.expected * STEAL_GAIN < here.expected
    }

    fn refuse_late(&mut self, now: Moment, server: ServerId, actions: &mut Vec<Action>) {
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
        let turn = backend.latency.service() / backend.window.size();
        let mut wait = 0.0;
        let mut late = Vec::new();
        for (_, _, id) in order {
            let choice = Choice {
                wait: wait + turn,
                ..self.choice_of(now, id, server)
            };
            if self.too_late(now, &self.flights[&id], choice) {
                late.push(id);
            } else {
                wait += turn;
            }
        }
        for id in late {
            self.refuse(now, id, Refusal::Overload, actions);
        }
    }

    /// Whether a request that has not run cannot end in time after that wait.
    fn too_late(&self, now: Moment, flight: &Flight, choice: Choice) -> bool {
        if self.settings.strategy != Strategy::Jaystand || flight.may_have_run {
            return false;
        }
        let backend = &self.backends[choice.server as usize];
        let answer = backend.latency.first_token(choice.missed)
            + flight.predicted * backend.latency.token() * ANSWER_PART;
        now + figure::duration(choice.wait + answer) > flight.request.deadline
    }

    fn forget_if_empty(&mut self, server: ServerId) {
        if self.backends[server as usize].queue.is_empty() {
            self.waiting.retain(|waiting| *waiting != server);
        }
    }

    fn set_phase(&mut self, id: RequestId, phase: Phase) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.phase = phase;
        }
    }

    /// The class whose queue a request of this class stands behind.
    fn counted_class(&self, class: usize) -> usize {
        if self.settings.strategy == Strategy::Jaystand {
            class
        } else {
            queue::CLASSES - 1
        }
    }
}

/// The action that gives a request up.
pub(crate) fn refusal(
    request: RequestId,
    reason: Refusal,
    seconds: f64,
    outcome: Outcome,
) -> Action {
    Action::Refuse {
        request,
        reason,
        retry_after: Typical::come_back(seconds),
        outcome,
    }
}
