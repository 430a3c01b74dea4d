//! Builds sample state of a given size.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::{Catalog, Model, Team};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Fence, Generation, Millis, Revision};
use jackdaw_entry::gauge::Gauge;
use jackdaw_entry::snapshot::{Snapshot, Target};
use jackdaw_policy::plan::{Candidate, Health};

/// VMs per replica group.
pub(crate) const GROUP_VMS: usize = 4;
/// VMs per fabric domain.
const DOMAIN_VMS: usize = 18;

/// Returns a catalogue of like models and teams.
pub(crate) fn catalog(models: usize, teams: usize, replicas: u32) -> Catalog {
    Catalog {
        revision: Revision(1),
        note: "note-2026-12-03".into(),
        models: (0..models).map(|number| model(number, replicas)).collect(),
        services: Vec::new(),
        teams: (0..teams).map(team).collect(),
    }
}

fn model(number: usize, replicas: u32) -> Model {
    Model {
        name: format_compact!("drafting-model-{number:03}"),
        version: "2026-11-03".into(),
        vms_per_replica: GROUP_VMS as u32,
        replicas,
        adapters: vec!["court-style".into(), "care-sheets".into()],
        zones: Vec::new(),
        priority: 5,
    }
}

fn team(number: usize) -> Team {
    Team {
        name: format_compact!("showroom-team-{number:03}"),
        token_sha256: vec![Digest::of(format!("token {number}").as_bytes())],
        weight: 1,
        requests_per_second: 1_000,
        concurrency: 4_096,
        priority: 0,
        deadline_ms: Millis::from_secs(60),
        allowed: Vec::new(),
    }
}

fn vm_name(number: usize) -> CompactString {
    format_compact!("qc-east-a-model-{number:04}")
}

fn domain_name(number: usize) -> CompactString {
    format_compact!("qc-east-a/fabric-{:02}", number / DOMAIN_VMS)
}

/// Returns the VM list of a zone of `count` VMs.
pub(crate) fn vms(count: usize) -> Vec<Vm> {
    let vm = |number| Vm {
        name: vm_name(number),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000)),
        zone: "qc-east-a".into(),
        domain: domain_name(number),
        service: None,
        accelerators: 4,
        state: inventory::State::Live,
    };
    (0..count).map(vm).collect()
}

/// Returns the VMs of a zone as the planner sees them.
pub(crate) fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        name: vm_name(number),
        domain: domain_name(number),
        health: Health::Present,
        since: Instant(0),
    };
    (0..count).map(candidate).collect()
}

/// Returns a placement of as many groups as fit into the fabric domains of a zone of `vms` VMs.
pub(crate) fn placement(vms: usize) -> Placement {
    let mut groups = Vec::new();
    for domain_start in (0..vms).step_by(DOMAIN_VMS) {
        let domain_end = (domain_start + DOMAIN_VMS).min(vms);
        let mut first_vm = domain_start;
        while first_vm + GROUP_VMS <= domain_end {
            groups.push(group(groups.len(), first_vm));
            first_vm += GROUP_VMS;
        }
    }
    Placement {
        zone: "qc-east-a".into(),
        fence: Fence(7),
        sequence: 12,
        next_group: groups.len() as u64,
        groups,
    }
}

fn group(number: usize, first_vm: usize) -> Group {
    Group {
        name: format_compact!("qc-east-a/{}", number + 1),
        generation: Generation(3),
        model: "drafting-model-000".into(),
        version: "2026-11-03".into(),
        adapters: vec!["court-style".into(), "care-sheets".into()],
        domain: domain_name(first_vm),
        members: (first_vm..first_vm + GROUP_VMS).map(vm_name).collect(),
        state: State::Active,
        spares: Vec::new(),
    }
}

/// Returns the report of the group member with a rank.
///
/// # Panics
///
/// Panics if the group has no member with the rank.
pub(crate) fn report(group: &Group, rank: usize) -> Report {
    Report {
        vm: group.members[rank].clone(),
        boot: 1,
        membership: Some(Membership {
            group: group.name.clone(),
            generation: group.generation,
            model: group.model.clone(),
            version: group.version.clone(),
            rank: rank as u32,
        }),
        ready: true,
        fence: Fence(7),
        load: Load {
            running: 12,
            waiting: 0,
        },
        leaving: false,
    }
}

/// Returns a snapshot that holds `targets` targets of one model and `teams` teams.
pub(crate) fn snapshot(targets: usize, teams: usize) -> Snapshot {
    let target = |number: usize| Target {
        name: format_compact!("qc-east-a/{number}"),
        generation: Generation(3),
        version: "2026-11-03".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000)),
        zone: format_compact!("qc-east-{}", ["a", "b", "c", "d"][number % 4]),
        gauge: Arc::new(Gauge::default()),
    };
    let teams_by_digest = (0..teams).map(team).map(|team| {
        let digest = team.token_sha256[0];
        (digest, Arc::new(team))
    });
    Snapshot {
        models: HashMap::from([(
            CompactString::new("drafting-model-000"),
            (0..targets).map(target).collect(),
        )]),
        teams: teams_by_digest.collect(),
        zone: "qc-east-a".into(),
        nodes: 370,
        ready: true,
        ..Snapshot::default()
    }
}
