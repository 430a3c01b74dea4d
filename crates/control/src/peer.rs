//! Transport of messages between nodes over gRPC.
//!
//! Every call carries the token that all nodes share; a call without it is rejected.

mod client;
pub mod codec;
pub mod partition;
pub mod repository;
mod server;

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use jackdaw_core::errors::{Error, Result};
use jackdaw_entry::limits::{Limits, Peers};
use jackdaw_policy::gossip::message::Envelope;
use tokio::runtime::Handle;
use tokio::sync::watch;

use client::Connections;
use partition::Partition;
use repository::{Repository, Resource};
use server::Api;

/// Largest message that is accepted, in bytes; a catalogue may be as large as a stored value.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Metadata key of the shared token.
const TOKEN_KEY: &str = "authorization";

/// Callback for messages from other nodes.
pub type Inbound = Arc<dyn Fn(Envelope) + Send + Sync>;

/// Settings of the transport.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Token with which nodes authenticate each other.
    pub token: CompactString,
}

/// The running transport between nodes.
pub struct Transport {
    address: SocketAddr,
    connections: Arc<Connections>,
    stop: watch::Sender<bool>,
}

impl fmt::Debug for Transport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Transport")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Transport {
    /// Starts to listen on a runtime and passes received messages to `inbound`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        runtime: &Handle,
        options: &Options,
        repository: Arc<Repository>,
        partition: Arc<Partition>,
        inbound: Inbound,
        limits: Arc<Limits>,
    ) -> Result<Transport> {
        let peer = options.listen.to_compact_string();
        let fail = |error: std::io::Error| Error::unreachable("bind peers' port", &peer, error);
        let listener = TcpListener::bind(options.listen).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let api = Api::new(
            &options.token,
            repository,
            Arc::clone(&partition),
            inbound,
            limits,
        );
        let (stop, stopped) = watch::channel(false);
        runtime.spawn(server::serve(listener, api, stopped));
        let connections = Connections::new(runtime.clone(), &options.token, partition)?;
        Ok(Transport {
            address,
            connections: Arc::new(connections),
            stop,
        })
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the connections by which other nodes are asked for requests to limited servers.
    #[must_use]
    pub fn questions(&self) -> Arc<dyn Peers> {
        Arc::clone(&self.connections) as Arc<dyn Peers>
    }

    /// Sends a message without waiting. A message that cannot be delivered is dropped, since the
    /// next exchange of digests transfers its content.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        self.connections.send(to, envelope);
    }

    /// Returns the number of messages to a peer that are in flight.
    #[must_use]
    pub fn in_flight(&self, to: SocketAddr) -> usize {
        self.connections.in_flight(to)
    }

    /// Fetches a resource from a peer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not answer in time or does not hold the resource.
    pub async fn fetch(&self, from: SocketAddr, resource: Resource) -> Result<Vec<u8>> {
        self.connections.fetch(from, resource).await
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}
