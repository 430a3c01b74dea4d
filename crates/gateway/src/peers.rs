//! Exchanges loads and server states with the other nodes.
//!
//! Nodes register their addresses in the store under leases and send each other datagrams, each
//! with the sender's loads. While the store is unavailable, leaders also send the states of their zone's
//! servers. Datagrams are not acknowledged, as a later one replaces a lost one.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::address::is_of_one_host;
use jackdaw_core::backend::{Membership, Server, State};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Change, Entry, Lease, Transaction, Write};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::feed::Position;
use jackdaw_policy::peers::{LoadReport, Share};
use jackdaw_policy::poison::Peers;
use jackdaw_policy::reach::Reach;
use jackdaw_policy::relay::{self, Turns};
use jackdaw_policy::stall::{self, Report};
use prost::Message;
use slog::{debug, info};
use tokio::net::UdpSocket;
use tokio::time;

use crate::demand;
use crate::evacuation;
use crate::follow::{self, Subscriber};
use crate::limits;
use crate::node::Node;
use crate::oddities::Oddities;
use crate::poison;
use crate::segment;

/// Prefix of the nodes' registrations.
const PREFIX: &str = "jackdawstair/nodes/";
/// Time to live of a node's registration.
const TTL: Millis = Millis(12_000);
/// Pause between two renewals of a node's registration.
const RENEWAL_INTERVAL: Millis = Millis(4_000);
/// Pause between two calls for the nodes' registrations; it may be long, since a node that is not
/// known yet only gets no datagrams.
const READ_INTERVAL: Millis = Millis(8_000);
/// Time after its start in which a node reads them more often, since others may be starting as well.
const STARTING_TIME: Millis = Millis(10_000);
/// Pause between two calls in that time.
const STARTING_READ_INTERVAL: Millis = Millis(3_000);
/// Longest wait of a call for changes of the registrations.
const WAIT: Millis = Millis(20_000);
/// Longest wait of a call after an outage of the store; nodes that are not known yet get no
/// datagrams until then.
const WAIT_AFTER_OUTAGE: Millis = Millis(4_000);
/// Pause between two rounds of datagrams.
const SEND_INTERVAL: Millis = relay::ROUND;
/// Time after a read of the servers' registrations in which server states from leaders are ignored;
/// leaders read at about that interval and have nothing newer.
const REGISTRATIONS_FRESH_FOR: Millis = Millis(400);
/// Time after its start in which a node tells its address itself; the others read the registrations
/// within that time.
const INTRODUCTION_TIME: Millis = Millis(9_000);
/// Number of nodes that get the loads in a round; at about 20 bytes per target a node sends less
/// than 5 KB/s.
const FANOUT: usize = 4;
/// Largest datagram in bytes, which is not fragmented.
const MAX_DATAGRAM: usize = 1_400;
/// Largest datagram in bytes that is received. One state that is larger than others, as an entry of
/// another writer may be, makes a datagram that is fragmented.
const MAX_RECEIVED: usize = 64 << 10;
/// Largest encoded size of a datagram's fields beside its lists in bytes.
const MAX_HEADER_BYTES: usize = 160;
/// Largest encoded size of one target's load in bytes.
const MAX_LOAD_BYTES: usize = 24;
/// Largest encoded size of what is known of a server's limit in bytes.
const MAX_LIMIT_BYTES: usize = 48;
/// Largest encoded size of the number and the length of the field with the evacuations in bytes.
const MAX_EVACUATIONS_PREFIX: usize = 4;
/// Largest encoded size of one server's state in bytes.
const MAX_SERVER_STATE_BYTES: usize = 96;

