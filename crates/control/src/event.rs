//! Events that the control thread handles in order of arrival.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::Vm;
use jackdaw_core::member::Report;
use jackdaw_core::time::Instant;
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::lease;
use jackdaw_policy::placement;
use jackdaw_policy::release::accept::StoredCatalog;
use jackdaw_policy::release::register::Source;

use crate::admin::handle::Call;
use crate::peer::repository::Resource;

/// An input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// The VM list was read, or reading it failed.
    VmList(Result<Vec<Vm>>),
    /// A VM was probed.
    Probed {
        /// VM.
        vm: CompactString,
        /// Address that was probed.
        address: SocketAddr,
        /// Time at which the probe was sent.
        sent: Instant,
        /// Report or error.
        result: Result<Report>,
    },
    /// The catalogue's key was read or watched; `None` means that it does not exist.
    Catalog {
        /// The catalogue.
        stored: Option<StoredCatalog>,
        /// How it was obtained.
        source: Source,
    },
    /// This node's own attempt to accept a release note committed this catalogue.
    Accepted(Catalog),
    /// The key-value service answered a check for changes of the catalogue.
    PlatformContact,
    /// An event of this zone's leader election.
    Lease(lease::Event),
    /// An event of this zone's placement.
    Placement(placement::Event),
    /// Another node sent a message.
    Message(Envelope),
    /// A value was fetched from another node.
    Fetched {
        /// Identifies the value.
        item: Resource,
        /// Address of the holder.
        from: SocketAddr,
        /// The value as JSON.
        result: Result<Vec<u8>>,
    },
    /// The overlay is to do the gossip work that is due.
    GossipTick,
    /// An operator's request.
    Ask(Call),
    /// An event of the request path.
    Entry(jackdaw_entry::event::Event),
    /// A planning round is due.
    PlanTick,
    /// A planned stop begins; the node becomes unready.
    Stop,
    /// The last event: all requests in flight are finished and the control thread ends.
    End,
}
