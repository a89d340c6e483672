//! Which servers keep which prompt parts, by what this host sent and by what servers tell.
//!
//! News of servers are late and some are lost, so they are hints: a wrong one costs a read of the part, never a
//! wrong answer.

use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use jaystand_types::Moment;
use smallvec::SmallVec;

use crate::ServerKey;

/// A part of a sent request is taken as kept for this long, where the server does not tell. In the users' large
/// deployments an engine reads some 24,000 tokens a second and has room for 70,000 to 95,000 beside its runs.
const SENT_TRUSTED: Duration = Duration::from_secs(4);
/// Where the server tells, its news are taken to have arrived after this time.
const NEWS_DELAY: Duration = Duration::from_millis(1_200);
/// A part that was sent to a store is taken as kept there for this long.
const STORED_TRUSTED: Duration = Duration::from_secs(20);
/// Parts that are remembered. At about 60 bytes each this stays under 2 MB.
const REMEMBERED_PARTS: usize = 16_384;

/// The known holdings.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    parts: HashMap<u64, SmallVec<[Holding; 2]>>,
    telling: HashSet<ServerKey>,
    stores: HashSet<ServerKey>,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    server: ServerKey,
    tokens: u32,
    /// When a request with the part was last sent there.
    sent: Option<Moment>,
    /// Whether the server told that it keeps the part.
    told: bool,
}

impl Holdings {
    /// A request with the part was sent to a server.
    pub fn record_sent(&mut self, now: Moment, part: u64, server: ServerKey, tokens: u32) {
        if self.parts.len() >= REMEMBERED_PARTS {
            self.forget_old(now);
        }
        let holding = self.holding(part, server);
        holding.sent = Some(now);
        if !holding.told {
            holding.tokens = tokens;
        }
    }

    /// A server tells how many tokens of a part it keeps now.
    pub fn record_report(&mut self, part: u64, server: ServerKey, tokens: u32) {
        if tokens > 0 {
            let holding = self.holding(part, server);
            holding.told = true;
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

    /// A server is a store, which keeps parts longer than engines do.
    pub fn add_store(&mut self, server: ServerKey) {
        self.stores.insert(server);
    }

    /// A server begins to tell what it keeps.
    pub fn start_reports(&mut self, server: ServerKey) {
        self.telling.insert(server);
    }

    /// Whether a server tells what it keeps.
    #[must_use]
    pub fn reports(&self, server: ServerKey) -> bool {
        self.telling.contains(&server)
    }

    /// Nothing is known of a server any more.
    pub fn forget(&mut self, server: ServerKey) {
        self.telling.remove(&server);
        self.parts.retain(|_, holdings| {
            holdings.retain(|holding| holding.server != server);
            !holdings.is_empty()
        });
    }

    /// Tokens of a part that a server is taken to keep.
    #[must_use]
    pub fn tokens(&self, now: Moment, part: u64, server: ServerKey) -> u32 {
        let holdings = self.parts.get(&part).map_or(&[][..], |holdings| holdings);
        let holding = holdings.iter().find(|holding| holding.server == server);
        holding
            .filter(|holding| self.trusted(now, holding))
            .map_or(0, |holding| holding.tokens)
    }

    /// Servers that are taken to keep a part, with the tokens of it.
    pub fn holders(&self, now: Moment, part: u64) -> impl Iterator<Item = (ServerKey, u32)> {
        let holdings = self.parts.get(&part).map_or(&[][..], |holdings| holdings);
        holdings
            .iter()
            .filter(move |holding| self.trusted(now, holding))
            .map(|holding| (holding.server, holding.tokens))
    }

    fn trusted(&self, now: Moment, holding: &Holding) -> bool {
        let trusted = if self.stores.contains(&holding.server) {
            STORED_TRUSTED
        } else if self.reports(holding.server) {
            NEWS_DELAY
        } else {
            SENT_TRUSTED
        };
        holding.told || holding.sent.is_some_and(|sent| sent + trusted > now)
    }

    fn holding(&mut self, part: u64, server: ServerKey) -> &mut Holding {
        let holdings = self.parts.entry(part).or_default();
        let index = holdings.iter().position(|holding| holding.server == server);
        let index = index.unwrap_or_else(|| {
            holdings.push(Holding {
                server,
                tokens: 0,
                sent: None,
                told: false,
            });
            holdings.len() - 1
        });
        &mut holdings[index]
    }

    fn forget_old(&mut self, now: Moment) {
        self.parts.retain(|_, holdings| {
            holdings.retain(|holding| {
                holding.told || holding.sent.is_some_and(|sent| sent + SENT_TRUSTED > now)
            });
            !holdings.is_empty()
        });
        if self.parts.len() >= REMEMBERED_PARTS {
            self.parts.clear();
        }
    }
}
