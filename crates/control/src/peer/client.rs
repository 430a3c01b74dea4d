//! Persistent connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use compact_str::ToCompactString;
use futures::future::{self, BoxFuture};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use jackdaw_entry::limits::{Peers, Question, Reply};
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_wire::peer as wire;
use jackdaw_wire::peer::peer_client::PeerClient;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request};

use super::partition::Partition;
use super::repository::Resource;
use super::{MAX_MESSAGE_BYTES, TOKEN_KEY, codec};

/// Limit on the time for connecting to a node.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Limit on the time for one call to a node.
const CALL_TIMEOUT: Millis = Millis(2_000);

/// Limit on the time for the answer to a question, while a caller waits.
const QUESTION_TIMEOUT: Millis = Millis(100);

/// Messages to one node that may be in flight at once; further ones are dropped.
const MAX_MESSAGES_IN_FLIGHT: usize = 32;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Millis = Millis::from_secs(30);

/// A connection to one node.
#[derive(Clone, Debug)]
struct Connection {
    client: PeerClient<Channel>,
    in_flight: Arc<Semaphore>,
    last_used: Instant,
}

/// Connections by address.
#[derive(Debug)]
pub(super) struct Connections {
    runtime: Handle,
    token: MetadataValue<Ascii>,
    partition: Arc<Partition>,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl Connections {
    pub(super) fn new(runtime: Handle, token: &str, partition: Arc<Partition>) -> Result<Self> {
        let mut token: MetadataValue<Ascii> = token
            .parse()
            .map_err(|error| Error::malformed("read peer token", "settings", error))?;
        token.set_sensitive(true);
        Ok(Connections {
            runtime,
            token,
            partition,
            connections: Mutex::default(),
        })
    }

    pub(super) fn send(&self, to: SocketAddr, envelope: &Envelope) {
        if self.partition.is_blocked(to) {
            return;
        }
        let Ok(connection) = self.connection(to) else {
            return;
        };
        let Ok(permit) = connection.in_flight.try_acquire_owned() else {
            return;
        };
        let request = self.request(codec::encode(envelope));
        let mut client = connection.client;
        self.runtime.spawn(async move {
            // The next exchange of digests transfers the content of a lost message.
            let _ = client.deliver(request).await;
            drop(permit);
        });
    }

    pub(super) fn in_flight(&self, to: SocketAddr) -> usize {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.get(&to).map_or(0, |connection| {
            MAX_MESSAGES_IN_FLIGHT - connection.in_flight.available_permits()
        })
    }

    pub(super) async fn fetch(&self, from: SocketAddr, resource: Resource) -> Result<Vec<u8>> {
        const OPERATION: &str = "fetch from peer";
        let peer = from.to_compact_string();
        if self.partition.is_blocked(from) {
            return Err(Error::unreachable(
                OPERATION,
                &peer,
                "the peer is blocked by a simulated partition",
            ));
        }
        let what = match resource {
            Resource::Catalog(min_revision) => wire::fetch_request::What::Catalog(min_revision.0),
            Resource::Placement(zone) => wire::fetch_request::What::PlacementZone(zone.into()),
        };
        let mut client = self.connection(from)?.client;
        let request = self.request(wire::FetchRequest { what: Some(what) });
        let result = self
            .runtime
            .spawn(async move { client.fetch(request).await })
            .await
            .map_err(|error| Error::unreachable(OPERATION, &peer, error))?;
        match result {
            Ok(reply) => Ok(reply.into_inner().value),
            Err(status) if status.code() == Code::Unavailable => {
                Err(Error::unreachable(OPERATION, &peer, status.message()))
            }
            Err(status) => Err(Error::refused(OPERATION, &peer, status.message())),
        }
    }

    /// Sends a question and waits for its answer; none if it does not come in time.
    async fn grant(
        mut client: PeerClient<Channel>,
        request: Request<wire::Question>,
    ) -> Option<Reply> {
        let asked = tokio::time::timeout(QUESTION_TIMEOUT.duration(), client.grant(request));
        let verdict = asked.await.ok()?.ok()?;
        codec::decode_verdict(&verdict.into_inner())
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(TOKEN_KEY, self.token.clone());
        request.set_timeout(CALL_TIMEOUT.duration());
        request
    }

    /// Returns the connection to a node, opening it if needed, and closes idle ones.
    fn connection(&self, to: SocketAddr) -> Result<Connection> {
        let now = Instant::now();
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, connection| {
            now.duration_since(connection.last_used) < IDLE_TIMEOUT.duration()
        });
        if let Some(connection) = connections.get_mut(&to) {
            connection.last_used = now;
            return Ok(connection.clone());
        }
        let connection = self.connect(to, now)?;
        connections.insert(to, connection.clone());
        Ok(connection)
    }

    fn connect(&self, to: SocketAddr, now: Instant) -> Result<Connection> {
        let peer = to.to_compact_string();
        let endpoint = Endpoint::from_shared(format!("http://{to}"))
            .map_err(|error| Error::malformed("connect to peer", &peer, error))?
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .timeout(CALL_TIMEOUT.duration());
        let _guard = self.runtime.enter();
        let client =
            PeerClient::new(endpoint.connect_lazy()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Ok(Connection {
            client,
            in_flight: Arc::new(Semaphore::new(MAX_MESSAGES_IN_FLIGHT)),
            last_used: now,
        })
    }
}

impl Peers for Connections {
    fn ask(&self, address: SocketAddr, question: Question) -> BoxFuture<'static, Option<Reply>> {
        if self.partition.is_blocked(address) {
            return Box::pin(future::ready(None));
        }
        let Ok(connection) = self.connection(address) else {
            return Box::pin(future::ready(None));
        };
        let request = self.request(codec::encode_question(&question));
        // The connection belongs to this runtime, whichever the caller's is.
        let asked = self.runtime.spawn(Self::grant(connection.client, request));
        Box::pin(async move { asked.await.ok().flatten() })
    }
}
