//! Team rate limits that all hosts keep together, with simulated fleets in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use jaystand_dispatch::{
    quota::{Book, Entry, Limit, Sender, Unit, team_key},
    report::{MAX_BRIEF_RECEIVERS, MAX_WHOLE_RECEIVERS, PERIOD},
};
use jaystand_types::Moment;
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_pcg::Pcg64Mcg;

/// The users' rule: the sum in each window is at most (rate x window + burst) x (1 + excess) + slack.
const WINDOW: Duration = Duration::from_secs(8);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 140_000.0;
/// Usual demand of a team as a part of its limit.
const USUAL: f64 = 1.0 / 1.8;
/// Demand of a team that sends ten times of what it usually does.
const HOT: f64 = USUAL * 10.0;
/// Part of the limit that must be usable.
const USABLE: f64 = 0.95;
/// Part of the limit that must be usable in the first 12 s after a fleet was divided.
const USABLE_DIVIDED: f64 = 0.85;
/// Time after the start until a fleet counts as settled.
const SETTLED: Duration = Duration::from_secs(4);

const TEAM: &str = "schools";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn tokens(per_second: f64) -> Limit {
    Limit::new(per_second, None, Unit::Tokens, 200).expect("a limit")
}

/// A report on its way.
struct Delivery {
    from: usize,
    to: usize,
    sender: Sender,
    entries: Vec<Entry>,
}

/// A fleet whose hosts report to each other while callers send requests.
struct Fleet {
    books: Vec<Book<usize>>,
    incarnations: Vec<u64>,
    /// Hosts with different numbers cannot hear each other.
    sides: Vec<usize>,
    suspended_until: Vec<Moment>,
    limit: Limit,
    random: Pcg64Mcg,
    now: Moment,
    next_reports: BinaryHeap<Reverse<(Moment, usize)>>,
    deliveries: Vec<Option<Delivery>>,
    on_their_way: BinaryHeap<Reverse<(Moment, usize)>>,
    latency: Duration,
    loss: f64,
    asked: f64,
    admitted: Vec<(Moment, f64)>,
}

/// Where callers send a team's requests.
#[derive(Clone, Copy)]
enum To {
    All,
    Only(usize),
}

impl Fleet {
    fn new(hosts: usize, limit: Limit, seed: u64) -> Self {
        let mut fleet = Self {
            books: Vec::new(),
            incarnations: vec![0; hosts],
            sides: vec![0; hosts],
            suspended_until: vec![Moment::ZERO; hosts],
            limit,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Moment::ZERO,
            next_reports: BinaryHeap::new(),
            deliveries: Vec::new(),
            on_their_way: BinaryHeap::new(),
            latency: ms(10),
            loss: 0.0,
            asked: 0.0,
            admitted: Vec::new(),
        };
        for host in 0..hosts {
            fleet.books.push(Book::new(fleet.now, true));
            fleet.start(host);
            let phase = fleet.random.random_range(0..200);
            fleet.next_reports.push(Reverse((ms(phase), host)));
        }
        fleet
    }

    /// Starts the process of a host anew.
    fn start(&mut self, host: usize) {
        let expects_hosts = self.incarnations.len() > 1;
        self.incarnations[host] += 1;
        self.books[host] = Book::new(self.now, expects_hosts);
        self.books[host].set_limits(self.now, [(TEAM.into(), self.limit)]);
    }

    fn set_limit(&mut self, limit: Limit, is_told: impl Fn(usize) -> bool) {
        self.limit = limit;
        for host in (0..self.books.len()).filter(|host| is_told(*host)) {
            self.books[host].set_limits(self.now, [(TEAM.into(), limit)]);
        }
    }

