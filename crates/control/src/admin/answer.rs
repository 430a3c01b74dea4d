//! Answers operators' requests from the state of the control thread.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::{Catalog, Named};
use jackdaw_core::decision::Decision;
use jackdaw_core::note::{Note, Section};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;
use jackdaw_policy::gossip::fact::Fact;
use jackdaw_policy::gossip::node::Node;

use super::handle::{Reply, Request};
use super::view;
use crate::state::State;

/// Answers a request from the state alone, or returns `None` for a request that needs the
/// key-value service.
#[must_use]
pub fn answer(state: &State, request: &Request, now: Instant, unix_ms: u64) -> Option<Reply> {
    Some(match request {
        Request::Apply(_) | Request::History(_) => return None,
        Request::Plan(note) => Reply::Plan(Box::new(plan(state, note, now))),
        Request::Current => Reply::Current(current(state, now).map(Box::new)),
        Request::Status => Reply::Status(Box::new(status(state, now, unix_ms))),
        Request::Groups => Reply::Groups(groups(state, now)),
        Request::Vms => Reply::Vms(vms(state, now)),
        Request::Nodes => Reply::Nodes(nodes(state, now)),
        Request::Teams => Reply::Teams(teams(state.catalog())),
        Request::Decisions { after, subject } => {
            Reply::Decisions(decisions(state, *after, subject.as_deref()))
        }
    })
}

/// Returns whether a decision concerns a subject, named with or without its kind; every decision
/// does if no subject is given.
#[must_use]
pub fn is_about(decision: &Decision, subject: Option<&str>) -> bool {
    subject.is_none_or(|subject| {
        decision
            .subjects
            .iter()
            .any(|candidate| candidate.name() == subject || candidate.to_string() == subject)
    })
}

fn decisions(state: &State, after: u64, subject: Option<&str>) -> Vec<Decision> {
    state
        .log()
        .after(after)
        .filter(|decision| is_about(decision, subject))
        .cloned()
        .collect()
}

fn current(state: &State, now: Instant) -> Option<view::Current> {
    let register = state.overlay().register();
    Some(view::Current {
        release: register.status(now),
        catalog: register.catalog()?.as_ref().clone(),
    })
}

fn plan(state: &State, note: &Note, now: Instant) -> view::Plan {
    let catalog = state.catalog();
    let mut changes = Vec::new();
    push_changes(&mut changes, "model", &note.models, |model| {
        format_compact!(
            "version {}, {} VMs a replica, {} replicas a zone",
            model.version,
            model.vms_per_replica,
            model.replicas
        )
    });
    push_changes(&mut changes, "service", &note.services, |service| {
        format_compact!("{} routes", service.routes.len())
    });
    push_changes(&mut changes, "team", &note.teams, |team| {
        format_compact!("weight {}", team.weight)
    });
    let applied = catalog.apply(note);
    let decisions = match &applied {
        Ok(next) => state.dry_run(next, now),
        Err(_) => Vec::new(),
    };
    view::Plan {
        in_force: catalog.revision,
        conflicts: applied.err().unwrap_or_default(),
        changes,
        decisions,
    }
}

/// Appends the changes of one section of a note.
fn push_changes<T: Named>(
    changes: &mut Vec<view::Change>,
    kind: &str,
    section: &Section<T>,
    describe: impl Fn(&T) -> CompactString,
) {
    let mut add = |action: &str, name: &CompactString, effect: CompactString| {
        changes.push(view::Change {
            action: action.into(),
            kind: kind.into(),
            name: name.clone(),
            effect,
        });
    };
    for item in &section.add {
        add("add", item.name(), describe(item));
    }
    for item in &section.change {
        add("change", item.name(), describe(item));
    }
    for name in &section.withdraw {
        add("withdraw", name, "no longer served".into());
    }
}

fn status(state: &State, now: Instant, unix_ms: u64) -> view::Status {
    let options = state.options();
    let release = state.overlay().register().status(now);
    let node = state.overlay().node();
    let zones = node.map_or_else(Vec::new, |node| zones(node, unix_ms));
    let groups = groups(state, now);
    let serving = groups.iter().filter(|group| group.whole).count();
    view::Status {
        node: options.node.clone(),
        region: options.region.clone(),
        zone: options.zone.clone(),
        ready: state.overlay().register().is_ready() && !state.is_stopping(),
        stopping: state.is_stopping(),
        isolated: node.is_some_and(|node| node.is_isolated(now)),
        in_force_everywhere: is_in_force_everywhere(&zones, release.revision),
        release,
        zones,
        groups_serving: to_u32(serving),
        groups_placed: to_u32(groups.len()),
        vms_stranded: to_u32(count_stranded(state, &groups)),
    }
}

