//! Operators' requests to the control thread.

use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::decision::Decision;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::note::Note;
use jackdaw_policy::release::accept::Verdict;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{broadcast, oneshot};

use super::feed::Feed;
use super::view;
use crate::event::Event;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Accept a release note.
    Apply(Note),
    /// Return what a release note would change.
    Plan(Note),
    /// Return the catalogue in force.
    Current,
    /// Return the last accepted notes, at most this many.
    History(u64),
    /// Return the state of this node.
    Status,
    /// Return the replica groups.
    Groups,
    /// Return the VMs.
    Vms,
    /// Return the nodes.
    Nodes,
    /// Return the teams.
    Teams,
    /// Return the decisions after a sequence number, about one subject or all.
    Decisions {
        /// Sequence number.
        after: u64,
        /// Name of the subject, with or without its kind.
        subject: Option<CompactString>,
    },
}

/// A reply of the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Verdict on a note, with its identity.
    Verdict(CompactString, Verdict),
    /// What a note would change.
    Plan(Box<view::Plan>),
    /// The catalogue in force; `None` before the first note.
    Current(Option<Box<view::Current>>),
    /// The last accepted notes.
    History(Result<view::History>),
    /// State of this node.
    Status(Box<view::Status>),
    /// Replica groups.
    Groups(Vec<view::Group>),
    /// VMs.
    Vms(Vec<view::Vm>),
    /// Nodes.
    Nodes(Vec<view::Node>),
    /// Teams.
    Teams(Vec<view::Team>),
    /// Decisions.
    Decisions(Vec<Decision>),
}

/// A request with the channel for its reply.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// Channel for the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Sends requests to the control thread from other threads.
#[derive(Clone, Debug)]
pub struct Handle {
    events: UnboundedSender<Event>,
    feed: Feed,
}

impl Handle {
    /// Creates a handle.
    #[must_use]
    pub fn new(events: UnboundedSender<Event>, feed: Feed) -> Self {
        Handle { events, feed }
    }

    /// Sends a request to the control thread and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn ask(&self, request: Request) -> Result<Reply> {
        let ended = |_| Error::unreachable("ask control thread", "self", "it has ended");
        let (reply, receiver) = oneshot::channel();
        let call = Call { request, reply };
        self.events
            .send(Event::Ask(call))
            .map_err(|_| Error::unreachable("ask control thread", "self", "it has ended"))?;
        receiver.await.map_err(ended)
    }

    /// Returns a receiver of all decisions published from now on.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<Decision>> {
        self.feed.subscribe()
    }
}
