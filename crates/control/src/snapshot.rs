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

/// A replica group whose members have all reported it, with the address of its first member.
#[derive(Clone, Debug)]
pub struct WholeGroup<'a> {
    /// The group.
    pub group: &'a Group,
    /// Availability zone.
    pub zone: &'a CompactString,
    /// Address of the first member, which takes the group's requests.
    pub address: SocketAddr,
    /// Load that the first member last reported.
    pub load: Load,
}

/// Builds snapshots and holds the load gauges that successive snapshots share.
#[derive(Debug, Default)]
pub struct Builder {
    gauges: HashMap<(CompactString, Generation), Arc<Gauge>>,
}

impl Builder {
    /// Builds a snapshot from a catalogue, the groups that can serve and the VM list.
    pub fn build(
        &mut self,
        catalog: &Arc<Catalog>,
        zone: &CompactString,
        groups: &[WholeGroup<'_>],
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
        for candidate in groups {
            self.add_group(&mut snapshot, candidate);
        }
        for vm in vms {
            self.add_server(&mut snapshot, vm);
        }
        self.remove_unused_gauges();
        snapshot
    }

    fn add_group(&mut self, snapshot: &mut Snapshot, candidate: &WholeGroup<'_>) {
        let group = candidate.group;
        // A draining group finishes its requests in flight and gets no new ones.
        if group.state == placement::State::Draining {
            return;
        }
        let is_listed = snapshot
            .catalog
            .model(&group.model)
            .is_some_and(|model| model.is_served_in(candidate.zone));
        if !is_listed {
            return;
        }
        let gauge = self.gauge(&group.name, group.generation);
        gauge.set_reported(candidate.load.running + candidate.load.waiting);
        let target = Target {
            name: group.name.clone(),
            generation: group.generation,
            version: group.version.clone(),
            address: candidate.address,
            zone: candidate.zone.clone(),
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

    fn remove_unused_gauges(&mut self) {
        // A gauge with no other reference is used by no snapshot and no request.
        self.gauges.retain(|_, gauge| Arc::strong_count(gauge) > 1);
    }
}
