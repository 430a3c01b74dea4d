//! Keeps the fleet up to date with the servers' registrations, which leaders read from the store and
//! nodes pass on to each other.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::Server;
use jackdaw_core::store::{Change, Entry};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::feed::{self, Feed, Position, STALE_AFTER, Segment, Verdict};
use jackdaw_policy::registry::{Registry, Removal, Source};
use jackdaw_policy::route::prefix_hash;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use slog::{debug, info};

use crate::follow::Subscriber;
use crate::limits::Link;
use crate::node::Node;
use crate::oddities::Oddities;
use crate::peers;
use crate::segment;

/// Pause of a leader between two calls for the registrations, and the longest wait of such a call.
const LEADER_PAUSE: Millis = Millis(250);
/// Eighths of the users' bound on draining after which a node that hears of nothing reads the store.
const MAX_AGE_EIGHTHS: u64 = 3;
/// Divisor of that bound by which the nodes' reads differ.
const JITTER_DIVISOR: u64 = 16;
/// Number of servers named in one line of the log.
const MAX_LOGGED_CHANGES: usize = 8;
/// Longest wait of other nodes' calls for changes.
const WAIT: Millis = Millis(1_000);

/// What a node knows of the registrations beside the fleet that they make up.
pub(crate) struct Registrations {
    registry: RefCell<Registry>,
    feed: RefCell<Feed>,
    /// Hashes of the servers' registered states; heartbeats leave them as they are.
    states: RefCell<HashMap<CompactString, u64>>,
    link: RefCell<Option<Link>>,
    /// Time of the store's last answer to this node.
    read_at: Cell<Instant>,
    /// Time of the first of this node's calls that the store has not answered.
    unanswered_since: Cell<Option<Instant>>,
    segments: Counter<u64>,
}

impl fmt::Debug for Registrations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registrations").finish_non_exhaustive()
    }
}

impl Registrations {
    pub(crate) fn new(meter: &Meter) -> Self {
        Registrations {
            registry: RefCell::default(),
            feed: RefCell::default(),
            states: RefCell::default(),
            link: RefCell::default(),
            read_at: Cell::default(),
            unanswered_since: Cell::default(),
            segments: meter
                .u64_counter("jackdawstair_registration_segments")
                .with_description("Changes of registrations from other nodes, by what followed.")
                .build(),
        }
    }

    /// Sets the socket and the other nodes' addresses.
    pub(crate) fn connect(&self, link: Link) {
        self.link.replace(Some(link));
    }

    /// Returns the position to tell the other nodes.
    pub(crate) fn position(&self, is_leading: bool, now: Instant) -> Option<Position> {
        self.feed.borrow().position(is_leading, now)
    }

    /// Returns the age of what is known of the registrations.
    pub(crate) fn age(&self, now: Instant) -> Millis {
        now.since(self.feed.borrow().as_of())
    }

