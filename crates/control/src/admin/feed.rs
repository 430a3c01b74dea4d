//! Decisions as they happen, for any number of followers.

use std::sync::Arc;

use jackdaw_core::decision::Decision;
use tokio::sync::broadcast;

/// The number of decisions that a slow follower may lag behind before it must ask again.
const BACKLOG: usize = 1_024;

/// Hands decisions to followers.
#[derive(Clone, Debug)]
pub struct Feed {
    sender: broadcast::Sender<Arc<Decision>>,
}

impl Default for Feed {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(BACKLOG);
        Feed { sender }
    }
}

impl Feed {
    /// Hands a decision to all followers.
    pub fn tell(&self, decision: Decision) {
        // Without a follower the decision stays in the log alone.
        let _ = self.sender.send(Arc::new(decision));
    }

    /// Begins to follow.
    #[must_use]
    pub fn follow(&self) -> broadcast::Receiver<Arc<Decision>> {
        self.sender.subscribe()
    }
}
