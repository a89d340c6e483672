//! One HTTP/1.1 connection to a server or to the store.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    buffer::Buffers,
    meter::{Meter, MeteredBody},
    socket,
};

/// Timeout for a connection to become reusable after its last answer was read to the end. Only its task has to run
/// once.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of a connection's read buffer, which also limits the head of an answer. hyper's default is 400 KB.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// An open connection. Dropping it closes it at once, even during a request.
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    meter: Meter,
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No byte of the request was sent.
    #[error("not sent")]
    NotSent,
    /// The connection broke, or what was received is no HTTP answer.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection. It is closed if sent bytes are not acknowledged within `ack_timeout`.
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        ack_timeout: Duration,
    ) -> io::Result<Self> {
        let stream = socket::connect(address, connect_timeout, ack_timeout).await?;
        let meter = Meter::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(meter.stream(stream)))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            task,
            meter,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, Error> {
        self.meter.reset();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.reset();
                Ok(response.map(|body| self.meter.body(body)))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent),
                None => Err(Error::Broken(error.into_error())),
            },
        }
    }

    /// Sends a request and reads its answer to the end. The body is `None` if it is longer than `max_bytes`, breaks off
    /// or finds no memory; the head of such an answer is still valid.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        buffers: &Buffers,
        max_bytes: usize,
    ) -> Result<Response<Option<Bytes>>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = buffers.collect(body, max_bytes, None).await;
        if let Err(error) = &body {
            log::info!(peer:% = self.address; "the body of an answer cannot be read: {error}");
        }
        Ok(Response::from_parts(head, body.ok()))
    }

    /// Returns whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can be used for another request. Returns false if it cannot.
    pub(crate) async fn wait_reusable(&mut self) -> bool {
        matches!(
            timeout(REUSE_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }
}
