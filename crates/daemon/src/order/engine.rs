//! Reads the state of engines and sends them orders over HTTP. Each call has a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, client::conn::http1::SendRequest,
    header::HOST,
};
use hyper_util::rt::TokioIo;
use jaystand_control::order::{Answer, Command, State};
use jaystand_wire::order::{Envelope, ORDERS_PATH, RawState, STATE_PATH};
use tokio::net::TcpStream;

use super::Orders;

/// Shorter than the age from which the reconciler ignores a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_STATE_BYTES: usize = 16 * 1024;

/// Reads the state of an engine. Returns `None` if the engine does not answer in time or the state is malformed.
pub(super) async fn read(address: SocketAddr) -> Option<State> {
    let read = async {
        let mut connection = connect(address).await?;
        let request = build_request(Method::GET, address, STATE_PATH, Bytes::new())?;
        let response = connection.send_request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        let raw: RawState = serde_json::from_slice(&body).ok()?;
        State::try_from(raw).ok()
    };
    tokio::time::timeout(READ_TIMEOUT, read).await.ok()?
}

/// Sends an order. The connection is opened first, so that no slow step lies between the check of the lease and the
/// order.
pub(super) async fn send(orders: &Orders, command: &Command) -> Answer {
    let Some(address) = orders.address(&command.server) else {
        return Answer::NotSent;
    };
    let Some(mut connection) = connect(address).await else {
        return Answer::NotSent;
    };
    let Ok(body) = serde_json::to_vec(&Envelope::from(command)) else {
        return Answer::NotSent;
    };
    let Some(request) = build_request(Method::POST, address, ORDERS_PATH, body.into()) else {
        return Answer::NotSent;
    };
    if !orders.may_send(command.fence, command.send_before) {
        return Answer::NotSent;
    }
    let call = connection.send_request(request);
    match tokio::time::timeout(orders.lease_settings.max_delay, call).await {
        Ok(Ok(response)) => classify_response(&response),
        Ok(Err(_)) | Err(_) => Answer::Lost,
    }
}

fn classify_response(response: &Response<Incoming>) -> Answer {
    match response.status() {
        status if status.is_success() => Answer::Accepted,
        status if status.is_client_error() => Answer::Refused,
        _ => Answer::Lost,
    }
}

/// Opens a connection for one exchange.
async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connect = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.ok()?;
        // The task ends with the connection, after one exchange.
        tokio::spawn(connection);
        Some(sender)
    };
    tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?
}

fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body))
        .ok()
}
