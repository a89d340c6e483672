//! The router: turns events into actions.

use hashbrown::HashMap;
use jaystand_types::{DataCentre, Moment, RequestId, ServerId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Action, Event, Fleet, Request,
    active::ActiveRequest,
    backend::{AdmissionProfile, Backend},
    budget::Budget,
    candidates::{Scratch, ServerSummary},
    estimate::Estimate,
    heat::{Heat, Scale},
    latency::LateMargin,
    numeric,
    observation::Observations,
    placement::{Query, View},
    queue,
    teams::{AnswerLengths, Teams},
    timer::{Due, Timers},
};
pub use crate::{
    placement::{Candidate, Source},
    settings::{Settings, Strategy},
};

/// Period of the work that no event triggers: comparing peers, reviewing queues, probing servers.
const HOUSEKEEPING: std::time::Duration = std::time::Duration::from_millis(100);
/// Window space stays reserved for urgent requests this long after the last one.
const URGENT_RESERVE_PERIOD: std::time::Duration = std::time::Duration::from_secs(60);
/// Capacity of the retry budget. A crash fails all attempts on a server at once, so retries come in bursts.
const RETRY_BURST: f64 = 32.0;
/// Capacity of the hedge budget. Servers are already slow when hedges start; more hedges would add to their load.
const HEDGE_BURST: f64 = 6.0;
/// Share of a hot prefix that a member of its group is assumed to have cached before the first sample.
const INITIAL_GROUP_CACHED_SHARE: f64 = 0.95;
/// Share of the prompt after the hot prefix that the first member is assumed to have cached before the first sample.
const INITIAL_FIRST_MEMBER_CACHED_SHARE: f64 = 0.6;
const CACHED_SHARE_GAIN: f64 = 0.02;
/// Share of the distance to the initial values that both estimates move back in each housekeeping. With an estimate
/// that is too low, members are not chosen, so no sample would correct it.
const CACHED_SHARE_DRIFT: f64 = 0.05;

/// The request decisions of one daemon.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) backends: Vec<Backend>,
    /// Summary of each backend, updated whenever the backend changes.
    pub(crate) summaries: Vec<ServerSummary>,
    /// Data centres that cannot be reached.
    pub(crate) cut_off: Vec<DataCentre>,
    /// Live daemons, this one included.
    pub(crate) daemons: u32,
    pub(crate) teams: Teams,
    pub(crate) answer_lengths: AnswerLengths,
    pub(crate) active_requests: HashMap<RequestId, ActiveRequest>,
    pub(crate) timers: Timers,
    pub(crate) observations: Observations,
    pub(crate) heat: Heat,
    pub(crate) group_cached_share: Estimate,
    pub(crate) first_member_cached_share: Estimate,
    pub(crate) late_margin: LateMargin,
    pub(crate) retry_budget: Budget,
    pub(crate) hedge_budget: Budget,
    /// Requests that wait in the queues of all servers.
    pub(crate) queued: usize,
    /// Servers with waiting requests.
    pub(crate) queued_servers: Vec<ServerId>,
    /// Number of servers on probation at the last comparison of peers.
    pub(crate) on_probation: usize,
    /// Arrival number of the last request.
    pub(crate) sequence: u64,
    /// The server that the last queue review ended with.
    pub(crate) last_reviewed: usize,
    pub(crate) last_urgent: Option<Moment>,
    pub(crate) scratch: Scratch,
    last_housekeeping: Moment,
}

