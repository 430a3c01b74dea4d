//! Follows the configuration and the servers' registrations in the store.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::errors::Result;
use jackdaw_core::protocol::Changes;
use jackdaw_core::store::{Change, Entry};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use slog::{debug, info, warn};
use tokio::time;

use crate::node::Node;

/// Time that one call waits for changes after the store was away, for what must be in force within
/// the users' bound.
const SHORT_WAIT: Millis = Millis(500);
/// Time without a failed call after which calls wait longer again.
const CALM: Millis = Millis(4_000);
/// Time that a call waits for a new configuration; probes find a connection that has gone silent.
const CONFIGURATION_WAIT: Millis = Millis(20_000);
/// Pause of a leader between two reads of the registrations.
const LEADER_PAUSE: Millis = Millis(250);
/// Pause of other nodes between two reads of the registrations, for each node of the system.
const PAUSE_PER_NODE: Millis = Millis(50);
/// Time that a call waits for registrations, which come several times a second.
const REGISTRATION_WAIT: Millis = Millis(1_000);
/// Changes in one answer after which the next call follows without a pause, since the store tells
/// about 500 at once and more may be waiting.
const MANY_CHANGES: usize = 400;
/// Shortest pause after a failed call, and the longest one.
const RETRY: Millis = Millis(100);
const LONGEST_RETRY: Millis = Millis(2_000);
/// Time after the store's return in which servers that lapsed meanwhile register again.
const RETURN: Millis = Millis(1_900);
/// Time after the store's return in which a lapse may be on its account.
const RETURNING: Millis = Millis(300);
/// Time without an answer from the store after which entries may have lapsed on its account.
const AWAY: Millis = Millis(1_000);

/// What a follower does with entries.
pub(crate) trait Reader {
    /// Gets the prefix of the keys.
    fn prefix(&self) -> CompactString;

    /// Gets the pause between two calls.
    fn pause(&self) -> Millis {
        Millis(0)
    }

    /// Gets the time that a call waits for changes; a connection that has gone silent is noticed
    /// after it.
    fn wait(&self) -> Millis;

    /// Gets the longest wait for changes after the store was away.
    fn wait_after_absence(&self) -> Millis {
        SHORT_WAIT
    }

    /// Takes in all entries, as they were at a revision.
    fn replace(&mut self, entries: Vec<Entry>, revision: u64);

    /// Takes in changes.
    fn apply(&mut self, changes: Vec<Change>);

    /// Is told that the store answers again after a time.
    fn returned(&mut self, _away: Millis) {}
}

/// Follows a prefix until the task is ended.
pub(crate) async fn follow(node: Rc<Node>, mut reader: impl Reader) {
    let prefix = reader.prefix();
    let mut after: Option<u64> = None;
    let mut backoff = Backoff::new(RETRY, LONGEST_RETRY);
    let mut answered = node.now();
    let mut failed: Option<Instant> = None;
    let mut is_away = false;
    loop {
        let is_calm = failed.is_none_or(|failed| node.now().since(failed) >= CALM);
        let wait = if is_calm {
            reader.wait()
        } else {
            reader.wait_after_absence().min(reader.wait())
        };
        let result = read(&node, &prefix, after, wait).await;
        match result {
            Ok(news) => {
                if is_away {
                    let away = node.now().since(answered);
                    info!(node.logger(), "store answers again";
                        "prefix" => %prefix, "away_ms" => away.0);
                    reader.returned(away);
                    is_away = false;
                }
                let is_behind =
                    matches!(&news, News::Changes(changes, _) if changes.len() >= MANY_CHANGES);
                let next = match news {
                    News::All(entries, revision) => {
                        reader.replace(entries, revision);
                        Some(revision)
                    }
                    News::Changes(changes, revision) => {
                        reader.apply(changes);
                        Some(revision)
                    }
                    News::Compacted => {
                        info!(node.logger(), "store has dropped its history; reading anew";
                            "prefix" => %prefix, "after" => after);
                        None
                    }
                };
                backoff = Backoff::new(RETRY, LONGEST_RETRY);
                after = next;
                answered = node.now();
                if !is_behind {
                    time::sleep(reader.pause().duration()).await;
                }
            }
            Err(error) => {
                if !is_away {
                    warn!(node.logger(), "store does not answer";
                        "prefix" => %prefix, "error" => %error);
                    is_away = true;
                }
                // Drawn anew each time: generators of nodes that started together may be alike.
                let mut random = fastrand::Rng::new();
                time::sleep(backoff.next_pause(&mut random).duration()).await;
                failed = Some(node.now());
            }
        }
    }
}

