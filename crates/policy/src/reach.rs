//! Tells whether a node is cut off from all servers, and which other nodes reach them.
//!
//! A server that ends, or falls silent for a while, looks the same from one node as a lost link. The
//! difference is that a lost link concerns all servers at once, and no other node. So a node counts
//! the servers that failed it since one last answered, and asks the others what they reach.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use fastrand::Rng;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Number of servers that must have failed since one last answered.
const MIN_FAILED: usize = 3;
/// Shortest time since a server last answered, if all of these are silent.
const MIN_SILENCE: Millis = Millis(500);
/// Shortest time since a server last answered, if connections are closed or refused.
const MIN_LOSS: Millis = Millis(150);
/// Time for which a failure counts.
const FAILURE_LIFETIME: Millis = Millis::from_secs(5);
/// Time for which the statement of another node counts; in a large fleet each node hears of another
/// every few seconds.
const PEER_LIFETIME: Millis = Millis::from_secs(5);
/// Time for which a node that opened no usable connection is asked after the others; a node that stops or
/// starts is back, or known to be gone, by then.
const RELAY_FAILURE_LIFETIME: Millis = Millis::from_secs(2);
/// Time after an answer for which a node says that it reaches servers.
const ANSWER_LIFETIME: Millis = Millis(1_500);

/// What a node says of its links to the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// It reaches none.
    Cut,
    /// It has not tried lately.
    #[default]
    Unknown,
    /// A server has answered it lately.
    Reaching,
}

/// How a connection to a server was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// It was opened for the request.
    New,
    /// It had carried a request before.
    Used,
}

/// How a server failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened.
    Refused,
    /// The connection was closed without an answer.
    Closed,
    /// Nothing arrived.
    Silent,
}

/// Answers and failures of one kind of connections.
#[derive(Clone, Debug, Default)]
struct Record {
    answered_at: Instant,
    failed: HashMap<CompactString, (Instant, Failure)>,
}

impl Record {
    fn succeed(&mut self, now: Instant) {
        self.answered_at = now;
        self.failed.clear();
    }

    fn fail(&mut self, server: &str, failure: Failure, now: Instant) {
        self.failed
            .retain(|_, (at, _)| now.since(*at) < FAILURE_LIFETIME);
        self.failed.insert(server.into(), (now, failure));
    }

    fn count(&self, counts: impl Fn(Failure) -> bool) -> usize {
        let failed = self.failed.values();
        failed.filter(|(_, failure)| counts(*failure)).count()
    }

    fn is_lost(&self, now: Instant) -> bool {
        let silence = now.since(self.answered_at);
        let lost = self.count(|failure| failure != Failure::Silent);
        (self.failed.len() >= MIN_FAILED && silence >= MIN_SILENCE)
            || (lost >= MIN_FAILED && silence >= MIN_LOSS)
    }
}

#[derive(Clone, Debug)]
struct Peer {
    zone: CompactString,
    reach: Reach,
    relay: SocketAddr,
    heard_at: Instant,
}

/// What a node knows of links to servers, its own and those of others.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// All direct connections.
    all: Record,
    /// Direct connections that were opened for a request.
    new: Record,
    /// Whether no server is reached, until a probe is answered.
    is_cut: bool,
    peers: HashMap<CompactString, Peer>,
    /// Machines whose nodes opened no usable connection, with the times of that.
    failed_relays: HashMap<IpAddr, Instant>,
}

impl Tracker {
    /// Records that a server has answered on a direct connection; returns whether this ends a cut.
    pub fn record_answer(&mut self, link: Link, now: Instant) -> bool {
        self.all.succeed(now);
        if link == Link::Used {
            return false;
        }
        self.new.succeed(now);
        std::mem::replace(&mut self.is_cut, false)
    }

