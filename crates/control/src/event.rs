//! Events that the control thread takes in order.

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

/// Something that the control thread has to judge.
#[derive(Debug)]
pub enum Event {
    /// The VM list was read.
    Vms(Result<Vec<Vm>>),
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
        /// Where it came from.
        source: Source,
    },
    /// This node's own attempt committed a catalogue.
    Accepted(Catalog),
    /// The key-value service answered, and nothing had changed.
    Contact,
    /// The election of this zone's leader goes on.
    Lease(lease::Event),
    /// Something about this zone's placement is known.
    Placement(placement::Event),
    /// Another node sent a message.
    Message(Envelope),
    /// A value was fetched from another node.
    Fetched {
        /// The value's name.
        what: Resource,
        /// Address of the node.
        from: SocketAddr,
        /// The value as JSON.
        result: Result<Vec<u8>>,
    },
    /// It is time for the overlay to look what is due.
    Spread,
    /// An operator asks.
    Ask(Call),
    /// The request path saw something.
    Entry(jackdaw_entry::event::Event),
    /// It is time to plan and to send orders.
    Plan,
    /// The node begins a planned stop.
    Stop,
    /// Everything in flight is finished; the control thread ends.
    End,
}
