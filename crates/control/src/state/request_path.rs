//! Handles events of the request path and the poison bans shared with other nodes.

use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event;
use jackdaw_entry::snapshot::Snapshot;
use jackdaw_policy::gossip::fact::{Fact, Key, Member};
use jackdaw_policy::member;
use jackdaw_policy::poison::{Ban, Crash};

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
                    digest,
                    server: target.clone(),
                    alone,
                };
                let decision = self.poison.record_crash(&crash, now);
                self.record(decision, unix_ms);
                self.publish_ban(&digest, now, unix_ms);
                self.suspend_group(target, generation, now, unix_ms)
            }
            Event::Answered { digest, .. } => {
                let Some(decision) = self.poison.record_answer(&digest) else {
                    return Vec::new();
                };
                self.record(decision, unix_ms);
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

    /// Adopts a poison ban that another node published; returns whether the snapshot changes.
    pub(super) fn adopt_ban_fact(&mut self, fact: &Fact, now: Instant, unix_ms: u64) -> bool {
        let Key::Poison(digest) = &fact.key else {
            return false;
        };
        let ban = Ban {
            digest: *digest,
            remaining: Millis(fact.version.major.saturating_sub(unix_ms)),
        };
        let Some(decision) = self.poison.adopt_ban(ban, now) else {
            return false;
        };
        self.record(decision, unix_ms);
        true
    }

    /// Sets the snapshot's poison verdicts and the numbers of nodes in the system and the zone.
    pub(super) fn set_shared_state(&mut self, snapshot: &mut Snapshot, now: Instant) {
        self.poison.expire(now);
        snapshot.verdicts = Arc::new(self.poison.verdicts());
        let zone = &self.options.zone;
        let is_in_zone = |member: &&Member| member.zone == *zone;
        // A node that runs alone has no member list but counts itself.
        snapshot.nodes = count_members(self.overlay.members()).max(1);
        snapshot.zone_nodes = count_members(self.overlay.members().filter(is_in_zone)).max(1);
    }

    /// Publishes the ban of a digest to other nodes, if the digest is banned.
    fn publish_ban(&mut self, digest: &Digest, now: Instant, unix_ms: u64) {
        if let Some(ban) = self.poison.current_ban(digest, now) {
            let until_unix_ms = unix_ms + ban.remaining.0;
            self.overlay
                .publish(Fact::poison(*digest, until_unix_ms), now);
        }
    }
}

fn count_members<'a>(members: impl Iterator<Item = &'a Member>) -> u32 {
    u32::try_from(members.count()).unwrap_or(u32::MAX)
}
