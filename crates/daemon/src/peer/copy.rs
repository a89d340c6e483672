//! Full copies of the configuration and of the member table, as daemons fetch them from each other. They are deflated,
//! because a configuration of the target size is about 500 KB of text.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use jaystand_sheet::Document;
use jaystand_types::Version;
use jaystand_wire::peer::{Table, raw};
use parking_lot::Mutex;
use prost::Message;

/// Largest size of an inflated copy, 32 times a configuration of the target size. Limits how much memory a faulty peer
/// can make this daemon allocate.
const MAX_INFLATED_BYTES: u64 = 16 << 20;

/// Why a copy cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unusable {
    #[error("it cannot be inflated: {0}")]
    Deflate(#[from] io::Error),
    #[error("it is larger than {MAX_INFLATED_BYTES} bytes")]
    TooLarge,
    #[error("it is not a document: {0}")]
    Document(#[from] serde_json::Error),
    #[error("it is not a table: {0}")]
    Table(#[from] prost::DecodeError),
    #[error(transparent)]
    Malformed(#[from] jaystand_wire::peer::Malformed),
}

/// Caches the last deflated configuration, because many peers ask for the same version in a row.
#[derive(Debug, Default)]
pub(super) struct Copies {
    last: Mutex<Option<(Version, Bytes)>>,
}

impl Copies {
    pub(super) fn encode_document(&self, document: &Document) -> Result<Bytes, Unusable> {
        let mut last = self.last.lock();
        if let Some((version, copy)) = last.as_ref()
            && *version == document.version
        {
            return Ok(copy.clone());
        }
        let copy = Bytes::from(deflate(&serde_json::to_vec(document)?)?);
        *last = Some((document.version, copy.clone()));
        Ok(copy)
    }
}

pub(super) fn decode_document(copy: &[u8]) -> Result<Document, Unusable> {
    Ok(serde_json::from_slice(&inflate(copy)?)?)
}

pub(super) fn encode_table(table: Table) -> Result<Vec<u8>, Unusable> {
    Ok(deflate(&raw::Table::from(table).encode_to_vec())?)
}

pub(super) fn decode_table(copy: &[u8]) -> Result<Table, Unusable> {
    let raw = raw::Table::decode(inflate(copy)?.as_slice())?;
    Ok(raw.try_into()?)
}

pub(super) fn deflate(content: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(content)?;
    encoder.finish()
}

fn inflate(copy: &[u8]) -> Result<Vec<u8>, Unusable> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(copy).take(MAX_INFLATED_BYTES + 1);
    decoder.read_to_end(&mut content)?;
    if content.len() as u64 > MAX_INFLATED_BYTES {
        return Err(Unusable::TooLarge);
    }
    Ok(content)
}
