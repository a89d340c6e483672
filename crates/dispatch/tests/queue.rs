//! Waiting requests under overload: hosts with reports that are up to 200 ms old, in virtual time.

mod support;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jaystand_dispatch::{
    capacity::{Bounds, Limit},
    config::Engine,
    load::Load,
    queue::{self, Id, NoRoom, Queue, Request},
};
use jaystand_types::{Moment, TeamId};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use support::ms;

/// A service and its hosts.
#[derive(Clone, Copy, Debug)]
struct Shape {
    hosts: usize,
    servers: usize,
    slots: u32,
    /// Requests that a server queues behind its slots.
    queue: usize,
    service: Duration,
    is_engine: bool,
}

impl Shape {
    /// Returns the requests a second that the servers run.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * f64::from(u32::try_from(self.servers).expect("few"));
        slots / self.service.as_secs_f64()
    }
}

/// Engines with a queue of three times the slots, as those of derwent-maps-grown.
const ENGINES: Shape = Shape {
    hosts: 24,
    servers: 12,
    slots: 16,
    queue: 48,
    service: Duration::from_millis(200),
    is_engine: true,
};
/// The plain service of derwent-maps-grown.
const PLAIN: Shape = Shape {
    hosts: 74,
    servers: 3,
    slots: 6,
    queue: 24,
    service: Duration::from_millis(30),
    is_engine: false,
};
const STEP: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_millis(2_500);
const OBJECTIVE: Duration = Duration::from_millis(800);
/// Servers that may get one request.
const ATTEMPTS: u32 = 3;
const TEAMS: usize = 16;

fn request(rank: u8, team: &str, now: Moment) -> Request {
    Request {
        rank,
        team: team.into(),
        retry: false,
        bytes: 1_000,
        deadline: now + DEADLINE,
        objective: now + OBJECTIVE,
        needs: ms(100),
    }
}

fn queue() -> Queue {
    Queue::new(queue::Bounds {
        requests: 256,
        bytes: 8 << 20,
    })
}

struct Host {
    queue: Queue,
    waiting: BTreeMap<Id, Job>,
    own: Vec<u32>,
    limits: Vec<Limit>,
    /// The loads that this host last reported to all others.
    reported: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Job {
    host: usize,
    rank: u8,
    team: TeamId,
    arrived: Moment,
    refusals: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<(Moment, Job)>,
    queued: VecDeque<Job>,
    down: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: f64,
    served: f64,
}

#[derive(Default)]
struct Outcome {
    by_rank: BTreeMap<u8, Count>,
    by_team: BTreeMap<TeamId, Count>,
    all: Count,
    arrivals: f64,
    refused_by_servers: f64,
    waited: u32,
    /// Time for which refused requests were held, in total.
    held: Duration,
    /// Requests that began in time.
    in_time: f64,
    refused: u32,
}

impl Outcome {
    fn ratio(count: &Count) -> f64 {
        count.served / count.offered
    }

    fn assert_nobody_starves(&self) {
        let all = Self::ratio(&self.all);
        let ranks = self.by_rank.iter().map(|(rank, c)| (rank.to_string(), c));
        let teams = self.by_team.iter().map(|(team, c)| (team.to_string(), c));
        for (name, count) in ranks.chain(teams) {
            let ratio = Self::ratio(count);
            assert!(ratio >= all / 4.0, "{name}: {ratio} of all {all}");
        }
    }
}

struct Site {
    shape: Shape,
    now: Moment,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    rng: StdRng,
    outcome: Outcome,
}

impl Site {
    fn new(shape: Shape) -> Self {
        let host = |_| Host {
            queue: queue(),
            waiting: BTreeMap::new(),
            own: vec![0; shape.servers],
            limits: vec![Limit::default(); shape.servers],
            reported: vec![0; shape.servers],
        };
        Self {
            shape,
            now: ms(1_000),
            hosts: (0..shape.hosts).map(host).collect(),
            servers: (0..shape.servers).map(|_| Server::default()).collect(),
            rng: StdRng::seed_from_u64(7),
            outcome: Outcome::default(),
        }
    }

