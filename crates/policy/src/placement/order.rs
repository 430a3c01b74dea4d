//! Decides which order each VM gets and when an order is repeated.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::member::Membership;
use jackdaw_core::order::{Command, Order};
use jackdaw_core::placement::{Group, Placement};
use jackdaw_core::time::Instant;

use super::{Action, Options, Round, describe, is_active};

/// The last order sent to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sent {
    description: CompactString,
    at: Instant,
    in_flight: bool,
}

/// The last orders sent to all VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Orders {
    sent: BTreeMap<CompactString, Sent>,
}

impl Orders {
    /// Records the answer to an order; returns the decision to record if the engine refused it.
    pub(super) fn handle_answer(
        &mut self,
        vm: &CompactString,
        result: &Result<()>,
    ) -> Option<Action> {
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

    /// Returns the orders that are due, those to leave first, and marks them as sent.
    pub(super) fn send_due(
        &mut self,
        placement: &Placement,
        options: &Options,
        round: &Round<'_>,
    ) -> Vec<Action> {
        let mut wanted = leave_commands(placement, round);
        wanted.extend(join_commands(placement, round));
        let mut actions = Vec::new();
        for (vm, command) in &wanted {
            if self.in_flight() >= options.max_orders_in_flight {
                break;
            }
            if self.is_due(vm, command, options, round.now) {
                actions.extend(self.send(vm, command, round));
            }
        }
        self.forget_matched(&wanted);
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
        let is_repeat = sent.description == describe(command);
        !sent.in_flight && (!is_repeat || now >= sent.at + options.order_retry_interval)
    }

    fn send(&mut self, vm: &CompactString, command: &Command, round: &Round<'_>) -> Vec<Action> {
        let description = describe(command);
        let previous = self.sent.insert(
            vm.clone(),
            Sent {
                description: description.clone(),
                at: round.now,
                in_flight: true,
            },
        );
        let mut actions = Vec::new();
        // A repeated order is not explained again.
        if previous.is_none_or(|previous| previous.description != description) {
            let decision = Decision::new(
                Subject::Vm(vm.clone()),
                "the VM's report differs from the placement",
                &description,
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

    /// Forgets answered orders to VMs whose reports match the placement now.
    fn forget_matched(&mut self, wanted: &[(CompactString, Command)]) {
        self.sent
            .retain(|vm, sent| sent.in_flight || wanted.iter().any(|(other, _)| other == vm));
    }
}

/// Returns commands to leave for the VMs that are members of a group which the placement does not
/// give them.
fn leave_commands(placement: &Placement, round: &Round<'_>) -> Vec<(CompactString, Command)> {
    let to_leave = round.table.candidates().into_iter().filter(|vm| {
        let Some(membership) = membership(&vm.name, round) else {
            return false;
        };
        let assignment = assignment(placement, &vm.name);
        assignment.is_none_or(|(group, rank)| must_leave(membership, group, rank))
    });
    to_leave.map(|vm| (vm.name, Command::Leave)).collect()
}

/// Returns whether a membership must end before the VM can join a group at a rank.
fn must_leave(membership: &Membership, group: &Group, rank: usize) -> bool {
    // A VM leaves an older generation of the same group by joining the newer one.
    if membership.group != group.name || membership.generation > group.generation {
        return true;
    }
    let is_same_assignment = membership.model == group.model
        && membership.version == group.version
        && membership.rank as usize == rank;
    membership.generation == group.generation && !is_same_assignment
}

/// Returns commands to join for the VMs that are not yet members of their group, in the order of
/// the placement.
fn join_commands(placement: &Placement, round: &Round<'_>) -> Vec<(CompactString, Command)> {
    let mut wanted = Vec::new();
    let active = placement
        .groups
        .iter()
        .filter(|group| is_active(group.state));
    for group in active {
        for (rank, vm) in group.members.iter().enumerate() {
            if can_join(vm, group, round) {
                wanted.push((vm.clone(), join_command(group, rank)));
            }
        }
    }
    wanted
}

/// Returns whether a VM reports that it is in no group, or in an older generation of this one.
fn can_join(vm: &CompactString, group: &Group, round: &Round<'_>) -> bool {
    // A restarted member needs a new generation: the other members still rely on the state that it
    // had before the restart.
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
    let observation = round.table.fresh_observation(vm, round.now)?;
    observation.report.membership.as_ref()
}

/// Returns the group and the rank that the placement gives a VM.
fn assignment<'a>(placement: &'a Placement, vm: &str) -> Option<(&'a Group, usize)> {
    placement.groups.iter().find_map(|group| {
        let rank = group.members.iter().position(|member| member == vm)?;
        Some((group, rank))
    })
}

fn join_command(group: &Group, rank: usize) -> Command {
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