/// A datagram between nodes.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    node: String,
    /// Random number that is drawn at the sender's start.
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// Sequence number of the datagram.
    #[prost(uint64, tag = "3")]
    sequence: u64,
    /// Loads of the targets that the sender uses or suspects.
    #[prost(message, repeated, tag = "4")]
    loads: Vec<Load>,
    /// Availability zone of the sender.
    #[prost(string, tag = "5")]
    zone: String,
    /// Whether the store answers the sender.
    #[prost(bool, tag = "6")]
    sees_store: bool,
    /// States of servers as known to the sender, which leads its zone.
    #[prost(message, repeated, tag = "7")]
    server_states: Vec<ServerState>,
    /// Requests that end servers.
    #[prost(message, optional, tag = "8")]
    poison: Option<poison::Report>,
    /// Address for datagrams to the sender; empty once the others know it from the store.
    #[prost(string, tag = "9")]
    address: String,
    /// Version of the configuration that the sender has in force; zero for none.
    #[prost(uint64, tag = "10")]
    configuration: u64,
    /// Age in milliseconds of the sender's news of its zone's leader; zero for the leader itself.
    #[prost(uint64, optional, tag = "11")]
    leader_age_ms: Option<u64>,
    /// What the sender reaches as an index into [`REACHES`].
    #[prost(uint32, tag = "14")]
    reach: u32,
    /// Port at which the sender relays connections to servers; zero for none.
    #[prost(uint32, tag = "15")]
    relay_port: u32,
    /// Limits of servers.
    #[prost(message, repeated, tag = "12")]
    limits: Vec<limits::Record>,
    /// Part of the exchange on limits; such a datagram holds nothing else but the sender's name.
    #[prost(message, optional, tag = "13")]
    exchange: Option<limits::Exchange>,
    /// Revision of the last change of the servers' registrations that the sender knows; zero for none.
    #[prost(uint64, tag = "16")]
    registrations: u64,
    /// Age in milliseconds of the sender's knowledge that there is no later change.
    #[prost(uint64, tag = "17")]
    registrations_age_ms: u64,
    /// Changes of the servers' registrations; such a datagram holds nothing else but the sender's name
    /// and its position.
    #[prost(message, optional, tag = "18")]
    segment: Option<segment::Record>,
    /// Whether the receiver passes the datagram on to some other nodes.
    #[prost(bool, tag = "19")]
    is_relayed: bool,
    /// What the sender knows of places that stand still; such a datagram holds nothing else but the
    /// sender's name and its position.
    #[prost(message, repeated, tag = "20")]
    stalls: Vec<StallRecord>,
    /// Zones that the sender knows to be evacuated; none if it has never known of any.
    #[prost(message, optional, tag = "21")]
    evacuations: Option<evacuation::Record>,
    /// Demand for each model at the sender, beside its loads.
    #[prost(message, repeated, tag = "22")]
    demand: Vec<demand::Record>,
}

/// What a node has seen of a place.
#[derive(Clone, Copy, PartialEq, Message)]
struct StallRecord {
    /// Identity of the place on all nodes.
    #[prost(fixed64, tag = "1")]
    place: u64,
    /// Time in milliseconds since the last progress that the node saw there.
    #[prost(uint64, tag = "2")]
    progress_age_ms: u64,
    /// Whether the place stands still since.
    #[prost(bool, tag = "3")]
    is_stalled: bool,
}

impl Datagram {
    /// Adds how far the sender knows the registrations.
    fn with_position(mut self, node: &Node) -> Self {
        let is_leading = node.is_leading.get();
        if let Some(position) = node.registrations.position(is_leading, node.now()) {
            self.registrations = position.revision;
            self.registrations_age_ms = position.age.0;
        }
        self
    }

    /// Returns how far the sender knows the registrations, if it states it.
    fn position(&self) -> Option<Position> {
        (self.registrations > 0).then_some(Position {
            revision: self.registrations,
            age: Millis(self.registrations_age_ms),
        })
    }
}

/// Encodes a datagram with changes of the servers' registrations.
pub(crate) fn encode_segment(node: &Node, segment: segment::Record) -> Vec<u8> {
    let datagram = Datagram {
        node: node.options.node.to_string(),
        segment: Some(segment),
        ..Datagram::default()
    };
    datagram.with_position(node).encode_to_vec()
}

/// Encodes a datagram with a part of the exchange on limits.
pub(crate) fn encode_exchange(node: &str, exchange: limits::Exchange) -> Vec<u8> {
    let datagram = Datagram {
        node: node.to_owned(),
        exchange: Some(exchange),
        ..Datagram::default()
    };
    datagram.encode_to_vec()
}

