//! Decides whom a node asks for requests to a limited server, and when it does not ask.

use std::cell::RefCell;
use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Role, ServerId, TeamId};
use crate::gossip::rendezvous;
use crate::warmup::Part;

/// Time for which a node that did not answer is not asked.
const SILENCE_TIME: Millis = Millis(2_000);
/// Time without a sign of life of a server's keeper after which its standby grants the whole limit.
const TAKEOVER_TIME: Millis = Millis(1_500);
/// Time for which a server is not asked for after no node answered.
const UNANSWERED_TIME: Millis = Millis(300);

/// Time for which the other nodes may not know that a node has joined or left; they read the list of
/// nodes each eight seconds at the latest, and those in doubt some seconds later.
const LIST_TIME: Millis = Millis::from_secs(20);
/// Largest number of servers whose keepers are remembered.
const MAX_RANKS: usize = 1_024;

/// A node that is asked for requests to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// The node itself, in the given role.
    Own(Role),
    /// Another node, which knows its role itself.
    Peer(CompactString),
}

/// A refusal that holds for the requests of a team which are not more urgent.
#[derive(Clone, Copy, Debug)]
struct Block {
    priority: u8,
    until: Instant,
}

/// A time in which a node stands in for another one.
#[derive(Clone, Copy, Debug)]
struct Deputy {
    /// Time since which nothing was heard of the other node.
    since: Instant,
    asked_at: Instant,
}

/// Servers that this node may not send to now, and nodes that do not answer.
#[derive(Clone, Debug, Default)]
pub struct Asker {
    own_name: CompactString,
    peers: Vec<CompactString>,
    blocks: HashMap<(ServerId, TeamId), Block>,
    silent_until: HashMap<CompactString, Instant>,
    heard_at: HashMap<CompactString, Instant>,
    /// Keepers and standbys that were looked up, until the nodes change.
    ranks: RefCell<HashMap<ServerId, [Option<CompactString>; 2]>>,
    /// Nodes that this one stands in for.
    deputies: HashMap<CompactString, Deputy>,
    /// Nodes that have left lately, with the times at which this one learned of it.
    former: Vec<(CompactString, Instant)>,
    /// Time since which this node has been registered with the others, and the time until which it is.
    registered: Option<(Instant, Instant)>,
}

impl Asker {
    /// Creates an asker that knows no other node.
    #[must_use]
    pub fn new(own_name: &str) -> Self {
        Asker {
            own_name: own_name.into(),
            ..Asker::default()
        }
    }

    /// Sets the other nodes; returns whether they have changed.
    pub fn set_peers(&mut self, mut peers: Vec<CompactString>) -> bool {
        peers.sort_unstable();
        if peers == self.peers {
            return false;
        }
        self.peers = peers;
        self.ranks.borrow_mut().clear();
        true
    }

    /// Sets the other nodes and remembers those that have left; returns whether any have changed.
    pub fn replace_peers(&mut self, peers: Vec<CompactString>, now: Instant) -> bool {
        self.former
            .retain(|(name, at)| now.since(*at) < LIST_TIME && !peers.contains(name));
        let gone = self.peers.iter().filter(|name| !peers.contains(name));
        self.former.extend(gone.map(|name| (name.clone(), now)));
        self.set_peers(peers)
    }

    /// Records that this node stays registered with the others until a time.
    pub fn record_registration(&mut self, until: Instant, now: Instant) {
        let since = match self.registered {
            Some((since, before)) if now < before => since,
            Some(_) | None => now,
        };
        self.registered = Some((since, until));
    }

    /// Returns the part of a cold server's bound that this node may grant, or none if it may not.
    ///
    /// A node grants the main part only if no other node can take itself for the keeper: the others
    /// have had time to learn of this one, and no node that left lately comes before it. Once the
    /// registration of a keeper is not renewed, the others take over, so it grants nothing.
    #[must_use]
    pub fn part(&self, server: ServerId, now: Instant) -> Option<Part> {
        let (since, until) = self.registered?;
        if now >= until {
            return None;
        }
        let [keeper, standby] = self.rank(server);
        if keeper.as_ref() != Some(&self.own_name) {
            return (standby.as_ref() == Some(&self.own_name)).then_some(Part::Share);
        }
        let is_known = now.since(since) >= LIST_TIME;
        if !is_known || self.may_have_had_keeper(server, now) {
            return Some(Part::Share);
        }
        Some(Part::Main)
    }

    /// Returns whether a node that has left lately may still be taken for the keeper of a server.
    fn may_have_had_keeper(&self, server: ServerId, now: Instant) -> bool {
        let former = self.former.iter();
        let lately = former.filter(|(_, at)| now.since(*at) < LIST_TIME);
        let names = lately.map(|(name, _)| name).chain([&self.own_name]);
        let task = server.0.to_string();
        let ranked = rendezvous::select_nodes(&["limit", &task], names, 1);
        ranked.first() != Some(&&self.own_name)
    }

