//! Grants the requests of all nodes to the servers that a node keeps the limits of.

use std::collections::{BTreeMap, HashMap};

use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};

use super::{ServerId, TeamId};
use crate::warmup::{Allowance, Part};

/// Requests in a second that are granted at least, as a server that gets none cannot tell that it is
/// well again.
const MIN_PER_SECOND: f64 = 0.25;
/// Requests that a server may get at once beside what it takes in [`BURST_SECONDS`].
const MIN_BURST: f64 = 2.0;
/// Seconds of a limit that may be granted at once.
const BURST_SECONDS: f64 = 0.25;
/// Share of a limit that is granted while another node may grant the rest.
const SHARED: f64 = 0.4;
/// Time after the first request for which a node that may have taken a server over from another one
/// grants a share only.
const HANDOVER_TIME: Millis = Millis::from_secs(4);
/// Time after a change of the nodes in which servers may be taken over; the nodes learn of it one
/// after the other.
const CHANGE_TIME: Millis = Millis::from_secs(20);
/// Time for which requests of teams and refusals count; a window over which they are averaged.
const MEMORY: Millis = Millis(2_000);
/// Time without a request after which a server is forgotten.
const IDLE_TIME: Millis = Millis::from_secs(30);
/// Share of the burst that is held back from the least urgent requests.
const PRIORITY_RESERVE: f64 = 0.5;
/// Share of the burst that is held back from a team that got more than the others.
const TEAM_RESERVE: f64 = 0.4;
/// Share of the burst of a cold server that is held back from a request while more urgent ones are
/// refused.
const COLD_RESERVE: f64 = 0.8;
/// Number of refusals that are expected to lead to one more request.
const REFUSALS_PER_TURN: f64 = 4.0;
/// Longest time after which a node is told to ask again.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// A request for which a node asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Server that would get the request.
    pub server: ServerId,
    /// Limit of the server.
    pub rate: Rate,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller.
    pub team: TeamId,
}

/// Which part a node has in keeping a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// All nodes ask this one.
    Keeper,
    /// Another node may be asked as well.
    Standby,
}

/// Answer to a node that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent at once.
    Granted,
    /// The request may not be sent; asking again is useless for a time.
    Denied(Millis),
}

/// Requests of one team to one server.
#[derive(Clone, Copy, Debug, Default)]
struct Team {
    granted: f64,
    updated_at: Instant,
    denied_at: Option<Instant>,
}

impl Team {
    /// Returns the number of requests that were granted lately.
    fn granted(&self, now: Instant) -> f64 {
        self.granted * decay(now.since(self.updated_at))
    }
}

/// Returns the factor by which a count decreases in a time.
fn decay(elapsed: Millis) -> f64 {
    (-(elapsed.0 as f64) / MEMORY.0 as f64).exp()
}

/// Requests that a server may get.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    opened_at: Instant,
    updated_at: Instant,
    /// Number of refusals lately.
    denied: f64,
    teams: HashMap<TeamId, Team>,
    /// Times of the last refusals by priority.
    denied_at: BTreeMap<u8, Instant>,
}

impl Bucket {
    /// Creates a bucket with a level, which is at most the burst once it is refilled.
    fn new(level: f64, now: Instant) -> Self {
        Bucket {
            level,
            opened_at: now,
            updated_at: now,
            denied: 0.0,
            teams: HashMap::new(),
            denied_at: BTreeMap::new(),
        }
    }

    fn refill(&mut self, per_second: f64, burst: f64, now: Instant) {
        let elapsed = now.since(self.updated_at);
        self.level = (self.level + per_second * elapsed.0 as f64 / 1_000.0).min(burst);
        self.denied *= decay(elapsed);
        self.updated_at = now;
        self.teams
            .retain(|_, team| now.since(team.updated_at) < IDLE_TIME);
    }

    /// Returns whether a team got more than the mean of the teams that ask, while one that got less
    /// is refused.
    fn is_over_share(&self, team: TeamId, now: Instant) -> bool {
        let granted = |team: &Team| team.granted(now);
        let own = self.teams.get(&team).map_or(0.0, granted);
        let waiting = self.teams.iter().filter(|(other, state)| {
            let is_denied = state.denied_at.is_some_and(|at| now.since(at) < MEMORY);
            **other != team && is_denied && granted(state) < own
        });
        let is_other_waiting = waiting.count() > 0;
        let total: f64 = self.teams.values().map(granted).sum();
        is_other_waiting && own * self.teams.len() as f64 > total
    }

