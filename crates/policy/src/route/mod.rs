//! Chooses a replica group or a backend server for a request.
//!
//! Of the servers to which this node has sent least, two are drawn at random and the less loaded
//! one is taken. A node's own count is exact, and the draw keeps nodes that see the same old load
//! report from all running to the same server. A request goes to the server that probably caches its prompt's prefix, unless that server's queue is
//! longer by more than a miss would cost. Other availability zones are used only when the own one
//! is short of capacity.

mod eject;

pub use eject::{Latency, Straggler, find_stragglers};

use compact_str::CompactString;
use jackdaw_core::key::{Key as _, Server};

/// Points of one server on the ring of prefixes.
const POINTS: u64 = 8;
/// Servers that one choice looks at, from a random place on.
const WINDOW: usize = 64;
/// Part of the slots that prefixes leave free: one in this many.
const HEADROOM: u32 = 16;
/// Seed of the ring's hash; all nodes must agree on it.
const RING_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Load of a server as one node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight from all nodes, as last reported.
    pub reported: u32,
    /// This node's requests in flight when that report came.
    pub in_flight_at_report: u32,
    /// This node's requests in flight now.
    pub in_flight: u32,
    /// Whether a suspect request runs there alone.
    pub reserved: bool,
}

impl Load {
    /// Returns the requests in flight if all nodes sent as many as this one since the report.
    ///
    /// Requests with the same prefix come to all nodes alike, so this holds for a prefix's server.
    fn projection(self, nodes: u32) -> u32 {
        let sent = self.in_flight.saturating_sub(self.in_flight_at_report);
        self.reported.saturating_add(sent.saturating_mul(nodes))
    }

    /// Returns the requests that are probably in flight now.
    ///
    /// What this node sent or finished since the report is added to it.
    #[must_use]
    pub fn estimate(self) -> u32 {
        let change = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let sum = i64::from(self.reported) + change;
        u32::try_from(sum).unwrap_or(0).max(self.in_flight)
    }
}

/// Reads the load of servers.
pub trait Loads {
    /// Gets the load of a server.
    fn load(&self, server: Server) -> Load;
}

/// What a choice weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Nodes that send to the same servers.
    pub nodes: u32,
    /// Requests that a server runs at once; more than these wait there.
    pub slots: u32,
    /// Longer queue that a cached prefix is worth, in requests.
    pub prefix_slack: u32,
    /// Shorter queue that another availability zone must offer, in requests.
    pub spill_margin: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 1,
            slots: 256,
            prefix_slack: 4,
            spill_margin: 8,
        }
    }
}

/// A server that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, the same at all nodes.
    pub name: CompactString,
    /// Whether it is in the node's own availability zone.
    pub local: bool,
    /// Whether it is left out as a straggler.
    pub ejected: bool,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Servers that must not be chosen.
    pub avoid: &'a [Server],
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Criterion {
    /// It probably caches the prefix, and its queue is short enough.
    Prefix,
    /// It was the less loaded of two.
    LessLoaded,
    /// The own availability zone is short of capacity.
    Spill,
    /// It was the only one left.
    Last,
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// Why it was chosen.
    pub criterion: Criterion,
    /// Its probable load.
    pub estimate: u32,
}

/// A server with its probable load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Weighed {
    server: Server,
    estimate: u32,
    projection: u32,
    in_flight: u32,
    others: u32,
}

impl Weighed {
    fn by(self, way: Criterion) -> Choice {
        Choice {
            server: self.server,
            criterion: way,
            estimate: self.estimate,
        }
    }
}

/// Two servers drawn at random among those to which this node sent least.
#[derive(Default)]
struct Pair {
    drawn: Option<(Server, Server)>,
    least: u32,
    count: usize,
}

impl Pair {
    fn offer(&mut self, server: Server, in_flight: u32, random: &mut fastrand::Rng) {
        let Some((first, second)) = &mut self.drawn else {
            *self = Pair::of(server, in_flight);
            return;
        };
        if in_flight < self.least {
            *self = Pair::of(server, in_flight);
            return;
        }
        if in_flight > self.least {
            return;
        }
        // Each of the servers seen so far stays with the same probability.
        self.count += 1;
        if random.usize(..self.count) == 0 {
            *first = server;
        }
        if random.usize(..self.count) == 0 {
            *second = server;
        }
    }

    fn of(server: Server, in_flight: u32) -> Self {
        Pair {
            drawn: Some((server, server)),
            least: in_flight,
            count: 1,
        }
    }
}

/// What one choice sees.
#[derive(Clone, Copy)]
struct Scene<'a> {
    ask: Query<'a>,
    loads: &'a dyn Loads,
    options: &'a Options,
}

