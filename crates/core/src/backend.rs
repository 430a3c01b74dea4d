//! Registrations of backend servers, and orders to the servers that form replica groups.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::units::Millis;

/// State of a member of a replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The weights are being loaded.
    Joining,
    /// The member is ready.
    Ready,
    /// The first member serves requests.
    Open,
    /// The first member finishes its requests and accepts no new ones.
    Closing,
    /// The group has lost a member and no longer serves requests.
    Broken,
}

/// Membership in a replica group, as the server itself reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Name of the group.
    pub group: CompactString,
    /// Epoch of the group.
    pub epoch: u64,
    /// Rank within the group; rank 0 receives the requests.
    pub rank: u32,
    /// State of the member.
    pub state: State,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Server {
    /// Name.
    pub id: CompactString,
    /// Service that the server belongs to.
    pub service: CompactString,
    /// Address of the server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the server is about to stop and must get no new requests.
    pub draining: bool,
    /// Number of requests that the server processes at once.
    pub slots: u32,
    /// Unix time of the start, in milliseconds; distinguishes incarnations with the same name.
    pub start_unix_ms: u64,
    /// Fabric domain; empty for a server of a plain service.
    pub domain: CompactString,
    /// Models whose weights are in the VM's memory.
    pub staged: Vec<CompactString>,
    /// Membership in a replica group, if the server has one.
    pub membership: Option<Membership>,
    /// Time for which the server is still cold, as of the registration; zero if it is not.
    pub warmup_left: Millis,
}

/// A command to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Join a replica group.
    Join {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
        /// Model to load.
        model: CompactString,
        /// Names of all members in rank order.
        members: Vec<CompactString>,
    },
    /// Open the group for requests; sent to its first member.
    Open {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Finish the requests in progress and accept no new ones; sent to the first member.
    Close {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Leave the group at once.
    Leave {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Load a model into the VM's memory.
    Stage {
        /// Model to load.
        model: CompactString,
    },
}

impl Command {
    /// Gets the label of the command in logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Command::Join { .. } => "join",
            Command::Open { .. } => "open",
            Command::Close { .. } => "close",
            Command::Leave { .. } => "leave",
            Command::Stage { .. } => "stage",
        }
    }
}

/// A command for one incarnation of a server.
///
/// The server carries it out only if it has accepted exactly the stated number of orders before, so
/// that an order that arrives late does nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// Name of the server.
    pub server: CompactString,
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of orders that the server must have accepted before this one.
    pub accepted_orders: u64,
    /// Command to carry out.
    pub command: Command,
}

/// A server's answer to a query of its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the server in Unix milliseconds, if the report states it.
    pub start_unix_ms: Option<u64>,
    /// Number of orders that the server has accepted since its start.
    pub accepted_orders: u64,
    /// Membership in a replica group, if the server has one.
    pub membership: Option<Membership>,
}

/// A server's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The server has begun to carry out the order.
    Begun,
    /// The server is already in the requested state.
    Done,
    /// The order does not fit the server's state, or the server has accepted other orders first.
    Conflict,
    /// The order comes from an outdated leader.
    Outdated,
    /// A different server uses the address.
    OtherServer,
}
