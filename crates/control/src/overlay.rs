//! This node's place among the others, and the catalogue in force here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::decision::Decision;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Revision};
use jackdaw_policy::gossip::fact::{Fact, Key, Member};
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::gossip::node::{self, Node, Output};
use jackdaw_policy::release::accept::StoredCatalog;
use jackdaw_policy::release::register::{Offer, Register, Restore, Source};

use crate::peer::shelf::{Shelf, What};

/// Time after which a fetch without an answer may be tried anew.
const FETCH_PATIENCE: Millis = Millis::from_secs(5);

/// What the caller of the overlay has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another node.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Get a value from another node.
    Fetch {
        /// Address of the holder.
        from: SocketAddr,
        /// The value.
        item: What,
    },
    /// Write the catalogue in force back to the key-value service.
    Restore(Restore),
    /// Serve by a new catalogue.
    CatalogChanged(Arc<Catalog>),
    /// Take note of a placement that another node holds.
    Placement(Placement),
    /// Take note of a fact.
    Learned(Fact),
    /// Record a decision.
    Decided(Decision),
}

/// Holds the register of the catalogue and this node's part in spreading.
#[derive(Debug, Default)]
pub struct Overlay {
    register: Register,
    node: Option<Node>,
    shelf: Arc<Shelf>,
    fetching: HashMap<CompactString, Instant>,
}

impl Overlay {
    /// Creates an overlay that reaches other nodes.
    #[must_use]
    pub fn join(options: node::Options, shelf: Arc<Shelf>, now: Instant) -> Self {
        Overlay {
            node: Some(Node::new(options, now)),
            shelf,
            ..Overlay::default()
        }
    }

    /// Gets the register of the catalogue in force.
    #[must_use]
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Gets this node's part in spreading, unless it runs alone.
    #[must_use]
    pub fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// Takes what the key-value service holds.
    pub fn handle_stored_catalog(
        &mut self,
        stored: Option<StoredCatalog>,
        source: Source,
        now: Instant,
    ) -> Vec<Effect> {
        let restore = self.register.platform_answered(stored.as_ref(), now);
        let mut effects: Vec<Effect> = restore.map(Effect::Restore).into_iter().collect();
        if let Some(stored) = stored {
            effects.extend(self.offer(Arc::new(stored.catalog), source, now));
        }
        effects
    }

    /// Notes that the platform answered.
    pub fn contacted(&mut self, now: Instant) {
        self.register.platform_contacted(now);
    }

    /// Takes a catalogue into force if it is newer.
    pub fn offer(&mut self, catalog: Arc<Catalog>, source: Source, now: Instant) -> Vec<Effect> {
        match self.register.offer(Arc::clone(&catalog), source, now) {
            Offer::Taken(decision) => {
                self.shelf.set_catalog(&catalog);
                self.publish(Fact::catalog(catalog.revision, &catalog.note), now);
                vec![Effect::Decided(decision), Effect::CatalogChanged(catalog)]
            }
            Offer::Diverged(decision) => vec![Effect::Decided(decision)],
            Offer::Known | Offer::Older => Vec::new(),
        }
    }

    /// Announces a placement that this node holds; returns whether it is newer than the one
    /// announced before.
    pub fn announce(&mut self, placement: &Arc<Placement>, now: Instant) -> bool {
        let fact = Fact::placement(&placement.zone, placement.sequence, placement.fence);
        let is_new = self.publish(fact, now);
        if is_new {
            self.shelf.set_placement(placement);
        }
        is_new
    }

    /// Tells other nodes a fact; returns whether it is newer than the one held.
    pub fn publish(&mut self, fact: Fact, now: Instant) -> bool {
        self.node
            .as_mut()
            .is_some_and(|node| node.publish(fact, now))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Effect> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        if node.next_at() > now {
            return Vec::new();
        }
        let outputs = node.tick(now, unix_ms);
        self.translate(outputs, now)
    }

    /// Takes a message of another node.
    pub fn receive(&mut self, envelope: Envelope, now: Instant, unix_ms: u64) -> Vec<Effect> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        let outputs = node.receive(envelope, now, unix_ms);
        self.translate(outputs, now)
    }

    /// Takes a value that was fetched from another node.
    pub fn fetched(
        &mut self,
        what: &What,
        from: SocketAddr,
        result: Result<Vec<u8>>,
        now: Instant,
    ) -> Vec<Effect> {
        self.fetching.remove(&name(what));
        let parsed = result.and_then(|value| self.parse(what, from, &value, now));
        parsed.unwrap_or_default()
    }

    fn parse(
        &mut self,
        what: &What,
        from: SocketAddr,
        value: &[u8],
        now: Instant,
    ) -> Result<Vec<Effect>> {
        let peer = from.to_string();
        let malformed = |error| Error::malformed("read fetched value", &peer, error);
        match what {
            What::Catalog(_) => {
                let catalog = serde_json::from_slice(value).map_err(malformed)?;
                let source = Source::Peer(self.name_of(from));
                Ok(self.offer(Arc::new(catalog), source, now))
            }
            What::Placement(_) => {
                let placement = serde_json::from_slice(value).map_err(malformed)?;
                Ok(vec![Effect::Placement(placement)])
            }
        }
    }

    /// Iterates over the nodes that are known and not removed, this one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.node
            .as_ref()
            .into_iter()
            .flat_map(|node| node.facts().iter())
            .filter_map(Fact::as_member)
            .map(|(_, member)| member)
            .filter(|member| member.removed_unix_ms == 0)
    }

    fn name_of(&self, address: SocketAddr) -> CompactString {
        self.node
            .iter()
            .flat_map(|node| node.facts().iter())
            .filter_map(Fact::as_member)
            .find(|(_, member)| member.address == address)
            .map_or_else(|| address.to_string().into(), |(name, _)| name.clone())
    }

    fn translate(&mut self, outputs: Vec<Output>, now: Instant) -> Vec<Effect> {
        outputs
            .into_iter()
            .filter_map(|output| match output {
                Output::Send { to, envelope } => Some(Effect::Send { to, envelope }),
                Output::Learned(fact) => Some(Effect::Learned(fact)),
                Output::Decided(decision) => Some(Effect::Decided(decision)),
                Output::Fetch { fact, from } => self.fetch(&fact, from, now),
            })
            .collect()
    }

    /// Fetches an announced value, unless a fetch of it is under way.
    fn fetch(&mut self, fact: &Fact, from: SocketAddr, now: Instant) -> Option<Effect> {
        let item = match &fact.key {
            Key::Catalog => What::Catalog(Revision(fact.version.major)),
            Key::Placement(zone) => What::Placement(zone.clone()),
            Key::Member(_) | Key::Report(_) | Key::Leaving(_) | Key::Poison(_) => return None,
        };
        let name = name(&item);
        let is_under_way = self
            .fetching
            .get(&name)
            .is_some_and(|begun| now.since(*begun) < FETCH_PATIENCE);
        if is_under_way {
            return None;
        }
        self.fetching.insert(name, now);
        Some(Effect::Fetch { from, item })
    }
}

/// Returns the name under which a fetch is noted.
fn name(what: &What) -> CompactString {
    match what {
        What::Catalog(_) => "catalog".into(),
        What::Placement(zone) => zone.clone(),
    }
}
