//! Sets aside groups that ended or broke, drains groups that must go, and restores what waits.

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::placement::{Group, State};

use super::Health;
use super::draft::{Draft, Retired};

/// What becomes of a group at the start of a pass.
enum Fate {
    /// The group stands.
    Stands,
    /// The group is set aside and comes back if its VMs are not used.
    Waits,
    /// The group is over.
    Ends(&'static str),
}

impl Draft<'_> {
    /// Sets aside every group that has nothing in flight any more or that lacks a member.
    pub(super) fn retire(&mut self) {
        let groups = std::mem::take(&mut self.placement.groups);
        for group in groups {
            match self.fate(&group) {
                Fate::Stands => self.placement.groups.push(group),
                Fate::Waits => self.retired.push(Retired {
                    group,
                    waits: true,
                    spent: false,
                }),
                Fate::Ends(cause) => self.end(group, cause),
            }
        }
    }

    fn fate(&self, group: &Group) -> Fate {
        let missing = self.missing(group).next();
        match (group.state, missing) {
            (State::Draining, Some(_)) => Fate::Ends("a member is missing, nothing can finish"),
            (State::Draining, None) if self.input.drained.contains(&group.name) => {
                Fate::Ends("nothing is in flight")
            }
            (State::Draining | State::Active, None) => Fate::Stands,
            (State::Active, Some(_)) if !self.is_current(group) => {
                Fate::Ends("a member is missing and the release note wants another version")
            }
            (State::Active, Some(_)) if self.is_given_time(group) => Fate::Stands,
            (State::Active, Some(_)) => Fate::Waits,
        }
    }

    /// Returns whether every missing member may still return in time.
    fn is_given_time(&self, group: &Group) -> bool {
        let patience = self.context.options.patience;
        self.missing(group).all(|vm| {
            let flaps = self
                .context
                .flaps
                .is_some_and(|flaps| flaps.is_flapping(vm));
            // A VM that lost the group does not return to its generation.
            let returns = self.health(vm) != Health::Restarted;
            returns && !flaps && self.missing_for(vm) < patience
        })
    }

    fn end(&mut self, group: Group, cause: &str) {
        let subject = Subject::Group(group.name.clone());
        let survivors = group.members.len() - self.missing(&group).count();
        self.decisions.push(
            Decision::new(subject, cause, "group ends, its VMs are free")
                .with_input("VMs freed", survivors),
        );
        self.retired.push(Retired {
            group,
            waits: false,
            spent: false,
        });
    }

    /// Drains groups of models that are no longer served and groups with a leaving member.
    pub(super) fn drain(&mut self) {
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

    /// Marks a group as draining.
    pub(super) fn start_drain(&mut self, index: usize, cause: &str, other: Option<Subject>) {
        let group = &mut self.placement.groups[index];
        group.state = State::Draining;
        let mut decision = Decision::new(
            Subject::Group(group.name.clone()),
            cause,
            "group drains and ends once nothing is in flight",
        )
        .with_input("model", &group.model)
        .with_alternative("end the group at once", "requests in flight would be cut");
        if let Some(other) = other {
            decision = decision.with_subject(other);
        }
        self.decisions.push(decision);
    }

    /// Brings back groups that wait for a member, unless another group took their place or VMs.
    pub(super) fn restore(&mut self) {
        let retired = std::mem::take(&mut self.retired);
        for entry in retired {
            if !entry.waits {
                continue;
            }
            let is_short = self
                .model(&entry.group)
                .is_some_and(|model| self.short(model) > 0);
            if is_short && !entry.spent {
                self.placement.groups.push(entry.group);
                continue;
            }
            if !entry.spent {
                self.release(&entry.group);
            }
        }
    }

    fn release(&mut self, group: &Group) {
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
