//! Bodies of answers to callers.

use std::{
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::account::Connection;

/// Bytes of a stream that may wait for its caller. While a slow caller leaves so many unread, the server is not read.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// Chunks of a stream that may wait for its caller; small ones have a cost of their own.
const MAX_UNREAD_CHUNKS: usize = 64;

/// The answer cannot be completed. As an error of the body, it closes the connection, so that the answer does not look
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct Truncated;

/// The body of an answer to a caller.
pub(crate) enum Reply {
    /// A whole body.
    Whole(Option<Bytes>),
    /// Chunks that are passed on as they arrive.
    Chunks(Receiver),
}

/// A chunk of a stream, which holds its share of the bytes that may wait.
struct Chunk {
    bytes: Bytes,
    unread: Unread,
}

/// Bytes that count as unread until this is dropped.
struct Unread {
    _permit: OwnedSemaphorePermit,
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The sending half of a stream to a caller.
#[derive(Clone)]
pub(crate) struct Sender {
    chunks: mpsc::Sender<Result<Chunk, Truncated>>,
    room: Arc<Semaphore>,
    total: Arc<AtomicUsize>,
}

/// The receiving half of a stream to a caller.
pub(crate) struct Receiver(mpsc::Receiver<Result<Chunk, Truncated>>);

/// Creates a stream to a caller. Its unread bytes are added to `total`.
pub(crate) fn stream(total: &Arc<AtomicUsize>) -> (Sender, Receiver) {
    let (chunks, receiver) = mpsc::channel(MAX_UNREAD_CHUNKS);
    let sender = Sender {
        chunks,
        room: Arc::new(Semaphore::new(MAX_UNREAD_BYTES)),
        total: Arc::clone(total),
    };
    (sender, Receiver(receiver))
}

impl Sender {
    /// Passes bytes on once the caller has taken enough of the former ones. A chunk longer than the limit waits until
    /// all former ones are taken. Fails if the caller is gone.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), Gone> {
        let length = bytes.len();
        let permits = u32::try_from(length.min(MAX_UNREAD_BYTES)).unwrap_or(u32::MAX);
        let permit = tokio::select! {
            permit = Arc::clone(&self.room).acquire_many_owned(permits) => permit.map_err(|_| Gone)?,
            () = self.chunks.closed() => return Err(Gone),
        };
        self.total.fetch_add(length, Ordering::Relaxed);
        let unread = Unread {
            _permit: permit,
            bytes: length,
            total: Arc::clone(&self.total),
        };
        let chunk = Chunk { bytes, unread };
        self.chunks.send(Ok(chunk)).await.map_err(|_| Gone)
    }

    /// Ends the stream with an error, so that it does not look complete.
    pub(crate) async fn abort(&self) -> Result<(), Gone> {
        self.chunks.send(Err(Truncated)).await.map_err(|_| Gone)
    }

    /// Ends the stream with an error if that is possible without waiting.
    pub(crate) fn try_abort(&self) -> bool {
        self.chunks.try_send(Err(Truncated)).is_ok()
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// The caller has closed its connection.
#[derive(Debug)]
pub(crate) struct Gone;

/// A body that tells its connection when the answer was taken.
pub(crate) struct Tracked {
    reply: Reply,
    connection: Rc<Connection>,
}

impl Tracked {
    pub(crate) fn new(reply: Reply, connection: &Rc<Connection>) -> Self {
        Self {
            reply,
            connection: Rc::clone(connection),
        }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connection.finish_answer();
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.reply).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.reply.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.reply.size_hint()
    }
}

impl From<&'static str> for Reply {
    fn from(text: &'static str) -> Self {
        Self::Whole(Some(Bytes::from_static(text.as_bytes())))
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Chunks(chunks) => chunks.0.poll_recv(context).map(|chunk| {
                chunk.map(|chunk| {
                    chunk.map(|chunk| {
                        drop(chunk.unread);
                        Frame::data(chunk.bytes)
                    })
                })
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
