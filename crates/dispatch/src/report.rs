//! When hosts tell each other what, so that reports do not fill the links of small hosts.
//!
//! The load that this answers: on cairn-quito-grown the holder of the weight orders sent a whole report to 60 hosts
//! at the beginning and end of each update. Its link of 10 Mbit/s was full for seconds, so that its requests and
//! the next orders timed out.

use std::time::Duration;

use jaystand_types::Moment;

/// News go out at most this often. To 60 hosts, the 200 bytes of a round's news are then 2.4 Mbit/s.
const NEWS_GAP: Duration = Duration::from_millis(50);
/// Updates that changed within this time are news; regular reports state all of them.
const NEWS_AGE: Duration = Duration::from_millis(250);
/// In larger fleets news go out less often, so that the bytes stay the same.
const NEWS_HOSTS: u32 = 60;
/// Regular reports go out this often; with six hosts this is about 5 KB/s a host. At half the rate callers of
/// tanekaha-tanks-grown scale-1 were served 1.6 in 100 less often.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Hosts that get a brief report each time, others each time, beside those that get a whole one. With reports to all,
/// which grow with the square of the fleet, a host used 11.5 % of its processor and sent 98 KB/s in the users' sweep to
/// 300 hosts.
pub const MAX_BRIEF_RECEIVERS: usize = 64;

/// When reports go out.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    last_news: Option<Moment>,
}

impl Schedule {
    /// Takes in that there are news. Returns when they may go out, with those that come until then.
    pub fn schedule_news(&mut self, now: Moment, hosts: usize) -> Moment {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let gap = NEWS_GAP * hosts.max(NEWS_HOSTS) / NEWS_HOSTS;
        let due = self.last_news.map_or(now, |last| now.max(last + gap));
        self.last_news = Some(due);
        due
    }
}

/// Whether an update that changed at `since` still is news.
#[must_use]
pub fn is_news(now: Moment, since: Moment) -> bool {
    now.saturating_sub(since) < NEWS_AGE
}

/// Part of a fleet's hosts whose reports a host has at any time, when loads count for `kept`.
#[must_use]
pub fn reporting_share(hosts: usize, kept: Duration) -> f64 {
    if hosts <= MAX_BRIEF_RECEIVERS {
        return 1.0;
    }
    let hosts = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
    let most = f64::from(u32::try_from(MAX_BRIEF_RECEIVERS).unwrap_or(u32::MAX));
    let rounds = kept.as_secs_f64() / PERIOD.as_secs_f64();
    1.0 - (1.0 - most / hosts).powf(rounds)
}
