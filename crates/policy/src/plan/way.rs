//! The ways in which a model can get one more group, and their costs.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Model;
use jackdaw_core::placement::{Group, State};

use super::Health;
use super::draft::{Draft, is_of};

/// What a way does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A draining group serves on.
    Resume,
    /// A group that lost members goes on in a new generation.
    Complete,
    /// A new group is formed.
    Form,
}

/// One way to get a group.
#[derive(Clone, Debug)]
pub(super) struct Way {
    /// What the way does.
    pub(super) kind: Kind,
    /// Fabric domain.
    pub(super) domain: CompactString,
    /// Members in rank order.
    pub(super) members: Vec<CompactString>,
    /// Place of the group that goes on: a retired one, or a standing one if it is resumed.
    pub(super) continues: Option<usize>,
    /// Retired groups that wait for a member and lose a survivor by this way.
    pub(super) spoils: BTreeSet<usize>,
    /// VMs that load weights.
    pub(super) loads: usize,
    /// Weighed cost.
    pub(super) cost: u64,
    /// Groups of the model in the domain and free VMs that are left there, to choose among equals.
    pub(super) tie: (usize, usize),
}

impl Way {
    /// Returns a phrase for the explanation.
    pub(super) fn phrase(&self) -> CompactString {
        match self.kind {
            Kind::Resume => format_compact!("resume a draining group in {}", self.domain),
            Kind::Complete if self.spoils.is_empty() => {
                format_compact!("replace the lost members in {}", self.domain)
            }
            Kind::Complete => format_compact!("merge survivors in {}", self.domain),
            Kind::Form if self.spoils.is_empty() => {
                format_compact!("form a group of free VMs in {}", self.domain)
            }
            Kind::Form => format_compact!("form a group with survivors in {}", self.domain),
        }
    }
}

/// How a VM is bound, in the order in which VMs are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tie {
    /// The VM is bound as a spare to the very group.
    OwnSpare,
    /// The VM is free.
    Free,
    /// The VM is bound as a spare to another group.
    OtherSpare,
    /// The VM survives in a group that waits for a member.
    Survivor,
}

/// A VM that a way may take.
#[derive(Clone, Debug)]
pub(super) struct Source {
    /// VM.
    pub(super) vm: CompactString,
    /// How the VM is bound.
    pub(super) tie: Tie,
    /// Group that loses the VM as a survivor.
    pub(super) owner: Option<usize>,
    /// Rank whose weights of the wanted version the VM holds.
    pub(super) rank: Option<usize>,
}

