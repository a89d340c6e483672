//! Which prompt parts the prefix caches of servers and stores hold, estimated from the requests that this host sent and
//! from the servers' cache reports.
//!
//! Reports arrive late and some are lost, so all of this is a hint: a wrong one costs the prefill of the part, never
//! a wrong answer.

use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use jaystand_types::Moment;
use smallvec::SmallVec;

use crate::ServerKey;

/// A part that was sent to a server without cache reports counts as cached for this long. In the users' large
/// deployments an engine computes some 24,000 tokens a second and has room for 70,000 to 95,000 beside its runs.
const SENT_EXPIRY: Duration = Duration::from_secs(4);
/// A part that was sent to a server with cache reports counts as cached for this long. Its report should have arrived
/// by then.
const REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// A part that was sent to a store counts as cached there for this long.
const STORED_EXPIRY: Duration = Duration::from_secs(20);
/// Maximum number of parts in memory. At about 60 bytes each they stay under 2 MB.
const MAX_PARTS: usize = 16_384;

/// The prompt parts that servers and stores are expected to have cached.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    /// By cache key of the part.
    parts: HashMap<u64, SmallVec<[Holding; 2]>>,
    /// Servers that send cache reports.
    reporting: HashSet<ServerKey>,
    stores: HashSet<ServerKey>,
}

/// One part at one server.
#[derive(Clone, Copy, Debug)]
struct Holding {
    server: ServerKey,
    tokens: u32,
    /// When a request with the part was last sent there.
    sent: Option<Moment>,
    /// Whether the server has reported the part as cached.
    reported: bool,
}

impl Holdings {
    /// Records that a request with the part was sent to a server.
    pub fn record_sent(&mut self, now: Moment, part: u64, server: ServerKey, tokens: u32) {
        if self.parts.len() >= MAX_PARTS {
            self.remove_expired(now);
        }
        let holding = self.entry(part, server);
        holding.sent = Some(now);
        if !holding.reported {
            holding.tokens = tokens;
        }
    }

    /// Records a cache report: how many tokens of a part a server has cached, 0 if none.
    pub fn record_report(&mut self, part: u64, server: ServerKey, tokens: u32) {
        if tokens > 0 {
            let holding = self.entry(part, server);
            holding.reported = true;
            holding.tokens = tokens;
            return;
        }
        if let Some(holdings) = self.parts.get_mut(&part) {
            holdings.retain(|holding| holding.server != server);
            if holdings.is_empty() {
                self.parts.remove(&part);
            }
        }
    }

    /// Records that a server is a store, which keeps parts longer than engines do.
    pub fn add_store(&mut self, server: ServerKey) {
        self.stores.insert(server);
    }

    /// Records that a server sends cache reports from now on.
    pub fn start_reports(&mut self, server: ServerKey) {
        self.reporting.insert(server);
    }

    /// Returns whether a server sends cache reports.
    #[must_use]
    pub fn reports(&self, server: ServerKey) -> bool {
        self.reporting.contains(&server)
    }

    /// Discards everything about a server.
    pub fn forget(&mut self, server: ServerKey) {
        self.reporting.remove(&server);
        self.parts.retain(|_, holdings| {
            holdings.retain(|holding| holding.server != server);
            !holdings.is_empty()
        });
    }

    /// Returns how many tokens of a part a server is expected to have cached.
    #[must_use]
    pub fn tokens(&self, now: Moment, part: u64, server: ServerKey) -> u32 {
        let holdings = self.parts.get(&part).map_or(&[][..], |holdings| holdings);
        let holding = holdings.iter().find(|holding| holding.server == server);
        holding
            .filter(|holding| self.is_valid(now, holding))
            .map_or(0, |holding| holding.tokens)
    }

    /// Returns the servers that are expected to have cached a part, with the number of its tokens.
    pub fn holders(&self, now: Moment, part: u64) -> impl Iterator<Item = (ServerKey, u32)> {
        let holdings = self.parts.get(&part).map_or(&[][..], |holdings| holdings);
        holdings
            .iter()
            .filter(move |holding| self.is_valid(now, holding))
            .map(|holding| (holding.server, holding.tokens))
    }

    /// Returns whether a part is reported, or was sent so recently that it counts as cached.
    fn is_valid(&self, now: Moment, holding: &Holding) -> bool {
        let expiry = if self.stores.contains(&holding.server) {
            STORED_EXPIRY
        } else if self.reports(holding.server) {
            REPORT_DELAY
        } else {
            SENT_EXPIRY
        };
        holding.reported || holding.sent.is_some_and(|sent| sent + expiry > now)
    }

    /// Returns the entry of a part at a server, which is added if it is missing.
    fn entry(&mut self, part: u64, server: ServerKey) -> &mut Holding {
        let holdings = self.parts.entry(part).or_default();
        let index = holdings.iter().position(|holding| holding.server == server);
        let index = index.unwrap_or_else(|| {
            holdings.push(Holding {
                server,
                tokens: 0,
                sent: None,
                reported: false,
            });
            holdings.len() - 1
        });
        &mut holdings[index]
    }

    /// Removes expired parts, and all others if there are still too many.
    fn remove_expired(&mut self, now: Moment) {
        self.parts.retain(|_, holdings| {
            holdings.retain(|holding| {
                holding.reported || holding.sent.is_some_and(|sent| sent + SENT_EXPIRY > now)
            });
            !holdings.is_empty()
        });
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
    }
}
