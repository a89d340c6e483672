//! Requests that wait at this host until a server has capacity, and what responses say of the servers' capacity.
//!
//! Capacity becomes free when a request of this host ends, or by a report of another host. One waiting request at a time
//! has the turn: it looks for a server, and passes the turn on. If its caller disconnects, its place is dropped.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use hashbrown::HashMap;
use http::StatusCode;
use jaystand_dispatch::{
    ServerKey, ServiceName,
    admission::{self, Reason},
    capacity::Bounds,
    limit,
    placement::{View, idle_time},
    queue::{self, Id, NoRoom, Queue, Shortage},
};
use jaystand_types::{DataCentre, Moment, TeamId};
use prometheus::{HistogramOpts, HistogramVec, IntGaugeVec, Opts, Registry};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};

use crate::{
    call::{Call, Chosen, Failure},
    hub::{Hub, State, whole_ms},
    metrics::LATENCY_BUCKETS,
};

/// Maximum number of requests that wait for one service. Each holds its caller's connection of some 30 kB, so that they
/// hold 8 MB of the 120 MB of the smallest hosts.
const MAX_WAITING: usize = 256;
/// The bodies of requests that wait for one service may take the memory for bodies divided by this, so that most of it
/// is left to requests that are served.
const BODY_MEMORY_DIVISOR: usize = 4;
/// How often waiting requests are checked, since reports of other hosts arrive and deadlines come closer.
const PERIOD: Duration = Duration::from_millis(20);
/// Minimum time between two checks. Without it, each response would cause one under overload, when the processor is
/// needed most.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// How often requests that would not be served in time are refused. The check sorts all that wait.
const SHED_PERIOD: Duration = Duration::from_millis(50);
/// How often the metrics of capacity are updated and changes of the shortage are logged.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);
/// Number of requests that look for a server in one round without finding one. The first ones may be limited to servers
/// that are full, while the next one is not.
const MAX_FULL: usize = 4;

/// The requests that wait, by service.
pub(crate) struct Waiting {
    services: RefCell<HashMap<ServiceName, Service>>,
    /// Number of requests that wait for any service.
    count: Cell<usize>,
    /// Wakes the task that checks them.
    changed: Notify,
    bounds: queue::Bounds,
}

struct Service {
    queue: Queue,
    waiters: HashMap<Id, oneshot::Sender<Verdict>>,
    /// The request that looks for a server now.
    turn: Option<Id>,
    /// Requests that have found none in this round.
    full: usize,
}

/// What becomes of a waiting request.
enum Verdict {
    /// It may look for a server.
    Turn,
    /// It would not be served in time.
    Shed,
    /// The process stops.
    Stopping,
}

/// The place of a waiting request, which is given up on drop.
struct Place {
    hub: Rc<Hub>,
    service: ServiceName,
    id: Id,
    verdict: oneshot::Receiver<Verdict>,
    joined: Moment,
    /// How the wait ended, for the metrics.
    result: &'static str,
}

/// The metrics of waiting requests and of capacity.
pub(crate) struct Metrics {
    /// Requests that wait until a server has capacity, by service.
    waiting: IntGaugeVec,
    /// Seconds that requests waited, by service and result.
    wait: HistogramVec,
    /// Requests that the servers take, by service.
    capacity: IntGaugeVec,
    /// Requests that were sent and have not ended, by service.
    in_flight: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["service"])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let options = HistogramOpts::new(
            "jaystand_wait_seconds",
            "Time that requests waited until a server had capacity, by result.",
        );
        let options = options.buckets(LATENCY_BUCKETS.to_vec());
        let wait = HistogramVec::new(options, &["service", "result"])?;
        registry.register(Box::new(wait.clone()))?;
        Ok(Self {
            waiting: gauges(
                "jaystand_waiting_requests",
                "Requests that wait until a server has capacity.",
            )?,
            wait,
            capacity: gauges(
                "jaystand_capacity_requests",
                "Requests that the servers take, as learned.",
            )?,
            in_flight: gauges(
                "jaystand_in_flight_requests",
                "Requests at the servers: of all hosts for engines, of this host for plain services.",
            )?,
        })
    }
}

impl Waiting {
    /// Creates the state without requests. `body_bytes` is the memory for all bodies.
    pub(crate) fn new(body_bytes: usize) -> Self {
        Self {
            services: RefCell::default(),
            count: Cell::new(0),
            changed: Notify::new(),
            bounds: queue::Bounds {
                requests: MAX_WAITING,
                bytes: body_bytes / BODY_MEMORY_DIVISOR,
            },
        }
    }

