//! The router: takes events in and gives actions out.

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment, RequestId, ServerId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Action, Event, Fleet, Request,
    backend::{Backend, Shape},
    budget::Budget,
    candidates::{Rank, Scratch},
    estimate::Estimate,
    figure,
    flight::Flight,
    heat::{Heat, Scale},
    latency::Lateness,
    observation::Observations,
    placement::{Query, View},
    queue,
    roster::{Roster, Typical},
    timer::{Due, Timers},
};
pub use crate::{
    placement::{Candidate, Source},
    settings::{Settings, Strategy},
};

/// Period of the work that no event triggers: peers' speeds, waiting requests, servers to probe.
const HOUSEKEEPING: std::time::Duration = std::time::Duration::from_millis(100);
/// Room for urgent work is kept this long after the latest urgent request.
const RESERVE: std::time::Duration = std::time::Duration::from_secs(60);
/// Retries allowed before any request has earned one: a crash fails all attempts on a server at once.
const RETRY_BURST: f64 = 32.0;
/// Hedges allowed at once; more would be load that the servers did not have before they slowed down.
const HEDGE_BURST: f64 = 6.0;
/// Part of a hot prefix that the members of its group are presumed to hold, before it is measured.
const INITIAL_GROUP_HELD: f64 = 0.95;
/// Part of the rest of a prompt that the first member is presumed to hold, before it is measured.
const INITIAL_HOME_HELD: f64 = 0.6;
const HELD_GAIN: f64 = 0.02;
/// Part of the way back that both presumptions drift in each housekeeping. Presumed too low, members are not
/// chosen, and nothing would correct them.
const HELD_DRIFT: f64 = 0.05;

/// The request decisions of one daemon.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) backends: Vec<Backend>,
    /// One for each server, kept in step with it.
    pub(crate) ranks: Vec<Rank>,
    pub(crate) cut_off: Vec<DataCentre>,
    pub(crate) daemons: u32,
    pub(crate) teams: Roster,
    pub(crate) typical: Typical,
    pub(crate) flights: HashMap<RequestId, Flight>,
    pub(crate) timers: Timers,
    pub(crate) observations: Observations,
    pub(crate) heat: Heat,
    pub(crate) group_held: Estimate,
    pub(crate) home_held: Estimate,
    pub(crate) lateness: Lateness,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) queued: usize,
    /// Servers with waiting requests.
    pub(crate) waiting: Vec<ServerId>,
    /// Servers that wait for a probe, at the latest comparison.
    pub(crate) on_probation: usize,
    pub(crate) sequence: u64,
    /// The server that was offered waiting work last.
    pub(crate) reviewed: usize,
    pub(crate) latest_urgent: Option<Moment>,
    pub(crate) scratch: Scratch,
    kept: Moment,
}

