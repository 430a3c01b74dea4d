//! What a node knew of servers before the store came back from a copy, whose entries are older.

use std::collections::HashMap;

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::fleet::Fleet;

/// Age up to which the end of a server is remembered; copies are some seconds old.
const END_MEMORY: Millis = Millis::from_secs(120);
/// Time after the store came back in which the entry of a server that had ended is taken for one of the
/// copy; it lapses within that time unless the server lives.
const COPY_LAPSE_TIME: Millis = Millis::from_secs(10);

/// Servers by name, each with the start of the incarnation in Unix milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    /// Incarnations that were draining before the store came back; none of them serves again.
    draining: HashMap<CompactString, u64>,
    /// Incarnations whose registrations have ended, with the times.
    ended: HashMap<CompactString, (u64, Instant)>,
    /// Incarnations that had ended before the store came back.
    ended_before: HashMap<CompactString, u64>,
    /// Time at which the entries of the copy have lapsed, unless their servers live.
    copy_lapses_at: Instant,
}

impl Memory {
    /// Records that a server's registration has ended.
    pub(crate) fn record_end(&mut self, server: &Server, now: Instant) {
        let end = (server.start_unix_ms, now);
        self.ended.insert(server.id.clone(), end);
        self.ended
            .retain(|_, (_, ended_at)| now.since(*ended_at) < END_MEMORY);
    }

    /// Records that a server is registered, or has itself written its registration.
    pub(crate) fn record_registration(&mut self, server: &Server, is_own_write: bool) {
        self.ended.remove(&server.id);
        if is_own_write {
            self.ended_before.remove(&server.id);
        }
    }

    /// Remembers the state of the servers, since the copy's entries may be older.
    pub(crate) fn begin_era(&mut self, fleet: &Fleet, now: Instant) {
        let draining = fleet.servers().filter(|server| server.draining);
        self.draining
            .extend(draining.map(|server| (server.id.clone(), server.start_unix_ms)));
        let ended = std::mem::take(&mut self.ended).into_iter();
        let recent = ended.filter(|(_, (_, ended_at))| now.since(*ended_at) < END_MEMORY);
        self.ended_before
            .extend(recent.map(|(id, (start, _))| (id, start)));
        self.copy_lapses_at = now + COPY_LAPSE_TIME;
    }

    /// Returns whether an incarnation was draining, whatever its entry says now.
    pub(crate) fn is_draining(&self, server: &Server) -> bool {
        self.draining.get(&server.id) == Some(&server.start_unix_ms)
    }

    /// Returns whether an incarnation had ended, so that its entry is one of the copy.
    pub(crate) fn has_ended(&self, server: &Server) -> bool {
        self.ended_before.get(&server.id) == Some(&server.start_unix_ms)
    }

    /// Returns the servers whose entries have not lapsed although they were taken for the copy's.
    pub(crate) fn take_living(&mut self, now: Instant) -> Vec<CompactString> {
        if self.ended_before.is_empty() || now < self.copy_lapses_at {
            return Vec::new();
        }
        let living = std::mem::take(&mut self.ended_before);
        living.into_keys().collect()
    }
}
