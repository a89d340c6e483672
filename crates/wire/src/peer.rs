//! The messages between daemons: the types that the protocol encodes, and their conversion to and from checked types.
//!
//! A message that arrives is checked here, so that no malformed one reaches the gossip.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use compact_str::CompactString;
use jaystand_control::{
    digest::{Config, Digest, HotPrefix, MAX_HOT_PREFIXES},
    load::{Load, id_gaps},
    mark::{Cause, Mark},
    member::{Entry, State},
};

/// The messages and the service as the protocol encodes them.
pub mod raw {
    #![allow(
        missing_docs,
        clippy::pedantic,
        reason = "written by tonic-prost-build"
    )]
    include!("generated/jaystand.peer.v1.rs");
}

/// The greatest length of the name of a host, server, data centre or region.
const MAX_NAME_CHARS: usize = 64;
/// The greatest number of members, and of marks, in a digest. Senders stay below it.
const MAX_DIGEST_ENTRIES: usize = 32;
/// The greatest number of members, and of marks, in a table; several times that of a deployment of the target size.
const MAX_TABLE_ENTRIES: usize = 16_384;
/// The greatest number of loads in a digest: the backend servers of a configuration of the target size.
const MAX_LOADS: usize = 1_200;

/// The error returned when a message breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("malformed peer message: {0}")]
#[diagnostic(help("check that all daemons of the deployment run compatible versions"))]
pub struct Malformed(pub &'static str);

/// The checked form of a full copy of the member table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The daemons.
    pub members: Vec<Entry>,
    /// The marks on hosts and backend servers.
    pub marks: Vec<Mark>,
}

impl TryFrom<raw::Digest> for Digest {
    type Error = Malformed;

    fn try_from(raw: raw::Digest) -> Result<Self, Malformed> {
        let sender = raw.sender.ok_or(Malformed("no sender"))?;
        if raw.hot.len() > MAX_HOT_PREFIXES {
            return Err(Malformed("too many hot prefix heads"));
        }
        Ok(Self {
            sender: sender.try_into()?,
            round: raw.round,
            config: Config {
                version: raw.config_version,
                hash: raw.config_hash,
            },
            summary: raw.summary,
            members: convert_all(raw.members, MAX_DIGEST_ENTRIES)?,
            marks: convert_all(raw.marks, MAX_DIGEST_ENTRIES)?,
            loads: decode_loads(raw.loads.unwrap_or_default())?,
            hot_prefixes: convert_all(raw.hot, MAX_HOT_PREFIXES)?,
        })
    }
}

