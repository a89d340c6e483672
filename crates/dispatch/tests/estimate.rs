//! Many hosts that place requests at once by reports that are a little old, in virtual time.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "times, counts and draws are small and not negative"
)]

mod support;

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_dispatch::{
    ServerKey,
    estimate::{Estimate, Speed},
    holdings::Holdings,
    load::Load,
    placement::cache_keys,
    prompt::{Prompt, mix},
    report::MAX_BRIEF_RECEIVERS,
};
use jaystand_types::Moment;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use support::{
    desk, engine,
    fleet::{Host, Site},
    ms, prompt,
};

/// Hosts that get a whole report in a period.
const WHOLE_RECEIVERS: usize = 8;
/// Seconds at the start that do not count.
const WARM_UP_S: u64 = 4;
const SECONDS: u64 = 9;
/// Share of the engines' prefill time that the requests need, if the mean prefill takes 46 ms at speed 1, as measured
/// here.
const UTILISATION: f64 = 0.7;
const MEAN_PREFILL_MS: f64 = 46.0;
/// Shared parts that an engine has room for.
const CACHED_PARTS: usize = 40;
/// Number of documents for each engine.
const DOCUMENTS: u32 = 15;
/// Time to generate an answer at speed 1.
const ANSWER_MS: (u64, u64) = (1_000, 3_000);
/// What the busiest server may have, as a multiple of what it has when loads are exactly known.
const TOLERANCE: f64 = 1.15;

#[derive(Clone, Copy, Debug)]
enum Chooser {
    /// One host places all requests, so that it knows all loads exactly.
    Perfect,
    /// The lowest score by the latest reports.
    Reports,
    /// Random choices by the estimate of loads.
    Even,
}

#[derive(Clone, Copy)]
struct Scenario {
    hosts: usize,
    engines: u16,
    /// Interval between a host's reports.
    period_ms: u64,
    /// How many times longer the slowest engine takes than the fastest one.
    spread: f64,
    /// The second until which the first engine gets no requests. Then it returns empty.
    returns_at_s: u64,
}

impl Scenario {
    fn new(hosts: usize, period_ms: u64, spread: f64) -> Self {
        let engines = if hosts < 10 { 9 } else { 60 };
        Self {
            hosts,
            engines,
            period_ms,
            spread,
            returns_at_s: 0,
        }
    }
}

/// An engine that computes one prompt after another and generates answers side by side.
#[derive(Default)]
struct Machine {
    slowness: f64,
    prefill_free_at_ms: f64,
    in_flight: f64,
    cache: VecDeque<u64>,
}

/// The end of a request's prefill or of its answer.
struct Event {
    host: usize,
    machine: usize,
    load: Load,
    /// Measured and expected time to the first token at the end of the prefill.
    first: Option<(Duration, Duration)>,
}

#[derive(Debug, Default)]
struct Figures {
    /// Requests in flight at the busiest engine over the mean, by second.
    busiest: Vec<f64>,
    /// The same for the first engine.
    first: Vec<f64>,
    /// Milliseconds that prompts wait for their prefill to begin.
    waits: Vec<f64>,
}

impl Figures {
    /// Returns the mean over the seconds.
    fn mean(&self) -> f64 {
        self.busiest.iter().sum::<f64>() / self.busiest.len() as f64
    }

    fn worst(&self) -> f64 {
        self.busiest.iter().copied().fold(0.0, f64::max)
    }

    /// Returns how long 99 of 100 prompts wait at most.
    fn wait_p99(&mut self) -> f64 {
        self.waits.sort_unstable_by(f64::total_cmp);
        self.waits[self.waits.len() * 99 / 100]
    }
}

struct World {
    scenario: Scenario,
    random: Pcg64Mcg,
    hosts: Vec<Host>,
    /// When in the period each host reports.
    phases: Vec<u64>,
    site: Site,
    /// Cache reports reach all hosts at once here.
    holdings: Holdings,
    machines: Vec<Machine>,
    keys: Vec<ServerKey>,
    numbers: HashMap<ServerKey, usize>,
    events: HashMap<u64, Vec<Event>>,
}

