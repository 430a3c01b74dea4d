//! Alternatives for giving a model one more group, and their costs.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::{Group, State};

use super::Health;
use super::draft::{Draft, is_instance_of};

/// How an allocation provides the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A draining group becomes active again.
    Resume,
    /// A group that lost members continues in a new generation.
    Repair,
    /// A new group is formed.
    Form,
}

/// One alternative for providing a group.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    /// How the group is provided.
    pub(super) kind: Kind,
    /// Fabric domain.
    pub(super) domain: CompactString,
    /// Members in rank order.
    pub(super) members: Vec<CompactString>,
    /// Index of the continued group: in the placement for [`Kind::Resume`], else among the retired
    /// groups.
    pub(super) continues: Option<usize>,
    /// Indices of the retired groups that wait for a member and lose a survivor to this allocation.
    pub(super) disrupted: BTreeSet<usize>,
    /// Number of VMs that have to load weights.
    pub(super) loads: usize,
    /// Weighted cost.
    pub(super) cost: u64,
    /// Number of free VMs left in the domain and number of the model's groups there; decides
    /// between allocations of equal cost and kind.
    pub(super) tie_breaker: (usize, usize),
}

impl Allocation {
    /// Returns the text that names the allocation in a decision.
    pub(super) fn describe(&self) -> CompactString {
        match self.kind {
            Kind::Resume => format_compact!("resume a draining group in {}", self.domain),
            Kind::Repair if self.disrupted.is_empty() => {
                format_compact!("replace the lost members in {}", self.domain)
            }
            Kind::Repair => format_compact!("merge survivors in {}", self.domain),
            Kind::Form if self.disrupted.is_empty() => {
                format_compact!("form a group of free VMs in {}", self.domain)
            }
            Kind::Form => format_compact!("form a group with survivors in {}", self.domain),
        }
    }
}

/// How a VM is bound to groups, in the order in which VMs are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Binding {
    /// The VM is a spare of the group that is repaired.
    OwnSpare,
    /// No group needs the VM.
    Free,
    /// The VM is a spare of another group.
    OtherSpare,
    /// The VM is a remaining member of a group that waits for a lost one.
    Survivor,
}

/// A VM that an allocation may take.
#[derive(Clone, Debug)]
pub(super) struct PoolVm {
    /// Name of the VM.
    pub(super) vm: CompactString,
    /// How the VM is bound.
    pub(super) binding: Binding,
    /// Index of the waiting group that would lose the VM.
    pub(super) owner: Option<usize>,
    /// Rank whose weights the VM holds, in the wanted model and version.
    pub(super) loaded_rank: Option<usize>,
}

