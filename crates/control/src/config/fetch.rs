//! Reading of a whole document with its parts.

use bytes::Bytes;
use jaystand_sheet::Document;
use jaystand_types::Version;

use super::{
    Corrupt, Fault, Object,
    codec::{Manifest, part_name},
};

/// The reading of one configuration object and its parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fetch {
    object: Object,
    /// Version and value of the main object, once it was read.
    found: Option<(Version, Bytes)>,
    parts: Vec<Bytes>,
}

/// A document that was read as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Version of the main object.
    pub object_version: Version,
    /// Value of the main object.
    pub value: Bytes,
    /// The document, which matches the hash in the object.
    pub document: Document,
}

/// What a fetch needs next, or its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Read this object.
    Read(Object),
    /// The fetch has ended with this document, or with `None` because the object does not exist.
    Done(Option<Box<Fetched>>),
    /// The platform could not be reached.
    Unreachable,
    /// The object cannot be decoded.
    Corrupt(Corrupt),
}

impl Fetch {
    /// Creates a fetch of `object` and returns the first read, which is that of the main object.
    #[must_use]
    pub fn new(object: Object) -> (Self, Progress) {
        let fetch = Self {
            object: object.clone(),
            found: None,
            parts: Vec::new(),
        };
        (fetch, Progress::Read(object))
    }

    /// Handles the result of a read and returns what the fetch needs next.
    pub fn handle_read(&mut self, result: Result<Option<(Version, Bytes)>, Fault>) -> Progress {
        let Ok(read) = result else {
            return Progress::Unreachable;
        };
        self.add_read(read).unwrap_or_else(Progress::Corrupt)
    }

    /// Adds the value of the main object or of the next part.
    fn add_read(&mut self, read: Option<(Version, Bytes)>) -> Result<Progress, Corrupt> {
        let Some((object_version, value)) = self.found.clone() else {
            let Some(found) = read else {
                return Ok(Progress::Done(None));
            };
            self.found = Some(found.clone());
            return self.next_progress(found);
        };
        let manifest = Manifest::parse(&value)?;
        let name = &manifest.parts[self.parts.len()];
        let part = read
            .map(|(_, part)| part)
            .filter(|part| part_name(part) == *name);
        self.parts
            .push(part.ok_or_else(|| Corrupt::Part(name.clone()))?);
        self.next_progress((object_version, value))
    }

    /// Returns the read of the next missing part, or the assembled document.
    fn next_progress(
        &self,
        (object_version, value): (Version, Bytes),
    ) -> Result<Progress, Corrupt> {
        let manifest = Manifest::parse(&value)?;
        if let Some(name) = manifest.parts.get(self.parts.len()) {
            return Ok(Progress::Read(Object::Part(name.clone())));
        }
        let document = manifest.assemble(&self.parts)?;
        if matches!(self.object, Object::History(version) if version != document.version) {
            return Err(Corrupt::Mismatch);
        }
        Ok(Progress::Done(Some(Box::new(Fetched {
            object_version,
            value,
            document,
        }))))
    }
}
