//! Which hosts of a data centre follow the store, and which follow one of those.
//!
//! The load that this answers: on tanekaha-tanks-large 295 hosts followed the store each for itself. Their 19,373
//! calls in a day took 0.36 of its worth. Calls should grow with the data centres instead.
//!
//! The relays of a data centre are its hosts with the largest links, and among equal ones the first of a rendezvous
//! order, so that hosts agree on them without a message. Views differ for a while when hosts come and go: a host that is
//! asked for changes follows the store for as long as it is asked, whether or not it would choose itself.

use std::{hash::Hash, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::prompt;

/// In smaller data centres every host follows the store; relays would save few calls.
const LEAST_MEMBERS: usize = 4;
/// From this size on a data centre has two relays at least: one may be frozen or cut off while the other serves.
const TWO_RELAYS: usize = 9;
/// Mbit/s of a relay's link for each of its followers. A configuration for 190 teams has some 0.3 Mbit, and the requests
/// of the relay's own callers wait behind its copies.
const LINK_FOR_FOLLOWER: u32 = 2;
/// A member that was not heard for this long is gone. In a fleet of 295 hosts each hears 72 others in 400 ms.
const MEMBER_EXPIRY: Duration = Duration::from_secs(8);
/// A host follows the store for this long after it was last asked for changes.
const ASKED_KEPT: Duration = Duration::from_secs(5);
/// A relay that failed is passed over for this long.
const FAILED_PAUSE: Duration = Duration::from_secs(6);
/// After this many failures within the pause the host goes to the store itself.
const MOST_FAILURES: usize = 2;
/// A host that has just started waits this long for news of its members, and up to as long again, by its own
/// identity. If all went to the store at once, each start of the fleet would cost three calls a host.
const START_PATIENCE: Duration = Duration::from_millis(400);

jaystand_types::common! { value
    /// Where a host learns of changes.
    pub enum Source<P> {
        /// Not known yet: the other hosts of the data centre have not been heard.
        Unknown,
        /// From the store.
        Store,
        /// From another host.
        Host(P),
    }
}

/// The hosts of the own data centre.
#[derive(Clone, Debug)]
pub struct Relays<P> {
    own: P,
    link: u32,
    started: Moment,
    members: HashMap<P, Member>,
    asked: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    heard: Moment,
    /// Mbit/s of its link; 0 while it is not known. It then counts as a link like the own one: if it counted as none, each
    /// host that starts would take itself for a relay, and a fleet that starts together would list the store at once.
    link: u32,
    failed: Option<Moment>,
}

impl<P: Copy + Eq + Hash> Relays<P> {
    /// No other host is known yet. `link` is the host's own, in Mbit/s.
    #[must_use]
    pub fn new(own: P, link: u32, started: Moment) -> Self {
        Self {
            own,
            link,
            started,
            members: HashMap::new(),
            asked: None,
        }
    }

    /// A host of the data centre gave a sign of life. `link` is in Mbit/s, and 0 when others only named the host.
    pub fn record_contact(&mut self, now: Moment, host: P, link: u32) {
        if host == self.own {
            return;
        }
        let new = Member {
            heard: now,
            link: 0,
            failed: None,
        };
        let member = self.members.entry(host).or_insert(new);
        member.heard = now;
        member.link = member.link.max(link);
    }

    /// A host of the data centre is about to stop.
    pub fn remove(&mut self, host: P) {
        self.members.remove(&host);
    }

    /// Another host asked this one for changes.
    pub fn record_follower(&mut self, now: Moment) {
        self.asked = Some(now);
    }

    /// A host did not answer, or has lost the store itself.
    pub fn record_failure(&mut self, now: Moment, host: P) {
        if let Some(member) = self.members.get_mut(&host) {
            member.failed = Some(now);
        }
    }

    /// Where this host learns of changes now. `identity` tells a host's place in the order, equal on all hosts.
    pub fn choose(&mut self, now: Moment, identity: impl Fn(P) -> u64) -> Source<P> {
        self.members
            .retain(|_, member| now.saturating_sub(member.heard) < MEMBER_EXPIRY);
        let own = identity(self.own);
        let asked = self.asked.is_some_and(|at| now < at + ASKED_KEPT);
        if asked {
            return Source::Store;
        }
        let few = self.members.len() + 1 < LEAST_MEMBERS;
        let longer = if few { share_of(own) } else { 0 };
        // Others may be heard of yet: a host that is followed by mistake has to list everything itself.
        if now < self.started + START_PATIENCE * (100 + longer) / 100 {
            return Source::Unknown;
        }
        if few {
            return Source::Store;
        }
        let failed = |member: &Member| member.failed.is_some_and(|at| now < at + FAILED_PAUSE);
        if self.members.values().filter(|m| failed(m)).count() >= MOST_FAILURES {
            return Source::Store;
        }
        let sound = self.members.iter().filter(|(_, member)| !failed(member));
        let mut order: Vec<(u32, u64, P)> = sound
            .map(|(host, member)| {
                let link = if member.link == 0 {
                    self.link
                } else {
                    member.link
                };
                (link, prompt::mix(0, identity(*host)), *host)
            })
            .chain([(self.link, prompt::mix(0, own), self.own)])
            .collect();
        order.sort_unstable_by_key(|(link, weight, _)| std::cmp::Reverse((*link, *weight)));
        order.truncate(relays(order.iter().map(|(link, ..)| *link)));
        if order.iter().any(|(.., host)| *host == self.own) {
            return Source::Store;
        }
        let turn = usize::try_from(own % order.len() as u64).unwrap_or(0);
        Source::Host(order[turn].2)
    }
}

/// Hosts that follow the store, in data centres whose hosts have links of so many Mbit/s.
pub fn count_store_followers(data_centres: impl Iterator<Item = Vec<u32>>) -> usize {
    let each = data_centres.map(|mut links| {
        links.sort_unstable_by_key(|link| std::cmp::Reverse(*link));
        relays(links.into_iter())
    });
    each.sum()
}

/// Hosts that follow the store, of a data centre whose hosts have these links, the largest first.
fn relays(links: impl ExactSizeIterator<Item = u32>) -> usize {
    let hosts = links.len();
    let least = match hosts {
        ..LEAST_MEMBERS => return hosts,
        LEAST_MEMBERS..TWO_RELAYS => 1,
        TWO_RELAYS.. => 2,
    };
    let mut served = 0;
    for (number, link) in links.enumerate() {
        if number >= least && served + number >= hosts {
            return number;
        }
        served += usize::try_from(link / LINK_FOR_FOLLOWER)
            .unwrap_or(usize::MAX)
            .max(1);
    }
    hosts
}

/// A share in hundredths, by identity.
fn share_of(identity: u64) -> u32 {
    u32::try_from(prompt::mix(1, identity) % 100).unwrap_or(0)
}
