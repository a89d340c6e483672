//! Calls to peers. Every call has a deadline. A connection on which a call failed is not used again, because a
//! connection can stay silent for good while new ones work.

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

/// Metadata key of the deployment's name.
pub(super) const DEPLOYMENT_HEADER: &str = "x-jaystand-deployment";
/// Metadata key of the shared key.
pub(super) const KEY_HEADER: &str = "x-jaystand-key";
/// Largest message. Has room for a deflated configuration of several times the target size.
pub(super) const MAX_MESSAGE_BYTES: usize = 8 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Peers of the region answer within milliseconds, those of other regions within a few hundred.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to peers, opened on first use.
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
        self.call_with_timeout(EXCHANGE_TIMEOUT, peer, call).await
    }

    pub(super) async fn fetch(
        &self,
        peer: SocketAddr,
        request: raw::FetchRequest,
    ) -> Result<raw::FetchReply, Status> {
        let mut client = self.client(peer);
        let call = client.fetch(self.request(request));
        self.call_with_timeout(FETCH_TIMEOUT, peer, call).await
    }

    /// Closes the connections to peers for which `keep` returns false.
    pub(super) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.open.lock().retain(|address, _| keep(address));
    }

    /// Awaits a call for at most `timeout`, counts its result, and drops the connection if it failed.
    async fn call_with_timeout<T>(
        &self,
        timeout: Duration,
        peer: SocketAddr,
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, Status> {
        let answer = tokio::time::timeout(timeout, call)
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
        metadata.insert(DEPLOYMENT_HEADER, self.deployment.clone());
        metadata.insert(KEY_HEADER, self.key.clone());
        request
    }

    fn client(&self, peer: SocketAddr) -> PeerClient<Channel> {
        let mut open = self.open.lock();
        let channel = open.entry(peer).or_insert_with(|| self.connect(peer));
        PeerClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns a channel that connects on its first call.
    fn connect(&self, peer: SocketAddr) -> Channel {
        let counts = self.counts.clone();
        let connector = tower::service_fn(move |_| {
            let counts = counts.clone();
            async move {
                let stream = TcpStream::connect(peer).await?;
                Ok::<_, std::io::Error>(TokioIo::new(Counted::new(stream, &counts)))
            }
        });
        // The connector ignores this URI, which only sets the `:authority` of requests.
        Endpoint::from_static("http://peer")
            .connect_timeout(CONNECT_TIMEOUT)
            .connect_with_connector_lazy(connector)
    }
}