    /// Returns whether the store has not answered lately: neither this node's calls nor, as far as it
    /// has heard, those of others.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        let is_unanswered = self
            .unanswered_since
            .get()
            .is_some_and(|since| now.since(since) > STALE_AFTER);
        is_unanswered || self.feed.borrow().is_stale(now)
    }

    fn record_call(&self, now: Instant) {
        let since = self.unanswered_since.get().unwrap_or(now);
        self.unanswered_since.set(Some(since));
    }

    fn record_answer(&self, now: Instant) {
        self.read_at.set(now);
        self.unanswered_since.set(None);
    }

    /// Returns whether a server's registered state differs from the last one, and remembers it. The time
    /// for which it is cold changes with each heartbeat and is not part of that state.
    fn replace_state(&self, id: &str, server: Option<&Server>) -> bool {
        let mut states = self.states.borrow_mut();
        let Some(server) = server else {
            return states.remove(id).is_some();
        };
        let server = Server {
            warmup_left: Millis(0),
            ..server.clone()
        };
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        let hash = hasher.finish();
        states.insert(id.into(), hash) != Some(hash)
    }

    /// Forgets the states of servers that are not listed, and returns whether there were any.
    fn forget_unlisted(&self, listed: &HashSet<CompactString>) -> bool {
        let mut states = self.states.borrow_mut();
        let count = states.len();
        states.retain(|id, _| listed.contains(id));
        states.len() < count
    }

    fn count(&self, outcome: &'static str) {
        self.segments.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

impl Node {
    /// Returns whether the store has not answered with registrations lately.
    pub(crate) fn has_stale_registrations(&self) -> bool {
        self.registrations.is_stale(self.now())
    }

    /// Adds or updates a server and returns whether anything changed.
    fn register(&self, mut server: Server, source: Source) -> bool {
        let id = server.id.clone();
        // It is recorded elsewhere and would make each heartbeat a change of the fleet.
        server.warmup_left = Millis(0);
        let mut registry = self.registrations.registry.borrow_mut();
        let mut fleet = self.fleet.borrow_mut();
        let changed = registry.register(&mut fleet, server, source, self.now());
        drop(fleet);
        if changed {
            self.record_change(&id);
        }
        changed
    }

    /// Removes a server whose entry is gone and returns whether anything changed.
    fn unregister(&self, id: &str) -> bool {
        let mut registry = self.registrations.registry.borrow_mut();
        let removal = registry.remove(&mut self.fleet.borrow_mut(), id, self.now());
        self.limits.forget_warmup(id, &removal);
        match removal {
            Removal::None => false,
            Removal::Suspected => true,
            Removal::Removed(server) => {
                info!(self.logger(), "server is gone";
                    "server" => %server.id, "service" => %server.service,
                    "group" => server.membership.as_ref()
                        .map(|membership| membership.group.to_string()));
                true
            }
        }
    }

    /// Records what a change says of its server beside the fleet, and returns whether it is news for the
    /// other nodes.
    fn record_state(&self, change: &feed::Change) -> bool {
        let state = change.state.as_ref();
        let is_changed = self.registrations.replace_state(&change.server, state);
        let is_news = state.is_some_and(|server| self.record_warmup(server, change.revision));
        is_changed || is_news
    }

    /// Applies a change and returns whether anything changed.
    fn apply_change(&self, change: feed::Change) -> bool {
        let revision = change.revision;
        match change.state {
            Some(server) => self.register(server, Source::Change { revision }),
            None => self.unregister(&change.server),
        }
    }

    /// Does what is due by the passing of time, and returns whether anything changed.
    fn refresh_registry(&self) -> bool {
        let now = self.now();
        let mut changed = false;
        let overdue = self.registrations.registry.borrow().overdue(now);
        for id in overdue {
            changed |= self.unregister(&id);
        }
        let mut fleet = self.fleet.borrow_mut();
        let mut registry = self.registrations.registry.borrow_mut();
        changed |= registry.trust_living(&mut fleet, now);
        if !self.registrations.is_stale(now) {
            let own_zone = self.is_leading.get().then_some(self.options.zone.as_str());
            changed |= registry.take_back(&mut fleet, own_zone, now);
        }
        changed |= fleet.refresh_absent(now);
        changed
    }

    /// Does what is due by the passing of time; called several times a second.
    pub(crate) fn tick_registrations(&self) {
        self.forget_old_changes();
        self.expire_warmups();
        if self.refresh_registry() {
            self.update_targets();
        }
    }

    /// Records how far another node knows the registrations, and sends it what it has missed.
    pub(crate) fn hear_position(&self, position: Position, from: SocketAddr) {
        let now = self.now();
        let registrations = &self.registrations;
        registrations.feed.borrow_mut().hear(position, now);
        let missing = registrations.feed.borrow().missing(position, now);
        for segment in missing {
            self.send_segment(&segment, &[from]);
        }
    }

    /// Applies changes that another node passes on, and passes on what is new.
    pub(crate) fn take_segment(&self, record: segment::Record) {
        let registrations = &self.registrations;
        let now = self.now();
        let segment = match record.decode() {
            Ok(segment) => segment,
            Err(error) => {
                debug!(self.logger(), "changes of registrations cannot be decoded"; "error" => %error);
                registrations.count("malformed");
                return;
            }
        };
        let verdict = registrations.feed.borrow_mut().take(&segment, now);
        let changes = match verdict {
            Verdict::Apply(changes) => changes,
            Verdict::Known => return registrations.count("known"),
            Verdict::Gap => return registrations.count("gap"),
        };
        registrations.count("applied");
        let mut changed = false;
        for change in changes {
            self.record_state(&change);
            changed |= self.apply_change(change);
        }
        self.spread_segment(&segment);
        if changed {
            self.update_targets();
        }
    }

    /// Sends a segment to a few nodes, which pass it on if it is new to them.
    fn spread_segment(&self, segment: &Segment) {
        let recipients = {
            let link = self.registrations.link.borrow();
            let Some(link) = link.as_ref() else {
                return;
            };
            let addresses = link.addresses.borrow();
            fastrand::choose_multiple(addresses.values().copied(), feed::FANOUT)
        };
        self.send_segment(segment, &recipients);
    }

    fn send_segment(&self, segment: &Segment, recipients: &[SocketAddr]) {
        let link = self.registrations.link.borrow();
        let Some(link) = link.as_ref() else {
            return;
        };
        for record in segment::Record::parts(segment) {
            let datagram = peers::encode_segment(self, record);
            // A lost datagram is made up for once the others' positions are heard.
            peers::send_to_each(self, &link.socket, &datagram, recipients);
        }
    }
}

/// Reads the registrations and their changes from the store.
pub(crate) struct Reader {
    node: Rc<Node>,
    oddities: Oddities,
}

impl Reader {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        Reader {
            node: Rc::clone(node),
            oddities: Oddities::default(),
        }
    }

    fn server_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.node.parts.protocol.servers_prefix())
    }

    fn decode(&self, entry: &Entry) -> Option<Server> {
        match self.node.parts.protocol.decode_server(entry) {
            Ok(server) => {
                let fault = self.node.parts.protocol.registration_fault(entry);
                match fault.filter(|_| server.warmup_left == Millis(0)) {
                    Some(fault) => {
                        let message = "a part of a registration cannot be used";
                        let logger = self.node.logger();
                        self.oddities.tell(logger, message, &entry.key, &fault);
                    }
                    None => self.oddities.forget(&entry.key),
                }
                Some(server)
            }
            Err(error) => {
                let message = "registration cannot be decoded";
                let logger = self.node.logger();
                self.oddities.tell(logger, message, &entry.key, &error);
                None
            }
        }
    }

    /// Converts a change of the store; an entry that cannot be decoded replaces the server's valid one.
    fn convert(&self, change: &Change) -> Option<feed::Change> {
        let (key, revision, state) = match change {
            Change::Put(entry) => (&entry.key, entry.mod_revision, self.decode(entry)),
            Change::Delete(key, revision) => {
                self.oddities.forget(key);
                (key, *revision, None)
            }
        };
        Some(feed::Change {
            revision,
            server: self.server_id(key)?.into(),
            state,
        })
    }

    /// Returns the incarnations and groups of the servers of groups.
    fn groups(&self) -> Vec<(CompactString, u64, Option<CompactString>)> {
        let fleet = self.node.fleet.borrow();
        let engines = fleet.servers().filter(|server| !server.domain.is_empty());
        let group = |server: &Server| server.membership.as_ref().map(|known| known.group.clone());
        engines
            .map(|server| (server.id.clone(), server.start_unix_ms, group(server)))
            .collect()
    }

    /// Logs the servers whose groups a reading of all registrations has changed.
    fn log_changed_groups(&self, before: &[(CompactString, u64, Option<CompactString>)]) {
        let fleet = self.node.fleet.borrow();
        let changes: Vec<CompactString> = before
            .iter()
            .filter_map(|(id, start, group)| {
                let server = fleet.server(id).filter(|now| now.start_unix_ms == *start)?;
                let now = server.membership.as_ref().map(|known| &known.group);
                let name = |group: Option<&CompactString>| group.cloned().unwrap_or("none".into());
                (now != group.as_ref())
                    .then(|| format_compact!("{id} {} {}", name(group.as_ref()), name(now)))
            })
            .collect();
        if !changes.is_empty() {
            info!(self.node.logger(), "registrations read anew show other groups than were known";
                "servers" => changes.len(),
                "first" => changes[..changes.len().min(MAX_LOGGED_CHANGES)].join(", "));
        }
    }

    /// Returns the times after which this node reads the store itself.
    fn options(&self) -> feed::Options {
        let drain = self.node.options.drain;
        let max_age = Millis(drain.0 * MAX_AGE_EIGHTHS / 8).clamp(LEADER_PAUSE, STALE_AFTER);
        let max_jitter = drain.0 / JITTER_DIVISOR;
        // Nodes have the same ports, so the name tells them apart.
        let hash = prefix_hash(self.node.options.node.as_bytes());
        feed::Options {
            max_age,
            jitter: Millis(hash % max_jitter.max(1)),
        }
    }
}

