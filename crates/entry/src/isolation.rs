//! Chooses the target of an attempt, and runs a suspect call alone on it, so that a crash can be
//! attributed to it.

use std::rc::{Rc, Weak};
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::units::Millis;
use jackdaw_policy::retry::Connection;
use ntex::time;
use tokio::sync::OwnedSemaphorePermit;

use crate::call::Call;
use crate::event::Event;
use crate::exchange::{self, to_timer_millis};
use crate::gauge::Reservation;
use crate::limits::Applicant;
use crate::route::{Router, Selector};
use crate::shared::Shared;
use crate::snapshot::Target;

/// A suspect call waits for each step at most the time until its deadline divided by this.
const WAIT_DIVISOR: u64 = 3;

/// Largest number of servers that are asked for one attempt.
const MAX_ASKED: u32 = 4;

/// Permit of one suspect call to run alone; only few calls hold one at the same time.
#[derive(Debug)]
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Keeps this node's other calls off a target until it is dropped.
#[derive(Debug)]
pub(crate) struct Isolation {
    target: Target,
    _reservation: Reservation,
    slot: Rc<Slot>,
}

/// A chosen target and the kind of connection to use.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) target: Target,
    pub(crate) connection: Connection,
    pub(crate) isolation: Option<Rc<Isolation>>,
}

/// What the choice of a target depends on.
pub(crate) struct Plan {
    pub(crate) shared: Arc<Shared>,
    pub(crate) router: Rc<Router>,
    pub(crate) call: Rc<Call>,
    /// Targets that were tried before.
    pub(crate) tried: Vec<CompactString>,
    /// Target that is tried once more on a new connection, if it is still listed.
    pub(crate) reconnect_target: Option<Target>,
    /// Who asks for requests to servers with limits.
    pub(crate) applicant: Applicant,
    /// Whether the call has to run alone.
    pub(crate) suspect: bool,
    /// Isolation of the call's attempt before, if that is still in progress.
    pub(crate) isolation: Weak<Isolation>,
}

impl Plan {
    /// Chooses a target and waits until the call may be sent there; returns `None` if there is none.
    pub(crate) async fn place(self) -> Option<Placement> {
        let previous = self.isolation.upgrade();
        let slot = match (&previous, self.suspect) {
            (Some(previous), true) => Some(Rc::clone(&previous.slot)),
            (None, true) => acquire_slot(&self.shared, self.remaining()).await,
            (_, false) => None,
        };
        let reconnect_target = self.reconnect_target.as_ref();
        let (target, connection) = match reconnect_target.filter(|target| self.is_listed(target)) {
            Some(target) => {
                let target = target.clone();
                if !self.ask(&target).await {
                    return None;
                }
                (target, Connection::New)
            }
            // A non-idempotent call cannot be retried after the loss of a reused connection, so it
            // always gets a new one.
            None => (
                self.choose_granted_target().await?,
                exchange::connection_kind(!self.call.idempotent),
            ),
        };
        let own = previous.filter(|isolation| isolation.target.is_same(&target));
        let isolation = match (own, slot) {
            (Some(own), _) => Some(own),
            (None, Some(slot)) => reserve_target(slot, &target, self.remaining()).await,
            (None, None) => None,
        };
        Some(Placement {
            target,
            connection,
            isolation,
        })
    }

    /// Returns whether a target that was not tried yet is known.
    pub(crate) fn has_target(&self) -> bool {
        self.choose_target().is_some()
    }

    /// Chooses a target whose server may get the call by the limit that it names, if it does.
    async fn choose_granted_target(&self) -> Option<Target> {
        for _ in 0..MAX_ASKED {
            let target = self.choose_target()?;
            if self.ask(&target).await {
                return Some(target);
            }
        }
        None
    }

    /// Returns whether a target's server may get the call by the limit that it names, if it does.
    async fn ask(&self, target: &Target) -> bool {
        let limits = &self.shared.limits;
        if !limits.is_limited(target) {
            return true;
        }
        let snapshot = self.shared.snapshot.load_full();
        limits.ask(&snapshot, target, self.applicant).await
    }

    /// Returns the shortest time for which a target's server refuses the call by its limit, if any does.
    pub(crate) fn exhausted_for(&self) -> Option<Millis> {
        let snapshot = self.shared.snapshot.load();
        let targets = self.selector().targets(&snapshot).iter();
        let limits = &self.shared.limits;
        targets
            .filter_map(|target| limits.blocked_for(target, self.applicant))
            .min()
    }

    /// Returns whether a target is still in the snapshot.
    fn is_listed(&self, target: &Target) -> bool {
        let snapshot = self.shared.snapshot.load();
        snapshot.has_target(&self.call.destination, target)
    }

    fn choose_target(&self) -> Option<Target> {
        let snapshot = self.shared.snapshot.load_full();
        let now = self.shared.clock.now();
        let limits = &self.shared.limits;
        let mut avoided = self.tried.clone();
        let targets = self.selector().targets(&snapshot).iter();
        let blocked = targets.filter(|target| limits.blocked_for(target, self.applicant).is_some());
        avoided.extend(blocked.map(|target| target.name.clone()));
        let choice = self
            .router
            .choose(&snapshot, self.selector(), &avoided, now);
        for decision in self.router.take_decisions() {
            self.shared.send(Event::Explained(decision));
        }
        Some(choice?.target)
    }

    fn selector(&self) -> Selector<'_> {
        Selector {
            name: self.call.destination.name(),
            is_model: self.call.destination.is_model(),
            prefix_hash: self.call.prefix_hash,
            isolated: self.suspect,
        }
    }

    fn remaining(&self) -> Millis {
        self.call.deadline.since(self.shared.clock.now())
    }
}

/// Waits for a free slot; returns `None` if none becomes free in time.
async fn acquire_slot(shared: &Shared, remaining: Millis) -> Option<Rc<Slot>> {
    let permit = Arc::clone(&shared.suspect_slots).acquire_owned();
    let permit = time::timeout(limit_wait(remaining), permit)
        .await
        .ok()?
        .ok()?;
    Some(Rc::new(Slot { _permit: permit }))
}

/// Reserves a target and waits until no request of this node is in flight there.
///
/// Returns `None` if the target is already reserved or the wait takes too long. The suspect call
/// then runs beside others, and a crash is not attributed to it alone.
async fn reserve_target(
    slot: Rc<Slot>,
    target: &Target,
    remaining: Millis,
) -> Option<Rc<Isolation>> {
    let reservation = Reservation::new(&target.gauge)?;
    let idle = time::timeout(limit_wait(remaining), reservation.wait_until_empty());
    idle.await.ok()?;
    Some(Rc::new(Isolation {
        target: target.clone(),
        _reservation: reservation,
        slot,
    }))
}

fn limit_wait(remaining: Millis) -> time::Millis {
    to_timer_millis(Millis(remaining.0 / WAIT_DIVISOR))
}
