//! State of one VM in the member table.

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::inventory::Vm;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Bounds, Observation, is_live};
use crate::plan::Health;

/// Maximum number of times that the recovery time doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Announcement that a VM is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departure {
    /// Boot number of the VM that leaves, if known.
    boot: Option<u64>,
    /// Whether the VM list is the only source.
    by_list: bool,
}

/// State of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Row {
    pub(super) vm: Option<Vm>,
    pub(super) listed: bool,
    pub(super) listed_at: Instant,
    pub(super) observation: Option<Observation>,
    pub(super) unreachable_at: Option<Instant>,
    pub(super) health: Health,
    pub(super) since: Instant,
    /// Boot number before the current one, whose late reports are ignored.
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
            observation: None,
            unreachable_at: None,
            health: Health::Missing,
            since: now,
            former_boot: None,
            departure: None,
            answering_since: None,
            losses: 0,
        }
    }

    /// Records a report unless it is outdated, and returns whether it was recorded.
    pub(super) fn record_observation(
        &mut self,
        observation: Observation,
        now: Instant,
        bounds: Bounds,
    ) -> bool {
        if self
            .observation
            .as_ref()
            .is_some_and(|old| old.sent > observation.sent)
        {
            return false;
        }
        let boot = observation.report.boot;
        if self.former_boot == Some(boot) {
            return false;
        }
        let previous_boot = self.observation.as_ref().map(|old| old.report.boot);
        let is_rebooted = previous_boot.is_some_and(|previous| previous != boot);
        if is_rebooted {
            self.former_boot = previous_boot;
        }
        if is_rebooted || !self.is_answering(now, bounds) {
            self.answering_since = Some(now);
        }
        let is_leaving = observation.report.leaving;
        self.observation = Some(observation);
        self.clear_former_departure(boot);
        if is_leaving {
            self.mark_leaving();
        }
        true
    }

    /// Clears a departure that belongs to another boot once the VM list shows the VM as live.
    fn clear_former_departure(&mut self, boot: u64) {
        let Some(departure) = &mut self.departure else {
            return;
        };
        if !departure.by_list {
            departure.boot.get_or_insert(boot);
        }
        let is_listed_live = self.vm.as_ref().is_none_or(is_live);
        if departure.boot != Some(boot) && is_listed_live {
            self.departure = None;
        }
    }

    /// Records the VM's entry in the VM list.
    pub(super) fn update_listing(&mut self, vm: Vm, now: Instant) {
        if self.vm.is_none() {
            self.listed_at = now;
        }
        // Another address means another VM under the same name.
        let is_replaced = self
            .vm
            .as_ref()
            .is_some_and(|old| old.address != vm.address);
        if is_replaced && vm.service.is_some() {
            self.departure = None;
        }
        let is_listed_live = is_live(&vm);
        let boot = self
            .observation
            .as_ref()
            .map(|observation| observation.report.boot);
        self.listed = true;
        self.vm = Some(vm);
        if !is_listed_live {
            // A repeated entry may refer to a previous boot, so the first entry's boot is kept.
            self.departure.get_or_insert(Departure {
                boot,
                by_list: true,
            });
        } else if let Some(boot) = boot {
            self.clear_former_departure(boot);
        }
    }

    /// Marks the VM as leaving until it restarts.
    pub(super) fn mark_leaving(&mut self) {
        let boot = self
            .observation
            .as_ref()
            .map(|observation| observation.report.boot);
        self.departure = Some(Departure {
            boot,
            by_list: false,
        });
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.departure.is_some()
    }

    /// Returns whether the VM has answered within the last `missing_after`.
    pub(super) fn is_answering(&self, now: Instant, bounds: Bounds) -> bool {
        self.observation
            .as_ref()
            .is_some_and(|observation| now.since(observation.sent) <= bounds.missing_after)
    }

    /// Updates the VM's health and returns a decision if it changed.
    pub(super) fn update_health(
        &mut self,
        name: &CompactString,
        is_restarted: bool,
        now: Instant,
        bounds: Bounds,
    ) -> Option<Decision> {
        if !self.is_answering(now, bounds) {
            self.answering_since = None;
        }
        let (health, cause) = self.evaluate_health(is_restarted, now, bounds);
        if health == self.health {
            let is_stable = health == Health::Present && now.since(self.since) > bounds.loss_memory;
            if is_stable {
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

    fn evaluate_health(
        &self,
        is_restarted: bool,
        now: Instant,
        bounds: Bounds,
    ) -> (Health, &'static str) {
        let Some(since) = self.answering_since else {
            return (Health::Missing, "the VM does not answer");
        };
        // Hysteresis prevents repeated placement of a VM that keeps failing and recovering.
        if now.since(since) < self.recovery_time(bounds) && self.health == Health::Missing {
            return (Health::Missing, "the VM was missing a short while ago");
        }
        if self.is_leaving() {
            return (Health::Leaving, "the VM is leaving");
        }
        if is_restarted {
            return (Health::Restarted, "the VM started anew and lost its group");
        }
        (Health::Present, "the VM answers")
    }

    /// Returns how long the VM must answer after a loss to count as present.
    fn recovery_time(&self, bounds: Bounds) -> Millis {
        if self.losses == 0 {
            return Millis(0);
        }
        let doublings = (self.losses - 1).min(MAX_DOUBLINGS);
        Millis(bounds.recovery_time.0 << doublings)
    }
}
