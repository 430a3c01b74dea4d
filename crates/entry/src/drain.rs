//! Counts requests and connections, and refuses new requests while a node is stopping.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::{Either, select};
use ntex::io::IoRef;
use tokio::sync::Notify;

/// Time for a new connection to bring its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);
/// Time to read what has arrived on a connection before it is closed.
const READ_TIME: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    requests: AtomicUsize,
    connections: AtomicUsize,
    stopping: AtomicBool,
    expired: AtomicBool,
    abandoned: AtomicBool,
    changed: Notify,
}

impl State {
    /// Waits until a condition holds; whatever makes it true has to notify `changed`.
    async fn wait_until(&self, condition: impl Fn(&State) -> bool) {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    fn decrement(&self, count: &AtomicUsize) {
        let previous = count.fetch_sub(1, Ordering::SeqCst);
        if previous == 1 && self.stopping.load(Ordering::SeqCst) {
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
    /// Counts a request until the guard is dropped; returns `None` if the node is stopping.
    #[must_use]
    pub fn begin_request(&self) -> Option<RequestGuard> {
        // The count goes up before the flag is read, so that each request is either seen by
        // `wait_idle` or refused.
        let guard = self.track_request();
        if self.is_stopping() {
            return None;
        }
        Some(guard)
    }

    /// Counts a request until the guard is dropped, also while the node is stopping.
    #[must_use]
    pub fn track_request(&self) -> RequestGuard {
        self.state.requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard {
            state: Arc::clone(&self.state),
        }
    }

    /// Counts a connection until the guard is dropped.
    #[must_use]
    pub fn begin_connection(&self) -> ConnectionGuard {
        self.state.connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard {
            state: Arc::clone(&self.state),
        }
    }

    /// Counts a connection, and closes it once a stopping node has no request in flight and the
    /// caller has sent no further request.
    pub fn track_connection(&self, io: IoRef) {
        let drain = self.clone();
        let guard = drain.begin_connection();
        ntex::rt::spawn(async move {
            let disconnected = io.on_disconnect();
            let unused = pin!(drain.wait_unused(&io));
            if let Either::Right((_, disconnected)) = select(disconnected, unused).await {
                // Closing still sends the caller what was written before, and nothing else.
                io.close();
                disconnected.await;
            }
            drop(guard);
        });
    }

    /// Waits until the node is stopping, no request is in flight, and a connection has had time to
    /// bring a request that was sent before.
    async fn wait_unused(&self, io: &IoRef) {
        let opened = std::time::Instant::now();
        // A caller that connects to a stopping node loses nothing but a refusal.
        let first_request_time = if self.is_stopping() {
            READ_TIME
        } else {
            FIRST_REQUEST_TIME
        };
        loop {
            self.wait_idle().await;
            let new_for = first_request_time.saturating_sub(opened.elapsed());
            tokio::time::sleep(new_for.max(READ_TIME)).await;
            let has_unread = io.with_read_buf(|bytes| !bytes.is_empty());
            if self.in_flight() == 0 && !has_unread {
                return;
            }
        }
    }

    /// Refuses new requests from now on.
    pub fn stop(&self) {
        self.state.stopping.store(true, Ordering::SeqCst);
        self.state.changed.notify_waiters();
    }

    /// Ends the requests in flight, since the grace period has passed.
    pub fn expire(&self) {
        self.state.expired.store(true, Ordering::SeqCst);
        self.state.changed.notify_waiters();
    }

    /// Returns whether the grace period has ended.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        self.state.expired.load(Ordering::SeqCst)
    }

    /// Waits until the requests in flight have to end.
    pub async fn wait_expired(&self) {
        let expired = |state: &State| state.expired.load(Ordering::SeqCst);
        self.state.wait_until(expired).await;
    }

    /// Gives up the requests and connections that have not ended.
    pub fn abandon(&self) {
        self.state.abandoned.store(true, Ordering::SeqCst);
        self.state.changed.notify_waiters();
    }

    /// Waits until no request is in flight and no connection is open, or until they are given up.
    pub async fn wait_drained(&self) {
        let drained = |state: &State| {
            state.abandoned.load(Ordering::SeqCst)
                || state.requests.load(Ordering::SeqCst) == 0
                    && state.connections.load(Ordering::SeqCst) == 0
        };
        self.state.wait_until(drained).await;
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

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Waits until new requests are refused.
    pub async fn wait_stopping(&self) {
        let is_stopping = |state: &State| state.stopping.load(Ordering::SeqCst);
        self.state.wait_until(is_stopping).await;
    }

    /// Waits until the node is stopping and no request is in flight.
    pub async fn wait_idle(&self) {
        let idle = |state: &State| {
            state.stopping.load(Ordering::SeqCst) && state.requests.load(Ordering::SeqCst) == 0
        };
        self.state.wait_until(idle).await;
    }

    /// Waits until no connection is open; must be called after [`Drain::stop`].
    pub async fn wait_closed(&self) {
        let closed = |state: &State| state.connections.load(Ordering::SeqCst) == 0;
        self.state.wait_until(closed).await;
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    state: Arc<State>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.decrement(&self.state.requests);
    }
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    state: Arc<State>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.decrement(&self.state.connections);
    }
}
