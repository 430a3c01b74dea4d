//! What the control thread makes of the callers' data path.

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
    /// Takes an event of the data path.
    pub(super) fn hear(&mut self, event: Event, now: Instant, unix_ms: u64) -> Vec<Action> {
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
                self.tell(&digest, now, unix_ms);
                self.doubt(target, generation, now, unix_ms)
            }
            Event::Answered { digest, .. } => {
                let Some(decision) = self.poison.record_answer(&digest) else {
                    return Vec::new();
                };
                self.record(decision, unix_ms);
                vec![Action::Publish]
            }
            Event::ConnectFailed { target, generation } => {
                self.doubt(target, generation, now, unix_ms)
            }
        }
    }

    /// Takes a group out until its members report again.
    fn doubt(
        &mut self,
        group: CompactString,
        generation: Generation,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let event = member::Event::GroupFailed { group, generation };
        let outcome = self.zone.learn(event, now);
        self.follow(outcome, now, unix_ms)
    }

    /// Takes a fact that another node told; returns whether the data path must hear of it.
    pub(super) fn learn(&mut self, fact: &Fact, now: Instant, unix_ms: u64) -> bool {
        let Key::Poison(digest) = &fact.key else {
            return false;
        };
        let conviction = Ban {
            digest: *digest,
            remaining: Millis(fact.version.major.saturating_sub(unix_ms)),
        };
        let Some(decision) = self.poison.adopt_ban(conviction, now) else {
            return false;
        };
        self.record(decision, unix_ms);
        true
    }

    /// Fills in what the data path shares with other nodes.
    pub(super) fn share(&mut self, snapshot: &mut Snapshot, now: Instant) {
        self.poison.expire(now);
        snapshot.verdicts = Arc::new(self.poison.verdicts());
        let zone = &self.options.zone;
        let of_zone = |member: &&Member| member.zone == *zone;
        // A node that knows no other counts itself.
        snapshot.nodes = count(self.overlay.members()).max(1);
        snapshot.zone_nodes = count(self.overlay.members().filter(of_zone)).max(1);
    }

    /// Tells other nodes that a digest is refused, if it is.
    fn tell(&mut self, digest: &Digest, now: Instant, unix_ms: u64) {
        if let Some(conviction) = self.poison.current_ban(digest, now) {
            let until = unix_ms + conviction.remaining.0;
            self.overlay.publish(Fact::poison(*digest, until), now);
        }
    }
}

fn count<'a>(members: impl Iterator<Item = &'a Member>) -> u32 {
    u32::try_from(members.count()).unwrap_or(u32::MAX)
}
