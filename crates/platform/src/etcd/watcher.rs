//! Watch on a key range over a gRPC stream.

use async_trait::async_trait;
use jackdaw_core::store::{Change, Watch};
use jackdaw_wire::etcdserverpb as proto;
use tokio::sync::mpsc;
use tonic::Streaming;

use super::message;

/// An established watch.
pub(super) struct Watcher {
    // Kept open because the service ends the watch when the request stream ends.
    _requests: mpsc::Sender<proto::WatchRequest>,
    responses: Streaming<proto::WatchResponse>,
}

impl Watcher {
    /// Creates a watcher from the two directions of its stream.
    pub(super) fn new(
        requests: mpsc::Sender<proto::WatchRequest>,
        responses: Streaming<proto::WatchResponse>,
    ) -> Self {
        Watcher {
            _requests: requests,
            responses,
        }
    }
}

#[async_trait]
impl Watch for Watcher {
    async fn next(&mut self) -> Option<Vec<Change>> {
        loop {
            // An error ends the watch, as does the end of the stream; the caller then reads again.
            let response = self.responses.message().await.ok()??;
            if response.canceled {
                return None;
            }
            let changes = message::decode_changes(response.events)?;
            if !changes.is_empty() {
                return Some(changes);
            }
        }
    }
}
