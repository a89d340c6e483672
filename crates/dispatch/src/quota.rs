//! Team rate limits, which all hosts keep together without asking each other per request.
//!
//! Each host estimates the team's token bucket of the whole fleet: it refills at the limit and is charged with this
//! host's admissions, and with those that other hosts report. Between two reports of a host its charges are predicted
//! from its recent rate. While the bucket is less than half full, each host also admits only its share of the refill,
//! since all hosts that see the last tokens would spend them at once. `docs/design/team-limits.md` derives the bound.

use std::{hash::Hash, time::Duration};

use hashbrown::HashMap;
use jaystand_types::{Incarnation, Moment, TeamId};

use crate::{prompt, report};

/// Identity of a team in reports, which is equal on all hosts.
pub type TeamKey = u64;

/// Time constant of the averages of demand and of other hosts' charges.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Reports name a team for this long after its last request at this host.
const REPORTED_FOR: Duration = Duration::from_secs(2);
/// Reports state no demand of a team this long after its last request. The reports from then on are enough to be heard
/// by all hosts of a fleet of up to 73 even if some are lost.
const DEMAND_ENDS_AFTER: Duration = Duration::from_millis(1_500);
/// Maximum number of teams in a report. An entry has about 20 bytes, and a report must stay below 8,192.
const MAX_ENTRIES: usize = 64;
/// A charge of more than the burst divided by this since the last report is reported at once.
const NEWS_DIVISOR: f64 = 8.0;

/// A process, or one that was suspended, spends only a small fixed share for this long: by then it has got reports of
/// all hosts that it can hear.
const START_TIME: Duration = Duration::from_secs(1);
/// Fewest hosts among which the limit counts as divided during `START_TIME`. When all hosts start at once, none knows
/// how many they are; the deployments with limits have 59 and 74 hosts.
const MIN_START_HOSTS: u32 = 64;
/// Without a call for this long the process was suspended: hosts report five times a second.
const MAX_GAP: Duration = Duration::from_secs(1);
/// A host counts as silent after this many expected intervals between its reports. A report is then lost by chance on a
/// link that loses 30 % in 1 of 400 cases.
const SILENT_AFTER_INTERVALS: u32 = 5;
/// Reports of a host are late this long after their period, and after this many expected intervals more in large fleets,
/// in which the intervals vary.
const LATE_AFTER: Duration = Duration::from_millis(100);
const LATE_AFTER_INTERVALS: f64 = 2.5;
/// If the reports of more than this part of the hosts are late, the fleet may have been divided. Of a fleet whose
/// links lose 30 % of the reports, about a fifth is late at any time.
const MAX_LATE_PART: f64 = 1.0 / 3.0;
/// A silent host that did not announce its stop keeps its part of the limit for this long: it may be cut off and
/// running.
const RETENTION: Duration = Duration::from_secs(15 * 60);

/// Part of the burst that is spent without pacing when reports are at most one period old.
const FREE_PART: f64 = 0.7;
/// Level, as a part of the burst, at which hosts that are paced admit just the refill.
const PACED_LEVEL: f64 = 0.25;
/// The paced rate rises from 0 to twice the limit over at least the refill of this many expected report ages. A steeper
/// rise would make the level swing, because hosts see its changes late.
const PACE_AGES: f64 = 2.5;
/// Largest paced rate as a multiple of the limit.
const MAX_PACE: f64 = 2.0;
/// Refill of its share that a host's pacer saves up.
const PACER_SAVED: Duration = Duration::from_millis(200);
/// A host with little demand is paced as if it had the average demand of a host divided by this.
const SHARE_FLOOR_DIVISOR: f64 = 2.0;
/// Debt older than this is dropped: the rule sums over windows of 8 s.
const DEBT_TIME: Duration = Duration::from_secs(10);
/// Charges of other hosts lower the level at most to minus the burst and the refill of this time. Reports that arrive
/// after a long interruption must not block a team for long.
const REPORTED_DEBT_TIME: Duration = Duration::from_secs(2);
/// Time constant with which hosts' estimates of a level approach each other. Otherwise a host that started with an
/// empty bucket would refuse a team for as long as the team's demand exceeds its limit.
const CONSENSUS_TIME: Duration = Duration::from_secs(2);

