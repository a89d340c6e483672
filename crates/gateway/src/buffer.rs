//! Reads whole bodies within a common limit on their memory.
//!
//! Each body has a limit of its own, but many at once could still fill the memory of a small host, for example when
//! servers answer with endless bodies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is longer than allowed.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// All bodies together have reached their memory limit.
    #[error("no memory is left for bodies")]
    Full,
    /// The connection broke before its end.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// The memory for bodies, shared by all clones.
#[derive(Clone, Debug)]
pub(crate) struct Buffers {
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// A body whose bytes count as used until it is dropped.
struct Buffer {
    bytes: Vec<u8>,
    used_bytes: Arc<AtomicUsize>,
    counted_bytes: usize,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.used_bytes
            .fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffers {
    /// Creates the memory, with a limit of `max_bytes` for all bodies together.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            used_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Reads a body of at most `max_body_bytes` bytes to its end.
    pub(crate) async fn collect(
        &self,
        mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
        max_body_bytes: usize,
    ) -> Result<Bytes, Error> {
        let mut buffer = Buffer {
            bytes: Vec::new(),
            used_bytes: Arc::clone(&self.used_bytes),
            counted_bytes: 0,
        };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if buffer.bytes.len() + data.len() > max_body_bytes {
                return Err(Error::TooLong(max_body_bytes));
            }
            let used = self.used_bytes.fetch_add(data.len(), Ordering::Relaxed) + data.len();
            buffer.counted_bytes += data.len();
            if used > self.max_bytes {
                return Err(Error::Full);
            }
            buffer.bytes.extend_from_slice(&data);
        }
        if buffer.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(buffer))
    }
}
