//! Which of two documents is in force.

use jaystand_sheet::Document;
use jaystand_types::Version;

jaystand_types::common! { value
    /// Version and hash of a document.
    pub struct Head {
        /// Version.
        pub version: Version,
        /// BLAKE3 of the document.
        pub hash: [u8; 32],
    }

    /// What became of an offered document.
    pub enum Offer {
        /// It is newer and now in force.
        Applied,
        /// It is the one in force.
        Same,
        /// It is older than the one in force.
        Older,
        /// It has the version of the one in force and another hash. The greater hash is in force from now on, on every
        /// daemon. Conditional updates rule this out; it shows a write past them.
        Forked {
            /// Whether the offered document replaced the other.
            applied: bool,
        },
    }
}

/// The document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Precedence {
    in_force: Option<Head>,
    forks: u64,
}

impl Head {
    /// The head of a document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Self {
            version: document.version,
            hash: *document.hash().as_bytes(),
        }
    }
}

impl Precedence {
    /// Decides about a document that has been checked whole.
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

    /// The document in force, if there is one.
    #[must_use]
    pub fn in_force(&self) -> Option<Head> {
        self.in_force
    }

    /// How often two documents of one version were seen.
    #[must_use]
    pub fn forks(&self) -> u64 {
        self.forks
    }
}