    /// Runs for some time under a load, as a share of the capacity, of which the first team sends `excess` times as many as each
    /// of the others. Half of the requests are urgent.
    fn run(&mut self, time: Duration, load: f64, excess: f64) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.finish();
            let micros = u64::try_from(self.now.as_micros()).expect("a short test");
            for host in 0..self.shape.hosts {
                // Hosts report at different times.
                let offset = u64::try_from(host * 40 / self.shape.hosts).expect("few") * 5_000;
                if (micros + offset) % 200_000 == 0 {
                    self.hosts[host].reported = self.hosts[host].own.clone();
                }
                self.place_waiting(host);
            }
            due += load * self.shape.capacity() * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(excess);
            }
        }
    }

    fn arrive(&mut self, excess: f64) {
        let others = TEAMS - 1;
        let draw = self.rng.random_range(0.0..excess + 15.0);
        let team = if draw < excess {
            0
        } else {
            1 + self.rng.random_range(0..others)
        };
        let job = Job {
            host: self.rng.random_range(0..self.shape.hosts),
            rank: if self.rng.random_bool(0.5) { 0 } else { 2 },
            team: format!("t-{team:02}").into(),
            arrived: self.now,
            refusals: 0,
        };
        let outcome = &mut self.outcome;
        outcome.all.offered += 1.0;
        outcome.by_rank.entry(job.rank).or_default().offered += 1.0;
        let by_team = outcome.by_team.entry(job.team.clone()).or_default();
        by_team.offered += 1.0;
        let now = self.now;
        let host = &mut self.hosts[job.host];
        host.queue.record_offered(now, job.rank, &job.team);
        let wanted = request(job.rank, &job.team, now);
        if host.queue.is_first(now, &wanted) && self.send(&job) {
            return;
        }
        self.join(job, wanted);
    }

    fn join(&mut self, job: Job, wanted: Request) {
        let host = &mut self.hosts[job.host];
        match host.queue.join(self.now, wanted) {
            Ok((id, last)) => {
                self.outcome.waited += 1;
                host.waiting.insert(id, job);
                if let Some(last) = last {
                    let job = host.waiting.remove(&last).expect("waits");
                    self.refuse(&job);
                }
            }
            Err(NoRoom(wait)) => {
                assert!(wait <= DEADLINE / 3, "callers ignore {wait:?}");
                self.refuse(&job);
            }
        }
    }

    fn refuse(&mut self, job: &Job) {
        self.outcome.refused += 1;
        self.outcome.held += self.now.saturating_sub(job.arrived);
    }

    fn place_waiting(&mut self, host: usize) {
        let now = self.now;
        for id in self.hosts[host].queue.shed(now) {
            let job = self.hosts[host].waiting.remove(&id).expect("waits");
            self.refuse(&job);
        }
        while let Some(id) = self.hosts[host].queue.first(now, 1).first().copied() {
            let job = self.hosts[host].waiting[&id].clone();
            if !self.send(&job) {
                self.hosts[host].queue.record_full(now);
                break;
            }
            self.hosts[host].queue.record_placed(now, id);
            self.hosts[host].waiting.remove(&id);
        }
        let host = &self.hosts[host];
        assert_eq!(host.waiting.len(), host.queue.len());
    }

    /// Sends a request to the less loaded of two servers that have room as far as its host knows.
    fn send(&mut self, job: &Job) -> bool {
        let now = self.now;
        let Shape {
            slots, is_engine, ..
        } = self.shape;
        let bounds = if is_engine {
            Bounds::engine(&Engine {
                slots,
                memory_tokens: 1_000_000,
                models: Vec::new(),
            })
        } else {
            Bounds::plain(slots)
        };
        let host = &self.hosts[job.host];
        let fill = |server: usize| {
            let others = self.hosts.iter().map(|other| other.reported[server]);
            let reported = others.sum::<u32>() - host.reported[server];
            let load = Load {
                active: host.own[server] + if is_engine { reported } else { 0 },
                ..Load::default()
            };
            bounds.fill(&load, 1.0)
        };
        let reserve = host.queue.reserve(now, job.rank, &job.team);
        let has_room = |server: &usize| host.limits[*server].has_room(now, fill(*server), reserve);
        let open = (0..self.shape.servers).filter(has_room);
        let open: Vec<usize> = open.collect();
        if open.is_empty() {
            return false;
        }
        let (a, b) = (
            open[self.rng.random_range(0..open.len())],
            open[self.rng.random_range(0..open.len())],
        );
        let chosen = if fill(a) <= fill(b) { a } else { b };
        let host = &mut self.hosts[job.host];
        host.queue
            .record_sent(now, job.rank, &job.team, 1, job.refusals > 0);
        self.outcome.arrivals += 1.0;
        let server = &mut self.servers[chosen];
        if server.down || server.queued.len() >= self.shape.queue {
            self.outcome.refused_by_servers += 1.0;
            host.limits[chosen].record_refusal(now, chosen as u64);
            let is_full = !host
                .limits
                .iter()
                .any(|limit| limit.has_room(now, 0.0, 0.0));
            host.queue.record_refused(now, is_full);
            let mut job = job.clone();
            job.refusals += 1;
            if job.refusals < ATTEMPTS {
                let wanted = Request {
                    retry: true,
                    ..request(job.rank, &job.team, job.arrived)
                };
                self.join(job, wanted);
            } else {
                self.refuse(&job);
            }
            return true;
        }
        host.own[chosen] += 1;
        server.queued.push_back(job.clone());
        true
    }

    fn finish(&mut self) {
        let now = self.now;
        let service = self.shape.service;
        let slots = usize::try_from(self.shape.slots).expect("few");
        for (number, server) in self.servers.iter_mut().enumerate() {
            let (ended, running): (Vec<_>, Vec<_>) =
                server.running.drain(..).partition(|(end, _)| *end <= now);
            server.running = running;
            for (_, job) in ended {
                let host = &mut self.hosts[job.host];
                host.own[number] -= 1;
                host.limits[number].record_response(now, service, service, 0.5);
                let outcome = &mut self.outcome;
                outcome.all.served += 1.0;
                outcome.by_rank.entry(job.rank).or_default().served += 1.0;
                let by_team = outcome.by_team.entry(job.team).or_default();
                by_team.served += 1.0;
            }
            while !server.down && server.running.len() < slots {
                let Some(job) = server.queued.pop_front() else {
                    break;
                };
                if job.arrived + DEADLINE < now + service {
                    self.hosts[job.host].own[number] -= 1;
                    self.outcome.refused_by_servers += 1.0;
                    continue;
                }
                let in_time = now <= job.arrived + OBJECTIVE;
                self.outcome.in_time += f64::from(u8::from(in_time));
                server.running.push((now + service, job));
            }
        }
    }
}

