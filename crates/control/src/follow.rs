//! Follows the catalogue in the key-value service.
//!
//! One node of each zone waits on a watch. The others read the record of the next revision now
//! and then, which is absent as long as nothing changed, and otherwise learn from the watcher.

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

/// Times of the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Shortest time before a lost watch is set up again; grows while the service fails.
    pub retry: Millis,
    /// Longest time before a lost watch is set up again.
    pub longest_retry: Millis,
    /// Time between two reads by which a watcher finds a watch that has gone silent.
    pub watch_check: Millis,
    /// Time between two reads of a node that does not watch.
    pub idle_check: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            retry: Millis(500),
            longest_retry: Millis::from_secs(5),
            watch_check: Millis::from_secs(5),
            idle_check: Millis::from_secs(30),
        }
    }
}

/// What the follower is told by the control thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    /// Whether this node waits on the watch.
    pub is_watcher: bool,
    /// Revision in force here.
    pub revision: Revision,
}

/// Follows the catalogue until the control thread ends.
pub async fn run(
    store: Arc<dyn Store>,
    events: UnboundedSender<Event>,
    mut duty: Receiver<Duty>,
    pace: Pace,
    logger: Logger,
) {
    let mut backoff = Backoff::new(pace.retry, pace.longest_retry);
    let mut random = fastrand::Rng::new();
    while !events.is_closed() {
        let begun = Instant::now();
        let followed = follow(store.as_ref(), &events, &mut duty, pace).await;
        let lasted = Millis::from(begun.elapsed());
        let pause = backoff.pause_after(followed.is_ok(), lasted, &mut random);
        if let Err(error) = followed {
            warn!(logger, "catalogue not followed"; "error" => %error);
        }
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Reads the catalogue and follows its changes until the duty changes or the watch ends.
async fn follow(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    duty: &mut Receiver<Duty>,
    pace: Pace,
) -> Result<()> {
    let stored = release::read_catalog(store).await?;
    let from = stored.as_ref().map_or(0, |stored| stored.mod_revision);
    let source = Source::Read;
    let _ = events.send(Event::Catalog { stored, source });
    if duty.borrow().is_watcher {
        return watch(store, events, duty, pace, from + 1).await;
    }
    idle(store, events, duty, pace).await
}

async fn watch(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    duty: &mut Receiver<Duty>,
    pace: Pace,
    from: u64,
) -> Result<()> {
    let mut watch = store.watch(CATALOG_KEY, from).await?;
    while duty.borrow().is_watcher {
        tokio::select! {
            changes = watch.next() => match changes {
                Some(changes) => tell(events, changes)?,
                None => return Ok(()),
            },
            () = tokio::time::sleep(pace.watch_check.duration()) => {
                // A newer record that the watch did not tell of means that it has gone silent.
                if is_behind(store, events, duty).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

async fn idle(
    store: &dyn Store,
    events: &UnboundedSender<Event>,
    duty: &mut Receiver<Duty>,
    pace: Pace,
) -> Result<()> {
    while !duty.borrow().is_watcher {
        tokio::select! {
            changed = duty.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            () = tokio::time::sleep(pace.idle_check.duration()) => {
                if is_behind(store, events, duty).await? {
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
    duty: &Receiver<Duty>,
) -> Result<bool> {
    let revision = duty.borrow().revision;
    let next = release::read_record(store, Revision(revision.0 + 1)).await?;
    let _ = events.send(Event::PlatformContact);
    Ok(next.is_some())
}

fn tell(events: &UnboundedSender<Event>, changes: Vec<Change>) -> Result<()> {
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
