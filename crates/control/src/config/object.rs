//! The platform objects that hold configurations, and what reading and writing them comes to.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jaystand_types::Version;

jaystand_types::common! { data
    /// An object of the platform.
    #[derive(Eq, Hash)]
    pub enum Object {
        /// The configuration in force.
        Current,
        /// A configuration that is or was in force.
        History(Version),
        /// A part of a large document, named by the BLAKE3 of its bytes.
        Part(CompactString),
    }
}

impl Object {
    /// Object kind.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Current => "config",
            Self::History(_) => "config-history",
            Self::Part(_) => "config-part",
        }
    }

    /// Object name.
    #[must_use]
    pub fn name(&self) -> CompactString {
        match self {
            Self::Current => "current".into(),
            Self::History(version) => version.to_compact_string(),
            Self::Part(hash) => hash.clone(),
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The work begins.
    Start,
    /// The object was read; `None` when it does not exist.
    Read(Result<Option<(Version, Bytes)>, Fault>),
    /// The object was written, at the returned version.
    Wrote(Result<Version, Fault>),
}

jaystand_types::common! { value
    /// Why a read or a write failed.
    pub enum Fault {
        /// The object is not at the expected version.
        Conflict,
        /// No answer; the write may or may not have taken effect, or may do so later.
        Lost,
        /// The request was provably not taken.
        Unavailable,
    }
}
