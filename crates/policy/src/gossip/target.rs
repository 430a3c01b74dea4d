//! Selection of the peers that a node contacts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use jackdaw_core::time::Instant;

use super::fact::{Fact, Key};
use super::links;
use super::node::{Node, SLOW_ROUNDS};
use super::rendezvous;

impl Node {
    /// Selects the receivers of this round's probes.
    pub(super) fn probe_targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let links = self.link_addresses(now);
        if let Some(link) = self.rng.choice(&links).copied() {
            targets.push(self.link_or_live_node(link, now));
        }
        let bridges = self.bridge_targets(now);
        if !bridges.is_empty() {
            let turn = usize::try_from(self.round_number).unwrap_or(0) % bridges.len();
            targets.push(bridges[turn]);
        }
        if links.is_empty() || self.round_number % SLOW_ROUNDS == 1 {
            let lost = self.lost_addresses(now);
            targets.extend(self.rng.choice(&lost));
        }
        targets.dedup();
        targets
    }

    /// Returns the link, or a random live node if the link did not answer the last probe.
    fn link_or_live_node(&mut self, link: SocketAddr, now: Instant) -> SocketAddr {
        let contact = self.contacts.get(&link).copied().unwrap_or_default();
        if contact.unanswered == 0 {
            return link;
        }
        let live: Vec<CompactString> = self.live_nodes(now).cloned().collect();
        let live = self.addresses(live.iter().filter(|name| **name != self.options.name));
        self.rng.choice(&live).copied().unwrap_or(link)
    }

    pub(super) fn link_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let names = links::select_links(&self.options.name, self.live_nodes(now));
        self.addresses(names.into_iter())
    }

    /// Returns one node of each other zone if this node is a bridge, or else none.
    pub(super) fn bridge_targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        let zone_bridges = rendezvous::select_nodes(
            &["bridge"],
            self.live_nodes(now),
            rendezvous::BRIDGES_PER_ZONE,
        );
        let Some(rank) = zone_bridges
            .iter()
            .position(|name| **name == self.options.name)
        else {
            return Vec::new();
        };
        let mut zones: BTreeMap<CompactString, Vec<CompactString>> = BTreeMap::new();
        for (name, member) in self.table.iter().filter_map(Fact::as_member) {
            if member.removed_unix_ms == 0 && member.zone != self.options.zone {
                zones
                    .entry(member.zone.clone())
                    .or_default()
                    .push(name.clone());
            }
        }
        let mut chosen = Vec::new();
        for names in zones.into_values() {
            let ranked =
                rendezvous::select_nodes(&["bridge"], names.iter(), rendezvous::BRIDGES_PER_ZONE);
            let first = self.addresses(ranked.into_iter().cycle().skip(rank).take(1));
            let is_silent = first
                .first()
                .and_then(|address| self.contacts.get(address))
                .is_some_and(|contact| contact.unanswered > 0);
            if is_silent {
                let all = self.addresses(names.iter());
                chosen.extend(self.rng.choice(&all).copied());
            } else {
                chosen.extend(first);
            }
        }
        chosen
    }

    /// Returns the addresses of suspected and removed nodes and of seeds that are no known members.
    fn lost_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live: Vec<&CompactString> = self.live_nodes(now).collect();
        let members: Vec<_> = self.table.iter().filter_map(Fact::as_member).collect();
        let mut lost: Vec<SocketAddr> = members
            .iter()
            .filter(|(name, member)| member.zone == self.options.zone && !live.contains(name))
            .map(|(_, member)| member.address)
            .collect();
        let known: Vec<SocketAddr> = members
            .iter()
            .filter(|(_, member)| member.removed_unix_ms == 0)
            .map(|(_, member)| member.address)
            .collect();
        lost.extend(
            self.options
                .seeds
                .iter()
                .filter(|seed| !known.contains(seed)),
        );
        lost.retain(|address| *address != self.options.address);
        lost
    }

    fn addresses<'a>(&self, names: impl Iterator<Item = &'a CompactString>) -> Vec<SocketAddr> {
        names
            .filter_map(|name| self.table.get(&Key::Member(name.clone())))
            .filter_map(|fact| fact.as_member().map(|(_, member)| member.address))
            .collect()
    }

    pub(super) fn is_own_zone(&self, address: SocketAddr) -> bool {
        self.table
            .iter()
            .filter_map(Fact::as_member)
            .find(|(_, member)| member.address == address)
            .is_none_or(|(_, member)| member.zone == self.options.zone)
    }
}
