//! TCP connections with options that detect when the peer no longer responds.

use std::{io, net::SocketAddr, time::Duration};

use rustix::net::sockopt;
use tokio::{net::TcpStream, time::timeout};

/// Time before the first keep-alive probe and between probes. One second is the smallest value that the socket options
/// allow.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection and sets its options. It is closed if sent bytes are not acknowledged within `ack_timeout`.
pub(crate) async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    ack_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream, ack_timeout)?;
    Ok(stream)
}

/// Bounds the memory that the kernel takes for bytes that the peer has not acknowledged.
pub(crate) fn limit_send_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    sockopt::set_socket_send_buffer_size(stream, bytes)?;
    Ok(())
}

/// Sets whether the connection is reset when it closes, so that its peer does not take that for an orderly end.
pub(crate) fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    sockopt::set_socket_linger(stream, resets.then_some(Duration::ZERO))?;
    Ok(())
}

/// Sets the options of an open connection: no delay, keep-alive and the timeout for acknowledgements.
pub(crate) fn prepare(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_PERIOD)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_PERIOD)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let ms = u32::try_from(ack_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, ms)?;
    Ok(())
}
