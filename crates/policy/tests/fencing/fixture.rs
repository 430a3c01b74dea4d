//! Catalogue and VM list of the simulation.

use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::units::Revision;

use crate::model::VMS;

/// Returns a catalogue of one model whose group spans two VMs.
pub(crate) fn catalog() -> Catalog {
    Catalog {
        revision: Revision(1),
        models: vec![Model {
            name: "m".into(),
            version: "1".into(),
            vms_per_replica: 2,
            replicas: 1,
            adapters: Vec::new(),
            zones: Vec::new(),
            priority: 0,
        }],
        ..Catalog::default()
    }
}

/// Returns the VM list.
pub(crate) fn vms() -> Vec<Vm> {
    let vm = |name: &str| Vm {
        name: name.into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "a".into(),
        domain: "d".into(),
        service: None,
        accelerators: 4,
        state: inventory::State::Live,
    };
    VMS.map(vm).to_vec()
}
