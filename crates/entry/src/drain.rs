//! Counts requests and connections and refuses new requests while a node stops.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures::future::{Either, select};
use ntex::io::IoRef;
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    requests: AtomicUsize,
    connections: AtomicUsize,
    stopping: AtomicBool,
    changed: Notify,
}

impl State {
    /// Waits until a condition holds that changes only together with a notice.
    async fn wait(&self, holds: impl Fn(&State) -> bool) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    fn leave(&self, count: &AtomicUsize) {
        let before = count.fetch_sub(1, Ordering::SeqCst);
        if before == 1 && self.stopping.load(Ordering::SeqCst) {
            self.changed.notify_waiters();
        }
    }
}

/// Requests in flight and open connections of one node.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    state: Arc<State>,
}

impl Drain {
    /// Counts a request, or returns `None` if the node is stopping.
    #[must_use]
    pub fn begin_request(&self) -> Option<RequestGuard> {
        // The count goes up before the flag is read, so that a request is either seen by `wait_idle`
        // or refused.
        self.state.requests.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard {
            state: Arc::clone(&self.state),
        };
        if self.is_stopping() {
            return None;
        }
        Some(guard)
    }

    /// Counts a connection.
    #[must_use]
    pub fn begin_connection(&self) -> ConnectionGuard {
        self.state.connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard {
            state: Arc::clone(&self.state),
        }
    }

    /// Counts a connection, and closes it once a planned stop has finished all requests.
    pub fn track_connection(&self, io: IoRef) {
        let drain = self.clone();
        let guard = drain.begin_connection();
        ntex::rt::spawn(async move {
            let gone = io.on_disconnect();
            let idle = pin!(drain.wait_idle());
            if let Either::Right((_, gone)) = select(gone, idle).await {
                // What was written before is still sent to the caller.
                io.close();
                gone.await;
            }
            drop(guard);
        });
    }

    /// Refuses requests from now on.
    pub fn stop(&self) {
        self.state.stopping.store(true, Ordering::SeqCst);
        self.state.changed.notify_waiters();
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.state.stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.requests.load(Ordering::SeqCst)
    }

    /// Waits until the node stops and no request is in flight.
    pub async fn wait_idle(&self) {
        let idle = |state: &State| {
            state.stopping.load(Ordering::SeqCst) && state.requests.load(Ordering::SeqCst) == 0
        };
        self.state.wait(idle).await;
    }

    /// Waits until no connection is open; to be called after [`Drain::stop`].
    pub async fn wait_closed(&self) {
        let closed = |state: &State| state.connections.load(Ordering::SeqCst) == 0;
        self.state.wait(closed).await;
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    state: Arc<State>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.leave(&self.state.requests);
    }
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    state: Arc<State>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.leave(&self.state.connections);
    }
}
