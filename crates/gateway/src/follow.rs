//! Follows prefixes of the store: the configuration and the servers' registrations.

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::errors::Result;
use jackdaw_core::protocol::Changes;
use jackdaw_core::store::{Change, Entry};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use jackdaw_policy::registry::{Registry, Removal, Source};
use slog::{debug, info, warn};
use tokio::sync::watch;
use tokio::time;

use crate::node::Node;

/// Longest wait of a call for changes after an outage of the store, for entries that must take
/// effect within the users' time limit.
const WAIT_AFTER_OUTAGE: Millis = Millis(500);
/// Time without a failed call after which calls wait for their full time again.
const FAILURE_FREE_TIME: Millis = Millis(4_000);
/// Pause of a leader between two calls for the registrations.
const LEADER_PAUSE: Millis = Millis(250);
/// Pause of other nodes between two calls for the registrations, multiplied by the number of nodes.
const PAUSE_PER_NODE: Millis = Millis(50);
/// Longest wait of a call for registrations, which change several times a second.
const REGISTRATION_WAIT: Millis = Millis(1_000);
/// Number of changes in one answer from which the next call follows without a pause, since the
/// store sends about 500 at once and more may be pending.
const LARGE_BATCH: usize = 400;
/// Shortest pause after a failed call.
const MIN_RETRY_DELAY: Millis = Millis(100);
/// Longest pause after a failed call.
const MAX_RETRY_DELAY: Millis = Millis(2_000);

/// Receives the entries below a prefix and their changes.
pub(crate) trait Subscriber {
    /// Returns the prefix of the keys.
    fn prefix(&self) -> CompactString;

    /// Returns the pause between two calls.
    fn pause(&self) -> Millis {
        Millis(0)
    }

    /// Returns the longest wait of a call for changes; a dead connection is detected after that
    /// time at the latest.
    fn wait(&self) -> Millis;

    /// Returns the longest wait of a call for changes after an outage of the store.
    fn wait_after_outage(&self) -> Millis {
        WAIT_AFTER_OUTAGE
    }

    /// Returns a receiver that changes when the entries are to be read anew, beside the reasons that
    /// hold for all that is followed.
    fn rereads(&self) -> Option<watch::Receiver<u64>> {
        None
    }

    /// Replaces all entries by those at a revision.
    fn replace(&mut self, entries: Vec<Entry>, revision: u64);

    /// Applies changes in their order.
    fn apply(&mut self, changes: Vec<Change>);

    /// Handles the end of an outage of the store, which took a time.
    fn handle_recovery(&mut self, _outage: Millis) {}

    /// Handles that the store has come back from a copy, before the entries of the copy.
    fn handle_restoration(&mut self) {}
}

/// Reads the entries of a prefix, then polls for changes until the task is cancelled.
pub(crate) async fn follow(node: Rc<Node>, mut subscriber: impl Subscriber) {
    let prefix = subscriber.prefix();
    let mut after: Option<u64> = None;
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut last_success = node.now();
    let mut last_failure: Option<Instant> = None;
    let mut is_unavailable = false;
    let mut all_rereads = node.freshness.all_rereads();
    let mut own_rereads = subscriber.rereads();
    let mut era = node.freshness.era();
    loop {
        let is_stable =
            last_failure.is_none_or(|failure| node.now().since(failure) >= FAILURE_FREE_TIME);
        let wait = if is_stable {
            subscriber.wait()
        } else {
            subscriber.wait_after_outage().min(subscriber.wait())
        };
        let result = tokio::select! {
            biased;
            // The senders live as long as the node.
            Ok(()) = all_rereads.changed() => {
                after = None;
                continue;
            }
            () = wait_changed(own_rereads.as_mut()) => {
                after = None;
                continue;
            }
            result = read(&node, &prefix, after, wait) => result,
        };
        node.check_era();
        match result {
            Ok(update) => {
                if node.freshness.era() > era {
                    era = node.freshness.era();
                    subscriber.handle_restoration();
                }
                if is_unavailable {
                    let outage = node.now().since(last_success);
                    info!(node.logger(), "store answers again";
                        "prefix" => %prefix, "away_ms" => outage.0);
                    subscriber.handle_recovery(outage);
                    is_unavailable = false;
                }
                let has_more =
                    matches!(&update, Update::Changes(changes, _) if changes.len() >= LARGE_BATCH);
                let next = match update {
                    Update::Snapshot(entries, revision) => {
                        subscriber.replace(entries, revision);
                        Some(revision)
                    }
                    Update::Changes(changes, revision) => {
                        subscriber.apply(changes);
                        Some(revision)
                    }
                    Update::Compacted => {
                        info!(node.logger(),
                            "store has compacted its history; reading all entries again";
                            "prefix" => %prefix, "after" => after);
                        None
                    }
                };
                backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                after = next;
                last_success = node.now();
                if !has_more {
                    time::sleep(subscriber.pause().duration()).await;
                }
            }
            Err(error) => {
                if !is_unavailable {
                    warn!(node.logger(), "store does not answer";
                        "prefix" => %prefix, "error" => %error);
                    is_unavailable = true;
                }
                // Each pause uses a new generator, since those of nodes that started together may
                // yield the same numbers.
                let mut random = fastrand::Rng::new();
                time::sleep(backoff.next_pause(&mut random).duration()).await;
                last_failure = Some(node.now());
            }
        }
    }
}

