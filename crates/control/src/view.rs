//! Builds the snapshot that the request path reads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::catalog::Catalog;
use jackdaw_core::inventory::{State, Vm};
use jackdaw_core::member::Load;
use jackdaw_core::placement::{self, Group};
use jackdaw_core::units::Generation;
use jackdaw_entry::gauge::Gauge;
use jackdaw_entry::snapshot::{Snapshot, Target};

/// A whole replica group with the address of its first member.
#[derive(Clone, Debug)]
pub struct Whole<'a> {
    /// The group.
    pub group: &'a Group,
    /// Availability zone.
    pub zone: &'a CompactString,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Load that the first member last reported.
    pub load: Load,
}

/// Builds snapshots and keeps the gauges that they share.
#[derive(Debug, Default)]
pub struct Builder {
    gauges: HashMap<(CompactString, Generation), Arc<Gauge>>,
}

impl Builder {
    /// Builds a snapshot from a catalogue, the whole groups and the VM list.
    pub fn build(
        &mut self,
        catalog: &Arc<Catalog>,
        zone: &CompactString,
        groups: &[Whole<'_>],
        vms: &[Vm],
    ) -> Snapshot {
        let mut snapshot = Snapshot {
            catalog: Arc::clone(catalog),
            zone: zone.clone(),
            ready: catalog.revision.0 > 0,
            ..Snapshot::default()
        };
        for team in &catalog.teams {
            let shared = Arc::new(team.clone());
            for digest in &team.token_sha256 {
                snapshot.teams.insert(*digest, Arc::clone(&shared));
            }
        }
        for whole in groups {
            self.add_group(&mut snapshot, whole);
        }
        for vm in vms {
            self.add_server(&mut snapshot, vm);
        }
        self.forget_unused();
        snapshot
    }

    fn add_group(&mut self, snapshot: &mut Snapshot, whole: &Whole<'_>) {
        let group = whole.group;
        // A draining group finishes what it has and gets nothing new.
        if group.state == placement::State::Draining {
            return;
        }
        let listed = snapshot
            .catalog
            .model(&group.model)
            .is_some_and(|model| model.is_served_in(whole.zone));
        if !listed {
            return;
        }
        let gauge = self.gauge(&group.name, group.generation);
        gauge.set_reported(whole.load.running + whole.load.waiting);
        let target = Target {
            name: group.name.clone(),
            generation: group.generation,
            version: group.version.clone(),
            address: whole.address,
            zone: whole.zone.clone(),
            gauge,
        };
        snapshot
            .models
            .entry(group.model.clone())
            .or_default()
            .push(target);
    }

    fn add_server(&mut self, snapshot: &mut Snapshot, vm: &Vm) {
        let Some(service) = &vm.service else {
            return;
        };
        if vm.state == State::Leaving || snapshot.catalog.service(service).is_none() {
            return;
        }
        let target = Target {
            name: vm.name.clone(),
            generation: Generation(0),
            version: CompactString::default(),
            address: vm.address,
            zone: vm.zone.clone(),
            gauge: self.gauge(&vm.name, Generation(0)),
        };
        snapshot
            .services
            .entry(service.clone())
            .or_default()
            .push(target);
    }

    fn gauge(&mut self, name: &CompactString, generation: Generation) -> Arc<Gauge> {
        let gauge = self.gauges.entry((name.clone(), generation)).or_default();
        Arc::clone(gauge)
    }

    fn forget_unused(&mut self) {
        // A gauge that only this table holds belongs to no snapshot and no request.
        self.gauges.retain(|_, gauge| Arc::strong_count(gauge) > 1);
    }
}
