//! What this node tells other zones of its VMs, and what it knows of their groups.

use std::sync::Arc;

use jackdaw_core::member::{Load, Report};
use jackdaw_core::placement::Placement;
use jackdaw_core::time::Instant;
use jackdaw_policy::gossip::fact::{Fact, Key, RETENTION, Value, Version};
use jackdaw_policy::gossip::hash;
use jackdaw_policy::remote;

use super::{Action, State};
use crate::view::Whole;

impl State {
    /// Takes a placement that another node holds and passes it on.
    pub(super) fn take_placement(
        &mut self,
        placement: Placement,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let placement = Arc::new(placement);
        // A node announces what it holds, so that every hop can serve the next one's fetch.
        if !self.overlay.announce(&placement, now) {
            return Vec::new();
        }
        if placement.zone == self.options.zone {
            let outcome = self.zone.told(placement.as_ref().clone(), now);
            return self.follow(outcome, now, unix_ms);
        }
        self.remote.insert(placement.zone.clone(), placement);
        vec![Action::Publish]
    }

    /// Tells changed reports of the VMs that this node has the duty to probe.
    pub(super) fn tell_reports(&mut self, now: Instant, unix_ms: u64) {
        let reports: Vec<Fact> = self
            .engines()
            .filter_map(|vm| self.report_fact(&vm.name, now, unix_ms))
            .collect();
        for fact in reports {
            self.overlay.publish(fact, now);
        }
    }

    /// Returns the whole groups of other zones.
    pub(super) fn remote_groups(&self, unix_ms: u64) -> Vec<Whole<'_>> {
        let Some(node) = self.overlay.node() else {
            return Vec::new();
        };
        let mut groups = Vec::new();
        for (zone, placement) in &self.remote {
            let summary = node.zones().find(|summary| summary.zone == *zone);
            for group in remote::whole_groups(placement, node.facts(), summary, unix_ms) {
                let head = group.members.first();
                let Some(vm) = self.vms.iter().find(|vm| Some(&vm.name) == head) else {
                    continue;
                };
                groups.push(Whole {
                    group,
                    zone,
                    address: vm.address,
                    load: Load::default(),
                });
            }
        }
        groups
    }

    fn report_fact(&self, vm: &str, now: Instant, unix_ms: u64) -> Option<Fact> {
        let node = self.overlay.node()?;
        let probers = node.probers(vm, now);
        if !probers.contains(&&self.options.node) {
            return None;
        }
        let report = self.own_view(vm, now)?;
        let key = Key::Report(vm.into());
        let held = node.facts().get(&key);
        let own = hash::hash_strings(&[&self.options.node]);
        let is_prober = |teller| {
            probers
                .iter()
                .any(|name| hash::hash_strings(&[name]) == teller)
        };
        let is_old = held.is_some_and(|held| held.version.major + RETENTION.0 / 2 < unix_ms);
        if !is_old && !remote::must_publish(&report, held, own, is_prober) {
            return None;
        }
        let after = held.map_or(0, |held| held.version.major + 1);
        Some(Fact {
            key,
            version: Version {
                major: unix_ms.max(after),
                minor: own,
            },
            value: Value::Report(report),
        })
    }

    /// Returns the last report of a VM, as not ready if it is too old to count.
    fn own_view(&self, vm: &str, now: Instant) -> Option<Report> {
        let (report, sent) = self.seen(vm)?;
        let is_fresh = now.since(sent) <= self.options.report_bound;
        Some(Report {
            ready: report.ready && is_fresh,
            load: Load::default(),
            ..report.clone()
        })
    }
}
