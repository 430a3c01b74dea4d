//! Questions of operators to the control thread.

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

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Accept a release note.
    Apply(Note),
    /// Tell what a release note would change.
    Plan(Note),
    /// Tell the catalogue in force.
    Current,
    /// Tell the last accepted notes.
    History(u64),
    /// Tell the state of this node.
    Status,
    /// Tell the replica groups.
    Groups,
    /// Tell the VMs.
    Vms,
    /// Tell the nodes.
    Nodes,
    /// Tell the teams.
    Teams,
    /// Tell decisions after a sequence number, about one subject or all.
    Decisions {
        /// Sequence number.
        after: u64,
        /// Name of the subject, with or without its kind.
        subject: Option<CompactString>,
    },
}

/// What the control thread answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Verdict on a note, with its identity.
    Verdict(CompactString, Verdict),
    /// What a note would change.
    Plan(Box<view::Plan>),
    /// The catalogue in force; `None` before the first.
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

/// A request with the place for its reply.
#[derive(Debug)]
pub struct Question {
    /// The request.
    pub request: Request,
    /// Takes the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Reaches the control thread from other threads.
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

    /// Asks the control thread and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the control thread has ended.
    pub async fn ask(&self, request: Request) -> Result<Reply> {
        let ended = |_| Error::unreachable("ask control thread", "self", "it has ended");
        let (reply, answer) = oneshot::channel();
        let question = Question { request, reply };
        self.events
            .send(Event::Ask(question))
            .map_err(|_| Error::unreachable("ask control thread", "self", "it has ended"))?;
        answer.await.map_err(ended)
    }

    /// Begins to follow decisions.
    #[must_use]
    pub fn follow(&self) -> broadcast::Receiver<Arc<Decision>> {
        self.feed.follow()
    }
}