    /// Runs the fleet for a time while callers ask for `demand` tokens a second.
    fn run(&mut self, time: Duration, demand: f64, to: To) {
        let until = self.now + time;
        while self.now < until {
            self.deliver();
            self.report();
            let mut due = demand / 1_000.0 / MEAN_COST;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.ask(to);
                }
                due -= 1.0;
            }
            self.now += ms(1);
        }
    }

    fn is_suspended(&self, host: usize) -> bool {
        self.now < self.suspended_until[host]
    }

    fn ask(&mut self, to: To) {
        let host = match to {
            To::All => self.random.random_range(0..self.books.len()),
            To::Only(host) => host,
        };
        if self.is_suspended(host) {
            return;
        }
        let cost = COSTS[self.random.random_range(0..COSTS.len())];
        self.asked += to_f64(cost);
        let admitted = self.books[host].admit(self.now, team_key(TEAM), Some(cost));
        if admitted.is_ok() {
            self.admitted.push((self.now, to_f64(cost)));
            if self.books[host].is_urgent(team_key(TEAM)) {
                self.send(host, usize::MAX);
            }
        }
    }

    fn report(&mut self) {
        while let Some(Reverse((at, host))) = self.next_reports.peek().copied() {
            if at > self.now {
                return;
            }
            self.next_reports.pop();
            self.next_reports.push(Reverse((at + PERIOD, host)));
            if !self.is_suspended(host) {
                self.send(host, MAX_BRIEF_RECEIVERS + MAX_WHOLE_RECEIVERS);
            }
        }
    }

    /// Sends a report to some random other hosts.
    fn send(&mut self, from: usize, receivers: usize) {
        let entries = self.books[from].compose(self.now);
        for entry in &entries {
            self.books[from].record_sent(entry);
        }
        let sender = Sender {
            incarnation: self.incarnations[from],
            stopping: false,
            hosts: self.books[from].host_count(),
        };
        let mut others: Vec<usize> = (0..self.books.len()).filter(|to| *to != from).collect();
        others.shuffle(&mut self.random);
        for to in others.into_iter().take(receivers) {
            let lost = self.loss > 0.0 && self.random.random_bool(self.loss);
            if lost || self.sides[from] != self.sides[to] {
                continue;
            }
            let arrives = self.now + self.latency.mul_f64(self.random.random_range(0.5..1.5));
            self.on_their_way
                .push(Reverse((arrives, self.deliveries.len())));
            self.deliveries.push(Some(Delivery {
                from,
                to,
                sender,
                entries: entries.clone(),
            }));
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.on_their_way.peek().copied() {
            if at > self.now {
                return;
            }
            self.on_their_way.pop();
            let Some(delivery) = self.deliveries[number].take() else {
                continue;
            };
            // A suspended host reads later what has arrived meanwhile.
            let resumes = self.suspended_until[delivery.to];
            if self.now < resumes {
                self.deliveries[number] = Some(delivery);
                self.on_their_way.push(Reverse((resumes, number)));
                continue;
            }
            self.books[delivery.to].record(
                self.now,
                &delivery.from,
                delivery.sender,
                delivery.entries,
            );
        }
    }

    /// Returns the sum of what was admitted in a time.
    fn admitted(&self, from: Moment, until: Moment) -> f64 {
        let inside = |(at, _): &&(Moment, f64)| (from..until).contains(at);
        self.admitted.iter().filter(inside).map(|a| a.1).sum()
    }

    /// Returns the largest excess over the token bucket in any window that begins at a time or later.
    fn worst_excess(&self, from: Moment, limit: Limit) -> f64 {
        let allowed = limit.per_second() * (WINDOW.as_secs_f64() + 1.0);
        let admitted = self.admitted.iter().filter(|(at, _)| *at >= from);
        let mut window = VecDeque::new();
        let (mut sum, mut worst) = (0.0, f64::MIN);
        for (at, cost) in admitted.copied() {
            window.push_back((at, cost));
            sum += cost;
            while window
                .front()
                .is_some_and(|(first, _)| *first + WINDOW <= at)
            {
                sum -= window.pop_front().map_or(0.0, |(_, cost)| cost);
            }
            worst = f64::max(worst, sum - allowed);
        }
        worst
    }

    /// Runs the fleet at a demand, and returns how much of it is served, or else of the limit if that is less.
    fn served(&mut self, demand: f64, to: To) -> f64 {
        let rate = self.limit.per_second();
        let (asked, from) = (self.asked, self.now);
        self.run(secs(20), rate * demand, to);
        self.admitted(from, self.now) / (self.asked - asked).min(rate * 20.0)
    }

    /// Asserts that the limit can be used while a team asks for much more.
    fn assert_used(&mut self, what: &str) {
        let rate = self.limit.per_second();
        self.run(SETTLED, rate * HOT, To::All);
        let from = self.now;
        self.run(secs(20), rate * HOT, To::All);
        let used = self.admitted(from, self.now) / rate / 20.0;
        println!("{what}: used {used:.3} of the limit");
        assert!(used > USABLE, "{what}: {used}");
    }

    /// Asserts the rule for all windows that begin at a time or later.
    fn assert_rule(&self, what: &str, from: Moment, limit: Limit) {
        let excess = self.worst_excess(from, limit);
        let allowed = limit.per_second() * (WINDOW.as_secs_f64() + 1.0) * EXCESS + SLACK;
        println!(
            "{what}: excess {excess:.0} of {allowed:.0} ({:.2})",
            excess / allowed
        );
        assert!(excess <= allowed, "{what}: {excess:.0} of {allowed:.0}");
    }
}