/// Callers who were refused should return when the bucket is expected to be filled to this part.
const FULL_ENOUGH: f64 = 0.5;
/// Largest lengthening of a retry time, so that callers who were refused together do not return together.
const RETRY_JITTER: f64 = 0.25;
/// Interval between statements of how much of a team's demand was refused.
const TALLY_PERIOD: Duration = Duration::from_secs(1);

jaystand_types::common! { value
    /// What a limit counts.
    pub enum Unit {
        /// Each request counts 1.
        Requests,
        /// A request counts its tokens.
        Tokens,
    }
}

jaystand_types::common! { data
    /// The rate limit of a team over all hosts together.
    #[derive(Copy)]
    pub struct Limit {
        /// Units a second.
        per_second: f64,
        /// Units that a team that was idle may use at once.
        burst: f64,
        /// What is counted.
        unit: Unit,
        /// Cost of a request that does not state its tokens.
        plain: u32,
    }

    /// What a host reports of a team's account.
    #[derive(Copy)]
    pub struct Entry {
        /// The team.
        pub team: TeamKey,
        /// Units that the host has charged since its process started, refunds subtracted.
        pub charged: i64,
        /// Units a second that the team recently asked for at the host.
        pub demand: f64,
        /// The host's estimate of the level, as a part of the burst; `None` while the host has just started.
        pub level: Option<f64>,
    }

    /// What a host reports about itself with its entries.
    #[derive(Copy)]
    pub struct Sender {
        /// The run of its process.
        pub incarnation: Incarnation,
        /// Whether it was asked to stop.
        pub stopping: bool,
        /// Number of hosts that it knows, itself included; 0 if it does not say.
        pub hosts: u32,
    }

    /// A request that is refused because its team is over its limit.
    pub struct Refusal {
        /// Cost of the request.
        pub cost: u64,
        /// Time until the bucket is expected to be half full.
        pub wait: Duration,
        /// What was refused since the last tally, at most once a second.
        pub tally: Option<Tally>,
    }

    /// Requests of a team that were refused.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Their number.
        pub requests: u64,
        /// Their cost.
        pub cost: u64,
    }

    /// The state of a team's account.
    pub struct Status {
        /// The team.
        pub team: TeamId,
        /// Estimated level of the fleet's bucket; negative while the team is in debt.
        pub level: f64,
        /// This host's share of the paced refill, between 0 and 1.
        pub share: f64,
    }
}

/// What was charged for a request. It is given back if the request has not run.
#[derive(Debug)]
#[must_use]
pub struct Charge {
    team: TeamKey,
    cost: u64,
    paced: bool,
    urgent: bool,
}

/// The accounts of all teams with a limit, and the hosts that share the limits.
#[derive(Clone, Debug)]
pub struct Book<H> {
    hosts: HashMap<H, Host>,
    accounts: HashMap<TeamKey, Account<H>>,
    fleet: Fleet,
    /// Whether other hosts are expected, so that this one does not take the whole limit before it has heard any.
    expects_hosts: bool,
    started: Moment,
    ticked: Moment,
}

/// What is known of another host.
#[derive(Clone, Copy, Debug)]
struct Host {
    incarnation: Incarnation,
    since: Moment,
    heard: Moment,
    stopping: bool,
    /// Number of hosts that it knows.
    hosts: u32,
}

/// The fleet as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fleet {
    /// Hosts that may run, this one included.
    known: f64,
    /// Hosts of them that were heard recently, this one included.
    live: f64,
    /// Hosts of them whose reports are not late, this one included.
    fresh: f64,
    /// Expected age of the oldest charges that are not yet reported.
    age: Duration,
    /// Whether this host has just started or was suspended.
    starting: bool,
    /// End of the start.
    starts_until: Moment,
}

/// A host's estimate of the fleet's token bucket of one team.
#[derive(Clone, Debug)]
pub struct Account<H> {
    team: TeamId,
    /// `None` after the team's limit was removed. The charges are kept: other hosts would take a new count for a refund.
    limit: Option<Limit>,
    level: f64,
    /// Permitted units of this host while the level is low.
    pacer: f64,
    updated: Moment,
    charged: i64,
    reported: i64,
    /// Average demand at this host at `demand_at`, in units a second.
    demand: f64,
    demand_at: Moment,
    last_request: Option<Moment>,
    peers: HashMap<H, Peer>,
    /// Sum of the demands of the other hosts.
    peer_demand: f64,
    /// Sum of the predicted rates of the other hosts.
    peer_rate: f64,
    /// Integral over time of the part of the predicted rates that is charged.
    predicted_time: f64,
    refused: Tally,
    tallied: Option<Moment>,
}