impl From<Digest> for raw::Digest {
    fn from(digest: Digest) -> Self {
        let loads = (!digest.loads.is_empty()).then(|| raw::Loads {
            gaps: id_gaps(&digest.loads).collect(),
            levels: digest.loads.iter().map(|load| load.level).collect(),
            ages: digest.loads.iter().map(|load| load.age_steps).collect(),
        });
        Self {
            sender: Some(digest.sender.into()),
            round: digest.round,
            config_version: digest.config.version,
            config_hash: digest.config.hash,
            summary: digest.summary,
            members: digest.members.into_iter().map(Into::into).collect(),
            marks: digest.marks.into_iter().map(Into::into).collect(),
            loads,
            hot: digest.hot_prefixes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<raw::Table> for Table {
    type Error = Malformed;

    fn try_from(raw: raw::Table) -> Result<Self, Malformed> {
        Ok(Self {
            members: convert_all(raw.members, MAX_TABLE_ENTRIES)?,
            marks: convert_all(raw.marks, MAX_TABLE_ENTRIES)?,
        })
    }
}

impl From<Table> for raw::Table {
    fn from(table: Table) -> Self {
        Self {
            members: table.members.into_iter().map(Into::into).collect(),
            marks: table.marks.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<raw::Entry> for Entry {
    type Error = Malformed;

    fn try_from(raw: raw::Entry) -> Result<Self, Malformed> {
        let state = match raw.state() {
            raw::State::Live => State::Live,
            raw::State::Suspect => State::Suspect,
            raw::State::Leaving => State::Leaving,
            raw::State::Gone => State::Gone,
            raw::State::Unspecified => return Err(Malformed("unknown state")),
        };
        Ok(Self {
            name: check_name(&raw.name)?,
            data_centre: check_name(&raw.data_centre)?,
            region: check_name(&raw.region)?,
            address: decode_address(&raw.address)?,
            incarnation: raw.incarnation,
            sequence: raw.sequence,
            state,
        })
    }
}

impl From<Entry> for raw::Entry {
    fn from(entry: Entry) -> Self {
        let state = match entry.state {
            State::Live => raw::State::Live,
            State::Suspect => raw::State::Suspect,
            State::Leaving => raw::State::Leaving,
            State::Gone => raw::State::Gone,
        };
        let mut address = match entry.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend(entry.address.port().to_be_bytes());
        Self {
            name: entry.name.into(),
            data_centre: entry.data_centre.into(),
            region: entry.region.into(),
            address,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            state: state.into(),
        }
    }
}

impl TryFrom<raw::Mark> for Mark {
    type Error = Malformed;

    fn try_from(raw: raw::Mark) -> Result<Self, Malformed> {
        let cause = match raw.cause() {
            raw::Cause::Operator => Cause::Operator,
            raw::Cause::List => Cause::List,
            raw::Cause::Engine => Cause::Engine(raw.incarnation),
            raw::Cause::Unspecified => return Err(Malformed("unknown cause")),
        };
        Ok(Self {
            subject: check_name(&raw.subject)?,
            cause,
            stamp: raw.stamp,
            leaving: raw.leaving,
        })
    }
}

impl From<Mark> for raw::Mark {
    fn from(mark: Mark) -> Self {
        let (cause, incarnation) = match mark.cause {
            Cause::Operator => (raw::Cause::Operator, 0),
            Cause::List => (raw::Cause::List, 0),
            Cause::Engine(incarnation) => (raw::Cause::Engine, incarnation),
        };
        Self {
            subject: mark.subject.into(),
            cause: cause.into(),
            incarnation,
            stamp: mark.stamp,
            leaving: mark.leaving,
        }
    }
}

impl TryFrom<raw::Hot> for HotPrefix {
    type Error = Malformed;

    fn try_from(raw: raw::Hot) -> Result<Self, Malformed> {
        let heat = u8::try_from(raw.heat).map_err(|_| Malformed("heat above one byte"))?;
        Ok(Self {
            head: raw.head,
            heat,
        })
    }
}

impl From<HotPrefix> for raw::Hot {
    fn from(hot: HotPrefix) -> Self {
        Self {
            head: hot.head,
            heat: hot.heat.into(),
        }
    }
}

/// Converts a list of at most `max` raw items.
fn convert_all<R, T>(raw: Vec<R>, max: usize) -> Result<Vec<T>, Malformed>
where
    T: TryFrom<R, Error = Malformed>,
{
    if raw.len() > max {
        return Err(Malformed("too many entries"));
    }
    raw.into_iter().map(T::try_from).collect()
}

/// Converts the columns of loads to rows. Fails unless the columns have equal lengths and the server ids ascend.
fn decode_loads(raw: raw::Loads) -> Result<Vec<Load>, Malformed> {
    let length = raw.gaps.len();
    if length > MAX_LOADS || raw.levels.len() != length || raw.ages.len() != length {
        return Err(Malformed("columns of loads differ in length"));
    }
    let mut server = 0_u32;
    let columns = raw.gaps.into_iter().zip(raw.levels).zip(raw.ages);
    columns
        .enumerate()
        .map(|(index, ((gap, level), age))| {
            if index > 0 && gap == 0 {
                return Err(Malformed("a server's load appears twice"));
            }
            server = server
                .checked_add(gap)
                .ok_or(Malformed("a server id is too large"))?;
            Ok(Load {
                server,
                level,
                age_steps: age,
            })
        })
        .collect()
}

fn check_name(text: &str) -> Result<CompactString, Malformed> {
    let is_visible = |character: char| !character.is_whitespace() && !character.is_control();
    let length = text.chars().count();
    if (1..=MAX_NAME_CHARS).contains(&length) && text.chars().all(is_visible) {
        Ok(text.into())
    } else {
        Err(Malformed("a name is empty, too long or not visible"))
    }
}

/// Decodes 4 or 16 bytes of IP address and 2 bytes of port.
fn decode_address(bytes: &[u8]) -> Result<SocketAddr, Malformed> {
    let bad_length = Malformed("an address has an unusual length");
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(bad_length)?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).map_or(Ipv4Addr::UNSPECIFIED, Ipv4Addr::from)),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).map_or(Ipv6Addr::UNSPECIFIED, Ipv6Addr::from)),
        _ => return Err(bad_length),
    };
    let port = u16::from_be_bytes(*port);
    if port == 0 || ip.is_unspecified() {
        return Err(Malformed("an address cannot be called"));
    }
    Ok(SocketAddr::new(ip, port))
}