/// What a call of the store has brought.
enum News {
    /// All entries as of a revision.
    All(Vec<Entry>, u64),
    /// The changes up to a revision.
    Changes(Vec<Change>, u64),
    /// The changes are no longer to be had.
    Compacted,
}

/// Reads everything, or waits for the changes since a revision.
async fn read(node: &Node, prefix: &str, after: Option<u64>, wait: Millis) -> Result<News> {
    let log = &node.parts.change_feed;
    if let Some(after) = after {
        return Ok(match log.changes(prefix, after, wait).await? {
            Changes::Some(changes, revision) => News::Changes(changes, revision),
            Changes::Compacted => News::Compacted,
        });
    }
    let mut page = log.page(prefix, None).await?;
    // Later pages may hold newer entries; the changes since the first page follow anyway.
    let revision = page.revision;
    let mut entries = std::mem::take(&mut page.entries);
    while page.more {
        let last = entries.last().map(|entry| entry.key.clone());
        page = log.page(prefix, last.as_deref()).await?;
        page.more &= !page.entries.is_empty();
        entries.append(&mut page.entries);
    }
    Ok(News::All(entries, revision))
}

/// Puts configurations in force.
struct Configurations {
    node: Rc<Node>,
}

impl Configurations {
    fn read(&self, entry: &Entry) {
        if entry.key != self.node.parts.protocol.configuration_key() {
            return;
        }
        match self.node.parts.protocol.decode_configuration(&entry.value) {
            Ok(configuration) => self.node.apply_configuration(configuration),
            Err(error) => warn!(self.node.logger(), "configuration cannot be read";
                "error" => %error),
        }
    }
}

impl Reader for Configurations {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.configuration_key().into()
    }

    fn wait(&self) -> Millis {
        CONFIGURATION_WAIT
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        for entry in &entries {
            self.read(entry);
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(entry) => self.read(&entry),
                Change::Delete(key, _) => {
                    debug!(self.node.logger(), "key deleted"; "key" => %key);
                }
            }
        }
    }
}

/// Keeps the fleet.
struct Registrations {
    node: Rc<Node>,
    /// Servers whose entries lapsed while the store was away, with the time at which they count as
    /// gone.
    lapsed: HashMap<CompactString, Instant>,
    /// Time at which the store came back.
    returned: Option<Instant>,
}

