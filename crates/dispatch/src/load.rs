//! Load on backend servers: what this host sent, and what other hosts report that they sent.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::Moment;
use smallvec::SmallVec;

use crate::{ServerKey, report};

/// A host whose last report is older than this is taken as gone. Reports come several times a second.
const PEER_EXPIRY: Duration = Duration::from_millis(1_500);

jaystand_types::common! { value
    /// Work on one server.
    #[derive(Default)]
    pub struct Load {
        /// Requests sent and not ended.
        pub active: u32,
        /// Microseconds that an idle engine takes to compute the prompts that wait for their first token.
        pub prefill_us: u64,
        /// Memory tokens of the active requests.
        pub memory_tokens: u64,
    }
}

impl Load {
    /// Adds other work.
    pub fn add(&mut self, other: Load) {
        self.active += other.active;
        self.prefill_us += other.prefill_us;
        self.memory_tokens += other.memory_tokens;
    }

    /// Takes work off that was added before.
    pub fn subtract(&mut self, other: Load) {
        self.active = self.active.saturating_sub(other.active);
        self.prefill_us = self.prefill_us.saturating_sub(other.prefill_us);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

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

    /// Whether there is no work.
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
    /// Part of the other hosts whose reports are at hand.
    heard: f64,
}

impl<P> Default for Peers<P> {
    fn default() -> Self {
        Self {
            reports: HashMap::new(),
            totals: HashMap::new(),
            heard: 1.0,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Report {
    at: Moment,
    loads: SmallVec<[(ServerKey, Load); 8]>,
}

impl<P: std::hash::Hash + Eq + Clone> Peers<P> {
    /// Takes a peer's report; it replaces the one before.
    pub fn record_report(
        &mut self,
        now: Moment,
        peer: P,
        loads: impl IntoIterator<Item = (ServerKey, Load)>,
    ) {
        let report = Report {
            at: now,
            loads: loads.into_iter().collect(),
        };
        for (server, load) in &report.loads {
            self.totals.entry(*server).or_default().add(*load);
        }
        if let Some(former) = self.reports.insert(peer, report) {
            self.withdraw(&former);
        }
    }

    /// Forgets peers that have not reported for a while, in a fleet of so many hosts.
    pub fn expire(&mut self, now: Moment, hosts: usize) {
        self.heard = report::reporting_share(hosts, PEER_EXPIRY);
        let late = |report: &Report| now.saturating_sub(report.at) > PEER_EXPIRY;
        let gone: Vec<P> = self
            .reports
            .iter()
            .filter(|(_, report)| late(report))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in gone {
            if let Some(report) = self.reports.remove(&peer) {
                self.withdraw(&report);
            }
        }
    }

    /// Load on a server by all peers. In large fleets a part of them reports, which stands for the others.
    #[must_use]
    pub fn total(&self, server: ServerKey) -> Load {
        let load = self.totals.get(&server).copied().unwrap_or_default();
        if self.heard < 1.0 {
            load.scaled(1.0 / self.heard)
        } else {
            load
        }
    }

    /// Number of peers that report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no peer reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    fn withdraw(&mut self, report: &Report) {
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
