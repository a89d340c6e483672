//! The messages of reports between hosts. Fields are added with new tags and never change their meaning, since hosts of
//! two versions report to each other while a fleet is upgraded. The tags 7 and 13 are retired.

use jaystand_dispatch::{ServerKey, directory::Server, load::Load};
use prost::Message;

use crate::{hub::RecentPart, quota::QuotaReport, suspect::SuspicionEntry};

/// Token counts are sent in units of this many tokens, so that most take one byte.
const TOKEN_UNIT: u64 = 64;
/// Prefill times are sent in units of this many microseconds.
const PREFILL_UNIT_US: u64 = 1_024;

/// A host's report to its peers.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Report {
    #[prost(fixed64, tag = "1")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) config_version: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) servers_revision: u64,
    #[prost(bool, tag = "4")]
    pub(crate) connected: bool,
    #[prost(bool, tag = "5")]
    pub(crate) stopping: bool,
    #[prost(message, repeated, tag = "6")]
    pub(crate) groups: Vec<Group>,
    #[prost(message, optional, tag = "26")]
    pub(crate) loads: Option<Loads>,
    /// Updates of servers that serve one model. Former builds take each as one of the server's first model.
    #[prost(message, repeated, tag = "8")]
    pub(crate) updates: Vec<UpdateEntry>,
    /// Updates of servers that serve several models.
    #[prost(message, repeated, tag = "28")]
    pub(crate) model_updates: Vec<ModelUpdates>,
    #[prost(message, repeated, tag = "9")]
    pub(crate) weights: Vec<WeightsEntry>,
    #[prost(message, optional, tag = "10")]
    pub(crate) lease: Option<LeaseEntry>,
    #[prost(string, tag = "11")]
    pub(crate) data_centre: String,
    #[prost(uint64, optional, tag = "12")]
    pub(crate) abandoned_fence: Option<u64>,
    #[prost(message, optional, tag = "27")]
    pub(crate) parts: Option<Parts>,
    #[prost(enumeration = "Scope", tag = "14")]
    pub(crate) scope: i32,
    #[prost(uint64, tag = "15")]
    pub(crate) servers_changed: u64,
    /// Whether the process has just started and knows few other hosts.
    #[prost(bool, tag = "16")]
    pub(crate) new: bool,
    /// The sender's link, in Mbit/s.
    #[prost(uint32, tag = "17")]
    pub(crate) link: u32,
    /// Servers that told the sender that they are leaving.
    #[prost(uint64, repeated, tag = "18")]
    pub(crate) departures: Vec<u64>,
    /// Limits of servers, and recent ends of limits.
    #[prost(message, repeated, tag = "19")]
    pub(crate) limits: Vec<LimitEntry>,
    /// Prompt parts under which servers have ended, and recent clearances of parts.
    #[prost(message, repeated, tag = "20")]
    pub(crate) suspicions: Vec<SuspicionEntry>,
    /// Era of the revisions of servers; 0 from hosts that do not know of eras.
    #[prost(uint64, tag = "21")]
    pub(crate) servers_era: u64,
    /// The latest era of the store that the sender knows.
    #[prost(uint64, tag = "22")]
    pub(crate) era: u64,
    /// Charges to the rate limits of teams; absent in deployments without such limits.
    #[prost(message, optional, tag = "23")]
    pub(crate) quota: Option<QuotaReport>,
    /// How long first events and answers of servers took, in whole reports of hosts with `even_load_hosts`.
    #[prost(message, repeated, tag = "25")]
    pub(crate) speeds: Vec<SpeedEntry>,
}

/// Hosts of a data centre that have reported to the sender.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Group {
    #[prost(string, tag = "1")]
    pub(crate) data_centre: String,
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) hosts: Vec<u32>,
    /// Their links in Mbit/s, in the same order.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) links: Vec<u32>,
}

/// Which fields a report fills in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Scope {
    /// All fields.
    Whole = 0,
    /// What placement needs: loads, updates and parts.
    Brief = 1,
    /// What peers must learn at once, such as updates that have just changed.
    News = 2,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeaseEntry {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(string, tag = "2")]
    pub(crate) holder: String,
    #[prost(uint64, tag = "3")]
    pub(crate) fence: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) renewal: u64,
    /// Era of the revision; 0 from hosts that do not know of eras.
    #[prost(uint64, tag = "5")]
    pub(crate) era: u64,
}

