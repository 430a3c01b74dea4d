//! Chooses a replica group or a backend server for a request.
//!
//! Two servers are drawn at random among those with the fewest requests in flight from this node,
//! and the less loaded of the two is chosen. A node knows its own count exactly, and the random
//! draw keeps nodes that see the same stale load report from all choosing the same server.
//!
//! A request goes to the server that probably caches the prefix of its prompt, unless the queue of
//! that server is longer by more than a cache miss would cost. Other availability zones are used
//! only when the local zone is short of capacity.

mod eject;

pub use eject::{Latency, Straggler, find_stragglers};

use compact_str::CompactString;
use jackdaw_core::key::{Key as _, Server};

/// Number of points of one server on the consistent-hash ring.
const POINTS_PER_SERVER: u64 = 8;
/// Number of servers that one choice examines, from a random start.
const CHOICE_WINDOW: usize = 64;
/// Divisor that gives the share of slots that requests routed by prefix leave free.
const HEADROOM_DIVISOR: u32 = 16;
/// Seed of the ring's hash, which must be the same on all nodes.
const RING_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Load of a server as known to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight from all nodes, as the server last reported.
    pub reported: u32,
    /// This node's requests in flight when the report arrived.
    pub in_flight_at_report: u32,
    /// This node's requests in flight now.
    pub in_flight: u32,
    /// Whether the server is reserved for a suspect request that runs alone.
    pub reserved: bool,
}

impl Load {
    /// Returns the requests in flight if every node has sent as many as this one since the report.
    ///
    /// This holds for the server of a prefix, because requests with the same prefix arrive evenly
    /// at all nodes.
    fn projection(self, nodes: u32) -> u32 {
        let sent = self.in_flight.saturating_sub(self.in_flight_at_report);
        self.reported.saturating_add(sent.saturating_mul(nodes))
    }

    /// Returns the estimated number of requests in flight.
    ///
    /// The report is adjusted by the requests that this node has sent or finished since.
    #[must_use]
    pub fn estimate(self) -> u32 {
        let change = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let sum = i64::from(self.reported) + change;
        u32::try_from(sum).unwrap_or(0).max(self.in_flight)
    }
}

/// Provides the load of each server.
pub trait Loads {
    /// Returns the load of a server.
    fn load(&self, server: Server) -> Load;
}

/// Parameters of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of nodes that send to the same servers.
    pub nodes: u32,
    /// Number of requests that a server runs concurrently; further requests wait at the server.
    pub slots: u32,
    /// Number of requests by which the queue of the server that caches the prefix may be longer.
    pub prefix_slack: u32,
    /// Number of requests by which the load in another availability zone must be lower.
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
    /// Name of the server, the same on all nodes.
    pub name: CompactString,
    /// Whether the server is in the node's own availability zone.
    pub local: bool,
    /// Whether the server is ejected as a straggler.
    pub ejected: bool,
}

/// Requirements of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of the prompt's prefix, if the request has one.
    pub prefix: Option<u64>,
    /// Servers that must not be chosen.
    pub avoid: &'a [Server],
}

/// Criterion by which a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Criterion {
    /// The server probably caches the prefix, and its queue is short enough.
    Prefix,
    /// The server was the less loaded of two.
    LessLoaded,
    /// The local availability zone is short of capacity.
    Spill,
    /// The server was the least loaded, for a request that runs alone.
    LeastLoaded,
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Chosen server.
    pub server: Server,
    /// Criterion by which the server was chosen.
    pub criterion: Criterion,
    /// Estimated number of requests in flight at the server.
    pub estimate: u32,
}

/// A server with its estimated load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    server: Server,
    estimate: u32,
    projection: u32,
    in_flight: u32,
    from_others: u32,
}

impl Candidate {
    fn chosen_by(self, criterion: Criterion) -> Choice {
        Choice {
            server: self.server,
            criterion,
            estimate: self.estimate,
        }
    }
}

/// Two servers drawn at random among those with the fewest requests in flight from this node.
#[derive(Default)]
struct RandomPair {
    servers: Option<(Server, Server)>,
    fewest: u32,
    count: usize,
}

impl RandomPair {
    fn offer(&mut self, server: Server, in_flight: u32, random: &mut fastrand::Rng) {
        let Some((first, second)) = &mut self.servers else {
            *self = RandomPair::of(server, in_flight);
            return;
        };
        if in_flight < self.fewest {
            *self = RandomPair::of(server, in_flight);
            return;
        }
        if in_flight > self.fewest {
            return;
        }
        // Reservoir sampling: each server offered so far is kept with the same probability.
        self.count += 1;
        if random.usize(..self.count) == 0 {
            *first = server;
        }
        if random.usize(..self.count) == 0 {
            *second = server;
        }
    }

    fn of(server: Server, in_flight: u32) -> Self {
        RandomPair {
            servers: Some((server, server)),
            fewest: in_flight,
            count: 1,
        }
    }
}

/// Inputs of one choice.
#[derive(Clone, Copy)]
struct Context<'a> {
    query: Query<'a>,
    loads: &'a dyn Loads,
    options: &'a Options,
}