    fn record(&mut self, team: TeamId, is_granted: bool, now: Instant) {
        let state = self.teams.entry(team).or_default();
        state.granted = state.granted(now);
        state.updated_at = now;
        if is_granted {
            state.granted += 1.0;
            state.denied_at = None;
            self.level -= 1.0;
        } else {
            state.denied_at = Some(now);
            self.denied += 1.0;
        }
    }
}

/// The servers that other nodes ask this one for.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    buckets: HashMap<ServerId, Bucket>,
    /// Time of the last change of the nodes.
    nodes_changed_at: Instant,
}

impl Keeper {
    /// Records that a node has joined or left, so that servers change their keepers.
    pub fn record_node_change(&mut self, now: Instant) {
        self.nodes_changed_at = now;
    }

    /// Decides whether a request may be sent to a server.
    pub fn decide(&mut self, ask: &Ask, role: Role, now: Instant) -> Verdict {
        let is_changing = now.since(self.nodes_changed_at) < CHANGE_TIME;
        let bucket = self.bucket(ask.server, f64::INFINITY, now);
        let is_shared = match role {
            Role::Keeper => is_changing && now.since(bucket.opened_at) < HANDOVER_TIME,
            Role::Standby => true,
        };
        let limit = ask.rate.per_second().max(MIN_PER_SECOND);
        let per_second = if is_shared { limit * SHARED } else { limit };
        let allowance = Allowance {
            per_second,
            burst: MIN_BURST + per_second * BURST_SECONDS,
        };
        let rank = f64::from(ask.priority);
        let reserve = PRIORITY_RESERVE * rank / (rank + 2.0);
        bucket.decide(ask, allowance, reserve, now)
    }

    /// Decides whether a request may be sent to a cold server, which may get a number of requests in any
    /// one second from all nodes together.
    pub fn decide_cold(&mut self, ask: &Ask, bound: f64, part: Part, now: Instant) -> Verdict {
        // What the server got before it was cold is not known.
        let bucket = self.bucket(ask.server, 1.0, now);
        let reserve = match bucket.has_more_urgent(ask.priority, now) {
            true => COLD_RESERVE,
            false => 0.0,
        };
        bucket.decide(ask, Allowance::new(ask.rate, bound, part), reserve, now)
    }

    fn bucket(&mut self, server: ServerId, level: f64, now: Instant) -> &mut Bucket {
        if !self.buckets.contains_key(&server) {
            self.buckets
                .retain(|_, bucket| now.since(bucket.updated_at) < IDLE_TIME);
        }
        let bucket = self.buckets.entry(server);
        bucket.or_insert_with(|| Bucket::new(level, now))
    }
}

impl Bucket {
    /// Returns whether a more urgent request than those of a priority was refused lately.
    fn has_more_urgent(&self, priority: u8, now: Instant) -> bool {
        let mut denials = self.denied_at.range(..priority);
        denials.any(|(_, at)| now.since(*at) < MEMORY)
    }

    /// Decides whether a request is granted of which a share of the burst is held back.
    fn decide(
        &mut self,
        ask: &Ask,
        allowance: Allowance,
        mut reserve: f64,
        now: Instant,
    ) -> Verdict {
        let Allowance { per_second, burst } = allowance;
        self.refill(per_second, burst, now);
        if self.is_over_share(ask.team, now) {
            reserve += TEAM_RESERVE;
        }
        let needed = 1.0 + reserve.min(1.0) * (burst - 1.0).max(0.0);
        let is_granted = self.level >= needed;
        let missing = needed - self.level;
        self.record(ask.team, is_granted, now);
        if is_granted {
            return Verdict::Granted;
        }
        self.denied_at.insert(ask.priority, now);
        // Each of those that were refused lately is told a later time.
        let seconds = missing.max(self.denied / REFUSALS_PER_TURN) / per_second;
        let retry_after = Millis((seconds * 1_000.0).ceil() as u64);
        Verdict::Denied(retry_after.min(MAX_RETRY_AFTER))
    }
}
