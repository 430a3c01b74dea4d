//! Tells other nodes the load that this one puts on each place, and hears theirs.
//!
//! Nodes register their addresses in the store under leases and send each other datagrams. A lost
//! datagram is made up for by the next one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Membership, State};
use jackdaw_core::errors::Result;
use jackdaw_core::store::{Change, Entry, Lease, Transaction, Write};
use jackdaw_core::units::Millis;
use jackdaw_policy::peers::{LoadReport, Share};
use prost::Message;
use slog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::time;

use crate::follow::{self, Reader};
use crate::node::Node;

/// Prefix of the nodes' registrations.
const PREFIX: &str = "jackdawstair/nodes/";
/// Time to live of a registration.
const TTL: Millis = Millis(12_000);
/// Pause between two renewals of a registration.
const RENEWAL: Millis = Millis(4_000);
/// Pause between two reads of the nodes' registrations; a node that is not known yet only gets no
/// datagrams.
const PAUSE: Millis = Millis(3_000);
/// Time that a call waits for changes of the registrations.
const WAIT: Millis = Millis(20_000);
/// Longest wait after the store was away; nodes that are not known get no datagrams meanwhile.
const WAIT_AFTER_ABSENCE: Millis = Millis(4_000);
/// Pause between two rounds of messages.
const ROUND: Millis = Millis(250);
/// Time after a read of the registrations in which leaders have no news; they read as often.
const FRESH: Millis = Millis(400);
/// Nodes that get a message in a round; with about 20 bytes a place this stays under 5 KB/s.
const FANOUT: usize = 4;
/// Largest datagram; it is not fragmented.
const MAX_DATAGRAM: usize = 1_400;
/// Bytes of one place in a message, at most.
const PLACE_BYTES: usize = 24;
/// Bytes of one server in a message, at most.
const SIGHT_BYTES: usize = 96;

/// A message between nodes.
#[derive(Clone, PartialEq, Message)]
struct Loads {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    node: String,
    /// Number that is drawn at the sender's start.
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// Number of the message.
    #[prost(uint64, tag = "3")]
    sequence: u64,
    /// Places with something in progress.
    #[prost(message, repeated, tag = "4")]
    places: Vec<Load>,
    /// Availability zone.
    #[prost(string, tag = "5")]
    zone: String,
    /// Whether the store answers the sender.
    #[prost(bool, tag = "6")]
    sees_store: bool,
    /// Servers as a leader sees them while the store is away.
    #[prost(message, repeated, tag = "7")]
    sights: Vec<Sight>,
}

/// A server as a leader sees it.
#[derive(Clone, PartialEq, Message)]
struct Sight {
    /// Name of the server.
    #[prost(string, tag = "1")]
    server: String,
    /// Start of the server.
    #[prost(fixed64, tag = "2")]
    born: u64,
    /// Replica group; empty for none.
    #[prost(string, tag = "3")]
    group: String,
    /// Epoch of the group.
    #[prost(uint64, tag = "4")]
    epoch: u64,
    /// Rank in the group.
    #[prost(uint32, tag = "5")]
    rank: u32,
    /// State of the membership, by its place in [`STATES`].
    #[prost(uint32, tag = "6")]
    state: u32,
    /// Whether the server does not answer.
    #[prost(bool, tag = "7")]
    lost: bool,
}

/// The states of a membership in the order of their numbers.
const STATES: [State; 5] = [
    State::Joining,
    State::Ready,
    State::Open,
    State::Closing,
    State::Broken,
];

/// What the sender has in progress at one place.
#[derive(Clone, Copy, PartialEq, Message)]
struct Load {
    /// Place.
    #[prost(fixed64, tag = "1")]
    place: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Prompt tokens that are not read yet.
    #[prost(uint32, tag = "3")]
    unread: u32,
    /// Whether the place stands still.
    #[prost(bool, tag = "4")]
    suspect: bool,
}

type Addresses = Rc<RefCell<HashMap<CompactString, SocketAddr>>>;

