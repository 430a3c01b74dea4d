//! Placement policies under replay.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_policy::plan::{Candidate, Context, FlapHistory, Input, Options, order, propose_with};

/// State of a zone that a policy decides on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    /// Placement in force.
    pub(crate) placement: &'a Placement,
    /// Catalogue in force.
    pub(crate) catalog: &'a Catalog,
    /// VMs of the zone.
    pub(crate) vms: &'a [Candidate],
    /// Groups that have finished draining since the last proposal.
    pub(crate) drained: &'a [CompactString],
    /// Groups that serve.
    pub(crate) serving: &'a BTreeSet<CompactString>,
    /// Current time.
    pub(crate) now: Instant,
}

/// Decides on placements.
pub(crate) trait Policy {
    /// Records the health of the VMs.
    fn observe(&mut self, vms: &[Candidate], now: Instant);

    /// Returns a changed placement, or `None` if the one in force is to stay.
    fn propose(&mut self, view: &View<'_>) -> Option<Placement>;

    /// Returns the names of the groups in the order in which they are to load.
    fn load_order(&self, view: &View<'_>) -> Vec<CompactString>;
}

/// The planner of the policy crate.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    options: Options,
    flaps: FlapHistory,
}

impl Planner {
    /// Creates a planner.
    pub(crate) fn new(options: Options) -> Self {
        Planner {
            options,
            flaps: FlapHistory::default(),
        }
    }
}

impl Policy for Planner {
    fn observe(&mut self, vms: &[Candidate], now: Instant) {
        self.flaps.observe(vms, now);
    }

    fn propose(&mut self, view: &View<'_>) -> Option<Placement> {
        let input = Input {
            placement: view.placement,
            catalog: view.catalog,
            vms: view.vms,
            drained: view.drained,
            now: view.now,
        };
        let context = Context {
            options: self.options,
            flaps: Some(&self.flaps),
            serving: Some(view.serving),
        };
        propose_with(&input, &context).map(|proposal| proposal.placement)
    }

    fn load_order(&self, view: &View<'_>) -> Vec<CompactString> {
        order::load_order(view.placement, view.catalog, view.serving, &BTreeMap::new())
    }
}