/// The state of a server as known to its zone's leader.
#[derive(Clone, PartialEq, Message)]
struct ServerState {
    /// Name of the server.
    #[prost(string, tag = "1")]
    server: String,
    /// Start of the server in Unix milliseconds.
    #[prost(fixed64, tag = "2")]
    start_unix_ms: u64,
    /// Replica group; empty for none.
    #[prost(string, tag = "3")]
    group: String,
    /// Epoch of the group.
    #[prost(uint64, tag = "4")]
    epoch: u64,
    /// Rank in the group.
    #[prost(uint32, tag = "5")]
    rank: u32,
    /// State of the membership as an index into [`STATES`].
    #[prost(uint32, tag = "6")]
    state: u32,
    /// Whether the server has missed its reports and is removed.
    #[prost(bool, tag = "7")]
    is_lost: bool,
}

/// What nodes reach in the order of their numbers on the wire.
const REACHES: [Reach; 3] = [Reach::Unknown, Reach::Reaching, Reach::Cut];

/// The states of a membership in the order of their numbers on the wire.
pub(crate) const STATES: [State; 5] = [
    State::Joining,
    State::Ready,
    State::Open,
    State::Closing,
    State::Broken,
];

/// The sender's load on one target.
#[derive(Clone, Copy, PartialEq, Message)]
struct Load {
    /// Identity of the target on all nodes.
    #[prost(fixed64, tag = "1")]
    target: u64,
    /// Number of requests in progress.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Number of prompt tokens whose prefill is pending.
    #[prost(uint32, tag = "3")]
    pending_prefill: u32,
    /// Whether the sender suspects the target.
    #[prost(bool, tag = "4")]
    suspect: bool,
}

pub(crate) type Addresses = Rc<RefCell<HashMap<CompactString, SocketAddr>>>;

/// Starts the tasks that register this node and exchange datagrams with the others.
pub(crate) fn start(node: &Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let addresses = Addresses::default();
    let peer_addresses = PeerAddresses {
        node: Rc::clone(node),
        addresses: Rc::clone(&addresses),
        read_at: Cell::default(),
        started_at: node.now(),
        oddities: Oddities::default(),
    };
    ntex::rt::spawn(follow::follow(Rc::clone(node), peer_addresses));
    ntex::rt::spawn(keep_registered(Rc::clone(node)));
    let peer_addresses = PeerAddresses {
        node: Rc::clone(node),
        addresses: Rc::clone(&addresses),
        read_at: Cell::default(),
        started_at: node.now(),
        oddities: Oddities::default(),
    };
    let link = || limits::Link {
        socket: Rc::clone(&socket),
        addresses: Rc::clone(&addresses),
    };
    node.limits.connect(link());
    node.registrations.connect(link());
    ntex::rt::spawn(receive(peer_addresses, Rc::clone(&socket)));
    let sender = Sender {
        node: Rc::clone(node),
        socket,
        addresses,
        incarnation: fastrand::u64(..),
        sequence: 0,
        started_at: node.now(),
        turns: Turns::default(),
    };
    ntex::rt::spawn(broadcast(sender));
}

/// Keeps the addresses of the other nodes up to date with their registrations.
struct PeerAddresses {
    node: Rc<Node>,
    addresses: Addresses,
    /// Time of the store's last answer.
    read_at: Cell<Instant>,
    started_at: Instant,
    oddities: Oddities,
}

impl PeerAddresses {
    /// Adds a node, or leaves the one that is known as it is if its entry cannot be decoded.
    fn insert(&self, entry: &Entry) {
        let Some(name) = entry.key.strip_prefix(PREFIX) else {
            return;
        };
        if name == self.node.options.node {
            return;
        }
        let text = String::from_utf8_lossy(&entry.value);
        match decode_address(&entry.key, &text) {
            Ok(address) => {
                self.oddities.forget(&entry.key);
                self.addresses.borrow_mut().insert(name.into(), address);
            }
            Err(error) => {
                let message = "address in a node's registration cannot be used";
                let logger = self.node.logger();
                self.oddities.tell(logger, message, &entry.key, &error);
            }
        }
    }

