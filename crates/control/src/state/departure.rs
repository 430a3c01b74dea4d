//! Tells other nodes of VMs that are leaving, and learns of them from others.

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

    /// Tells other nodes of the VMs that this node knows to be leaving.
    pub(super) fn tell_departures(&mut self, now: Instant, unix_ms: u64) {
        let departures: Vec<Fact> = self
            .engines()
            .filter(|vm| self.zone.table.is_leaving(&vm.name))
            .filter_map(|vm| self.departure(&vm.name, unix_ms))
            .collect();
        for fact in departures {
            self.overlay.publish(fact, now);
        }
    }

    /// Takes note of a VM that another node knows to be leaving.
    pub(super) fn take_departure(
        &mut self,
        fact: &Fact,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let Key::Leaving(vm) = &fact.key else {
            return Vec::new();
        };
        // The mark belongs to one boot; a VM that has started anew does not leave.
        let is_same_boot = self.boot(vm) == Some(fact.version.minor);
        if !is_same_boot || self.zone.table.is_leaving(vm) {
            return Vec::new();
        }
        let outcome: Outcome = self.zone.learn(member::Event::Leaving(vm.clone()), now);
        self.follow(outcome, now, unix_ms)
    }

    /// Returns the fact that a VM is leaving, unless it is known for the VM's boot already.
    fn departure(&self, vm: &str, unix_ms: u64) -> Option<Fact> {
        let boot = self.boot(vm)?;
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

    fn boot(&self, vm: &str) -> Option<u64> {
        Some(self.zone.table.observation(vm)?.report.boot)
    }
}