impl World {
    fn new(scenario: Scenario, chooser: Chooser, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let hosts = match chooser {
            Chooser::Perfect => 1,
            Chooser::Reports | Chooser::Even => scenario.hosts,
        };
        let estimate = matches!(chooser, Chooser::Even).then(Estimate::default);
        let host = Host {
            estimate,
            ..Host::new(scenario.engines)
        };
        let engines = 0..scenario.engines;
        let keys: Vec<ServerKey> = engines.map(|number| engine(number, 1).key()).collect();
        let mut holdings = Holdings::default();
        for key in &keys {
            holdings.start_reports(*key);
        }
        let position = |number: usize| number as f64 / (keys.len() - 1) as f64;
        let machine = |number| Machine {
            slowness: 1.0 + (scenario.spread - 1.0) * position(number),
            ..Machine::default()
        };
        Self {
            scenario,
            phases: (0..hosts)
                .map(|_| random.random_range(0..scenario.period_ms))
                .collect(),
            random,
            hosts: vec![host; hosts],
            site: Site::new(64, 400_000),
            holdings,
            machines: (0..keys.len()).map(machine).collect(),
            numbers: keys.iter().copied().zip(0..).collect(),
            keys,
            events: HashMap::new(),
        }
    }

    fn run(mut self) -> Figures {
        let mut figures = Figures::default();
        let mut held = vec![0.0; self.machines.len()];
        let capacity: f64 = self.machines.iter().map(|m| 1.0 / m.slowness).sum();
        let arrivals_per_ms = UTILISATION * capacity / MEAN_PREFILL_MS;
        for tick in 0..SECONDS * 1_000 {
            self.end_requests(tick);
            for sender in 0..self.hosts.len() {
                if tick % self.scenario.period_ms == self.phases[sender] {
                    self.report(ms(tick), sender);
                }
            }
            let more = self.random.random_bool(arrivals_per_ms.fract());
            for number in 0..arrivals_per_ms as u64 + u64::from(more) {
                let wait = self.place(tick, mix(tick, number));
                if tick >= WARM_UP_S * 1_000 {
                    figures.waits.push(wait);
                }
            }
            for (sum, machine) in held.iter_mut().zip(&self.machines) {
                *sum += machine.in_flight;
            }
            if tick % 1_000 == 999 {
                if tick >= WARM_UP_S * 1_000 {
                    let mean = held.iter().sum::<f64>() / held.len() as f64;
                    let busiest = held.iter().copied().fold(0.0, f64::max);
                    figures.busiest.push(busiest / mean);
                    figures.first.push(held[0] / mean);
                }
                held.fill(0.0);
            }
        }
        figures
    }

    fn end_requests(&mut self, tick: u64) {
        for event in self.events.remove(&tick).unwrap_or_default() {
            let (host, key) = (&mut self.hosts[event.host], self.keys[event.machine]);
            host.subtract(key, event.load);
            match event.first {
                Some((took, expected)) => host.observe(ms(tick), key, took, expected),
                None => self.machines[event.machine].in_flight -= 1.0,
            }
        }
    }

    /// Sends a report of a host to as many random others as the gateway does.
    fn report(&mut self, now: Moment, sender: usize) {
        let servers = self.hosts[sender].directory.iter();
        let busy = servers.filter(|server| !server.load.is_idle());
        let loads: Vec<(ServerKey, Load)> = busy.map(|s| (s.key, s.load)).collect();
        let speeds = self.hosts[sender].speeds(now, &mut self.random);
        let others = self.hosts.len().max(2) - 1;
        let receivers = (WHOLE_RECEIVERS + MAX_BRIEF_RECEIVERS) as f64;
        for receiver in (0..self.hosts.len()).filter(|receiver| *receiver != sender) {
            if self
                .random
                .random_bool((receivers / others as f64).min(1.0))
            {
                let host = &mut self.hosts[receiver];
                host.peers.record_report(now, sender, loads.iter().copied());
                let is_whole = WHOLE_RECEIVERS as f64 / receivers.min(others as f64);
                if self.random.random_bool(is_whole.min(1.0)) {
                    host.merge(now, &speeds);
                }
            }
        }
        self.hosts[sender].tick(now, others + 1);
    }

