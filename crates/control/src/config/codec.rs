//! The encoding of a document as one object, or as a manifest and several parts.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jaystand_sheet::Document;
use jaystand_types::Version;
use serde::{Deserialize, Serialize};

use super::Head;

/// Greatest size of a value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Format number of the encoding that this module writes. Daemons refuse formats that they do not know.
const FORMAT: u32 = 1;

/// Why a configuration object cannot be decoded. The configuration in force stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
#[diagnostic(help("restore the object from the newest `config-history` object that is whole"))]
pub enum Corrupt {
    /// The object is not valid JSON of the expected form.
    #[error("the configuration object does not decode: {0}")]
    Encoding(String),
    /// The object has an unknown format number.
    #[error("the configuration object has unknown format {0}; this daemon knows format 1")]
    Format(u32),
    /// The document does not match the hash or version in the object, or the version in the object's name.
    #[error("the configuration object does not match its hash or version")]
    Mismatch,
    /// A part is missing or does not match its name.
    #[error("part `{0}` of the configuration is missing or damaged")]
    Part(CompactString),
}

/// A document encoded as objects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Encoded {
    /// Version and hash of the document.
    pub head: Head,
    /// Names and values of the parts, which must be written first. Empty if the document fits into one object.
    pub parts: Vec<(CompactString, Bytes)>,
    /// Value of the main object.
    pub value: Bytes,
}

/// The value of the main object. The names of the fields are part of the stored format.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Manifest {
    format: u32,
    version: Version,
    hash: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    document: Option<Document>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) parts: Vec<CompactString>,
}

/// The field of a manifest that every format has. A bare document has no format number.
#[derive(Deserialize)]
struct Probe {
    format: Option<u32>,
}

impl Encoded {
    /// Encodes a document as objects of at most `max_object_bytes`, which is [`MAX_VALUE_BYTES`] on the platform.
    #[must_use]
    pub fn new(document: &Document, max_object_bytes: usize) -> Self {
        let head = Head::of(document);
        let mut manifest = Manifest::inline(document.clone());
        let mut value = to_json(&manifest);
        let mut parts = Vec::new();
        if value.len() > max_object_bytes {
            let whole = to_json(document);
            let starts = (0..whole.len()).step_by(max_object_bytes.max(1));
            parts = starts
                .map(|start| {
                    whole.slice(start..whole.len().min(start.saturating_add(max_object_bytes)))
                })
                .map(|part| (part_name(&part), part))
                .collect();
            manifest.document = None;
            manifest.parts = parts.iter().map(|(name, _)| name.clone()).collect();
            value = to_json(&manifest);
        }
        Self { head, parts, value }
    }
}

impl Manifest {
    /// Parses a manifest. A bare document is accepted too, since deployment tools write the first configuration that
    /// way. Its fields are checked as strictly, but it has no hash to compare.
    pub(crate) fn parse(value: &[u8]) -> Result<Self, Corrupt> {
        let encoding_error = |error: serde_json::Error| Corrupt::Encoding(error.to_string());
        let probe: Probe = serde_json::from_slice(value).map_err(encoding_error)?;
        match probe.format {
            Some(FORMAT) => serde_json::from_slice(value).map_err(encoding_error),
            Some(other) => Err(Corrupt::Format(other)),
            None => {
                let document: Document = serde_json::from_slice(value).map_err(encoding_error)?;
                Ok(Self::inline(document))
            }
        }
    }

    /// Creates a manifest that contains the whole document.
    fn inline(document: Document) -> Self {
        Self {
            format: FORMAT,
            version: document.version,
            hash: document.hash().to_hex().to_string(),
            document: Some(document),
            parts: Vec::new(),
        }
    }

    /// Returns the document, given the values of all parts in order.
    pub(crate) fn assemble(self, parts: &[Bytes]) -> Result<Document, Corrupt> {
        let document = match self.document {
            Some(document) => document,
            None => serde_json::from_slice(&parts.concat())
                .map_err(|error| Corrupt::Encoding(error.to_string()))?,
        };
        let matches =
            document.version == self.version && document.hash().to_hex().as_str() == self.hash;
        matches.then_some(document).ok_or(Corrupt::Mismatch)
    }
}

/// Returns the name of a part, which is the BLAKE3 hash of its bytes.
pub(crate) fn part_name(part: &[u8]) -> CompactString {
    blake3::hash(part).to_hex().to_compact_string()
}

fn to_json(value: &impl Serialize) -> Bytes {
    // Serialization cannot fail, since no serialized type has maps with keys that JSON cannot represent.
    serde_json::to_vec(value).unwrap_or_default().into()
}
