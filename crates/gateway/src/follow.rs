//! Follows prefixes of the store: the operators' entries and the servers' registrations.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::protocol::Changes;
use jackdaw_core::store::{Change, Entry};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use jackdaw_policy::evacuation::is_zone_name;
use slog::{debug, info, warn};
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::node::Node;
use crate::oddities::Oddities;
use crate::registrations;

/// Longest wait of a call for changes after an outage of the store, for entries that must take
/// effect within the users' time limit.
const WAIT_AFTER_OUTAGE: Millis = Millis(500);
/// Time without a failed call after which calls wait for their full time again.
const FAILURE_FREE_TIME: Millis = Millis(4_000);
/// Number of changes in one answer from which the next call follows without a pause, since the
/// store sends about 500 at once and more may be pending.
const LARGE_BATCH: usize = 400;
/// Shortest pause after a failed call.
const MIN_RETRY_DELAY: Millis = Millis(100);
/// Longest pause after a failed call.
const MAX_RETRY_DELAY: Millis = Millis(2_000);

/// Number of consecutive failed calls after which a follower waits for the one of the configuration.
const MAX_OWN_FAILURES: u32 = 2;
/// Longest time for which it does so.
const MAX_PROBE_WAIT: Millis = Millis(8_000);

/// Whether the store answers this node, as the follower of the configuration finds it. The others wait
/// for it rather than call a store in vain that is away or turns the node away.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    is_away: Cell<bool>,
    answers: Notify,
}

impl Availability {
    fn record(&self, is_away: bool) {
        if self.is_away.replace(is_away) && !is_away {
            self.answers.notify_waiters();
        }
    }
}

/// Receives the entries below a prefix and their changes.
pub(crate) trait Subscriber {
    /// Returns the prefix of the keys.
    fn prefix(&self) -> CompactString;

    /// Returns the time until the next call, which may grow meanwhile.
    fn rest(&self) -> Millis {
        Millis(0)
    }

