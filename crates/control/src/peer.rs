//! Messages between nodes over gRPC.
//!
//! Every call carries the token that all nodes share; a call without it reaches nothing.

mod client;
pub mod codec;
mod server;
pub mod shelf;
pub mod switch;

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use jackdaw_core::errors::{Error, Result};
use jackdaw_policy::gossip::message::Envelope;
use tokio::runtime::Handle;
use tokio::sync::watch;

use client::Links;
use server::Api;
use shelf::{Shelf, What};
use switch::Switch;

/// Largest message that is taken, in bytes; a catalogue may be as large as a stored value.
const MESSAGE_BYTES: usize = 2 << 20;

/// Metadata key of the shared token.
const TOKEN_KEY: &str = "authorization";

/// Takes messages from other nodes.
pub type Inbound = Arc<dyn Fn(Envelope) + Send + Sync>;

/// What the transport is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Token that nodes show each other.
    pub token: CompactString,
}

/// The running transport between nodes.
pub struct Transport {
    address: SocketAddr,
    links: Arc<Links>,
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
    /// Starts to listen on a runtime and hands messages to `inbound`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        runtime: &Handle,
        options: &Options,
        shelf: Arc<Shelf>,
        switch: Arc<Switch>,
        inbound: Inbound,
    ) -> Result<Transport> {
        let peer = options.listen.to_compact_string();
        let fail = |error: std::io::Error| Error::unreachable("bind peers' port", &peer, error);
        let listener = TcpListener::bind(options.listen).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let api = Api::new(&options.token, shelf, Arc::clone(&switch), inbound);
        let (stop, stopped) = watch::channel(false);
        runtime.spawn(server::serve(listener, api, stopped));
        let links = Links::new(runtime.clone(), &options.token, switch)?;
        Ok(Transport {
            address,
            links: Arc::new(links),
            stop,
        })
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message without waiting. A message that cannot be delivered is dropped, since the
    /// next exchange of digests finds what it carried.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        self.links.send(to, envelope);
    }

    /// Returns the number of messages to a peer that are under way.
    #[must_use]
    pub fn under_way(&self, to: SocketAddr) -> usize {
        self.links.under_way(to)
    }

    /// Gets a value that a peer holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not answer in time or does not hold the value.
    pub async fn fetch(&self, from: SocketAddr, what: What) -> Result<Vec<u8>> {
        self.links.fetch(from, what).await
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}
