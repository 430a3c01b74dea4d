//! Decides what a node believes of the servers' registrations when entries lapse during an outage of
//! the store, or the store comes back from a copy whose entries are older.
//!
//! After an outage, servers whose entries lapsed register again within a short time and are kept until
//! then. After a copy the same holds for servers that the copy lacks; incarnations that were draining
//! stay so, and entries of incarnations that had ended are suspect until their servers write
//! themselves or the entries have had time to lapse.
//!
//! An entry that is read again says nothing new, so it does not replace what its server has reported
//! since, as servers do while the store is away.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use jackdaw_core::backend::{Membership, Server};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::fleet::Fleet;

/// Time in which a server whose entry lapsed during an outage of the store is expected to register
/// again.
const REREGISTRATION_TIME: Millis = Millis(1_900);
/// Time after an outage of the store in which lapses are attributed to it.
const OUTAGE_LAPSE_WINDOW: Millis = Millis(300);
/// Shortest outage of the store during which entries may lapse because of it.
const MIN_OUTAGE: Millis = Millis(1_000);
/// Time without news of a server that did not answer after which it is taken back, if the store has not
/// removed it; the leader that finds it unreachable says so about once a second.
const RETURN_TIME: Millis = Millis(1_500);
/// Age up to which the end of a server is remembered; copies are some seconds old.
const END_MEMORY: Millis = Millis::from_secs(120);
/// Time after the store came back in which the entry of a server that had ended is taken for one of the
/// copy; it lapses within that time unless the server lives.
const COPY_LAPSE_TIME: Millis = Millis::from_secs(10);

/// Where a registration was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Among all entries of the store, of which some may be a copy's.
    Snapshot {
        /// Revision at which the entry was written.
        revision: u64,
    },
    /// In a change that the server itself has written.
    Change {
        /// Revision of the change.
        revision: u64,
    },
}

/// Effect of a registration that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The server was not known.
    None,
    /// The server is suspect until it registers again or its time to do so is over.
    Suspected,
    /// The server is removed; holds its last state.
    Removed(Box<Server>),
}

/// What a node remembers of registrations beside the fleet that they make up.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Servers that are expected to register again, with the times at which they are removed.
    lapsed: HashMap<CompactString, Instant>,
    /// Time at which the last outage of the store ended.
    outage_ended_at: Option<Instant>,
    /// Latest incarnation of each server that is or was draining.
    seen_draining: Starts,
    /// Latest incarnation of each server that was draining before the store came back.
    draining: Starts,
    /// Incarnations whose registrations have ended, with the times.
    ended: HashMap<CompactString, (u64, Instant)>,
    /// Latest incarnation of each server that had ended before the store came back.
    ended_before: Starts,
    /// Time at which the entries of the copy have lapsed, unless their servers live.
    copy_lapses_at: Instant,
    /// Revisions of the entries that were applied last, since the store last came back from a copy.
    revisions: HashMap<CompactString, u64>,
    /// Memberships in entries that may be a copy's, with the times from which they count unless their
    /// servers write others.
    held: HashMap<CompactString, (Option<Membership>, Instant)>,
    /// Servers that were taken back without an answer, with the times from which they are trusted unless
    /// their entries lapse before.
    taken_back: HashMap<CompactString, Instant>,
}

/// Starts of incarnations in Unix milliseconds, by server.
type Starts = HashMap<CompactString, u64>;

/// Adds an incarnation unless a later one is known.
fn insert_latest(starts: &mut Starts, id: &CompactString, start: u64) {
    let latest = starts.entry(id.clone()).or_insert(start);
    *latest = start.max(*latest);
}

impl Registry {
    /// Records the end of an outage of the store.
    pub fn end_outage(&mut self, outage: Millis, now: Instant) {
        if outage >= MIN_OUTAGE {
            self.outage_ended_at = Some(now);
        }
    }

    /// Records that the store has come back from a copy, before the entries of the copy are applied.
    pub fn begin_era(&mut self, now: Instant) {
        self.outage_ended_at = Some(now);
        for until in self.lapsed.values_mut() {
            *until = now + REREGISTRATION_TIME;
        }
        for (id, start) in std::mem::take(&mut self.seen_draining) {
            insert_latest(&mut self.draining, &id, start);
        }
        for (id, (start, ended_at)) in std::mem::take(&mut self.ended) {
            if now.since(ended_at) < END_MEMORY {
                insert_latest(&mut self.ended_before, &id, start);
            }
        }
        self.copy_lapses_at = now + COPY_LAPSE_TIME;
        self.revisions.clear();
        self.held.clear();
    }

