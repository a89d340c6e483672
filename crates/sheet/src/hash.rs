//! The canonical hash of a document, by which daemons compare configurations without sending them.

use crate::{Document, Faults, Sheet};

impl Document {
    /// BLAKE3 over the document's fields in declaration order. Documents that differ only in the layout
    /// of their JSON have the same hash.
    ///
    /// # Panics
    /// Never in practice: every field of a document can be written as JSON.
    #[must_use]
    pub fn hash(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        serde_json::to_writer(&mut hasher, self).expect("a document has no map with unusual keys");
        hasher.finalize()
    }

    /// Checks the directory and every row of the sheet.
    ///
    /// # Errors
    /// Returns every fault.
    pub fn check(&self) -> Result<Sheet, Faults> {
        Sheet::try_from((self.sheet.as_str(), &self.directory))
    }
}