/// Costs of requests, which occur equally often: small ones, and some of a long prompt.
const COSTS: [u64; 10] = [
    2_400, 2_400, 2_400, 2_400, 2_400, 2_400, 2_400, 2_400, 12_000, 30_000,
];
const MEAN_COST: f64 = 6_120.0;

#[allow(clippy::cast_precision_loss, reason = "costs are small")]
fn to_f64(cost: u64) -> f64 {
    cost as f64
}

/// Rates in tokens a second, from the smallest to the largest of the users' deployments.
const RATES: [f64; 3] = [100_000.0, 500_000.0, 2_000_000.0];

/// Runs a fleet at the usual demand and then at ten times of it, and checks what it admits.
fn check_fleet(hosts: usize, rate: f64, seed: u64) {
    let what = format!("{hosts} hosts, {rate} tokens/s");
    let limit = tokens(rate);
    let mut fleet = Fleet::new(hosts, limit, seed);
    fleet.run(SETTLED, rate * USUAL, To::All);
    let served = fleet.served(USUAL, To::All);
    println!("{what}: usual demand served {served:.4}");
    assert!(served > 0.98, "{what}: {served}");
    fleet.assert_used(&what);
    fleet.assert_rule(&what, Moment::ZERO, limit);
}

/// Guards against teams within their limit being refused, and against teams over it getting more or much less than the
/// limit, in fleets of all sizes.
#[test]
fn the_limit_holds_and_can_be_used_in_fleets_of_all_sizes() {
    for hosts in [1, 6, 63, 74] {
        for rate in RATES {
            check_fleet(hosts, rate, 1);
        }
    }
}

/// Guards against the same in a fleet whose hosts hear each other about once a second only.
#[test]
fn a_small_limit_holds_in_a_large_fleet() {
    check_fleet(300, RATES[0], 1);
}

/// Guards against the same for a team with many requests.
#[test]
fn a_large_limit_holds_in_a_large_fleet() {
    check_fleet(300, RATES[2], 1);
}

/// Guards against dividing the limit evenly: all of it must be usable at one host, and soon after the demand moves.
#[test]
fn the_limit_can_be_used_at_one_host() {
    for rate in RATES {
        let what = format!("one host of 74, {rate} tokens/s");
        let limit = tokens(rate);
        let mut fleet = Fleet::new(74, limit, 2);
        fleet.run(SETTLED, rate * USUAL, To::All);
        fleet.run(SETTLED, rate, To::Only(3));
        for demand in [USUAL, 1.0, 4.0] {
            let served = fleet.served(demand, To::Only(3));
            println!("{what}, demand {demand:.2}: served {served:.3}");
            assert!(served > USABLE, "{what}, demand {demand}: {served}");
        }
        fleet.assert_rule(&what, Moment::ZERO, limit);
    }
}

