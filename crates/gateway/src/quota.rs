//! Charges requests to their teams' rate limits, and exchanges the charges with other hosts.

use std::net::IpAddr;

use hashbrown::HashMap;
use http::HeaderMap;
use jaystand_adapter::request;
use jaystand_dispatch::{
    config::{Configuration, Team},
    quota::{self, Charge, Entry, Limit, Refusal, Sender},
};
use jaystand_types::{Incarnation, TeamId};
use prometheus::{GaugeVec, IntCounterVec, Opts, Registry};
use prost::Message;

use crate::{
    clock,
    hub::{Hub, State, whole_ms},
    settings::Settings,
};

/// Metric label of requests that were charged.
const ADMITTED: &str = "admitted";
/// Metric label of requests that were refused.
const REFUSED: &str = "refused";
/// Metric label of requests that were charged and have not run.
const GIVEN_BACK: &str = "given_back";

/// The accounts of teams with a rate limit. They use the clock that also runs while the host is suspended, because the
/// other hosts spend meanwhile.
pub(crate) type Book = quota::Book<IpAddr>;

/// Levels are reported in this fraction of the burst, which takes one or two bytes.
const LEVEL_UNIT: f64 = 1.0 / 64.0;

/// The charges to rate limits in a report to other hosts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaReport {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<QuotaEntry>,
    /// Number of hosts that the sender knows, itself included.
    #[prost(uint32, tag = "2")]
    hosts: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct QuotaEntry {
    #[prost(fixed64, tag = "1")]
    team: u64,
    /// Units that the sender has charged since its start, refunds subtracted.
    #[prost(int64, tag = "2")]
    charged: i64,
    /// Units a second that the team recently asked for.
    #[prost(float, tag = "3")]
    demand: f32,
    /// The sender's estimate of the level, in 64ths of the burst.
    #[prost(sint32, optional, tag = "4")]
    level: Option<i32>,
}

impl QuotaReport {
    /// Returns the part of the report that other hosts must learn at once, if there is any.
    pub(crate) fn news(mut self, state: &State) -> Option<Self> {
        self.entries
            .retain(|entry| state.quotas.is_urgent(entry.team));
        (!self.entries.is_empty()).then_some(self)
    }
}

impl From<Entry> for QuotaEntry {
    #[allow(
        clippy::cast_possible_truncation,
        reason = "demand and level are estimates, and casts saturate"
    )]
    fn from(entry: Entry) -> Self {
        Self {
            team: entry.team,
            charged: entry.charged,
            demand: entry.demand as f32,
            level: entry.level.map(|level| (level / LEVEL_UNIT).round() as i32),
        }
    }
}

impl From<QuotaEntry> for Entry {
    fn from(entry: QuotaEntry) -> Self {
        Self {
            team: entry.team,
            charged: entry.charged,
            demand: f64::from(entry.demand),
            level: entry.level.map(|level| f64::from(level) * LEVEL_UNIT),
        }
    }
}

/// The metrics of rate limits.
pub(crate) struct Metrics {
    /// Requests by team and result.
    requests: IntCounterVec,
    /// Tokens or requests that the limits count, by team and result.
    units: IntCounterVec,
    /// Estimated level of the bucket, by team.
    level: GaugeVec,
    /// This host's share of the refill while a team is near its limit, by team.
    share: GaugeVec,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &["team", "result"])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauges = |name: &str, help: &str| {
            let gauges = GaugeVec::new(Opts::new(name, help), &["team"])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Self {
            requests: counters(
                "jaystand_team_requests_total",
                "Requests of teams with a rate limit.",
            )?,
            units: counters(
                "jaystand_team_units_total",
                "Tokens or requests that rate limits of teams count.",
            )?,
            level: gauges(
                "jaystand_team_level",
                "Estimated level of the bucket of a team's rate limit.",
            )?,
            share: gauges(
                "jaystand_team_share",
                "Share of this host in the refill of a team's rate limit.",
            )?,
        })
    }
}

/// Creates the book of a process that starts.
pub(crate) fn new_book(settings: &Settings) -> Book {
    let local_address = settings.listen.front.ip();
    let expects_hosts = settings.seeds.iter().any(|seed| *seed != local_address);
    Book::new(clock::since_boot(), expects_hosts)
}

