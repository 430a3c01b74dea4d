//! Starts a node's transport to other nodes and its overlay.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::time::Clock;
use jackdaw_core::units::Millis;
use jackdaw_entry::limits::Limits;
use jackdaw_policy::gossip::hash;
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::gossip::node;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;
use crate::options::Options;
use crate::overlay::Overlay;
use crate::peer::partition::Partition;
use crate::peer::repository::Repository;
use crate::peer::{self, Inbound, Transport};

/// Settings of the connections to other nodes.
#[derive(Clone, Debug)]
pub struct Network {
    /// Runtime of the connections.
    pub runtime: Handle,
    /// Address on which this node listens for peers; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Token by which nodes authenticate to each other.
    pub token: CompactString,
    /// Addresses of the nodes that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Time between two gossip rounds.
    pub round_interval: Millis,
    /// Limits of backend servers, on which other nodes ask this one.
    pub limits: Arc<Limits>,
    /// Fault injection for tests.
    pub switch: Arc<Partition>,
}

/// A node's running transport and its overlay.
#[derive(Debug)]
pub struct Joined {
    /// Transport.
    pub transport: Transport,
    /// Overlay.
    pub overlay: Overlay,
}

impl Joined {
    /// Gets the bound address of the peers' port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }
}

impl Network {
    /// Starts the transport; received messages go to the control thread as events.
    ///
    /// # Errors
    ///
    /// Returns an error if the peers' port cannot be bound.
    pub fn join(
        &self,
        options: &Options,
        clock: &dyn Clock,
        events: &UnboundedSender<Event>,
    ) -> Result<Joined> {
        let shelf = Arc::new(Repository::default());
        let sender = events.clone();
        let inbound: Inbound = Arc::new(move |envelope: Envelope| {
            // Sending fails only after the control thread has ended.
            let _ = sender.send(Event::Message(envelope));
        });
        let transport = Transport::start(
            &self.runtime,
            &peer::Options {
                listen: self.listen,
                token: self.token.clone(),
            },
            Arc::clone(&shelf),
            Arc::clone(&self.switch),
            inbound,
            Arc::clone(&self.limits),
        )?;
        self.limits.connect(transport.questions());
        let incarnation = clock.unix_millis();
        let overlay = Overlay::join(
            node::Options {
                name: options.node.clone(),
                address: transport.address(),
                zone: options.zone.clone(),
                seeds: self.seeds.clone(),
                incarnation,
                round_interval: self.round_interval,
                seed: hash::hash_strings(&[&options.node]) ^ incarnation,
            },
            shelf,
            clock.now(),
        );
        Ok(Joined { transport, overlay })
    }
}
