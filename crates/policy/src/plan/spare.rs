//! Binds free VMs to groups as spares.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, State};

use super::draft::Draft;

impl Draft<'_> {
    /// Unbinds spares that can no longer be used and binds free VMs, groups of higher priority
    /// first.
    pub(super) fn bind_spares(&mut self) {
        self.unbind_unfit_spares();
        let mut free = self.unbound_vms();
        let limit = self.context.options.spares_per_group as usize;
        for count in 0..limit {
            for index in self.groups_by_need() {
                self.bind_spare(index, count, &mut free);
            }
        }
    }

    /// Unbinds spares that are unusable, members of a group or more than the group may have.
    fn unbind_unfit_spares(&mut self) {
        let members = self.all_members();
        let mut groups = std::mem::take(&mut self.placement.groups);
        for group in &mut groups {
            let bound = std::mem::take(&mut group.spares);
            let limit = self.spares_allowed(group);
            for vm in bound {
                let is_kept =
                    group.spares.len() < limit && self.is_usable(&vm) && !members.contains(&vm);
                if is_kept {
                    group.spares.push(vm);
                } else {
                    self.explain_unbinding(group, vm);
                }
            }
        }
        self.placement.groups = groups;
    }

    /// Returns the largest number of spares that a group may have.
    fn spares_allowed(&self, group: &Group) -> usize {
        if group.state == State::Draining {
            return 0;
        }
        let limit = self.context.options.spares_per_group as usize;
        limit.min(group.members.len().saturating_sub(1))
    }

    fn explain_unbinding(&mut self, group: &Group, vm: CompactString) {
        let health = format_compact!("{:?}", self.health(&vm));
        self.decisions.push(
            Decision::new(
                Subject::Group(group.name.clone()),
                "a spare does not answer, leaves or is a member now, or the group drains",
                "spare is bound to the group no longer",
            )
            .with_subject(Subject::Vm(vm))
            .with_input("health of the VM", health),
        );
    }

    /// Returns the usable VMs that are neither members nor spares, by fabric domain.
    fn unbound_vms(&self) -> BTreeMap<CompactString, Vec<CompactString>> {
        let mut taken = self.all_members();
        for group in &self.placement.groups {
            taken.extend(group.spares.iter().cloned());
        }
        let mut free: BTreeMap<CompactString, Vec<CompactString>> = BTreeMap::new();
        for vm in self.input.vms {
            if self.is_usable(&vm.name) && !taken.contains(&vm.name) {
                free.entry(vm.domain.clone())
                    .or_default()
                    .push(vm.name.clone());
            }
        }
        for vms in free.values_mut() {
            vms.sort_by(|a, b| b.cmp(a));
        }
        free
    }

    /// Returns the indices of the groups, those of higher priority first.
    fn groups_by_need(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.placement.groups.len()).collect();
        order.sort_by_key(|index| {
            let group = &self.placement.groups[*index];
            let priority = self.model(group).map_or(0, |model| model.priority);
            (Reverse(priority), group.name.clone())
        });
        order
    }

    /// Binds one more spare to a group that has `count` spares and may have more.
    fn bind_spare(
        &mut self,
        index: usize,
        count: usize,
        free: &mut BTreeMap<CompactString, Vec<CompactString>>,
    ) {
        let limit = self.spares_allowed(&self.placement.groups[index]);
        let group = &mut self.placement.groups[index];
        if group.spares.len() != count || count >= limit {
            return;
        }
        let Some(vm) = free.get_mut(&group.domain).and_then(Vec::pop) else {
            return;
        };
        self.decisions.push(
            Decision::new(
                Subject::Group(group.name.clone()),
                "a VM of the fabric domain is left over",
                "bound to this group alone as a spare",
            )
            .with_subject(Subject::Vm(vm.clone()))
            .with_alternative("leave it unbound", "a cut-off zone could not use it"),
        );
        group.spares.push(vm);
    }
}
