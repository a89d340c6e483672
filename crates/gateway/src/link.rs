//! One HTTP/1.1 connection to a server or to the store.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    meter::{Meter, MeteredBody},
    socket,
};

/// A connection is free again when its last answer has been read to the end; this covers the turn of its task.
const SETTLE: Duration = Duration::from_millis(500);

/// Bytes that a connection buffers. It bounds the head of an answer, too; the library's own bound is 400 KB.
const MOST_BUFFERED: usize = 64 << 10;

/// A connection. Dropping it closes it at once, whatever it carries.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    meter: Meter,
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No byte of it was sent.
    #[error("not sent")]
    NotSent,
    /// The connection broke, or what came is no answer.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// No answer within the time allowed.
    #[error("no answer in time")]
    Timeout,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        within: Duration,
        unacknowledged: Duration,
    ) -> io::Result<Self> {
        let stream = socket::connect(address, within, unacknowledged).await?;
        let meter = Meter::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MOST_BUFFERED)
            .handshake(TokioIo::new(meter.stream(stream)))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
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

    /// Sends a request and reads its answer as a whole, up to so many bytes. The body is `None` when it is longer or
    /// breaks off; the head of such an answer still counts.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<Response<Option<Bytes>>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, most).collect().await;
        Ok(Response::from_parts(
            head,
            body.ok().map(Collected::to_bytes),
        ))
    }

    /// Whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last answer is done with. Returns whether the connection can be used again.
    pub(crate) async fn wait_reusable(&mut self) -> bool {
        matches!(timeout(SETTLE, self.sender.ready()).await, Ok(Ok(())))
    }
}
