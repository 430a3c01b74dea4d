//! The server of the peers' port.

use std::net::TcpListener;
use std::sync::Arc;

use jackdaw_core::token::Digest;
use jackdaw_core::units::Revision;
use jackdaw_entry::limits::Limits;
use jackdaw_wire::peer as wire;
use jackdaw_wire::peer::peer_server::{Peer, PeerServer};
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status};

use super::partition::Partition;
use super::repository::{Repository, Resource};
use super::{Inbound, MAX_MESSAGE_BYTES, TOKEN_KEY, codec};

/// gRPC service for other nodes.
#[derive(Clone)]
pub(super) struct Api {
    token: Digest,
    repository: Arc<Repository>,
    partition: Arc<Partition>,
    inbound: Inbound,
    limits: Arc<Limits>,
}

impl Api {
    pub(super) fn new(
        token: &str,
        repository: Arc<Repository>,
        partition: Arc<Partition>,
        inbound: Inbound,
        limits: Arc<Limits>,
    ) -> Self {
        Api {
            token: Digest::of(token.as_bytes()),
            repository,
            partition,
            inbound,
            limits,
        }
    }

    fn authenticate(&self, metadata: &MetadataMap) -> Result<(), Status> {
        // Comparing digests keeps the timing from revealing anything about the token.
        let is_known = metadata
            .get(TOKEN_KEY)
            .is_some_and(|token| Digest::of(token.as_bytes()) == self.token);
        if is_known {
            return Ok(());
        }
        Err(Status::unauthenticated("the nodes' shared token is needed"))
    }
}

#[tonic::async_trait]
impl Peer for Api {
    async fn deliver(
        &self,
        request: Request<wire::Envelope>,
    ) -> Result<Response<wire::Receipt>, Status> {
        self.authenticate(request.metadata())?;
        let envelope = codec::decode(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        if self.partition.is_blocked(envelope.address) {
            return Err(Status::unavailable("cut off"));
        }
        (self.inbound)(envelope);
        Ok(Response::new(wire::Receipt {}))
    }

    async fn grant(
        &self,
        request: Request<wire::Question>,
    ) -> Result<Response<wire::Verdict>, Status> {
        self.authenticate(request.metadata())?;
        let question = codec::decode_question(&request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let reply = self.limits.answer(&question);
        Ok(Response::new(codec::encode_verdict(&reply)))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchReply>, Status> {
        self.authenticate(request.metadata())?;
        let resource = match request.into_inner().what {
            Some(wire::fetch_request::What::Catalog(min_revision)) => {
                Resource::Catalog(Revision(min_revision))
            }
            Some(wire::fetch_request::What::PlacementZone(zone)) => {
                Resource::Placement(zone.into())
            }
            None => return Err(Status::invalid_argument("no value named")),
        };
        let value = self
            .repository
            .to_json(&resource)
            .ok_or_else(|| Status::not_found("the value is not held here"))?;
        Ok(Response::new(wire::FetchReply { value }))
    }
}

/// Serves the peers' port until the transport stops.
pub(super) async fn serve(listener: TcpListener, api: Api, mut stopped: watch::Receiver<bool>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let service = PeerServer::new(api).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let serving = tonic::transport::Server::builder()
        .serve_with_incoming(service, TcpListenerStream::new(listener));
    tokio::select! {
        _ = serving => {}
        _ = stopped.changed() => {}
    }
}