impl Subscriber for Reader {
    fn prefix(&self) -> CompactString {
        self.node.parts.protocol.servers_prefix().into()
    }

    fn rest(&self) -> Millis {
        if self.node.is_leading.get() {
            let read_at = self.node.registrations.read_at.get();
            return (read_at + LEADER_PAUSE).since(self.node.now());
        }
        let feed = self.node.registrations.feed.borrow();
        let rest = feed.rest(self.options(), self.node.now());
        // The node may become a leader meanwhile.
        rest.min(LEADER_PAUSE)
    }

    fn wait(&self) -> Millis {
        if self.node.is_leading.get() {
            LEADER_PAUSE
        } else {
            WAIT
        }
    }

    fn cursor(&self, after: u64) -> u64 {
        let feed = self.node.registrations.feed.borrow();
        feed.cursor().map_or(after, |cursor| cursor.max(after))
    }

    fn begin_snapshot(&mut self) {
        let registrations = &self.node.registrations;
        registrations.feed.borrow_mut().begin_snapshot();
    }

    fn replace(&mut self, entries: Vec<Entry>, revision: u64) {
        let node = &self.node;
        let registrations = &node.registrations;
        registrations.record_answer(node.now());
        node.refresh_registry();
        let keys: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.oddities.retain(|key| keys.contains(key));
        // An entry that cannot be decoded names no server, as in a change.
        let servers: Vec<(u64, Server)> = entries
            .iter()
            .filter_map(|entry| Some((entry.mod_revision, self.decode(entry)?)))
            .collect();
        let ids = servers.iter().map(|(_, server)| server.id.clone());
        let listed: HashSet<CompactString> = ids.collect();
        let missing = registrations
            .registry
            .borrow()
            .missing(&node.fleet.borrow(), &listed);
        for id in missing {
            node.unregister(&id);
        }
        let mut has_changed = registrations.forget_unlisted(&listed);
        let before = self.groups();
        for (revision, server) in servers {
            has_changed |= registrations.replace_state(&server.id, Some(&server));
            has_changed |= node.record_warmup(&server, revision);
            node.register(server, Source::Snapshot { revision });
        }
        self.log_changed_groups(&before);
        let mut feed = registrations.feed.borrow_mut();
        feed.finish_snapshot(revision, has_changed, node.now());
        drop(feed);
        node.update_targets();
    }

