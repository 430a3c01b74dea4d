//! Lets a suspect call run alone on a target.

use std::sync::Arc;

use jackdaw_core::units::Millis;
use ntex::time;
use tokio::sync::OwnedSemaphorePermit;

use crate::exchange::span;
use crate::gauge::Reservation;
use crate::shared::Shared;
use crate::snapshot::Target;

/// Part of the time until the deadline that a suspect may wait for each step: one in this many.
const PATIENCE: u64 = 3;

/// The turn of one suspect, of which only few run at a time.
#[derive(Debug)]
pub(crate) struct Turn {
    _permit: OwnedSemaphorePermit,
}

/// Keeps this node's other calls away from a target until it is dropped.
#[derive(Debug)]
pub(crate) struct Alone {
    _reservation: Reservation,
    _turn: Turn,
}

/// Waits for a suspect's turn.
pub(crate) async fn turn(shared: &Shared, remaining: Millis) -> Option<Turn> {
    let permit = Arc::clone(&shared.suspects).acquire_owned();
    let permit = time::timeout(bound(remaining), permit).await.ok()?.ok()?;
    Some(Turn { _permit: permit })
}

/// Reserves a target and waits until nothing else of this node is in flight there.
///
/// A suspect that has waited too long runs all the same; a crash then proves nothing against it.
pub(crate) async fn reserve(turn: Turn, target: &Target, remaining: Millis) -> Option<Alone> {
    let reservation = Reservation::new(&target.gauge)?;
    let empty = time::timeout(bound(remaining), reservation.wait_until_empty());
    empty.await.ok()?;
    Some(Alone {
        _reservation: reservation,
        _turn: turn,
    })
}

fn bound(remaining: Millis) -> time::Millis {
    span(Millis(remaining.0 / PATIENCE))
}
