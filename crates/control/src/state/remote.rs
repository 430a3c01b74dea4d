//! Publishes reports of this zone's VMs to other zones and evaluates theirs.

use std::sync::Arc;

use jackdaw_core::member::{Load, Report};
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_policy::gossip::fact::{Fact, Key, RETENTION, Value, Version};
use jackdaw_policy::gossip::hash;
use jackdaw_policy::remote;

use super::{Action, State};
use crate::snapshot::WholeGroup;

impl State {
    /// Adopts a placement fetched from another node and announces it in turn.
    pub(super) fn adopt_placement(
        &mut self,
        placement: Placement,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let placement = Arc::new(placement);
        // Announcing it lets the nodes that learn of it from this node fetch it here.
        if !self.overlay.announce(&placement, now) {
            return Vec::new();
        }
        if placement.zone == self.options.zone {
            let outcome = self.zone.adopt_placement(placement.as_ref().clone(), now);
            return self.apply_outcome(outcome, now, unix_ms);
        }
        self.remote_placements
            .insert(placement.zone.clone(), placement);
        vec![Action::PublishSnapshot]
    }

    /// Publishes the changed reports of the VMs for which this node is a prober.
    pub(super) fn publish_reports(&mut self, now: Instant, unix_ms: u64) {
        let reports: Vec<Fact> = self
            .engines()
            .filter_map(|vm| self.report_fact(&vm.name, now, unix_ms))
            .collect();
        for fact in reports {
            self.overlay.publish(fact, now);
        }
    }

    /// Returns the groups of other zones whose members have all reported.
    pub(super) fn remote_groups(&self, unix_ms: u64) -> Vec<WholeGroup<'_>> {
        let Some(node) = self.overlay.node() else {
            return Vec::new();
        };
        let mut whole_groups = Vec::new();
        for (zone, placement) in &self.remote_placements {
            let summary = node.zones().find(|summary| summary.zone == *zone);
            for group in remote::whole_groups(placement, node.facts(), summary, unix_ms) {
                let first_member = group.members.first();
                let Some(vm) = self.vms.iter().find(|vm| Some(&vm.name) == first_member) else {
                    continue;
                };
                whole_groups.push(WholeGroup {
                    group,
                    zone,
                    address: vm.address,
                    load: Load::default(),
                });
            }
        }
        whole_groups
    }

    fn report_fact(&self, vm: &str, now: Instant, unix_ms: u64) -> Option<Fact> {
        let node = self.overlay.node()?;
        let probers = node.probers(vm, now);
        if !probers.contains(&&self.options.node) {
            return None;
        }
        let report = self.effective_report(vm, now)?;
        let key = Key::Report(vm.into());
        let held = node.facts().get(&key);
        let own_hash = hash::hash_strings(&[&self.options.node]);
        let is_prober = |publisher| {
            probers
                .iter()
                .any(|name| hash::hash_strings(&[name]) == publisher)
        };
        let needs_refresh = held.is_some_and(|held| held.version.major + RETENTION.0 / 2 < unix_ms);
        if !needs_refresh && !remote::must_publish(&report, held, own_hash, is_prober) {
            return None;
        }
        let next_major = held.map_or(0, |held| held.version.major + 1);
        Some(Fact {
            key,
            version: Version {
                major: unix_ms.max(next_major),
                minor: own_hash,
            },
            value: Value::Report(report),
        })
    }

    /// Returns the last report of a VM without its load; marks it as not ready if it is too old.
    fn effective_report(&self, vm: &str, now: Instant) -> Option<Report> {
        let (report, sent) = self.last_report(vm)?;
        let is_fresh = now.since(sent) <= self.options.max_report_age;
        Some(Report {
            ready: report.ready && is_fresh,
            load: Load::default(),
            ..report.clone()
        })
    }
}
