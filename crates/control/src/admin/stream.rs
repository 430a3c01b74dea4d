//! Decisions as server-sent events.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;

use compact_str::CompactString;
use futures::Stream;
use futures::stream;
use jackdaw_core::decision::Decision;
use ntex::util::Bytes;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

use super::answer::is_about;
use super::handle::{Handle, Reply, Request};

/// A follower of decisions.
struct Follower {
    handle: Handle,
    receiver: Receiver<Arc<Decision>>,
    subject: Option<CompactString>,
    last: u64,
    pending: VecDeque<Decision>,
}

/// Returns the decisions after a sequence number and then each as it happens.
pub(super) fn decisions(
    handle: Handle,
    after: u64,
    subject: Option<CompactString>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    // Following begins before the past is read, so that no decision falls between.
    let receiver = handle.follow();
    let follower = Follower {
        handle,
        receiver,
        subject,
        last: after,
        pending: VecDeque::new(),
    };
    let greeting = stream::once(async { Ok(Bytes::from_static(b": following\n\n")) });
    let events = stream::unfold((follower, true), |(mut follower, is_behind)| async move {
        let decision = follower.next(is_behind).await?;
        Some((Ok(event(&decision)), (follower, false)))
    });
    futures::StreamExt::chain(greeting, events)
}

impl Follower {
    async fn next(&mut self, is_behind: bool) -> Option<Decision> {
        if is_behind {
            self.catch_up().await?;
        }
        loop {
            if let Some(decision) = self.pending.pop_front() {
                return Some(decision);
            }
            match self.receiver.recv().await {
                Ok(decision) => self.take(&decision),
                // A slow follower reads what it missed from the log.
                Err(RecvError::Lagged(_)) => self.catch_up().await?,
                Err(RecvError::Closed) => return None,
            }
        }
    }

    async fn catch_up(&mut self) -> Option<()> {
        let request = Request::Decisions {
            after: self.last,
            subject: None,
        };
        let Ok(Reply::Decisions(decisions)) = self.handle.ask(request).await else {
            return None;
        };
        for decision in decisions {
            self.take(&decision);
        }
        Some(())
    }

    fn take(&mut self, decision: &Decision) {
        if decision.sequence <= self.last {
            return;
        }
        self.last = decision.sequence;
        if is_about(decision, self.subject.as_deref()) {
            self.pending.push_back(decision.clone());
        }
    }
}

fn event(decision: &Decision) -> Bytes {
    let data = serde_json::to_string(decision).unwrap_or_default();
    Bytes::from(format!(
        "id: {}\nevent: decision\ndata: {data}\n\n",
        decision.sequence
    ))
}
