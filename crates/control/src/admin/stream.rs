//! Stream of decisions as server-sent events.

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

/// A subscriber that reads the log first and the feed afterwards.
struct Subscriber {
    handle: Handle,
    receiver: Receiver<Arc<Decision>>,
    subject: Option<CompactString>,
    last_sequence: u64,
    pending: VecDeque<Decision>,
}

/// Streams the decisions after a sequence number and then each new one.
pub(super) fn decisions(
    handle: Handle,
    after: u64,
    subject: Option<CompactString>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    // The subscription begins before the log is read, so that no decision is missed in between.
    let receiver = handle.subscribe();
    let subscriber = Subscriber {
        handle,
        receiver,
        subject,
        last_sequence: after,
        pending: VecDeque::new(),
    };
    let preamble = stream::once(async { Ok(Bytes::from_static(b": following\n\n")) });
    let events = stream::unfold(
        (subscriber, true),
        |(mut subscriber, is_behind)| async move {
            let decision = subscriber.next(is_behind).await?;
            Some((Ok(encode_event(&decision)), (subscriber, false)))
        },
    );
    futures::StreamExt::chain(preamble, events)
}

impl Subscriber {
    async fn next(&mut self, is_behind: bool) -> Option<Decision> {
        if is_behind {
            self.catch_up().await?;
        }
        loop {
            if let Some(decision) = self.pending.pop_front() {
                return Some(decision);
            }
            match self.receiver.recv().await {
                Ok(decision) => self.enqueue(&decision),
                // A subscriber that lagged behind reads the missed decisions from the log.
                Err(RecvError::Lagged(_)) => self.catch_up().await?,
                Err(RecvError::Closed) => return None,
            }
        }
    }

    async fn catch_up(&mut self) -> Option<()> {
        let request = Request::Decisions {
            after: self.last_sequence,
            subject: None,
        };
        let Ok(Reply::Decisions(decisions)) = self.handle.ask(request).await else {
            return None;
        };
        for decision in decisions {
            self.enqueue(&decision);
        }
        Some(())
    }

    fn enqueue(&mut self, decision: &Decision) {
        if decision.sequence <= self.last_sequence {
            return;
        }
        self.last_sequence = decision.sequence;
        if is_about(decision, self.subject.as_deref()) {
            self.pending.push_back(decision.clone());
        }
    }
}

fn encode_event(decision: &Decision) -> Bytes {
    let data = serde_json::to_string(decision).unwrap_or_default();
    Bytes::from(format!(
        "id: {}\nevent: decision\ndata: {data}\n\n",
        decision.sequence
    ))
}
