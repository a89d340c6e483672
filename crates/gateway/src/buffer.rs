//! Bodies that are read as a whole, within a bound on the memory that all of them take.
//!
//! One body is bounded by what its sender may send. Many at once would still fill the memory of a small host, for
//! example when servers answer with bytes without end.

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
    /// It is larger than its sender may send.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The bodies that are being read take all the memory that they may.
    #[error("no memory is left for bodies")]
    Full,
    /// It broke off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// The memory for bodies.
#[derive(Clone, Debug)]
pub(crate) struct Buffers {
    used: Arc<AtomicUsize>,
    most: usize,
}

/// Bytes that count as used until they are dropped.
struct Held {
    bytes: Vec<u8>,
    used: Arc<AtomicUsize>,
    counted: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffers {
    /// Memory of so many bytes.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            used: Arc::default(),
            most,
        }
    }

    /// Reads a body of at most so many bytes to its end.
    pub(crate) async fn collect(
        &self,
        mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
        most: usize,
    ) -> Result<Bytes, Error> {
        let mut held = Held {
            bytes: Vec::new(),
            used: Arc::clone(&self.used),
            counted: 0,
        };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if held.bytes.len() + data.len() > most {
                return Err(Error::TooLong(most));
            }
            let used = self.used.fetch_add(data.len(), Ordering::Relaxed) + data.len();
            held.counted += data.len();
            if used > self.most {
                return Err(Error::Full);
            }
            held.bytes.extend_from_slice(&data);
        }
        if held.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(held))
    }
}
