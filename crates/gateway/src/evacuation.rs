//! What this node knows of zones that operators have evacuated, and how it tells the other nodes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use jackdaw_core::errors::Error;
use jackdaw_core::units::Millis;
use jackdaw_policy::evacuation::{self, MAX_ZONES, is_zone_name};
use opentelemetry::metrics::{Counter, Meter};
use prost::Message;
use slog::{debug, info};

use crate::node::Node;

/// Shortest delay after which a caller is asked to retry if all servers that could serve the request are
/// in evacuated zones. Operators evacuate zones for seconds to minutes.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
/// Longest such delay; callers that were refused together do not return together.
const MAX_RETRY_AFTER: Millis = Millis(3_000);

/// The evacuated zones that a node knows, in its datagrams.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Record {
    /// Revision of the set, with its era.
    #[prost(fixed64, tag = "1")]
    revision: u64,
    /// Names of the zones.
    #[prost(string, repeated, tag = "2")]
    zones: Vec<String>,
}

/// The evacuated zones.
pub(crate) struct Evacuations {
    set: RefCell<evacuation::Evacuations>,
    refusals: Counter<u64>,
}

impl fmt::Debug for Evacuations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Evacuations").finish_non_exhaustive()
    }
}

impl Evacuations {
    pub(crate) fn new(meter: &Meter) -> Self {
        Evacuations {
            set: RefCell::default(),
            refusals: meter
                .u64_counter("jackdawstair_evacuated_refusals")
                .with_description("Requests that only servers of evacuated zones could serve.")
                .build(),
        }
    }

    /// Returns whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.set.borrow().is_evacuated(zone)
    }

    /// Counts a request that is refused because of evacuations, and returns the delay after which its
    /// caller should retry.
    pub(crate) fn count_refusal(&self) -> Millis {
        self.refusals.add(1, &[]);
        Millis(fastrand::u64(MIN_RETRY_AFTER.0..=MAX_RETRY_AFTER.0))
    }
}

impl Node {
    /// Returns whether a zone is one of the deployment or has servers.
    fn is_zone_known(&self, zone: &str) -> bool {
        self.options.zone == zone
            || self.options.zones.iter().any(|known| known == zone)
            || self
                .fleet
                .borrow()
                .servers()
                .any(|server| server.zone == zone)
    }

    /// Checks the name of a zone in the key that evacuates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the name cannot be that of a zone, or no such zone is known.
    pub(crate) fn check_evacuation(&self, key: &str, zone: &str) -> Result<(), Error> {
        let reason = if !is_zone_name(zone) {
            "the key names no zone"
        } else if !self.is_zone_known(zone) {
            "the zone is not known"
        } else {
            return Ok(());
        };
        Err(Error::malformed("read evacuation", key, reason))
    }

    /// Changes the set of evacuated zones and logs what has changed.
    pub(crate) fn change_evacuations(
        &self,
        change: impl FnOnce(&mut evacuation::Evacuations) -> bool,
    ) {
        let mut set = self.evacuations.set.borrow_mut();
        let before: BTreeSet<CompactString> = set.zones().cloned().collect();
        if !change(&mut set) {
            return;
        }
        let after: BTreeSet<CompactString> = set.zones().cloned().collect();
        let revision = set.revision();
        drop(set);
        // Zones that are not known were told when their keys were read.
        let is_known = |zone: &&CompactString| self.is_zone_known(zone);
        for zone in after.difference(&before).filter(is_known) {
            info!(self.logger(), "zone is evacuated"; "zone" => %zone, "revision" => revision);
        }
        for zone in before.difference(&after).filter(is_known) {
            info!(self.logger(), "zone is not evacuated any more";
                "zone" => %zone, "revision" => revision);
        }
        self.state_changed.notify_waiters();
    }

    /// Returns what the other nodes are told of evacuations; none if there has never been one.
    ///
    /// Zones that are not known go last, so that they do not displace others if not all fit.
    pub(crate) fn evacuation_record(&self) -> Option<Record> {
        let set = self.evacuations.set.borrow();
        if !set.has_known_any() {
            return None;
        }
        let mut zones: Vec<&CompactString> = set.zones().collect();
        if zones.len() > MAX_ZONES {
            zones.sort_by_key(|zone| !self.is_zone_known(zone));
            zones.truncate(MAX_ZONES);
        }
        Some(Record {
            revision: set.revision(),
            zones: zones.into_iter().map(ToString::to_string).collect(),
        })
    }

    /// Takes over what another node tells of evacuations if it is newer.
    pub(crate) fn adopt_evacuations(&self, record: Record, peer: &str) {
        let has_names = record.zones.iter().all(|zone| is_zone_name(zone));
        if record.zones.len() > MAX_ZONES || !has_names {
            debug!(self.logger(), "evacuations in a datagram cannot be used"; "peer" => peer);
            return;
        }
        let zones = record.zones.into_iter().map(CompactString::from);
        self.change_evacuations(|set| set.merge(zones, record.revision));
    }
}
