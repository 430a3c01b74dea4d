//! What the control thread makes of the callers' data path.

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::token::Digest;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_entry::event::Event;
use jackdaw_policy::member;
use jackdaw_policy::poison::{Conviction, Crash};
use jackdaw_policy::spread::fact::{Fact, Key};

use super::{Action, State};

impl State {
    /// Takes an event of the data path.
    pub(super) fn hear(&mut self, event: Event, now: Instant, unix_ms: u64) -> Vec<Action> {
        match event {
            Event::Decided(decision) => {
                self.record(decision, unix_ms);
                Vec::new()
            }
            Event::ConnectFailed { target, generation } => {
                self.take_out(target, generation, now, unix_ms)
            }
            Event::Broken {
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
                self.poison.expire(now);
                let decision = self.poison.crash(&crash, now);
                self.record(decision, unix_ms);
                self.tell(&digest, now, unix_ms);
                self.take_out(target, generation, now, unix_ms)
            }
            Event::Answered { digest, .. } => match self.poison.answered(&digest) {
                Some(decision) => {
                    self.record(decision, unix_ms);
                    vec![Action::Publish]
                }
                None => Vec::new(),
            },
        }
    }

    /// Takes a fact that another node told; returns whether the data path must hear of it.
    pub(super) fn learn(&mut self, fact: &Fact, now: Instant, unix_ms: u64) -> bool {
        let Key::Convicted(digest) = &fact.key else {
            return false;
        };
        let conviction = Conviction {
            digest: *digest,
            remaining: Millis(fact.version.major.saturating_sub(unix_ms)),
        };
        let Some(decision) = self.poison.learn(conviction, now) else {
            return false;
        };
        self.record(decision, unix_ms);
        true
    }

    /// Takes a group out until its members report again.
    fn take_out(
        &mut self,
        group: CompactString,
        generation: Generation,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<Action> {
        let event = member::Event::Broken { group, generation };
        let outcome = self.zone.learn(event, now);
        self.follow(outcome, now, unix_ms)
    }

    /// Tells other nodes that a digest is refused, if it is.
    fn tell(&mut self, digest: &Digest, now: Instant, unix_ms: u64) {
        if let Some(conviction) = self.poison.conviction(digest, now) {
            let until = unix_ms + conviction.remaining.0;
            self.overlay.publish(Fact::convicted(*digest, until), now);
        }
    }
}
