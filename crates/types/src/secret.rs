//! Keys that must not appear in logs.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A shared key. `Debug` and `Display` print a fixed text instead of it.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the key, for comparison or for a request header.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether no key is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a presented key equals this one. The time taken does not depend on where they differ, and an empty
    /// key matches nothing.
    #[must_use]
    pub fn matches(&self, presented: &str) -> bool {
        // blake3's Hash compares in constant time.
        !self.is_empty() && blake3::hash(self.0.as_bytes()) == blake3::hash(presented.as_bytes())
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("redacted")
    }
}