    /// Returns the revision up to which all changes are known, given that of the last call.
    fn cursor(&self, after: u64) -> u64 {
        after
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

    /// Handles that all entries are read anew.
    fn begin_snapshot(&mut self) {}

    /// Replaces all entries by those at a revision.
    fn replace(&mut self, entries: Vec<Entry>, revision: u64);

    /// Applies changes in their order, up to a revision.
    fn apply(&mut self, changes: Vec<Change>, revision: u64);

    /// Returns whether the others wait for this one's next answer if their calls fail.
    fn is_probe(&self) -> bool {
        false
    }

    /// Handles that a call is made.
    fn begin_call(&mut self) {}

    /// Returns the length of an outage of the store that has ended without a failed call of this node.
    fn unnoticed_outage(&self) -> Option<Millis> {
        None
    }

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
    let mut failures = 0;
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
        after = after.map(|after| subscriber.cursor(after));
        if after.is_none() {
            subscriber.begin_snapshot();
        }
        subscriber.begin_call();
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
        for fault in node.parts.change_feed.take_faults() {
            warn!(node.logger(), "item of the store cannot be decoded"; "error" => %fault);
        }
        match result {
            Ok(update) => {
                failures = 0;
                if subscriber.is_probe() {
                    node.store_availability.record(false);
                }
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
                } else if let Some(outage) = subscriber.unnoticed_outage() {
                    subscriber.handle_recovery(outage);
                }
                let has_more =
                    matches!(&update, Update::Changes(changes, _) if changes.len() >= LARGE_BATCH);
                let next = match update {
                    Update::Snapshot(entries, revision) => {
                        subscriber.replace(entries, revision);
                        Some(revision)
                    }
                    Update::Changes(changes, revision) => {
                        subscriber.apply(changes, revision);
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
                if has_more {
                    continue;
                }
                tokio::select! {
                    biased;
                    Ok(()) = all_rereads.changed() => after = None,
                    () = wait_changed(own_rereads.as_mut()) => after = None,
                    () = rest(&subscriber) => {}
                }
            }
            Err(error) => {
                if !is_unavailable {
                    warn!(node.logger(), "store does not answer";
                        "prefix" => %prefix, "error" => %error);
                    is_unavailable = true;
                }
                failures += 1;
                if subscriber.is_probe() {
                    node.store_availability.record(true);
                }
                // Each pause uses a new generator, since those of nodes that started together may
                // yield the same numbers.
                let mut random = fastrand::Rng::new();
                let pause = backoff.next_pause(&mut random).duration();
                let availability = &node.store_availability;
                let is_hopeless = availability.is_away.get() && failures >= MAX_OWN_FAILURES;
                if is_hopeless && !subscriber.is_probe() {
                    let answers = availability.answers.notified();
                    // A time-out leads to a call of its own.
                    let _ = time::timeout(MAX_PROBE_WAIT.duration(), answers).await;
                } else {
                    time::sleep(pause).await;
                }
                last_failure = Some(node.now());
            }
        }
    }
}

/// Waits until the next call is due.
async fn rest(subscriber: &impl Subscriber) {
    loop {
        match subscriber.rest() {
            Millis(0) => return,
            rest => time::sleep(rest.duration()).await,
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
        let last = page.last.take();
        page = change_feed.page(prefix, last.as_deref()).await?;
        page.more &= page.last.is_some();
        entries.append(&mut page.entries);
    }
    Ok(Update::Snapshot(entries, revision))
}

/// Puts configurations in force and evacuates zones as their entries appear in the store. Other entries
/// of the operators are ignored.
struct Configurations {
    node: Rc<Node>,
    oddities: Oddities,
}

impl Configurations {
    fn apply_entry(&self, entry: &Entry) {
        if entry.key != self.node.parts.protocol.configuration_key() {
            return;
        }
        let value = Bytes::from(entry.value.clone());
        match self.node.apply_configuration(value) {
            Ok(()) => self.oddities.forget(&entry.key),
            Err(error) => {
                let message = "configuration cannot be decoded";
                let logger = self.node.logger();
                self.oddities.tell(logger, message, &entry.key, &error);
            }
        }
    }
}

impl Configurations {
    /// Returns the zone that a key evacuates, if it can be the name of a zone.
    fn evacuated_zone(&self, key: &str) -> Option<CompactString> {
        let zone = self.node.parts.protocol.decode_evacuation(key);
        zone.filter(|zone| is_zone_name(zone))
    }

    /// Logs why the key of an entry evacuates no zone, if it should.
    fn check_evacuation(&self, key: &str) {
        let Some(zone) = self.node.parts.protocol.decode_evacuation(key) else {
            return;
        };
        match self.node.check_evacuation(key, &zone) {
            Ok(()) => self.oddities.forget(key),
            Err(error) => {
                let message = "evacuation names no known zone";
                self.oddities.tell(self.node.logger(), message, key, &error);
            }
        }
    }
}

impl Subscriber for Configurations {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.operators_prefix().into()
    }

    fn is_probe(&self) -> bool {
        true
    }

    fn wait(&self) -> Millis {
        self.node.freshness.wait()
    }

    fn rereads(&self) -> Option<watch::Receiver<u64>> {
        Some(self.node.freshness.configuration_rereads())
    }

    fn replace(&mut self, entries: Vec<Entry>, revision: u64) {
        self.node.confirm_configuration();
        let keys: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.oddities.retain(|key| keys.contains(key));
        for entry in &entries {
            self.check_evacuation(&entry.key);
        }
        let zones = entries.iter();
        let zones = zones.filter_map(|entry| self.evacuated_zone(&entry.key));
        // The node is ready with its first configuration, so the evacuations come before it.
        self.node
            .change_evacuations(|evacuations| evacuations.replace(zones, revision));
        for entry in &entries {
            self.apply_entry(entry);
        }
    }

    fn apply(&mut self, changes: Vec<Change>, _: u64) {
        self.node.confirm_configuration();
        for change in changes {
            match change {
                Change::Put(entry) => {
                    self.check_evacuation(&entry.key);
                    match self.evacuated_zone(&entry.key) {
                        Some(zone) => self
                            .node
                            .change_evacuations(|set| set.put(&zone, entry.mod_revision)),
                        None => self.apply_entry(&entry),
                    }
                }
                Change::Delete(key, revision) => {
                    self.oddities.forget(&key);
                    if let Some(zone) = self.evacuated_zone(&key) {
                        self.node
                            .change_evacuations(|set| set.remove(&zone, revision));
                    }
                    debug!(self.node.logger(), "key deleted"; "key" => %key);
                }
            }
        }
    }
}

/// Starts the tasks that follow the configuration and the registrations.
pub(crate) fn start(node: &Rc<Node>) {
    let configurations = Configurations {
        node: Rc::clone(node),
        oddities: Oddities::default(),
    };
    ntex::rt::spawn(follow(Rc::clone(node), configurations));
    let registrations = registrations::Reader::new(node);
    ntex::rt::spawn(follow(Rc::clone(node), registrations));
}
