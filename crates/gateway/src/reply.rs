//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
    Chunks(mpsc::Receiver<Result<Bytes, Truncated>>),
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
            Self::Chunks(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
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