/// What another host has reported of a team.
#[derive(Clone, Copy, Debug)]
struct Peer {
    charged: i64,
    demand: f64,
    /// Predicted units a second.
    rate: f64,
    /// When it was reported, by time and by `Account::predicted_time`.
    at: Moment,
    mark: f64,
    /// Predicted charges since the report that are charged already.
    assumed: f64,
    /// Whether the host was silent since. What it has charged then belongs to its own part of the limit.
    was_silent: bool,
}

/// Returns the identity of a team in reports.
#[must_use]
pub fn team_key(team: &str) -> TeamKey {
    prompt::hash(team.as_bytes())
}

impl Charge {
    /// Returns the cost of the request.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns whether other hosts should learn of the team's charges at once.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }
}

impl Limit {
    /// Creates a limit, unless the rate is no positive number. Without a burst, the burst is the refill of a second.
    #[must_use]
    pub fn new(per_second: f64, burst: Option<f64>, unit: Unit, plain: u32) -> Option<Self> {
        let burst = burst.filter(|burst| burst.is_finite());
        (per_second.is_finite() && per_second > 0.0).then_some(Self {
            per_second,
            // A bucket without room would refuse every request.
            burst: burst.unwrap_or(per_second).max(1.0),
            unit,
            plain,
        })
    }

    /// Returns the cost of a request that states this number of tokens.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(u64::from(self.plain)),
        }
    }

    /// Returns the units a second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the units that a team that was idle may use at once.
    #[must_use]
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns what the limit counts.
    #[must_use]
    pub fn unit(&self) -> Unit {
        self.unit
    }

    /// Returns the refill of a time.
    fn refill(&self, time: Duration) -> f64 {
        self.per_second * time.as_secs_f64()
    }
}

impl Fleet {
    /// Returns the part of the limit that the live hosts may use.
    fn part(&self) -> f64 {
        self.live / self.known
    }

    /// Returns the units a second that the live hosts may use, or this host while it starts.
    fn rate(&self, limit: &Limit) -> f64 {
        if self.starting {
            limit.per_second / self.known.max(f64::from(MIN_START_HOSTS))
        } else {
            limit.per_second * self.part() * (1.0 - self.late_part())
        }
    }

    fn burst(&self, limit: &Limit) -> f64 {
        limit.burst * self.part()
    }

    /// Returns the part of the burst that hosts whose reports are late may be spending, until they count as silent.
    fn reserve(&self, limit: &Limit) -> f64 {
        self.burst(limit) * self.late_part()
    }

    /// Returns the part of the live hosts whose reports are late, if the fleet may have been divided.
    fn late_part(&self) -> f64 {
        let late = 1.0 - self.fresh / self.live;
        if late > MAX_LATE_PART { late } else { 0.0 }
    }

    /// Returns the time after which the report of a host is late.
    fn late_after(&self) -> Duration {
        let beyond = self.age.saturating_sub(report::PERIOD);
        report::PERIOD + LATE_AFTER + beyond.mul_f64(LATE_AFTER_INTERVALS)
    }

    /// Returns the time after which a host that was not heard counts as silent.
    fn silent_after(&self) -> Duration {
        self.age * SILENT_AFTER_INTERVALS
    }
}

impl<H: Hash + Eq + Clone> Book<H> {
    /// Creates a book for a process that starts. `expects_hosts` states whether the fleet has other hosts.
    #[must_use]
    pub fn new(now: Moment, expects_hosts: bool) -> Self {
        Self {
            hosts: HashMap::new(),
            accounts: HashMap::new(),
            fleet: Fleet {
                known: 1.0,
                live: 1.0,
                fresh: 1.0,
                age: report::PERIOD,
                starting: true,
                starts_until: now + START_TIME,
            },
            expects_hosts,
            started: now,
            ticked: now,
        }
    }

    /// Puts limits in force. A lower burst caps the level at once. Teams that are not named have no limit any more.
    pub fn set_limits(&mut self, now: Moment, limits: impl IntoIterator<Item = (TeamId, Limit)>) {
        self.tick(now);
        for account in self.accounts.values_mut() {
            account.refill(now, &self.fleet);
            account.limit = None;
        }
        for (team, limit) in limits {
            let account = self
                .accounts
                .entry(team_key(&team))
                .or_insert_with(|| Account::new(team, now));
            account.limit = Some(limit);
            account.level = account.level.min(self.fleet.burst(&limit));
        }
    }