impl Draft<'_> {
    /// Returns all ways for a model, the best first.
    pub(super) fn ways(&self, model: &Model) -> Vec<Way> {
        let mut ways: Vec<Way> = self.resumable(model).collect();
        ways.extend((0..self.retired.len()).filter_map(|index| self.complete_way(model, index)));
        for domain in self.domains() {
            ways.extend(self.form_way(model, domain));
        }
        ways.sort_by(|a, b| {
            (a.cost, a.kind, a.tie, &a.domain).cmp(&(b.cost, b.kind, b.tie, &b.domain))
        });
        ways
    }

    fn resumable(&self, model: &Model) -> impl Iterator<Item = Way> {
        let groups = self.placement.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.state == State::Draining && is_of(group, model))
            .filter(|(_, group)| !self.promised.contains(&group.name))
            .filter(|(_, group)| {
                let mut members = group.members.iter();
                members.all(|vm| self.health(vm) == Health::Present)
            })
            .map(|(index, group)| Way {
                kind: Kind::Resume,
                domain: group.domain.clone(),
                members: group.members.clone(),
                continues: Some(index),
                spoils: BTreeSet::new(),
                loads: 0,
                cost: 0,
                tie: (0, 0),
            })
    }

    fn complete_way(&self, model: &Model, index: usize) -> Option<Way> {
        let entry = &self.retired[index];
        if entry.spent || !is_of(&entry.group, model) {
            return None;
        }
        let group = &entry.group;
        // The VMs of a group that is over may be kept for a model more in need.
        if !entry.waits && self.pool(model, &group.domain, None).len() < group.members.len() {
            return None;
        }
        let mut pool = self.pool(model, &group.domain, Some(index));
        let free = unspoiled(&pool);
        let mut taken = Vec::new();
        let mut members = group.members.clone();
        for (rank, member) in members.iter_mut().enumerate() {
            if self.health(member) != Health::Present {
                let source = take(&mut pool, rank, &taken)?;
                *member = source.vm.clone();
                taken.push(source);
            }
        }
        let loads = taken.iter().filter(|source| source.rank.is_none()).count();
        let mut way = self.way(model, Kind::Complete, &group.domain, &taken, free);
        way.members = members;
        way.continues = Some(index);
        self.price(&mut way, loads);
        Some(way)
    }

    fn form_way(&self, model: &Model, domain: &CompactString) -> Option<Way> {
        let size = model.vms_per_replica as usize;
        let mut pool = self.pool(model, domain, None);
        let free = unspoiled(&pool);
        if pool.len() < size {
            return None;
        }
        let mut taken = Vec::new();
        for rank in 0..size {
            let source = take(&mut pool, rank, &taken)?;
            taken.push(source);
        }
        let loads = taken.iter().filter(|source| source.rank.is_none()).count();
        let mut way = self.way(model, Kind::Form, domain, &taken, free);
        way.members = taken.into_iter().map(|source| source.vm).collect();
        self.price(&mut way, loads);
        Some(way)
    }

    fn way(
        &self,
        model: &Model,
        kind: Kind,
        domain: &CompactString,
        taken: &[Source],
        free: usize,
    ) -> Way {
        let spoils: BTreeSet<usize> = taken.iter().filter_map(|source| source.owner).collect();
        let from_free = taken.iter().filter(|source| source.owner.is_none()).count();
        let alike = self
            .placement
            .groups
            .iter()
            .filter(|group| group.model == model.name && group.domain == *domain)
            .count();
        Way {
            kind,
            domain: domain.clone(),
            members: Vec::new(),
            continues: None,
            spoils,
            loads: 0,
            cost: 0,
            tie: (free - from_free, alike),
        }
    }

    /// Sets loads and cost: each load and each group that loses its chance to return counts as
    /// downtime, each free VM left in the domain as stranded.
    fn price(&self, way: &mut Way, loads: usize) {
        let weights = self.context.options.weights;
        let downtime = u64::from(weights.downtime) * (loads + way.spoils.len()) as u64;
        let stranded = u64::from(weights.stranded) * way.tie.0 as u64;
        way.loads = loads;
        way.cost = downtime + stranded;
    }

    /// Returns the VMs of a fabric domain that a model may take.
    pub(super) fn pool(
        &self,
        model: &Model,
        domain: &CompactString,
        continues: Option<usize>,
    ) -> Vec<Source> {
        let standing: BTreeSet<&str> = self
            .placement
            .groups
            .iter()
            .filter(|group| group.domain == *domain)
            .flat_map(|group| &group.members)
            .map(CompactString::as_str)
            .collect();
        let mut pool: Vec<Source> = self
            .input
            .vms
            .iter()
            .filter(|vm| vm.domain == *domain && !standing.contains(vm.name.as_str()))
            .filter(|vm| self.is_usable(&vm.name))
            .filter_map(|vm| self.source(model, &vm.name, continues))
            .collect();
        pool.sort_by(|a, b| (a.tie, a.owner, &a.vm).cmp(&(b.tie, b.owner, &b.vm)));
        self.keep_reserved(&mut pool, domain);
        if let Some(index) = continues {
            self.order_own_spares(&mut pool, index);
        }
        pool
    }

    fn source(
        &self,
        model: &Model,
        vm: &CompactString,
        continues: Option<usize>,
    ) -> Option<Source> {
        let mut source = Source {
            vm: vm.clone(),
            tie: Tie::Free,
            owner: None,
            rank: None,
        };
        for (index, entry) in self.retired.iter().enumerate() {
            let group = &entry.group;
            if group.spares.contains(vm) {
                let is_own = continues == Some(index);
                source.tie = if is_own {
                    Tie::OwnSpare
                } else {
                    Tie::OtherSpare
                };
            }
            let Some(rank) = group.members.iter().position(|member| member == vm) else {
                continue;
            };
            if continues == Some(index) {
                return None;
            }
            if group.model == model.name && group.version == model.version {
                source.rank = Some(rank);
            }
            if entry.waits && !entry.spent {
                if !self.may_salvage(model, group) {
                    return None;
                }
                source.owner = Some(index);
                source.tie = Tie::Survivor;
            }
        }
        let mut groups = self.placement.groups.iter();
        if source.tie == Tie::Free && groups.any(|group| group.spares.contains(vm)) {
            source.tie = Tie::OtherSpare;
        }
        Some(source)
    }

    /// Returns whether a model may take the survivors of a group that waits for a member.
    fn may_salvage(&self, model: &Model, group: &Group) -> bool {
        let owner = self.model(group).map_or(0, |owner| owner.priority);
        let salvage_after = self.context.options.salvage_after;
        let is_lost = || {
            let mut missing = self.missing(group);
            missing.any(|vm| self.missing_for(vm) >= salvage_after)
        };
        owner <= model.priority || is_lost()
    }

    /// Drops the VMs that are kept for a model more in need.
    fn keep_reserved(&self, pool: &mut Vec<Source>, domain: &CompactString) {
        let mut kept = self.reserved.get(domain).copied().unwrap_or(0);
        pool.retain(|source| {
            let is_kept = kept > 0 && source.owner.is_none();
            kept -= usize::from(is_kept);
            !is_kept
        });
    }

    /// Puts the spares bound to a group first, in the order of their binding.
    fn order_own_spares(&self, pool: &mut [Source], index: usize) {
        let spares = &self.retired[index].group.spares;
        pool.sort_by_key(|source| {
            let place = spares.iter().position(|vm| *vm == source.vm);
            (source.tie, place.unwrap_or(0))
        });
    }
}

/// Returns the number of VMs that no waiting group loses.
fn unspoiled(pool: &[Source]) -> usize {
    pool.iter().filter(|source| source.owner.is_none()).count()
}

/// Takes the best VM for a rank out of the pool.
///
/// Free VMs go before survivors; among these, a group that is spoiled already goes first, then one
/// whose survivor holds the weights of the rank.
fn take(pool: &mut Vec<Source>, rank: usize, taken: &[Source]) -> Option<Source> {
    let best = pool.iter().enumerate().min_by_key(|(place, source)| {
        let is_spoiled = taken.iter().any(|other| other.owner == source.owner);
        let is_own = source.tie == Tie::OwnSpare;
        let is_loaded = source.rank == Some(rank);
        (
            source.tie,
            !is_own && !is_spoiled,
            !is_own && !is_loaded,
            *place,
        )
    })?;
    let place = best.0;
    let mut source = pool.remove(place);
    source.rank = source.rank.filter(|held| *held == rank);
    Some(source)
}