/// Puts the limits of a configuration in force, and logs those that differ from the former configuration.
pub(crate) fn set_limits(
    hub: &Hub,
    book: &mut Book,
    former: Option<&Configuration>,
    config: &Configuration,
) {
    book.set_limits(clock::since_boot(), config.team_limits());
    let former: HashMap<TeamId, Limit> = former
        .into_iter()
        .flat_map(Configuration::team_limits)
        .collect();
    for (team, limit) in config.team_limits() {
        if former.get(&team) != Some(&limit) {
            log::info!(team = team.as_str(), per_s = limit.per_second(), burst = limit.burst();
                "rate limit of a team in force");
        }
    }
    hub.metrics.quota.level.reset();
    hub.metrics.quota.share.reset();
}

/// Charges a request to its team. Fails if the team is over its limit.
pub(crate) fn admit(
    hub: &Hub,
    team: Option<&Team>,
    headers: &HeaderMap,
) -> Result<Option<Charge>, Refusal> {
    let Some(team) = team.filter(|team| team.limit.is_some()) else {
        return Ok(None);
    };
    let key = quota::team_key(&team.name);
    let now = clock::since_boot();
    let tokens = request::tokens(headers);
    let charged = hub.state.borrow_mut().quotas.admit(now, key, tokens);
    match &charged {
        Ok(Some(charge)) => {
            count(hub, &team.name, ADMITTED, charge.cost());
            if charge.is_urgent() {
                hub.report_now.notify_one();
            }
        }
        Ok(None) => {}
        Err(refusal) => {
            count(hub, &team.name, REFUSED, refusal.cost);
            if let Some(tally) = refusal.tally {
                log::info!(team = team.name.as_str(), requests = tally.requests, cost = tally.cost,
                    wait_ms = whole_ms(refusal.wait);
                    "the team is over its rate limit; requests are refused");
            }
        }
    }
    charged
}

/// Gives back the charge for a request that has not run.
pub(crate) fn give_back(hub: &Hub, team: Option<&Team>, charge: Charge) {
    if let Some(team) = team {
        count(hub, &team.name, GIVEN_BACK, charge.cost());
    }
    let mut state = hub.state.borrow_mut();
    state.quotas.give_back(clock::since_boot(), charge);
}

/// Composes what a report states of rate limits. Returns `None` if no team has one.
pub(crate) fn compose(book: &mut Book) -> Option<QuotaReport> {
    // Also without limits: the book counts the hosts.
    let entries = book.compose(clock::since_boot());
    book.has_limits().then(|| QuotaReport {
        entries: entries.into_iter().map(QuotaEntry::from).collect(),
        hosts: book.host_count(),
    })
}

/// Records that a report was sent to other hosts.
pub(crate) fn record_sent(hub: &Hub, report: Option<&QuotaReport>) {
    let Some(report) = report else {
        return;
    };
    let mut state = hub.state.borrow_mut();
    for entry in &report.entries {
        state.quotas.record_sent(&Entry::from(*entry));
    }
}

/// Records the report of another host.
pub(crate) fn record(
    book: &mut Book,
    from: IpAddr,
    incarnation: Incarnation,
    stopping: bool,
    report: Option<&QuotaReport>,
) {
    let sender = Sender {
        incarnation,
        stopping,
        hosts: report.map_or(0, |report| report.hosts),
    };
    let entries = report.map_or(&[][..], |report| &report.entries);
    let entries = entries.iter().copied().map(Entry::from);
    book.record(clock::since_boot(), &from, sender, entries);
}

/// Updates the metrics that show the state of the accounts.
pub(crate) fn observe(hub: &Hub) {
    let mut state = hub.state.borrow_mut();
    for status in state.quotas.statuses(clock::since_boot()) {
        let labels = [status.team.as_str()];
        let metrics = &hub.metrics.quota;
        metrics.level.with_label_values(&labels).set(status.level);
        metrics.share.with_label_values(&labels).set(status.share);
    }
}

fn count(hub: &Hub, team: &str, result: &str, cost: u64) {
    let labels = [team, result];
    let metrics = &hub.metrics.quota;
    metrics.requests.with_label_values(&labels).inc();
    metrics.units.with_label_values(&labels).inc_by(cost);
}
