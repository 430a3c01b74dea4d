//! Simulated zone whose leaders read the servers' registrations from a store, as nodes do.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use compact_str::{CompactString, format_compact};
use jackdaw_core::backend::{Command, Reply, Server};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::assembly::Planner;
use jackdaw_policy::fleet::Fleet;
use jackdaw_policy::grace_period;
use jackdaw_policy::registry::{Registry, Source};

use crate::cluster::{Answer, Cluster, Faults, SERVICE, STEP};
use crate::store::{Change, Store, Update};

/// Time between two writes of a server that does not change.
const HEARTBEAT: Millis = Millis(1_200);
/// Time between two reads of a leader.
const READ_INTERVAL: Millis = Millis(250);
/// Time between two rounds of reports while the store is away.
const REPORT_INTERVAL: Millis = Millis(400);
/// Time without answers of the store after which reports are polled.
const STALE_AFTER: Millis = Millis(500);
/// Number of consecutive missed reports from which a server is removed.
const MAX_MISSED_REPORTS: u32 = 2;
/// Time after which a group that lacks a member is broken.
const STALL_TIME: Millis = Millis(2_500);
/// Age of the state in a server's report.
const REPORT_AGE: Millis = Millis(200);

/// A server's link to the store.
#[derive(Clone, Debug)]
struct Writer {
    /// State in the last write.
    written: Option<Server>,
    next_heartbeat: Instant,
    /// Time until which no write arrives.
    cut_until: Instant,
    /// State that is written first after that, if an old one is.
    delayed: Option<Server>,
}

/// Node that leads, or may lead next.
#[derive(Debug)]
struct Node {
    registry: Registry,
    fleet: Fleet,
    planner: Option<Planner>,
    /// Revision up to which the node has read the store.
    revision: Option<u64>,
    era: u64,
    read_at: Instant,
    answered_at: Instant,
    has_failed: bool,
    polled_at: Instant,
    missed_reports: BTreeMap<CompactString, u32>,
    /// Time until which the node reads nothing.
    frozen_until: Instant,
}

impl Node {
    fn new(now: Instant) -> Self {
        Node {
            registry: Registry::default(),
            fleet: Fleet::default(),
            planner: None,
            revision: None,
            era: 0,
            read_at: now,
            answered_at: now,
            has_failed: false,
            polled_at: now,
            missed_reports: BTreeMap::new(),
            frozen_until: now,
        }
    }

    /// Does what is due by the passing of time.
    fn refresh(&mut self, now: Instant) {
        for id in self.registry.overdue(now) {
            self.registry.remove(&mut self.fleet, &id, now);
        }
        self.registry.trust_living(&mut self.fleet, now);
        self.fleet.refresh_absent(now);
    }

    fn replace(&mut self, servers: Vec<(u64, Server)>, now: Instant) {
        self.refresh(now);
        let ids = servers.iter().map(|(_, server)| server.id.clone());
        let listed: HashSet<CompactString> = ids.collect();
        for id in self.registry.missing(&self.fleet, &listed) {
            self.registry.remove(&mut self.fleet, &id, now);
        }
        for (revision, server) in servers {
            let source = Source::Snapshot { revision };
            self.registry.register(&mut self.fleet, server, source, now);
        }
    }

    fn apply(&mut self, changes: Vec<Change>, now: Instant) {
        self.refresh(now);
        for change in changes {
            let revision = change.revision;
            match change.state {
                Some(server) => {
                    let source = Source::Change { revision };
                    self.registry.register(&mut self.fleet, server, source, now);
                }
                None => {
                    self.registry.remove(&mut self.fleet, &change.server, now);
                }
            }
        }
    }

    /// Reads the store if that is due.
    fn read(&mut self, store: &Store, now: Instant) {
        if now < self.frozen_until || now.since(self.read_at) < READ_INTERVAL {
            return;
        }
        self.read_at = now;
        if store.away_since.is_some() {
            self.has_failed = true;
            return;
        }
        if store.era > self.era {
            self.era = store.era;
            self.registry.begin_era(now);
        }
        if std::mem::take(&mut self.has_failed) {
            self.registry.end_outage(now.since(self.answered_at), now);
        }
        self.answered_at = now;
        match store.read(self.revision) {
            Update::Snapshot(servers, revision) => {
                self.revision = Some(revision);
                self.replace(servers, now);
            }
            Update::Changes(changes, revision) => {
                self.revision = Some(revision);
                self.apply(changes, now);
            }
        }
    }

