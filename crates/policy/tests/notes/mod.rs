//! Sample notes and catalogues, and the proptest configuration, shared by several test files.

#![allow(dead_code, reason = "each test file uses its own part")]

use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::note::{Note, Section};
use jackdaw_core::units::Revision;
use jackdaw_policy::release::accept::StoredCatalog;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

pub(crate) fn model(name: &str) -> Model {
    Model {
        name: name.into(),
        version: "1".into(),
        vms_per_replica: 4,
        replicas: 1,
        adapters: Vec::new(),
        zones: Vec::new(),
        priority: 0,
    }
}

pub(crate) fn note(id: &str, base: u64) -> Note {
    Note {
        id: id.into(),
        base: Revision(base),
        models: Section {
            add: vec![model(id)],
            ..Section::default()
        },
        ..Note::default()
    }
}

pub(crate) fn catalog(revision: u64) -> Catalog {
    (0..revision).fold(Catalog::default(), |catalog, base| {
        catalog
            .apply(&note(&format!("n{base}"), base))
            .expect("notes fit")
    })
}

pub(crate) fn stored(revision: u64) -> Option<StoredCatalog> {
    Some(StoredCatalog {
        catalog: catalog(revision),
        mod_revision: 100 + revision,
    })
}

pub(crate) fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6a61_636b),
        ..Config::default()
    }
}
