//! The availability zones that operators have evacuated, as one node knows them.
//!
//! Nodes read the set from the store and tell each other. A set is that of the store at a revision, so of
//! two sets the one with the higher revision is in force. Revisions carry the store's era in their upper
//! bits: a set that was read after the store came back from a copy wins over all earlier ones.

use std::collections::BTreeSet;

use compact_str::CompactString;

/// Largest number of zones that nodes tell each other; bounds the size of their datagrams.
pub const MAX_ZONES: usize = 16;
/// Longest name of a zone in bytes; bounds the size of the datagrams.
pub const MAX_NAME: usize = 64;

/// Returns whether a name can be that of a zone.
#[must_use]
pub fn is_zone_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME && !name.contains('/')
}

/// The evacuated zones and the revision of the store at which they were last known to have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeSet<CompactString>,
    revision: u64,
    has_known_any: bool,
}

impl Evacuations {
    /// Replaces the set by all zones that the store holds at a revision, and returns whether the set
    /// changed.
    pub fn replace(
        &mut self,
        zones: impl IntoIterator<Item = CompactString>,
        revision: u64,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let zones: BTreeSet<CompactString> = zones.into_iter().collect();
        let has_changed = self.zones != zones;
        self.has_known_any |= !zones.is_empty();
        self.zones = zones;
        self.revision = revision;
        has_changed
    }

    /// Adds a zone whose key was written at a revision, and returns whether the set changed.
    ///
    /// One transaction may write several keys, so changes at the revision of the set count as well.
    pub fn put(&mut self, zone: &str, revision: u64) -> bool {
        self.reach(revision) && self.zones.insert(zone.into())
    }

    /// Removes a zone whose key was removed at a revision, and returns whether the set changed.
    pub fn remove(&mut self, zone: &str, revision: u64) -> bool {
        self.reach(revision) && self.zones.remove(zone)
    }

    /// Takes the revision of a change in the store, and returns whether the change is not older than the set.
    fn reach(&mut self, revision: u64) -> bool {
        self.advance(revision) || revision == self.revision
    }

    /// Takes over the set that another node knows as of a revision if that is higher, and returns whether
    /// the set changed.
    pub fn merge(&mut self, zones: impl IntoIterator<Item = CompactString>, revision: u64) -> bool {
        if !self.advance(revision) {
            return false;
        }
        let zones: BTreeSet<CompactString> = zones.into_iter().collect();
        let has_changed = self.zones != zones;
        self.zones = zones;
        has_changed
    }

    /// Takes a revision if it is higher than the one known, and returns whether it is.
    fn advance(&mut self, revision: u64) -> bool {
        let is_newer = revision > self.revision;
        if is_newer {
            self.revision = revision;
            self.has_known_any = true;
        }
        is_newer
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        !self.zones.is_empty() && self.zones.contains(zone)
    }

    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &CompactString> {
        self.zones.iter()
    }

    /// Returns the revision of the set.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether any evacuation has been known since the start, so that other nodes may have to
    /// hear of its end.
    #[must_use]
    pub fn has_known_any(&self) -> bool {
        self.has_known_any
    }
}