/// Starts to talk to the other nodes.
pub(crate) fn start(node: &Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let addresses = Addresses::default();
    let members = Members {
        node: Rc::clone(node),
        addresses: Rc::clone(&addresses),
    };
    ntex::rt::spawn(follow::follow(Rc::clone(node), members));
    ntex::rt::spawn(register(Rc::clone(node)));
    ntex::rt::spawn(hear(Rc::clone(node), Rc::clone(&socket)));
    ntex::rt::spawn(tell(Rc::clone(node), socket, addresses));
}

/// Keeps the addresses of the other nodes.
struct Members {
    node: Rc<Node>,
    addresses: Addresses,
}

impl Members {
    fn put(&self, entry: &Entry) {
        let Some(name) = entry.key.strip_prefix(PREFIX) else {
            return;
        };
        if name == self.node.options.node {
            return;
        }
        let address = std::str::from_utf8(&entry.value)
            .ok()
            .and_then(|text| text.parse().ok());
        match address {
            Some(address) => {
                self.addresses.borrow_mut().insert(name.into(), address);
            }
            None => warn!(self.node.logger(), "node's registration cannot be read";
                "key" => %entry.key),
        }
    }

    fn count(&self) {
        let peers = self.addresses.borrow().len();
        self.node.peer_loads().borrow_mut().set_peer_count(peers);
        self.node.update_retry_limits();
    }
}

impl Reader for Members {
    fn prefix(&self) -> CompactString {
        PREFIX.into()
    }

    fn pause(&self) -> Millis {
        // When many nodes start, each registration would end every node's call.
        PAUSE
    }

    fn wait(&self) -> Millis {
        WAIT
    }

    fn wait_after_absence(&self) -> Millis {
        WAIT_AFTER_ABSENCE
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        self.addresses.borrow_mut().clear();
        for entry in &entries {
            self.put(entry);
        }
        self.count();
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(entry) => self.put(&entry),
                Change::Delete(key, _) => {
                    if let Some(name) = key.strip_prefix(PREFIX) {
                        self.addresses.borrow_mut().remove(name);
                    }
                }
            }
        }
        self.count();
    }
}

/// Keeps this node's registration.
async fn register(node: Rc<Node>) {
    let mut lease: Option<Lease> = None;
    while !node.is_stopping.get() {
        let renewed = match lease {
            Some(lease) => node.parts.store.renew(lease).await,
            None => Ok(Millis(0)),
        };
        match renewed {
            Ok(Millis(0)) => match write(&node).await {
                Ok(granted) => lease = Some(granted),
                Err(error) => {
                    lease = None;
                    info!(node.logger(), "node is not registered"; "error" => %error);
                }
            },
            Ok(_) => {}
            Err(error) => debug!(node.logger(), "registration is not renewed"; "error" => %error),
        }
        time::sleep(RENEWAL.duration()).await;
    }
}

async fn write(node: &Node) -> Result<Lease> {
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

async fn hear(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let size = match socket.recv(&mut buffer).await {
            Ok(size) => size,
            Err(error) => {
                debug!(node.logger(), "datagram was not received"; "error" => %error);
                time::sleep(ROUND.duration()).await;
                continue;
            }
        };
        match Loads::decode(&buffer[..size]) {
            Ok(mut loads) => {
                let sights = std::mem::take(&mut loads.sights);
                if sights.is_empty() {
                    node.peer_loads()
                        .borrow_mut()
                        .record(word(loads), node.now());
                } else if node.now().since(node.registrations_read_at.get()) > FRESH {
                    look(&node, sights);
                }
            }
            Err(error) => debug!(node.logger(), "datagram cannot be read"; "error" => %error),
        }
    }
}

/// Takes in how a leader sees its servers.
fn look(node: &Node, sights: Vec<Sight>) {
    let now = node.now();
    let mut changed = false;
    for sight in sights {
        let mut fleet = node.fleet.borrow_mut();
        let is_known = fleet
            .server(&sight.server)
            .is_some_and(|server| server.start_unix_ms == sight.born);
        if !is_known {
            continue;
        }
        if sight.lost {
            changed |= fleet.remove(&sight.server).is_some();
            continue;
        }
        let state = usize::try_from(sight.state)
            .ok()
            .and_then(|number| STATES.get(number));
        let membership = state
            .filter(|_| !sight.group.is_empty())
            .map(|state| Membership {
                group: sight.group.as_str().into(),
                epoch: sight.epoch,
                rank: sight.rank as usize,
                state: *state,
            });
        changed |= fleet.apply_report(&sight.server, membership, now);
    }
    if changed {
        node.update_targets();
    }
}

