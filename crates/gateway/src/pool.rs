//! Idle connections to backend servers, by incarnation.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use hashbrown::HashMap;
use jaystand_dispatch::ServerKey;
use tokio::time::Instant;

use crate::link::Connection;

/// Time allowed for a new connection. A lost opening packet is sent again only after a second; another server
/// answers sooner.
const CONNECT: Duration = Duration::from_millis(250);
/// Bytes that a server does not acknowledge for this long break the connection. Round trips take about 2 ms.
const UNACKNOWLEDGED: Duration = Duration::from_millis(450);
/// Part of a server's stated idle time for which a connection is kept: a request that crosses the server's
/// close would be lost.
const KEPT_PART: f64 = 0.7;
/// Idle time of servers that state none.
const UNSTATED_IDLE: Duration = Duration::from_millis(700);
/// Idle connections kept to one server; more serve only bursts and count against the server's limit.
const MOST_IDLE: usize = 16;
/// Idle connections kept in any case; without one, each request would open its own.
const LEAST_IDLE: usize = 1;

/// The idle connections.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<ServerKey, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// A connection for one request.
pub(crate) struct Pooled {
    pub(crate) connection: Connection,
    pub(crate) server: ServerKey,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

impl Pool {
    /// An idle connection to a server, or else a new one.
    pub(crate) async fn acquire(
        &self,
        server: ServerKey,
        address: SocketAddr,
        left: Duration,
    ) -> std::io::Result<Pooled> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(Pooled {
                connection,
                server,
                reused: true,
            });
        }
        let connection = Connection::open(address, CONNECT.min(left), UNACKNOWLEDGED).await?;
        Ok(Pooled {
            connection,
            server,
            reused: false,
        })
    }

    /// Takes a connection back whose last answer has been read to the end, if at most so many are idle then.
    pub(crate) async fn release(
        &self,
        mut pooled: Pooled,
        stated_idle: Option<Duration>,
        most: usize,
    ) {
        if !pooled.connection.wait_reusable().await {
            return;
        }
        let idle = stated_idle.map_or(UNSTATED_IDLE, |idle| idle.mul_f64(KEPT_PART));
        let mut pool = self.idle.borrow_mut();
        let connections = pool.entry(pooled.server).or_default();
        if connections.len() < most.clamp(LEAST_IDLE, MOST_IDLE) {
            connections.push(Idle {
                connection: pooled.connection,
                until: Instant::now() + idle,
            });
        }
    }

    /// Closes the connections whose time is over.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.until > now && idle.connection.is_ready());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to a server. Connections opened beside one that fell silent are often
    /// silent, too.
    pub(crate) fn close_idle(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    fn take_idle(&self, server: ServerKey) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        let connections = pool.get_mut(&server)?;
        while let Some(idle) = connections.pop() {
            if idle.until > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}
