//! Pools one worker's connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::time::Millis as Timeout;

use crate::shared::Options;

/// Largest number of connections from one worker to one backend server.
///
/// The client's pool wakes waiting requests only while it is below its limit, so the limit must
/// never be reached.
const MAX_CONNECTIONS_PER_CLIENT: usize = 1 << 20;

/// Largest number of addresses to which idle connections are kept.
const MAX_POOLED_ADDRESSES: usize = 2_048;

/// HTTP clients of one worker, each with the connection pool of one address.
#[derive(Debug)]
pub(crate) struct Clients {
    clients: RefCell<HashMap<SocketAddr, Client>>,
    config: SharedCfg,
}

impl Clients {
    pub(crate) fn new(options: &Options) -> Self {
        let connect = Timeout(u32::try_from(options.connect_timeout.0).unwrap_or(u32::MAX));
        let config = SharedCfg::new("LINK")
            .add(IoConfig::new().set_connect_timeout(connect))
            .into();
        Clients {
            clients: RefCell::default(),
            config,
        }
    }

    /// Gets the client of an address, creating it on first use.
    pub(crate) async fn get_pooled(&self, address: SocketAddr) -> Option<Client> {
        let pooled = self.clients.borrow().get(&address).cloned();
        if pooled.is_some() {
            return pooled;
        }
        let client = self.create().await?;
        let mut clients = self.clients.borrow_mut();
        // Addresses of former backend servers accumulate. Clearing the map costs one new connection
        // for each address in use.
        if clients.len() >= MAX_POOLED_ADDRESSES {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Some(client)
    }

    /// Creates a client without open connections.
    pub(crate) async fn create(&self) -> Option<Client> {
        Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS_PER_CLIENT))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .build(self.config.clone())
            .await
            .ok()
    }

    /// Discards all idle connections to an address.
    ///
    /// Exchanges in progress keep their connections, which close afterwards.
    pub(crate) fn discard_idle(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }
}
