//! Broadcast of decisions to any number of subscribers.

use std::sync::Arc;

use jackdaw_core::decision::Decision;
use tokio::sync::broadcast;

/// Decisions that a slow subscriber may lag behind before it has to read the log again.
const CAPACITY: usize = 1_024;

/// Broadcasts decisions to subscribers.
#[derive(Clone, Debug)]
pub struct Feed {
    sender: broadcast::Sender<Arc<Decision>>,
}

impl Default for Feed {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(CAPACITY);
        Feed { sender }
    }
}

impl Feed {
    /// Sends a decision to all subscribers.
    pub fn publish(&self, decision: Decision) {
        // Sending fails only without a subscriber; the decision is in the log in any case.
        let _ = self.sender.send(Arc::new(decision));
    }

    /// Returns a receiver of all decisions published from now on.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Decision>> {
        self.sender.subscribe()
    }
}
