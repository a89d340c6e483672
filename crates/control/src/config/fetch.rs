//! Reading a whole document, with its parts.

use bytes::Bytes;
use jaystand_sheet::Document;
use jaystand_types::Version;

use super::{
    Corrupt, Fault, Object,
    codec::{Manifest, part_name},
};

/// A read of one configuration object and its parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fetch {
    object: Object,
    found: Option<(Version, Bytes)>,
    parts: Vec<Bytes>,
}

/// A whole document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Version of the object.
    pub object_version: Version,
    /// Value of the object.
    pub value: Bytes,
    /// The document, which matches its hash.
    pub document: Document,
}

/// What a fetch needs next, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Read this object.
    Read(Object),
    /// The document, or `None` when the object does not exist.
    Done(Option<Box<Fetched>>),
    /// The platform could not be reached.
    Unreachable,
    /// The object cannot be understood.
    Corrupt(Corrupt),
}

impl Fetch {
    /// A fetch of `object`; the object itself is read first.
    #[must_use]
    pub fn new(object: Object) -> (Self, Progress) {
        let fetch = Self {
            object: object.clone(),
            found: None,
            parts: Vec::new(),
        };
        (fetch, Progress::Read(object))
    }

    /// Takes the result of a read.
    pub fn handle_read(&mut self, result: Result<Option<(Version, Bytes)>, Fault>) -> Progress {
        let Ok(read) = result else {
            return Progress::Unreachable;
        };
        self.take(read).unwrap_or_else(Progress::Corrupt)
    }

    fn take(&mut self, read: Option<(Version, Bytes)>) -> Result<Progress, Corrupt> {
        let Some((object_version, value)) = self.found.clone() else {
            let Some(found) = read else {
                return Ok(Progress::Done(None));
            };
            self.found = Some(found.clone());
            return self.advance(found);
        };
        let manifest = Manifest::parse(&value)?;
        let name = &manifest.parts[self.parts.len()];
        let part = read
            .map(|(_, part)| part)
            .filter(|part| part_name(part) == *name);
        self.parts
            .push(part.ok_or_else(|| Corrupt::Part(name.clone()))?);
        self.advance((object_version, value))
    }

    fn advance(&self, (object_version, value): (Version, Bytes)) -> Result<Progress, Corrupt> {
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