/// Returns how this node sees the servers of its zone: those that have changed lately, or all while
/// the store is away.
fn sights(node: &Node) -> Vec<Sight> {
    let lost = node.dead_servers.borrow();
    let fleet = node.fleet.borrow();
    let changed = node.recently_changed_servers();
    let is_all = node.in_grace_period.get();
    let seen = fleet
        .servers()
        .filter(|server| server.zone == node.options.zone && !server.domain.is_empty())
        .filter(|server| is_all || changed.contains(&server.id))
        .map(|server| {
            let membership = server.membership.as_ref();
            let state =
                membership.and_then(|one| STATES.iter().position(|state| *state == one.state));
            Sight {
                server: server.id.to_string(),
                born: server.start_unix_ms,
                group: membership
                    .map(|one| one.group.to_string())
                    .unwrap_or_default(),
                epoch: membership.map_or(0, |one| one.epoch),
                rank: membership.map_or(0, |one| one.rank as u32),
                state: state.unwrap_or_default() as u32,
                lost: false,
            }
        });
    let gone = lost.iter().map(|(server, born)| Sight {
        server: server.to_string(),
        born: *born,
        lost: true,
        ..Sight::default()
    });
    seen.chain(gone).collect()
}

fn word(loads: Loads) -> LoadReport {
    LoadReport {
        node: loads.node.into(),
        incarnation: loads.incarnation,
        sequence: loads.sequence,
        zone: loads.zone.into(),
        sees_store: loads.sees_store,
        places: loads
            .places
            .into_iter()
            .map(|load| {
                let share = Share {
                    requests: load.requests,
                    unread: load.unread,
                    suspect: load.suspect,
                };
                (load.place, share)
            })
            .collect(),
    }
}

async fn tell(node: Rc<Node>, socket: Rc<UdpSocket>, addresses: Addresses) {
    let incarnation = fastrand::u64(..);
    let mut sequence = 0;
    loop {
        time::sleep(ROUND.duration()).await;
        sequence += 1;
        let mut shares = node.targets.borrow().shares(node.now());
        // The places with most in progress matter most.
        shares.sort_by_key(|(_, share)| std::cmp::Reverse((share.suspect, share.requests)));
        shares.truncate(MAX_DATAGRAM / PLACE_BYTES - 2);
        let sender = Loads {
            node: node.options.node.to_string(),
            incarnation,
            zone: node.options.zone.to_string(),
            sees_store: !node.has_stale_registrations(),
            ..Loads::default()
        };
        let loads = Loads {
            sequence,
            places: shares
                .into_iter()
                .map(|(place, share)| Load {
                    place,
                    requests: share.requests,
                    unread: share.unread,
                    suspect: share.suspect,
                })
                .collect(),
            ..sender.clone()
        };
        let mut targets: Vec<SocketAddr> = addresses.borrow().values().copied().collect();
        fastrand::shuffle(&mut targets);
        send(&node, &socket, &loads, targets.iter().take(FANOUT)).await;
        if node.is_leading.get() {
            let seen = sights(&node);
            for part in seen.chunks(MAX_DATAGRAM / SIGHT_BYTES) {
                sequence += 1;
                let loads = Loads {
                    sequence,
                    sights: part.to_vec(),
                    ..sender.clone()
                };
                send(&node, &socket, &loads, targets.iter()).await;
            }
        }
    }
}

async fn send(
    node: &Node,
    socket: &UdpSocket,
    loads: &Loads,
    targets: impl Iterator<Item = &SocketAddr>,
) {
    let datagram = loads.encode_to_vec();
    for target in targets {
        if let Err(error) = socket.send_to(&datagram, target).await {
            debug!(node.logger(), "datagram was not sent"; "peer" => %target, "error" => %error);
        }
    }
}
