//! Hysteresis for VMs that come and go.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Candidate, Health};

/// Losses that a VM may have without being held back.
const FREE_LOSSES: u32 = 1;
/// Shortest time that a VM which flapped must stay present.
const FIRST_HOLD: Millis = Millis::from_secs(60);
/// Longest time that a VM which flapped must stay present.
const LONGEST_HOLD: Millis = Millis::from_secs(3_840);
/// Time of presence after which one loss is forgotten.
const DECAY: Millis = Millis::from_secs(3_600);

/// What is remembered of one VM.
#[derive(Clone, Copy, Debug)]
struct Record {
    health: Health,
    since: Instant,
    losses: u32,
    decayed_at: Instant,
}

/// Remembers which VMs were lost of late.
#[derive(Clone, Debug, Default)]
pub struct FlapHistory {
    records: BTreeMap<CompactString, Record>,
}

impl FlapHistory {
    /// Takes in the health of all VMs.
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
            self.forget(vms);
        }
    }

    /// Returns how long a VM must be present before it is used; zero for a VM that did not flap.
    #[must_use]
    pub fn hold_time(&self, vm: &str) -> Millis {
        let losses = self.records.get(vm).map_or(0, |record| record.losses);
        let Some(excess) = losses.checked_sub(FREE_LOSSES + 1) else {
            return Millis(0);
        };
        let hold = FIRST_HOLD.0.saturating_mul(1 << excess.min(16));
        Millis(hold.min(LONGEST_HOLD.0))
    }

    /// Returns whether a VM has been lost more often than is forgiven.
    #[must_use]
    pub fn is_flapping(&self, vm: &str) -> bool {
        self.hold_time(vm) > Millis(0)
    }

    /// Returns whether a VM may be used now.
    #[must_use]
    pub fn is_settled(&self, vm: &Candidate, now: Instant) -> bool {
        vm.health.is_usable() && now.since(vm.since) >= self.hold_time(&vm.name)
    }

    /// Returns when the next VM that is held back may be used, if one is.
    #[must_use]
    pub fn next_hold_end(&self, vms: &[Candidate], now: Instant) -> Option<Instant> {
        vms.iter()
            .filter(|vm| vm.health.is_usable())
            .map(|vm| vm.since + self.hold_time(&vm.name))
            .filter(|at| *at > now)
            .min()
    }

    fn forget(&mut self, vms: &[Candidate]) {
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
        // A VM that was missing and present again between two calls still counts as lost.
        let returned_unseen =
            self.health == Health::Present && vm.health == Health::Present && vm.since > self.since;
        let lost = self.health != Health::Missing && vm.health == Health::Missing;
        if lost || returned_unseen {
            self.losses += 1;
            self.decayed_at = now;
        }
        self.health = vm.health;
        self.since = vm.since;
    }

    fn decay(&mut self, now: Instant) {
        let periods = now.since(self.decayed_at).0 / DECAY.0;
        if periods == 0 {
            return;
        }
        let forgiven = u32::try_from(periods).unwrap_or(u32::MAX);
        self.losses = self.losses.saturating_sub(forgiven);
        self.decayed_at = self.decayed_at + Millis(periods * DECAY.0);
    }
}
