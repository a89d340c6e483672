//! Gossip between daemons. A digest has a bounded size, is built for one peer from recent changes, and is merged on
//! arrival.
//!
//! Small changes travel inside digests. If two views still differ after several exchanges, the whole table is fetched.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use jaystand_types::{HostName, Incarnation, Moment, ServerId, Version};

use crate::{
    load::{Load, Loads},
    mark::{Cause, Mark},
    member::{Entry, Members},
};

/// Greatest encoded size of a digest. A daemon sends and receives about 8 digests a second, each with about 100 bytes
/// of HTTP/2 and TCP framing, so this keeps control traffic below 5 KB/s.
pub const MAX_DIGEST_BYTES: usize = 480;
/// How long digests carry a change. In this time it reaches each daemon of a region of 72 many times.
const FORWARD_TIME: Duration = Duration::from_secs(15);
/// Greatest number of marks in a digest.
const MAX_MARKS: usize = 6;
/// Greatest number of changed entries in a digest.
const MAX_ENTRIES: usize = 4;
/// Greatest number of hot prefixes in a digest.
pub const MAX_HOT_PREFIXES: usize = 4;
/// Time after the last digest of a peer from which on its hot prefixes no longer count.
const HOT_PREFIX_LIFETIME: Duration = Duration::from_secs(60);
/// Consecutive exchanges with differing summaries after which the whole table is fetched. A change that is still
/// spreading through the region makes single summaries differ.
const MISMATCHES_TO_FETCH: u32 = 6;
/// Shortest time between two fetches of the table.
const MIN_FETCH_INTERVAL: Duration = Duration::from_secs(5);
/// Number of rounds after which a digest is stale. Exchanges of one pair may overtake each other by a few rounds.
const STALE_AFTER_ROUNDS: u64 = 16;

jaystand_types::common! { value
    /// Identifies the configuration that a daemon has in force.
    #[derive(Default)]
    pub struct Config {
        /// Version of the document.
        pub version: Version,
        /// First 8 bytes of the document's hash.
        pub hash: u64,
    }

    /// A prompt prefix that many requests share.
    pub struct HotPrefix {
        /// Level 0 of the prefix's chain.
        pub head: u64,
        /// Number of requests in the last seconds, coded by [`crate::load::encode_level`].
        pub heat: u8,
    }

    /// What the receiver of a digest has to do next.
    #[derive(Default)]
    pub struct Received {
        /// Fetch the configuration of the peer, which is newer.
        pub fetch_config: bool,
        /// Fetch the whole table of the peer, since the views have differed for some time.
        pub fetch_table: bool,
        /// Contact other peers at once, since a mark changed.
        pub urgent: bool,
    }
}

jaystand_types::common! { data
    /// The message that each of two daemons sends in an exchange.
    #[derive(Eq)]
    pub struct Digest {
        /// Entry of the sender.
        pub sender: Entry,
        /// Number that grows with every digest of the sender's run.
        pub round: u64,
        /// Configuration that the sender has in force.
        pub config: Config,
        /// The sender's [`Members::summary`].
        pub summary: u64,
        /// Changed entries.
        pub members: Vec<Entry>,
        /// Changed marks.
        pub marks: Vec<Mark>,
        /// Loads in the order of server ids, which belong to the sender's configuration version.
        pub loads: Vec<Load>,
        /// Hot prefixes of the sender.
        pub hot_prefixes: Vec<HotPrefix>,
    }
}

/// The digest is many rounds older than another one of the same run, or names the own host as its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the digest is stale")]
pub struct Stale;

/// The gossip state of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Known daemons and marks.
    pub members: Members,
    /// Loads of backend servers.
    pub loads: Loads,
    config: Config,
    round: u64,
    hot_prefixes: Vec<HotPrefix>,
    peers: BTreeMap<HostName, Peer>,
    /// Consecutive exchanges in which the summaries differed.
    mismatches: u32,
    last_fetch: Option<Moment>,
}

/// What was last exchanged with a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    run: Incarnation,
    round: u64,
    /// Revision up to which entries were sent.
    entries_sent: u64,
    /// Revision up to which marks were sent.
    marks_sent: u64,
    loads_sent: Moment,
    /// When the last digest of the peer arrived.
    last_contact: Moment,
    config: Config,
    hot_prefixes: Vec<HotPrefix>,
    /// The entry to send to the peer because it differs from the peer's own one.
    correction: Option<Entry>,
}

