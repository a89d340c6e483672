//! The HTTP/1.1 server that all stand-ins share, and the handle through which tests and benches control it.

use std::{io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::gate::Gate;

const MEMORY_PIPE_BYTES: usize = 256 * 1024;

/// Body of a stand-in's response; an error breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Request handling, fault switches and records of a stand-in.
pub trait Standin: Send + Sync + 'static {
    /// Fault switches.
    type Faults: Clone + Send;
    /// One recorded request.
    type Record: Clone + Send;

    /// Answers one request. An error breaks the connection.
    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = io::Result<Response<Body>>> + Send;
    /// Returns the current fault switches.
    fn faults(&self) -> Self::Faults;
    /// Replaces the fault switches and returns those that the server applies to its connections.
    fn set_faults(&self, faults: Self::Faults) -> Switches;
    /// Returns the records of the requests so far.
    fn records(&self) -> Vec<Self::Record>;
    /// Discards the state that a crashed process loses.
    fn reset(&self);
}

/// Fault switches that the server applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    /// Whether connections stay open but pass no bytes.
    pub frozen: bool,
}

/// Handle of a running stand-in. Clones refer to the same stand-in.
pub struct Handle<S> {
    shared: Arc<Shared<S>>,
}

struct Shared<S> {
    standin: Arc<S>,
    gate: Arc<Gate>,
    address: SocketAddr,
    run: Mutex<Run>,
}

#[derive(Clone)]
struct Run {
    /// Stops accepting; connections close after their current exchange.
    graceful: CancellationToken,
    /// Closes all connections at once.
    kill: CancellationToken,
    tasks: TaskTracker,
}

impl<S> Clone for Handle<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<S> Drop for Shared<S> {
    fn drop(&mut self) {
        self.run.lock().kill.cancel();
    }
}

impl<S: Standin> Handle<S> {
    /// Binds `address` and serves. Dropping the last handle ends the stand-in.
    pub(crate) fn start(address: SocketAddr, standin: Arc<S>) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let handle = Self {
            shared: Arc::new(Shared {
                standin,
                gate: Arc::default(),
                address,
                run: Mutex::new(Run::new()),
            }),
        };
        handle.set_faults(handle.faults());
        handle.accept(listener);
        Ok(handle)
    }

    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the stand-in.
    #[must_use]
    pub fn standin(&self) -> &Arc<S> {
        &self.shared.standin
    }

    /// Opens an in-memory connection, for tests on a paused clock.
    #[must_use]
    pub fn connect(&self) -> DuplexStream {
        let (client, server) = tokio::io::duplex(MEMORY_PIPE_BYTES);
        let run = self.shared.run.lock().clone();
        run.tasks.spawn(serve(
            self.shared.gate.guard(server),
            Arc::clone(&self.shared.standin),
            run.clone(),
        ));
        client
    }

    /// Returns the current fault switches.
    #[must_use]
    pub fn faults(&self) -> S::Faults {
        self.shared.standin.faults()
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: S::Faults) {
        let switches = self.shared.standin.set_faults(faults);
        self.shared.gate.freeze(switches.frozen);
    }

    /// Silences the open connections for good; new connections work.
    pub fn silence_existing(&self) {
        self.shared.gate.silence_existing();
    }

    /// Returns the records of the requests so far.
    #[must_use]
    pub fn records(&self) -> Vec<S::Record> {
        self.shared.standin.records()
    }

    /// Stops accepting and waits until the current exchanges are finished.
    pub async fn stop(&self) {
        let run = self.shared.run.lock().clone();
        run.graceful.cancel();
        run.tasks.close();
        run.tasks.wait().await;
    }

    /// Breaks all connections, stops listening and discards the state that a crashed process loses.
    pub async fn crash(&self) {
        let run = self.shared.run.lock().clone();
        run.kill.cancel();
        run.tasks.close();
        run.tasks.wait().await;
        self.shared.standin.reset();
    }

    /// Listens again on the same address after [`Handle::stop`] or [`Handle::crash`].
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn restart(&self) -> io::Result<()> {
        let (listener, _) = bind(self.shared.address)?;
        *self.shared.run.lock() = Run::new();
        self.accept(listener);
        Ok(())
    }

    fn accept(&self, listener: tokio::net::TcpListener) {
        let run = self.shared.run.lock().clone();
        let gate = Arc::clone(&self.shared.gate);
        let standin = Arc::clone(&self.shared.standin);
        let tasks = run.tasks.clone();
        tasks.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = run.graceful.cancelled() => return,
                    () = run.kill.cancelled() => return,
                };
                // Accept fails when the process runs out of descriptors; the caller sees a broken connection.
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let connection = serve(gate.guard(stream), Arc::clone(&standin), run.clone());
                run.tasks.spawn(connection);
            }
        });
    }
}

impl Run {
    fn new() -> Self {
        Self {
            graceful: CancellationToken::new(),
            kill: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }
}

async fn serve<S: Standin>(
    io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    standin: Arc<S>,
    run: Run,
) {
    let service = service_fn(move |request| Arc::clone(&standin).call(request));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The default of 30 s would close silent connections, which must stay open.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = run.kill.cancelled() => return,
        () = run.graceful.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = run.kill.cancelled() => {}
    }
}

fn bind(address: SocketAddr) -> io::Result<(tokio::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((tokio::net::TcpListener::from_std(listener)?, address))
}

/// Returns a body that holds all of `bytes`.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns an error response in the format of OpenAI-compatible servers.
pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    json(
        status,
        &serde_json::json!({
            "error": {"message": message, "type": "standin", "code": code, "param": null}
        }),
    )
}

/// Reads the whole request body.
pub(crate) async fn read_body(body: Incoming) -> io::Result<Bytes> {
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(io::Error::other(error)),
    }
}

/// Returns a header as text; `None` if it is absent or not visible ASCII.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the error with which a fault breaks the connection.
pub(crate) fn connection_dropped() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "fault: connection dropped")
}
