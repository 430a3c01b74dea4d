//! Runs a suspect call alone on a target, so that a crash can be attributed to it.

use std::sync::Arc;

use jackdaw_core::units::Millis;
use ntex::time;
use tokio::sync::OwnedSemaphorePermit;

use crate::exchange::to_timer_millis;
use crate::gauge::Reservation;
use crate::shared::Shared;
use crate::snapshot::Target;

/// A suspect call waits for each step at most the time until its deadline divided by this.
const WAIT_DIVISOR: u64 = 3;

/// Permit of one suspect call to run alone; only few calls hold one at the same time.
#[derive(Debug)]
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Keeps this node's other calls off a target until it is dropped.
#[derive(Debug)]
pub(crate) struct Isolation {
    _reservation: Reservation,
    _slot: Slot,
}

/// Waits for a free slot; returns `None` if none becomes free in time.
pub(crate) async fn acquire_slot(shared: &Shared, remaining: Millis) -> Option<Slot> {
    let permit = Arc::clone(&shared.suspect_slots).acquire_owned();
    let permit = time::timeout(limit_wait(remaining), permit)
        .await
        .ok()?
        .ok()?;
    Some(Slot { _permit: permit })
}

/// Reserves a target and waits until no request of this node is in flight there.
///
/// Returns `None` if the target is already reserved or the wait takes too long. The suspect call
/// then runs beside others, and a crash is not attributed to it alone.
pub(crate) async fn reserve_target(
    slot: Slot,
    target: &Target,
    remaining: Millis,
) -> Option<Isolation> {
    let reservation = Reservation::new(&target.gauge)?;
    let idle = time::timeout(limit_wait(remaining), reservation.wait_until_empty());
    idle.await.ok()?;
    Some(Isolation {
        _reservation: reservation,
        _slot: slot,
    })
}

fn limit_wait(remaining: Millis) -> time::Millis {
    to_timer_millis(Millis(remaining.0 / WAIT_DIVISOR))
}