    /// Draws a third of long prompts, and short ones.
    fn draw_prompt(&mut self) -> Prompt {
        let documents = DOCUMENTS * u32::from(self.scenario.engines);
        let document = self.random.random_range(0..documents);
        if self.random.random_bool(0.33) {
            let own = self.random.random_range(2_000..8_000);
            prompt(&format!("d-{document}"), 5_000, own)
        } else {
            let own = self.random.random_range(1_000..2_600);
            prompt(&format!("s-{document}"), 500, own)
        }
    }

    /// Places a request of a random host. Returns the time in milliseconds until its prefill begins.
    fn place(&mut self, tick: u64, call: u64) -> f64 {
        let now = ms(tick);
        let prompt = self.draw_prompt();
        let number = self.random.random_range(0..self.hosts.len());
        let host = &mut self.hosts[number];
        let absent = usize::from(tick < self.scenario.returns_at_s * 1_000);
        let avoid = &self.keys[..absent];
        let choice = self
            .site
            .place_avoiding(now, host, &self.holdings, call, &prompt, avoid);
        host.send(choice.server, choice.load);
        let machine = self.numbers[&choice.server];
        let server = &mut self.machines[machine];
        let part = cache_keys(&prompt, &self.site.salt, choice.version)[0];
        if !server.cache.contains(&part) {
            server.cache.push_back(part);
            let tokens = prompt.shared_tokens();
            self.holdings.record_report(part, choice.server, tokens);
            if server.cache.len() > CACHED_PARTS {
                let evicted = server.cache.pop_front().expect("not empty");
                self.holdings.record_report(evicted, choice.server, 0);
            }
        }
        let prefill_ms = choice.load.prefill_us as f64 / 1_000.0 * server.slowness;
        let begins = server.prefill_free_at_ms.max(tick as f64);
        server.prefill_free_at_ms = begins + prefill_ms;
        server.in_flight += 1.0;
        let first_at = server.prefill_free_at_ms.ceil() as u64 + 1;
        let answer_ms = self.random.random_range(ANSWER_MS.0..ANSWER_MS.1) as f64;
        let ends_at = first_at + (answer_ms * server.slowness) as u64;
        let mut rest = choice.load;
        let prefill = Load {
            prefill_us: std::mem::take(&mut rest.prefill_us),
            ..Load::default()
        };
        let first = Some((ms(first_at - tick + 55), choice.expected));
        for (at, load, first) in [(first_at, prefill, first), (ends_at, rest, None)] {
            self.events.entry(at).or_default().push(Event {
                host: number,
                machine,
                load,
                first,
            });
        }
        begins - tick as f64
    }
}

/// Simulates a scenario with two seeds.
fn simulate(scenario: Scenario, chooser: Chooser) -> Figures {
    let mut figures = Figures::default();
    for seed in [1, 2] {
        let run = World::new(scenario, chooser, seed).run();
        figures.busiest.extend(run.busiest);
        figures.first.extend(run.first);
        figures.waits.extend(run.waits);
    }
    figures
}

/// Checks that the busiest engine has little more than with exactly known loads, and no second much more.
fn check(scenario: Scenario) {
    let perfect = simulate(scenario, Chooser::Perfect).mean();
    let even = simulate(scenario, Chooser::Even);
    let (mean, worst) = (even.mean(), even.worst());
    assert!(
        mean <= perfect * TOLERANCE,
        "{mean:.3} with old reports, {perfect:.3} with known loads"
    );
    // If all hosts chose the same engine until the next reports, loads would swing from second to second.
    assert!(worst <= mean * TOLERANCE, "{worst:.3} in one second");
}

