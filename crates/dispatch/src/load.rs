//! Load on backend servers: requests that this host sent, and requests that other hosts report.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::Moment;
use smallvec::SmallVec;

use crate::{ServerKey, report};

/// A host whose last report is older than this no longer counts. Reports come several times a second.
const PEER_EXPIRY: Duration = Duration::from_millis(1_500);

jaystand_types::common! { value
    /// The load on one server.
    #[derive(Default)]
    pub struct Load {
        /// Requests that were sent and have not ended.
        pub active: u32,
        /// Time in microseconds that an idle engine needs to compute the prompts of requests without a first token.
        pub prefill_us: u64,
        /// Tokens that the active requests occupy in the memory.
        pub memory_tokens: u64,
    }
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.active += other.active;
        self.prefill_us += other.prefill_us;
        self.memory_tokens += other.memory_tokens;
    }

    /// Subtracts a load that was added before.
    pub fn subtract(&mut self, other: Load) {
        self.active = self.active.saturating_sub(other.active);
        self.prefill_us = self.prefill_us.saturating_sub(other.prefill_us);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

    /// Returns the load multiplied by a factor.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "loads are not negative and far below 2^52"
    )]
    fn scaled(self, factor: f64) -> Self {
        Self {
            active: (f64::from(self.active) * factor).round() as u32,
            prefill_us: (self.prefill_us as f64 * factor) as u64,
            memory_tokens: (self.memory_tokens as f64 * factor) as u64,
        }
    }

    /// Returns whether there is no load.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// The load that other hosts report.
#[derive(Clone, Debug)]
pub struct Peers<P> {
    reports: HashMap<P, Report>,
    totals: HashMap<ServerKey, Load>,
    /// Share of the other hosts whose reports have not expired.
    reporting_share: f64,
    /// Sum of the times in microseconds at which the reports were received.
    received_us: u128,
}

impl<P> Default for Peers<P> {
    fn default() -> Self {
        Self {
            reports: HashMap::new(),
            totals: HashMap::new(),
            reporting_share: 1.0,
            received_us: 0,
        }
    }
}

/// The last report of one host.
#[derive(Clone, Debug, Default)]
struct Report {
    received: Moment,
    loads: SmallVec<[(ServerKey, Load); 8]>,
}

impl<P: std::hash::Hash + Eq + Clone> Peers<P> {
    /// Records the report of a peer, which replaces its previous one.
    pub fn record_report(
        &mut self,
        now: Moment,
        peer: P,
        loads: impl IntoIterator<Item = (ServerKey, Load)>,
    ) {
        let report = Report {
            received: now,
            loads: loads.into_iter().collect(),
        };
        for (server, load) in &report.loads {
            self.totals.entry(*server).or_default().add(*load);
        }
        self.received_us += now.as_micros();
        if let Some(previous) = self.reports.insert(peer, report) {
            self.subtract(&previous);
        }
    }

    /// Removes the reports of peers that have not reported for too long. `hosts` is the number of hosts in the fleet.
    pub fn expire(&mut self, now: Moment, hosts: usize) {
        self.reporting_share = report::reporting_share(hosts, PEER_EXPIRY);
        let is_expired = |report: &Report| now.saturating_sub(report.received) > PEER_EXPIRY;
        let expired: Vec<P> = self
            .reports
            .iter()
            .filter(|(_, report)| is_expired(report))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in expired {
            if let Some(report) = self.reports.remove(&peer) {
                self.subtract(&report);
            }
        }
    }

    /// Returns the load on a server by all peers. In large fleets only a share of them reports to this host; the sum is
    /// scaled up to all.
    #[must_use]
    pub fn total(&self, server: ServerKey) -> Load {
        let load = self.totals.get(&server).copied().unwrap_or_default();
        if self.reporting_share < 1.0 {
            load.scaled(1.0 / self.reporting_share)
        } else {
            load
        }
    }

    /// Returns the mean age of the reports.
    #[must_use]
    pub fn mean_age(&self, now: Moment) -> Duration {
        let received = self.received_us / (self.reports.len().max(1) as u128);
        let received = Duration::from_micros(u64::try_from(received).unwrap_or(u64::MAX));
        if self.reports.is_empty() {
            return Duration::ZERO;
        }
        now.saturating_sub(received)
    }

    /// Returns the number of peers whose reports count.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no report of a peer counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Subtracts a report from the totals.
    fn subtract(&mut self, report: &Report) {
        self.received_us = self.received_us.saturating_sub(report.received.as_micros());
        for (server, load) in &report.loads {
            if let Some(total) = self.totals.get_mut(server) {
                total.subtract(*load);
                if total.is_idle() {
                    self.totals.remove(server);
                }
            }
        }
    }
}