    /// Adds a node that introduces itself and is not known from the store yet.
    fn introduce(&self, name: &str, address: &str) {
        let is_known = self.addresses.borrow().contains_key(name);
        if is_known || name == self.node.options.node {
            return;
        }
        match decode_address(name, address) {
            Ok(address) => {
                self.addresses.borrow_mut().insert(name.into(), address);
                self.update_peer_count();
            }
            Err(error) => debug!(self.node.logger(), "address in a datagram cannot be used";
                "peer" => name, "error" => %error),
        }
    }

    /// Passes a datagram on to some nodes.
    fn relay(&self, datagram: &Datagram, socket: &UdpSocket) {
        // The sender's own fields would be taken for this node's, from whose address it comes.
        let datagram = Datagram {
            relay_port: 0,
            registrations: 0,
            ..datagram.clone()
        };
        let bytes = datagram.encode_to_vec();
        let addresses = self.addresses.borrow();
        let fanout = relay::fanout(addresses.len());
        let recipients = fastrand::choose_multiple(addresses.values().copied(), fanout);
        send_to_each(&self.node, socket, &bytes, &recipients);
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.borrow().get(name).copied()
    }

    fn update_peer_count(&self) {
        let peers = self.addresses.borrow().len();
        self.node.peer_loads().borrow_mut().set_peer_count(peers);
        let addresses = self.addresses.borrow();
        let names = addresses.keys().map(|name| name.as_str());
        let peers = Peers::new(&self.node.options.node, names);
        self.node.poison.set_peers(peers);
        let names = addresses.keys().cloned().collect();
        self.node.limits.set_peers(names, self.node.now());
        self.node.update_retry_limits();
    }
}

impl Subscriber for PeerAddresses {
    fn prefix(&self) -> CompactString {
        PREFIX.into()
    }