/// Shared parts that the sender recently sent to servers. Columns of equal length take half the bytes of a list of
/// messages: under a burst these and the loads filled the links of hosts with 10 Mbit/s.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Parts {
    /// Cache keys of the parts.
    #[prost(fixed64, repeated, tag = "1")]
    pub(crate) keys: Vec<u64>,
    /// Keys of servers, which have 32 bits.
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) servers: Vec<u32>,
    /// Numbers of tokens, in units of `TOKEN_UNIT`, rounded up: a part counts as cached only if all of its tokens are.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) tokens: Vec<u32>,
}

/// The load of the sender's requests on servers, in columns of equal length.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Loads {
    /// Keys of servers, which have 32 bits.
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) servers: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) active: Vec<u32>,
    /// Prefill times, in units of `PREFILL_UNIT_US`, rounded up.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) prefill: Vec<u32>,
    /// Tokens of memory, in units of `TOKEN_UNIT`, rounded up.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) memory: Vec<u32>,
}

impl Parts {
    /// Returns `None` without parts.
    pub(crate) fn compose<'a>(parts: impl Iterator<Item = &'a RecentPart>) -> Option<Self> {
        let mut columns = Self::default();
        for part in parts {
            columns.keys.push(part.part);
            columns.servers.push(narrow(part.server));
            columns
                .tokens
                .push(narrow(u64::from(part.tokens).div_ceil(TOKEN_UNIT)));
        }
        (!columns.keys.is_empty()).then_some(columns)
    }

    /// Returns each part with its server and its number of tokens.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, ServerKey, u32)> {
        let parts = self.keys.iter().zip(&self.servers).zip(&self.tokens);
        let unit = narrow(TOKEN_UNIT);
        parts.map(move |((key, server), tokens)| {
            (*key, ServerKey::from(*server), tokens.saturating_mul(unit))
        })
    }
}

impl Loads {
    /// Returns `None` without servers.
    pub(crate) fn compose<'a>(servers: impl Iterator<Item = &'a Server>) -> Option<Self> {
        let mut columns = Self::default();
        for server in servers {
            let load = &server.load;
            columns.servers.push(narrow(server.key));
            columns.active.push(load.active);
            columns
                .prefill
                .push(narrow(load.prefill_us.div_ceil(PREFILL_UNIT_US)));
            columns
                .memory
                .push(narrow(load.memory_tokens.div_ceil(TOKEN_UNIT)));
        }
        (!columns.servers.is_empty()).then_some(columns)
    }

    /// Returns the load on each server.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerKey, Load)> {
        let counts = self.active.iter().zip(&self.prefill).zip(&self.memory);
        let loads = counts.map(|((active, prefill), memory)| Load {
            active: *active,
            prefill_us: u64::from(*prefill) * PREFILL_UNIT_US,
            memory_tokens: u64::from(*memory) * TOKEN_UNIT,
        });
        let servers = self.servers.iter().copied().map(ServerKey::from);
        servers.zip(loads)
    }
}

/// Converts a number to 32 bits; a larger one becomes the largest.
fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct UpdateEntry {
    #[prost(uint64, tag = "1")]
    pub(crate) server: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    #[prost(bool, tag = "3")]
    pub(crate) done: bool,
}

/// Updates of one model.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ModelUpdates {
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) updates: Vec<UpdateEntry>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct WeightsEntry {
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
    #[prost(bool, tag = "4")]
    pub(crate) presumed: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitEntry {
    #[prost(uint64, tag = "1")]
    pub(crate) server: u64,
    /// Thousandths of a request a second; 0 when the server names no limit any more.
    #[prost(uint32, tag = "2")]
    pub(crate) millis: u32,
    /// Age of the answer that said so.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SpeedEntry {
    #[prost(uint64, tag = "1")]
    pub(crate) server: u64,
    /// Sum of the measured times.
    #[prost(uint32, tag = "2")]
    pub(crate) took_ms: u32,
    /// Sum of the times that were expected of a server of mean speed.
    #[prost(uint32, tag = "3")]
    pub(crate) expected_ms: u32,
}
