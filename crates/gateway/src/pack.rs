//! Encoding of copies between hosts: a short head, and compressed contents.
//!
//! Compression keeps a relay's link free. After all 300 hosts of a fleet with 3,000 servers were killed at once, each
//! follower of a relay fetched a copy of about a megabyte. These copies filled the relay's link for seconds, most
//! arrived after the followers' timeout, and the followers asked the next host for the same. Entries are alike, so they
//! compress well, and all followers that start anew get the same bytes.

use std::{
    io::{self, Read, Write},
    rc::Rc,
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use jaystand_types::ServerName;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

/// Largest contents, before and after compression: a configuration of up to 1 MB, and entries of some thousand servers.
pub(crate) const MAX_COPY_BYTES: usize = 8 << 20;
/// Size of the prefix that holds the head's length.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Configuration and server entries, either all or those that changed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Contents {
    pub(crate) config: Option<Rc<RawValue>>,
    pub(crate) servers: Vec<(ServerName, Rc<RawValue>)>,
}

/// Compressed contents, which answers to several followers may share.
#[derive(Clone, Debug)]
pub(crate) struct Packed(Bytes);

impl Packed {
    /// Compresses contents.
    pub(crate) fn new(contents: &Contents) -> io::Result<Self> {
        let text = serde_json::to_vec(contents)?;
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&text)?;
        Ok(Self(encoder.finish()?.into()))
    }

    /// Returns the bytes of a copy with this head and these contents.
    pub(crate) fn with_head(&self, head: &impl Serialize) -> io::Result<Vec<u8>> {
        let head = serde_json::to_vec(head)?;
        let length = u32::try_from(head.len()).map_err(io::Error::other)?;
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + head.len() + self.0.len());
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&head);
        bytes.extend_from_slice(&self.0);
        Ok(bytes)
    }
}

/// Decodes the head and contents of a copy.
pub(crate) fn unpack<H: DeserializeOwned>(bytes: &[u8]) -> io::Result<(H, Contents)> {
    let short = || {
        io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the copy ends before its head does",
        )
    };
    let (length, rest) = bytes
        .split_first_chunk::<LENGTH_BYTES>()
        .ok_or_else(short)?;
    let length = usize::try_from(u32::from_be_bytes(*length)).map_err(io::Error::other)?;
    let (head, packed) = rest.split_at_checked(length).ok_or_else(short)?;
    let mut text = Vec::new();
    let limit = u64::try_from(MAX_COPY_BYTES).map_err(io::Error::other)?;
    let read = ZlibDecoder::new(packed)
        .take(limit + 1)
        .read_to_end(&mut text)?;
    if read > MAX_COPY_BYTES {
        let message = format!("the copy has more than {MAX_COPY_BYTES} bytes of contents");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok((
        serde_json::from_slice(head)?,
        serde_json::from_slice(&text)?,
    ))
}