impl Draft<'_> {
    /// Returns all allocations for a model, best first.
    pub(super) fn allocations(&self, model: &Model) -> Vec<Allocation> {
        let mut allocations: Vec<Allocation> = self.resume_allocations(model).collect();
        allocations.extend(
            (0..self.retired.len()).filter_map(|index| self.repair_allocation(model, index)),
        );
        for domain in self.domains() {
            allocations.extend(self.form_allocation(model, domain));
        }
        allocations.sort_by(|a, b| {
            (a.cost, a.kind, a.tie_breaker, &a.domain).cmp(&(
                b.cost,
                b.kind,
                b.tie_breaker,
                &b.domain,
            ))
        });
        allocations
    }

    fn resume_allocations(&self, model: &Model) -> impl Iterator<Item = Allocation> {
        let groups = self.placement.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.state == State::Draining && is_instance_of(group, model))
            .filter(|(_, group)| !self.claimed.contains(&group.name))
            .filter(|(_, group)| {
                let mut members = group.members.iter();
                members.all(|vm| self.health(vm) == Health::Present)
            })
            .map(|(index, group)| Allocation {
                kind: Kind::Resume,
                domain: group.domain.clone(),
                members: group.members.clone(),
                continues: Some(index),
                disrupted: BTreeSet::new(),
                loads: 0,
                cost: 0,
                tie_breaker: (0, 0),
            })
    }

    fn repair_allocation(&self, model: &Model, index: usize) -> Option<Allocation> {
        let entry = &self.retired[index];
        if entry.is_used || !is_instance_of(&entry.group, model) {
            return None;
        }
        let group = &entry.group;
        // The VMs of a group that ended may be reserved for a model of greater need.
        if !entry.is_waiting && self.pool(model, &group.domain, None).len() < group.members.len() {
            return None;
        }
        let mut pool = self.pool(model, &group.domain, Some(index));
        let free_count = count_unowned(&pool);
        let mut taken = Vec::new();
        let mut members = group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if self.health(member) != Health::Present {
                let pooled = take_best(&mut pool, rank, &taken)?;
                *member = pooled.vm.clone();
                taken.push(pooled);
            }
        }
        let loads = taken
            .iter()
            .filter(|pooled| pooled.loaded_rank.is_none())
            .count();
        let mut allocation =
            self.allocation(model, Kind::Repair, &group.domain, &taken, free_count);
        allocation.members = members;
        allocation.continues = Some(index);
        self.set_cost(&mut allocation, loads);
        Some(allocation)
    }

    fn form_allocation(&self, model: &Model, domain: &CompactString) -> Option<Allocation> {
        let size = model.vms_per_replica as usize;
        let mut pool = self.pool(model, domain, None);
        let free_count = count_unowned(&pool);
        if pool.len() < size {
            return None;
        }
        let mut taken = Vec::new();
        for rank in 0..size {
            let pooled = take_best(&mut pool, rank, &taken)?;
            taken.push(pooled);
        }
        let loads = taken
            .iter()
            .filter(|pooled| pooled.loaded_rank.is_none())
            .count();
        let mut allocation = self.allocation(model, Kind::Form, domain, &taken, free_count);
        allocation.members = taken.into_iter().map(|pooled| pooled.vm).collect();
        self.set_cost(&mut allocation, loads);
        Some(allocation)
    }

    fn allocation(
        &self,
        model: &Model,
        kind: Kind,
        domain: &CompactString,
        taken: &[PoolVm],
        free_count: usize,
    ) -> Allocation {
        let disrupted: BTreeSet<usize> = taken.iter().filter_map(|pooled| pooled.owner).collect();
        let taken_free = taken.iter().filter(|pooled| pooled.owner.is_none()).count();
        let sibling_count = self
            .placement
            .groups
            .iter()
            .filter(|group| group.model == model.name && group.domain == *domain)
            .count();
        Allocation {
            kind,
            domain: domain.clone(),
            members: Vec::new(),
            continues: None,
            disrupted,
            loads: 0,
            cost: 0,
            tie_breaker: (free_count - taken_free, sibling_count),
        }
    }

    /// Sets the number of loads and the cost. Each load and each disrupted group counts as
    /// downtime, each free VM left in the domain as stranded.
    fn set_cost(&self, allocation: &mut Allocation, loads: usize) {
        let weights = self.context.options.weights;
        let downtime = u64::from(weights.downtime) * (loads + allocation.disrupted.len()) as u64;
        let stranded = u64::from(weights.stranded) * allocation.tie_breaker.0 as u64;
        allocation.loads = loads;
        allocation.cost = downtime + stranded;
    }

    /// Returns the VMs of a fabric domain that a model may take, in the order of preference.
    pub(super) fn pool(
        &self,
        model: &Model,
        domain: &CompactString,
        continues: Option<usize>,
    ) -> Vec<PoolVm> {
        let in_use: BTreeSet<&str> = self
            .placement
            .groups
            .iter()
            .filter(|group| group.domain == *domain)
            .flat_map(|group| &group.members)
            .map(CompactString::as_str)
            .collect();
        let mut pool: Vec<PoolVm> = self
            .input
            .vms
            .iter()
            .filter(|vm| vm.domain == *domain && !in_use.contains(vm.name.as_str()))
            .filter(|vm| self.is_usable(&vm.name))
            .filter_map(|vm| self.pool_vm(model, &vm.name, continues))
            .collect();
        pool.sort_by(|a, b| (a.binding, a.owner, &a.vm).cmp(&(b.binding, b.owner, &b.vm)));
        self.remove_reserved(&mut pool, domain);
        if let Some(index) = continues {
            self.sort_own_spares(&mut pool, index);
        }
        pool
    }

    fn pool_vm(
        &self,
        model: &Model,
        vm: &CompactString,
        continues: Option<usize>,
    ) -> Option<PoolVm> {
        let mut pooled = PoolVm {
            vm: vm.clone(),
            binding: Binding::Free,
            owner: None,
            loaded_rank: None,
        };
        for (index, entry) in self.retired.iter().enumerate() {
            let group = &entry.group;
            if group.spares.contains(vm) {
                let is_own = continues == Some(index);
                pooled.binding = if is_own {
                    Binding::OwnSpare
                } else {
                    Binding::OtherSpare
                };
            }
            let Some(rank) = group.members.iter().position(|member| member == vm) else {
                continue;
            };
            if continues == Some(index) {
                return None;
            }
            if group.model == model.name && group.version == model.version {
                pooled.loaded_rank = Some(rank);
            }
            if entry.is_waiting && !entry.is_used {
                if !self.can_salvage(model, group) {
                    return None;
                }
                pooled.owner = Some(index);
                pooled.binding = Binding::Survivor;
            }
        }
        let mut groups = self.placement.groups.iter();
        if pooled.binding == Binding::Free && groups.any(|group| group.spares.contains(vm)) {
            pooled.binding = Binding::OtherSpare;
        }
        Some(pooled)
    }

    /// Returns whether a model may take the remaining members of a group that waits for a lost one.
    fn can_salvage(&self, model: &Model, group: &Group) -> bool {
        let owner_priority = self.model(group).map_or(0, |owner| owner.priority);
        let salvage_after = self.context.options.salvage_after;
        let is_overdue = || {
            let mut missing = self.missing(group);
            missing.any(|vm| self.missing_for(vm) >= salvage_after)
        };
        owner_priority <= model.priority || is_overdue()
    }

    /// Removes the VMs that are reserved for models of greater need.
    fn remove_reserved(&self, pool: &mut Vec<PoolVm>, domain: &CompactString) {
        let mut reserved = self.reserved.get(domain).copied().unwrap_or(0);
        pool.retain(|pooled| {
            let is_reserved = reserved > 0 && pooled.owner.is_none();
            reserved -= usize::from(is_reserved);
            !is_reserved
        });
    }

    /// Orders the group's own spares as they are bound; a repair uses them in this order.
    fn sort_own_spares(&self, pool: &mut [PoolVm], index: usize) {
        let spares = &self.retired[index].group.spares;
        pool.sort_by_key(|pooled| {
            let position = spares.iter().position(|vm| *vm == pooled.vm);
            (pooled.binding, position.unwrap_or(0))
        });
    }
}

/// Returns the number of VMs that no waiting group would lose.
fn count_unowned(pool: &[PoolVm]) -> usize {
    pool.iter().filter(|pooled| pooled.owner.is_none()).count()
}

/// Removes the best VM for a rank from the pool and returns it.
///
/// Free VMs are taken before remaining members of waiting groups. Among these, members of a group
/// that is already disrupted come first, then those that hold the weights of the rank.
fn take_best(pool: &mut Vec<PoolVm>, rank: usize, taken: &[PoolVm]) -> Option<PoolVm> {
    let best = pool.iter().enumerate().min_by_key(|(position, pooled)| {
        let is_disrupted = taken.iter().any(|other| other.owner == pooled.owner);
        let is_own = pooled.binding == Binding::OwnSpare;
        let is_loaded = pooled.loaded_rank == Some(rank);
        (
            pooled.binding,
            !is_own && !is_disrupted,
            !is_own && !is_loaded,
            *position,
        )
    })?;
    let position = best.0;
    let mut pooled = pool.remove(position);
    pooled.loaded_rank = pooled.loaded_rank.filter(|held| *held == rank);
    Some(pooled)
}
