//! Policies that a replay compares.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_policy::plan::{Candidate, Context, FlapHistory, Input, Options, order, propose_with};

/// What a policy sees.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    /// Placement in force.
    pub(crate) placement: &'a Placement,
    /// Catalogue in force.
    pub(crate) catalog: &'a Catalog,
    /// VMs of the zone.
    pub(crate) vms: &'a [Candidate],
    /// Groups that draining has emptied.
    pub(crate) drained: &'a [CompactString],
    /// Groups that serve.
    pub(crate) serving: &'a BTreeSet<CompactString>,
    /// Time.
    pub(crate) now: Instant,
}

/// Decides about placements.
pub(crate) trait Policy {
    /// Takes in the health of the VMs.
    fn observe(&mut self, vms: &[Candidate], now: Instant);

    /// Returns a changed placement.
    fn propose(&mut self, view: &View<'_>) -> Option<Placement>;

    /// Returns the groups in the order in which they load.
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
