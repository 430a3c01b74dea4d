//! Exchanges with other nodes which VMs are leaving.

use jackdaw_core::time::Instant;
use jackdaw_policy::gossip::fact::{Fact, Key, Value, Version};
use jackdaw_policy::member;

use super::zone::Outcome;
use super::{Action, State};

impl State {
    /// Returns whether this node knows a VM of its zone to be leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.zone.table.is_leaving(vm)
    }

    /// Publishes to other nodes the VMs that this node knows to be leaving.
    pub(super) fn publish_departures(&mut self, now: Instant, unix_ms: u64) {
        let facts: Vec<Fact> = self
            .engines()
            .filter(|vm| self.zone.table.is_leaving(&vm.name))
            .filter_map(|vm| self.departure_fact(&vm.name, unix_ms))
            .collect();
        for fact in facts {
            self.overlay.publish(fact, now);
        }
    }

    /// Marks a VM as leaving that another node reports to be leaving.
    pub(super) fn adopt_departure(
        &mut self,
        fact: &Fact,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let Key::Leaving(vm) = &fact.key else {
            return Vec::new();
        };
        // The fact is valid for one boot only; a VM that has restarted is not leaving.
        let is_same_boot = self.reported_boot(vm) == Some(fact.version.minor);
        if !is_same_boot || self.zone.table.is_leaving(vm) {
            return Vec::new();
        }
        let outcome: Outcome = self
            .zone
            .step_members(member::Event::Leaving(vm.clone()), now);
        self.apply_outcome(outcome, now, unix_ms)
    }

    /// Returns the fact that a VM is leaving, unless it is already held for the VM's current boot.
    fn departure_fact(&self, vm: &str, unix_ms: u64) -> Option<Fact> {
        let boot = self.reported_boot(vm)?;
        let key = Key::Leaving(vm.into());
        let held = self.overlay.node()?.facts().get(&key);
        if held.is_some_and(|held| held.version.minor == boot) {
            return None;
        }
        Some(Fact {
            key,
            version: Version {
                major: unix_ms,
                minor: boot,
            },
            value: Value::Leaving,
        })
    }

    fn reported_boot(&self, vm: &str) -> Option<u64> {
        Some(self.zone.table.observation(vm)?.report.boot)
    }
}