    /// Polls the servers' reports while the store is away.
    fn poll_reports(&mut self, cluster: &Cluster, now: Instant) {
        if !self.has_failed || now.since(self.answered_at) < STALE_AFTER {
            self.missed_reports.clear();
            return;
        }
        if now.since(self.polled_at) < REPORT_INTERVAL {
            return;
        }
        self.polled_at = now;
        let servers: Vec<Server> = self.fleet.servers().cloned().collect();
        let reports = servers
            .iter()
            .map(|server| cluster.report(&server.id, server.address));
        let reports: Vec<_> = reports.collect();
        let answered = reports.iter().filter(|report| report.is_ok()).count();
        if !grace_period::is_conclusive(servers.len(), answered) {
            return;
        }
        for (server, report) in servers.iter().zip(reports) {
            if let Ok(report) = report {
                self.missed_reports.remove(&server.id);
                self.fleet.apply_report(&server.id, report.membership, now);
                continue;
            }
            let missed = self.missed_reports.entry(server.id.clone()).or_default();
            *missed += 1;
            if *missed >= MAX_MISSED_REPORTS {
                self.fleet.remove(&server.id);
            }
        }
    }
}

pub(crate) struct Site {
    pub(crate) cluster: Cluster,
    store: Store,
    nodes: Vec<Node>,
    /// Node that leads.
    leader: usize,
    /// Former leader that does not know of the next one yet, with the time at which it will.
    former: Option<(usize, Instant)>,
    writers: BTreeMap<CompactString, Writer>,
    /// Whether another node has come to lead, which does not know the servers' former groups.
    pub(crate) has_new_leader: bool,
}

impl Site {
    /// Creates a zone with a number of servers in each domain and two nodes, of which one leads.
    pub(crate) fn new(domains: &[usize]) -> Self {
        let mut cluster = Cluster::new(&[], Faults::default());
        cluster.leaders.clear();
        cluster.has_store = true;
        cluster.stall_time = Some(STALL_TIME);
        cluster.report_age = REPORT_AGE;
        for (domain, count) in domains.iter().enumerate() {
            for number in 0..*count {
                cluster.add_server(&format!("s{domain}-{number}"), &format!("d{domain}"));
            }
        }
        cluster.assign_addresses();
        let now = cluster.now;
        let mut nodes = vec![Node::new(now), Node::new(now)];
        nodes[0].planner = Some(cluster.create_planner());
        Site {
            cluster,
            store: Store::default(),
            nodes,
            leader: 0,
            former: None,
            writers: BTreeMap::new(),
            has_new_leader: false,
        }
    }

