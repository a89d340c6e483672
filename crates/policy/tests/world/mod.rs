//! A world in virtual time: daemons with one router each, fake servers and callers.

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
const OVERHEAD: Duration = Duration::from_millis(5);

struct Traffic {
    name: String,
    urgency: Urgency,
    repeat: RepeatRule,
    team: String,
    rate: f64,
    prompts: u64,
    conversations: u64,
    /// Changes the prompts when it changes.
    epoch: u64,
    system: usize,
    turn: usize,
    answer: u32,
    expected: u32,
    deadline: Duration,
    turns: BTreeMap<u64, (u64, usize)>,
    arrivals: u64,
}

/// What became of a request.
pub struct Record {
    traffic: usize,
    submitted: Moment,
    request: Request,
    answer: u32,
    received: u32,
    pub first_token: Option<Moment>,
    pub ended: Option<(Moment, Option<Outcome>)>,
    /// The daemon restarted: the caller saw a broken connection.
    lost: bool,
    runs: u32,
    sends: u32,
    cached: Option<u32>,
    /// Prompt tokens that any earlier request has had in common with this one.
    ideal: u32,
}

struct Attempt {
    server: usize,
    deadline: (Duration, Duration),
    latest: Moment,
    first: bool,
    resume: bool,
    silent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Script(usize),
    Arrival(usize, u64),
    Start(usize, usize),
    FirstToken(Job),
    Chunk(Job),
    Watchdog(Job),
    Fail(Job, bool),
    Wake(usize),
    Report,
    Notice(usize, bool),
    Deliver(usize, u32, u32),
    Reach(usize, bool),
}

pub struct World {
    script: Arc<Script>,
    figures: BTreeMap<String, f64>,
    policy: Strategy,
    separate_long: bool,
    now: Moment,
    end: Moment,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Moment, u64, Happening)>>,
    sequence: u64,
    daemons: Vec<Router>,
    engines: Vec<Engine>,
    traffic: Vec<Traffic>,
    attempts: BTreeMap<Job, Attempt>,
    pub records: Vec<Record>,
    dispatches: Vec<(Moment, usize)>,
    cut: Option<usize>,
    left: Vec<Option<Moment>>,
    wakes: Vec<Moment>,
    seen: BTreeSet<u64>,
}

impl World {
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
        while let Some(Reverse((at, _, happening))) = world.events.pop() {
            world.now = at;
            world.happen(happening);
        }
        world.check();
        world
    }

    fn new(script: &Arc<Script>, policy: &str) -> Self {
        let figures = script.starting_with("set");
        let figures = figures.map(|w| (w[0].clone(), w[1].parse().expect("a number")));
        let mut world = Self {
            script: Arc::clone(script),
            figures: figures.collect(),
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
            cut: None,
            left: Vec::new(),
            wakes: Vec::new(),
            seen: BTreeSet::new(),
        };
        world.build();
        world
    }

    /// A figure of the world by name, with its default.
    fn figure(&self, name: &str) -> f64 {
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
        self.figures.get(name).copied().unwrap_or(default)
    }

    fn count(&self, name: &str) -> usize {
        format!("{:.0}", self.figure(name))
            .parse()
            .expect("a count")
    }

    fn build(&mut self) {
        let seed = std::env::var("JAYSTAND_SEED")
            .ok()
            .and_then(|seed| seed.parse().ok());
        self.random = Pcg64Mcg::seed_from_u64(seed.unwrap_or(1));
        let cache = Duration::from_secs_f64(self.figure("cache_s"));
        for _ in 0..self.count("servers") {
            self.engines.push(Engine::new(
                self.count("slots"),
                self.count("cache_levels"),
                cache,
            ));
            self.left.push(None);
        }
        for daemon in 0..self.count("daemons") {
            let router = self.router(daemon);
            self.daemons.push(router);
            self.wakes.push(Moment::MAX);
            self.event(daemon, Event::Tick);
        }
        let at: Vec<Duration> = self
            .script
            .starting_with("at")
            .map(|w| duration(&w[0]))
            .collect();
        for (index, at) in at.into_iter().enumerate() {
            self.schedule(at, Happening::Script(index));
        }
        for index in 0..self.traffic.len() {
            self.schedule(Moment::ZERO, Happening::Arrival(index, 0));
        }
        self.schedule(Duration::from_millis(500), Happening::Report);
    }

    fn router(&mut self, daemon: usize) -> Router {
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
        let live = u32::try_from(self.count("daemons")).expect("few daemons");
        router.handle(self.now, Event::Daemons { live }, &mut Vec::new());
        router
    }

    fn data_centre(&self, index: usize) -> compact_str::CompactString {
        format!("dc{}", index % self.count("data_centres")).into()
    }

    fn schedule(&mut self, at: Moment, happening: Happening) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, happening)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Script(index) => self.apply(index),
            Happening::Arrival(index, epoch) => self.arrive(index, epoch),
            Happening::Start(server, _) => self.start_jobs(server),
            Happening::FirstToken(job) => self.token(job, true),
            Happening::Chunk(job) => self.token(job, false),
            Happening::Watchdog(job) => self.watch(job),
            Happening::Fail(job, refused) => {
                if self.attempts.remove(&job).is_some() {
                    let retry_after = None;
                    let refused_failure = Failure::Refused { retry_after };
                    self.fail(
                        job,
                        if refused {
                            refused_failure
                        } else {
                            Failure::NotSent
                        },
                    );
                }
            }
            Happening::Wake(daemon) => {
                self.wakes[daemon] = Moment::MAX;
                if self.daemons[daemon]
                    .next_wake()
                    .is_some_and(|wake| wake <= self.now)
                {
                    self.event(daemon, Event::Tick);
                }
            }
            Happening::Report => self.report(),
            Happening::Notice(server, leaving) => {
                let server = u32::try_from(server).expect("few servers");
                for daemon in 0..self.daemons.len() {
                    let gone = Event::Leaving { server };
                    self.event(
                        daemon,
                        if leaving {
                            gone
                        } else {
                            Event::Returned { server }
                        },
                    );
                }
            }
            Happening::Deliver(server, running, waiting) => {
                let age = Duration::from_secs_f64(self.figure("report_lag_s"));
                let report = load::Report {
                    running,
                    waiting,
                    age,
                };
                let server = u32::try_from(server).expect("few servers");
                for daemon in 0..self.daemons.len() {
                    self.event(daemon, Event::Load { server, report });
                }
            }
            Happening::Reach(cut, reachable) => self.tell_reach(cut, reachable),
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
