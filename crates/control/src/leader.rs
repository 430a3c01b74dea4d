//! Makes the calls of election and placement to the key-value service and watches a zone's keys.

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

/// Shortest delay before a lost watch is set up again.
const MIN_WATCH_RETRY_DELAY: Millis = Millis(500);

/// Longest delay before a lost watch is set up again.
const MAX_WATCH_RETRY_DELAY: Millis = Millis::from_secs(5);

/// Time without a change after which the keys are read, because a watch may stop delivering
/// changes without an error.
const WATCH_CHECK_INTERVAL: Millis = Millis::from_secs(15);

/// Longest time that a stopping node waits for the revocation of its lease.
const MAX_REVOKE_WAIT: Millis = Millis::from_secs(2);

/// Keys of an availability zone in the key-value service.
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
    pub fn of_zone(zone: &str) -> Self {
        let prefix = format_compact!("/jackdaw/zones/{zone}/");
        Keys {
            leader: format_compact!("{prefix}leader"),
            placement: format_compact!("{prefix}placement"),
            prefix,
        }
    }
}

/// Calls the key-value service from the control thread; each result comes back as an event.
pub struct Client {
    node: CompactString,
    options: Options,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    events: UnboundedSender<Event>,
    revocations: RefCell<Vec<JoinHandle<()>>>,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub fn new(
        node: &str,
        options: Options,
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        events: UnboundedSender<Event>,
    ) -> Self {
        Client {
            node: node.into(),
            options,
            store,
            clock,
            events,
            revocations: RefCell::new(Vec::new()),
        }
    }

    /// Starts a call of the election.
    pub fn start_election_call(&self, action: Action) {
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
        let (store, events) = self.clone_handles();
        // The clock is read before the call is sent: the lease cannot be older than that.
        let sent = self.clock.now();
        ntex::rt::spawn(async move {
            let result = store.grant(ttl).await;
            send_lease_event(&events, LeaseEvent::Granted(sent, result));
        });
    }

    fn create(&self, lease: Lease) {
        fail::fail_point!("leader-create");
        let (store, events) = self.clone_handles();
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
            send_lease_event(&events, LeaseEvent::Created(sent, result));
        });
    }

    fn read_leader(&self) {
        let (store, events) = self.clone_handles();
        let sent = self.clock.now();
        let key = self.options.leader_key.clone();
        ntex::rt::spawn(async move {
            let result = store.get(&key).await;
            send_lease_event(&events, LeaseEvent::Read(sent, result));
        });
    }

    fn renew(&self, lease: Lease) {
        let (store, events) = self.clone_handles();
        let sent = self.clock.now();
        fail::fail_point!("leader-renew");
        ntex::rt::spawn(async move {
            let result = store.renew(lease).await;
            send_lease_event(&events, LeaseEvent::Renewed(sent, result));
        });
    }

    fn revoke(&self, lease: Lease) {
        let store = Arc::clone(&self.store);
        let task = ntex::rt::spawn(async move {
            // A lease that could not be revoked expires at the end of its time to live.
            let _ = store.revoke(lease).await;
        });
        self.revocations.borrow_mut().push(task);
    }

    /// Starts to read the placement.
    pub fn read_placement(&self) {
        let (store, events) = self.clone_handles();
        let key = self.options.placement_key.clone();
        ntex::rt::spawn(async move {
            let result = read_placement(store.as_ref(), &key).await;
            let _ = events.send(Event::Placement(PlacementEvent::Read(result)));
        });
    }

    /// Starts a write of the placement, which is sent only while the authority is valid.
    pub fn commit(&self, commit: Commit, authority: Authority) {
        let (store, events) = self.clone_handles();
        let clock = Arc::clone(&self.clock);
        let options = self.options.clone();
        ntex::rt::spawn(async move {
            fail::fail_point!("leader-commit");
            let result = if authority.may_commit(clock.now()) {
                commit_placement(store.as_ref(), &options, &commit).await
            } else {
                Err(authority_ended("write placement", "key-value service"))
            };
            fail::fail_point!("leader-committed");
            let _ = events.send(Event::Placement(PlacementEvent::Written(result)));
        });
    }

    /// Waits for the revocations under way, for a bounded time.
    pub async fn wait_for_revocations(&self) {
        let tasks = std::mem::take(&mut *self.revocations.borrow_mut());
        let pending = futures::future::join_all(tasks);
        let _ = tokio::time::timeout(MAX_REVOKE_WAIT.duration(), pending).await;
    }

    fn clone_handles(&self) -> (Arc<dyn Store>, UnboundedSender<Event>) {
        (Arc::clone(&self.store), self.events.clone())
    }
}

