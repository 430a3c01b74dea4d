//! Events that the control thread takes in order.

use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::Vm;
use jackdaw_core::member::Report;
use jackdaw_core::time::Instant;

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
    /// A catalogue was read from the key-value service.
    Catalog(Catalog),
    /// The request path saw something.
    Entry(jackdaw_entry::event::Event),
    /// It is time to plan and to send orders.
    Plan,
    /// The node begins a planned stop.
    Stop,
    /// Everything in flight is finished; the control thread ends.
    End,
}