    /// Advances the simulated time by a span.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cluster.now = self.cluster.now + STEP;
        let now = self.cluster.now;
        self.cluster.advance_hosts();
        self.cluster.execute_delayed();
        self.write_entries();
        self.store.advance(now);
        if let Some((former, _)) = self.former.filter(|(_, until)| *until <= now) {
            self.nodes[former].planner = None;
            self.former = None;
        }
        for node in &mut self.nodes {
            node.read(&self.store, now);
            if node.planner.is_some() {
                node.poll_reports(&self.cluster, now);
            }
        }
        for node in &mut self.nodes {
            node.refresh(now);
            let Some(planner) = &mut node.planner else {
                continue;
            };
            for answer in self.cluster.run_planner(planner, &node.fleet) {
                if let Answer::Order(order, Ok(Reply::Done)) = &answer
                    && let Command::Leave { .. } = order.command
                {
                    node.fleet.apply_membership(&order.server, None, now);
                }
                answer.record(planner, now);
            }
        }
    }

    /// Writes the entries of the servers that have changed or whose heartbeat is due.
    fn write_entries(&mut self) {
        let now = self.cluster.now;
        for (place, id) in self.cluster.servers(true).into_iter().enumerate() {
            let writer = self.writers.entry(id.clone()).or_insert_with(|| Writer {
                written: None,
                // Heartbeats are spread evenly.
                next_heartbeat: now + Millis(place as u64 * 150 % HEARTBEAT.0),
                cut_until: now,
                delayed: None,
            });
            let Some(state) = self.cluster.state(&id) else {
                continue;
            };
            let is_due = writer.next_heartbeat <= now;
            if is_due {
                writer.next_heartbeat = now + HEARTBEAT;
            }
            let has_changed = writer.written.as_ref() != Some(&state);
            if now < writer.cut_until {
                continue;
            }
            if let Some(delayed) = writer.delayed.take() {
                self.store.write(delayed.clone(), now);
                writer.written = Some(state);
                writer.next_heartbeat = now + HEARTBEAT;
                continue;
            }
            if !is_due && !has_changed {
                continue;
            }
            // A change that fails is written with the next heartbeat.
            writer.written = Some(state.clone());
            if self.store.away_since.is_none() {
                self.store.write(state, now);
            }
        }
    }

    /// Cuts a server off from the store for some time; it writes its old state first afterwards if
    /// that write was under way.
    pub(crate) fn cut(&mut self, id: &str, span: Millis, has_old_write: bool) {
        let now = self.cluster.now;
        if let Some(writer) = self.writers.get_mut(id) {
            writer.cut_until = now + span;
            writer.delayed = writer.written.clone().filter(|_| has_old_write);
        }
    }

    /// Sets the time until a server's next heartbeat.
    pub(crate) fn set_heartbeat(&mut self, id: &str, span: Millis) {
        let now = self.cluster.now;
        if let Some(writer) = self.writers.get_mut(id) {
            writer.next_heartbeat = now + span;
        }
    }

    /// Keeps a leader from reading for some time.
    pub(crate) fn freeze(&mut self, span: Millis) {
        let until = self.cluster.now + span;
        self.nodes[self.leader].frozen_until = until;
    }

    /// Returns the groups that the leader sends requests to.
    pub(crate) fn targets(&self) -> BTreeSet<CompactString> {
        let fleet = &self.nodes[self.leader].fleet;
        let targets = fleet.targets(SERVICE, Some(&self.cluster.engine));
        targets.into_iter().map(|target| target.group).collect()
    }

    /// Lets the leader read the entries as they were some time ago, and the present ones later.
    pub(crate) fn rewind(&mut self, age: Millis, span: Millis) {
        let now = self.cluster.now;
        if self.store.away_since.is_some() {
            return;
        }
        let servers = self.store.read_old(age, now);
        let node = &mut self.nodes[self.leader];
        node.replace(servers, now);
        node.revision = None;
        node.frozen_until = now + span;
    }

    pub(crate) fn begin_outage(&mut self) {
        let now = self.cluster.now;
        self.store.away_since.get_or_insert(now);
    }

    /// Ends an outage in which the leases of a number of servers ran out.
    pub(crate) fn end_outage(&mut self, lapsed: usize, is_compacted: bool) {
        if self.store.away_since.is_none() {
            return;
        }
        self.store.return_without(lapsed, self.cluster.now);
        if is_compacted {
            self.store.compact();
        }
    }

    pub(crate) fn compact(&mut self) {
        self.store.compact();
    }

    /// Brings the store back from a copy of some age.
    pub(crate) fn restore(&mut self, age: Millis) {
        self.store.restore(age, self.cluster.now);
    }

    /// Elects the leader again.
    pub(crate) fn reelect(&mut self) {
        let fence = self.cluster.draw_fence();
        if let Some(planner) = &mut self.nodes[self.leader].planner {
            planner.set_fence(fence);
        }
    }

    /// Elects the other node; the former leader goes on for some time.
    pub(crate) fn replace_leader(&mut self, overlap: Millis) {
        if self.store.away_since.is_some() {
            return;
        }
        let now = self.cluster.now;
        if let Some((former, _)) = self.former.take() {
            self.nodes[former].planner = None;
        }
        self.former = Some((self.leader, now + overlap));
        self.leader = 1 - self.leader;
        self.has_new_leader = true;
        self.nodes[self.leader].planner = Some(self.cluster.create_planner());
    }

    /// Ends a server's process.
    pub(crate) fn crash(&mut self, id: &str) {
        self.cluster.crash(id);
    }

    /// Starts a crashed server again, under its own name or a new one.
    pub(crate) fn start(&mut self, id: &str, is_renamed: bool) {
        let new_id = is_renamed.then(|| format_compact!("{id}+"));
        self.writers.remove(id);
        self.cluster.start(id, new_id.as_deref());
    }
}