    fn rest(&self) -> Millis {
        // Without a pause, each registration would end the calls of all nodes when many nodes
        // start.
        let now = self.node.now();
        let is_new = now.since(self.started_at) < STARTING_TIME;
        let interval = if is_new {
            STARTING_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        (self.read_at.get() + interval).since(now)
    }

    fn wait(&self) -> Millis {
        WAIT
    }

    fn wait_after_outage(&self) -> Millis {
        WAIT_AFTER_OUTAGE
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        self.read_at.set(self.node.now());
        self.node.knows_peers.set(true);
        let keys: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let is_listed = |name: &str| keys.contains(format_compact!("{PREFIX}{name}").as_str());
        self.addresses
            .borrow_mut()
            .retain(|name, _| is_listed(name));
        self.oddities.retain(|key| keys.contains(key));
        for entry in &entries {
            self.insert(entry);
        }
        self.update_peer_count();
    }

    fn apply(&mut self, changes: Vec<Change>, _: u64) {
        self.read_at.set(self.node.now());
        for change in changes {
            match change {
                Change::Put(entry) => self.insert(&entry),
                Change::Delete(key, _) => {
                    self.oddities.forget(&key);
                    if let Some(name) = key.strip_prefix(PREFIX) {
                        self.addresses.borrow_mut().remove(name);
                    }
                }
            }
        }
        self.update_peer_count();
    }
}

/// Decodes the address that a node states.
///
/// # Errors
///
/// Returns an error if the text is not the address of one host.
fn decode_address(peer: &str, text: &str) -> Result<SocketAddr> {
    let malformed =
        |reason: &dyn ToString| Error::malformed("read node's address", peer, reason.to_string());
    let address = text.parse().map_err(|error| malformed(&error))?;
    if !is_of_one_host(address) {
        return Err(malformed(&format!("{address} is not of one host")));
    }
    Ok(address)
}

/// Registers this node and renews its lease until the node stops.
async fn keep_registered(node: Rc<Node>) {
    let mut lease: Option<Lease> = None;
    while !node.is_stopping() {
        let asked_at = node.now();
        let result = match lease {
            Some(lease) => node.parts.store.renew(lease).await,
            None => Ok(Millis(0)),
        };
        match result {
            Ok(Millis(0)) => match create_registration(&node).await {
                Ok(granted) => {
                    lease = Some(granted);
                    node.limits.record_registration(asked_at + TTL, node.now());
                }
                Err(error) => {
                    lease = None;
                    info!(node.logger(), "node could not be registered"; "error" => %error);
                }
            },
            Ok(_) => node.limits.record_registration(asked_at + TTL, node.now()),
            Err(error) => debug!(node.logger(), "registration is not renewed"; "error" => %error),
        }
        time::sleep(RENEWAL_INTERVAL.duration()).await;
    }
}

async fn create_registration(node: &Node) -> Result<Lease> {
    let store = &node.parts.store;
    let lease = store.grant(TTL).await?;
    let put = Write::Put {
        key: format_compact!("{PREFIX}{}", node.options.node),
        value: node.options.peers.to_string().into_bytes(),
        lease: Some(lease),
    };
    let transaction = Transaction {
        then: vec![put],
        ..Transaction::default()
    };
    store.commit(transaction).await?;
    Ok(lease)
}

async fn receive(peer_addresses: PeerAddresses, socket: Rc<UdpSocket>) {
    let node = &peer_addresses.node;
    let mut buf = vec![0; MAX_RECEIVED];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                debug!(node.logger(), "datagram could not be received"; "error" => %error);
                time::sleep(SEND_INTERVAL.duration()).await;
                continue;
            }
        };
        match Datagram::decode(&buf[..len]) {
            Ok(mut datagram) => {
                node.limits.record_heard(&datagram.node, node.now());
                if let Some(exchange) = datagram.exchange {
                    node.handle_exchange(exchange, from);
                    continue;
                }
                let position = datagram.position();
                if !datagram.stalls.is_empty() {
                    take_stalls(node, &peer_addresses.addresses, &socket, &datagram.stalls);
                    position.inspect(|position| node.hear_position(*position, from));
                    continue;
                }
                if let Some(segment) = datagram.segment {
                    if segment.is_empty() {
                        // Only leaders tell their position alone.
                        node.hear_leader(&datagram.node);
                    } else {
                        node.take_segment(segment);
                    }
                    position.inspect(|position| node.hear_position(*position, from));
                    continue;
                }
                record_reach(node, &datagram, from);
                position.inspect(|position| node.hear_position(*position, from));
                node.adopt_limits(&datagram.limits);
                if !datagram.address.is_empty() {
                    peer_addresses.introduce(&datagram.node, &datagram.address);
                }
                let is_of_zone = datagram.zone == node.options.zone.as_str();
                if datagram.leader_age_ms == Some(0) {
                    node.hear_leader(&datagram.node);
                }
                if let Some(age) = datagram.leader_age_ms.filter(|_| is_of_zone) {
                    node.hear_of_leader(Millis(age));
                }
                // A configuration from a peer makes the node ready, so evacuations come before it.
                if let Some(record) = datagram.evacuations.take() {
                    node.adopt_evacuations(record, &datagram.node);
                }
                if datagram.configuration > 0 {
                    let address = peer_addresses.address(&datagram.node);
                    node.hear_version(&datagram.node, address, datagram.configuration);
                }
                if std::mem::take(&mut datagram.is_relayed) {
                    peer_addresses.relay(&datagram, &socket);
                }
                let server_states = std::mem::take(&mut datagram.server_states);
                if let Some(report) = datagram.poison.take() {
                    node.adopt_poison_report(&report);
                } else if server_states.is_empty() {
                    let (incarnation, sequence) = (datagram.incarnation, datagram.sequence);
                    node.take_demand(&datagram.node, incarnation, sequence, &datagram.demand);
                    node.peer_loads()
                        .borrow_mut()
                        .record(load_report(datagram), node.now());
                } else if node.registrations.age(node.now()) > REGISTRATIONS_FRESH_FOR {
                    apply_server_states(node, server_states);
                }
            }
            Err(error) => debug!(node.logger(), "datagram could not be decoded"; "error" => %error),
        }
    }
}

/// Sends a datagram to each of some nodes. One that does not leave at once counts as lost.
pub(crate) fn send_to_each(
    node: &Node,
    socket: &UdpSocket,
    datagram: &[u8],
    recipients: &[SocketAddr],
) {
    for recipient in recipients {
        if let Err(error) = socket.try_send_to(datagram, *recipient) {
            debug!(node.logger(), "datagram could not be sent";
                "peer" => %recipient, "error" => %error);
        }
    }
}