/// Returns a fleet of 74 hosts that has served a team at a demand, which is a part of its limit.
fn settled_fleet(rate: f64, demand: f64, seed: u64) -> (Fleet, Limit) {
    let limit = tokens(rate);
    let mut fleet = Fleet::new(74, limit, seed);
    fleet.run(SETTLED + SETTLED, rate * demand, To::All);
    (fleet, limit)
}

/// Guards against each part of a divided fleet allowing the whole limit, during a hot team and one that becomes hot when
/// the fleet is divided, and against a part of the limit being lost after the fleet is whole again.
#[test]
fn a_fleet_in_three_parts_keeps_the_limit() {
    for rate in RATES {
        for before in [USUAL, HOT] {
            let what = format!("three parts, {rate} tokens/s, before {before:.2}");
            let (mut fleet, limit) = settled_fleet(rate, before, 3);
            for (host, side) in fleet.sides.iter_mut().enumerate() {
                *side = host % 3;
            }
            let from = fleet.now;
            fleet.run(secs(12), rate * HOT, To::All);
            // The refill of about a second is held back until the hosts know that the fleet is divided.
            let used = fleet.admitted(from, fleet.now) / rate / 12.0;
            println!("{what}: used {used:.3} of the limit");
            assert!(used > USABLE_DIVIDED, "{what}: {used}");
            fleet.sides.fill(0);
            fleet.assert_used(&what);
            fleet.assert_rule(&what, Moment::ZERO, limit);
        }
    }
}

/// Guards against a full bucket at each process when all hosts start again, and against a fleet that refuses a team for
/// long after that.
#[test]
fn the_limit_holds_when_all_hosts_start_again() {
    for rate in [RATES[0], RATES[2]] {
        for before in [USUAL, HOT] {
            let what = format!("all start, {rate} tokens/s, before {before:.2}");
            let (mut fleet, limit) = settled_fleet(rate, before, 4);
            for _ in 0..2 {
                for host in 0..fleet.books.len() {
                    fleet.start(host);
                }
                fleet.run(secs(5), rate * HOT, To::All);
            }
            fleet.assert_used(&what);
            fleet.assert_rule(&what, Moment::ZERO, limit);
        }
    }
}

/// Guards against a host that refuses all requests of a hot team after it has started anew among others.
#[test]
fn a_host_that_starts_anew_gets_its_share_of_a_hot_team() {
    let rate = RATES[2];
    let (mut fleet, limit) = settled_fleet(rate, HOT, 5);
    for host in 0..10 {
        fleet.start(host);
    }
    fleet.run(secs(8), rate * HOT, To::All);
    let started: f64 = (0..10).map(|host| level(&mut fleet, host)).sum();
    let others: f64 = (10..20).map(|host| level(&mut fleet, host)).sum();
    println!("levels: {started:.0} at started hosts, {others:.0} at others");
    assert!(started > others / 2.0, "{started:.0}, {others:.0}");
    fleet.assert_rule("some start", Moment::ZERO, limit);
}

fn level(fleet: &mut Fleet, host: usize) -> f64 {
    let now = fleet.now;
    let mut statuses = fleet.books[host].statuses(now);
    statuses.next().map_or(f64::NAN, |status| status.level)
}

/// Guards against hosts that were suspended, and then read old reports, spending what the others have spent meanwhile.
#[test]
fn hosts_that_were_suspended_do_not_spend_twice() {
    for rate in [RATES[0], RATES[2]] {
        for before in [USUAL, HOT] {
            let what = format!("suspended, {rate} tokens/s, before {before:.2}");
            let (mut fleet, limit) = settled_fleet(rate, before, 6);
            for suspended in fleet.suspended_until.iter_mut().take(40) {
                *suspended = fleet.now + secs(5);
            }
            fleet.run(secs(5), rate * before, To::All);
            fleet.run(secs(12), rate * HOT, To::All);
            fleet.assert_used(&what);
            fleet.assert_rule(&what, Moment::ZERO, limit);
        }
    }
}

