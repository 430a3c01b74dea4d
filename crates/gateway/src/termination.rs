//! The request to stop a node, which may come while the node's event loop is held up.

use std::sync::{Arc, OnceLock};

use jackdaw_core::time::Instant;
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct State {
    made_at: OnceLock<Instant>,
    made: Notify,
}

/// A request to stop, made by any thread. The first one counts.
#[derive(Clone, Debug, Default)]
pub struct Request {
    state: Arc<State>,
}

impl Request {
    /// Makes the request; later ones have no effect.
    pub fn make(&self, now: Instant) {
        if self.state.made_at.set(now).is_ok() {
            self.state.made.notify_waiters();
        }
    }

    /// Returns the time at which the request was made.
    #[must_use]
    pub fn made_at(&self) -> Option<Instant> {
        self.state.made_at.get().copied()
    }

    /// Waits for the request and returns the time at which it was made.
    pub async fn wait(&self) -> Instant {
        loop {
            let mut made = std::pin::pin!(self.state.made.notified());
            made.as_mut().enable();
            if let Some(at) = self.made_at() {
                return at;
            }
            made.await;
        }
    }
}