    /// Returns whether a team has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.accounts
            .values()
            .any(|account| account.limit.is_some())
    }

    /// Charges a request that states this number of tokens, or refuses it. Returns `None` if the team has no limit.
    ///
    /// # Errors
    /// Fails if the team is over its limit.
    pub fn admit(
        &mut self,
        now: Moment,
        team: TeamKey,
        tokens: Option<u64>,
    ) -> Result<Option<Charge>, Refusal> {
        // After a suspension the accounts must not be used as they are.
        if now.saturating_sub(self.ticked) > report::PERIOD * 2 {
            self.tick(now);
        }
        let Some(account) = self.accounts.get_mut(&team) else {
            return Ok(None);
        };
        let Some(limit) = account.limit else {
            return Ok(None);
        };
        let cost = limit.cost(tokens);
        let charged = account.admit(now, &self.fleet, &limit, cost);
        charged.map(|paced| {
            Some(Charge {
                team,
                cost,
                paced,
                urgent: account.is_urgent(),
            })
        })
    }

    /// Returns whether the team's charges since the last report should be reported at once.
    #[must_use]
    pub fn is_urgent(&self, team: TeamKey) -> bool {
        self.accounts.get(&team).is_some_and(Account::is_urgent)
    }

    /// Gives back the charge for a request that has not run.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "a charge can be given back only once"
    )]
    pub fn give_back(&mut self, now: Moment, charge: Charge) {
        let Charge {
            team, cost, paced, ..
        } = charge;
        let Some(account) = self.accounts.get_mut(&team) else {
            return;
        };
        account.refill(now, &self.fleet);
        account.charged -= signed(cost);
        account.level += units(cost);
        if paced {
            account.pacer += units(cost);
        }
        if let Some(limit) = &account.limit {
            account.level = account.level.min(self.fleet.burst(limit));
        }
    }

    /// Returns the entries of a report: the teams that recently sent requests to this host, most recent first.
    pub fn compose(&mut self, now: Moment) -> Vec<Entry> {
        self.tick(now);
        let fleet = &self.fleet;
        let mut entries: Vec<(Moment, Entry)> = self
            .accounts
            .iter()
            .filter_map(|(key, account)| account.compose(now, fleet, *key))
            .collect();
        entries.sort_unstable_by_key(|(last, _)| std::cmp::Reverse(*last));
        entries.truncate(MAX_ENTRIES);
        entries.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Records that an entry was sent to other hosts.
    pub fn record_sent(&mut self, entry: &Entry) {
        if let Some(account) = self.accounts.get_mut(&entry.team) {
            account.reported = entry.charged;
        }
    }

    /// Returns the number of hosts that may run as this host knows them itself, for reports.
    #[must_use]
    pub fn host_count(&self) -> u32 {
        u32::try_from(self.members().count()).unwrap_or(u32::MAX - 1) + 1
    }

    /// Records the report of another host.
    pub fn record(
        &mut self,
        now: Moment,
        host: &H,
        sender: Sender,
        entries: impl IntoIterator<Item = Entry>,
    ) {
        let former = self.hosts.get(host).copied();
        let same_run = former.filter(|former| former.incarnation == sender.incarnation);
        let silent_after = self.fleet.silent_after();
        let was_silent = same_run.is_some_and(|same| now > same.heard + silent_after);
        let recorded = Host {
            incarnation: sender.incarnation,
            since: same_run.map_or(now, |same| same.since),
            heard: now,
            stopping: sender.stopping,
            hosts: if sender.hosts > 0 {
                sender.hosts
            } else {
                same_run.map_or(0, |same| same.hosts)
            },
        };
        self.hosts.insert(host.clone(), recorded);
        if former.is_some() && same_run.is_none() {
            for account in self.accounts.values_mut() {
                account.refill(now, &self.fleet);
                account.forget(host);
            }
        }
        if was_silent {
            for account in self.accounts.values_mut() {
                if let Some(peer) = account.peers.get_mut(host) {
                    peer.was_silent = true;
                }
            }
        }
        let was_known = now.saturating_sub(recorded.since) >= REPORTED_FOR;
        for entry in entries {
            if let Some(account) = self.accounts.get_mut(&entry.team) {
                account.refill(now, &self.fleet);
                account.record(now, &self.fleet, host, was_known, &entry);
            }
        }
    }

    /// Returns the state of the accounts with a limit.
    pub fn statuses(&mut self, now: Moment) -> impl Iterator<Item = Status> {
        let fleet = &self.fleet;
        let limited = self.accounts.values_mut().filter(|a| a.limit.is_some());
        limited.map(move |account| {
            account.refill(now, fleet);
            Status {
                team: account.team.clone(),
                level: account.level,
                share: account.share(now, fleet),
            }
        })
    }

    /// Returns the other hosts that may run.
    fn members(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(|host| !host.stopping)
    }

    /// Counts the hosts anew, and ends predictions of hosts that have fallen silent.
    fn tick(&mut self, now: Moment) {
        let gap = now.saturating_sub(self.ticked);
        let resumed = gap > MAX_GAP;
        self.ticked = now;
        if resumed {
            self.fleet.starts_until = now + START_TIME;
            for account in self.accounts.values_mut() {
                account.resume(now);
            }
        }
        let hosts = self.hosts.len();
        self.hosts
            .retain(|_, host| now.saturating_sub(host.heard) < RETENTION);
        if self.hosts.len() != hosts {
            for account in self.accounts.values_mut() {
                account
                    .peers
                    .retain(|host, _| self.hosts.contains_key(host));
            }
        }
        let silent_after = self.fleet.silent_after();
        let is_live = |host: &&Host| now.saturating_sub(host.heard) <= silent_after;
        let live = self.members().filter(is_live).count();
        let late_after = self.fleet.late_after();
        let is_fresh = |host: &&Host| now.saturating_sub(host.heard) <= late_after;
        // If this host itself is late, it has not read the reports yet.
        let fresh = if gap > report::PERIOD + LATE_AFTER {
            live
        } else {
            self.members().filter(is_fresh).count()
        };
        // A process that starts beside silent hosts learns from others that they may run.
        let told = self.members().filter(is_live).map(|host| host.hosts).max();
        let known = told.unwrap_or(0).max(self.host_count());
        let alone = known == 1 && self.expects_hosts;
        let fleet = Fleet {
            known: f64::from(known),
            live: count(live) + 1.0,
            fresh: count(fresh) + 1.0,
            age: report::expected_interval(live),
            starting: now < self.fleet.starts_until
                || (alone && now.saturating_sub(self.started) < RETENTION),
            starts_until: self.fleet.starts_until,
        };
        let former = std::mem::replace(&mut self.fleet, fleet);
        for account in self.accounts.values_mut() {
            account.refill(now, &former);
            account.expire(now, silent_after.min(REPORTED_FOR));
            if let Some(limit) = &account.limit {
                let shrinks = (fleet.part() / former.part()).min(1.0);
                if account.level > 0.0 {
                    account.level = (account.level * shrinks).min(fleet.burst(limit));
                }
            }
        }
    }
}