/// Waits for a change, or for ever if there is no receiver.
async fn wait_changed(rereads: Option<&mut watch::Receiver<u64>>) {
    let has_changed = match rereads {
        Some(rereads) => rereads.changed().await.is_ok(),
        None => false,
    };
    if !has_changed {
        std::future::pending().await
    }
}

/// Result of one read of the store.
enum Update {
    /// All entries as of a revision.
    Snapshot(Vec<Entry>, u64),
    /// The changes up to a revision.
    Changes(Vec<Change>, u64),
    /// The store no longer has the changes.
    Compacted,
}

/// Reads all entries, or waits for the changes after a revision.
///
/// # Errors
///
/// Returns an error if a call of the store fails.
async fn read(node: &Node, prefix: &str, after: Option<u64>, wait: Millis) -> Result<Update> {
    let change_feed = &node.parts.change_feed;
    if let Some(after) = after {
        return Ok(match change_feed.changes(prefix, after, wait).await? {
            Changes::Some(changes, revision) => Update::Changes(changes, revision),
            Changes::Compacted => Update::Compacted,
        });
    }
    let mut page = change_feed.page(prefix, None).await?;
    // Later pages may hold newer entries; changes since the first page are applied afterwards
    // anyway.
    let revision = page.revision;
    let mut entries = std::mem::take(&mut page.entries);
    while page.more {
        let last = entries.last().map(|entry| entry.key.clone());
        page = change_feed.page(prefix, last.as_deref()).await?;
        page.more &= !page.entries.is_empty();
        entries.append(&mut page.entries);
    }
    Ok(Update::Snapshot(entries, revision))
}

/// Puts configurations in force as they appear in the store.
struct Configurations {
    node: Rc<Node>,
}

impl Configurations {
    fn apply_entry(&self, entry: &Entry) {
        if entry.key != self.node.parts.protocol.configuration_key() {
            return;
        }
        let value = Bytes::from(entry.value.clone());
        if let Err(error) = self.node.apply_configuration(value) {
            warn!(self.node.logger(), "configuration cannot be decoded"; "error" => %error);
        }
    }
}

impl Subscriber for Configurations {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.configuration_key().into()
    }

    fn wait(&self) -> Millis {
        self.node.freshness.wait()
    }

    fn rereads(&self) -> Option<watch::Receiver<u64>> {
        Some(self.node.freshness.configuration_rereads())
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        self.node.confirm_configuration();
        for entry in &entries {
            self.apply_entry(entry);
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        self.node.confirm_configuration();
        for change in changes {
            match change {
                Change::Put(entry) => self.apply_entry(&entry),
                Change::Delete(key, _) => {
                    debug!(self.node.logger(), "key deleted"; "key" => %key);
                }
            }
        }
    }
}

/// Keeps the fleet up to date with the servers' registrations.
struct Registrations {
    node: Rc<Node>,
    registry: Registry,
}