    /// Checks the waiting requests soon, because capacity may have become free.
    pub(crate) fn wake(&self) {
        if self.count.get() > 0 {
            self.changed.notify_one();
        }
    }

    /// Calls a function with a service's queue, which is created if there is none.
    fn with<T>(&self, name: &ServiceName, call: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let service = services.entry_ref(name).or_insert_with(|| Service {
            queue: Queue::new(self.bounds),
            waiters: HashMap::new(),
            turn: None,
            full: 0,
        });
        let result = call(service);
        let count = services.values().map(|service| service.queue.len()).sum();
        self.count.set(count);
        result
    }
}

impl Service {
    /// Gives the turn to the first request in the order that has not had it in this round.
    fn pass_turn(&mut self, hub: &Hub) {
        if self.turn.is_some() || self.full >= MAX_FULL {
            return;
        }
        let first = self.queue.first(hub.now(), self.full + 1);
        let Some(id) = first.get(self.full).copied() else {
            return;
        };
        if let Some(waiter) = self.waiters.get_mut(&id) {
            let (sender, _) = oneshot::channel();
            // The sender is replaced when the request waits on.
            if std::mem::replace(waiter, sender)
                .send(Verdict::Turn)
                .is_ok()
            {
                self.turn = Some(id);
            }
        }
    }

    fn dismiss(&mut self, id: Id, verdict: Verdict) {
        self.queue.leave(id);
        if let Some(waiter) = self.waiters.remove(&id) {
            // The receiver is gone only if the caller is, too.
            let _ = waiter.send(verdict);
        }
    }
}

impl Place {
    /// Records that the request has found no server, and lets the next one look for one.
    fn wait_on(&mut self) {
        let (sender, receiver) = oneshot::channel();
        self.verdict = receiver;
        let (hub, id) = (Rc::clone(&self.hub), self.id);
        hub.waiting.with(&self.service, |service| {
            service.queue.record_full(hub.now());
            // Without a sender the wait ends. The request was shed while it had the turn.
            if service.queue.contains(id) {
                service.waiters.insert(id, sender);
            }
            if service.turn.take_if(|turn| *turn == id).is_some() {
                service.full += 1;
                service.pass_turn(&hub);
            }
        });
    }

    /// Records that the request has found a server.
    fn finish(mut self) {
        self.result = "placed";
        self.hub.waiting.with(&self.service, |service| {
            service.queue.record_placed(self.hub.now(), self.id);
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let (hub, id) = (Rc::clone(&self.hub), self.id);
        let waited = hub.now().saturating_sub(self.joined);
        let labels = [self.service.as_str(), self.result];
        let histogram = hub.metrics.waiting.wait.with_label_values(&labels);
        histogram.observe(waited.as_secs_f64());
        hub.waiting.with(&self.service, |service| {
            service.queue.leave(id);
            service.waiters.remove(&id);
            if service.turn.take_if(|turn| *turn == id).is_some() {
                service.pass_turn(&hub);
            }
        });
    }
}

impl Call {
    /// Chooses a server with capacity for the next attempt, and waits for one if all are full. Resumed streams do not
    /// wait: their callers count each pause.
    pub(crate) async fn choose_with_room(&mut self) -> Result<Chosen, Failure> {
        if self.purpose() == limit::Call::Resume {
            return self.choose_server(None);
        }
        let hub = Rc::clone(&self.hub);
        let (rank, team) = (self.rank(), self.team_id());
        let mut place: Option<Place> = None;
        let started = hub.now();
        loop {
            let (may_try, reserve) = {
                let now = hub.now();
                let request = self.queue_request();
                hub.waiting.with(&self.service, |service| {
                    let first = place.is_some() || service.queue.is_first(now, &request);
                    (first, service.queue.reserve(now, rank, &team))
                })
            };
            if may_try {
                match self.choose_server(Some(reserve)) {
                    Err(Failure {
                        reason: Reason::NoRoom(_),
                    }) => {}
                    result => {
                        match place {
                            Some(place) if result.is_ok() => place.finish(),
                            Some(mut place) => place.result = "refused",
                            None => {}
                        }
                        return result;
                    }
                }
            }
            let place = match &mut place {
                Some(place) => {
                    place.wait_on();
                    place
                }
                None => place.insert(self.join_queue()?),
            };
            let verdict = timeout(self.time_left(), &mut place.verdict).await;
            let reason = match verdict {
                Ok(Ok(Verdict::Turn)) => continue,
                Ok(Ok(Verdict::Shed) | Err(_)) => {
                    let left = self.time_left();
                    let NoRoom(wait) = hub.waiting.with(&self.service, |service| {
                        service.queue.refuse(hub.now(), left)
                    });
                    Reason::NoRoom(wait)
                }
                Ok(Ok(Verdict::Stopping)) => Reason::Stopping,
                Err(_) => Reason::Deadline,
            };
            place.result = "refused";
            log::info!(request = self.id.as_str(), service = self.service.as_str(), rank,
                waited_ms = whole_ms(hub.now().saturating_sub(started)), reason = reason.as_str();
                "no server has capacity in time");
            return Err(Failure { reason });
        }
    }

    /// Records that the request arrived.
    pub(crate) fn record_offered(&self) {
        let (now, rank, team) = (self.hub.now(), self.rank(), self.team_id());
        self.hub.waiting.with(&self.service, |service| {
            service.queue.record_offered(now, rank, &team);
        });
    }

    /// Records that the request is sent to a server.
    pub(crate) fn record_sent(&self) {
        let (now, rank, team) = (self.hub.now(), self.rank(), self.team_id());
        let work = self.prompt.as_ref().map_or(1, |prompt| prompt.input_tokens);
        self.hub.waiting.with(&self.service, |service| {
            let queue = &mut service.queue;
            queue.record_sent(now, rank, &team, work, self.was_sent());
        });
    }

    /// Records that a server refused the request. A 421 says nothing of its load.
    pub(crate) fn record_refusal(&self, server: ServerKey, status: StatusCode) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let now = self.hub.now();
        let settings = self.hub.settings.borrow();
        let mut state = self.hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            let key = server.key;
            server.capacity.record_refusal(now, key);
        }
        let config = state.config.as_ref();
        let engine = config.and_then(|config| config.service(&self.service)?.engine.as_ref());
        let has_room = view(&state, &settings.data_centre).has_any_room(now, &self.service, engine);
        self.hub.waiting.with(&self.service, |service| {
            service.queue.record_refused(now, !has_room);
        });
    }

