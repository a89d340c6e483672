//! Backend servers with their connections and the state that their answers report.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::{Method, Request, Uri};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use jaystand_sheet::{Directory, Server, ServerKind};
use jaystand_types::{Incarnation, RequestId, ServerName};
use jaystand_wire::engine;

/// Timeout for opening a connection. Data centres are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are closed after this time, which is likely to be before the server's own idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for telling a server to cancel a request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its entry in the directory.
    pub server: Server,
    pool: ArcSwap<HttpClient>,
    unpooled: HttpClient,
    /// The incarnation that it reported last; 0 if none.
    incarnation: AtomicU64,
    /// The weights version that it reported last, if other than the directory's.
    weights_version: ArcSwapOption<CompactString>,
    leaving: AtomicBool,
    /// Whether an answer of the server announced that it is leaving, and the other daemons have not been told.
    unreported_leaving: AtomicBool,
}

/// The backend servers of a configuration, indexed by server id.
pub type Table = Arc<[Arc<Backend>]>;

/// Builds the table of a configuration. Servers whose entry is unchanged since `previous` keep their connections and
/// state.
#[must_use]
pub fn build_table(directory: &Directory, previous: &[Arc<Backend>]) -> Table {
    let known: HashMap<&ServerName, &Arc<Backend>> = previous
        .iter()
        .map(|backend| (&backend.server.name, backend))
        .collect();
    let servers = directory.servers.iter();
    servers
        .map(|server| match known.get(&server.name) {
            Some(backend) if backend.server == *server => Arc::clone(backend),
            _ => Arc::new(Backend::new(server.clone())),
        })
        .collect()
}

impl Backend {
    fn new(server: Server) -> Self {
        Self {
            server,
            pool: ArcSwap::from_pointee(client(usize::MAX)),
            unpooled: client(0),
            incarnation: AtomicU64::new(0),
            weights_version: ArcSwapOption::empty(),
            leaving: AtomicBool::new(false),
            unreported_leaving: AtomicBool::new(false),
        }
    }

    /// Returns whether the server is a plain service.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.server.kind == ServerKind::Service
    }

    /// Returns the client with the connection pool. With `fresh`, the pool is replaced first: its idle connections
    /// close, and its busy ones are not used again.
    pub(crate) fn client(&self, fresh: bool) -> Arc<HttpClient> {
        if fresh {
            self.retire_connections();
        }
        self.pool.load_full()
    }

    /// Replaces the connection pool. Used after an answer to another request, since further connections may also mix up
    /// requests and answers.
    pub(crate) fn retire_connections(&self) {
        self.pool.store(Arc::new(client(usize::MAX)));
    }

    /// Returns a client that uses each connection for one request. If an idle connection closes while a request is
    /// written to it, it is unknown whether the request ran. Unrepeatable requests must avoid that.
    pub(crate) fn unpooled_client(&self) -> &HttpClient {
        &self.unpooled
    }

    /// Returns the incarnation that the server reported last, if any.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self.incarnation.load(Ordering::Relaxed) {
            0 => None,
            incarnation => Some(incarnation),
        }
    }

    /// Records the incarnation that the server reports. Returns whether another one was known before.
    pub(crate) fn record_incarnation(&self, incarnation: Incarnation) -> bool {
        if incarnation == 0 {
            return false;
        }
        let previous = self.incarnation.swap(incarnation, Ordering::Relaxed);
        previous != 0 && previous != incarnation
    }

    /// Returns the weights version that the server reported last, or else the directory's.
    #[must_use]
    pub fn weights_version(&self) -> CompactString {
        match &*self.weights_version.load() {
            Some(version) => CompactString::clone(version),
            None => self.server.weights_version.clone(),
        }
    }

    /// Records the weights version that the server reports.
    pub(crate) fn record_weights_version(&self, version: &str) {
        if !version.is_empty() && self.weights_version() != version {
            self.weights_version.store(Some(Arc::new(version.into())));
        }
    }

    /// Returns whether the server is leaving, as recorded last.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records whether the server is leaving. Returns whether that changed.
    pub(crate) fn set_leaving(&self, leaving: bool) -> bool {
        self.leaving.swap(leaving, Ordering::Relaxed) != leaving
    }

    /// Returns whether an answer announced that the server is leaving, and the other daemons have not been told.
    pub(crate) fn has_unreported_leaving(&self) -> bool {
        self.unreported_leaving.load(Ordering::Relaxed)
    }

    /// Records whether there is such an announcement of which the other daemons have not been told.
    pub(crate) fn set_unreported_leaving(&self, unreported: bool) {
        self.unreported_leaving.store(unreported, Ordering::Relaxed);
    }

    /// Returns the URI of a path on the server.
    pub(crate) fn uri(&self, path: &str) -> Uri {
        let built = Uri::builder()
            .scheme("http")
            .authority(self.server.address.to_string())
            .path_and_query(path)
            .build();
        // The address is validated and paths come from URIs, so building does not fail.
        built.unwrap_or_default()
    }

    /// Tells an engine in the background to cancel a request. Plain services have no such call.
    pub(crate) fn cancel(self: &Arc<Self>, request: RequestId) {
        if self.is_service() {
            return;
        }
        let backend = Arc::clone(self);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let cancel = Request::builder()
                .method(Method::DELETE)
                .uri(backend.uri(&engine::request_path(request)))
                .body(Full::default());
            let Ok(cancel) = cancel else { return };
            let sent = backend.client(false).request(cancel);
            if !matches!(tokio::time::timeout(CANCEL_TIMEOUT, sent).await, Ok(Ok(_))) {
                let name = &backend.server.name;
                log::debug!("{name} did not confirm that request {request:016x} is cancelled");
            }
        });
    }
}

fn client(max_idle_connections: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .build(connector)
}