impl Registrations {
    fn id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.node.parts.protocol.servers_prefix())
    }

    fn decode(&self, entry: &Entry) -> Option<Server> {
        match self.node.parts.protocol.decode_server(entry) {
            Ok(server) => Some(server),
            Err(error) => {
                debug!(self.node.logger(), "registration is passed over"; "error" => %error);
                None
            }
        }
    }

    /// Takes in a server and returns whether anything changed.
    fn put(&mut self, server: Server) -> bool {
        self.lapsed.remove(&server.id);
        let id = server.id.clone();
        let changed = self
            .node
            .fleet
            .borrow_mut()
            .register(server, self.node.now());
        if changed {
            self.node.record_change(&id);
        }
        changed
    }

    /// Takes out a server whose registration lapsed, or waits for it if the store was away.
    fn remove(&mut self, id: &str) -> bool {
        let now = self.node.now();
        let was_draining = self
            .node
            .fleet
            .borrow()
            .server(id)
            .is_none_or(|server| server.draining);
        let is_returning = self
            .returned
            .is_some_and(|returned| now.since(returned) < RETURNING);
        if !was_draining && is_returning && !self.lapsed.contains_key(id) {
            self.lapsed.insert(id.into(), now + RETURN);
            self.node.fleet.borrow_mut().mark_suspect(id);
            return true;
        }
        let was_awaited = self.lapsed.remove(id).is_some();
        let removed = {
            let mut fleet = self.node.fleet.borrow_mut();
            if was_awaited {
                fleet.remove(id)
            } else {
                fleet.expire(id, now)
            }
        };
        if let Some(server) = &removed {
            info!(self.node.logger(), "server is gone";
                "server" => %server.id, "service" => %server.service,
                "group" => server.membership.as_ref().map(|one| one.group.to_string()));
        }
        removed.is_some()
    }

    /// Takes out the servers that have not registered again in time.
    fn expire(&mut self) -> bool {
        let now = self.node.now();
        let due: Vec<CompactString> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        if due.is_empty() {
            return false;
        }
        let mut changed = false;
        for id in due {
            changed |= self.remove(&id);
        }
        changed
    }
}

impl Reader for Registrations {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.servers_prefix().into()
    }

    fn pause(&self) -> Millis {
        // The store counts each call, so the more nodes there are, the less often each one asks;
        // leaders tell the others of changes meanwhile.
        let longest = Millis(self.node.options.drain.0 / 2);
        if self.node.is_leading.get() {
            return LEADER_PAUSE;
        }
        let nodes = self.node.peer_loads().borrow().node_count() as u64;
        Millis(nodes * PAUSE_PER_NODE.0).clamp(LEADER_PAUSE, longest)
    }

    fn wait(&self) -> Millis {
        REGISTRATION_WAIT
    }

    fn replace(&mut self, entries: Vec<Entry>, _: u64) {
        self.node.registrations_read_at.set(self.node.now());
        let named: HashSet<CompactString> = entries
            .iter()
            .filter_map(|entry| self.id(&entry.key))
            .map(CompactString::from)
            .collect();
        let known: Vec<CompactString> = self
            .node
            .fleet
            .borrow()
            .servers()
            .map(|server| server.id.clone())
            .collect();
        for id in known.iter().filter(|id| !named.contains(*id)) {
            self.remove(id);
        }
        let servers: Vec<Server> = entries
            .iter()
            .filter_map(|entry| self.decode(entry))
            .collect();
        for server in servers {
            self.put(server);
        }
        self.node.update_targets();
    }

    fn apply(&mut self, changes: Vec<Change>) {
        self.node.registrations_read_at.set(self.node.now());
        let mut changed = self.expire();
        changed |= self.node.fleet.borrow_mut().refresh_absent(self.node.now());
        for change in changes {
            match change {
                Change::Put(entry) => {
                    if let Some(server) = self.decode(&entry) {
                        changed |= self.put(server);
                    } else if let Some(id) = self.id(&entry.key) {
                        // An entry of another writer names no server to use.
                        let id = CompactString::from(id);
                        changed |= self.remove(&id);
                    }
                }
                Change::Delete(key, _) => {
                    if let Some(id) = self.id(&key) {
                        changed |= self.remove(id);
                    }
                }
            }
        }
        if changed {
            self.node.update_targets();
        }
    }

    fn returned(&mut self, away: Millis) {
        if away >= AWAY {
            self.returned = Some(self.node.now());
        }
    }
}

/// Starts to follow the store.
pub(crate) fn start(node: &Rc<Node>) {
    let configurations = Configurations {
        node: Rc::clone(node),
    };
    ntex::rt::spawn(follow(Rc::clone(node), configurations));
    let registrations = Registrations {
        node: Rc::clone(node),
        lapsed: HashMap::new(),
        returned: None,
    };
    ntex::rt::spawn(follow(Rc::clone(node), registrations));
}