/// Guards against requests that wait or are refused at normal load.
#[test]
fn no_request_waits_at_normal_load() {
    for shape in [ENGINES, PLAIN] {
        let mut site = Site::new(shape);
        site.run(ms(10_000), 0.8, 1.0);
        assert_eq!((site.outcome.waited, site.outcome.refused), (0, 0));
        assert!(site.outcome.refused_by_servers == 0.0);
    }
}

/// Guards against plain servers that refuse what many hosts send, although each host has less than one request at a
/// server (derwent-maps-grown: 2,166 of 14,710 arrivals). With limits on load only, servers refuse half of the arrivals
/// here.
#[test]
fn hosts_share_a_plain_service_that_is_overloaded() {
    for load in [1.1, 2.0, 4.0] {
        let mut site = Site::new(PLAIN);
        site.run(ms(1_000), 0.35, 1.0);
        site.outcome = Outcome::default();
        site.run(ms(10_000), load, 1.0);
        let outcome = &site.outcome;
        let refused = outcome.refused_by_servers / outcome.arrivals;
        assert!(refused <= 0.1, "{load}: servers refuse {refused}");
        let used = outcome.all.served / (PLAIN.capacity() * 10.0);
        assert!(used >= 0.95, "{load}: {used} of the capacity used");
        let in_time = outcome.in_time / outcome.all.served;
        assert!(in_time >= 0.98, "{load}: {in_time} of the served in time");
        outcome.assert_nobody_starves();
        let held = outcome.held / outcome.refused;
        assert!(held <= ms(400), "{load}: refused after {held:?}");
        // When the load is normal again, no request waits longer than the limit lasts.
        site.run(ms(5_000), 0.35, 1.0);
        site.outcome = Outcome::default();
        site.run(ms(5_000), 0.35, 1.0);
        assert_eq!((site.outcome.waited, site.outcome.refused), (0, 0));
    }
}

