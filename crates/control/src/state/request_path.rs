//! Handles events of the request path and the poison bans shared with other nodes.

use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::gossip::fact::{Fact, Key, Member, Value};
use jackdaw_policy::gossip::hash;
use jackdaw_policy::member;
use jackdaw_policy::poison::{Ban, Change, Crash, Evidence, Feature, Features};

use super::{Action, State};

impl State {
    /// Handles an event of the request path.
    pub(super) fn handle_entry_event(
        &mut self,
        event: Event,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        match event {
            Event::Explained(decision) => {
                self.record(decision, unix_ms);
                Vec::new()
            }
            Event::ConnectionLost {
                target,
                generation,
                digest,
                alone,
            } => {
                let crash = Crash {
                    server: target.clone(),
                    incarnation: self.incarnation(&target, generation),
                    alone,
                };
                let features = Features::of_request(digest);
                let changes = self.poison.record_crash(&crash, &features, now);
                self.publish_changes(changes, now, unix_ms);
                self.suspend_group(target, generation, now, unix_ms)
            }
            Event::Answered { digest, .. } => {
                let features = Features::of_request(digest);
                let changes = self.poison.record_survival(&features, now);
                if changes.is_empty() {
                    return Vec::new();
                }
                self.publish_changes(changes, now, unix_ms);
                vec![Action::PublishSnapshot]
            }
            Event::ConnectFailed { target, generation } => {
                self.suspend_group(target, generation, now, unix_ms)
            }
        }
    }

    /// Treats a group as failed until its members report again.
    fn suspend_group(
        &mut self,
        group: CompactString,
        generation: Generation,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let event = member::Event::GroupFailed { group, generation };
        let outcome = self.zone.step_members(event, now);
        self.apply_outcome(outcome, now, unix_ms)
    }

    /// Adopts a poison ban or the evidence of a crash that another node published; returns whether
    /// the snapshot changes.
    pub(super) fn adopt_poison_fact(&mut self, fact: &Fact, now: Instant, unix_ms: u64) -> bool {
        match (&fact.key, &fact.value) {
            (Key::Poison(feature), _) => {
                let ban = Ban {
                    feature: *feature,
                    remaining: Millis(fact.version.major.saturating_sub(unix_ms)),
                    is_lifted: fact.version.minor > 0,
                };
                let Some(decision) = self.poison.adopt_ban(ban, now) else {
                    return false;
                };
                self.record(decision, unix_ms);
                true
            }
            (Key::Crash(feature, crash), Value::Crash { at_unix_ms }) => {
                let evidence = Evidence {
                    feature: *feature,
                    crash: *crash,
                    is_cleared: fact.version.minor > 0,
                    age: Millis(unix_ms.saturating_sub(*at_unix_ms)),
                };
                let changes = self.poison.adopt_evidence(evidence, now);
                let has_changed = !changes.is_empty();
                for change in changes {
                    self.record(change.decision, unix_ms);
                    self.publish_ban(&change.feature, now, unix_ms);
                }
                has_changed
            }
            _ => false,
        }
    }

    /// Explains what changed and tells other nodes.
    fn publish_changes(&mut self, changes: Vec<Change>, now: Instant, unix_ms: u64) {
        for Change {
            feature, decision, ..
        } in changes
        {
            self.record(decision, unix_ms);
            self.publish_evidence(&feature, now, unix_ms);
            self.publish_ban(&feature, now, unix_ms);
        }
    }

    /// Sets the snapshot's poison verdicts and the numbers of nodes in the system and the zone.
    pub(super) fn set_shared_state(&mut self, snapshot: &mut Snapshot, now: Instant) {
        self.poison.expire(now);
        snapshot.verdicts = Arc::new(self.poison.verdicts());
        let zone = &self.options.zone;
        let is_in_zone = |member: &&Member| member.zone == *zone;
        // A node that runs alone has no member list but counts itself.
        snapshot.nodes = count_members(self.overlay.members()).max(1);
        snapshot.peers = self.overlay.peers();
        snapshot.zone_nodes = count_members(self.overlay.members().filter(is_in_zone)).max(1);
    }

    /// Returns the number that distinguishes the incarnations of a target: the boot number of the VM
    /// that takes its requests, if this node observes it, and the generation of a group.
    fn incarnation(&self, target: &str, generation: Generation) -> u64 {
        let table = &self.zone.table;
        let groups = &table.placement().groups;
        let group = groups.iter().find(|group| group.name == target);
        let vm = group.and_then(|group| group.members.first());
        let observation = table.observation(vm.map_or(target, CompactString::as_str));
        let boot = observation.map_or(0, |observation| observation.report.boot);
        hash::mix(boot) ^ generation.0
    }

    /// Publishes what is known of a suspect to other nodes.
    fn publish_evidence(&mut self, feature: &Feature, now: Instant, unix_ms: u64) {
        for evidence in self.poison.evidence_on(feature, now) {
            let at_unix_ms = unix_ms.saturating_sub(evidence.age.0);
            let Evidence {
                crash, is_cleared, ..
            } = evidence;
            let fact = Fact::crash(*feature, crash, is_cleared, at_unix_ms);
            self.overlay.publish(fact, now);
        }
    }

    /// Publishes the ban of a feature to other nodes, or that it was lifted, if there is one.
    fn publish_ban(&mut self, feature: &Feature, now: Instant, unix_ms: u64) {
        if let Some(ban) = self.poison.ban(feature, now) {
            let until_unix_ms = unix_ms + ban.remaining.0;
            let fact = Fact::poison(*feature, until_unix_ms, ban.is_lifted);
            self.overlay.publish(fact, now);
        }
    }
}

fn count_members<'a>(members: impl Iterator<Item = &'a Member>) -> u32 {
    u32::try_from(members.count()).unwrap_or(u32::MAX)
}
