//! Values that this node hands out to others.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::Placement;
use jackdaw_core::units::Revision;

/// A value that a node may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A catalogue of at least this revision.
    Catalog(Revision),
    /// The placement of an availability zone.
    Placement(CompactString),
}

#[derive(Clone, Debug, Default)]
struct Values {
    catalog: Arc<Catalog>,
    placements: BTreeMap<CompactString, Arc<Placement>>,
}

/// Holds the values in force; the control thread writes, the transport reads.
#[derive(Debug, Default)]
pub struct Shelf {
    values: ArcSwap<Values>,
}

impl Shelf {
    /// Sets the catalogue in force.
    pub fn set_catalog(&self, catalog: &Arc<Catalog>) {
        self.values.rcu(|values| Values {
            catalog: Arc::clone(catalog),
            placements: values.placements.clone(),
        });
    }

    /// Sets the placement of an availability zone.
    pub fn set_placement(&self, placement: &Arc<Placement>) {
        self.values.rcu(|values| {
            let mut placements = values.placements.clone();
            placements.insert(placement.zone.clone(), Arc::clone(placement));
            Values {
                catalog: Arc::clone(&values.catalog),
                placements,
            }
        });
    }

    /// Returns a value as JSON, if it is held.
    #[must_use]
    pub fn json(&self, what: &What) -> Option<Vec<u8>> {
        let values = self.values.load();
        match what {
            What::Catalog(least) if values.catalog.revision < *least => None,
            What::Catalog(_) => serde_json::to_vec(values.catalog.as_ref()).ok(),
            What::Placement(zone) => {
                let placement = values.placements.get(zone)?;
                serde_json::to_vec(placement.as_ref()).ok()
            }
        }
    }
}
