//! Backend servers as the daemon reaches them: a connection pool each, and what their answers say of them.

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

/// Bound on opening a connection; data centres are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are closed before a server's own idle timeout is likely to close them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bound on telling a server to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// One backend server.
#[derive(Debug)]
pub struct Backend {
    /// What the directory says of it.
    pub server: Server,
    pool: ArcSwap<HttpClient>,
    unpooled: HttpClient,
    incarnation: AtomicU64,
    weights_version: ArcSwapOption<CompactString>,
    leaving: AtomicBool,
    /// Its own answer said that it leaves, and the other daemons have not been told.
    unreported_leaving: AtomicBool,
}

/// The backend servers of one configuration, by server id.
pub type Table = Arc<[Arc<Backend>]>;

/// Builds the table of a configuration. Servers that stay keep their connections and what is known of them.
#[must_use]
pub fn table(directory: &Directory, before: &[Arc<Backend>]) -> Table {
    let known: HashMap<&ServerName, &Arc<Backend>> = before
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

    /// Whether it is a plain service.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.server.kind == ServerKind::Service
    }

    /// The client to send with. `fresh` retires the pool: its idle connections close and its busy ones are not
    /// used again.
    pub(crate) fn client(&self, fresh: bool) -> Arc<HttpClient> {
        if fresh {
            self.retire_connections();
        }
        self.pool.load_full()
    }

    /// Retires the pool after an answer that belongs to another request: its connections may be out of step.
    pub(crate) fn retire_connections(&self) {
        self.pool.store(Arc::new(client(usize::MAX)));
    }

    /// A client whose connections carry one request each. An idle connection that closes while a request is
    /// written leaves it unknown whether the request ran, which unrepeatable requests must avoid.
    pub(crate) fn unpooled_client(&self) -> &HttpClient {
        &self.unpooled
    }

    /// The incarnation seen last, if any.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        match self.incarnation.load(Ordering::Relaxed) {
            0 => None,
            incarnation => Some(incarnation),
        }
    }

    /// Notes the incarnation that the server says it has. Returns whether another one was known before.
    pub(crate) fn record_incarnation(&self, incarnation: Incarnation) -> bool {
        if incarnation == 0 {
            return false;
        }
        let before = self.incarnation.swap(incarnation, Ordering::Relaxed);
        before != 0 && before != incarnation
    }

    /// The weights version that the server serves, or else the one that it should serve.
    #[must_use]
    pub fn weights_version(&self) -> CompactString {
        match &*self.weights_version.load() {
            Some(version) => CompactString::clone(version),
            None => self.server.weights_version.clone(),
        }
    }

    /// Notes the weights version that the server says it serves.
    pub(crate) fn record_weights_version(&self, version: &str) {
        if !version.is_empty() && self.weights_version() != version {
            self.weights_version.store(Some(Arc::new(version.into())));
        }
    }

    /// Whether the server is leaving, as noted last.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes whether the server is leaving. Returns whether that changed.
    pub(crate) fn set_leaving(&self, leaving: bool) -> bool {
        self.leaving.swap(leaving, Ordering::Relaxed) != leaving
    }

    /// Whether an answer of the server said that it leaves and nobody has been told.
    pub(crate) fn has_unreported_leaving(&self) -> bool {
        self.unreported_leaving.load(Ordering::Relaxed)
    }

    /// Notes whether there is such an answer to tell of.
    pub(crate) fn set_unreported_leaving(&self, said: bool) {
        self.unreported_leaving.store(said, Ordering::Relaxed);
    }

    /// The URI of a path on the server.
    pub(crate) fn uri(&self, path: &str) -> Uri {
        let built = Uri::builder()
            .scheme("http")
            .authority(self.server.address.to_string())
            .path_and_query(path)
            .build();
        // The address is checked and paths come from URIs, so building does not fail.
        built.unwrap_or_default()
    }

    /// Tells the server to stop working on a request, in the background.
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
                log::debug!("cancelling request {request:016x} at {name} was not confirmed");
            }
        });
    }
}

fn client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}