/// Tells a few nodes what has been seen of places that stand still.
fn spread_stalls(node: &Node, addresses: &Addresses, socket: &UdpSocket, reports: &[Report]) {
    if reports.is_empty() {
        return;
    }
    let now = node.now();
    let stalls = reports.iter().map(|report| StallRecord {
        place: report.place,
        progress_age_ms: now.since(report.progress_at).0,
        is_stalled: report.is_stalled,
    });
    let datagram = Datagram {
        node: node.options.node.to_string(),
        stalls: stalls.collect(),
        ..Datagram::default()
    };
    let bytes = datagram.with_position(node).encode_to_vec();
    let addresses = addresses.borrow();
    let recipients = fastrand::choose_multiple(addresses.values().copied(), stall::FANOUT);
    send_to_each(node, socket, &bytes, &recipients);
}

/// Takes what another node tells of places that stand still, and passes on what is news.
fn take_stalls(node: &Node, addresses: &Addresses, socket: &UdpSocket, stalls: &[StallRecord]) {
    let now = node.now();
    let mut news = Vec::new();
    for record in stalls.iter().take(stall::MAX_REPORTS) {
        let report = Report {
            place: record.place,
            progress_at: now - Millis(record.progress_age_ms),
            is_stalled: record.is_stalled,
        };
        if node.targets.borrow_mut().take_stall(report, now) {
            news.push(report);
        }
    }
    if news.iter().any(|report| report.is_stalled) {
        node.stalls_changed.notify_waiters();
        node.state_changed.notify_waiters();
    }
    spread_stalls(node, addresses, socket, &news);
}

fn encode_reach(reach: Reach) -> u32 {
    let number = REACHES.iter().position(|known| *known == reach);
    number.map_or(0, |number| number as u32)
}

/// Records what the sender of a datagram reaches.
fn record_reach(node: &Node, datagram: &Datagram, from: SocketAddr) {
    let reach = usize::try_from(datagram.reach).ok();
    let reach = reach.and_then(|number| REACHES.get(number)).copied();
    let port = u16::try_from(datagram.relay_port).unwrap_or_default();
    if port == 0 || datagram.node == node.options.node.as_str() {
        return;
    }
    let relay = SocketAddr::new(from.ip(), port);
    node.reach.borrow_mut().record_peer(
        &datagram.node,
        &datagram.zone,
        reach.unwrap_or_default(),
        relay,
        node.now(),
    );
}

/// Applies the server states from a leader to the fleet.
fn apply_server_states(node: &Node, server_states: Vec<ServerState>) {
    let now = node.now();
    let mut changed = false;
    for server_state in server_states {
        let mut fleet = node.fleet.borrow_mut();
        let id = server_state.server.as_str();
        let known = fleet.server(id).or_else(|| fleet.unreachable(id));
        if known.is_none_or(|server| server.start_unix_ms != server_state.start_unix_ms) {
            continue;
        }
        if server_state.is_lost {
            changed |= fleet.set_unreachable(id, now);
            continue;
        }
        changed |= fleet.take_back(id);
        let state = usize::try_from(server_state.state)
            .ok()
            .and_then(|number| STATES.get(number));
        let membership = state
            .filter(|_| !server_state.group.is_empty())
            .map(|state| Membership {
                group: server_state.group.as_str().into(),
                epoch: server_state.epoch,
                rank: server_state.rank,
                state: *state,
            });
        changed |= fleet.apply_report(&server_state.server, membership, now);
    }
    if changed {
        node.update_targets();
    }
}

