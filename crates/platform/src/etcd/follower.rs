//! A watch over a stream of answers.

use async_trait::async_trait;
use jackdaw_core::store::{Change, Watch};
use jackdaw_wire::etcdserverpb as proto;
use tokio::sync::mpsc;
use tonic::Streaming;

use super::message;

/// A watch that has been set up.
pub(super) struct Follower {
    // The service ends the watch when the stream of requests ends.
    _requests: mpsc::Sender<proto::WatchRequest>,
    answers: Streaming<proto::WatchResponse>,
}

impl Follower {
    /// Creates a watch from both directions of its stream.
    pub(super) fn new(
        requests: mpsc::Sender<proto::WatchRequest>,
        answers: Streaming<proto::WatchResponse>,
    ) -> Self {
        Follower {
            _requests: requests,
            answers,
        }
    }
}

#[async_trait]
impl Watch for Follower {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            // An error ends the watch like the end of the stream: the watcher reads anew.
            let answer = self.answers.message().await.ok()??;
            if answer.canceled {
                return None;
            }
            let changes = message::changes(answer.events)?;
            if !changes.is_empty() {
                return Some(changes);
            }
        }
    }
}
