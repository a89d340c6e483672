//! The retry budget: how often hosts may send a request to a second server.
//!
//! The budget is set for the whole deployment. Each host uses a fixed share of it, so that hosts need not exchange
//! messages about it.
//!
//! A process does not know what its predecessor on the same host has spent in the same window. So it earns retries only
//! with its own requests, may save up few of them, and has no share of the slack before a whole window has passed.
//! The sum over all processes then stays within the budget, however often they start.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::ServiceName;

/// A host that has fallen silent keeps its share for this long. It may be cut off from this host only, and still send
/// retries of its callers.
const SHARE_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Share of the ratio that each request earns, and share of the slack that hosts use in each window.
const STEADY_SHARE: f64 = 0.8;
/// Share of the budget of a window that a process saves up for a burst of retries. The rest of the budget covers retries
/// that arrive later than they are sent.
const SAVED_SHARE: f64 = 0.15;

jaystand_types::common! { data
    /// The retry budget of the deployment.
    pub struct Settings {
        /// Retries allowed per request, in any window.
        pub ratio: f64,
        /// Retries allowed in addition, over all hosts, in any window.
        pub slack: f64,
        /// Length of the sliding window.
        pub window: Duration,
    }
}

/// The other hosts that have a share of what the deployment allows all hosts together.
#[derive(Clone, Debug)]
pub struct Sharers<P> {
    /// Until when each host keeps its share, unless it is heard of again.
    kept_until: HashMap<P, Moment>,
}

impl<P> Default for Sharers<P> {
    fn default() -> Self {
        Self {
            kept_until: HashMap::new(),
        }
    }
}

impl<P: std::hash::Hash + Eq> Sharers<P> {
    /// Records that a host was heard of.
    pub fn record(&mut self, now: Moment, host: P) {
        self.kept_until.insert(host, now + SHARE_RETENTION);
    }

    /// Records that a host stops as planned. It keeps its share while it stops and for a window after that, in which
    /// what it has spent still counts.
    pub fn record_stopping(&mut self, now: Moment, host: P, window: Duration) {
        self.kept_until.insert(host, now + window);
    }

    /// Forgets the hosts that have been silent for too long.
    pub fn expire(&mut self, now: Moment) {
        self.kept_until.retain(|_, until| now < *until);
    }

    /// Returns the number of hosts.
    #[must_use]
    pub fn count(&self) -> usize {
        self.kept_until.len()
    }
}

/// The requests and retries of this process, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// The process has no share of the slack before.
    slack_from: Moment,
    services: HashMap<ServiceName, Account>,
}

/// The requests and retries to one service.
#[derive(Clone, Debug, Default)]
struct Account {
    requests: VecDeque<Moment>,
    /// Retries that were paid from the share of the slack.
    slack_retries: VecDeque<Moment>,
    /// Retries that requests have earned.
    earned: f64,
}

/// What pays for a retry.
#[derive(Clone, Copy, Debug)]
enum Source {
    Earned,
    Slack,
}

impl Budget {
    /// Creates an unused budget that has no share of the slack before a time. Processes whose host had a predecessor wait
    /// for a whole window.
    #[must_use]
    pub fn new(settings: Settings, slack_from: Moment) -> Self {
        Self {
            settings,
            slack_from,
            services: HashMap::new(),
        }
    }

    /// Records that a caller sent a request.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        let start = now.saturating_sub(self.settings.window);
        let account = self.services.entry(service.clone()).or_default();
        account.requests.push_back(now);
        account.earned += self.settings.ratio * STEADY_SHARE;
        expire(&mut account.requests, start);
    }

    /// Spends one retry and returns true, if this host's share of the budget allows it.
    pub fn take_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        let source = self.source(now, service, hosts);
        let account = self.services.entry(service.clone()).or_default();
        match source {
            Some(Source::Earned) => account.earned -= 1.0,
            Some(Source::Slack) => account.slack_retries.push_back(now),
            None => {}
        }
        source.is_some()
    }

    /// Returns whether this host's share of the budget allows one more retry.
    pub fn allows_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        self.source(now, service, hosts).is_some()
    }

    /// Returns what pays for one more retry.
    fn source(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> Option<Source> {
        let start = now.saturating_sub(self.settings.window);
        let account = self.services.entry(service.clone()).or_default();
        expire(&mut account.requests, start);
        expire(&mut account.slack_retries, start);
        let slack = self.settings.slack / to_f64(hosts.max(1));
        let allowed = self.settings.ratio * to_f64(account.requests.len()) + slack;
        account.earned = account.earned.min(allowed * SAVED_SHARE);
        if account.earned >= 1.0 {
            return Some(Source::Earned);
        }
        if now < self.slack_from {
            return None;
        }
        let spent = to_f64(account.slack_retries.len());
        (spent + 1.0 <= slack * STEADY_SHARE).then_some(Source::Slack)
    }
}

/// Removes the times before the start of the window.
fn expire(times: &mut VecDeque<Moment>, start: Moment) {
    while times.front().is_some_and(|time| *time < start) {
        times.pop_front();
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