/// Returns the states of the zone's servers that this node has found while the store is unavailable, as
/// many as are told in a round: first those that have changed lately or are lost, and the others in
/// turn.
fn server_states(node: &Node, turns: &mut Turns) -> Vec<ServerState> {
    let fleet = node.fleet.borrow();
    let changed = node.recently_changed_servers();
    let servers = fleet
        .servers()
        .filter(|server| server.zone == node.options.zone && !server.domain.is_empty());
    let (changed, others): (Vec<&Server>, Vec<&Server>) =
        servers.partition(|server| changed.contains(&server.id));
    let lost = fleet
        .unreachable_servers()
        .filter(|(server, _)| server.zone == node.options.zone)
        .map(|(server, _)| ServerState {
            server: server.id.to_string(),
            start_unix_ms: server.start_unix_ms,
            is_lost: true,
            ..ServerState::default()
        });
    let urgent = changed.into_iter().map(ServerState::new).chain(lost);
    let others = others.into_iter().map(ServerState::new);
    turns.select(urgent.collect(), others.collect(), relay::MAX_STATES)
}

impl ServerState {
    fn new(server: &Server) -> Self {
        let membership = server.membership.as_ref();
        let state = membership
            .and_then(|membership| STATES.iter().position(|state| *state == membership.state));
        ServerState {
            server: server.id.to_string(),
            start_unix_ms: server.start_unix_ms,
            group: membership
                .map(|membership| membership.group.to_string())
                .unwrap_or_default(),
            epoch: membership.map_or(0, |membership| membership.epoch),
            rank: membership.map_or(0, |membership| membership.rank),
            state: state.unwrap_or_default() as u32,
            is_lost: false,
        }
    }
}

fn load_report(datagram: Datagram) -> LoadReport {
    LoadReport {
        node: datagram.node.into(),
        incarnation: datagram.incarnation,
        sequence: datagram.sequence,
        zone: datagram.zone.into(),
        sees_store: datagram.sees_store,
        places: datagram
            .loads
            .into_iter()
            .map(|load| {
                let share = Share {
                    requests: load.requests,
                    unread: load.pending_prefill,
                    suspect: load.suspect,
                };
                (load.target, share)
            })
            .collect(),
    }
}

/// Sends this node's datagrams, numbered in the order of sending.
struct Sender {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    addresses: Addresses,
    incarnation: u64,
    sequence: u64,
    started_at: Instant,
    /// Turns of the server states that do not all fit into one round.
    turns: Turns,
}

impl Sender {
    /// Returns the other nodes' addresses in random order.
    fn recipients(&self) -> Vec<SocketAddr> {
        let mut recipients: Vec<SocketAddr> = self.addresses.borrow().values().copied().collect();
        fastrand::shuffle(&mut recipients);
        recipients
    }

