//! Kept connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use compact_str::ToCompactString;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_wire::peer as wire;
use jackdaw_wire::peer::peer_client::PeerClient;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request};

use super::shelf::What;
use super::switch::Switch;
use super::{MESSAGE_BYTES, TOKEN_KEY, codec};

/// Longest time for connecting to a node.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Longest time for one call to a node.
const CALL_TIMEOUT: Millis = Millis(2_000);

/// Messages to one node that may be under way at once; more are dropped.
const MESSAGES_UNDER_WAY: usize = 32;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Millis = Millis::from_secs(30);

/// A connection to one node.
#[derive(Clone, Debug)]
struct Link {
    client: PeerClient<Channel>,
    under_way: Arc<Semaphore>,
    used: Instant,
}

/// Connections by address.
#[derive(Debug)]
pub(super) struct Links {
    runtime: Handle,
    token: MetadataValue<Ascii>,
    switch: Arc<Switch>,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

impl Links {
    pub(super) fn new(runtime: Handle, token: &str, switch: Arc<Switch>) -> Result<Self> {
        let mut token: MetadataValue<Ascii> = token
            .parse()
            .map_err(|error| Error::malformed("read peer token", "settings", error))?;
        token.set_sensitive(true);
        Ok(Links {
            runtime,
            token,
            switch,
            links: Mutex::default(),
        })
    }

    pub(super) fn send(&self, to: SocketAddr, envelope: &Envelope) {
        if self.switch.is_cut(to) {
            return;
        }
        let Ok(link) = self.link(to) else {
            return;
        };
        let Ok(permit) = link.under_way.try_acquire_owned() else {
            return;
        };
        let request = self.request(codec::encode(envelope));
        let mut client = link.client;
        self.runtime.spawn(async move {
            // The next exchange of digests finds what a lost message carried.
            let _ = client.deliver(request).await;
            drop(permit);
        });
    }

    pub(super) fn under_way(&self, to: SocketAddr) -> usize {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&to).map_or(0, |link| {
            MESSAGES_UNDER_WAY - link.under_way.available_permits()
        })
    }

    pub(super) async fn fetch(&self, from: SocketAddr, what: What) -> Result<Vec<u8>> {
        const STEP: &str = "fetch from peer";
        let peer = from.to_compact_string();
        if self.switch.is_cut(from) {
            return Err(Error::unreachable(STEP, &peer, "cut off"));
        }
        let what = match what {
            What::Catalog(least) => wire::fetch_request::What::Catalog(least.0),
            What::Placement(zone) => wire::fetch_request::What::PlacementZone(zone.into()),
        };
        let mut client = self.link(from)?.client;
        let request = self.request(wire::FetchRequest { what: Some(what) });
        let call = self
            .runtime
            .spawn(async move { client.fetch(request).await })
            .await
            .map_err(|error| Error::unreachable(STEP, &peer, error))?;
        match call {
            Ok(reply) => Ok(reply.into_inner().value),
            Err(status) if status.code() == Code::Unavailable => {
                Err(Error::unreachable(STEP, &peer, status.message()))
            }
            Err(status) => Err(Error::refused(STEP, &peer, status.message())),
        }
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(TOKEN_KEY, self.token.clone());
        request.set_timeout(CALL_TIMEOUT.duration());
        request
    }

    /// Returns the connection to a node and closes those that were not used for long.
    fn link(&self, to: SocketAddr) -> Result<Link> {
        let now = Instant::now();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, link| now.duration_since(link.used) < IDLE_TIMEOUT.duration());
        if let Some(link) = links.get_mut(&to) {
            link.used = now;
            return Ok(link.clone());
        }
        let link = self.connect(to, now)?;
        links.insert(to, link.clone());
        Ok(link)
    }

    fn connect(&self, to: SocketAddr, now: Instant) -> Result<Link> {
        let peer = to.to_compact_string();
        let endpoint = Endpoint::from_shared(format!("http://{to}"))
            .map_err(|error| Error::malformed("connect to peer", &peer, error))?
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .timeout(CALL_TIMEOUT.duration());
        let _inside = self.runtime.enter();
        let client =
            PeerClient::new(endpoint.connect_lazy()).max_decoding_message_size(MESSAGE_BYTES);
        Ok(Link {
            client,
            under_way: Arc::new(Semaphore::new(MESSAGES_UNDER_WAY)),
            used: now,
        })
    }
}
