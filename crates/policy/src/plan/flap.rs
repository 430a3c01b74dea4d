//! Flap damping for VMs that are lost and return repeatedly.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Candidate, Health};

/// Number of remembered losses up to which a VM is not held back.
const TOLERATED_LOSSES: u32 = 1;
/// Time that a VM must stay present after the first loss that is not tolerated; it doubles with
/// each further loss.
const MIN_HOLD: Millis = Millis::from_secs(60);
/// Longest time that a flapping VM must stay present.
const MAX_HOLD: Millis = Millis::from_secs(3_840);
/// Time without a further loss after which one loss is dropped from the count.
const LOSS_LIFETIME: Millis = Millis::from_secs(3_600);

/// Last known health of one VM and its count of losses.
#[derive(Clone, Copy, Debug)]
struct Record {
    health: Health,
    since: Instant,
    losses: u32,
    decayed_at: Instant,
}

/// Counts the recent losses of each VM and holds flapping VMs back.
#[derive(Clone, Debug, Default)]
pub struct FlapHistory {
    records: BTreeMap<CompactString, Record>,
}

impl FlapHistory {
    /// Updates the history with the health of all listed VMs.
    pub fn observe(&mut self, vms: &[Candidate], now: Instant) {
        for vm in vms {
            match self.records.get_mut(&vm.name) {
                Some(record) => record.update(vm, now),
                None => {
                    self.records.insert(vm.name.clone(), Record::new(vm, now));
                }
            }
        }
        if self.records.len() > vms.len() {
            self.remove_unlisted(vms);
        }
    }

    /// Returns how long a VM must stay present before it is used; zero for a VM that does not flap.
    #[must_use]
    pub fn hold_time(&self, vm: &str) -> Millis {
        let losses = self.records.get(vm).map_or(0, |record| record.losses);
        let Some(excess) = losses.checked_sub(TOLERATED_LOSSES + 1) else {
            return Millis(0);
        };
        let hold = MIN_HOLD.0.saturating_mul(1 << excess.min(16));
        Millis(hold.min(MAX_HOLD.0))
    }

    /// Returns whether a VM has been lost more often than is tolerated.
    #[must_use]
    pub fn is_flapping(&self, vm: &str) -> bool {
        self.hold_time(vm) > Millis(0)
    }

    /// Returns whether a VM may be used now.
    #[must_use]
    pub fn is_settled(&self, vm: &Candidate, now: Instant) -> bool {
        vm.health.is_usable() && now.since(vm.since) >= self.hold_time(&vm.name)
    }

    /// Returns when the next VM stops being held back; `None` if none is.
    #[must_use]
    pub fn next_hold_end(&self, vms: &[Candidate], now: Instant) -> Option<Instant> {
        vms.iter()
            .filter(|vm| vm.health.is_usable())
            .map(|vm| vm.since + self.hold_time(&vm.name))
            .filter(|at| *at > now)
            .min()
    }

    /// Removes the records of VMs that are no longer listed.
    fn remove_unlisted(&mut self, vms: &[Candidate]) {
        let listed: std::collections::BTreeSet<&CompactString> =
            vms.iter().map(|vm| &vm.name).collect();
        self.records.retain(|name, _| listed.contains(name));
    }
}

impl Record {
    fn new(vm: &Candidate, now: Instant) -> Self {
        Record {
            health: vm.health,
            since: vm.since,
            losses: u32::from(vm.health == Health::Missing),
            decayed_at: now,
        }
    }

    fn update(&mut self, vm: &Candidate, now: Instant) {
        self.decay(now);
        // A VM that went missing and returned between two calls counts as lost, too.
        let missed_loss =
            self.health == Health::Present && vm.health == Health::Present && vm.since > self.since;
        let lost = self.health != Health::Missing && vm.health == Health::Missing;
        if lost || missed_loss {
            self.losses += 1;
            self.decayed_at = now;
        }
        self.health = vm.health;
        self.since = vm.since;
    }

    fn decay(&mut self, now: Instant) {
        let periods = now.since(self.decayed_at).0 / LOSS_LIFETIME.0;
        if periods == 0 {
            return;
        }
        let expired = u32::try_from(periods).unwrap_or(u32::MAX);
        self.losses = self.losses.saturating_sub(expired);
        self.decayed_at = self.decayed_at + Millis(periods * LOSS_LIFETIME.0);
    }
}
