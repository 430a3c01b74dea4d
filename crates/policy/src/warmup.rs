//! Knows which servers are cold, and how many requests each node that decides on them may grant.
//!
//! A server that is cold bears few requests. It says for how long in its registrations, which reach
//! the nodes at different times. The requests to it are granted by the same nodes as those to servers
//! with limits (see [`crate::throttle`]), but its bound holds also while the nodes do not reach each
//! other. So it is divided in advance: the parts of all nodes that may grant at a time make up no more
//! than the bound, whatever these nodes know of each other.

use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};

use crate::throttle::ServerId;

/// Time between the first and the last arrival at a server of requests that are granted at once: up to
/// 100 ms for the answer to a question, 50 ms for the way to the server, and the clock's resolution.
pub const ARRIVAL_SPREAD: Millis = Millis(160);
/// Part of the bound that is set aside for each node that grants a share: the standby, and a node that
/// takes a server over while not all others know of it.
const SHARED_PART: f64 = 0.1;
/// Number of nodes that may grant a share beside the keeper.
const SHARES: f64 = 2.0;
/// Part of the sustained rate that a share allows at most, as for servers with limits.
const MAX_SHARE: f64 = 0.4;
/// Part of the sustained rate that the keeper's part allows at least, if need be at the cost of the
/// shares: 0.8 are required.
const MIN_USED: f64 = 0.85;
/// Seconds of the sustained rate that may be granted at once, if the bound has room for it; questions
/// of several nodes arrive together.
const BURST_SECONDS: f64 = 0.25;
/// Difference by which the end of a warm-up moves later before the other nodes are told; heartbeats are
/// read up to a quarter of a second late.
const LATER_TOLERANCE: Millis = Millis(300);
/// Difference by which it moves earlier. The nodes limit a warm server meanwhile, which does no harm.
const EARLIER_TOLERANCE: Millis = Millis(1_000);

/// Which part of a cold server's bound a node may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The keeper's.
    Main,
    /// That of the standby, or of a node that may not be the only keeper.
    Share,
}

/// Token bucket from which requests to a cold server are granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests granted in a second.
    pub per_second: f64,
    /// Requests granted at once; nothing is granted if this is less than one.
    pub burst: f64,
}

impl Allowance {
    /// Returns what a node with a part may grant so that no more requests than the bound arrive in any
    /// one second.
    ///
    /// Requests that arrive in one second were granted in that second and the spread before it, so a
    /// bucket contributes its burst and what it gains in that time.
    #[must_use]
    pub fn new(rate: Rate, bound: f64, part: Part) -> Self {
        let span = 1.0 + ARRIVAL_SPREAD.0 as f64 / 1_000.0;
        let sustained = rate.per_second();
        let needed = 1.0 + MIN_USED * sustained * span;
        let main = (bound * (1.0 - SHARES * SHARED_PART)).max(needed.min(bound));
        let (room, max_per_second) = match part {
            Part::Main => (main, sustained),
            Part::Share => ((bound - main) / SHARES, sustained * MAX_SHARE),
        };
        let per_second = max_per_second.min((room - 1.0) / span).max(0.0);
        let max_burst = 1.0 + sustained * BURST_SECONDS;
        // Rounding must not leave a burst that is slightly less than one request.
        let min_burst = if room >= 1.0 { 1.0 } else { 0.0 };
        Allowance {
            per_second,
            burst: (room - per_second * span).clamp(min_burst, max_burst),
        }
    }
}

/// Effect of a registration on what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server is cold for a time.
    Cold(Millis),
    /// The server is cold for another time than was known.
    Moved(Millis),
    /// The server is warm.
    Warm,
}

/// A server that is cold or was so lately.
#[derive(Clone, Debug)]
struct Entry {
    server: ServerId,
    until: Instant,
}

/// The servers that are cold, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct Warmups {
    /// Sustained rates of cold servers by service; services without one are not limited.
    rates: HashMap<CompactString, Rate>,
    /// Cold servers by name.
    entries: HashMap<CompactString, Entry>,
    /// Times until which servers are cold, with the rates of their services.
    cold: HashMap<ServerId, (CompactString, Instant)>,
    /// Revisions of the registrations that were read last; the same one may be read again much later.
    revisions: HashMap<CompactString, u64>,
}

impl Warmups {
    /// Replaces the sustained rates of the services.
    pub fn set_rates(&mut self, rates: HashMap<CompactString, Rate>) {
        self.rates = rates;
    }

    /// Returns whether no server is cold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty()
    }

    /// Returns the requests in a second that a server can sustain, if it is cold and its service states
    /// them.
    #[must_use]
    pub fn rate(&self, server: ServerId, now: Instant) -> Option<Rate> {
        let (service, until) = self.cold.get(&server)?;
        if now >= *until {
            return None;
        }
        self.rates.get(service).copied()
    }

    /// Records a registration that was written at a revision, and returns the change if it is worth
    /// telling other nodes.
    pub fn record(&mut self, server: &Server, revision: u64, now: Instant) -> Option<Change> {
        let known = self.revisions.get(&server.id).copied();
        if known.is_some_and(|known| revision <= known) {
            return None;
        }
        self.revisions.insert(server.id.clone(), revision);
        let id = ServerId::new(&server.id, server.start_unix_ms);
        let before = self.entries.remove(&server.id);
        if let Some(before) = &before {
            self.cold.remove(&before.server);
        }
        let left = server.warmup_left;
        if left == Millis(0) {
            return before.map(|_| Change::Warm);
        }
        let before = before.filter(|before| before.until > now);
        let until = now + left;
        let entry = Entry { server: id, until };
        self.entries.insert(server.id.clone(), entry);
        self.cold.insert(id, (server.service.clone(), until));
        match before {
            Some(before) if before.server == id => {
                let has_moved = until.since(before.until) > LATER_TOLERANCE
                    || before.until.since(until) > EARLIER_TOLERANCE;
                has_moved.then_some(Change::Moved(left))
            }
            Some(_) | None => Some(Change::Cold(left)),
        }
    }

    /// Forgets a server whose registration is gone.
    pub fn forget(&mut self, server: &str) {
        self.revisions.remove(server);
        if let Some(entry) = self.entries.remove(server) {
            self.cold.remove(&entry.server);
        }
    }

    /// Removes the servers whose time is over, and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<CompactString> {
        let mut warm = Vec::new();
        let cold = &mut self.cold;
        self.entries.retain(|name, entry| {
            let is_cold = now < entry.until;
            if !is_cold {
                cold.remove(&entry.server);
                warm.push(name.clone());
            }
            is_cold
        });
        warm
    }
}