    /// Records the time to an answer, or to its first event.
    pub(crate) fn record_response(&self, server: ServerKey, took: Duration, expected: Duration) {
        let now = self.hub.now();
        let settings = self.hub.settings.borrow();
        let mut state = self.hub.state.borrow_mut();
        let fill = {
            let config = state.config.as_ref();
            let engine = config.and_then(|config| config.service(&self.service)?.engine.as_ref());
            let view = view(&state, &settings.data_centre);
            let server = state.directory.get(server);
            server.map_or(0.0, |server| view.fill(now, server, engine))
        };
        if let Some(server) = state.directory.get_mut(server) {
            server.capacity.record_response(now, took, expected, fill);
        }
    }

    /// Returns the time after which the caller of a request that has not run should retry. While capacity is short, the
    /// callers whose requests servers have refused return at the pace of the others.
    pub(crate) fn retry_after(&self, reason: Reason) -> Duration {
        let left = self.time_left();
        let usual = admission::retry_after(reason, self.expected, left);
        if !matches!(reason, Reason::Attempts | Reason::Overload) {
            return usual;
        }
        let now = self.hub.now();
        self.hub.waiting.with(&self.service, |service| {
            if service.queue.is_short() {
                let NoRoom(wait) = service.queue.refuse(now, left);
                wait.max(usual)
            } else {
                usual
            }
        })
    }

    /// Joins the waiting requests.
    fn join_queue(&self) -> Result<Place, Failure> {
        let hub = &self.hub;
        if hub.is_stopping() {
            return Err(Failure {
                reason: Reason::Stopping,
            });
        }
        let (sender, verdict) = oneshot::channel();
        let request = self.queue_request();
        let joined = hub.waiting.with(&self.service, |service| {
            let (id, last) = service.queue.join(hub.now(), request)?;
            service.waiters.insert(id, sender);
            if let Some(last) = last {
                service.dismiss(last, Verdict::Shed);
            }
            Ok(id)
        });
        let id = joined.map_err(|NoRoom(wait)| Failure {
            reason: Reason::NoRoom(wait),
        })?;
        hub.waiting.wake();
        Ok(Place {
            hub: Rc::clone(hub),
            service: self.service.clone(),
            id,
            verdict,
            joined: hub.now(),
            result: "gone",
        })
    }

    fn queue_request(&self) -> queue::Request {
        queue::Request {
            rank: self.rank(),
            team: self.team_id(),
            retry: self.was_sent(),
            bytes: self.body.len(),
            deadline: self.hub.now() + self.time_left(),
            objective: self.arrived + self.route.objective.unwrap_or(Duration::MAX / 2),
            needs: idle_time(self.prompt.as_ref()),
        }
    }

