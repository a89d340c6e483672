//! Accepts connections and serves HTTP on them: callers' requests, readiness, metrics and texts for other hosts.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use jaystand_adapter::request::READINESS_PATH;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

use crate::{call, hub::Hub, reply::Reply, socket};

/// Length of the queue of connections that wait to be accepted. When it is full, a caller only tries again after a
/// second.
const BACKLOG: u32 = 1_024;
/// Delay after a failure to accept, for example because no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection is closed if a caller does not acknowledge sent bytes for this long.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the request to stop until idle connections are closed. The platform checks readiness once a second and
/// sends new connections elsewhere after two failed checks.
pub(crate) const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Limit on a request's head while no configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// Idle timeout of callers' connections while no configuration is known, and of all other connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Opens a listener at an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<Rc<TcpListener>> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG).map(Rc::new)
}

/// Accepts callers' connections for as long as the process runs.
pub(crate) async fn accept(hub: Rc<Hub>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&hub), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one caller's connection. After the process is asked to stop, closes it when it is
/// idle.
async fn serve_connection(hub: Rc<Hub>, stream: TcpStream) {
    if let Err(error) = socket::prepare(&stream, ACK_TIMEOUT) {
        log::debug!("cannot set the options of a connection: {error}");
    }
    let limits = hub
        .state
        .borrow()
        .config
        .as_ref()
        .map(|config| config.limits().clone());
    let head_bytes = limits
        .as_ref()
        .map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    let idle_timeout = limits
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let service = service_fn({
        let hub = Rc::clone(&hub);
        move |request: Request<Incoming>| {
            let hub = Rc::clone(&hub);
            async move {
                let mut response = call::serve(Rc::clone(&hub), request).await;
                if hub.is_stopping() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper starts this timer when the last answer ends, so it limits the idle time as well.
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopping = hub.stopping.subscribe();
    let close_idle = async {
        if stopping.wait_for(|stopping| *stopping).await.is_ok() {
            sleep(CLOSE_IDLE_AFTER).await;
        }
    };
    let mut close_idle = std::pin::pin!(close_idle);
    let mut closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("a caller's connection ended: {error}");
                }
                return;
            }
            () = close_idle.as_mut(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Serves readiness: whether the host takes new connections.
pub(crate) async fn serve_readiness(hub: Rc<Hub>, listener: Rc<TcpListener>) {
    serve_text(hub, listener, async |hub: Rc<Hub>, request| {
        if request.uri().path() != READINESS_PATH {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        if hub.is_ready() {
            (StatusCode::OK, b"ready\n".to_vec())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec())
        }
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(hub: Rc<Hub>, listener: Rc<TcpListener>) {
    serve_text(hub, listener, async |hub: Rc<Hub>, request| {
        if request.method() == Method::GET {
            (StatusCode::OK, hub.metrics.text())
        } else {
            (StatusCode::METHOD_NOT_ALLOWED, Vec::new())
        }
    })
    .await;
}

/// Accepts connections and answers each request with the status and text that `answer` returns.
pub(crate) async fn serve_text(
    hub: Rc<Hub>,
    listener: Rc<TcpListener>,
    answer: impl AsyncFn(Rc<Hub>, Request<Incoming>) -> (StatusCode, Vec<u8>) + Copy + 'static,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let hub = Rc::clone(&hub);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let hub = Rc::clone(&hub);
                async move {
                    let (status, text) = answer(hub, request).await;
                    let mut response = Response::new(Reply::Whole(Some(text.into())));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("an inner connection ended: {error}");
            }
        });
    }
}