/// Guards against hosts that all choose the engine that was idle in the last reports.
#[test]
fn load_is_even_with_few_hosts() {
    check(Scenario::new(6, 200, 1.0));
}

/// Guards against the same in a large deployment.
#[test]
fn load_is_even_with_many_hosts() {
    check(Scenario::new(74, 200, 1.0));
}

/// Guards against slow engines that get as many requests as fast ones.
#[test]
fn load_is_even_on_engines_of_unequal_speed() {
    check(Scenario::new(74, 200, 2.4));
}

/// Guards against the same choice of all hosts in a fleet in which only a quarter of the reports reaches each host in a
/// period.
#[test]
fn load_is_even_in_a_fleet_with_old_reports() {
    check(Scenario::new(300, 200, 1.0));
}

/// Guards against the same with reports that are up to a second old.
#[test]
fn load_is_even_with_reports_of_a_second() {
    check(Scenario::new(74, 1_000, 1.0));
}

/// Guards against an engine that gets the requests of all hosts until their next reports because it has returned empty.
#[test]
fn an_engine_that_returns_empty_is_not_flooded() {
    let scenario = Scenario {
        returns_at_s: WARM_UP_S,
        ..Scenario::new(74, 600, 1.0)
    };
    let perfect = simulate(scenario, Chooser::Perfect);
    let even = simulate(scenario, Chooser::Even);
    for (even, perfect) in even.first.iter().zip(&perfect.first) {
        assert!(
            *even <= perfect.max(1.0) * 1.3,
            "{even:.3}, {perfect:.3} with known loads"
        );
    }
}

/// Guards against a report of wrong times that hides a server from all requests for minutes.
#[test]
fn a_wrong_report_does_not_hide_a_server() {
    let mut speed = Speed::default();
    let century = Duration::from_secs(100 * 365 * 86_400);
    speed.merge(ms(0), century, ms(0));
    assert!((speed.slowness(ms(0)) - 1.0).abs() < 1e-9);
    speed.merge(ms(0), century, ms(100_000));
    for _ in 0..600 {
        speed.merge(ms(0), ms(1_000), ms(1_000));
    }
    assert!(speed.slowness(ms(0)) < 1.2, "{}", speed.slowness(ms(0)));
}

/// Guards against a chosen candidate that is not the best when no request can have arrived meanwhile.
#[test]
fn the_lowest_score_is_chosen_without_other_hosts() {
    let outlook = Estimate::default().outlook(&"lm".into(), ms(500));
    for draw in 0..50 {
        let draw = mix(draw, 1);
        let candidates = [(80.0, 5.0), (79.9, 5.0), (300.0, 5.0)];
        assert_eq!(outlook.pick(&candidates, draw), Some(1));
    }
    assert_eq!(outlook.pick(&[], 0), None);
}

/// Figures of a plain service with three servers of six slots, where a request takes 30 ms at speed 1.
#[derive(Debug, Default)]
struct PlainFigures {
    requests: usize,
    /// Requests at a server with 24 waiting ones.
    refused: usize,
    /// Requests that wait for longer than an objective of 150 ms allows.
    late: usize,
}