impl Scene<'_> {
    fn weigh(&self, server: Server) -> Weighed {
        let load = self.loads.load(server);
        Weighed {
            server,
            estimate: load.estimate(),
            projection: load.projection(self.options.nodes),
            in_flight: load.in_flight,
            others: load.reported.saturating_sub(load.in_flight_at_report),
        }
    }

    fn is_allowed(&self, server: Server) -> bool {
        !self.ask.avoid.contains(&server)
    }

    fn is_free(&self, server: Server) -> bool {
        self.is_allowed(server) && !self.loads.load(server).reserved
    }

    /// Returns a server to which this node sent least, and of two such the less loaded one.
    fn lesser(&self, servers: &[Server], random: &mut fastrand::Rng) -> Option<Weighed> {
        if servers.is_empty() {
            return None;
        }
        let start = random.usize(..servers.len());
        let around = servers[start..].iter().chain(&servers[..start]).copied();
        let mut pair = Pair::default();
        for server in around.clone().take(WINDOW) {
            if self.is_free(server) {
                pair.offer(server, self.loads.load(server).in_flight, random);
            }
        }
        if let Some((first, second)) = pair.drawn {
            let (first, second) = (self.weigh(first), self.weigh(second));
            return Some(if second.others < first.others {
                second
            } else {
                first
            });
        }
        // A server outside the window or a reserved one is better than none.
        around
            .clone()
            .find(|server| self.is_free(*server))
            .or_else(|| around.clone().find(|server| self.is_allowed(*server)))
            .map(|server| self.weigh(server))
    }

    /// Returns whether a cached prefix is worth the longer queue.
    fn is_worth(&self, home: Weighed, near: Weighed) -> bool {
        // Some slots stay free for what other nodes sent since the last report.
        let room = self.options.slots - self.options.slots / HEADROOM;
        home.in_flight <= near.in_flight.saturating_add(self.options.prefix_slack)
            && home.projection < room
    }
}

/// The servers of one model or plain service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    local: Vec<Server>,
    remote: Vec<Server>,
    /// Points of the local servers, in the order of their hashes.
    ring: Vec<(u64, Server)>,
}

impl Pool {
    /// Creates a pool; servers are numbered in the order of the members.
    ///
    /// Ejected members are left out, unless all members of their part are ejected.
    #[must_use]
    pub fn new(members: &[Member]) -> Self {
        let local = part(members, true);
        let remote = part(members, false);
        let mut ring: Vec<(u64, Server)> = local
            .iter()
            .flat_map(|server| {
                let name = &members[server.index()].name;
                (0..POINTS).map(|point| (point_of(name, point), *server))
            })
            .collect();
        ring.sort_unstable();
        Pool {
            local,
            remote,
            ring,
        }
    }

    /// Chooses a server, or returns `None` if none is left.
    #[must_use]
    pub fn choose(
        &self,
        ask: Query<'_>,
        loads: &dyn Loads,
        options: &Options,
        random: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let scene = Scene {
            ask,
            loads,
            options,
        };
        let Some(near) = scene.lesser(&self.local, random) else {
            let far = scene.lesser(&self.remote, random)?;
            return Some(far.by(Criterion::Spill));
        };
        if let Some(home) = self.home(&scene)
            && scene.is_worth(home, near)
        {
            return Some(home.by(Criterion::Prefix));
        }
        if near.estimate < options.slots {
            return Some(near.by(Criterion::LessLoaded));
        }
        match scene.lesser(&self.remote, random) {
            Some(far) if far.estimate.saturating_add(options.spill_margin) < near.estimate => {
                Some(far.by(Criterion::Spill))
            }
            _ => Some(near.by(Criterion::LessLoaded)),
        }
    }

    /// Chooses the least loaded server, for a request that must run alone.
    #[must_use]
    pub fn choose_least_loaded(&self, ask: Query<'_>, loads: &dyn Loads) -> Option<Choice> {
        let options = &Options::default();
        let scene = Scene {
            ask,
            loads,
            options,
        };
        self.local
            .iter()
            .chain(&self.remote)
            .filter(|server| scene.is_allowed(**server))
            .map(|server| scene.weigh(*server))
            .min_by_key(|weighed| (loads.load(weighed.server).reserved, weighed.estimate))
            .map(|weighed| weighed.by(Criterion::Last))
    }

    /// Returns the number of servers in the own availability zone.
    #[must_use]
    pub fn local_len(&self) -> usize {
        self.local.len()
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Returns whether there is no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the server that the ring gives a prefix.
    fn home(&self, scene: &Scene<'_>) -> Option<Weighed> {
        let prefix = scene.ask.prefix?;
        let start = self.ring.partition_point(|(point, _)| *point < prefix);
        let (after, before) = (self.ring.iter().skip(start), self.ring.iter().take(start));
        let (_, server) = after
            .chain(before)
            .find(|(_, server)| scene.is_allowed(*server))?;
        scene.is_free(*server).then(|| scene.weigh(*server))
    }
}

/// Returns the hash of a prompt's prefix.
#[must_use]
pub fn prefix_hash(prefix: &[u8]) -> u64 {
    hash(prefix, RING_SEED)
}

fn part(members: &[Member], local: bool) -> Vec<Server> {
    let all = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.local == local)
        .map(|(index, member)| (Server::from_index(index), member.ejected));
    let kept: Vec<Server> = all
        .clone()
        .filter(|(_, ejected)| !ejected)
        .map(|(server, _)| server)
        .collect();
    if kept.is_empty() {
        return all.map(|(server, _)| server).collect();
    }
    kept
}

fn point_of(name: &str, point: u64) -> u64 {
    hash(
        name.as_bytes(),
        RING_SEED.wrapping_add(point.wrapping_mul(RING_SEED)),
    )
}

/// FNV-1a with a final mix, which is stable over builds and nodes.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