impl<H: Hash + Eq + Clone> Account<H> {
    fn new(team: TeamId, now: Moment) -> Self {
        Self {
            team,
            limit: None,
            level: 0.0,
            pacer: 0.0,
            updated: now,
            charged: 0,
            reported: 0,
            demand: 0.0,
            demand_at: now,
            last_request: None,
            peers: HashMap::new(),
            peer_demand: 0.0,
            peer_rate: 0.0,
            predicted_time: 0.0,
            refused: Tally::default(),
            tallied: None,
        }
    }

    /// Charges a request, or refuses it. Returns whether it was paced.
    fn admit(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        limit: &Limit,
        cost: u64,
    ) -> Result<bool, Refusal> {
        self.refill(now, fleet);
        self.demand = self.demand_now(now) + units(cost) / RATE_TIME.as_secs_f64();
        self.demand_at = now;
        self.last_request = Some(now);
        let paced = self.level < self.free_level(now, fleet, limit);
        let admitted = if fleet.starting {
            // Every host that starts would otherwise overdraw the bucket by one request.
            self.level >= units(cost)
        } else {
            self.level > fleet.reserve(limit) && (!paced || self.pacer > 0.0)
        };
        if !admitted {
            return Err(self.refuse(now, fleet, limit, cost));
        }
        self.charged += signed(cost);
        self.level = (self.level - units(cost)).max(-limit.refill(DEBT_TIME));
        if paced {
            self.pacer -= units(cost);
        }
        Ok(paced)
    }

