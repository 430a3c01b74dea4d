//! Resources that other nodes can fetch from this node.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::placement::Placement;
use jackdaw_core::units::Revision;

/// A resource that a node may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resource {
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

/// Holds the resources in force; the control thread writes and the transport reads.
#[derive(Debug, Default)]
pub struct Repository {
    values: ArcSwap<Values>,
}

impl Repository {
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

    /// Encodes a resource as JSON, or returns `None` if it is not held.
    #[must_use]
    pub fn to_json(&self, resource: &Resource) -> Option<Vec<u8>> {
        let values = self.values.load();
        match resource {
            Resource::Catalog(min_revision) if values.catalog.revision < *min_revision => None,
            Resource::Catalog(_) => serde_json::to_vec(values.catalog.as_ref()).ok(),
            Resource::Placement(zone) => {
                let placement = values.placements.get(zone)?;
                serde_json::to_vec(placement.as_ref()).ok()
            }
        }
    }
}
