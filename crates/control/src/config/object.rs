//! The platform objects that hold configurations, and the results of reading and writing them.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jaystand_types::Version;

jaystand_types::common! { data
    /// A platform object that holds a configuration or a part of one.
    #[derive(Eq, Hash)]
    pub enum Object {
        /// The configuration in force.
        Current,
        /// A configuration that is or was in force.
        History(Version),
        /// A part of a large document, named by the BLAKE3 hash of its bytes.
        Part(CompactString),
    }
}

impl Object {
    /// Returns the kind of the object.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Current => "config",
            Self::History(_) => "config-history",
            Self::Part(_) => "config-part",
        }
    }

    /// Returns the name of the object.
    #[must_use]
    pub fn name(&self) -> CompactString {
        match self {
            Self::Current => "current".into(),
            Self::History(version) => version.to_compact_string(),
            Self::Part(hash) => hash.clone(),
        }
    }
}

/// An event for an [`Acceptance`](super::Acceptance).
#[derive(Clone, Debug)]
pub enum Input {
    /// The acceptance begins.
    Start,
    /// The object was read; `None` if it does not exist.
    Read(Result<Option<(Version, Bytes)>, Fault>),
    /// The object was written and is at the given version.
    Wrote(Result<Version, Fault>),
}

jaystand_types::common! { value
    /// Why a read or a write failed.
    pub enum Fault {
        /// The object is not at the expected version.
        Conflict,
        /// No answer arrived. The write may or may not have taken effect, or may do so later.
        Lost,
        /// The request was provably not accepted.
        Unavailable,
    }
}
