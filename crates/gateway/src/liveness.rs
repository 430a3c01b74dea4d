//! Finds out whether the server of a failed attempt is shown to have ended.
//!
//! Failures show nothing of the kind: links may be lost, a registration may expire or be withdrawn while
//! its server runs, and the next life of a server may be the one that got the request.

use std::io;
use std::net::SocketAddr;

use jackdaw_policy::fleet::Target;

use crate::node::Node;
use crate::tunnel::connect;

impl Node {
    /// Returns whether the life of a target's server that got a request is shown to have ended.
    pub(crate) async fn is_end_shown(&self, target: &Target) -> bool {
        let is_staying = {
            let fleet = self.fleet.borrow();
            if fleet.has_successor(target) {
                return true;
            }
            fleet.is_staying(target)
        };
        // A server that is leaving may take no connections while it goes on with its requests.
        is_staying && refuses(target.address).await && self.reaches_beside(target).await
    }

    /// Returns whether another server in the zone of a target's server accepts a connection, so that the links
    /// there are not lost.
    async fn reaches_beside(&self, target: &Target) -> bool {
        let beside: Vec<SocketAddr> = {
            let fleet = self.fleet.borrow();
            let servers = fleet.servers().filter(|server| {
                server.zone == target.zone
                    && server.address != target.address
                    && !self.evacuations.is_evacuated(&server.zone)
            });
            servers.map(|server| server.address).collect()
        };
        let Some(address) = fastrand::choice(beside) else {
            return false;
        };
        connect(address).await.is_ok()
    }
}

/// Returns whether no process listens at an address.
async fn refuses(address: SocketAddr) -> bool {
    let connected = connect(address).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
