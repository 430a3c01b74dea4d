//! What the table knows about one VM.

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::inventory::Vm;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Bounds, Observation, is_live};
use crate::plan::Health;

/// Number of times that the steady time doubles at most.
const MAX_DOUBLINGS: u32 = 3;

/// A VM was said to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    /// Boot that leaves, if it is known.
    boot: Option<u64>,
    /// Whether only the VM list says so.
    by_list: bool,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Row {
    pub(super) vm: Option<Vm>,
    pub(super) listed: bool,
    pub(super) listed_at: Instant,
    pub(super) seen: Option<Observation>,
    pub(super) unreachable_at: Option<Instant>,
    pub(super) health: Health,
    pub(super) since: Instant,
    /// Boot before the present one; its reports that come late are ignored.
    former_boot: Option<u64>,
    departure: Option<Departure>,
    answering_since: Option<Instant>,
    losses: u32,
}

impl Row {
    pub(super) fn new(now: Instant) -> Self {
        Row {
            vm: None,
            listed: false,
            listed_at: now,
            seen: None,
            unreachable_at: None,
            health: Health::Missing,
            since: now,
            former_boot: None,
            departure: None,
            answering_since: None,
            losses: 0,
        }
    }

    /// Takes a report unless a newer one is known, and returns whether it was taken.
    pub(super) fn take(&mut self, seen: Observation, now: Instant, bounds: Bounds) -> bool {
        if self.seen.as_ref().is_some_and(|old| old.sent > seen.sent) {
            return false;
        }
        let boot = seen.report.boot;
        if self.former_boot == Some(boot) {
            return false;
        }
        let before = self.seen.as_ref().map(|old| old.report.boot);
        let rebooted = before.is_some_and(|before| before != boot);
        if rebooted {
            self.former_boot = before;
        }
        if rebooted || !self.is_answering(now, bounds) {
            self.answering_since = Some(now);
        }
        let leaving = seen.report.leaving;
        self.seen = Some(seen);
        self.settle_departure(boot);
        if leaving {
            self.leave();
        }
        true
    }

    /// Ends a departure that was another boot's, once the VM list says that the VM stays.
    fn settle_departure(&mut self, boot: u64) {
        let Some(departure) = &mut self.departure else {
            return;
        };
        if !departure.by_list {
            departure.boot.get_or_insert(boot);
        }
        let listed_live = self.vm.as_ref().is_none_or(is_live);
        if departure.boot != Some(boot) && listed_live {
            self.departure = None;
        }
    }

    /// Takes the VM's entry in the VM list.
    pub(super) fn list(&mut self, vm: Vm, now: Instant) {
        if self.vm.is_none() {
            self.listed_at = now;
        }
        // Another address means another VM under the same name.
        let replaced = self
            .vm
            .as_ref()
            .is_some_and(|old| old.address != vm.address);
        if replaced && vm.service.is_some() {
            self.departure = None;
        }
        let live = is_live(&vm);
        let boot = self.seen.as_ref().map(|seen| seen.report.boot);
        self.listed = true;
        self.vm = Some(vm);
        if !live {
            // A repeated entry may be an old boot's: the first one keeps its boot.
            self.departure.get_or_insert(Departure {
                boot,
                by_list: true,
            });
        } else if let Some(boot) = boot {
            self.settle_departure(boot);
        }
    }

    /// Marks the VM as leaving until it starts anew.
    pub(super) fn leave(&mut self) {
        let boot = self.seen.as_ref().map(|seen| seen.report.boot);
        self.departure = Some(Departure {
            boot,
            by_list: false,
        });
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.departure.is_some()
    }

    /// Returns whether the VM has answered lately.
    pub(super) fn is_answering(&self, now: Instant, bounds: Bounds) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| now.since(seen.sent) <= bounds.missing_after)
    }

    /// Finds the VM's health and explains a change.
    pub(super) fn assess(
        &mut self,
        name: &CompactString,
        restarted: bool,
        now: Instant,
        bounds: Bounds,
    ) -> Option<Decision> {
        if !self.is_answering(now, bounds) {
            self.answering_since = None;
        }
        let (health, cause) = self.judge(restarted, now, bounds);
        if health == self.health {
            let calm = health == Health::Present && now.since(self.since) > bounds.loss_memory;
            if calm {
                self.losses = 0;
            }
            return None;
        }
        if health == Health::Missing
            || health == Health::Restarted && self.health != Health::Missing
        {
            self.losses += 1;
        }
        let taken = match health {
            Health::Present => "VM counts as present",
            Health::Leaving => "VM counts as leaving",
            Health::Missing => "VM counts as missing",
            Health::Restarted => "VM may join the next generation",
        };
        let subject = Subject::Vm(name.clone());
        let decision = Decision::new(subject, cause, taken).with_input("losses", self.losses);
        self.health = health;
        self.since = now;
        Some(decision)
    }

    fn judge(&self, restarted: bool, now: Instant, bounds: Bounds) -> (Health, &'static str) {
        let Some(since) = self.answering_since else {
            return (Health::Missing, "the VM does not answer");
        };
        // Hysteresis keeps a VM that comes and goes from being placed again and again.
        if now.since(since) < self.hold(bounds) && self.health == Health::Missing {
            return (Health::Missing, "the VM was missing a short while ago");
        }
        if self.is_leaving() {
            return (Health::Leaving, "the VM is leaving");
        }
        if restarted {
            return (Health::Restarted, "the VM started anew and lost its group");
        }
        (Health::Present, "the VM answers")
    }

    /// Returns how long the VM must have answered to count as present after a loss.
    fn hold(&self, bounds: Bounds) -> Millis {
        if self.losses == 0 {
            return Millis(0);
        }
        let doublings = (self.losses - 1).min(MAX_DOUBLINGS);
        Millis(bounds.recovery_time.0 << doublings)
    }
}