    fn refuse(&mut self, now: Moment, fleet: &Fleet, limit: &Limit, cost: u64) -> Refusal {
        self.refused.requests += 1;
        self.refused.cost = self.refused.cost.saturating_add(cost);
        let due = self
            .tallied
            .is_none_or(|tallied| now >= tallied + TALLY_PERIOD);
        let tally = due.then(|| std::mem::take(&mut self.refused));
        if due {
            self.tallied = Some(now);
        }
        let missing = (fleet.burst(limit) * FULL_ENOUGH - self.level).max(0.0);
        let refill = limit.per_second * fleet.part();
        let wait = Duration::try_from_secs_f64(missing / refill).unwrap_or(DEBT_TIME);
        let wait = if fleet.starting {
            wait.max(fleet.starts_until.saturating_sub(now))
        } else {
            wait
        };
        let random = prompt::mix(self.charged.cast_unsigned(), duration_bits(now));
        let fraction = f64::from(u32::try_from(random >> 32).unwrap_or(0)) / f64::from(u32::MAX);
        Refusal {
            cost,
            wait: wait.mul_f64(1.0 + RETRY_JITTER * fraction),
            tally,
        }
    }

    /// Returns the level from which on requests are not paced.
    fn free_level(&self, now: Moment, fleet: &Fleet, limit: &Limit) -> f64 {
        if fleet.live <= 1.0 {
            // No other host spends what this one sees.
            return 0.0;
        }
        let burst = fleet.burst(limit);
        let free = FREE_PART * report::PERIOD.div_duration_f64(fleet.age).min(1.0);
        // Only the others' charges are seen late.
        let others = 1.0 - self.share(now, fleet);
        let unseen = self.peer_demand * fleet.age.as_secs_f64();
        unseen.max(burst * (1.0 - free) * others).min(burst)
    }

    /// Returns the units a second that all live hosts together take while they are paced.
    fn paced_rate(&self, fleet: &Fleet, limit: &Limit) -> f64 {
        let (rate, burst) = (fleet.rate(limit), fleet.burst(limit));
        let paced_level = burst * PACED_LEVEL;
        let scale = paced_level.max(rate * fleet.age.as_secs_f64() * PACE_AGES);
        rate * (1.0 + (self.level - paced_level) / scale).clamp(0.0, MAX_PACE)
    }

    /// Returns this host's share of the team's recent demand.
    fn share(&self, now: Moment, fleet: &Fleet) -> f64 {
        let own = self.demand_now(now);
        let total = own + self.peer_demand;
        let floor = 1.0 / (fleet.live * SHARE_FLOOR_DIVISOR);
        if total > 0.0 {
            (own / total).max(floor)
        } else {
            1.0 / fleet.live
        }
    }