fn simulate_plain(hosts: usize, slowness: [f64; 3], share: f64, chooser: Chooser) -> PlainFigures {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut host = Host::new(0);
    let keys: Vec<ServerKey> = (0..3).map(|number| desk(number).key()).collect();
    for number in 0..3 {
        host.directory.upsert(desk(number));
    }
    host.estimate = matches!(chooser, Chooser::Even).then(Estimate::default);
    let count = if matches!(chooser, Chooser::Perfect) {
        1
    } else {
        hosts
    };
    let scenario = Scenario::new(count, 200, 1.0);
    let mut world = World::new(scenario, chooser, 3);
    world.hosts = vec![host; count];
    let mut slots = [[0_u64; 6]; 3];
    let mut ends: HashMap<u64, Vec<(usize, usize, Duration, Duration)>> = HashMap::new();
    let capacity: f64 = slowness
        .iter()
        .map(|slowness| 6.0 / (30.0 * slowness))
        .sum();
    let mut figures = PlainFigures::default();
    for tick in 0..30_000 {
        for (number, server, took, expected) in ends.remove(&tick).unwrap_or_default() {
            let load = Load {
                active: 1,
                ..Load::default()
            };
            world.hosts[number].subtract(keys[server], load);
            if !took.is_zero() {
                world.hosts[number].observe(ms(tick), keys[server], took, expected);
            }
        }
        for sender in 0..count {
            if tick % 200 == world.phases[sender] {
                world.report(ms(tick), sender);
            }
        }
        if !random.random_bool(share * capacity) {
            continue;
        }
        let number = random.random_range(0..count);
        let choice = world
            .site
            .place_plain(ms(tick), &world.hosts[number], mix(tick, 5));
        let server = keys
            .iter()
            .position(|key| *key == choice.server)
            .expect("known");
        world.hosts[number].send(choice.server, choice.load);
        figures.requests += 1;
        let slot = slots[server].iter_mut().min().expect("six slots");
        let begins = (*slot).max(tick);
        let wait = begins - tick;
        let (ends_at, took) = if wait as f64 > 24.0 / 6.0 * 30.0 * slowness[server] {
            figures.refused += 1;
            (tick + 1, Duration::ZERO)
        } else {
            *slot = begins + (random.random_range(20.0..40.0) * slowness[server]) as u64;
            (*slot, ms(*slot - tick + 5))
        };
        figures.late += usize::from(ends_at - tick > 150);
        ends.entry(ends_at)
            .or_default()
            .push((number, server, took, choice.expected));
    }
    figures
}

/// Guards against plain servers that refuse and delay requests in turns, because reports are older than a request lasts.
#[test]
fn plain_requests_do_not_follow_old_reports() {
    for slowness in [[1.0, 1.0, 1.0], [1.0, 1.2, 2.0]] {
        let failed = |chooser| {
            let figures = simulate_plain(74, slowness, 0.95, chooser);
            figures.refused + figures.late
        };
        let (reports, even) = (failed(Chooser::Reports), failed(Chooser::Even));
        assert!(
            even * 10 <= reports,
            "{even} with the estimate, {reports} without"
        );
    }
}

#[test]
#[ignore = "prints the figures of the design note"]
fn plain_comparison() {
    for hosts in [6, 74] {
        for slowness in [[1.0, 1.0, 1.0], [1.0, 1.2, 2.0]] {
            for share in [0.5, 0.8, 0.95] {
                for chooser in [Chooser::Perfect, Chooser::Reports, Chooser::Even] {
                    let figures = simulate_plain(hosts, slowness, share, chooser);
                    println!("{hosts} hosts, {slowness:?}, load {share}, {chooser:?}: {figures:?}");
                }
            }
        }
    }
}

#[test]
#[ignore = "prints the figures of the design note"]
fn comparison() {
    for (hosts, period_ms) in [
        (6, 200),
        (6, 1_000),
        (74, 200),
        (74, 600),
        (74, 1_000),
        (300, 200),
    ] {
        for spread in [1.0, 2.4] {
            let scenario = Scenario::new(hosts, period_ms, spread);
            for chooser in [Chooser::Perfect, Chooser::Reports, Chooser::Even] {
                let mut figures = simulate(scenario, chooser);
                println!(
                    "{hosts:>4} hosts, {period_ms:>5} ms, speeds 1 to {spread}, {chooser:?}: busiest {:.2}, worst \
                     {:.2}, wait {:.0} ms",
                    figures.mean(),
                    figures.worst(),
                    figures.wait_p99()
                );
            }
        }
    }
}
