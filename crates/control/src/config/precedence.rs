//! Precedence: which of two documents is in force.

use jaystand_sheet::Document;
use jaystand_types::Version;

jaystand_types::common! { value
    /// Version and hash that identify a document.
    pub struct Head {
        /// Version of the document.
        pub version: Version,
        /// BLAKE3 hash of the document.
        pub hash: [u8; 32],
    }

    /// The result of offering a document.
    pub enum Offer {
        /// The document is newer than the former one, or the first one, and is now in force.
        Applied,
        /// The document is the one in force.
        Same,
        /// The document is older than the one in force.
        Older,
        /// The document has the version of the one in force and another hash. Every daemon lets the greater hash win.
        /// Conditional updates rule out forks, so a fork shows that something wrote without them.
        Forked {
            /// Whether the offered document is in force now.
            applied: bool,
        },
    }
}

/// Keeps track of the document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Precedence {
    in_force: Option<Head>,
    forks: u64,
}

impl Head {
    /// Returns the head of a document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Self {
            version: document.version,
            hash: *document.hash().as_bytes(),
        }
    }
}

impl Precedence {
    /// Decides whether a document comes into force. The document must have been checked completely.
    pub fn offer(&mut self, head: Head) -> Offer {
        let Some(in_force) = self.in_force else {
            self.in_force = Some(head);
            return Offer::Applied;
        };
        if head == in_force {
            return Offer::Same;
        }
        if head.version < in_force.version {
            return Offer::Older;
        }
        if head.version > in_force.version {
            self.in_force = Some(head);
            return Offer::Applied;
        }
        self.forks += 1;
        let applied = head.hash > in_force.hash;
        if applied {
            self.in_force = Some(head);
        }
        Offer::Forked { applied }
    }

    /// Returns the head of the document in force, if there is one.
    #[must_use]
    pub fn in_force(&self) -> Option<Head> {
        self.in_force
    }

    /// Returns how often a document with the version of the one in force and another hash was offered.
    #[must_use]
    pub fn forks(&self) -> u64 {
        self.forks
    }
}
