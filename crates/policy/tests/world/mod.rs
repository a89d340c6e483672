//! A simulation in virtual time: daemons with one router each, fake servers and callers.

pub mod engine;
pub mod script;
mod steps;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use engine::{Engine, Job};
use jaystand_policy::{
    Action, Chain, Event, Failure, Fleet, Request, Router, Salt, load,
    router::{Settings, Strategy},
    server, team,
};
use jaystand_types::{Moment, Outcome, RepeatRule, RequestId, Urgency};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use script::{Measure, Script, duration};

/// Tokens between two progress events.
const CHUNK: u32 = 10;
/// Fixed part of a first-token time.
const OVERHEAD: Duration = Duration::from_millis(5);

/// A `traffic` line of the script, with the state of its conversations.
struct Traffic {
    name: String,
    urgency: Urgency,
    repeat: RepeatRule,
    team: String,
    rate: f64,
    prompts: u64,
    conversations: u64,
    /// Part of every prompt; a `shift` increments it.
    epoch: u64,
    system: usize,
    turn: usize,
    answer: u32,
    expected: u32,
    deadline: Duration,
    /// Generation and number of turns of each conversation.
    turns: BTreeMap<u64, (u64, usize)>,
    /// Incremented when the rate changes, which makes earlier arrivals void.
    arrivals: u64,
}

/// The course and the end of a request.
pub struct Record {
    traffic: usize,
    submitted: Moment,
    request: Request,
    answer: u32,
    received: u32,
    pub first_token: Option<Moment>,
    pub ended: Option<(Moment, Option<Outcome>)>,
    /// The daemon restarted, so the caller saw a broken connection.
    lost: bool,
    runs: u32,
    sends: u32,
    cached_tokens: Option<u32>,
    /// Prompt tokens that this request has in common with any earlier one.
    reusable_tokens: u32,
}

struct Attempt {
    server: usize,
    /// Timeouts for the first token and between tokens.
    timeouts: (Duration, Duration),
    last_received_at: Moment,
    first_token: bool,
    resume: bool,
    /// Whether nothing of the attempt reaches the daemon.
    silent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    /// Index of the `at` line.
    ScriptLine(usize),
    /// Index of the traffic, and its `arrivals` when this was scheduled.
    Arrival(usize, u64),
    /// The server; the second number is unused.
    StartJobs(usize, usize),
    FirstToken(Job),
    Chunk(Job),
    CheckTimeout(Job),
    /// Whether the server refuses the job; otherwise it cannot be connected to.
    SendFailure(Job, bool),
    /// The daemon.
    Wake(usize),
    SendReports,
    /// The server, and whether it leaves or returns.
    AnnounceLeaving(usize, bool),
    /// The server, with its running and waiting jobs.
    DeliverReport(usize, u32, u32),
    /// The data centre, and whether it can be reached.
    AnnounceReachable(usize, bool),
}

/// The state of a simulation.
pub struct World {
    script: Arc<Script>,
    /// Values of the `set` lines.
    parameters: BTreeMap<String, f64>,
    policy: Strategy,
    separate_long: bool,
    now: Moment,
    end: Moment,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Moment, u64, WorldEvent)>>,
    sequence: u64,
    daemons: Vec<Router>,
    engines: Vec<Engine>,
    traffic: Vec<Traffic>,
    attempts: BTreeMap<Job, Attempt>,
    pub records: Vec<Record>,
    /// Time and server of each dispatch.
    dispatches: Vec<(Moment, usize)>,
    cut_data_centre: Option<usize>,
    /// When each server started to leave.
    left_at: Vec<Option<Moment>>,
    /// When each daemon's router is called next.
    next_wakes: Vec<Moment>,
    /// Hashes of all prefix levels of earlier requests.
    seen_levels: BTreeSet<u64>,
}

