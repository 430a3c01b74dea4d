//! Follows the catalogue in the key-value service.
//!
//! One node of each zone waits on a watch. The others learn of a new catalogue from the watcher by
//! gossip and also poll the record of the next revision, which is absent until the catalogue
//! changes.

use std::sync::Arc;

use jackdaw_core::errors::Result;
use jackdaw_core::store::{Change, Store};
use jackdaw_core::units::{Millis, Revision};
use jackdaw_policy::backoff::Backoff;
use jackdaw_policy::release::register::Source;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

use crate::event::Event;
use crate::release::{self, CATALOG_KEY};

/// Delays and intervals of the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Shortest delay before a lost watch is set up again; grows while the service fails.
    pub min_retry_delay: Millis,
    /// Longest delay before a lost watch is set up again.
    pub max_retry_delay: Millis,
    /// Time between two reads by which a watcher detects a watch that no longer delivers changes.
    pub watch_check_interval: Millis,
    /// Time between two reads of a node that polls.
    pub idle_check_interval: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            min_retry_delay: Millis(500),
            max_retry_delay: Millis::from_secs(5),
            watch_check_interval: Millis::from_secs(5),
            idle_check_interval: Millis::from_secs(30),
        }
    }
}

/// Instructions of the control thread to the follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Whether this node waits on the watch.
    pub is_watcher: bool,
    /// Revision in force on this node.
    pub revision: Revision,
}

/// Follows the catalogue until the control thread ends.
pub async fn run(
    store: Arc<dyn Store>,
    events: UnboundedSender<Event>,
    mut assignment: Receiver<Assignment>,
    timing: Timing,
    logger: Logger,
) {
    let mut backoff = Backoff::new(timing.min_retry_delay, timing.max_retry_delay);
    let mut random = fastrand::Rng::new();
    while !events.is_closed() {
        let started = Instant::now();
        let followed = follow(store.as_ref(), &events, &mut assignment, timing).await;
        let duration = Millis::from(started.elapsed());
        let pause = backoff.pause_after(followed.is_ok(), duration, &mut random);
        if let Err(error) = followed {
            warn!(logger, "watch of the catalogue failed"; "error" => %error);
        }
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Reads the catalogue and follows its changes until the assignment changes or the watch ends.
async fn follow(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    assignment: &mut Receiver<Assignment>,
    timing: Timing,
) -> Result<()> {
    let stored = release::read_catalog(store).await?;
    let from = stored.as_ref().map_or(0, |stored| stored.mod_revision);
    let source = Source::Read;
    let _ = events.send(Event::Catalog { stored, source });
    if assignment.borrow().is_watcher {
        return watch(store, events, assignment, timing, from + 1).await;
    }
    poll(store, events, assignment, timing).await
}

async fn watch(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    assignment: &mut Receiver<Assignment>,
    timing: Timing,
    from: u64,
) -> Result<()> {
    let mut watch = store.watch(CATALOG_KEY, from).await?;
    while assignment.borrow().is_watcher {
        tokio::select! {
            changes = watch.next() => match changes {
                Some(changes) => send_changes(events, changes)?,
                None => return Ok(()),
            },
            () = tokio::time::sleep(timing.watch_check_interval.duration()) => {
                // A newer record without a change from the watch means that the watch is broken.
                if is_behind(store, events, assignment).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

async fn poll(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    assignment: &mut Receiver<Assignment>,
    timing: Timing,
) -> Result<()> {
    while !assignment.borrow().is_watcher {
        tokio::select! {
            changed = assignment.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            () = tokio::time::sleep(timing.idle_check_interval.duration()) => {
                if is_behind(store, events, assignment).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Returns whether the service holds a record newer than the catalogue in force.
async fn is_behind(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    assignment: &Receiver<Assignment>,
) -> Result<bool> {
    let revision = assignment.borrow().revision;
    let next = release::read_record(store, Revision(revision.0 + 1)).await?;
    let _ = events.send(Event::PlatformContact);
    Ok(next.is_some())
}

fn send_changes(events: &UnboundedSender<Event>, changes: Vec<Change>) -> Result<()> {
    for change in changes {
        let stored = match change {
            Change::Put(entry) => Some(release::parse_catalog(&entry)?),
            Change::Delete(..) => None,
        };
        let source = Source::Watch;
        let _ = events.send(Event::Catalog { stored, source });
    }
    Ok(())
}
