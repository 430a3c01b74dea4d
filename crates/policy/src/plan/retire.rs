//! Takes out groups that ended or lost members, drains groups that must end and restores groups
//! that wait for a member.

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, State};

use super::Health;
use super::draft::{Draft, Retired};

/// What is done with a group at the start of a pass.
enum Outcome {
    /// The group stays in the placement.
    Keep,
    /// The group is taken out and restored if none of its VMs is used.
    Suspend,
    /// The group ends for the given cause.
    End(&'static str),
}

impl Draft<'_> {
    /// Takes out every drained group and every group that lacks a member.
    pub(super) fn retire_groups(&mut self) {
        let groups = std::mem::take(&mut self.placement.groups);
        for group in groups {
            match self.outcome(&group) {
                Outcome::Keep => self.placement.groups.push(group),
                Outcome::Suspend => self.retired.push(Retired {
                    group,
                    is_waiting: true,
                    is_used: false,
                }),
                Outcome::End(cause) => self.end_group(group, cause),
            }
        }
    }

    fn outcome(&self, group: &Group) -> Outcome {
        let missing = self.missing(group).next();
        match (group.state, missing) {
            (State::Draining, Some(_)) => Outcome::End("a member is missing, nothing can finish"),
            (State::Draining, None) if self.input.drained.contains(&group.name) => {
                Outcome::End("nothing is in flight")
            }
            (State::Draining | State::Active, None) => Outcome::Keep,
            (State::Active, Some(_)) if !self.is_current(group) => {
                Outcome::End("a member is missing and the release note wants another version")
            }
            (State::Active, Some(_)) if self.is_within_patience(group) => Outcome::Keep,
            (State::Active, Some(_)) => Outcome::Suspend,
        }
    }

    /// Returns whether every missing member may still return within the options' patience.
    fn is_within_patience(&self, group: &Group) -> bool {
        let patience = self.context.options.patience;
        self.missing(group).all(|vm| {
            let is_flapping = self
                .context
                .flaps
                .is_some_and(|flaps| flaps.is_flapping(vm));
            // A restarted VM cannot return to the generation that it lost.
            let can_return = self.health(vm) != Health::Restarted;
            can_return && !is_flapping && self.missing_for(vm) < patience
        })
    }

    /// Ends a group and frees its VMs.
    fn end_group(&mut self, group: Group, cause: &str) {
        let subject = Subject::Group(group.name.clone());
        let survivors = group.members.len() - self.missing(&group).count();
        self.decisions.push(
            Decision::new(subject, cause, "group ends, its VMs are free")
                .with_input("VMs freed", survivors),
        );
        self.retired.push(Retired {
            group,
            is_waiting: false,
            is_used: false,
        });
    }

    /// Starts to drain groups whose model the zone no longer serves or of which a member leaves.
    pub(super) fn drain_unwanted(&mut self) {
        for index in 0..self.placement.groups.len() {
            let group = &self.placement.groups[index];
            if group.state == State::Draining {
                continue;
            }
            let leaving = group
                .members
                .iter()
                .find(|vm| self.health(vm) == Health::Leaving)
                .cloned();
            if self.model(group).is_none() {
                self.start_drain(index, "the release note no longer lists the model", None);
            } else if let Some(vm) = leaving {
                self.start_drain(index, "a member is leaving", Some(Subject::Vm(vm)));
            }
        }
    }

    /// Marks a group as draining and records the cause and a related subject.
    pub(super) fn start_drain(&mut self, index: usize, cause: &str, related: Option<Subject>) {
        let group = &mut self.placement.groups[index];
        group.state = State::Draining;
        let mut decision = Decision::new(
            Subject::Group(group.name.clone()),
            cause,
            "group drains and ends once nothing is in flight",
        )
        .with_input("model", &group.model)
        .with_alternative("end the group at once", "requests in flight would be cut");
        if let Some(related) = related {
            decision = decision.with_subject(related);
        }
        self.decisions.push(decision);
    }

    /// Restores groups that wait for a member, unless their model has enough groups without them or
    /// one of their VMs was used.
    pub(super) fn restore_waiting(&mut self) {
        let retired = std::mem::take(&mut self.retired);
        for entry in retired {
            if !entry.is_waiting {
                continue;
            }
            let is_short = self
                .model(&entry.group)
                .is_some_and(|model| self.shortfall(model) > 0);
            if is_short && !entry.is_used {
                self.placement.groups.push(entry.group);
                continue;
            }
            if !entry.is_used {
                self.explain_end(&entry.group);
            }
        }
    }

    /// Records that a waiting group ends because its model has enough groups.
    fn explain_end(&mut self, group: &Group) {
        let missing: Vec<&str> = self.missing(group).map(|vm| vm.as_str()).collect();
        let decision = Decision::new(
            Subject::Group(group.name.clone()),
            "a member is missing and another group took the place",
            "group ends, its VMs are free",
        )
        .with_input("members missing", missing.join(", "))
        .with_alternative("wait for the members", "the model has all groups it wants");
        self.decisions.push(decision);
    }
}
