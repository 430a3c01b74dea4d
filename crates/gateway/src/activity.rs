//! Time limits of callers' connections while no request is in flight.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use jackdaw_core::config::Limits;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use ntex::io::{Io, IoRef};
use ntex::time::Seconds;
use tokio::time;

use crate::node::Node;

/// Time that the HTTP library is given for a head; [`watch`] ends one that takes too long before.
pub(crate) const LIBRARY_HEAD_TIMEOUT: Seconds = Seconds(u16::MAX);
/// Resolution of the library's timer.
const LIBRARY_RESOLUTION: Seconds = Seconds(1);
/// Shortest time between two checks of a connection.
const MIN_CHECK_INTERVAL: Millis = Millis(10);

/// What a connection is used for.
#[derive(Debug)]
pub(crate) struct Activity {
    requests: Cell<u32>,
    idle_since: Cell<Instant>,
    is_closing: Cell<bool>,
}

impl Activity {
    /// Returns the activity of a new connection.
    pub(crate) fn new(now: Instant) -> Self {
        Activity {
            requests: Cell::new(0),
            idle_since: Cell::new(now),
            is_closing: Cell::new(false),
        }
    }

    /// Counts a request in flight.
    pub(crate) fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Ends a request in flight.
    pub(crate) fn end_request(&self, now: Instant) {
        self.requests.set(self.requests.get().saturating_sub(1));
        self.idle_since.set(now);
    }

    /// Returns whether a limit has passed, so that the connection is closed after the answer to a
    /// request that has arrived meanwhile.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Returns when the limit that is running passes, or none while a request is in flight.
    fn due(&self, connection: &IoRef, limits: &Limits, now: Instant) -> Option<Instant> {
        if self.requests.get() > 0 {
            return None;
        }
        let timer = connection.timer_handle();
        if !timer.is_set() {
            return Some(self.idle_since.get() + limits.idle_timeout);
        }
        // The library starts its timer at the first bytes of a head, and rounds it.
        let left = timer.remains() + LIBRARY_RESOLUTION;
        let age = LIBRARY_HEAD_TIMEOUT.0.saturating_sub(left.0);
        let left = limits
            .header_timeout
            .0
            .saturating_sub(u64::from(age) * 1_000);
        Some(now + Millis(left))
    }
}

/// Waits for a time, or until the limits change.
async fn wait(node: &Node, millis: Millis) {
    let changed = pin!(node.connections.limits_changed.notified());
    let passed = pin!(time::sleep(millis.max(MIN_CHECK_INTERVAL).duration()));
    select(changed, passed).await;
}

/// Waits for the first bytes of a new connection; returns whether they arrive in time.
///
/// The HTTP library takes a new connection for one that sends a head slowly.
pub(crate) async fn wait_first_bytes(node: &Node, io: &Io, activity: &Activity) -> bool {
    let mut ready = pin!(io.read_ready());
    let has_bytes = || io.with_read_buf(|bytes| !bytes.is_empty());
    loop {
        let due = activity.idle_since.get() + node.limits().idle_timeout;
        let left = due.since(node.now());
        if left == Millis(0) {
            return has_bytes();
        }
        if let Either::Left((result, _)) = select(ready.as_mut(), pin!(wait(node, left))).await {
            // A caller may have sent a request and disconnected.
            return matches!(result, Ok(Some(()))) || has_bytes();
        }
    }
}

/// Ends a connection that is idle or sends a head for too long.
///
/// The HTTP library reads what has arrived before it closes the connection.
async fn watch(node: &Node, connection: &IoRef, activity: &Activity) -> Infallible {
    loop {
        let limits = node.limits();
        // A limit that begins to run between two checks passes after the next one.
        let interval = limits.idle_timeout.min(limits.header_timeout);
        let now = node.now();
        let left = activity
            .due(connection, &limits, now)
            .map(|due| due.since(now));
        if left == Some(Millis(0)) {
            activity.is_closing.set(true);
            connection.notify_timeout();
        }
        let left = left.filter(|left| *left > Millis(0)).unwrap_or(interval);
        wait(node, left.min(interval)).await;
    }
}

/// Serves a connection with its time limits.
pub(crate) async fn serve_with_limits(
    node: &Node,
    connection: &IoRef,
    activity: &Activity,
    serve: impl Future,
) {
    let watch = pin!(watch(node, connection, activity));
    select(pin!(serve), watch).await;
}
