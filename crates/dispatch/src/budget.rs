//! The budget for sending requests to a second server. All hosts share it; each takes a fixed share, so that
//! no message is needed.

use std::{collections::VecDeque, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::ServiceName;

/// Part of the allowance that is used. The rest covers hosts that have not yet noticed a new one.
const USED_PART: f64 = 0.8;

jaystand_types::common! { data
    /// The allowance of the deployment.
    pub struct Settings {
        /// Second sendings allowed per request, in any window.
        pub ratio: f64,
        /// Second sendings allowed beyond that, over all hosts.
        pub slack: f64,
        /// Length of the window.
        pub window: Duration,
    }
}

/// Second sendings of this host.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    services: HashMap<ServiceName, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Budget {
    /// An unused budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        let start = now.saturating_sub(self.settings.window);
        let window = self.services.entry(service.clone()).or_default();
        window.requests.push_back(now);
        expire(&mut window.requests, start);
    }

    /// Takes one second sending, if this host's share holds it.
    pub fn take_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        let allowed = self.allows_retry(now, service, hosts);
        if allowed && let Some(window) = self.services.get_mut(service) {
            window.repeats.push_back(now);
        }
        allowed
    }

    /// Whether this host's share holds one more second sending.
    pub fn allows_retry(&mut self, now: Moment, service: &ServiceName, hosts: usize) -> bool {
        let start = now.saturating_sub(self.settings.window);
        let window = self.services.entry(service.clone()).or_default();
        expire(&mut window.requests, start);
        expire(&mut window.repeats, start);
        let requests = f64::from(u32::try_from(window.requests.len()).unwrap_or(u32::MAX));
        let repeats = f64::from(u32::try_from(window.repeats.len()).unwrap_or(u32::MAX));
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let allowed = self.settings.ratio * requests + self.settings.slack / hosts;
        repeats + 1.0 <= allowed * USED_PART
    }
}

fn expire(times: &mut VecDeque<Moment>, start: Moment) {
    while times.front().is_some_and(|time| *time < start) {
        times.pop_front();
    }
}
