//! Backend servers as they register themselves, and orders to those that form replica groups.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Where a member stands in its replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The weights are being loaded.
    Joining,
    /// The member is ready.
    Ready,
    /// The first member serves.
    Open,
    /// The first member finishes its work and takes nothing new.
    Closing,
    /// The group has lost a member and serves nothing any more.
    Broken,
}

/// The replica group that a server holds itself to be in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Name of the group.
    pub group: CompactString,
    /// Epoch of the group.
    pub epoch: u64,
    /// Rank; rank 0 takes the requests.
    pub rank: usize,
    /// State.
    pub state: State,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name.
    pub id: CompactString,
    /// Service.
    pub service: CompactString,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Whether the server is about to stop and must get no new work.
    pub draining: bool,
    /// Requests that the server processes at once.
    pub slots: u32,
    /// Unix time of the start, in milliseconds; tells incarnations with one name apart.
    pub start_unix_ms: u64,
    /// Fabric domain; empty for a server of a plain service.
    pub domain: CompactString,
    /// Models whose weights lie in the VM's memory.
    pub staged: Vec<CompactString>,
    /// Replica group.
    pub membership: Option<Membership>,
}

/// What a model engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Join a replica group.
    Join {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
        /// Model.
        model: CompactString,
        /// Names of all members in rank order.
        members: Vec<CompactString>,
    },
    /// Let the group serve; for its first member.
    Open {
        /// Group.
        group: CompactString,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Finish the work in progress and take nothing new; for the first member.
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
        /// Model.
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
    /// Server.
    pub server: CompactString,
    /// Address of the server.
    pub address: SocketAddr,
    /// Orders that the server has accepted so far.
    pub accepted_orders: u64,
    /// What to do.
    pub command: Command,
}

/// What a server says of itself when asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of orders accepted since the start.
    pub accepted_orders: u64,
    /// Replica group.
    pub membership: Option<Membership>,
}

/// How a server answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The order has begun.
    Begun,
    /// The state already holds.
    Done,
    /// The order does not fit the server's state or comes after other orders.
    Conflict,
    /// The order was made by an outdated leader.
    Outdated,
    /// Another server has the address.
    OtherServer,
}