impl Router {
    /// A router without servers. Equal settings, seeds and events give equal actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            backends: Vec::new(),
            ranks: Vec::new(),
            cut_off: Vec::new(),
            daemons: 1,
            teams: Roster::default(),
            typical: Typical::new(),
            flights: HashMap::new(),
            timers: Timers::default(),
            observations: Observations::new(),
            heat: Heat::new(),
            group_held: Estimate::trusted(INITIAL_GROUP_HELD, HELD_GAIN),
            home_held: Estimate::trusted(INITIAL_HOME_HELD, HELD_GAIN),
            lateness: Lateness::new(),
            retries: Budget::new(settings.retry_share, RETRY_BURST),
            hedges: Budget::new(settings.hedge_share, HEDGE_BURST),
            queued: 0,
            waiting: Vec::new(),
            on_probation: 0,
            sequence: 0,
            reviewed: 0,
            latest_urgent: None,
            scratch: Scratch::default(),
            kept: Moment::ZERO,
            settings,
        }
    }

    /// Adopts a new directory and new limits. Servers keep what is known of them by name; requests that wait
    /// are placed again, and those without any server left are refused with the next event.
    pub fn configure(&mut self, now: Moment, fleet: Fleet) {
        self.teams.configure(&fleet);
        self.adopt_servers(now, fleet.servers);
    }

    /// Takes an event in and appends the actions that follow. Events of unknown requests, ended attempts and
    /// unknown servers are ignored.
    pub fn handle(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(request) => self.submit(now, request, actions),
            Event::Accepted {
                request,
                attempt,
                cached_tokens,
                incarnation,
            } => self.accepted(now, request, attempt, cached_tokens, incarnation),
            Event::FirstToken { request, attempt } => {
                self.first_token(now, request, attempt, actions);
            }
            Event::Progress {
                request,
                attempt,
                tokens,
            } => self.progress(now, request, attempt, tokens, actions),
            Event::Finished {
                request,
                attempt,
                tokens,
            } => self.finished(now, request, attempt, tokens, actions),
            Event::Failed {
                request,
                attempt,
                failure,
            } => self.failed(now, request, attempt, failure, actions),
            Event::Cancel { request } => self.cancel(now, request, actions),
            Event::Load { server, report } => {
                if let Some(backend) = self.backends.get_mut(server as usize) {
                    backend.observe_report(now, report);
                    self.rank(now, server);
                }
            }
            Event::Leaving { server } => self.set_leaving(now, server, true, actions),
            Event::Returned { server } => self.set_leaving(now, server, false, actions),
            Event::Reachable {
                data_centre,
                reachable,
            } => self.set_reachable(now, data_centre, reachable, actions),
            Event::Daemons { live } => self.daemons = live.max(1),
            Event::Tick => {}
        }
        self.run_timers(now, actions);
    }

    /// The candidates for a request with each term of their scores, best first.
    #[must_use]
    pub fn explain(&self, now: Moment, request: &Request) -> Vec<Candidate> {
        let member = self.teams.find(&request.team, &request.kind);
        let predicted = member.map_or_else(
            || f64::from(request.expected_tokens),
            |member| self.teams.kind(member).predict(request.expected_tokens),
        );
        let shape = self.shape(
            now,
            queue::class(request.urgency),
            self.typical.is_long(predicted),
        );
        let query = self.query(now, request, shape, &[]);
        self.view().explain(&query)
    }

    /// When the router must be called next, with `Event::Tick` if nothing else happened.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        let housekeeping = (!self.flights.is_empty()).then(|| self.kept + HOUSEKEEPING);
        match (self.timers.next(), housekeeping) {
            (Some(timer), Some(housekeeping)) => Some(timer.min(housekeeping)),
            (timer, housekeeping) => timer.or(housekeeping),
        }
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.flights.len()
    }

    /// Attempts in flight on a server.
    #[must_use]
    pub fn in_flight(&self, server: ServerId) -> u32 {
        let backend = self.backends.get(server as usize);
        backend.map_or(0, |backend| backend.in_flight)
    }

    pub(crate) fn shape(&self, now: Moment, class: usize, long: bool) -> Shape {
        let reserve = self
            .latest_urgent
            .is_some_and(|latest| now <= latest + RESERVE);
        Shape {
            class,
            long,
            reserve,
        }
    }

    pub(crate) fn view(&self) -> View<'_> {
        View {
            settings: &self.settings,
            backends: &self.backends,
            ranks: &self.ranks,
            observations: &self.observations,
            heat: &self.heat,
        }
    }

    pub(crate) fn query<'a>(
        &self,
        now: Moment,
        request: &'a Request,
        shape: Shape,
        avoid: &'a [ServerId],
    ) -> Query<'a> {
        Query {
            now,
            request,
            shape,
            avoid,
            scale: self.scale(request),
            group_held: self.group_held.mean(),
            home_held: self.home_held.mean(),
            margin: self.lateness.margin(),
        }
    }

    pub(crate) fn scale(&self, request: &Request) -> Scale {
        let first = request.servers.first();
        let backend = first.and_then(|server| self.backends.get(*server as usize));
        Scale {
            daemons: f64::from(self.daemons),
            slots: backend.map_or(1.0, |backend| f64::from(backend.spec.slots.max(1))),
        }
    }

    fn run_timers(&mut self, now: Moment, actions: &mut Vec<Action>) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Deadline(request) => self.deadline_passed(now, request, actions),
                Due::Retry(request) => self.retry(now, request, actions),
                Due::Late(request, attempt) => self.late(now, request, attempt, actions),
            }
        }
        if now >= self.kept + HOUSEKEEPING {
            self.kept = now;
            self.compare_peers(now);
            self.group_held.move_towards(INITIAL_GROUP_HELD, HELD_DRIFT);
            self.home_held.move_towards(INITIAL_HOME_HELD, HELD_DRIFT);
            self.review_queues(now, actions);
            let flights = &self.flights;
            let is_live = |request| flights.contains_key(&request);
            self.timers.clean(flights.len(), is_live);
        }
    }

    /// Seconds that a request keeps a slot, for the heat of its prefix.
    pub(crate) fn service_seconds(&self, request: &Request, predicted: f64) -> f64 {
        let first = request.servers.first();
        let backend = first.and_then(|server| self.backends.get(*server as usize));
        backend.map_or(1.0, |backend| {
            let missed = f64::from(request.prompt_tokens) * (1.0 - figure::HELD_PRESUMED);
            backend.latency.first_token(missed) + predicted * backend.latency.token()
        })
    }
}