    /// Records that a server has failed a request on a direct connection; returns whether the node
    /// counts as cut off from now on.
    pub fn record_failure(
        &mut self,
        server: &str,
        link: Link,
        failure: Failure,
        now: Instant,
    ) -> bool {
        self.all.fail(server, failure, now);
        if link == Link::New {
            self.new.fail(server, failure, now);
        }
        let is_cut = self.all.is_lost(now) || self.new.is_lost(now);
        is_cut && !std::mem::replace(&mut self.is_cut, true)
    }

    /// Returns whether no server has answered since one failed, so that this node cannot tell a lost
    /// link from a server's end.
    #[must_use]
    pub fn is_suspected(&self, now: Instant) -> bool {
        let others = self.all.failed.len() > 1;
        self.is_cut || (others && now.since(self.all.answered_at) >= MIN_SILENCE)
    }

    /// Returns whether new connections to servers are useless.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether connections that were opened before are useless as well.
    #[must_use]
    pub fn is_cut_entirely(&self, now: Instant) -> bool {
        self.is_cut && now.since(self.all.answered_at) >= MIN_LOSS
    }

    /// Returns whether servers refuse this node, rather than being silent.
    #[must_use]
    pub fn is_refused(&self, now: Instant) -> bool {
        let refused = self.new.count(|failure| failure == Failure::Refused);
        self.is_cut && refused >= MIN_FAILED && now.since(self.new.answered_at) >= MIN_SILENCE
    }

    /// Returns whether several servers have failed since one last answered, so that a failure may be
    /// the loss of this node's links.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.is_cut || self.all.failed.len() > 1
    }

    /// Returns what this node tells the others.
    #[must_use]
    pub fn reach(&self, now: Instant) -> Reach {
        if self.is_cut {
            return Reach::Cut;
        }
        let is_reaching = self.all.answered_at > Instant::default()
            && now.since(self.all.answered_at) < ANSWER_LIFETIME;
        match is_reaching {
            true => Reach::Reaching,
            false => Reach::Unknown,
        }
    }

    /// Records what another node says, and the address at which it relays connections.
    pub fn record_peer(
        &mut self,
        name: &str,
        zone: &str,
        reach: Reach,
        relay: SocketAddr,
        now: Instant,
    ) {
        let peer = Peer {
            zone: zone.into(),
            reach,
            relay,
            heard_at: now,
        };
        self.peers.insert(name.into(), peer);
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_LIFETIME);
    }

    /// Records that a node gave no usable connection to a server.
    pub fn record_relay_failure(&mut self, machine: IpAddr, now: Instant) {
        self.failed_relays
            .retain(|_, at| now.since(*at) < RELAY_FAILURE_LIFETIME);
        self.failed_relays.insert(machine, now);
    }

    fn has_relay_failed(&self, machine: IpAddr, now: Instant) -> bool {
        let failed_at = self.failed_relays.get(&machine);
        failed_at.is_some_and(|at| now.since(*at) < RELAY_FAILURE_LIFETIME)
    }

    /// Returns the addresses at which other nodes relay connections, the best first: those that have not
    /// failed, that reach servers, and of the own availability zone.
    pub fn relays(&self, zone: &str, now: Instant, random: &mut Rng) -> Vec<SocketAddr> {
        let mut peers: Vec<&Peer> = self.usable_peers(now).collect();
        random.shuffle(&mut peers);
        peers.sort_by_key(|peer| {
            let has_failed = self.has_relay_failed(peer.relay.ip(), now);
            let is_reaching = peer.reach == Reach::Reaching;
            (has_failed, !is_reaching, peer.zone != zone)
        });
        peers.into_iter().map(|peer| peer.relay).collect()
    }

    /// Returns the machines of the nodes that relay connections.
    pub fn relay_machines(&self, now: Instant) -> impl Iterator<Item = IpAddr> {
        self.usable_peers(now).map(|peer| peer.relay.ip())
    }

    fn usable_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| {
            peer.reach != Reach::Cut && now.since(peer.heard_at) < PEER_LIFETIME
        })
    }
}