impl World {
    /// Runs a script to its end, under the given policy or else the one of the script.
    pub fn run(script: &Arc<Script>, policy: Option<&str>) -> Self {
        let default = script
            .starting_with("policy")
            .next()
            .map(|words| words[0].clone());
        let name = policy
            .map(str::to_owned)
            .or(default)
            .unwrap_or("jaystand".into());
        let mut world = Self::new(script, &name);
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.now = at;
            world.process(event);
        }
        world.check_invariants();
        world
    }

    fn new(script: &Arc<Script>, policy: &str) -> Self {
        let parameters = script.starting_with("set");
        let parameters = parameters.map(|w| (w[0].clone(), w[1].parse().expect("a number")));
        let mut world = Self {
            script: Arc::clone(script),
            parameters: parameters.collect(),
            policy: match policy {
                "jaystand" | "unseparated" => Strategy::Jaystand,
                "hash-only" => Strategy::HashOnly,
                "least-loaded" => Strategy::LeastLoaded,
                "round-robin" => Strategy::RoundRobin,
                _ => panic!("unknown policy {policy}"),
            },
            separate_long: policy != "unseparated",
            now: Moment::ZERO,
            end: duration(&script.starting_with("run").next().expect("a run line")[0]),
            random: Pcg64Mcg::seed_from_u64(0),
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: Vec::new(),
            engines: Vec::new(),
            traffic: script.starting_with("traffic").map(traffic).collect(),
            attempts: BTreeMap::new(),
            records: Vec::new(),
            dispatches: Vec::new(),
            cut_data_centre: None,
            left_at: Vec::new(),
            next_wakes: Vec::new(),
            seen_levels: BTreeSet::new(),
        };
        world.schedule_start();
        world
    }

    /// Returns a parameter of the simulation, or its default value.
    fn parameter(&self, name: &str) -> f64 {
        let default = match name {
            "report_lag_s" => 1.0,
            "daemons" => 2.0,
            "servers" => 10.0,
            "slots" => 8.0,
            "data_centres" | "token_ms" => 4.0,
            "prefill_us" => 50.0,
            "cache_levels" => 400.0,
            "cache_s" => 20.0,
            _ => panic!("unknown figure {name}"),
        };
        self.parameters.get(name).copied().unwrap_or(default)
    }

    fn parameter_count(&self, name: &str) -> usize {
        format!("{:.0}", self.parameter(name))
            .parse()
            .expect("a count")
    }

    /// Creates the engines and routers and schedules the first events.
    fn schedule_start(&mut self) {
        let seed = std::env::var("JAYSTAND_SEED")
            .ok()
            .and_then(|seed| seed.parse().ok());
        self.random = Pcg64Mcg::seed_from_u64(seed.unwrap_or(1));
        let cache = Duration::from_secs_f64(self.parameter("cache_s"));
        for _ in 0..self.parameter_count("servers") {
            self.engines.push(Engine::new(
                self.parameter_count("slots"),
                self.parameter_count("cache_levels"),
                cache,
            ));
            self.left_at.push(None);
        }
        for daemon in 0..self.parameter_count("daemons") {
            let router = self.new_router(daemon);
            self.daemons.push(router);
            self.next_wakes.push(Moment::MAX);
            self.handle_event(daemon, Event::Tick);
        }
        let at: Vec<Duration> = self
            .script
            .starting_with("at")
            .map(|w| duration(&w[0]))
            .collect();
        for (index, at) in at.into_iter().enumerate() {
            self.schedule(at, WorldEvent::ScriptLine(index));
        }
        for index in 0..self.traffic.len() {
            self.schedule(Moment::ZERO, WorldEvent::Arrival(index, 0));
        }
        self.schedule(Duration::from_millis(500), WorldEvent::SendReports);
    }

    fn new_router(&mut self, daemon: usize) -> Router {
        let settings = Settings {
            strategy: self.policy,
            data_centre: self.data_centre(daemon),
            separate_long: self.separate_long,
            ..Settings::default()
        };
        let mut router = Router::new(settings, self.random.random());
        let spec = |id: usize| server::Spec {
            id: u32::try_from(id).expect("few servers"),
            name: format!("s{id}").into(),
            data_centre: self.data_centre(id),
            model: "m".into(),
            weights_version: "v1".into(),
            service: false,
            slots: u32::try_from(self.engines[id].slots).expect("few slots"),
        };
        let fleet = Fleet {
            servers: (0..self.engines.len()).map(spec).collect(),
            shares: self.script.starting_with("share").map(share).collect(),
            limits: Vec::new(),
        };
        router.configure(self.now, fleet);
        let live = u32::try_from(self.parameter_count("daemons")).expect("few daemons");
        router.handle(self.now, Event::Daemons { live }, &mut Vec::new());
        router
    }

    fn data_centre(&self, index: usize) -> compact_str::CompactString {
        format!("dc{}", index % self.parameter_count("data_centres")).into()
    }

    fn schedule(&mut self, at: Moment, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn process(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::ScriptLine(index) => self.apply_script_line(index),
            WorldEvent::Arrival(index, epoch) => self.submit_request(index, epoch),
            WorldEvent::StartJobs(server, _) => self.start_jobs(server),
            WorldEvent::FirstToken(job) => self.deliver_tokens(job, true),
            WorldEvent::Chunk(job) => self.deliver_tokens(job, false),
            WorldEvent::CheckTimeout(job) => self.check_timeout(job),
            WorldEvent::SendFailure(job, refused) => {
                if self.attempts.remove(&job).is_some() {
                    let retry_after = None;
                    let refused_failure = Failure::Refused { retry_after };
                    self.fail_attempt(
                        job,
                        if refused {
                            refused_failure
                        } else {
                            Failure::NotSent
                        },
                    );
                }
            }
            WorldEvent::Wake(daemon) => {
                self.next_wakes[daemon] = Moment::MAX;
                if self.daemons[daemon]
                    .next_wake()
                    .is_some_and(|wake| wake <= self.now)
                {
                    self.handle_event(daemon, Event::Tick);
                }
            }
            WorldEvent::SendReports => self.send_reports(),
            WorldEvent::AnnounceLeaving(server, leaving) => {
                let server = u32::try_from(server).expect("few servers");
                for daemon in 0..self.daemons.len() {
                    let gone = Event::Leaving { server };
                    self.handle_event(
                        daemon,
                        if leaving {
                            gone
                        } else {
                            Event::Returned { server }
                        },
                    );
                }
            }
            WorldEvent::DeliverReport(server, running, waiting) => {
                let age = Duration::from_secs_f64(self.parameter("report_lag_s"));
                let report = load::Report {
                    running,
                    waiting,
                    age,
                };
                let server = u32::try_from(server).expect("few servers");
                for daemon in 0..self.daemons.len() {
                    self.handle_event(daemon, Event::Load { server, report });
                }
            }
            WorldEvent::AnnounceReachable(cut, reachable) => {
                self.announce_reachable(cut, reachable);
            }
        }
    }
}

/// Reads `NAME URGENCY REPEAT key=value...`.
fn traffic(words: &[String]) -> Traffic {
    let key = |name: &str, default: &str| -> String {
        let found = words
            .iter()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
        found.unwrap_or(default).to_owned()
    };
    let number = |name: &str, default: &str| key(name, default).parse().expect("a number");
    let count = |name: &str, default: &str| key(name, default).parse().expect("a count");
    Traffic {
        name: words[0].clone(),
        urgency: words[1].parse().expect("an urgency"),
        repeat: words[2].parse().expect("a repeat rule"),
        team: key("team", &words[0]),
        rate: number("rate", "10"),
        prompts: count("prompts", "4"),
        conversations: count("conversations", "50"),
        epoch: 0,
        system: key("system", "2000").parse().expect("a length"),
        turn: key("turn", "200").parse().expect("a length"),
        answer: key("answer", "50").parse().expect("a length"),
        expected: key("expected", "0").parse().expect("a length"),
        deadline: duration(&key("deadline", "20s")),
        turns: BTreeMap::new(),
        arrivals: 0,
    }
}

fn share(words: &[String]) -> team::Share {
    team::Share {
        team: words[0].as_str().into(),
        weight: words[1].parse().expect("a weight"),
    }
}