/// Guards against bursts that servers refuse after queueing them, against lost capacity, starvation, requests that are
/// held although they cannot be served, and a queue that does not drain.
#[test]
fn bursts_are_refused_by_the_hosts_at_once() {
    for burst in [2.6, 6.0] {
        let mut site = Site::new(ENGINES);
        site.run(ms(2_000), 0.7, 1.0);
        site.outcome = Outcome::default();
        site.run(ms(6_000), 0.7 * burst, 6.5);
        let outcome = &site.outcome;
        let refused = outcome.refused_by_servers / outcome.arrivals;
        assert!(refused <= 0.02, "{burst}: servers refuse {refused}");
        let used = outcome.all.served / (ENGINES.capacity() * 6.0);
        assert!(used >= 0.95, "{burst}: {used} of the capacity used");
        outcome.assert_nobody_starves();
        let ratio = |rank| Outcome::ratio(&outcome.by_rank[&rank]);
        assert!(
            ratio(0) > 1.5 * ratio(2),
            "{burst}: {} {}",
            ratio(0),
            ratio(2)
        );
        let hot = Outcome::ratio(&outcome.by_team["t-00"]);
        for (team, count) in outcome.by_team.iter().skip(1) {
            assert!(
                Outcome::ratio(count) > hot,
                "{burst}: {team} below the hot team"
            );
        }
        let held = outcome.held / outcome.refused;
        assert!(held <= ms(400), "{burst}: refused after {held:?}");
        // After the burst all waiting requests leave within the time of one deadline.
        site.run(DEADLINE, 0.7, 1.0);
        let waiting: usize = site.hosts.iter().map(|host| host.waiting.len()).sum();
        assert_eq!(waiting, 0, "{burst}: the queue does not drain");
    }
}

/// Guards against hosts that fill the servers that remain when others crash, and that hold requests for those.
#[test]
fn crashed_servers_leave_less_capacity() {
    let mut site = Site::new(ENGINES);
    site.run(ms(2_000), 0.8, 1.0);
    for number in 0..ENGINES.servers / 2 {
        let server = &mut site.servers[number];
        server.down = true;
        let lost: Vec<Job> = server.running.drain(..).map(|(_, job)| job).collect();
        for job in lost.into_iter().chain(server.queued.drain(..)) {
            site.hosts[job.host].own[number] -= 1;
        }
    }
    site.outcome = Outcome::default();
    site.run(ms(6_000), 0.8, 1.0);
    let outcome = &site.outcome;
    let used = outcome.all.served / (ENGINES.capacity() * 3.0);
    assert!(used >= 0.9, "{used} of the remaining capacity used");
    outcome.assert_nobody_starves();
}

/// Guards against memory that waiting requests fill, and against an urgent request that is refused while others wait.
#[test]
fn a_full_queue_keeps_the_most_urgent() {
    let mut queue = Queue::new(queue::Bounds {
        requests: 3,
        bytes: 2_500,
    });
    let now = ms(1_000);
    let (low, _) = queue.join(now, request(2, "a", now)).expect("place");
    let (_, none) = queue.join(now, request(1, "a", now)).expect("place");
    assert_eq!(none, None);
    let (urgent, last) = queue.join(now, request(0, "a", now)).expect("place");
    assert_eq!(last, Some(low));
    assert!(queue.join(now, request(2, "b", now)).is_err());
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.first(now, 8).first(), Some(&urgent));
    assert!(queue.leave(urgent).is_some() && queue.leave(urgent).is_none());
}

/// Guards against callers that all return at once, or while others still wait.
#[test]
fn retry_times_are_spread() {
    let mut queue = queue();
    let mut waits: Vec<Duration> = (0..40)
        .map(|_| queue.refuse(ms(1_000), ms(15_000)).0)
        .collect();
    waits.sort();
    assert!(waits[0] + ms(2_000) <= waits[39], "{waits:?}");
    assert!(waits[39] <= ms(5_000));
}