impl Context<'_> {
    fn candidate(&self, server: Server) -> Candidate {
        let load = self.loads.load(server);
        Candidate {
            server,
            estimate: load.estimate(),
            projection: load.projection(self.options.nodes),
            in_flight: load.in_flight,
            from_others: load.reported.saturating_sub(load.in_flight_at_report),
        }
    }

    fn is_allowed(&self, server: Server) -> bool {
        !self.query.avoid.contains(&server)
    }

    fn is_available(&self, server: Server) -> bool {
        self.is_allowed(server) && !self.loads.load(server).reserved
    }

    /// Returns the less loaded of two servers with the fewest requests in flight from this node.
    fn less_loaded(&self, servers: &[Server], random: &mut fastrand::Rng) -> Option<Candidate> {
        if servers.is_empty() {
            return None;
        }
        let start = random.usize(..servers.len());
        let rotated = servers[start..].iter().chain(&servers[..start]).copied();
        let mut pair = RandomPair::default();
        for server in rotated.clone().take(CHOICE_WINDOW) {
            if self.is_available(server) {
                pair.offer(server, self.loads.load(server).in_flight, random);
            }
        }
        if let Some((first, second)) = pair.servers {
            let (first, second) = (self.candidate(first), self.candidate(second));
            return Some(if second.from_others < first.from_others {
                second
            } else {
                first
            });
        }
        // A server outside the window or a reserved server is better than none.
        rotated
            .clone()
            .find(|server| self.is_available(*server))
            .or_else(|| rotated.clone().find(|server| self.is_allowed(*server)))
            .map(|server| self.candidate(server))
    }

    /// Returns whether the cached prefix outweighs the longer queue of its server.
    fn is_prefix_worth_queueing(&self, cached: Candidate, local: Candidate) -> bool {
        // Some slots stay free for requests that other nodes have sent since the last report.
        let usable_slots = self.options.slots - self.options.slots / HEADROOM_DIVISOR;
        cached.in_flight <= local.in_flight.saturating_add(self.options.prefix_slack)
            && cached.projection < usable_slots
    }
}

/// The servers of one model or plain service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    local: Vec<Server>,
    remote: Vec<Server>,
    /// Points of the local servers on the consistent-hash ring, sorted by hash.
    ring: Vec<(u64, Server)>,
}

impl Pool {
    /// Creates a pool; servers are numbered in the order of the members.
    ///
    /// Ejected members are excluded, unless all local or all remote members are ejected.
    #[must_use]
    pub fn new(members: &[Member]) -> Self {
        let local = active_servers(members, true);
        let remote = active_servers(members, false);
        let mut ring: Vec<(u64, Server)> = local
            .iter()
            .flat_map(|server| {
                let name = &members[server.index()].name;
                (0..POINTS_PER_SERVER).map(|point| (ring_point(name, point), *server))
            })
            .collect();
        ring.sort_unstable();
        Pool {
            local,
            remote,
            ring,
        }
    }

    /// Chooses a server, or returns `None` if every server is to be avoided.
    #[must_use]
    pub fn choose(
        &self,
        query: Query<'_>,
        loads: &dyn Loads,
        options: &Options,
        random: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let context = Context {
            query,
            loads,
            options,
        };
        let Some(local) = context.less_loaded(&self.local, random) else {
            let remote = context.less_loaded(&self.remote, random)?;
            return Some(remote.chosen_by(Criterion::Spill));
        };
        if let Some(cached) = self.prefix_server(&context)
            && context.is_prefix_worth_queueing(cached, local)
        {
            return Some(cached.chosen_by(Criterion::Prefix));
        }
        if local.estimate < options.slots {
            return Some(local.chosen_by(Criterion::LessLoaded));
        }
        match context.less_loaded(&self.remote, random) {
            Some(remote)
                if remote.estimate.saturating_add(options.spill_margin) < local.estimate =>
            {
                Some(remote.chosen_by(Criterion::Spill))
            }
            _ => Some(local.chosen_by(Criterion::LessLoaded)),
        }
    }

    /// Chooses the least loaded server, for a request that must run alone.
    #[must_use]
    pub fn choose_least_loaded(&self, query: Query<'_>, loads: &dyn Loads) -> Option<Choice> {
        let options = &Options::default();
        let context = Context {
            query,
            loads,
            options,
        };
        self.local
            .iter()
            .chain(&self.remote)
            .filter(|server| context.is_allowed(**server))
            .map(|server| context.candidate(*server))
            .min_by_key(|candidate| (loads.load(candidate.server).reserved, candidate.estimate))
            .map(|candidate| candidate.chosen_by(Criterion::LeastLoaded))
    }

    /// Returns the number of servers in the local availability zone.
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

    /// Returns the server to which the ring assigns the prefix, unless that server is reserved.
    fn prefix_server(&self, context: &Context<'_>) -> Option<Candidate> {
        let prefix = context.query.prefix?;
        let start = self.ring.partition_point(|(point, _)| *point < prefix);
        let (after, before) = (self.ring.iter().skip(start), self.ring.iter().take(start));
        let (_, server) = after
            .chain(before)
            .find(|(_, server)| context.is_allowed(*server))?;
        context
            .is_available(*server)
            .then(|| context.candidate(*server))
    }
}

/// Returns the hash of a prompt's prefix.
#[must_use]
pub fn prefix_hash(prefix: &[u8]) -> u64 {
    hash(prefix, RING_SEED)
}

fn active_servers(members: &[Member], local: bool) -> Vec<Server> {
    let all = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.local == local)
        .map(|(index, member)| (Server::from_index(index), member.ejected));
    let active: Vec<Server> = all
        .clone()
        .filter(|(_, ejected)| !ejected)
        .map(|(server, _)| server)
        .collect();
    if active.is_empty() {
        return all.map(|(server, _)| server).collect();
    }
    active
}

fn ring_point(name: &str, point: u64) -> u64 {
    hash(
        name.as_bytes(),
        RING_SEED.wrapping_add(point.wrapping_mul(RING_SEED)),
    )
}

/// Returns an FNV-1a hash with a final mix, which is stable across builds and nodes.
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
