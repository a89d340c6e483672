//! A TCP stream that counts its bytes, so that the metric for traffic between daemons includes all framing above TCP.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use prometheus::IntCounter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tonic::transport::server::{Connected, TcpConnectInfo};

use super::Counts;

/// A TCP stream that adds the bytes sent and received to the metrics.
#[derive(Debug)]
pub(super) struct Counted {
    stream: TcpStream,
    sent: IntCounter,
    received: IntCounter,
}

impl Counted {
    pub(super) fn new(stream: TcpStream, counts: &Counts) -> Self {
        // Small messages must not wait for acknowledgements. If the option cannot be set, only latency suffers.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            sent: counts.sent.clone(),
            received: counts.received.clone(),
        }
    }
}

impl Connected for Counted {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received
            .inc_by((buffer.filled().len() - before) as u64);
        result
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = &result {
            self.sent.inc_by(*written as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
