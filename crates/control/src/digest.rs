//! The gossip digest: bounded in size, built for one peer from what changed lately, and merged on arrival.
//!
//! Small changes travel inside digests. Views that still differ after several exchanges are fetched whole.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use jaystand_types::{HostName, Incarnation, Moment, ServerId, Version};

use crate::{
    load::{Load, Loads},
    mark::{Cause, Mark},
    member::{Entry, Members},
};

/// Encoded bytes of a digest at most. A daemon sends and receives about 8 a second, each with about 100 bytes of
/// HTTP/2 and TCP, so that this keeps control traffic below 5 KB/s.
pub const MAX_DIGEST_BYTES: usize = 480;
/// Changes travel in digests for this long; by then they have reached a region of 72 daemons many times over.
const FORWARD_FOR: Duration = Duration::from_secs(15);
const MAX_MARKS: usize = 6;
const MAX_ENTRIES: usize = 4;
/// Hot prefix heads that a daemon names.
pub const MAX_HOT_PREFIXES: usize = 4;
/// Heads of a peer that has not been met for this long no longer count.
const HOT_FOR: Duration = Duration::from_secs(60);
/// Exchanges with a different summary in a row after which the whole table is fetched. A change on its way
/// through the region makes single summaries differ.
const MISMATCHES_TO_FETCH: u32 = 6;
/// Shortest time between two fetches of the table.
const FETCH_EVERY: Duration = Duration::from_secs(5);
/// Exchanges of one pair may overtake each other by a few rounds; older messages are stale.
const ROUND_WINDOW: u64 = 16;

jaystand_types::common! { value
    /// The configuration that a daemon has in force.
    #[derive(Default)]
    pub struct Config {
        /// Its version.
        pub version: Version,
        /// The first 8 bytes of its hash.
        pub hash: u64,
    }

    /// A prefix that many requests share.
    pub struct HotPrefix {
        /// Level 0 of its chain.
        pub head: u64,
        /// Requests of the last seconds, as [`crate::load::encode_level`] codes them.
        pub heat: u8,
    }

    /// What a received digest calls for.
    #[derive(Default)]
    pub struct Received {
        /// The peer has a newer configuration, or another one of the same version.
        pub fetch_config: bool,
        /// The views have differed for some time.
        pub fetch_table: bool,
        /// A mark or the configuration changed: tell others at once.
        pub urgent: bool,
    }
}

jaystand_types::common! { data
    /// What two daemons tell each other in an exchange.
    #[derive(Eq)]
    pub struct Digest {
        /// The sender.
        pub sender: Entry,
        /// Grows with every digest of the sender's run.
        pub round: u64,
        /// The sender's configuration.
        pub config: Config,
        /// The sender's [`Members::summary`].
        pub summary: u64,
        /// Changed daemons.
        pub members: Vec<Entry>,
        /// Changed marks.
        pub marks: Vec<Mark>,
        /// Loads, in the order of server ids; valid for the sender's configuration version only.
        pub loads: Vec<Load>,
        /// The sender's hot prefix heads.
        pub hot_prefixes: Vec<HotPrefix>,
    }
}

/// The digest was overtaken by a later one of the same run or is the daemon's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the digest is stale")]
pub struct Stale;

/// Gossip state of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The view of daemons and marks.
    pub members: Members,
    /// Loads of backend servers.
    pub loads: Loads,
    config: Config,
    round: u64,
    hot: Vec<HotPrefix>,
    peers: BTreeMap<HostName, Peer>,
    mismatches: u32,
    fetched: Option<Moment>,
}

/// What was exchanged with a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    run: Incarnation,
    round: u64,
    entries_sent: u64,
    marks_sent: u64,
    loads_sent: Moment,
    met: Moment,
    config: Config,
    hot: Vec<HotPrefix>,
    /// The peer's own entry is outdated and it should hear that.
    contradict: Option<Entry>,
}

impl Gossip {
    /// State of a daemon that has met no peer.
    #[must_use]
    pub fn new(members: Members) -> Self {
        Self {
            members,
            loads: Loads::default(),
            config: Config::default(),
            round: 0,
            hot: Vec::new(),
            peers: BTreeMap::new(),
            mismatches: 0,
            fetched: None,
        }
    }