    fn team_id(&self) -> TeamId {
        let team = self.team.as_ref();
        team.map_or_else(TeamId::default, |team| team.name.clone())
    }
}

/// Lets waiting requests look for servers for as long as the process runs.
pub(crate) async fn run(hub: Rc<Hub>) {
    let (mut updated, mut shed) = (hub.now(), hub.now());
    loop {
        // Without waiting requests, only the metrics need the task.
        let period = if hub.waiting.count.get() > 0 {
            PERIOD
        } else {
            UPDATE_PERIOD
        };
        // A timeout is not an error: it is the period.
        let _ = timeout(period, hub.waiting.changed.notified()).await;
        let sheds = hub.now().saturating_sub(shed) >= SHED_PERIOD;
        if sheds {
            shed = hub.now();
        }
        check(&hub, sheds);
        if hub.now().saturating_sub(updated) >= UPDATE_PERIOD {
            updated = hub.now();
            update(&hub);
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Begins a round of turns for each service that has a server with capacity. With `sheds` it refuses the requests that
/// would not be served in time.
fn check(hub: &Hub, sheds: bool) {
    if hub.waiting.count.get() == 0 {
        return;
    }
    let now = hub.now();
    let is_stopping = hub.is_stopping();
    let state = hub.state.borrow();
    let settings = hub.settings.borrow();
    let view = view(&state, &settings.data_centre);
    let names: Vec<ServiceName> = {
        let services = hub.waiting.services.borrow();
        let waiting = services.iter().filter(|(_, s)| !s.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    };
    for name in names {
        let config = state.config.as_ref();
        let engine = config.and_then(|config| config.service(&name)?.engine.as_ref());
        let has_room = view.has_any_room(now, &name, engine);
        hub.waiting.with(&name, |service| {
            if is_stopping {
                let waiting: Vec<Id> = service.waiters.keys().copied().collect();
                for id in waiting {
                    service.dismiss(id, Verdict::Stopping);
                }
            }
            if sheds {
                for id in service.queue.shed(now) {
                    service.dismiss(id, Verdict::Shed);
                }
            }
            service.full = 0;
            // Without a server that has room, some of the first ones look for one less often. They fail at once when no
            // server is left that may run them.
            if has_room || sheds {
                service.pass_turn(hub);
            }
        });
    }
}

/// Updates the metrics, and logs when a service runs short of capacity and when that ends.
fn update(hub: &Hub) {
    let now = hub.now();
    let state = hub.state.borrow();
    let metrics = &hub.metrics.waiting;
    for (name, service) in hub.waiting.services.borrow_mut().iter_mut() {
        let (mut active, mut capacity) = (0, 0.0);
        let config = state.config.as_ref();
        let engine = config.and_then(|config| config.service(name)?.engine.as_ref());
        let servers = state.directory.iter();
        for server in servers.filter(|s| s.entry.service == *name && s.takes_work()) {
            let bounds = engine.map_or_else(|| Bounds::plain(server.entry.slots), Bounds::engine);
            capacity += f64::from(bounds.active()) * server.capacity.factor(now);
            active += server.load.active;
            if engine.is_some() {
                active += state.peers.total(server.key).active;
            }
        }
        let labels = [name.as_str()];
        let waiting = i64::try_from(service.queue.len()).unwrap_or(i64::MAX);
        metrics.waiting.with_label_values(&labels).set(waiting);
        metrics
            .in_flight
            .with_label_values(&labels)
            .set(i64::from(active));
        metrics
            .capacity
            .with_label_values(&labels)
            .set(whole(capacity));
        let service_name = name.as_str();
        match service.queue.update(now) {
            Some(Shortage::Began) => {
                log::warn!(service = service_name, in_flight = active, capacity = whole(capacity), waiting;
                    "the service runs short of capacity; requests wait");
            }
            Some(Shortage::Ended {
                lasted,
                waited,
                refused,
            }) => {
                log::info!(service = service_name, lasted_ms = whole_ms(lasted), waited, refused;
                    "the service has capacity again");
            }
            None => {}
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the cast saturates, and the value is a number of requests"
)]
fn whole(requests: f64) -> i64 {
    requests as i64
}

fn view<'a>(state: &'a State, data_centre: &'a DataCentre) -> View<'a, IpAddr> {
    View {
        directory: &state.directory,
        peers: &state.peers,
        versions: &state.versions,
        holdings: &state.holdings,
        stores: &state.part_stores,
        reach: &state.reach,
        data_centre,
        estimate: state.placement_estimate(),
    }
}
