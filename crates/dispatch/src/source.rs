//! The source of changes: which hosts of a data centre follow the store, as relays, and which follow a relay.
//!
//! With relays, the number of calls to the store grows with the number of data centres, not of hosts. On
//! tanekaha-tanks-large 295 hosts each followed the store, and their 19,373 calls in a day took 0.36 of the day's
//! worth.
//!
//! The relays of a data centre are its hosts with the largest links, and among equal ones the first in a rendezvous
//! order, so that hosts agree on them without a message. Their views of the members differ for a while when hosts come
//! and go. A host that is asked for changes therefore follows the store while it is asked, whether or not it would
//! choose itself.

use std::{hash::Hash, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;

use crate::prompt;

/// In data centres with fewer hosts every host follows the store; relays would save few calls.
const MIN_RELAYED_HOSTS: usize = 4;
/// Data centres with this many hosts or more have at least two relays, so that one may be frozen or cut off.
const TWO_RELAYS_HOSTS: usize = 9;
/// Bandwidth of a relay's link for each of its followers. A configuration for 190 teams has some 0.3 Mbit, and the
/// answers to the relay's own callers wait behind its copies.
const FOLLOWER_LINK_MBPS: u32 = 2;
/// A member without contact for this long is removed. In a fleet of 295 hosts each has contact with 72 others in 400
/// ms.
const MEMBER_EXPIRY: Duration = Duration::from_secs(8);
/// A host follows the store for this long after it was last asked for changes.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(5);
/// A relay that failed is not chosen for this long.
const FAILURE_EXPIRY: Duration = Duration::from_secs(6);
/// A host follows the store when this many members have failed within `FAILURE_EXPIRY`.
const MAX_FAILED_RELAYS: usize = 2;
/// A host that has just started waits this long for contact with its members. If it has found few, it waits up to twice
/// as long; its identity decides how much longer. If all hosts went to the store at once, each start of the fleet would
/// cost three calls a host.
const START_DELAY: Duration = Duration::from_millis(400);

jaystand_types::common! { value
    /// The source from which a host receives changes.
    pub enum Source<P> {
        /// Not known yet: the host has just started and waits for contact with its members.
        Unknown,
        /// The store.
        Store,
        /// Another host, which relays the changes.
        Host(P),
    }
}

/// The members of this host's data centre, and the choice of relays among them.
#[derive(Clone, Debug)]
pub struct Relays<P> {
    local: P,
    link_mbps: u32,
    started: Moment,
    /// The other hosts of the data centre.
    members: HashMap<P, Member>,
    /// When another host last asked this one for changes.
    last_followed: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    last_contact: Moment,
    /// Bandwidth of its link; 0 while it is not known. An unknown link counts as equal to that of this host. If it
    /// counted as 0, each host that starts would choose itself as a relay, and a fleet that starts together would list
    /// the store all at once.
    link_mbps: u32,
    last_failure: Option<Moment>,
}

impl<P: Copy + Eq + Hash> Relays<P> {
    /// Creates the state of a host that has just started and knows no other host.
    #[must_use]
    pub fn new(local: P, link_mbps: u32, started: Moment) -> Self {
        Self {
            local,
            link_mbps,
            started,
            members: HashMap::new(),
            last_followed: None,
        }
    }

    /// Records contact with a host of the data centre. `link_mbps` is 0 if the host was only named by others.
    pub fn record_contact(&mut self, now: Moment, host: P, link_mbps: u32) {
        if host == self.local {
            return;
        }
        let new = Member {
            last_contact: now,
            link_mbps: 0,
            last_failure: None,
        };
        let member = self.members.entry(host).or_insert(new);
        member.last_contact = now;
        member.link_mbps = member.link_mbps.max(link_mbps);
    }

    /// Removes a host of the data centre that is about to stop.
    pub fn remove(&mut self, host: P) {
        self.members.remove(&host);
    }

    /// Records that another host asked this one for changes.
    pub fn record_follower(&mut self, now: Moment) {
        self.last_followed = Some(now);
    }

    /// Records that a host did not answer, or has lost the store.
    pub fn record_failure(&mut self, now: Moment, host: P) {
        if let Some(member) = self.members.get_mut(&host) {
            member.last_failure = Some(now);
        }
    }

    /// Returns the source of changes for this host now. `identity` returns a number for each host, the same on all
    /// hosts; it decides the order of hosts with equal links.
    pub fn choose(&mut self, now: Moment, identity: impl Fn(P) -> u64) -> Source<P> {
        self.members
            .retain(|_, member| now.saturating_sub(member.last_contact) < MEMBER_EXPIRY);
        let local_identity = identity(self.local);
        let is_followed = self
            .last_followed
            .is_some_and(|at| now < at + FOLLOWER_EXPIRY);
        if is_followed {
            return Source::Store;
        }
        let few_members = self.members.len() + 1 < MIN_RELAYED_HOSTS;
        let extra_percent = if few_members {
            percent_of(local_identity)
        } else {
            0
        };
        // Further members may be found: a host that is followed by mistake has to list the whole store.
        if now < self.started + START_DELAY * (100 + extra_percent) / 100 {
            return Source::Unknown;
        }
        if few_members {
            return Source::Store;
        }
        let has_failed = |member: &Member| {
            member
                .last_failure
                .is_some_and(|at| now < at + FAILURE_EXPIRY)
        };
        if self.members.values().filter(|m| has_failed(m)).count() >= MAX_FAILED_RELAYS {
            return Source::Store;
        }
        let healthy = self
            .members
            .iter()
            .filter(|(_, member)| !has_failed(member));
        let mut order: Vec<(u32, u64, P)> = healthy
            .map(|(host, member)| {
                let link_mbps = if member.link_mbps == 0 {
                    self.link_mbps
                } else {
                    member.link_mbps
                };
                (link_mbps, prompt::mix(0, identity(*host)), *host)
            })
            .chain([(self.link_mbps, prompt::mix(0, local_identity), self.local)])
            .collect();
        order.sort_unstable_by_key(|(link_mbps, weight, _)| {
            std::cmp::Reverse((*link_mbps, *weight))
        });
        order.truncate(count_relays(order.iter().map(|(link_mbps, ..)| *link_mbps)));
        if order.iter().any(|(.., host)| *host == self.local) {
            return Source::Store;
        }
        let index = usize::try_from(local_identity % order.len() as u64).unwrap_or(0);
        Source::Host(order[index].2)
    }
}

/// Returns how many hosts follow the store. For each data centre `data_centres` has the links of its hosts, in Mbit/s.
pub fn count_store_followers(data_centres: impl Iterator<Item = Vec<u32>>) -> usize {
    let each = data_centres.map(|mut links| {
        links.sort_unstable_by_key(|link| std::cmp::Reverse(*link));
        count_relays(links.into_iter())
    });
    each.sum()
}

/// Returns how many hosts of a data centre follow the store. `links` has the links of its hosts in Mbit/s, the largest
/// first.
fn count_relays(links: impl ExactSizeIterator<Item = u32>) -> usize {
    let hosts = links.len();
    let min_relays = match hosts {
        ..MIN_RELAYED_HOSTS => return hosts,
        MIN_RELAYED_HOSTS..TWO_RELAYS_HOSTS => 1,
        TWO_RELAYS_HOSTS.. => 2,
    };
    let mut max_followers = 0;
    for (relays, link) in links.enumerate() {
        if relays >= min_relays && max_followers + relays >= hosts {
            return relays;
        }
        max_followers += usize::try_from(link / FOLLOWER_LINK_MBPS)
            .unwrap_or(usize::MAX)
            .max(1);
    }
    hosts
}

/// Returns a percentage below 100 that depends on the identity.
fn percent_of(identity: u64) -> u32 {
    u32::try_from(prompt::mix(1, identity) % 100).unwrap_or(0)
}