    /// Refills the bucket and the pacer, and charges the predicted charges of other hosts.
    fn refill(&mut self, now: Moment, fleet: &Fleet) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let Some(limit) = self.limit else {
            self.updated = now;
            return;
        };
        let rate = fleet.rate(&limit);
        // Predictions use up the refill at most. What is charged in excess is known only from reports.
        let scale = if self.peer_rate > rate {
            rate / self.peer_rate
        } else {
            1.0
        };
        self.predicted_time += scale * elapsed;
        let level = self.level + (rate - scale * self.peer_rate) * elapsed;
        self.level = level.min(fleet.burst(&limit));
        let share = self.share(now, fleet);
        let paced = self.paced_rate(fleet, &limit) * share;
        let most = rate * share * PACER_SAVED.as_secs_f64();
        self.pacer = (self.pacer + paced * elapsed).min(most);
        self.updated = now;
    }

    /// Empties the bucket after a suspension, in which the other hosts may have spent all of the refill.
    fn resume(&mut self, now: Moment) {
        self.level = self.level.min(0.0);
        self.pacer = self.pacer.min(0.0);
        self.updated = now;
    }

    fn demand_now(&self, now: Moment) -> f64 {
        self.demand * decay(now.saturating_sub(self.demand_at))
    }

    fn is_urgent(&self) -> bool {
        let pending = self.charged - self.reported;
        let is_urgent = |limit: &Limit| float(pending) > limit.burst / NEWS_DIVISOR;
        self.limit.as_ref().is_some_and(is_urgent)
    }

    fn compose(&self, now: Moment, fleet: &Fleet, team: TeamKey) -> Option<(Moment, Entry)> {
        let limit = self.limit?;
        let last = self.last_request?;
        let idle = now.saturating_sub(last);
        if idle > REPORTED_FOR && self.charged == self.reported {
            return None;
        }
        let has_demand = idle < DEMAND_ENDS_AFTER;
        let level = self.level / fleet.burst(&limit);
        let entry = Entry {
            team,
            charged: self.charged,
            demand: if has_demand {
                self.demand_now(now)
            } else {
                0.0
            },
            level: (!fleet.starting).then_some(level),
        };
        Some((last, entry))
    }

    /// Charges what another host reports. `was_known` states whether the host reported before without naming the team.
    fn record(&mut self, now: Moment, fleet: &Fleet, host: &H, was_known: bool, entry: &Entry) {
        let Some(limit) = self.limit else {
            return;
        };
        let demand = entry.demand.max(0.0);
        let former = self.peers.get(host).copied();
        let (spent, rate) = match former {
            Some(peer) if peer.was_silent => (0.0, 0.0),
            Some(peer) => self.spent_since(now, &peer, entry),
            // The first report only sets the count, unless the host left out the team because it was idle.
            None if was_known => {
                let recent = demand * RATE_TIME.as_secs_f64();
                (recent.min(float(entry.charged)).max(0.0), 0.0)
            }
            None => (0.0, 0.0),
        };
        if spent > 0.0 {
            let lowest = -(limit.burst + limit.refill(REPORTED_DEBT_TIME));
            self.level = (self.level - spent).max(lowest.min(self.level));
        } else {
            self.level = (self.level - spent).min(fleet.burst(&limit));
        }
        let peer = Peer {
            charged: entry.charged,
            demand,
            rate: if demand > 0.0 { rate } else { 0.0 },
            at: now,
            mark: self.predicted_time,
            assumed: 0.0,
            was_silent: false,
        };
        self.peer_demand += peer.demand - former.map_or(0.0, |former| former.demand);
        self.peer_rate += peer.rate - former.map_or(0.0, |former| former.rate);
        self.peers.insert(host.clone(), peer);
        if let (Some(level), Some(former), false) = (entry.level, former, fleet.starting) {
            let passed = now.saturating_sub(former.at).min(RATE_TIME);
            let weight = passed.div_duration_f64(CONSENSUS_TIME) / count(self.peers.len());
            let stated = level.min(1.0) * fleet.burst(&limit);
            self.level += (stated - self.level) * weight;
        }
    }

    /// Returns the units that a host has charged since its last report beyond what was predicted, and its new rate.
    fn spent_since(&self, now: Moment, peer: &Peer, entry: &Entry) -> (f64, f64) {
        let charged = float(entry.charged.saturating_sub(peer.charged));
        let predicted = peer.assumed + peer.rate * (self.predicted_time - peer.mark);
        let passed = now.saturating_sub(peer.at);
        let kept = decay(passed);
        let weight = if passed.is_zero() {
            1.0 / RATE_TIME.as_secs_f64()
        } else {
            (1.0 - kept) / passed.as_secs_f64()
        };
        let rate = (peer.rate * kept + charged * weight).max(0.0);
        (charged - predicted, rate)
    }

    /// Ends the predictions for hosts that have not reported the team for too long.
    fn expire(&mut self, now: Moment, max_age: Duration) {
        let (mut demand, mut rate) = (0.0, 0.0);
        for peer in self.peers.values_mut() {
            if now.saturating_sub(peer.at) > max_age {
                peer.assumed += peer.rate * (self.predicted_time - peer.mark);
                peer.mark = self.predicted_time;
                peer.rate = 0.0;
                peer.demand = 0.0;
            }
            demand += peer.demand;
            rate += peer.rate;
        }
        self.peer_demand = demand;
        self.peer_rate = rate;
    }

    fn forget(&mut self, host: &H) {
        if let Some(peer) = self.peers.remove(host) {
            self.peer_demand -= peer.demand;
            self.peer_rate -= peer.rate;
        }
    }
}

/// Returns the part of an average that is left after a time without requests.
fn decay(time: Duration) -> f64 {
    (-time.div_duration_f64(RATE_TIME)).exp()
}

fn duration_bits(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn signed(cost: u64) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "costs of requests are far below 2^52"
)]
fn units(cost: u64) -> f64 {
    cost as f64
}

#[allow(
    clippy::cast_precision_loss,
    reason = "charges of a process are far below 2^52"
)]
fn float(charged: i64) -> f64 {
    charged as f64
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