    /// The configuration in force changed. Server ids belong to one version, so loads start afresh.
    pub fn configure(&mut self, config: Config, servers: usize) {
        if config != self.config {
            self.config = config;
            self.loads = Loads::new(servers);
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Config {
        self.config
    }

    /// The configuration that a peer named in its newest digest, and when it was met; none before the first one.
    #[must_use]
    pub fn peer_config(&self, peer: &str) -> Option<(Config, Moment)> {
        let peer = self.peers.get(peer).filter(|peer| peer.round > 0)?;
        Some((peer.config, peer.met))
    }

    /// Names the own hot prefix heads, the hottest first.
    pub fn set_hot_prefixes(&mut self, mut hot: Vec<HotPrefix>) {
        hot.truncate(MAX_HOT_PREFIXES);
        self.hot = hot;
    }

    /// Requests of the last seconds for a prefix head over all daemons met lately.
    #[must_use]
    pub fn heat(&self, now: Moment, head: u64) -> u32 {
        let recent = |peer: &&Peer| now.saturating_sub(peer.met) < HOT_FOR;
        let peers = self
            .peers
            .values()
            .filter(recent)
            .flat_map(|peer| &peer.hot);
        self.hot
            .iter()
            .chain(peers)
            .filter(|hot| hot.head == head)
            .map(|hot| crate::load::decode_level(hot.heat))
            .sum()
    }

    /// Takes the load of a backend server that this daemon asked for.
    pub fn report_load(&mut self, now: Moment, server: ServerId, requests: u32, age: Duration) {
        self.loads.report(now, server, requests, age);
    }

    /// The digest for a peer, without what it has been sent before.
    pub fn build_digest(&mut self, now: Moment, peer: Option<&str>) -> Digest {
        self.round += 1;
        let mut digest = Digest {
            sender: self.members.own_entry().clone(),
            round: self.round,
            config: self.config,
            summary: self.members.summary(),
            members: Vec::new(),
            marks: Vec::new(),
            loads: Vec::new(),
            hot_prefixes: self.hot.clone(),
        };
        let mut unnamed = Peer::default();
        let peer = match peer {
            Some(name) => self.peers.entry(name.into()).or_default(),
            None => &mut unnamed,
        };
        let since = now.saturating_sub(FORWARD_FOR);
        let marks = self.members.marks().changed_since(peer.marks_sent, since);
        for (revision, mark) in marks.into_iter().take(MAX_MARKS) {
            peer.marks_sent = revision;
            digest.marks.push(mark.clone());
        }
        digest.members.extend(peer.contradict.take());
        for (revision, entry) in self.members.changed_since(peer.entries_sent, since) {
            let fits = digest.encoded_len() + entry_size(entry) <= MAX_DIGEST_BYTES;
            if !fits || digest.members.len() >= MAX_ENTRIES {
                break;
            }
            peer.entries_sent = revision;
            digest.members.push(entry.clone());
        }
        let room = MAX_DIGEST_BYTES.saturating_sub(digest.encoded_len());
        digest.loads = self.loads.since(now, peer.loads_sent, room);
        peer.loads_sent = now;
        digest
    }

    /// Merges a digest.
    ///
    /// # Errors
    /// Fails when the digest is stale; nothing of it is merged.
    pub fn receive(&mut self, now: Moment, digest: Digest) -> Result<Received, Stale> {
        let own = self.members.own_entry();
        if digest.sender.name == own.name {
            // A former run of this host or a second daemon with the same name.
            self.members.merge(now, digest.sender);
            return Err(Stale);
        }
        let same_region = digest.sender.region == own.region;
        let peer = self.peers.entry(digest.sender.name.clone()).or_default();
        if peer.run != digest.sender.incarnation {
            *peer = Peer {
                run: digest.sender.incarnation,
                ..Peer::default()
            };
        }
        if digest.round.saturating_add(ROUND_WINDOW) <= peer.round {
            return Err(Stale);
        }
        if digest.round >= peer.round {
            peer.config = digest.config;
        }
        peer.round = peer.round.max(digest.round);
        peer.met = now;
        peer.hot = digest.hot_prefixes;
        self.members.record_contact(&digest.sender.name);
        self.meet(now, digest.sender);
        let mut urgent = false;
        for entry in digest.members {
            self.members.merge(now, entry);
        }
        for mark in digest.marks {
            urgent |= self.members.merge_mark(now, mark);
        }
        if digest.config == self.config {
            self.loads.merge(now, &digest.loads);
        }
        Ok(Received {
            fetch_config: digest.config.version > self.config.version,
            fetch_table: same_region && self.mismatch(now, digest.summary),
            urgent,
        })
    }

    /// Merges a fetched table.
    pub fn receive_table(&mut self, now: Moment, entries: Vec<Entry>, marks: Vec<Mark>) {
        self.members.merge_table(now, entries, marks);
    }

    /// Forgets peers that the view has forgotten; to be called each round.
    pub fn tick(&mut self, now: Moment) {
        self.members.tick(now);
        let members = &self.members;
        self.peers.retain(|name, _| members.get(name).is_some());
    }

    fn meet(&mut self, now: Moment, sender: Entry) {
        let presented = sender.clone();
        self.members.merge(now, sender);
        let held = self.members.get(&presented.name);
        let contradict = held.filter(|held| **held != presented).cloned();
        if let Some(peer) = self.peers.get_mut(&presented.name) {
            peer.contradict = contradict;
        }
    }

    fn mismatch(&mut self, now: Moment, summary: u64) -> bool {
        if summary == self.members.summary() {
            self.mismatches = 0;
            return false;
        }
        self.mismatches += 1;
        let rested = self
            .fetched
            .is_none_or(|fetched| now.saturating_sub(fetched) >= FETCH_EVERY);
        let fetch = rested && self.mismatches >= MISMATCHES_TO_FETCH;
        if fetch {
            self.mismatches = 0;
            self.fetched = Some(now);
        }
        fetch
    }
}

impl Digest {
    /// Bytes of the message as `peer.proto` encodes it.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let hot = |hot: &HotPrefix| message(fixed(hot.head) + number(hot.heat.into()));
        entry_size(&self.sender)
            + number(self.round)
            + number(self.config.version)
            + fixed(self.config.hash)
            + fixed(self.summary)
            + self.members.iter().map(entry_size).sum::<usize>()
            + self.marks.iter().map(mark_size).sum::<usize>()
            + crate::load::size(&self.loads)
            + self.hot_prefixes.iter().map(hot).sum::<usize>()
    }
}

fn entry_size(entry: &Entry) -> usize {
    let address = if entry.address.is_ipv4() { 6 } else { 18 };
    message(
        text(&entry.name)
            + text(&entry.data_centre)
            + text(&entry.region)
            + message(address)
            + fixed(entry.incarnation)
            + number(entry.sequence)
            + 2,
    )
}

fn mark_size(mark: &Mark) -> usize {
    let run = match mark.cause {
        Cause::Engine(run) => fixed(run),
        Cause::Operator | Cause::List => 0,
    };
    let leaving = if mark.leaving { 2 } else { 0 };
    message(text(&mark.subject) + 2 + run + number(mark.stamp) + leaving)
}

/// A field of variable length: tag, length and content.
pub(crate) fn message(length: usize) -> usize {
    1 + varint(length as u64) + length
}

fn text(text: &CompactString) -> usize {
    if text.is_empty() {
        0
    } else {
        message(text.len())
    }
}

/// A varint field; zero is not encoded.
fn number(value: u64) -> usize {
    if value == 0 { 0 } else { 1 + varint(value) }
}

fn fixed(value: u64) -> usize {
    if value == 0 { 0 } else { 9 }
}

pub(crate) fn varint(value: u64) -> usize {
    let bits = (u64::BITS - value.leading_zeros()).max(1);
    bits.div_ceil(7) as usize
}

/// The first 8 bytes of a hash, which suffice to tell a few thousand configurations or hosts apart.
#[must_use]
pub fn short_hash(hash: &[u8; 32]) -> u64 {
    u64::from_le_bytes(*hash.first_chunk().unwrap_or(&[0; 8]))
}
