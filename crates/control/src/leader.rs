//! Carries out the leader's calls to the key-value service, and follows the keys of one zone.

use std::cell::RefCell;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::placement::Placement;
use jackdaw_core::store::{Change, Committed, Compare, Entry, Lease, Store, Transaction, Write};
use jackdaw_core::time::Clock;
use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use jackdaw_policy::lease::{Action, Authority, Event as LeaseEvent};
use jackdaw_policy::placement::{Commit, Event as PlacementEvent, Options, Versioned, Written};
use ntex::rt::JoinHandle;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::event::Event;

/// Time before a lost watch is set up again.
const WATCH_RETRY: Millis = Millis(500);

/// Longest time before a lost watch is set up again.
const LONGEST_WATCH_RETRY: Millis = Millis::from_secs(5);

/// Time after which the keys are read although the watch shows no change, for a watch may have
/// gone silent.
const WATCH_CHECK: Millis = Millis::from_secs(15);

/// Longest time that a stopping node waits until its lease has ended.
const REVOKE_WAIT: Millis = Millis::from_secs(2);

/// Keys of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Prefix of all keys of the zone.
    pub prefix: CompactString,
    /// Key of the leader.
    pub leader: CompactString,
    /// Key of the placement.
    pub placement: CompactString,
}

impl Keys {
    /// Returns the keys of a zone.
    #[must_use]
    pub fn of(zone: &str) -> Self {
        let prefix = format_compact!("/jackdaw/zones/{zone}/");
        Keys {
            leader: format_compact!("{prefix}leader"),
            placement: format_compact!("{prefix}placement"),
            prefix,
        }
    }
}

/// Calls the key-value service from the control thread; each answer comes back as an event.
pub struct Caller {
    node: CompactString,
    options: Options,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    events: UnboundedSender<Event>,
    revoking: RefCell<Vec<JoinHandle<()>>>,
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new(
        node: &str,
        options: Options,
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        events: UnboundedSender<Event>,
    ) -> Self {
        Caller {
            node: node.into(),
            options,
            store,
            clock,
            events,
            revoking: RefCell::new(Vec::new()),
        }
    }

    /// Starts a call of the election.
    pub fn elect(&self, action: Action) {
        match action {
            Action::Grant(ttl) => self.grant(ttl),
            Action::Create(lease) => self.create(lease),
            Action::Read => self.read_leader(),
            Action::Renew(lease) => self.renew(lease),
            Action::Revoke(lease) => self.revoke(lease),
            Action::Acquired(_) | Action::Lost(_) | Action::Explain(_) => {}
        }
    }

    fn grant(&self, ttl: Millis) {
        let (store, events) = self.parts();
        // The clock is read before the call is sent: the lease cannot be older than that.
        let sent = self.clock.now();
        ntex::rt::spawn(async move {
            let result = store.grant(ttl).await;
            tell(&events, LeaseEvent::Granted(sent, result));
        });
    }

    fn create(&self, lease: Lease) {
        fail::fail_point!("leader-create");
        let (store, events) = self.parts();
        let sent = self.clock.now();
        let key = self.options.leader_key.clone();
        let transaction = Transaction {
            when: vec![Compare::Absent(key.clone())],
            then: vec![Write::Put {
                key: key.clone(),
                value: self.node.as_bytes().to_vec(),
                lease: Some(lease),
            }],
            otherwise: vec![key],
        };
        ntex::rt::spawn(async move {
            let result = store.commit(transaction).await;
            tell(&events, LeaseEvent::Created(sent, result));
        });
    }

    fn read_leader(&self) {
        let (store, events) = self.parts();
        let sent = self.clock.now();
        let key = self.options.leader_key.clone();
        ntex::rt::spawn(async move {
            let result = store.get(&key).await;
            tell(&events, LeaseEvent::Read(sent, result));
        });
    }

    fn renew(&self, lease: Lease) {
        let (store, events) = self.parts();
        let sent = self.clock.now();
        fail::fail_point!("leader-renew");
        ntex::rt::spawn(async move {
            let result = store.renew(lease).await;
            tell(&events, LeaseEvent::Renewed(sent, result));
        });
    }

    fn revoke(&self, lease: Lease) {
        let store = Arc::clone(&self.store);
        let task = ntex::rt::spawn(async move {
            // A lease that could not be ended lapses by itself.
            let _ = store.revoke(lease).await;
        });
        self.revoking.borrow_mut().push(task);
    }

    /// Starts to read the placement.
    pub fn read_placement(&self) {
        let (store, events) = self.parts();
        let key = self.options.placement_key.clone();
        ntex::rt::spawn(async move {
            let result = read_placement(store.as_ref(), &key).await;
            let _ = events.send(Event::Placement(PlacementEvent::Read(result)));
        });
    }

