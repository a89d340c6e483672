//! Data types of the object API: objects, listings, changes and hosts.

use bytes::Bytes;
use compact_str::CompactString;
use jaystand_types::{DataCentre, HostName, Version};
use serde::Deserialize;

/// Position in a kind's history of changes.
pub type Revision = u64;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, from the entity tag.
    pub version: Version,
    /// Value, as the exact bytes.
    pub value: Bytes,
}

jaystand_types::common! { value
    /// The state that a conditional update requires.
    pub enum Expected {
        /// The object does not exist.
        Absent,
        /// The object exists at this version.
        Version(Version),
    }
}

impl From<Option<Version>> for Expected {
    fn from(version: Option<Version>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

/// The objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// Revision of the kind at the time of the listing; 0 when the platform does not say.
    #[serde(default)]
    pub revision: Revision,
    /// Objects of the kind.
    pub objects: Vec<Listed>,
}

/// One object of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: Version,
}

/// The answer to one long poll. It has no events when nothing changed before the timeout.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// Revision after which the next poll continues.
    pub revision: Revision,
    /// Changes, in order.
    pub events: Vec<Change>,
}

/// One change of a watched kind.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Name of the object.
    pub name: String,
    /// New version of the object.
    pub version: Version,
    /// The value as text; absent when the object was deleted. Read the object for the exact bytes.
    pub value: Option<String>,
}

/// A host of the platform's host list. The list may lag behind the real state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Address as the platform writes it.
    pub address: CompactString,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether the host is about to leave.
    pub state: HostState,
    /// What runs on the host.
    pub role: Role,
}

/// Whether a host is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host serves.
    Live,
    /// The host is about to leave.
    Leaving,
}

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The router daemon.
    Daemon,
    /// A backend server.
    Backend,
}

/// The answer to a request for the host list.
#[derive(Deserialize)]
pub(crate) struct HostList {
    pub(crate) hosts: Vec<Host>,
}
