//! The encoding of a document as an object, alone or in parts.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use jaystand_sheet::Document;
use jaystand_types::Version;
use serde::{Deserialize, Serialize};

use super::Head;

/// Greatest value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Number of the encoding written here. A daemon refuses encodings that it does not know.
const FORMAT: u32 = 1;

/// A configuration object cannot be understood. The configuration in force stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
#[diagnostic(help("restore the object from the newest `config-history` object that is whole"))]
pub enum Corrupt {
    /// It does not decode.
    #[error("the configuration object does not decode: {0}")]
    Encoding(String),
    /// It is of an unknown format.
    #[error("the configuration object has unknown format {0}; this daemon knows format 1")]
    Format(u32),
    /// Its document does not match its hash or version.
    #[error("the configuration object does not match its hash or version")]
    Mismatch,
    /// One of its parts is missing or does not match its name.
    #[error("part `{0}` of the configuration is missing or damaged")]
    Part(CompactString),
}

/// A document as objects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Encoded {
    /// Version and hash of the document.
    pub head: Head,
    /// Parts by name, to be written first; none when the document fits into one object.
    pub parts: Vec<(CompactString, Bytes)>,
    /// Value of the object itself.
    pub value: Bytes,
}

/// The value of the object itself.
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

/// The part of a manifest that every format has. A bare document has no format number.
#[derive(Deserialize)]
struct Probe {
    format: Option<u32>,
}

impl Encoded {
    /// Encodes a document in objects of at most `limit` bytes, [`MAX_VALUE_BYTES`] on the platform.
    #[must_use]
    pub fn new(document: &Document, limit: usize) -> Self {
        let head = Head::of(document);
        let mut manifest = Manifest::inline(document.clone());
        let mut value = to_json(&manifest);
        let mut parts = Vec::new();
        if value.len() > limit {
            let whole = to_json(document);
            let chunks = (0..whole.len()).step_by(limit.max(1));
            parts = chunks
                .map(|start| whole.slice(start..whole.len().min(start.saturating_add(limit))))
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
    /// Parses a manifest. A bare document is accepted too, since deployment tools write the first configuration
    /// that way; its fields are checked as strictly, but it has no hash.
    pub(crate) fn parse(value: &[u8]) -> Result<Self, Corrupt> {
        let encoding = |error: serde_json::Error| Corrupt::Encoding(error.to_string());
        let probe: Probe = serde_json::from_slice(value).map_err(encoding)?;
        match probe.format {
            Some(FORMAT) => serde_json::from_slice(value).map_err(encoding),
            Some(other) => Err(Corrupt::Format(other)),
            None => {
                let document: Document = serde_json::from_slice(value).map_err(encoding)?;
                Ok(Self::inline(document))
            }
        }
    }

    fn inline(document: Document) -> Self {
        Self {
            format: FORMAT,
            version: document.version,
            hash: document.hash().to_hex().to_string(),
            document: Some(document),
            parts: Vec::new(),
        }
    }

    /// The document, whose parts are given in order.
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

/// The name of a part: the BLAKE3 of its bytes.
pub(crate) fn part_name(part: &[u8]) -> CompactString {
    blake3::hash(part).to_hex().to_compact_string()
}

fn to_json(value: &impl Serialize) -> Bytes {
    // Neither type has maps with keys that JSON cannot hold, so that this cannot fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}
