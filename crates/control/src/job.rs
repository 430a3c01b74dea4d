//! Runs messages to other nodes and calls to the key-value service as local tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use jackdaw_core::note::Note;
use jackdaw_core::store::Store;
use jackdaw_core::time::Clock;
use jackdaw_core::units::Revision;
use jackdaw_policy::gossip::message::Envelope;
use jackdaw_policy::release::accept::Attempt;
use jackdaw_policy::release::register::Restore;
use slog::{Logger, info, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::admin::handle::Reply;
use crate::admin::view::History;
use crate::event::Event;
use crate::peer::Transport;
use crate::peer::repository::Resource;
use crate::release;

/// A message or call that runs outside the control thread's state.
#[derive(Debug)]
pub enum Job {
    /// Send a message to another node.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Fetch a value from another node.
    Fetch {
        /// Address of the holder.
        from: SocketAddr,
        /// The value.
        item: Resource,
    },
    /// Write the catalogue in force back to the key-value service.
    Restore(Restore),
    /// Try to accept a release note.
    Accept {
        /// The note.
        note: Box<Note>,
        /// Revision in force here.
        revision: Revision,
        /// Receives the verdict.
        reply: oneshot::Sender<Reply>,
    },
    /// Read the last accepted notes.
    History {
        /// Revision in force here.
        newest: Revision,
        /// Number of notes.
        count: u64,
        /// Receives the notes.
        reply: oneshot::Sender<Reply>,
    },
}

/// Starts jobs as local tasks; their results come back as events or replies.
pub struct Runner {
    /// Name of the node.
    pub node: String,
    /// Transport to other nodes, unless this node runs alone.
    pub transport: Option<Arc<Transport>>,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Channel to the control thread.
    pub events: UnboundedSender<Event>,
    /// Logger.
    pub logger: Logger,
}

impl std::fmt::Debug for Runner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Courier").finish_non_exhaustive()
    }
}

impl Runner {
    /// Starts a job; must be called within an ntex system.
    pub fn start(&self, job: Job) {
        match job {
            Job::Send { to, envelope } => {
                if let Some(transport) = &self.transport {
                    transport.send(to, &envelope);
                }
            }
            Job::Fetch { from, item } => self.fetch(from, item),
            Job::Restore(restore) => self.restore(restore),
            Job::Accept {
                note,
                revision,
                reply,
            } => self.accept(*note, revision, reply),
            Job::History {
                newest,
                count,
                reply,
            } => self.history(newest, count, reply),
        }
    }

    fn fetch(&self, from: SocketAddr, item: Resource) {
        let Some(transport) = self.transport.clone() else {
            return;
        };
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let result = transport.fetch(from, item.clone()).await;
            let _ = events.send(Event::Fetched { item, from, result });
        });
    }

    fn restore(&self, restore: Restore) {
        let store = Arc::clone(&self.store);
        let logger = self.logger.clone();
        ntex::rt::spawn(async move {
            let revision = restore.catalog.revision;
            match release::restore(store.as_ref(), &restore).await {
                Ok(committed) => info!(logger, "outdated catalogue found in the key-value service";
                    "revision" => revision.0, "written back" => ?committed),
                Err(error) => warn!(logger, "catalogue write-back failed"; "error" => %error),
            }
        });
    }

    fn accept(&self, mut note: Note, revision: Revision, reply: oneshot::Sender<Reply>) {
        let unix_ms = self.clock.unix_millis();
        if note.id.is_empty() {
            note.id = format!("{}-{unix_ms}-{:08x}", self.node, fastrand::u32(..)).into();
        }
        let id = note.id.clone();
        let attempt = Attempt::new(note, revision, &self.node, unix_ms);
        let store = Arc::clone(&self.store);
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let accepted = release::accept(store.as_ref(), attempt).await;
            if let Some(catalog) = accepted.catalog {
                let _ = events.send(Event::Accepted(catalog));
            }
            let _ = reply.send(Reply::Verdict(id, accepted.verdict));
        });
    }

    fn history(&self, newest: Revision, count: u64, reply: oneshot::Sender<Reply>) {
        let store = Arc::clone(&self.store);
        ntex::rt::spawn(async move {
            let notes = release::history(store, newest, count).await;
            let _ = reply.send(Reply::History(notes.map(|notes| History { notes })));
        });
    }
}
