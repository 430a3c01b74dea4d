//! Simulated key-value service.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use jackdaw_core::errors::Error;
use jackdaw_core::store::{Committed, Compare, Entry, Lease};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::lease;
use jackdaw_policy::placement::{self, Commit, Versioned, Written};
use jackdaw_policy::plan;

use crate::model::{Call, LEADER_KEY, Setup, TTL, Task, UNIT, Variant};
use crate::node::digest;

#[derive(Clone, Default)]
pub(crate) struct Store {
    /// Digest of the placement entry.
    pub(crate) digest: u64,
    pub(crate) revision: u64,
    pub(crate) leases: BTreeMap<i64, Instant>,
    pub(crate) next_lease: i64,
    pub(crate) leader: Option<Entry>,
    pub(crate) placement: Option<Rc<Versioned>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leader = self.leader.as_ref().map(|entry| entry.create_revision);
        let numbers = (self.digest, self.revision, self.next_lease, leader);
        write!(f, "{numbers:?} {:?}", self.leases)
    }
}

impl Store {
    pub(crate) fn placement(&self) -> Option<Versioned> {
        self.placement.as_deref().cloned()
    }

    pub(crate) fn remove_expired_leader(&mut self) {
        let is_expired = self
            .leader
            .as_ref()
            .and_then(|entry| entry.lease)
            .is_some_and(|lease| !self.leases.contains_key(&lease.0));
        if is_expired {
            self.revision += 1;
            self.leader = None;
        }
    }

    pub(crate) fn execute(
        &mut self,
        node: usize,
        call: &Call,
        sent: Instant,
        now: Instant,
        setup: &Setup,
    ) -> Result<Task, String> {
        let expiry = now + TTL;
        let event = match call {
            Call::Grant => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, expiry);
                lease::Event::Granted(sent, Ok(Lease(self.next_lease)))
            }
            Call::Create(lease) => lease::Event::Created(sent, self.create(node, *lease)),
            Call::ReadLeader => lease::Event::Read(sent, Ok(self.leader.clone())),
            Call::Renew(lease) => {
                let remaining = match self.leases.get_mut(&lease.0) {
                    Some(end) => {
                        *end = expiry;
                        TTL
                    }
                    None => Millis(0),
                };
                lease::Event::Renewed(sent, Ok(remaining))
            }
            Call::Revoke(lease) => {
                self.leases.remove(&lease.0);
                self.remove_expired_leader();
                lease::Event::Tick
            }
            Call::ReadPlacement => {
                let answer = placement::Event::Read(Ok(self.placement()));
                return Ok(Task::PlaceAnswer(answer));
            }
            Call::Commit(commit) => {
                let written = self.commit(commit, setup)?;
                return Ok(Task::PlaceAnswer(placement::Event::Written(Ok(written))));
            }
        };
        Ok(Task::LeaseAnswer(event))
    }

    pub(crate) fn create(&mut self, node: usize, lease: Lease) -> Result<Committed, Error> {
        if let Some(entry) = &self.leader {
            return Ok(Committed::No(vec![entry.clone()]));
        }
        if !self.leases.contains_key(&lease.0) {
            return Err(Error::refused("create", "store", "lease not found"));
        }
        self.revision += 1;
        self.leader = Some(Entry {
            key: LEADER_KEY.into(),
            value: ["n0", "n1"][node].into(),
            create_revision: self.revision,
            mod_revision: self.revision,
            lease: Some(lease),
        });
        Ok(Committed::Yes(self.revision))
    }

    pub(crate) fn commit(&mut self, commit: &Commit, setup: &Setup) -> Result<Written, String> {
        let leader = self.leader.as_ref().map(|entry| entry.create_revision);
        let options = placement::Options {
            zone: "a".into(),
            leader_key: LEADER_KEY.into(),
            placement_key: "placement".into(),
            order_retry_interval: UNIT,
            max_orders_in_flight: 2,
            drain_propagation: UNIT,
            plan: plan::Options::default(),
        };
        let known = self.placement.as_ref().map(|known| known.mod_revision);
        let is_satisfied = |compare: &Compare| match compare {
            Compare::CreateRevision(_, revision) => {
                setup.variant == Variant::UnconditionalWrite || leader == Some(*revision)
            }
            Compare::ModRevision(_, revision) => known == Some(*revision),
            Compare::Absent(_) => known.is_none(),
        };
        let transaction = commit.transaction(&options, Vec::new());
        if !transaction.when.iter().all(is_satisfied) {
            let known = self.placement();
            return Ok(Written::Refused {
                leader,
                current: known,
            });
        }
        self.check_commit(commit, leader)?;
        self.revision += 1;
        let known = Versioned {
            placement: commit.placement.clone(),
            mod_revision: self.revision,
        };
        self.digest = digest(&known);
        self.placement = Some(Rc::new(known));
        Ok(Written::Done(self.revision))
    }

    /// Checks the invariants of a placement when it comes into force.
    pub(crate) fn check_commit(&self, commit: &Commit, leader: Option<u64>) -> Result<(), String> {
        let placement = &commit.placement;
        if !placement.vms_in_two_groups().is_empty() {
            return Err("a VM is in two groups".to_owned());
        }
        if leader != Some(placement.fence.0) {
            return Err(format!(
                "placement of {} written while the leader is {leader:?}",
                placement.fence
            ));
        }
        let previous_sequence = self
            .placement
            .as_ref()
            .map_or(0, |known| known.placement.sequence);
        if placement.sequence != previous_sequence + 1 {
            return Err("a placement write was lost".to_owned());
        }
        Ok(())
    }
}
