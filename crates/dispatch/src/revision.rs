//! Revisions of the platform's store, which mean something only within one era.
//!
//! When the store comes back from an older copy, its era rises and it gives revisions out again. Numbers of different
//! eras are therefore never compared, and a revision does not show its number without its era.

use jaystand_types::{Era, Version};

jaystand_types::common! { identity
    /// A revision of the store, with the era in which the store named it.
    #[derive(Default)]
    pub struct Revision {
        era: Era,
        number: Version,
    }
}

impl Revision {
    /// Creates a revision that the store named in an era.
    #[must_use]
    pub fn new(era: Era, number: Version) -> Self {
        Self { era, number }
    }

    /// Returns the era.
    #[must_use]
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the number, which is valid in calls of the same era only.
    #[must_use]
    pub fn number(self) -> Version {
        self.number
    }

    /// Returns whether the store was in this state after it was in the other one. A state of a later era replaces every
    /// state of an earlier one, also where the number is smaller.
    #[must_use]
    pub fn supersedes(self, other: Self) -> bool {
        self.era > other.era || (self.era == other.era && self.number > other.number)
    }
}
