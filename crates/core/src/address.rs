//! Addresses that others state.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Returns whether an address is that of one host and port. The unspecified address would lead a node
/// to itself.
#[must_use]
pub fn is_of_one_host(address: SocketAddr) -> bool {
    let host = address.ip().to_canonical();
    let is_of_many = host.is_multicast() || host == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !host.is_unspecified() && !is_of_many
}
