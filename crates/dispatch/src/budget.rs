//! The retry budget: how often hosts may send a request to a second server.
//!
//! The budget is set for the whole deployment. Each host uses a fixed share of it, so that hosts need not exchange
//! messages about it.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::ServiceName;

/// A host that has fallen silent keeps its share for this long. It may be cut off from this host only, and still send
/// retries of its callers.
const SHARE_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Share of the budget that hosts use. The rest covers hosts that do not know yet that another host has joined, and
/// so take too large a share.
const USED_SHARE: f64 = 0.8;

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
    last_seen: HashMap<P, Moment>,
}

impl<P> Default for Sharers<P> {
    fn default() -> Self {
        Self {
            last_seen: HashMap::new(),
        }
    }
}

impl<P: std::hash::Hash + Eq> Sharers<P> {
    /// Records that a host was heard of.
    pub fn record(&mut self, now: Moment, host: P) {
        self.last_seen.insert(host, now);
    }

    /// Records that a host stops as planned.
    pub fn remove(&mut self, host: &P) {
        self.last_seen.remove(host);
    }

    /// Forgets the hosts that have been silent for too long.
    pub fn expire(&mut self, now: Moment) {
        self.last_seen
            .retain(|_, seen| now.saturating_sub(*seen) < SHARE_RETENTION);
    }

    /// Returns the number of hosts.
    #[must_use]
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }
}

/// The requests and retries of this host, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    services: HashMap<ServiceName, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Records that a caller sent a request.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        let start = now.saturating_sub(self.settings.window);
        let window = self.services.entry(service.clone()).or_default();
        window.requests.push_back(now);
        expire(&mut window.requests, start);
    }

    /// Spends one retry and returns true, if this host's share of the budget allows it.
    pub fn take_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        let allowed = self.allows_retry(now, service, hosts);
        if allowed && let Some(window) = self.services.get_mut(service) {
            window.retries.push_back(now);
        }
        allowed
    }

    /// Returns whether this host's share of the budget allows one more retry.
    pub fn allows_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        let start = now.saturating_sub(self.settings.window);
        let window = self.services.entry(service.clone()).or_default();
        expire(&mut window.requests, start);
        expire(&mut window.retries, start);
        let requests = f64::from(u32::try_from(window.requests.len()).unwrap_or(u32::MAX));
        let retries = f64::from(u32::try_from(window.retries.len()).unwrap_or(u32::MAX));
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let allowed = self.settings.ratio * requests + self.settings.slack / hosts;
        retries + 1.0 <= allowed * USED_SHARE
    }
}

/// Removes the times before the start of the window.
fn expire(times: &mut VecDeque<Moment>, start: Moment) {
    while times.front().is_some_and(|time| *time < start) {
        times.pop_front();
    }
}