    /// Sends a datagram to recipients after it is completed with the sender's fields.
    async fn send(&mut self, datagram: Datagram, recipients: &[SocketAddr]) {
        self.sequence += 1;
        let is_new = self.node.now().since(self.started_at) < INTRODUCTION_TIME;
        let datagram = Datagram {
            address: if is_new {
                self.node.options.peers.to_string()
            } else {
                String::new()
            },
            node: self.node.options.node.to_string(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            zone: self.node.options.zone.to_string(),
            sees_store: !self.node.has_stale_registrations(),
            configuration: self.node.version().unwrap_or_default(),
            leader_age_ms: self.node.leader_age().map(|age| age.0),
            reach: encode_reach(self.node.reach.borrow().reach(self.node.now())),
            relay_port: self.node.relay_port.get().into(),
            evacuations: self.node.evacuation_record(),
            ..datagram
        };
        let bytes = datagram.with_position(&self.node).encode_to_vec();
        for recipient in recipients {
            if let Err(error) = self.socket.send_to(&bytes, recipient).await {
                debug!(self.node.logger(), "datagram could not be sent";
                    "peer" => %recipient, "error" => %error);
            }
        }
    }

    /// Returns the size in bytes that the evacuations add to a datagram.
    fn evacuations_len(&self) -> usize {
        let record = self.node.evacuation_record();
        record.map_or(0, |record| record.encoded_len() + MAX_EVACUATIONS_PREFIX)
    }

    /// Returns the address of a leader, drawn at random, unless it is among the recipients.
    fn leader_beyond(&self, recipients: &[SocketAddr]) -> Option<SocketAddr> {
        let leader = self.node.any_leader()?;
        let address = self.addresses.borrow().get(&leader).copied()?;
        (!recipients.contains(&address)).then_some(address)
    }

    async fn send_loads(&mut self, recipients: &[SocketAddr]) {
        let mut shares = self.node.targets.borrow().shares(self.node.now());
        // Suspected targets and those with most requests are kept if not all fit.
        shares.sort_by_key(|(_, share)| std::cmp::Reverse((share.suspect, share.requests)));
        let limits = self.node.limits.records(self.node.now());
        let limits_len = limits.len() * MAX_LIMIT_BYTES;
        let demand = self.node.demand_records();
        let demand_len = demand.len() * demand::MAX_FIGURE_BYTES;
        let list_len = MAX_DATAGRAM - MAX_HEADER_BYTES - self.evacuations_len();
        shares.truncate(list_len.saturating_sub(limits_len + demand_len) / MAX_LOAD_BYTES);
        let mut recipients = recipients.to_vec();
        if !demand.is_empty() {
            recipients.extend(self.leader_beyond(&recipients));
        }
        let loads = shares.into_iter().map(|(target, share)| Load {
            target,
            requests: share.requests,
            pending_prefill: share.unread,
            suspect: share.suspect,
        });
        let datagram = Datagram {
            loads: loads.collect(),
            limits,
            demand,
            ..Datagram::default()
        };
        self.send(datagram, &recipients).await;
    }

    /// Sends server states to some nodes, which pass them on; what does not fit follows in the next
    /// rounds.
    async fn send_server_states(&mut self, recipients: &[SocketAddr]) {
        let fanout = relay::fanout(recipients.len());
        let server_states = server_states(&self.node, &mut self.turns);
        let list_len = MAX_DATAGRAM - MAX_HEADER_BYTES - self.evacuations_len();
        let max_states = (list_len / MAX_SERVER_STATE_BYTES).max(1);
        for chunk in server_states.chunks(max_states) {
            let datagram = Datagram {
                server_states: chunk.to_vec(),
                is_relayed: true,
                ..Datagram::default()
            };
            self.send(datagram, &recipients[..fanout]).await;
        }
    }

    /// Tells a few nodes which places stand still, unless this node's own links may be at fault.
    fn send_stalls(&self) {
        let node = &self.node;
        let reports = node.targets.borrow_mut().observe_stalls(node.now());
        if !node.reach.borrow().is_doubtful() {
            spread_stalls(node, &self.addresses, &self.socket, &reports);
        }
    }

    /// Tells some nodes how far this node, which reads the store all the time, knows the registrations.
    async fn send_position(&mut self, recipients: &[SocketAddr]) {
        let fanout = recipients.len().isqrt();
        let datagram = encode_segment(&self.node, segment::Record::default());
        for recipient in recipients.iter().rev().take(fanout) {
            if let Err(error) = self.socket.send_to(&datagram, recipient).await {
                debug!(self.node.logger(), "datagram could not be sent";
                    "peer" => %recipient, "error" => %error);
            }
        }
    }

    async fn send_poison_report(
        &mut self,
        report: Option<poison::Report>,
        recipients: &[SocketAddr],
    ) {
        if let Some(report) = report {
            let datagram = Datagram {
                poison: Some(report),
                ..Datagram::default()
            };
            self.send(datagram, recipients).await;
        }
    }
}

async fn broadcast(mut sender: Sender) {
    let node = Rc::clone(&sender.node);
    let mut next_round = node.now() + SEND_INTERVAL;
    loop {
        let pause = next_round.since(node.now()).duration();
        let urgent = node.poison.has_urgent_news.notified();
        if time::timeout(pause, urgent).await.is_ok() {
            let recipients = sender.recipients();
            let report = node.urgent_poison_report();
            sender.send_poison_report(report, &recipients).await;
            continue;
        }
        next_round = node.now() + SEND_INTERVAL;
        node.tick_freshness();
        node.tick_registrations();
        sender.send_stalls();
        let recipients = sender.recipients();
        let few = &recipients[..recipients.len().min(FANOUT)];
        sender.send_loads(few).await;
        let report = node.poison_report();
        sender.send_poison_report(report, few).await;
        if node.is_leading.get() && node.in_grace_period.get() {
            sender.send_server_states(&recipients).await;
        } else if node.is_leading.get() {
            sender.send_position(&recipients).await;
        }
    }
}
