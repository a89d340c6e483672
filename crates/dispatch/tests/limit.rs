//! Request limits that a server names for all hosts together, with simulated fleets in virtual time.

mod support;

use std::time::Duration;

use jaystand_dispatch::{
    ServerKey,
    limit::{self, Call, Limit, Rate},
    notice::Notice,
    prompt::mix,
    report::{MAX_BRIEF_RECEIVERS, PERIOD},
};
use jaystand_types::Moment;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use support::{
    engine,
    fleet::{Host, Site, exchange_reports},
    ms, prompt,
};

const ENGINES: u16 = 9;
/// Time from the first naming of a limit to the first moment at which it must hold.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Requests count from this long after their host has first got an answer that names the limit.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// The users' promise: in each window, at most this many times what the limit allows, and some requests more.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const EXCESS: f64 = 5.0;
/// Time from a request's arrival to the head of its answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Average time between two questions of a host for the cache events of an engine.
const POLL_PERIOD_MS: u64 = 600;

/// A fleet before engines of which the first one names a limit.
struct Fleet {
    hosts: Vec<Host>,
    site: Site,
    random: Pcg64Mcg,
    limited: ServerKey,
    /// When each host first got an answer that names the limit.
    told: Vec<Option<Moment>>,
    /// Heads of answers on their way: when they arrive, and the host.
    answers: Vec<(Moment, usize)>,
    /// Calls that arrived at the limited engine: when, and the host.
    arrived: Vec<(Moment, usize)>,
}

impl Fleet {
    fn new(hosts: usize, seed: u64) -> Self {
        Self {
            hosts: (0..hosts).map(|_| Host::new(ENGINES)).collect(),
            site: Site::new(24, 206_138),
            random: Pcg64Mcg::seed_from_u64(seed),
            limited: engine(0, 1).key(),
            told: vec![None; hosts],
            answers: Vec::new(),
            arrived: Vec::new(),
        }
    }

    /// Runs the fleet until a time while callers send `per_second` requests a second, and each host asks for cache
    /// events.
    fn run(
        &mut self,
        from: Moment,
        until: Moment,
        per_second: f64,
        limit: impl Fn(Moment) -> Limit,
    ) {
        let mut now = from;
        while now < until {
            if now
                .as_millis()
                .is_multiple_of(u128::from(self.report_period()))
            {
                self.report(now);
            }
            self.deliver_answers(now, limit(now));
            let mut due = per_second / 1_000.0;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.send_request(now);
                }
                due -= 1.0;
            }
            for host in 0..self.hosts.len() {
                if self.random.random_range(0..POLL_PERIOD_MS) == 0 && self.may_poll(now, host) {
                    self.arrive(now, host);
                }
            }
            now += ms(1);
        }
    }

    /// Returns the milliseconds after which all hosts have heard of all others; in large fleets each report goes to some.
    fn report_period(&self) -> u64 {
        let receivers = MAX_BRIEF_RECEIVERS;
        u64::try_from(PERIOD.as_millis() * self.hosts.len().div_ceil(receivers) as u128)
            .expect("short")
    }

    fn report(&mut self, now: Moment) {
        exchange_reports(now, &mut self.hosts);
        let ids: Vec<u64> = (0..self.hosts.len() as u64).collect();
        for (local, host) in ids.iter().zip(&mut self.hosts) {
            let others = ids.iter().copied().filter(|id| id != local).collect();
            host.directory
                .set_fleet(now, limit::Fleet::new(Some(*local), others));
        }
    }

    fn may_poll(&mut self, now: Moment, host: usize) -> bool {
        let directory = &mut self.hosts[host].directory;
        directory.take_call(now, self.limited, Call::CacheEvents)
    }

    fn send_request(&mut self, now: Moment) {
        let host = self.random.random_range(0..self.hosts.len());
        let document = format!("d-{}", self.random.random_range(0..200));
        let call = mix(self.random.random(), 1);
        let prompt = prompt(&document, 568, 1_800);
        let state = &self.hosts[host];
        let choice = self.site.place(now, state, &state.holdings, call, &prompt);
        let directory = &mut self.hosts[host].directory;
        if choice.server == self.limited && directory.take_call(now, self.limited, Call::Request) {
            self.arrive(now, host);
        }
    }

    fn arrive(&mut self, now: Moment, host: usize) {
        self.arrived.push((now, host));
        self.answers.push((now + ANSWER_TIME, host));
    }

    fn deliver_answers(&mut self, now: Moment, limit: Limit) {
        let due: Vec<(Moment, usize)> = self.answers.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, host) in due {
            let notice = Notice {
                limit,
                ..Notice::default()
            };
            self.hosts[host]
                .directory
                .observe_notice(now, self.limited, notice);
            if matches!(limit, Limit::PerSecond(_)) {
                self.told[host].get_or_insert(now);
            }
        }
    }

    /// Returns the largest number of counted arrivals in a window that ends from `from` on.
    fn most_in_a_window(&self, from: Moment) -> usize {
        let counted: Vec<Moment> = self
            .arrived
            .iter()
            .filter(|(at, host)| self.told[*host].is_some_and(|told| told + TOLD_TIME <= *at))
            .map(|(at, _)| *at)
            .collect();
        let ends = counted.iter().filter(|end| **end >= from);
        ends.map(|end| {
            let in_window = |at: &&Moment| **at <= *end && **at + WINDOW > *end;
            counted.iter().filter(in_window).count()
        })
        .max()
        .unwrap_or(0)
    }
}

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).expect("positive")
}

/// Returns the number of requests that the users allow in a window.
fn allowed(per_second: f64) -> f64 {
    FACTOR * per_second * WINDOW.as_secs_f64() + EXCESS
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("small"))
}

/// Guards against hosts that each keep to a limit by themselves, or not at all, while the server gets the requests and
/// cache questions of all of them (issue 28).
#[test]
fn a_limit_holds_for_the_calls_of_all_hosts_together() {
    for (hosts, per_second, limit) in [
        (6, 70.0, 1.0),
        (6, 70.0, 2.1),
        (60, 400.0, 1.3),
        (300, 1_000.0, 1.3),
    ] {
        let mut fleet = Fleet::new(hosts, 28);
        let named = Limit::PerSecond(rate(limit));
        fleet.run(Moment::ZERO, ms(1_000), per_second, |_| Limit::None);
        fleet.run(ms(1_000), ms(12_000), per_second, |_| named);
        let most = fleet.most_in_a_window(ms(1_000) + NOTICE_TIME);
        assert!(
            to_f64(most) <= allowed(limit),
            "{most} calls of {hosts} hosts in 4 s at a limit of {limit} a second"
        );
    }
}