impl Gossip {
    /// Creates the state of a daemon that has had contact with no peer.
    #[must_use]
    pub fn new(members: Members) -> Self {
        Self {
            members,
            loads: Loads::default(),
            config: Config::default(),
            round: 0,
            hot_prefixes: Vec::new(),
            peers: BTreeMap::new(),
            mismatches: 0,
            last_fetch: None,
        }
    }

    /// Sets the configuration in force. A change discards all loads, since server ids belong to one version.
    pub fn configure(&mut self, config: Config, servers: usize) {
        if config != self.config {
            self.config = config;
            self.loads = Loads::new(servers);
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Config {
        self.config
    }

    /// Returns the configuration that a peer named in its newest digest, and the time of its last digest; `None` before
    /// the first one.
    #[must_use]
    pub fn peer_config(&self, peer: &str) -> Option<(Config, Moment)> {
        let peer = self.peers.get(peer).filter(|peer| peer.round > 0)?;
        Some((peer.config, peer.last_contact))
    }

    /// Sets the own hot prefixes, which are given in descending order of heat. Keeps the first [`MAX_HOT_PREFIXES`].
    pub fn set_hot_prefixes(&mut self, mut hot_prefixes: Vec<HotPrefix>) {
        hot_prefixes.truncate(MAX_HOT_PREFIXES);
        self.hot_prefixes = hot_prefixes;
    }

    /// Returns the number of requests in the last seconds for a prefix head, summed over this daemon and all peers with
    /// recent contact.
    #[must_use]
    pub fn heat(&self, now: Moment, head: u64) -> u32 {
        let is_recent = |peer: &&Peer| now.saturating_sub(peer.last_contact) < HOT_PREFIX_LIFETIME;
        let of_peers = self
            .peers
            .values()
            .filter(is_recent)
            .flat_map(|peer| &peer.hot_prefixes);
        self.hot_prefixes
            .iter()
            .chain(of_peers)
            .filter(|prefix| prefix.head == head)
            .map(|prefix| crate::load::decode_level(prefix.heat))
            .sum()
    }

    /// Records the load of a backend server that this daemon asked for it.
    pub fn report_load(&mut self, now: Moment, server: ServerId, requests: u32, age: Duration) {
        self.loads.report(now, server, requests, age);
    }

    /// Builds a digest for a peer, without the changes that were already sent to it.
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
            hot_prefixes: self.hot_prefixes.clone(),
        };
        let mut unknown_peer = Peer::default();
        let peer = match peer {
            Some(name) => self.peers.entry(name.into()).or_default(),
            None => &mut unknown_peer,
        };
        let oldest = now.saturating_sub(FORWARD_TIME);
        let marks = self.members.marks().changed_since(peer.marks_sent, oldest);
        for (revision, mark) in marks.into_iter().take(MAX_MARKS) {
            peer.marks_sent = revision;
            digest.marks.push(mark.clone());
        }
        digest.members.extend(peer.correction.take());
        for (revision, entry) in self.members.changed_since(peer.entries_sent, oldest) {
            let fits = digest.encoded_len() + entry_len(entry) <= MAX_DIGEST_BYTES;
            if !fits || digest.members.len() >= MAX_ENTRIES {
                break;
            }
            peer.entries_sent = revision;
            digest.members.push(entry.clone());
        }
        let max_bytes = MAX_DIGEST_BYTES.saturating_sub(digest.encoded_len());
        digest.loads = self.loads.learned_since(now, peer.loads_sent, max_bytes);
        peer.loads_sent = now;
        digest
    }