    /// Adds or updates a server and returns whether anything changed.
    ///
    /// What the server has reported since an entry was written outlives reading that entry again, and what
    /// is known of its group outlives a copy until the server has had time to write its entry.
    pub fn register(
        &mut self,
        fleet: &mut Fleet,
        mut server: Server,
        source: Source,
        now: Instant,
    ) -> bool {
        let id = server.id.clone();
        let start = server.start_unix_ms;
        let (is_snapshot, revision) = match source {
            Source::Snapshot { revision } => (true, revision),
            Source::Change { revision } => (false, revision),
        };
        let is_of_copy = is_snapshot && now < self.copy_lapses_at;
        let known = fleet.server(&id).or_else(|| fleet.unreachable(&id));
        if is_of_copy && known.is_some_and(|known| known.start_unix_ms > start) {
            // The entry of a later incarnation is lost and is written again if the server lives.
            if self.lapsed.contains_key(&id) {
                return false;
            }
            self.expect_registration(fleet, &id, now);
            return true;
        }
        let applied = self.revisions.insert(id.clone(), revision);
        let is_applied = is_snapshot && applied.is_some_and(|applied| revision <= applied);
        if let Some(known) = known.filter(|known| known.start_unix_ms == start) {
            if !is_applied && is_of_copy && known.membership != server.membership {
                let held = std::mem::take(&mut server.membership);
                self.held
                    .insert(id.clone(), (held, now + REREGISTRATION_TIME));
            }
            if is_applied || is_of_copy {
                server.membership.clone_from(&known.membership);
            }
        }
        if !is_snapshot {
            self.held.remove(&id);
        }
        if !is_of_copy {
            self.ended.remove(&id);
        }
        self.lapsed.remove(&id);
        self.taken_back.remove(&id);
        // A server that writes itself may have a clock that was set back; its own incarnation counts.
        let matches = |latest: Option<&u64>| match latest {
            Some(latest) if is_of_copy => start <= *latest,
            Some(latest) => start == *latest,
            None => false,
        };
        server.draining |= matches(self.draining.get(&id));
        if server.draining {
            insert_latest(&mut self.seen_draining, &id, start);
        }
        if !is_snapshot {
            self.ended_before.remove(&id);
        }
        let ended = self.ended.get(&id).map(|(start, _)| start);
        let has_ended = matches(self.ended_before.get(&id)) || matches(ended);
        let changed = fleet.register(server, now);
        if has_ended {
            fleet.mark_suspect(&id);
        }
        changed || has_ended
    }

    /// Suspects a server until it has had time to register again.
    fn expect_registration(&mut self, fleet: &mut Fleet, id: &str, now: Instant) {
        self.lapsed.insert(id.into(), now + REREGISTRATION_TIME);
        fleet.mark_suspect(id);
    }

    /// Returns the known servers that a snapshot lacks, without those that still have time to register
    /// again.
    #[must_use]
    pub fn missing(&self, fleet: &Fleet, listed: &HashSet<CompactString>) -> Vec<CompactString> {
        let is_missing =
            |id: &&CompactString| !listed.contains(*id) && !self.lapsed.contains_key(*id);
        let unreachable = fleet.unreachable_servers().map(|(server, _)| server);
        let ids = fleet.servers().chain(unreachable).map(|server| &server.id);
        ids.filter(is_missing).cloned().collect()
    }

    /// Removes a server whose entry is gone, or suspects it while it is expected to register again.
    pub fn remove(&mut self, fleet: &mut Fleet, id: &str, now: Instant) -> Removal {
        let was_draining = fleet.server(id).is_none_or(|server| server.draining);
        let is_outage_lapse = self
            .outage_ended_at
            .is_some_and(|ended_at| now.since(ended_at) < OUTAGE_LAPSE_WINDOW);
        if !was_draining && is_outage_lapse {
            self.expect_registration(fleet, id, now);
            return Removal::Suspected;
        }
        self.revisions.remove(id);
        self.held.remove(id);
        self.taken_back.remove(id);
        let removed = if self.lapsed.remove(id).is_some() {
            fleet.remove(id)
        } else {
            fleet.expire(id, now)
        };
        let Some(server) = removed else {
            return Removal::None;
        };
        self.ended
            .retain(|_, (_, ended_at)| now.since(*ended_at) < END_MEMORY);
        self.ended
            .insert(server.id.clone(), (server.start_unix_ms, now));
        Removal::Removed(Box::new(server))
    }

    /// Takes back, as suspects, the servers that were set aside as unreachable and that nobody has found
    /// so lately, and returns whether there are any.
    ///
    /// The store answers again, so it tells which of them are gone. A leader asks the servers of its own
    /// zone, `own_zone`, and takes them back itself once they answer.
    pub fn take_back(&mut self, fleet: &mut Fleet, own_zone: Option<&str>, now: Instant) -> bool {
        let due: Vec<CompactString> = fleet
            .unreachable_servers()
            .filter(|(server, at)| {
                own_zone != Some(server.zone.as_str()) && now.since(*at) >= RETURN_TIME
            })
            .map(|(server, _)| server.id.clone())
            .collect();
        for id in &due {
            fleet.take_back(id);
            fleet.mark_suspect(id);
            self.taken_back.insert(id.clone(), now + COPY_LAPSE_TIME);
        }
        !due.is_empty()
    }

    /// Returns the servers that have not registered again in time.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Vec<CompactString> {
        let overdue = self.lapsed.iter().filter(|(_, until)| **until <= now);
        overdue.map(|(id, _)| id.clone()).collect()
    }

    /// Trusts the servers whose entries were taken for the copy's but have not lapsed, and the memberships
    /// that their servers have not changed in time, and returns whether there are any.
    pub fn trust_living(&mut self, fleet: &mut Fleet, now: Instant) -> bool {
        let mut changed = self.apply_held(fleet, now);
        for (id, _) in self.taken_back.extract_if(|_, until| *until <= now) {
            if let Some(server) = fleet.server(&id).cloned() {
                changed |= fleet.register(server, now);
            }
        }
        if self.ended_before.is_empty() || now < self.copy_lapses_at {
            return changed;
        }
        for id in std::mem::take(&mut self.ended_before).into_keys() {
            if let Some(server) = fleet.server(&id).cloned() {
                changed |= fleet.register(server, now);
            }
        }
        changed
    }

    /// Applies the memberships whose servers have had time to write others, and returns whether that
    /// changed anything.
    fn apply_held(&mut self, fleet: &mut Fleet, now: Instant) -> bool {
        let is_due = |(_, until): &(Option<Membership>, Instant)| *until <= now;
        let mut changed = false;
        for (id, (membership, _)) in self.held.extract_if(|_, held| is_due(held)) {
            changed |= fleet.apply_report(&id, membership, now);
        }
        changed
    }
}