/// Guards against a lower limit that the part of the fleet which learned of it late does not keep, or that blocks the
/// team because the other part has spent more meanwhile.
#[test]
fn a_lower_limit_holds_one_window_after_all_hosts_know_it() {
    for rate in [RATES[1], RATES[2]] {
        let what = format!("lowered, {rate} tokens/s");
        let (mut fleet, former) = settled_fleet(rate, HOT, 7);
        for (host, side) in fleet.sides.iter_mut().enumerate() {
            *side = host % 3;
        }
        fleet.run(secs(3), rate * HOT, To::All);
        let limit = tokens(rate / 10.0);
        fleet.set_limit(limit, |host| host % 3 == 0);
        fleet.run(secs(10), rate * HOT, To::All);
        fleet.set_limit(limit, |host| host % 3 != 0);
        let known = fleet.now;
        fleet.run(secs(6), rate * HOT, To::All);
        fleet.sides.fill(0);
        fleet.run(secs(4), rate * HOT, To::All);
        fleet.assert_used(&what);
        fleet.assert_rule(&what, Moment::ZERO, former);
        fleet.assert_rule(&what, known + WINDOW, limit);
    }
}

/// Guards against hosts that lose the limit, or a part of it, when many reports are lost.
#[test]
fn the_limit_holds_when_reports_are_lost() {
    for rate in [RATES[0], RATES[2]] {
        let what = format!("lossy, {rate} tokens/s");
        let limit = tokens(rate);
        let mut fleet = Fleet::new(74, limit, 8);
        fleet.loss = 0.3;
        fleet.run(SETTLED + SETTLED, rate * USUAL, To::All);
        fleet.assert_used(&what);
        fleet.assert_rule(&what, Moment::ZERO, limit);
    }
}

/// Guards against a host that is cut off taking more than its part, and against the others losing theirs for long.
#[test]
fn a_host_that_is_cut_off_keeps_its_part_only() {
    let rate = RATES[2];
    let (mut fleet, limit) = settled_fleet(rate, USUAL, 9);
    fleet.sides[5] = 1;
    let from = fleet.now;
    fleet.run(secs(20), rate * HOT, To::Only(5));
    let used = fleet.admitted(from + secs(2), fleet.now) / rate / 18.0;
    println!("used {used:.4} of the limit by one host of 74");
    assert!(used < 2.0 / 74.0, "{used}");
    fleet.sides[5] = 0;
    fleet.run(SETTLED, rate * USUAL, To::All);
    let served = fleet.served(USUAL, To::All);
    assert!(served > 0.98, "{served}");
    fleet.assert_rule("cut off", Moment::ZERO, limit);
}

/// Guards against retry times that are too early, and against requests that have not run being charged here or at other
/// hosts.
#[test]
fn a_refusal_states_when_to_return_and_a_charge_is_given_back() {
    let mut fleet = Fleet::new(2, tokens(100_000.0), 10);
    fleet.run(SETTLED, 0.0, To::All);
    let (team, now) = (team_key(TEAM), fleet.now);
    let charge = fleet.books[0].admit(now, team, Some(300_000));
    let charge = charge.expect("admitted").expect("a limit");
    let refusal = fleet.books[0].admit(now, team, None).expect_err("refused");
    // 200,000 in debt; half of the burst is there after 2.5 s.
    assert!(
        (ms(2_490)..ms(3_150)).contains(&refusal.wait),
        "{refusal:?}"
    );
    fleet.run(ms(500), 0.0, To::All);
    let now = fleet.now;
    fleet.books[1].admit(now, team, None).expect_err("refused");
    fleet.books[0].give_back(now, charge);
    fleet.books[0].admit(now, team, None).expect("admitted");
    fleet.run(ms(500), 0.0, To::All);
    let now = fleet.now;
    fleet.books[1].admit(now, team, None).expect("admitted");
    let unlimited = fleet.books[0].admit(now, team_key("other"), None);
    assert!(matches!(unlimited, Ok(None)));
}
