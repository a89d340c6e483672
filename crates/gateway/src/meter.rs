//! Bounds the bytes that a server may send without progress of its answer.
//!
//! The HTTP library bounds heads and trailers, but neither interim answers nor the digits of a chunk's size. A server
//! that sends zeros without end would be read until the deadline.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may be read between two frames of an answer, where its head counts as a frame. The library itself buffers
/// up to 32 KB of them.
const MAX_GAP_BYTES: usize = 256 << 10;

/// Counter of the bytes that were read since the last frame.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter(Rc<Cell<usize>>);

/// A connection that fails when too many bytes are read between two frames.
pub(crate) struct Stream {
    tcp: TcpStream,
    meter: Meter,
}

/// The body of an answer. Each of its frames resets the meter.
pub(crate) struct MeteredBody {
    body: Incoming,
    meter: Meter,
}

impl Meter {
    /// Resets the counter, because a frame has arrived or a new request is sent.
    pub(crate) fn reset(&self) {
        self.0.set(0);
    }

    /// Wraps a connection so that the bytes read from it are counted.
    pub(crate) fn stream(&self, tcp: TcpStream) -> Stream {
        Stream {
            tcp,
            meter: self.clone(),
        }
    }

    /// Wraps a body so that its frames reset the counter.
    pub(crate) fn body(&self, body: Incoming) -> MeteredBody {
        MeteredBody {
            body,
            meter: self.clone(),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = self.meter.0.get();
        if count > MAX_GAP_BYTES {
            let message = format!("over {MAX_GAP_BYTES} bytes that are no part of an answer");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.tcp).poll_read(context, buffer);
        self.meter.0.set(count + buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if frame.is_ready() {
            self.meter.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