impl Registrations {
    fn server_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.node.parts.protocol.servers_prefix())
    }

    fn decode(&self, entry: &Entry) -> Option<Server> {
        match self.node.parts.protocol.decode_server(entry) {
            Ok(server) => Some(server),
            Err(error) => {
                debug!(self.node.logger(), "registration cannot be decoded"; "error" => %error);
                None
            }
        }
    }

    /// Adds or updates a server and returns whether anything changed.
    fn register(&mut self, server: Server, source: Source) -> bool {
        let id = server.id.clone();
        let mut fleet = self.node.fleet.borrow_mut();
        let changed = self
            .registry
            .register(&mut fleet, server, source, self.node.now());
        drop(fleet);
        if changed {
            self.node.record_change(&id);
        }
        changed
    }

    /// Removes a server whose entry is gone and returns whether anything changed.
    fn remove(&mut self, id: &str) -> bool {
        let mut fleet = self.node.fleet.borrow_mut();
        let removal = self.registry.remove(&mut fleet, id, self.node.now());
        drop(fleet);
        match removal {
            Removal::None => false,
            Removal::Suspected => true,
            Removal::Removed(server) => {
                info!(self.node.logger(), "server is gone";
                    "server" => %server.id, "service" => %server.service,
                    "group" => server.membership.as_ref()
                        .map(|membership| membership.group.to_string()));
                true
            }
        }
    }

    /// Does what is due by the passing of time, and returns whether anything changed.
    fn refresh(&mut self) -> bool {
        let now = self.node.now();
        let mut changed = false;
        for id in self.registry.overdue(now) {
            changed |= self.remove(&id);
        }
        let mut fleet = self.node.fleet.borrow_mut();
        changed |= self.registry.trust_living(&mut fleet, now);
        changed |= fleet.refresh_absent(now);
        changed
    }
}

impl Subscriber for Registrations {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.servers_prefix().into()
    }

    fn pause(&self) -> Millis {
        // The store counts each call, so the more nodes there are, the less often each one calls;
        // leaders send changes to the other nodes in the meantime.
        let max_pause = Millis(self.node.options.drain.0 / 2);
        if self.node.is_leading.get() {
            return LEADER_PAUSE;
        }
        let nodes = self.node.peer_loads().borrow().node_count() as u64;
        Millis(nodes * PAUSE_PER_NODE.0).clamp(LEADER_PAUSE, max_pause)
    }

    fn wait(&self) -> Millis {
        REGISTRATION_WAIT
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        self.node.registrations_read_at.set(self.node.now());
        self.refresh();
        let listed: HashSet<CompactString> = entries
            .iter()
            .filter_map(|entry| self.server_id(&entry.key))
            .map(CompactString::from)
            .collect();
        let missing = self.registry.missing(&self.node.fleet.borrow(), &listed);
        for id in missing {
            self.remove(&id);
        }
        let servers: Vec<Server> = entries
            .iter()
            .filter_map(|entry| self.decode(entry))
            .collect();
        for server in servers {
            self.register(server, Source::Snapshot);
        }
        self.node.update_targets();
    }

    fn apply(&mut self, changes: Vec<Change>) {
        self.node.registrations_read_at.set(self.node.now());
        let mut changed = self.refresh();
        for change in changes {
            match change {
                Change::Put(entry) => {
                    if let Some(server) = self.decode(&entry) {
                        changed |= self.register(server, Source::Change);
                    } else if let Some(id) = self.server_id(&entry.key) {
                        // An entry that cannot be decoded replaces the server's valid entry.
                        let id = CompactString::from(id);
                        changed |= self.remove(&id);
                    }
                }
                Change::Delete(key, _) => {
                    if let Some(id) = self.server_id(&key) {
                        changed |= self.remove(id);
                    }
                }
            }
        }
        if changed {
            self.node.update_targets();
        }
    }

    fn handle_recovery(&mut self, outage: Millis) {
        self.registry.end_outage(outage, self.node.now());
    }

    fn handle_restoration(&mut self) {
        self.registry.begin_era(self.node.now());
    }
}

/// Starts the tasks that follow the configuration and the registrations.
pub(crate) fn start(node: &Rc<Node>) {
    let configurations = Configurations {
        node: Rc::clone(node),
    };
    ntex::rt::spawn(follow(Rc::clone(node), configurations));
    let registrations = Registrations {
        node: Rc::clone(node),
        registry: Registry::default(),
    };
    ntex::rt::spawn(follow(Rc::clone(node), registrations));
}
