//! The router: takes events in and gives actions out.

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

/// Period of the work that no event triggers: peers' speeds, waiting requests, servers to probe.
const HOUSEKEEPING: std::time::Duration = std::time::Duration::from_millis(100);
/// Room for urgent work is kept this long after the latest urgent request.
const URGENT_RESERVE_PERIOD: std::time::Duration = std::time::Duration::from_secs(60);
/// Retries allowed before any request has earned one: a crash fails all attempts on a server at once.
const RETRY_BURST: f64 = 32.0;
/// Hedges allowed at once; more would be load that the servers did not have before they slowed down.
const HEDGE_BURST: f64 = 6.0;
/// Part of a hot prefix that the members of its group are presumed to hold, before it is measured.
const INITIAL_GROUP_CACHED_SHARE: f64 = 0.95;
/// Part of the rest of a prompt that the first member is presumed to hold, before it is measured.
const INITIAL_FIRST_MEMBER_CACHED_SHARE: f64 = 0.6;
const CACHED_SHARE_GAIN: f64 = 0.02;
/// Part of the way back that both presumptions drift in each housekeeping. Presumed too low, members are not
/// chosen, and nothing would correct them.
const CACHED_SHARE_DRIFT: f64 = 0.05;

/// The request decisions of one daemon.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg64Mcg,
    pub(crate) backends: Vec<Backend>,
    /// One for each server, kept in step with it.
    pub(crate) summaries: Vec<ServerSummary>,
    pub(crate) cut_off: Vec<DataCentre>,
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
    pub(crate) queued: usize,
    /// Servers with waiting requests.
    pub(crate) queued_servers: Vec<ServerId>,
    /// Servers that wait for a probe, at the latest comparison.
    pub(crate) on_probation: usize,
    pub(crate) sequence: u64,
    /// The server that was offered waiting work last.
    pub(crate) last_reviewed: usize,
    pub(crate) last_urgent: Option<Moment>,
    pub(crate) scratch: Scratch,
    last_housekeeping: Moment,
}

impl Router {
    /// A router without servers. Equal settings, seeds and events give equal actions.
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

    /// The candidates for a request with each term of their scores, best first.
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

    /// When the router must be called next, with `Event::Tick` if nothing else happened.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        let housekeeping =
            (!self.active_requests.is_empty()).then(|| self.last_housekeeping + HOUSEKEEPING);
        match (self.timers.next(), housekeeping) {
            (Some(timer), Some(housekeeping)) => Some(timer.min(housekeeping)),
            (timer, housekeeping) => timer.or(housekeeping),
        }
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.active_requests.len()
    }

    /// Attempts in flight on a server.
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
                    self.on_first_token_late(now, request, attempt, actions)
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

    /// Seconds that a request keeps a slot, for the heat of its prefix.
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
