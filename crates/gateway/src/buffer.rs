//! Reads whole bodies, and counts unfinished events of streams, within a common limit on their memory.
//!
//! Each body has a limit of its own, but many at once could still fill the memory of a small host, for example when
//! servers answer with endless bodies. What counts is the memory that a body takes, not the bytes received: while a
//! body grows, its old and its new memory count together.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::task::yield_now;

use crate::account::{Account, Connection, Shed};

/// A body that takes at most this much may use the part of the memory that is reserved for small bodies.
const SMALL_BODY_BYTES: usize = 32 << 10;
/// Share of the memory that is reserved for small bodies: the whole divided by this.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Memory that the first bytes of a body of unknown length take.
const FIRST_BYTES: usize = 4 << 10;
/// Most memory that the first bytes of a body of known length take. Longer bodies grow by doubling, so that a stated
/// length alone takes no memory.
const MAX_FIRST_BYTES: usize = 64 << 10;
/// Number of times that a body lets other tasks run until the bodies that were shed for it are gone.
const MAX_YIELDS: u32 = 8;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is longer than allowed.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// All bodies together have reached their memory limit.
    #[error("no memory is left for bodies")]
    Full,
    /// Its connection was shed.
    #[error("shed: {}", .0.as_str())]
    Shed(Shed),
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

/// A body whose memory counts as used until it is dropped.
struct Buffer {
    bytes: Vec<u8>,
    buffers: Buffers,
    counted_bytes: usize,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.buffers.give_back(self.counted_bytes);
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory that is taken elsewhere, and counts as used until this is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    buffers: Buffers,
    counted_bytes: usize,
}

impl Share {
    /// Counts so many bytes from now on. Fails if these are more than before and too much memory is used already.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), Error> {
        if let Some(added) = bytes.checked_sub(self.counted_bytes) {
            if added > 0 && !self.buffers.try_take(added, bytes) {
                return Err(Error::Full);
            }
        } else {
            self.buffers.give_back(self.counted_bytes - bytes);
        }
        self.counted_bytes = bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.buffers.give_back(self.counted_bytes);
    }
}

/// The caller's connection on which a body arrives.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) account: &'a Account,
    pub(crate) connection: &'a Connection,
}

impl Buffers {
    /// Creates the memory, with a limit of `max_bytes` for all bodies together.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            used_bytes: Arc::default(),
            max_bytes,
        }
    }

    /// Returns a share of the memory that counts no bytes yet.
    pub(crate) fn share(&self) -> Share {
        Share {
            buffers: self.clone(),
            counted_bytes: 0,
        }
    }

    /// Returns the memory that bodies take.
    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Reads a body of at most `max_body_bytes` bytes to its end. If the memory is full, a caller's body sheds those of
    /// other callers that make no progress.
    pub(crate) async fn collect(
        &self,
        mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
        max_body_bytes: usize,
        source: Option<Source<'_>>,
    ) -> Result<Bytes, Error> {
        let stated = body.size_hint().exact();
        let stated = stated.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if stated.is_some_and(|length| length > max_body_bytes) {
            return Err(Error::TooLong(max_body_bytes));
        }
        let mut buffer = Buffer {
            bytes: Vec::new(),
            buffers: self.clone(),
            counted_bytes: 0,
        };
        let shed = async {
            match source {
                Some(source) => source.connection.wait_shed().await,
                None => pending().await,
            }
        };
        let mut shed = std::pin::pin!(shed);
        loop {
            let frame = tokio::select! {
                biased;
                reason = shed.as_mut() => return Err(Error::Shed(reason)),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let length = buffer.bytes.len() + data.len();
            if length > max_body_bytes {
                return Err(Error::TooLong(max_body_bytes));
            }
            if length > buffer.bytes.capacity() {
                let capacity = next_capacity(buffer.bytes.capacity(), length, stated)
                    .min(max_body_bytes.max(length));
                self.grow(&mut buffer, capacity, source).await?;
            }
            buffer.bytes.extend_from_slice(&data);
            if let Some(source) = source {
                let taken = buffer.counted_bytes;
                source.connection.record_body(data.len(), taken);
            }
        }
        if buffer.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(buffer))
    }

    /// Moves a body to a larger memory. Its old memory counts until the move is done.
    async fn grow(
        &self,
        buffer: &mut Buffer,
        capacity: usize,
        source: Option<Source<'_>>,
    ) -> Result<(), Error> {
        let mut yields = 0;
        while !self.try_take(capacity, capacity) {
            let Some(source) = source else {
                return Err(Error::Full);
            };
            if yields == 0 && !source.account.shed_bodies(capacity, source.connection)
                || yields >= MAX_YIELDS
            {
                return Err(Error::Full);
            }
            yields += 1;
            yield_now().await;
        }
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&buffer.bytes);
        let former = std::mem::replace(&mut buffer.bytes, bytes);
        drop(former);
        self.give_back(buffer.counted_bytes);
        buffer.counted_bytes = capacity;
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Counts memory as used if there is enough for a body that takes `total` bytes with it.
    fn try_take(&self, bytes: usize, total: usize) -> bool {
        let max_bytes = if total <= SMALL_BODY_BYTES {
            self.max_bytes
        } else {
            self.max_bytes - self.max_bytes / SMALL_SHARE_DIVISOR
        };
        let take = |used: usize| (used + bytes <= max_bytes).then(|| used + bytes);
        self.used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// Returns the memory that a body takes next, at least `length` bytes.
fn next_capacity(capacity: usize, length: usize, stated: Option<usize>) -> usize {
    let wanted = if capacity == 0 {
        stated.unwrap_or(FIRST_BYTES).min(MAX_FIRST_BYTES)
    } else {
        capacity * 2
    };
    wanted.min(stated.unwrap_or(usize::MAX)).max(length)
}
