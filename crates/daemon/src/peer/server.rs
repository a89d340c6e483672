//! The listener for peers. It authenticates a caller before it handles the message.

use std::{sync::Arc, time::Duration};

use futures::TryStreamExt;
use jaystand_control::digest::Digest;
use jaystand_wire::peer::{
    Table,
    raw::{
        self,
        peer_server::{Peer, PeerServer},
    },
};
use tokio::net::TcpListener;
use tokio_stream::{Stream, StreamExt};
use tonic::{
    Request, Response, Status,
    metadata::MetadataMap,
    transport::{Server, server::TcpIncoming},
};

use super::{
    Deployment, Shared,
    client::{DEPLOYMENT_HEADER, KEY_HEADER, MAX_MESSAGE_BYTES},
    copy,
    counted::Counted,
    driver,
};

/// A connection that is silent for this long is probed by a keepalive ping. A ping and its answer take 34 bytes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(60);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

struct Service {
    shared: Arc<Shared>,
    deployment: Deployment,
}

/// Serves peers until the task is aborted.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, deployment: Deployment) {
    let counts = shared.counts.clone();
    let incoming = TcpIncoming::from(listener).map_ok(move |stream| Counted::new(stream, &counts));
    let service = PeerServer::new(Service { shared, deployment })
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming(skip_failed(incoming))
        .await;
    if let Err(error) = served {
        log::error!("the listener for peers has ended: {error}");
    }
}

/// Skips connections that failed before they were accepted.
fn skip_failed<T>(
    incoming: impl Stream<Item = std::io::Result<T>>,
) -> impl Stream<Item = std::io::Result<T>> {
    incoming.filter(Result::is_ok)
}

impl Service {
    /// Checks the deployment, and the key in constant time.
    fn authenticate(&self, metadata: &MetadataMap) -> Result<(), Status> {
        let text = |name| metadata.get(name).and_then(|value| value.to_str().ok());
        let reason = if text(DEPLOYMENT_HEADER) != Some(self.deployment.name.as_str()) {
            "foreign"
        } else if !self
            .deployment
            .key
            .matches(text(KEY_HEADER).unwrap_or_default())
        {
            "key"
        } else {
            return Ok(());
        };
        self.shared.counts.record_dropped(reason);
        Err(Status::unauthenticated("not a daemon of this deployment"))
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn exchange(
        &self,
        request: Request<raw::Digest>,
    ) -> Result<Response<raw::Digest>, Status> {
        self.authenticate(request.metadata())?;
        let shared = &self.shared;
        let digest = Digest::try_from(request.into_inner()).map_err(|error| {
            shared.counts.record_dropped("malformed");
            Status::invalid_argument(error.to_string())
        })?;
        let peer = digest.sender.clone();
        let now = shared.timer.now();
        let (received, reply) = {
            let mut gossip = shared.gossip.lock();
            let received = gossip.receive(now, digest);
            let reply = gossip.build_digest(now, Some(&peer.name));
            (received, reply)
        };
        let received = received.map_err(|stale| {
            shared.counts.record_dropped("stale");
            Status::failed_precondition(stale.to_string())
        })?;
        driver::handle_received(shared, peer.address, received);
        Ok(Response::new(reply.into()))
    }

    async fn fetch(
        &self,
        request: Request<raw::FetchRequest>,
    ) -> Result<Response<raw::FetchReply>, Status> {
        self.authenticate(request.metadata())?;
        let request = request.into_inner();
        let mut reply = raw::FetchReply::default();
        let failed = |error: copy::Unusable| Status::internal(error.to_string());
        let active = self.shared.store.current().filter(|_| request.document);
        if let Some(active) = active {
            let copy = self.shared.copies.encode_document(&active.document);
            reply.document = copy.map_err(failed)?.into();
        }
        if request.table {
            let table = {
                let gossip = self.shared.gossip.lock();
                Table {
                    members: gossip.members.all().cloned().collect(),
                    marks: gossip.members.marks().all().cloned().collect(),
                }
            };
            reply.table = copy::encode_table(table).map_err(failed)?;
        }
        Ok(Response::new(reply))
    }
}
