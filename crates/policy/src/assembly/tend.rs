//! Opens, finishes and dissolves groups.

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Server, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Forming, Planner, Task, View, Vouch};
use crate::fleet::Group;

/// Time for which others go before a server that did not become ready: several attempts.
const MIN_DISTRUST: Millis = Millis(10_000);
/// Longest time for which others go before it.
const MAX_DISTRUST: Millis = Millis(80_000);

/// Time in which a member whose registration has lapsed has to answer; a call takes a few
/// milliseconds.
const VOUCH_TIME: Millis = Millis(400);
/// Pause until it is asked again.
const VOUCH_PAUSE: Millis = Millis(500);

impl Planner {
    /// Opens, finishes or dissolves a group.
    pub(super) fn tend(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        out: &mut Vec<Task>,
    ) {
        let members = view.members(group);
        if group.members.is_empty() {
            self.abandon(view, group, now, out);
            return;
        }
        let state = |server: &Server| server.membership.as_ref().map(|one| one.state);
        let head = group.head().and_then(|id| view.fleet.server(id));
        let head_state = head.and_then(state);
        let is_serving = matches!(head_state, Some(State::Open | State::Closing));
        let is_lost = !group.is_whole()
            || members.iter().any(|one| state(one) == Some(State::Broken))
            || !(group.absent.is_empty() || is_serving && self.vouched(view, group, now, out));
        if is_lost {
            if self.is_still_joining(view, group, now) {
                return;
            }
            for server in members {
                let cause = "the group has lost a member";
                self.leave(server, group, now, cause, out);
            }
            return;
        }
        let Some(head) = head else {
            return;
        };
        if members.iter().any(|server| server.draining) {
            self.finish(
                head,
                &members,
                group,
                now,
                "a member is about to leave",
                out,
            );
            return;
        }
        if self.retiring.contains(&group.name) {
            self.finish(
                head,
                &members,
                group,
                now,
                "another model lacks groups",
                out,
            );
            return;
        }
        let is_ready = members.iter().all(|one| state(one) == Some(State::Ready));
        if is_ready {
            let command = Command::Open {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            self.give(head, command, now, "every member is ready", out);
            return;
        }
        if head_state == Some(State::Joining)
            || members.iter().any(|one| state(one) == Some(State::Joining))
        {
            if self.is_still_joining(view, group, now) {
                return;
            }
            self.distrust_late(&members, now);
            for server in members {
                let cause = "the group did not become ready in time";
                self.leave(server, group, now, cause, out);
            }
        }
    }

    /// Returns whether the members whose registrations have lapsed still say that they are members, or
    /// may still say so.
    fn vouched(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        out: &mut Vec<Task>,
    ) -> bool {
        let mut is_sound = true;
        for id in &group.absent {
            let Some(server) = view.fleet.absent(id) else {
                continue;
            };
            let vouch = self.vouches.get(id).filter(|one| one.group == group.name);
            let age = vouch.map_or(Millis(0), |one| now.since(one.asked));
            let is_due = match vouch.map(|one| one.is_member) {
                None => true,
                Some(Some(is_member)) => {
                    is_sound &= is_member;
                    is_member && age >= VOUCH_PAUSE
                }
                Some(None) => {
                    is_sound &= age < VOUCH_TIME;
                    false
                }
            };
            if is_due {
                let vouch = Vouch {
                    group: group.name.clone(),
                    asked: now,
                    is_member: None,
                };
                self.vouches.insert(id.clone(), vouch);
                out.push(Task::Query {
                    server: id.clone(),
                    address: server.address,
                });
            }
        }
        is_sound
    }

    /// Dissolves a group of a model that is not configured.
    fn abandon(&mut self, view: &View<'_>, group: &Group, now: Instant, out: &mut Vec<Task>) {
        let members: Vec<&Server> = self
            .servers(view)
            .filter(|server| {
                server
                    .membership
                    .as_ref()
                    .is_some_and(|one| one.group == group.name && one.epoch == group.epoch)
            })
            .collect();
        for server in members {
            self.leave(server, group, now, "the model is not configured", out);
        }
    }

    /// Finishes the work of a group, then dissolves it.
    fn finish(
        &mut self,
        head: &Server,
        members: &[&Server],
        group: &Group,
        now: Instant,
        cause: &'static str,
        out: &mut Vec<Task>,
    ) {
        match head.membership.as_ref().map(|one| one.state) {
            Some(State::Open) => {
                let command = Command::Close {
                    group: group.name.clone(),
                    epoch: group.epoch,
                };
                self.give(head, command, now, cause, out);
            }
            Some(State::Closing) => {}
            Some(State::Ready | State::Joining | State::Broken) | None => {
                for server in members {
                    self.leave(server, group, now, cause, out);
                }
            }
        }
    }

    /// Lets other servers go before the members that did not become ready for a while, each time for
    /// longer, unless most did not: then the cause is not theirs.
    fn distrust_late(&mut self, members: &[&Server], now: Instant) {
        let is_late = |server: &&&Server| {
            let state = server.membership.as_ref().map(|one| one.state);
            state == Some(State::Joining)
        };
        let late: Vec<&CompactString> = members.iter().filter(is_late).map(|one| &one.id).collect();
        if late.len() * 2 > members.len() {
            return;
        }
        for id in late {
            let memory = self.memory.entry(id.clone()).or_default();
            let span = Millis((memory.distrust.0 * 2).clamp(MIN_DISTRUST.0, MAX_DISTRUST.0));
            memory.distrust = span;
            memory.distrusted_until = Some(now + span);
        }
    }

    /// Returns whether a group that is not whole or not ready may still become so.
    fn is_still_joining(&mut self, view: &View<'_>, group: &Group, now: Instant) -> bool {
        let head_has_opened = group
            .head()
            .and_then(|id| view.fleet.server(id))
            .and_then(|server| server.membership.as_ref())
            .is_some_and(|one| matches!(one.state, State::Open | State::Closing | State::Broken));
        if head_has_opened || self.dissolving.contains(&group.name) {
            return false;
        }
        let order_time = self.options.order_time;
        let forming = self
            .forming
            .entry(group.name.clone())
            .or_insert_with(|| Forming {
                since: now,
                // What a former leader's members load is not known.
                loads: 1,
                join: None,
                members: Vec::new(),
                given_up: false,
            });
        let load = view.engine.model(&group.model).map_or(Millis(0), |model| {
            if forming.loads > 0 {
                Millis(model.load_time.0 * self.options.load_slack)
            } else {
                model.warm_load_time
            }
        });
        // An order is given twice at most; a member that has not reported the group by then has not
        // taken it.
        let orders = order_time.0 * 2;
        let bound = if group.is_whole() {
            Millis(load.0 + orders)
        } else {
            Millis(orders)
        };
        forming.given_up |= now.since(forming.since) >= bound;
        !forming.given_up
    }

    fn leave(
        &mut self,
        server: &Server,
        group: &Group,
        now: Instant,
        cause: &'static str,
        out: &mut Vec<Task>,
    ) {
        self.dissolving.insert(group.name.clone());
        let command = Command::Leave {
            group: group.name.clone(),
            epoch: group.epoch,
        };
        self.give(server, command, now, cause, out);
    }
}