    /// Returns the node to ask for a request to a server, or none if no node has answered lately.
    pub fn recipient(&mut self, server: ServerId, now: Instant) -> Option<Recipient> {
        let [keeper, standby] = self.rank(server);
        let keeper = keeper?;
        if !self.is_silent(&keeper, now) {
            return Some(match keeper == self.own_name {
                true => Recipient::Own(Role::Keeper),
                false => Recipient::Peer(keeper),
            });
        }
        let standby = standby?;
        if standby == self.own_name {
            return Some(Recipient::Own(self.standby_role(server, now)));
        }
        let is_silent = self.is_silent(&standby, now);
        (!is_silent).then_some(Recipient::Peer(standby))
    }

    /// Returns the role in which this node decides on the request of another one.
    ///
    /// A standby grants the whole limit once it has heard nothing of the keeper for a while.
    pub fn role(&mut self, server: ServerId, now: Instant) -> Role {
        let [keeper, _] = self.rank(server);
        match keeper {
            Some(keeper) if keeper == self.own_name => Role::Keeper,
            _ => self.standby_role(server, now),
        }
    }

    /// Returns the keeper of a server if that is another node, whose signs of life its standby needs.
    #[must_use]
    pub fn keeper(&self, server: ServerId) -> Option<CompactString> {
        let [keeper, _] = self.rank(server);
        keeper.filter(|keeper| *keeper != self.own_name)
    }

    fn standby_role(&mut self, server: ServerId, now: Instant) -> Role {
        let Some(keeper) = self.keeper(server) else {
            return Role::Keeper;
        };
        let heard_at = self.heard_at.get(&keeper).copied().unwrap_or_default();
        let deputy = self.deputies.entry(keeper).or_insert(Deputy {
            since: now,
            asked_at: now,
        });
        let is_resumed = now.since(deputy.asked_at) > SILENCE_TIME;
        deputy.asked_at = now;
        if is_resumed || heard_at > deputy.since {
            deputy.since = now;
        }
        if now.since(deputy.since) > TAKEOVER_TIME {
            return Role::Keeper;
        }
        Role::Standby
    }

    fn rank(&self, server: ServerId) -> [Option<CompactString>; 2] {
        let mut ranks = self.ranks.borrow_mut();
        if ranks.len() >= MAX_RANKS {
            ranks.clear();
        }
        let rank = ranks.entry(server);
        rank.or_insert_with(|| self.compute_rank(server)).clone()
    }

    fn compute_rank(&self, server: ServerId) -> [Option<CompactString>; 2] {
        let names = self.peers.iter().chain([&self.own_name]);
        let task = server.0.to_string();
        let ranked = rendezvous::select_nodes(&["limit", &task], names, 2);
        let mut ranked = ranked.into_iter().cloned();
        [ranked.next(), ranked.next()]
    }

    fn is_silent(&self, name: &str, now: Instant) -> bool {
        let until = self.silent_until.get(name);
        name != self.own_name && until.is_some_and(|until| now < *until)
    }

    /// Records a sign of life of another node.
    pub fn record_heard(&mut self, name: &str, now: Instant) {
        self.heard_at.insert(name.into(), now);
    }

    /// Records that a node has answered.
    pub fn record_answer(&mut self, name: &str, now: Instant) {
        self.silent_until.remove(name);
        self.record_heard(name, now);
    }

    /// Records that a node has not answered.
    pub fn record_silence(&mut self, name: &str, now: Instant) {
        self.silent_until.insert(name.into(), now + SILENCE_TIME);
    }

    /// Records that a request to a server was refused for a time.
    pub fn record_denial(
        &mut self,
        server: ServerId,
        team: TeamId,
        priority: u8,
        retry_after: Millis,
        now: Instant,
    ) {
        self.blocks.retain(|_, block| now < block.until);
        let until = now + retry_after;
        self.blocks
            .insert((server, team), Block { priority, until });
    }

    /// Records that no node has answered for a server.
    pub fn record_unanswered(
        &mut self,
        server: ServerId,
        team: TeamId,
        priority: u8,
        now: Instant,
    ) {
        self.record_denial(server, team, priority, UNANSWERED_TIME, now);
    }

    /// Returns the time for which a request to a server would be refused, if it would.
    #[must_use]
    pub fn blocked_for(
        &self,
        server: ServerId,
        team: TeamId,
        priority: u8,
        now: Instant,
    ) -> Option<Millis> {
        let block = self.blocks.get(&(server, team))?;
        let left = block.until.since(now);
        (priority >= block.priority && left > Millis(0)).then_some(left)
    }
}
