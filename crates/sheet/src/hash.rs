//! The canonical hash of a document. Daemons compare hashes, so that they need not send whole configurations.

use crate::{Document, Faults, Sheet};

impl Document {
    /// Returns the BLAKE3 hash of the document's canonical JSON, which has the fields in declaration order. Documents
    /// that differ only in the layout of their JSON have the same hash.
    ///
    /// # Panics
    /// Panics if a field cannot be written as JSON, which no value of a document causes.
    #[must_use]
    pub fn hash(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        serde_json::to_writer(&mut hasher, self).expect("a document has no map with unusual keys");
        hasher.finalize()
    }

    /// Checks the directory and every row of the sheet.
    ///
    /// # Errors
    /// Returns all faults.
    pub fn check(&self) -> Result<Sheet, Faults> {
        Sheet::try_from((self.sheet.as_str(), &self.directory))
    }
}
