//! Decides which order each VM gets, and when it is repeated.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::member::Membership;
use jackdaw_core::order::{Command, Order};
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;

use super::{Action, Options, Round, is_active, name};

/// The last order to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sent {
    what: CompactString,
    at: Instant,
    in_flight: bool,
}

/// The last orders to all VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Orders {
    sent: BTreeMap<CompactString, Sent>,
}

impl Orders {
    /// Takes the answer to an order.
    pub(super) fn answered(&mut self, vm: &CompactString, result: &Result<()>) -> Option<Action> {
        if let Some(sent) = self.sent.get_mut(vm) {
            sent.in_flight = false;
        }
        let Err(Error::Refused { reason, .. }) = result else {
            return None;
        };
        let subject = Subject::Vm(vm.clone());
        let decision = Decision::new(subject, "the engine refused an order", "order is repeated")
            .with_input("reason", reason);
        Some(Action::Explain(decision))
    }

    /// Returns the orders that are due, those to leave first.
    pub(super) fn due(
        &mut self,
        placement: &Placement,
        options: &Options,
        round: &Round<'_>,
    ) -> Vec<Action> {
        let mut wanted = leaves(placement, round);
        wanted.extend(joins(placement, round));
        let mut actions = Vec::new();
        for (vm, command) in &wanted {
            if self.in_flight() >= options.max_orders_in_flight {
                break;
            }
            if self.is_due(vm, command, options, round.now) {
                actions.extend(self.send(vm, command, round));
            }
        }
        self.forget(&wanted);
        actions
    }

    fn in_flight(&self) -> usize {
        self.sent.values().filter(|sent| sent.in_flight).count()
    }

    fn is_due(
        &self,
        vm: &CompactString,
        command: &Command,
        options: &Options,
        now: Instant,
    ) -> bool {
        let Some(sent) = self.sent.get(vm) else {
            return true;
        };
        let repeat = sent.what == name(command);
        !sent.in_flight && (!repeat || now >= sent.at + options.order_retry_interval)
    }

    fn send(&mut self, vm: &CompactString, command: &Command, round: &Round<'_>) -> Vec<Action> {
        let what = name(command);
        let before = self.sent.insert(
            vm.clone(),
            Sent {
                what: what.clone(),
                at: round.now,
                in_flight: true,
            },
        );
        let mut actions = Vec::new();
        // A repeated order is not explained again.
        if before.is_none_or(|before| before.what != what) {
            let decision = Decision::new(
                Subject::Vm(vm.clone()),
                "the VM's report differs from the placement",
                &what,
            );
            actions.push(Action::Explain(
                decision.with_input("fencing number", round.authority.fence),
            ));
        }
        let order = Order {
            fence: round.authority.fence,
            command: command.clone(),
        };
        actions.push(Action::Order(vm.clone(), order));
        actions
    }

    /// Forgets answered orders to VMs whose reports now match.
    fn forget(&mut self, wanted: &[(CompactString, Command)]) {
        self.sent
            .retain(|vm, sent| sent.in_flight || wanted.iter().any(|(other, _)| other == vm));
    }
}

/// Returns the VMs that hold a group which the placement does not give them.
fn leaves(placement: &Placement, round: &Round<'_>) -> Vec<(CompactString, Command)> {
    let leaving = round.table.candidates().into_iter().filter(|vm| {
        let Some(membership) = membership(&vm.name, round) else {
            return false;
        };
        let target = target(placement, &vm.name);
        target.is_none_or(|(group, rank)| is_foreign(membership, group, rank))
    });
    leaving.map(|vm| (vm.name, Command::Leave)).collect()
}

/// Returns whether a membership must end before the VM can be a member of a group.
fn is_foreign(membership: &Membership, group: &Group, rank: usize) -> bool {
    // An older generation of the same group ends by joining the newer one.
    if membership.group != group.name || membership.generation > group.generation {
        return true;
    }
    let same_content = membership.model == group.model
        && membership.version == group.version
        && membership.rank as usize == rank;
    membership.generation == group.generation && !same_content
}

/// Returns the VMs that do not yet hold their group, in the order of the placement.
fn joins(placement: &Placement, round: &Round<'_>) -> Vec<(CompactString, Command)> {
    let mut wanted = Vec::new();
    let active = placement
        .groups
        .iter()
        .filter(|group| is_active(group.state));
    for group in active {
        for (rank, vm) in group.members.iter().enumerate() {
            if may_join(vm, group, round) {
                wanted.push((vm.clone(), join(group, rank)));
            }
        }
    }
    wanted
}

/// Returns whether a VM reports that it is free for a group, or holds an older generation of it.
fn may_join(vm: &CompactString, group: &Group, round: &Round<'_>) -> bool {
    // A member that started anew needs a new generation: the others still count on its former life.
    if round.table.is_leaving(vm) || round.table.is_restarted(vm) {
        return false;
    }
    if round.table.fresh_observation(vm, round.now).is_none() {
        return false;
    }
    membership(vm, round).is_none_or(|membership| {
        membership.group == group.name && membership.generation < group.generation
    })
}

fn membership<'a>(vm: &str, round: &Round<'a>) -> Option<&'a Membership> {
    let seen = round.table.fresh_observation(vm, round.now)?;
    seen.report.membership.as_ref()
}

/// Returns the group that a VM is a member of and its rank.
fn target<'a>(placement: &'a Placement, vm: &str) -> Option<(&'a Group, usize)> {
    placement.groups.iter().find_map(|group| {
        let rank = group.members.iter().position(|member| member == vm)?;
        Some((group, rank))
    })
}

fn join(group: &Group, rank: usize) -> Command {
    Command::Join {
        group: group.name.clone(),
        generation: group.generation,
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        members: group.members.clone(),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
    }
}
