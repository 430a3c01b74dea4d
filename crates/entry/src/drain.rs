//! Counts requests in flight and refuses new ones while a node stops.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    in_flight: AtomicUsize,
    stopping: AtomicBool,
    idle: Notify,
}

/// Requests in flight on one node.
#[derive(Debug, Default)]
pub struct Drain {
    state: Arc<State>,
}

impl Drain {
    /// Counts a request, or returns `None` if the node is stopping.
    #[must_use]
    pub fn enter(&self) -> Option<Pass> {
        // The count goes up before the flag is read, so that a request is either seen by `idle`
        // or refused.
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        let pass = Pass {
            state: Arc::clone(&self.state),
        };
        if self.is_stopping() {
            return None;
        }
        Some(pass)
    }

    /// Refuses requests from now on.
    pub fn stop(&self) {
        self.state.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight; to be called after [`Drain::stop`].
    pub async fn idle(&self) {
        loop {
            let mut notified = pin!(self.state.idle.notified());
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct Pass {
    state: Arc<State>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        let before = self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
        if before == 1 && self.state.stopping.load(Ordering::SeqCst) {
            self.state.idle.notify_waiters();
        }
    }
}
