//! Connects the gossip node with the register of the catalogue in force.

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

use crate::peer::repository::{Repository, Resource};

/// Time after which a fetch without an answer may be repeated.
const FETCH_TIMEOUT: Millis = Millis::from_secs(5);

/// A side effect that the overlay asks its owner to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another node.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Fetch a value from another node.
    Fetch {
        /// Address of the holder.
        from: SocketAddr,
        /// The value.
        item: Resource,
    },
    /// Write the catalogue in force back to the key-value service.
    Restore(Restore),
    /// Put a new catalogue into force.
    CatalogChanged(Arc<Catalog>),
    /// Adopt a placement fetched from another node.
    PlacementReceived(Placement),
    /// Handle a fact that another node published.
    Learned(Fact),
    /// Record a decision.
    Decided(Decision),
}

/// Holds the register of the catalogue and, unless the node runs alone, its gossip state.
#[derive(Debug, Default)]
pub struct Overlay {
    register: Register,
    node: Option<Node>,
    shelf: Arc<Repository>,
    fetch_starts: HashMap<CompactString, Instant>,
}

impl Overlay {
    /// Creates the overlay of a node that exchanges gossip with others.
    #[must_use]
    pub fn join(options: node::Options, shelf: Arc<Repository>, now: Instant) -> Self {
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

    /// Gets the gossip state; `None` if this node runs alone.
    #[must_use]
    pub fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// Handles what the key-value service holds under the catalogue's key; `None` means nothing.
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

    /// Records that the platform answered at this time.
    pub fn note_platform_contact(&mut self, now: Instant) {
        self.register.platform_contacted(now);
    }

    /// Puts a catalogue into force if it is newer than the current one.
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

    /// Publishes a fact to other nodes; returns whether it is newer than the one held.
    pub fn publish(&mut self, fact: Fact, now: Instant) -> bool {
        self.node
            .as_mut()
            .is_some_and(|node| node.publish(fact, now))
    }

    /// Does the gossip work that is due.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Effect> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        if node.next_at() > now {
            return Vec::new();
        }
        let outputs = node.tick(now, unix_ms);
        self.convert_outputs(outputs, now)
    }

    /// Handles a message of another node.
    pub fn receive(&mut self, envelope: Envelope, now: Instant, unix_ms: u64) -> Vec<Effect> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        let outputs = node.receive(envelope, now, unix_ms);
        self.convert_outputs(outputs, now)
    }

    /// Handles the result of a fetch; a failed fetch or a malformed value has no effect.
    pub fn handle_fetched(
        &mut self,
        item: &Resource,
        from: SocketAddr,
        result: Result<Vec<u8>>,
        now: Instant,
    ) -> Vec<Effect> {
        self.fetch_starts.remove(&fetch_key(item));
        let parsed = result.and_then(|value| self.apply_fetched(item, from, &value, now));
        parsed.unwrap_or_default()
    }

    fn apply_fetched(
        &mut self,
        item: &Resource,
        from: SocketAddr,
        value: &[u8],
        now: Instant,
    ) -> Result<Vec<Effect>> {
        let peer = from.to_string();
        let malformed = |error| Error::malformed("read fetched value", &peer, error);
        match item {
            Resource::Catalog(_) => {
                let catalog = serde_json::from_slice(value).map_err(malformed)?;
                let source = Source::Peer(self.node_name(from));
                Ok(self.offer(Arc::new(catalog), source, now))
            }
            Resource::Placement(_) => {
                let placement = serde_json::from_slice(value).map_err(malformed)?;
                Ok(vec![Effect::PlacementReceived(placement)])
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

    /// Returns the names and addresses of the other nodes that are known and not removed.
    #[must_use]
    pub fn peers(&self) -> Vec<(CompactString, SocketAddr)> {
        let Some(node) = &self.node else {
            return Vec::new();
        };
        let members = node.facts().iter().filter_map(Fact::as_member);
        members
            .filter(|(name, member)| member.removed_unix_ms == 0 && *name != node.name())
            .map(|(name, member)| (name.clone(), member.address))
            .collect()
    }

    fn node_name(&self, address: SocketAddr) -> CompactString {
        self.node
            .iter()
            .flat_map(|node| node.facts().iter())
            .filter_map(Fact::as_member)
            .find(|(_, member)| member.address == address)
            .map_or_else(|| address.to_string().into(), |(name, _)| name.clone())
    }

    fn convert_outputs(&mut self, outputs: Vec<Output>, now: Instant) -> Vec<Effect> {
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

    /// Returns the fetch of an announced value, unless one is under way.
    fn fetch(&mut self, fact: &Fact, from: SocketAddr, now: Instant) -> Option<Effect> {
        let item = match &fact.key {
            Key::Catalog => Resource::Catalog(Revision(fact.version.major)),
            Key::Placement(zone) => Resource::Placement(zone.clone()),
            Key::Member(_) | Key::Report(_) | Key::Leaving(_) | Key::Poison(_) | Key::Crash(..) => {
                return None;
            }
        };
        let key = fetch_key(&item);
        let is_fetching = self
            .fetch_starts
            .get(&key)
            .is_some_and(|started| now.since(*started) < FETCH_TIMEOUT);
        if is_fetching {
            return None;
        }
        self.fetch_starts.insert(key, now);
        Some(Effect::Fetch { from, item })
    }
}

/// Returns the key of an item in `fetch_starts`.
fn fetch_key(item: &Resource) -> CompactString {
    match item {
        Resource::Catalog(_) => "catalog".into(),
        Resource::Placement(zone) => zone.clone(),
    }
}