    fn apply(&mut self, changes: Vec<Change>, revision: u64) {
        let node = &self.node;
        let registrations = &node.registrations;
        registrations.record_answer(node.now());
        let mut changed = node.refresh_registry();
        let mut effective = Vec::new();
        for change in changes.iter().filter_map(|change| self.convert(change)) {
            // Other nodes may have passed it on while the call was under way.
            if !registrations.feed.borrow().is_new(change.revision) {
                continue;
            }
            if node.record_state(&change) {
                effective.push(change.clone());
            }
            changed |= node.apply_change(change);
        }
        let mut feed = registrations.feed.borrow_mut();
        let segment = feed.read(effective, revision, node.now());
        drop(feed);
        if let Some(segment) = segment {
            node.spread_segment(&segment);
        }
        if changed {
            node.update_targets();
        }
    }

    fn begin_call(&mut self) {
        self.node.registrations.record_call(self.node.now());
    }

    fn unnoticed_outage(&self) -> Option<Millis> {
        // No node has read the store for that long.
        let registrations = &self.node.registrations;
        let now = self.node.now();
        let is_stale = registrations.feed.borrow().is_stale(now);
        is_stale.then(|| registrations.age(now))
    }

    fn handle_recovery(&mut self, outage: Millis) {
        let mut registry = self.node.registrations.registry.borrow_mut();
        registry.end_outage(outage, self.node.now());
    }

    fn handle_restoration(&mut self) {
        let mut registry = self.node.registrations.registry.borrow_mut();
        registry.begin_era(self.node.now());
    }
}