impl Router {
    /// Creates a router without servers. Equal settings, seeds and events give equal actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            backends: Vec::new(),
            summaries: Vec::new(),
            cut_off: Vec::new(),
            daemons: 1,
            teams: Teams::default(),
            answer_lengths: AnswerLengths::new(),
            active_requests: HashMap::new(),
            timers: Timers::default(),
            observations: Observations::new(),
            heat: Heat::new(),
            group_cached_share: Estimate::trusted(INITIAL_GROUP_CACHED_SHARE, CACHED_SHARE_GAIN),
            first_member_cached_share: Estimate::trusted(
                INITIAL_FIRST_MEMBER_CACHED_SHARE,
                CACHED_SHARE_GAIN,
            ),
            late_margin: LateMargin::new(),
            retry_budget: Budget::new(settings.retry_share, RETRY_BURST),
            hedge_budget: Budget::new(settings.hedge_share, HEDGE_BURST),
            queued: 0,
            queued_servers: Vec::new(),
            on_probation: 0,
            sequence: 0,
            last_reviewed: 0,
            last_urgent: None,
            scratch: Scratch::default(),
            last_housekeeping: Moment::ZERO,
            settings,
        }
    }

    /// Applies a new configuration. A server with the same name as before keeps its state. Waiting requests are routed
    /// again with the next event, and refused if no server is left for them.
    pub fn configure(&mut self, now: Moment, fleet: Fleet) {
        self.teams.configure(&fleet);
        self.adopt_servers(now, fleet.servers);
    }

    /// Handles an event and appends the resulting actions. Ignores events of unknown requests, ended attempts and
    /// unknown servers.
    pub fn handle(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(request) => self.submit(now, request, actions),
            Event::Accepted {
                request,
                attempt,
                cached_tokens,
                incarnation,
            } => self.on_accepted(now, request, attempt, cached_tokens, incarnation),
            Event::FirstToken { request, attempt } => {
                self.on_first_token(now, request, attempt, actions);
            }
            Event::Progress {
                request,
                attempt,
                tokens,
            } => self.on_progress(now, request, attempt, tokens, actions),
            Event::Finished {
                request,
                attempt,
                tokens,
            } => self.on_finished(now, request, attempt, tokens, actions),
            Event::Failed {
                request,
                attempt,
                failure,
            } => self.on_failed(now, request, attempt, failure, actions),
            Event::Cancel { request } => self.cancel(now, request, actions),
            Event::Load { server, report } => {
                if let Some(backend) = self.backends.get_mut(server as usize) {
                    backend.observe_report(now, report);
                    self.update_summary(now, server);
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

    /// Returns the candidates for a request with each term of their scores, best first.
    #[must_use]
    pub fn explain(&self, now: Moment, request: &Request) -> Vec<Candidate> {
        let kind_index = self.teams.find_kind(&request.team, &request.kind);
        let predicted_tokens = kind_index.map_or_else(
            || f64::from(request.expected_tokens),
            |kind_index| self.teams.kind(kind_index).predict(request.expected_tokens),
        );
        let profile = self.profile(
            now,
            queue::class(request.urgency),
            self.answer_lengths.is_long(predicted_tokens),
        );
        let query = self.query(now, request, profile, &[]);
        self.view().explain(&query)
    }

    /// Returns when the router must be called next, with `Event::Tick` if nothing else has happened by then.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        let housekeeping =
            (!self.active_requests.is_empty()).then(|| self.last_housekeeping + HOUSEKEEPING);
        match (self.timers.next(), housekeeping) {
            (Some(timer), Some(housekeeping)) => Some(timer.min(housekeeping)),
            (timer, housekeeping) => timer.or(housekeeping),
        }
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.active_requests.len()
    }

    /// Returns the number of attempts in flight on a server.
    #[must_use]
    pub fn in_flight(&self, server: ServerId) -> u32 {
        let backend = self.backends.get(server as usize);
        backend.map_or(0, |backend| backend.in_flight)
    }

    pub(crate) fn profile(&self, now: Moment, class: usize, is_long: bool) -> AdmissionProfile {
        let reserve_urgent = self
            .last_urgent
            .is_some_and(|latest| now <= latest + URGENT_RESERVE_PERIOD);
        AdmissionProfile {
            class,
            is_long,
            reserve_urgent,
        }
    }

    pub(crate) fn view(&self) -> View<'_> {
        View {
            settings: &self.settings,
            backends: &self.backends,
            summaries: &self.summaries,
            observations: &self.observations,
            heat: &self.heat,
        }
    }

    pub(crate) fn query<'a>(
        &self,
        now: Moment,
        request: &'a Request,
        profile: AdmissionProfile,
        avoid: &'a [ServerId],
    ) -> Query<'a> {
        Query {
            now,
            request,
            profile,
            avoid,
            scale: self.scale(request),
            group_cached_share: self.group_cached_share.mean(),
            first_member_cached_share: self.first_member_cached_share.mean(),
            late_margin: self.late_margin.seconds(),
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
                Due::Deadline(request) => self.on_deadline_passed(now, request, actions),
                Due::Retry(request) => self.retry(now, request, actions),
                Due::FirstTokenLate(request, attempt) => {
                    self.on_first_token_late(now, request, attempt, actions);
                }
            }
        }
        if now >= self.last_housekeeping + HOUSEKEEPING {
            self.last_housekeeping = now;
            self.compare_peers(now);
            self.group_cached_share
                .move_towards(INITIAL_GROUP_CACHED_SHARE, CACHED_SHARE_DRIFT);
            self.first_member_cached_share
                .move_towards(INITIAL_FIRST_MEMBER_CACHED_SHARE, CACHED_SHARE_DRIFT);
            self.review_queues(now, actions);
            let active_requests = &self.active_requests;
            let is_live = |request| active_requests.contains_key(&request);
            self.timers.clean(active_requests.len(), is_live);
        }
    }

    /// Returns the seconds that a request is expected to occupy a slot, which count towards the heat of its prefix.
    pub(crate) fn service_seconds(&self, request: &Request, predicted_tokens: f64) -> f64 {
        let first = request.servers.first();
        let backend = first.and_then(|server| self.backends.get(*server as usize));
        backend.map_or(1.0, |backend| {
            let missed_tokens =
                f64::from(request.prompt_tokens) * (1.0 - numeric::PRESUMED_CACHED_SHARE);
            backend.latency.first_token(missed_tokens)
                + predicted_tokens * backend.latency.token_interval()
        })
    }
}