    /// Merges a received digest.
    ///
    /// # Errors
    /// Returns an error if the digest is stale. Of such a digest at most the entry of its sender is merged.
    pub fn receive(&mut self, now: Moment, digest: Digest) -> Result<Received, Stale> {
        let own = self.members.own_entry();
        if digest.sender.name == own.name {
            // The sender is a former run of this daemon or another daemon with the same name.
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
        if digest.round.saturating_add(STALE_AFTER_ROUNDS) <= peer.round {
            return Err(Stale);
        }
        if digest.round >= peer.round {
            peer.config = digest.config;
        }
        peer.round = peer.round.max(digest.round);
        peer.last_contact = now;
        peer.hot_prefixes = digest.hot_prefixes;
        self.members.record_contact(&digest.sender.name);
        self.merge_sender(now, digest.sender);
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
            fetch_table: same_region && self.needs_fetch(now, digest.summary),
            urgent,
        })
    }

    /// Merges a fetched table.
    pub fn receive_table(&mut self, now: Moment, entries: Vec<Entry>, marks: Vec<Mark>) {
        self.members.merge_table(now, entries, marks);
    }

    /// Advances the membership and forgets peers that it no longer contains. Must be called in each round.
    pub fn tick(&mut self, now: Moment) {
        self.members.tick(now);
        let members = &self.members;
        self.peers.retain(|name, _| members.get(name).is_some());
    }

    /// Merges the entry of a digest's sender. If another entry prevails, the sender gets it in the next digest.
    fn merge_sender(&mut self, now: Moment, sender: Entry) {
        let received = sender.clone();
        self.members.merge(now, sender);
        let merged = self.members.get(&received.name);
        let correction = merged.filter(|entry| **entry != received).cloned();
        if let Some(peer) = self.peers.get_mut(&received.name) {
            peer.correction = correction;
        }
    }

    /// Compares the summary of a peer with the own one, and returns whether the whole table has to be fetched now.
    fn needs_fetch(&mut self, now: Moment, summary: u64) -> bool {
        if summary == self.members.summary() {
            self.mismatches = 0;
            return false;
        }
        self.mismatches += 1;
        let interval_passed = self
            .last_fetch
            .is_none_or(|last_fetch| now.saturating_sub(last_fetch) >= MIN_FETCH_INTERVAL);
        let fetch = interval_passed && self.mismatches >= MISMATCHES_TO_FETCH;
        if fetch {
            self.mismatches = 0;
            self.last_fetch = Some(now);
        }
        fetch
    }
}

impl Digest {
    /// Returns the size in bytes of the message that `peer.proto` defines for the digest.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let prefix_len = |prefix: &HotPrefix| {
            field_len(fixed64_field_len(prefix.head) + varint_field_len(prefix.heat.into()))
        };
        entry_len(&self.sender)
            + varint_field_len(self.round)
            + varint_field_len(self.config.version)
            + fixed64_field_len(self.config.hash)
            + fixed64_field_len(self.summary)
            + self.members.iter().map(entry_len).sum::<usize>()
            + self.marks.iter().map(mark_len).sum::<usize>()
            + crate::load::encoded_len(&self.loads)
            + self.hot_prefixes.iter().map(prefix_len).sum::<usize>()
    }
}

fn entry_len(entry: &Entry) -> usize {
    // 4 or 16 bytes of IP address and 2 of port.
    let address_bytes = if entry.address.is_ipv4() { 6 } else { 18 };
    // The state takes 2 bytes.
    field_len(
        text_field_len(&entry.name)
            + text_field_len(&entry.data_centre)
            + text_field_len(&entry.region)
            + field_len(address_bytes)
            + fixed64_field_len(entry.incarnation)
            + varint_field_len(entry.sequence)
            + 2,
    )
}

fn mark_len(mark: &Mark) -> usize {
    let run = match mark.cause {
        Cause::Engine(run) => fixed64_field_len(run),
        Cause::Operator | Cause::List => 0,
    };
    let leaving = if mark.leaving { 2 } else { 0 };
    // The cause takes 2 bytes.
    field_len(text_field_len(&mark.subject) + 2 + run + varint_field_len(mark.stamp) + leaving)
}

/// Returns the bytes of a length-delimited field: tag, length and content.
pub(crate) fn field_len(length: usize) -> usize {
    1 + varint_len(length as u64) + length
}

/// Returns the bytes of a string field; an empty string is not encoded.
fn text_field_len(text: &CompactString) -> usize {
    if text.is_empty() {
        0
    } else {
        field_len(text.len())
    }
}

/// Returns the bytes of a varint field; zero is not encoded.
fn varint_field_len(value: u64) -> usize {
    if value == 0 { 0 } else { 1 + varint_len(value) }
}

/// Returns the bytes of a `fixed64` field; zero is not encoded.
fn fixed64_field_len(value: u64) -> usize {
    if value == 0 { 0 } else { 9 }
}

pub(crate) fn varint_len(value: u64) -> usize {
    let bits = (u64::BITS - value.leading_zeros()).max(1);
    bits.div_ceil(7) as usize
}

/// Returns the first 8 bytes of a hash, which suffice to distinguish a few thousand configurations or hosts.
#[must_use]
pub fn short_hash(hash: &[u8; 32]) -> u64 {
    u64::from_le_bytes(*hash.first_chunk().unwrap_or(&[0; 8]))
}