    /// Starts a write of the placement, which is sent only while the authority lasts.
    pub fn commit(&self, commit: Commit, authority: Authority) {
        let (store, events) = self.parts();
        let clock = Arc::clone(&self.clock);
        let options = self.options.clone();
        ntex::rt::spawn(async move {
            fail::fail_point!("leader-commit");
            let result = if authority.may_commit(clock.now()) {
                write(store.as_ref(), &options, &commit).await
            } else {
                Err(no_authority("write placement", "key-value service"))
            };
            fail::fail_point!("leader-committed");
            let _ = events.send(Event::Placement(PlacementEvent::Written(result)));
        });
    }

    /// Waits until leases that are being ended have ended, for a bounded time.
    pub async fn finish(&self) {
        let tasks = std::mem::take(&mut *self.revoking.borrow_mut());
        let all = futures::future::join_all(tasks);
        let _ = tokio::time::timeout(REVOKE_WAIT.duration(), all).await;
    }

    fn parts(&self) -> (Arc<dyn Store>, UnboundedSender<Event>) {
        (Arc::clone(&self.store), self.events.clone())
    }
}

/// Returns the error of a call that was not sent because the authority had ended.
pub(crate) fn no_authority(step: &'static str, peer: &str) -> Error {
    Error::unreachable(step, peer, "the leader's authority has ended")
}

fn tell(events: &UnboundedSender<Event>, event: LeaseEvent) {
    // A closed channel means that the node has stopped.
    let _ = events.send(Event::Lease(event));
}

async fn read_placement(store: &dyn Store, key: &str) -> Result<Option<Versioned>> {
    let entry = store.get(key).await?;
    entry.map(|entry| known(&entry)).transpose()
}

fn known(entry: &Entry) -> Result<Versioned> {
    let placement: Placement = serde_json::from_slice(&entry.value)
        .map_err(|error| Error::malformed("read placement", "key-value service", error))?;
    Ok(Versioned {
        placement,
        mod_revision: entry.mod_revision,
    })
}

async fn write(store: &dyn Store, options: &Options, commit: &Commit) -> Result<Written> {
    let value = serde_json::to_vec(&commit.placement)
        .map_err(|error| Error::unreachable("encode placement", "self", error))?;
    let entries = match store.commit(commit.transaction(options, value)).await? {
        Committed::Yes(revision) => return Ok(Written::Done(revision)),
        Committed::No(entries) => entries,
    };
    let find = |key: &CompactString| entries.iter().find(|entry| entry.key == *key);
    Ok(Written::Refused {
        leader: find(&options.leader_key).map(|entry| entry.create_revision),
        current: find(&options.placement_key).map(known).transpose()?,
    })
}

/// Follows the leader's key and the placement of a zone until the control thread ends.
pub async fn follow(
    store: Arc<dyn Store>,
    keys: Keys,
    events: UnboundedSender<Event>,
    logger: Logger,
) {
    let mut backoff = Backoff::new(WATCH_RETRY, LONGEST_WATCH_RETRY);
    let mut random = fastrand::Rng::new();
    while !events.is_closed() {
        let begun = Instant::now();
        let watched = watch(store.as_ref(), &keys, &events).await;
        let lasted = Millis::from(begun.elapsed());
        let pause = backoff.pause_after(watched.is_ok(), lasted, &mut random);
        if let Err(error) = watched {
            warn!(logger, "zone's keys not followed"; "error" => %error);
        }
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Watches and reads the zone's keys until the watch ends.
async fn watch(store: &dyn Store, keys: &Keys, events: &UnboundedSender<Event>) -> Result<()> {
    // The watch begins before the read, so that no change falls in between.
    let mut watch = store.watch(&keys.prefix, 0).await?;
    list(store, keys, events).await?;
    while !events.is_closed() {
        let next = tokio::time::timeout(WATCH_CHECK.duration(), watch.next());
        match next.await {
            Ok(Some(changes)) => {
                for change in changes {
                    show(keys, events, change)?;
                }
            }
            Ok(None) => return Ok(()),
            Err(_) => list(store, keys, events).await?,
        }
    }
    Ok(())
}

async fn list(store: &dyn Store, keys: &Keys, events: &UnboundedSender<Event>) -> Result<()> {
    let entries = store.list(&keys.prefix).await?;
    let has_leader = entries.iter().any(|entry| entry.key == keys.leader);
    if !has_leader {
        let event = LeaseEvent::Observed {
            entry: None,
            revision: 0,
        };
        tell(events, event);
    }
    for entry in entries {
        show(keys, events, Change::Put(entry))?;
    }
    Ok(())
}

fn show(keys: &Keys, events: &UnboundedSender<Event>, change: Change) -> Result<()> {
    match change {
        Change::Put(entry) if entry.key == keys.leader => {
            let revision = entry.mod_revision;
            let entry = Some(entry);
            tell(events, LeaseEvent::Observed { entry, revision });
        }
        Change::Put(entry) if entry.key == keys.placement => {
            let known = known(&entry)?;
            let _ = events.send(Event::Placement(PlacementEvent::Observed(known)));
        }
        Change::Delete(key, revision) if key == keys.leader => {
            let entry = None;
            tell(events, LeaseEvent::Observed { entry, revision });
        }
        Change::Put(_) | Change::Delete(..) => {}
    }
    Ok(())
}