/// Returns the error of a call that was not sent because the leader's authority had ended.
pub(crate) fn authority_ended(step: &'static str, peer: &str) -> Error {
    Error::unreachable(step, peer, "the leader's authority has ended")
}

fn send_lease_event(events: &UnboundedSender<Event>, event: LeaseEvent) {
    // Sending fails only after the control thread has ended.
    let _ = events.send(Event::Lease(event));
}

async fn read_placement(store: &dyn Store, key: &str) -> Result<Option<Versioned>> {
    let entry = store.get(key).await?;
    entry.map(|entry| parse_placement(&entry)).transpose()
}

fn parse_placement(entry: &Entry) -> Result<Versioned> {
    let placement: Placement = serde_json::from_slice(&entry.value)
        .map_err(|error| Error::malformed("read placement", "key-value service", error))?;
    Ok(Versioned {
        placement,
        mod_revision: entry.mod_revision,
    })
}

async fn commit_placement(
    store: &dyn Store,
    options: &Options,
    commit: &Commit,
) -> Result<Written> {
    let value = serde_json::to_vec(&commit.placement)
        .map_err(|error| Error::unreachable("encode placement", "self", error))?;
    let entries = match store.commit(commit.transaction(options, value)).await? {
        Committed::Yes(revision) => return Ok(Written::Done(revision)),
        Committed::No(entries) => entries,
    };
    let find = |key: &CompactString| entries.iter().find(|entry| entry.key == *key);
    Ok(Written::Refused {
        leader: find(&options.leader_key).map(|entry| entry.create_revision),
        current: find(&options.placement_key)
            .map(parse_placement)
            .transpose()?,
    })
}

/// Follows the leader key and the placement key of a zone until the control thread ends.
pub async fn follow_keys(
    store: Arc<dyn Store>,
    keys: Keys,
    events: UnboundedSender<Event>,
    logger: Logger,
) {
    let mut backoff = Backoff::new(MIN_WATCH_RETRY_DELAY, MAX_WATCH_RETRY_DELAY);
    let mut random = fastrand::Rng::new();
    while !events.is_closed() {
        let started = Instant::now();
        let watched = watch_keys(store.as_ref(), &keys, &events).await;
        let duration = Millis::from(started.elapsed());
        let pause = backoff.pause_after(watched.is_ok(), duration, &mut random);
        if let Err(error) = watched {
            warn!(logger, "watch of the zone's keys failed"; "error" => %error);
        }
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Watches and reads the zone's keys until the watch ends.
async fn watch_keys(store: &dyn Store, keys: &Keys, events: &UnboundedSender<Event>) -> Result<()> {
    // The watch begins before the read, so that no change in between is missed.
    let mut watch = store.watch(&keys.prefix, 0).await?;
    read_keys(store, keys, events).await?;
    while !events.is_closed() {
        let next = tokio::time::timeout(WATCH_CHECK_INTERVAL.duration(), watch.next());
        match next.await {
            Ok(Some(changes)) => {
                for change in changes {
                    send_change(keys, events, change)?;
                }
            }
            Ok(None) => return Ok(()),
            Err(_) => read_keys(store, keys, events).await?,
        }
    }
    Ok(())
}

async fn read_keys(store: &dyn Store, keys: &Keys, events: &UnboundedSender<Event>) -> Result<()> {
    let entries = store.list(&keys.prefix).await?;
    let has_leader = entries.iter().any(|entry| entry.key == keys.leader);
    if !has_leader {
        let event = LeaseEvent::Observed {
            entry: None,
            revision: 0,
        };
        send_lease_event(events, event);
    }
    for entry in entries {
        send_change(keys, events, Change::Put(entry))?;
    }
    Ok(())
}

fn send_change(keys: &Keys, events: &UnboundedSender<Event>, change: Change) -> Result<()> {
    match change {
        Change::Put(entry) if entry.key == keys.leader => {
            let revision = entry.mod_revision;
            let entry = Some(entry);
            send_lease_event(events, LeaseEvent::Observed { entry, revision });
        }
        Change::Put(entry) if entry.key == keys.placement => {
            let versioned = parse_placement(&entry)?;
            let _ = events.send(Event::Placement(PlacementEvent::Observed(versioned)));
        }
        Change::Delete(key, revision) if key == keys.leader => {
            let entry = None;
            send_lease_event(events, LeaseEvent::Observed { entry, revision });
        }
        Change::Put(_) | Change::Delete(..) => {}
    }
    Ok(())
}
