//! When hosts send reports to each other, so that reports do not fill the links of small hosts.
//!
//! Hosts send periodic reports, and news between them: short reports of recent changes, such as weights updates that
//! have just begun or ended. News are rate-limited. On cairn-quito-grown the holder of the lease on weight orders sent
//! a whole report to 60 hosts at the beginning and end of each update. Its link of 10 Mbit/s was full for seconds, so
//! that its requests and the next orders timed out.

use std::time::Duration;

use jaystand_types::Moment;

/// Minimum interval between news. To 60 hosts, the 200 bytes of a round's news are then 2.4 Mbit/s.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(50);
/// News state the updates that changed within this time; periodic reports state all of them.
const NEWS_AGE: Duration = Duration::from_millis(250);
/// In fleets of more hosts than this the interval between news grows with the fleet, so that the bytes per second stay
/// the same.
const FULL_RATE_HOSTS: u32 = 60;
/// Interval between periodic reports. With six hosts this is about 5 KB/s a host. At half the rate callers of
/// tanekaha-tanks-grown scale-1 were served 1.6 in 100 less often.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of hosts that get a brief report in one period, in addition to those that get a whole one. The
/// receivers differ from period to period. Reports to all hosts grow with the square of the fleet: in the users' sweep
/// to 300 hosts, a host used 11.5 % of its processor for them and sent 98 KB/s.
pub const MAX_BRIEF_RECEIVERS: usize = 64;
/// Maximum number of hosts that get a whole report in one period.
pub const MAX_WHOLE_RECEIVERS: usize = 8;

/// The schedule of news.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    last_news: Option<Moment>,
}

impl Schedule {
    /// Schedules news. Returns the time at which they may be sent, together with those that come until then.
    pub fn schedule_news(&mut self, now: Moment, hosts: usize) -> Moment {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let interval = MIN_NEWS_INTERVAL * hosts.max(FULL_RATE_HOSTS) / FULL_RATE_HOSTS;
        let due = self.last_news.map_or(now, |last| now.max(last + interval));
        self.last_news = Some(due);
        due
    }
}

/// Returns whether an update that changed at `since` is still part of the news.
#[must_use]
pub fn is_news(now: Moment, since: Moment) -> bool {
    now.saturating_sub(since) < NEWS_AGE
}

/// Returns the expected share of a fleet's hosts of which a host has an unexpired report, when reports expire after
/// `expiry`.
#[must_use]
pub fn reporting_share(hosts: usize, expiry: Duration) -> f64 {
    if hosts <= MAX_BRIEF_RECEIVERS {
        return 1.0;
    }
    let hosts = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
    let receivers = f64::from(u32::try_from(MAX_BRIEF_RECEIVERS).unwrap_or(u32::MAX));
    let rounds = expiry.as_secs_f64() / PERIOD.as_secs_f64();
    1.0 - (1.0 - receivers / hosts).powf(rounds)
}

/// Returns the expected interval between two periodic reports of one host to another, when a host reports to this number
/// of others.
#[must_use]
pub fn expected_interval(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    let receivers = u32::try_from(MAX_BRIEF_RECEIVERS + MAX_WHOLE_RECEIVERS).unwrap_or(u32::MAX);
    PERIOD * others.max(receivers) / receivers
}