fn is_in_force_everywhere(zones: &[view::Zone], revision: Revision) -> bool {
    revision > Revision(0) && zones.iter().all(|zone| zone.lowest >= revision)
}

fn count_stranded(state: &State, groups: &[view::Group]) -> usize {
    let serving: BTreeSet<&CompactString> = groups
        .iter()
        .filter(|group| group.whole)
        .flat_map(|group| group.members.iter().map(|member| &member.vm))
        .collect();
    state
        .engines()
        .filter(|vm| !serving.contains(&vm.name))
        .count()
}

/// Converts a count to `u32`, saturating at its maximum.
fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn zones(node: &Node, unix_ms: u64) -> Vec<view::Zone> {
    node.zones()
        .map(|summary| view::Zone {
            zone: summary.zone.clone(),
            live: summary.live,
            lowest: summary.lowest,
            highest: summary.highest,
            age_ms: jackdaw_core::units::Millis(unix_ms.saturating_sub(summary.at_unix_ms)),
        })
        .collect()
}

fn nodes(state: &State, now: Instant) -> Vec<view::Node> {
    let Some(node) = state.overlay().node() else {
        return Vec::new();
    };
    let live: BTreeSet<&CompactString> = node.live_nodes(now).collect();
    let mut nodes: Vec<view::Node> = node
        .facts()
        .iter()
        .filter_map(Fact::as_member)
        .map(|(name, member)| {
            let is_own_zone = member.zone == state.options().zone;
            let presence = match (member.removed_unix_ms, is_own_zone) {
                (0, true) if live.contains(name) => view::Presence::Live,
                (0, true) => view::Presence::Suspect,
                (0, false) => view::Presence::Listed,
                (_, _) => view::Presence::Removed,
            };
            view::Node {
                name: name.clone(),
                zone: member.zone.clone(),
                address: format_compact!("{}", member.address),
                presence,
                silence_ms: node.heartbeats().silence(name, now),
                revision: node.heartbeats().revision(name),
            }
        })
        .collect();
    nodes.sort_by(|left, right| (&left.zone, &left.name).cmp(&(&right.zone, &right.name)));
    nodes
}

fn groups(state: &State, now: Instant) -> Vec<view::Group> {
    state
        .placement()
        .groups
        .iter()
        .map(|group| {
            let members: Vec<view::Member> = group
                .members
                .iter()
                .map(|vm| view::Member {
                    vm: vm.clone(),
                    present: state.is_member(vm, group, now),
                })
                .collect();
            view::Group {
                name: group.name.clone(),
                generation: group.generation,
                model: group.model.clone(),
                version: group.version.clone(),
                domain: group.domain.clone(),
                state: group.state,
                whole: members.iter().all(|member| member.present),
                members,
                spares: group.spares.clone(),
            }
        })
        .collect()
}

fn vms(state: &State, now: Instant) -> Vec<view::Vm> {
    state
        .vms()
        .iter()
        .map(|vm| {
            let last_report = state.last_report(&vm.name);
            let group = state.placement().group_of(&vm.name);
            view::Vm {
                name: vm.name.clone(),
                zone: vm.zone.clone(),
                domain: vm.domain.clone(),
                service: vm.service.clone(),
                state: vm.state,
                group: group.map(|group| group.name.clone()),
                report_age_ms: last_report.map(|(_, sent)| now.since(sent)),
                ready: last_report.map(|(report, _)| report.ready),
                fence: last_report.map(|(report, _)| report.fence),
            }
        })
        .collect()
}

fn teams(catalog: &Catalog) -> Vec<view::Team> {
    catalog
        .teams
        .iter()
        .map(|team| view::Team {
            name: team.name.clone(),
            weight: team.weight,
            requests_per_second: team.requests_per_second,
            concurrency: team.concurrency,
            priority: team.priority,
            deadline_ms: team.deadline_ms,
            allowed: team.allowed.clone(),
        })
        .collect()
}
