//! Connections of one worker to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::time::Millis as Span;

use crate::shared::Options;

/// Largest number of connections from one worker to one backend server.
///
/// The client's pool wakes its waiters only below a limit, so none must ever be reached.
const CONNECTIONS: usize = 1 << 20;

/// Largest number of addresses to which idle connections are kept.
const ADDRESSES: usize = 2_048;

/// Connections of one worker, pooled by address.
#[derive(Debug)]
pub(crate) struct Links {
    clients: RefCell<HashMap<SocketAddr, Client>>,
    config: SharedCfg,
}

impl Links {
    pub(crate) fn new(options: &Options) -> Self {
        let connect = Span(u32::try_from(options.connect_timeout.0).unwrap_or(u32::MAX));
        let config = SharedCfg::new("LINK")
            .add(IoConfig::new().set_connect_timeout(connect))
            .into();
        Links {
            clients: RefCell::default(),
            config,
        }
    }

    /// Gets the client whose pool leads to an address.
    pub(crate) async fn pooled(&self, address: SocketAddr) -> Option<Client> {
        let known = self.clients.borrow().get(&address).cloned();
        if known.is_some() {
            return known;
        }
        let client = self.fresh().await?;
        let mut clients = self.clients.borrow_mut();
        // Addresses come and go; starting over costs one new connection to each in use.
        if clients.len() >= ADDRESSES {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Some(client)
    }

    /// Creates a client without any open connection.
    pub(crate) async fn fresh(&self) -> Option<Client> {
        Client::builder()
            .connector::<()>(Connector::default().limit(CONNECTIONS))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .build(self.config.clone())
            .await
            .ok()
    }

    /// Gives up all idle connections to an address.
    ///
    /// Exchanges under way keep their connections, which close after them.
    pub(crate) fn retire(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }
}
