//! Accepts connections and serves HTTP on them: callers' requests, readiness, metrics and texts for other hosts.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jaystand_adapter::request::READINESS_PATH;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::yield_now,
    time::sleep,
};

use crate::{
    account::{Account, Connection, Place, Shed, Stream},
    call,
    hub::Hub,
    reply::{Reply, Tracked},
    socket,
};

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
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Send buffer of a connection. The kernel doubles it and reports room again when a third is free, so a caller that
/// reads 15 kB/s or more is seen to make progress within [`crate::account::UNREAD_TIMEOUT`].
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Time for the answer to a request whose body was shed.
const SHED_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the head of a request while no configuration is known, and on all connections but callers'.
pub(crate) const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
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
                let full = hub.accounts.callers.is_full();
                // Without a place, the connection is closed: all others wait for their answers.
                if let Some(place) = hub.accounts.callers.open() {
                    tokio::task::spawn_local(serve_connection(Rc::clone(&hub), place, stream));
                }
                if full {
                    // Connections that were shed must close before others are accepted.
                    yield_now().await;
                }
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
async fn serve_connection(hub: Rc<Hub>, place: Place, stream: TcpStream) {
    let connection = &place.connection;
    prepare(&stream);
    if !await_first_byte(&hub, connection, &stream).await {
        return;
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
        let (hub, connection) = (Rc::clone(&hub), Rc::clone(connection));
        move |request: Request<Incoming>| {
            // The library reserves memory for this future while the connection is idle, so the large one is boxed.
            Box::pin(answer(Rc::clone(&hub), Rc::clone(&connection), request))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper starts this timer when the last answer ends, so it limits the idle time as well.
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(Stream::new(stream, connection)), service);
    let mut served = std::pin::pin!(served);
    let mut stopping = hub.stopping.subscribe();
    let close_idle = async {
        if stopping.wait_for(|stopping| *stopping).await.is_ok() {
            sleep(CLOSE_IDLE_AFTER).await;
        }
    };
    let mut close_idle = std::pin::pin!(close_idle);
    let mut closing = false;
    let shed = wait_until_closed(connection);
    let mut shed = std::pin::pin!(shed);
    loop {
        tokio::select! {
            result = served.as_mut() => {
                if let Err(error) = result {
                    log::debug!("a caller's connection ended: {error}");
                }
                return;
            }
            () = close_idle.as_mut(), if !closing => {
                closing = true;
                served.as_mut().graceful_shutdown();
            }
            () = shed.as_mut() => return,
        }
    }
}

/// Sets the options of a connection.
fn prepare(stream: &TcpStream) {
    if let Err(error) = socket::prepare(stream, ACK_TIMEOUT)
        .and_then(|()| socket::limit_send_buffer(stream, SEND_BUFFER_BYTES))
    {
        log::debug!("cannot set the options of a connection: {error}");
    }
}

/// Waits until a connection has something to read. The HTTP library's buffers take 16 KB from then on. Returns false if
/// the connection is to be closed before.
async fn await_first_byte(hub: &Hub, connection: &Connection, stream: &TcpStream) -> bool {
    let mut stopping = hub.stopping.subscribe();
    let close_idle = async {
        if stopping.wait_for(|stopping| *stopping).await.is_ok() {
            sleep(CLOSE_IDLE_AFTER).await;
        }
    };
    tokio::select! {
        readable = stream.readable() => readable.is_ok(),
        _ = connection.wait_shed() => false,
        () = close_idle => false,
    }
}

/// Waits until a connection that was shed is to be closed. If its body was being read, its request is answered first.
async fn wait_until_closed(connection: &Connection) {
    let reason = connection.wait_shed().await;
    if reason != Shed::Unread && connection.owes_answer() {
        sleep(SHED_ANSWER_TIMEOUT).await;
    }
}

/// Answers one request of a caller.
async fn answer(
    hub: Rc<Hub>,
    connection: Rc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<Tracked>, Infallible> {
    connection.begin_request().await;
    let takes_chunks = request.version() >= Version::HTTP_11;
    let response = call::serve(Rc::clone(&hub), Rc::clone(&connection), request).await;
    connection.begin_answer();
    if !takes_chunks && response.body().size_hint().exact().is_none() {
        connection.set_close_delimited();
    }
    let mut response = response.map(|reply| Tracked::new(reply, &connection));
    if hub.is_stopping() || connection.shed_reason().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Serves readiness: whether the host takes new connections.
pub(crate) async fn serve_readiness(hub: Rc<Hub>, listener: Rc<TcpListener>) {
    let account = Rc::clone(&hub.accounts.ready);
    serve_text(hub, listener, account, async |hub: Rc<Hub>, request| {
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
    let account = Rc::clone(&hub.accounts.metrics);
    serve_text(hub, listener, account, async |hub: Rc<Hub>, request| {
        if request.method() == Method::GET {
            (StatusCode::OK, hub.metrics.text())
        } else {
            (StatusCode::METHOD_NOT_ALLOWED, Vec::new())
        }
    })
    .await;
}

/// Accepts connections and answers each request with the status and text that `answer` returns. A new connection
/// replaces an old one if the account is full, so that other hosts and the platform's probe are always answered.
pub(crate) async fn serve_text(
    hub: Rc<Hub>,
    listener: Rc<TcpListener>,
    account: Rc<Account>,
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
        let full = account.is_full();
        if let Some(place) = account.open() {
            tokio::task::spawn_local(serve_text_connection(
                Rc::clone(&hub),
                place,
                stream,
                answer,
            ));
        }
        if full {
            yield_now().await;
        }
    }
}

/// Serves the requests of one connection of the platform or another host.
async fn serve_text_connection(
    hub: Rc<Hub>,
    place: Place,
    stream: TcpStream,
    answer: impl AsyncFn(Rc<Hub>, Request<Incoming>) -> (StatusCode, Vec<u8>) + Copy + 'static,
) {
    let connection = &place.connection;
    prepare(&stream);
    if !await_first_byte(&hub, connection, &stream).await {
        return;
    }
    let service = service_fn({
        let connection = Rc::clone(connection);
        move |request: Request<Incoming>| {
            let (hub, connection) = (Rc::clone(&hub), Rc::clone(&connection));
            Box::pin(async move {
                connection.begin_request().await;
                connection.set_forwarded();
                let (status, text) = answer(hub, request).await;
                let reply = Reply::Whole(Some(text.into()));
                let mut response = Response::new(Tracked::new(reply, &connection));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            })
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .max_buf_size(MIN_BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(Stream::new(stream, connection)), service);
    tokio::select! {
        result = served => {
            if let Err(error) = result {
                log::debug!("an inner connection ended: {error}");
            }
        }
        _ = connection.wait_shed() => {}
    }
}
