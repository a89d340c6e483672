//! Calls to peers. Every call has a deadline, and a connection that missed one is not used again: connections can
//! go silent for good while new ones work.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use hyper_util::rt::TokioIo;
use jaystand_wire::peer::raw::{self, peer_client::PeerClient};
use miette::miette;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tonic::{
    Request, Status,
    metadata::{Ascii, MetadataValue},
    transport::{Channel, Endpoint},
};

use super::{Counts, Deployment, counted::Counted};

/// Metadata that names the deployment.
pub(super) const DEPLOYMENT: &str = "x-jaystand-deployment";
/// Metadata that carries the shared key.
pub(super) const KEY: &str = "x-jaystand-key";
/// Greatest message: a deflated configuration of several times the target size.
pub(super) const MAX_MESSAGE: usize = 8 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers are milliseconds apart, other regions a few hundred.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) struct Channels {
    deployment: MetadataValue<Ascii>,
    key: MetadataValue<Ascii>,
    counts: Counts,
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Channels {
    pub(super) fn new(deployment: &Deployment, counts: Counts) -> miette::Result<Self> {
        let metadata = |key: &str, text: &str| {
            MetadataValue::try_from(text)
                .map_err(|_| miette!("{key}: use printable ASCII characters only"))
        };
        Ok(Self {
            deployment: metadata("host.deployment", &deployment.name)?,
            key: metadata("peers.key", deployment.key.expose())?,
            counts,
            open: Mutex::default(),
        })
    }

    pub(super) async fn exchange(
        &self,
        peer: SocketAddr,
        digest: raw::Digest,
    ) -> Result<raw::Digest, Status> {
        let mut client = self.client(peer);
        let call = client.exchange(self.request(digest));
        self.within(EXCHANGE_TIMEOUT, peer, call).await
    }

    pub(super) async fn fetch(
        &self,
        peer: SocketAddr,
        request: raw::FetchRequest,
    ) -> Result<raw::FetchReply, Status> {
        let mut client = self.client(peer);
        let call = client.fetch(self.request(request));
        self.within(FETCH_TIMEOUT, peer, call).await
    }

    /// Keeps connections to these peers only.
    pub(super) fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.open.lock().retain(|address, _| wanted(address));
    }

    async fn within<T>(
        &self,
        time: Duration,
        peer: SocketAddr,
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, Status> {
        let answer = tokio::time::timeout(time, call)
            .await
            .unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time")));
        let result = if answer.is_ok() { "ok" } else { "failed" };
        self.counts.exchanges.with_label_values(&[result]).inc();
        if answer.is_err() {
            self.open.lock().remove(&peer);
        }
        answer.map(tonic::Response::into_inner)
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let metadata = request.metadata_mut();
        metadata.insert(DEPLOYMENT, self.deployment.clone());
        metadata.insert(KEY, self.key.clone());
        request
    }

    fn client(&self, peer: SocketAddr) -> PeerClient<Channel> {
        let mut open = self.open.lock();
        let channel = open.entry(peer).or_insert_with(|| self.connect(peer));
        PeerClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// A channel that connects on its first call.
    fn connect(&self, peer: SocketAddr) -> Channel {
        let counts = self.counts.clone();
        let connector = tower::service_fn(move |_| {
            let counts = counts.clone();
            async move {
                let stream = TcpStream::connect(peer).await?;
                Ok::<_, std::io::Error>(TokioIo::new(Counted::new(stream, &counts)))
            }
        });
        // The connector ignores the URI, which only becomes the `:authority` of requests.
        Endpoint::from_static("http://peer")
            .connect_timeout(CONNECT_TIMEOUT)
            .connect_with_connector_lazy(connector)
    }
}
