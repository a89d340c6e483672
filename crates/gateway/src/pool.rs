//! Idle connections to backend servers, kept per server incarnation.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use hashbrown::HashMap;
use jaystand_dispatch::ServerKey;
use tokio::time::Instant;

use crate::link::Connection;

/// Timeout for opening a connection. A lost SYN is sent again only after a second; another server answers sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection is closed if a server does not acknowledge sent bytes for this long. Round trips take about 2 ms.
const ACK_TIMEOUT: Duration = Duration::from_millis(450);
/// Fraction of a server's stated idle timeout for which a connection is kept. A request that is sent while the server
/// closes the connection would be lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Time for which a connection is kept if the server states no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of idle connections kept per server. More would only help in bursts, and they count against the
/// server's limit.
const MAX_IDLE: usize = 16;
/// Number of idle connections that may be kept in any case. Without one, each request would open its own.
const MIN_IDLE: usize = 1;

/// The idle connections to all servers.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<ServerKey, Vec<Idle>>>,
}

/// An idle connection.
struct Idle {
    connection: Connection,
    /// When it is closed.
    expires_at: Instant,
}

/// A connection that is in use for one request.
pub(crate) struct Pooled {
    pub(crate) connection: Connection,
    pub(crate) server: ServerKey,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

impl Pool {
    /// Returns an idle connection to a server, or opens a new one.
    pub(crate) async fn acquire(
        &self,
        server: ServerKey,
        address: SocketAddr,
        time_left: Duration,
    ) -> std::io::Result<Pooled> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(Pooled {
                connection,
                server,
                reused: true,
            });
        }
        let connection =
            Connection::open(address, CONNECT_TIMEOUT.min(time_left), ACK_TIMEOUT).await?;
        Ok(Pooled {
            connection,
            server,
            reused: false,
        })
    }

    /// Takes back a connection whose last answer has been read to its end. Keeps it unless `max_idle` connections to
    /// its server are idle already.
    pub(crate) async fn release(
        &self,
        mut pooled: Pooled,
        stated_idle_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        if !pooled.connection.wait_reusable().await {
            return;
        }
        let idle_timeout = stated_idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
        });
        let mut pool = self.idle.borrow_mut();
        let connections = pool.entry(pooled.server).or_default();
        if connections.len() < max_idle.clamp(MIN_IDLE, MAX_IDLE) {
            connections.push(Idle {
                connection: pooled.connection,
                expires_at: Instant::now() + idle_timeout,
            });
        }
    }

    /// Closes the idle connections that have expired or can no longer be used.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a server. When one connection stops responding, those opened alongside it often
    /// do so, too.
    pub(crate) fn close_idle(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    fn take_idle(&self, server: ServerKey) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        let connections = pool.get_mut(&server)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}
