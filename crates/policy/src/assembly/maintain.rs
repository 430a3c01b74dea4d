//! Opens, closes and dissolves groups.

use compact_str::CompactString;
use jackdaw_core::backend::{Command, Server, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Formation, MembershipCheck, Planner, Task, View};
use crate::fleet::Group;

/// Shortest time for which other servers are preferred to one that did not become ready; allows for
/// several attempts.
const MIN_AVOIDANCE: Millis = Millis(10_000);
/// Longest time for which other servers are preferred to it.
const MAX_AVOIDANCE: Millis = Millis(80_000);

/// Time within which a member whose registration has expired has to answer a query; a call takes a
/// few milliseconds.
const CHECK_TIMEOUT: Millis = Millis(400);
/// Time between two queries to such a member.
const CHECK_INTERVAL: Millis = Millis(500);

impl Planner {
    /// Opens, closes or dissolves a group, as its members' states require.
    pub(super) fn maintain(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) {
        let members = view.members(group);
        if group.members.iter().all(Option::is_none) {
            self.dissolve_unranked(view, group, now, tasks);
            return;
        }
        let state = |server: &Server| {
            server
                .membership
                .as_ref()
                .map(|membership| membership.state)
        };
        let head = group.head().and_then(|id| view.fleet.server(id));
        let head_state = head.and_then(state);
        let is_serving = matches!(head_state, Some(State::Open | State::Closing));
        let has_lost_member = !group.is_whole()
            || members
                .iter()
                .any(|member| state(member) == Some(State::Broken))
            || !(group.absent.is_empty()
                || is_serving && self.check_absent_members(view, group, now, tasks))
            || is_serving
                && view.stalled.contains(&group.name)
                && self.queries.has_lost_member(view, group, now, tasks);
        if has_lost_member {
            if self.is_still_joining(view, group, now) {
                return;
            }
            for server in members {
                let cause = "the group has lost a member";
                self.order_leave(server, group, now, cause, tasks);
            }
            return;
        }
        let Some(head) = head else {
            return;
        };
        if members.iter().any(|server| server.draining) {
            self.close(
                head,
                &members,
                group,
                now,
                "a member is about to leave",
                tasks,
            );
            return;
        }
        if self.retiring.contains(&group.name) {
            self.close(
                head,
                &members,
                group,
                now,
                "another model lacks groups",
                tasks,
            );
            return;
        }
        let is_ready = members
            .iter()
            .all(|member| state(member) == Some(State::Ready));
        if is_ready {
            if view.is_evacuated {
                return;
            }
            let command = Command::Open {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            self.issue(head, command, now, "every member is ready", tasks);
            return;
        }
        if head_state == Some(State::Joining)
            || members
                .iter()
                .any(|member| state(member) == Some(State::Joining))
        {
            if self.is_still_joining(view, group, now) {
                return;
            }
            self.avoid_late_members(&members, now);
            for server in members {
                let cause = "the group did not become ready in time";
                self.order_leave(server, group, now, cause, tasks);
            }
        }
    }

    /// Returns whether each member whose registration has expired still answers that it is a member, or
    /// may still answer so, and queries those whose check is due.
    fn check_absent_members(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) -> bool {
        let mut is_intact = true;
        for id in &group.absent {
            let Some(server) = view.fleet.absent(id) else {
                continue;
            };
            let check = self
                .checks
                .get(id)
                .filter(|check| check.group == group.name);
            let age = check.map_or(Millis(0), |check| now.since(check.sent_at));
            let is_check_due = match check.map(|check| check.is_member) {
                None => true,
                Some(Some(is_member)) => {
                    is_intact &= is_member;
                    is_member && age >= CHECK_INTERVAL
                }
                Some(None) => {
                    is_intact &= age < CHECK_TIMEOUT;
                    false
                }
            };
            if is_check_due {
                let check = MembershipCheck {
                    group: group.name.clone(),
                    sent_at: now,
                    is_member: None,
                };
                self.checks.insert(id.clone(), check);
                tasks.push(Task::Query {
                    server: id.clone(),
                    address: server.address,
                });
            }
        }
        is_intact
    }

    /// Dissolves a group none of whose members has a rank in it: its model is not configured, or has
    /// smaller groups.
    fn dissolve_unranked(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) {
        let members: Vec<&Server> = self
            .servers(view)
            .filter(|server| {
                server.membership.as_ref().is_some_and(|membership| {
                    membership.group == group.name && membership.epoch == group.epoch
                })
            })
            .collect();
        let cause = if group.members.is_empty() {
            "the model is not configured"
        } else {
            "no member has a rank of the group"
        };
        for server in members {
            self.order_leave(server, group, now, cause, tasks);
        }
    }

    /// Closes an open group, which then finishes its requests, and dissolves one that is not open.
    fn close(
        &mut self,
        head: &Server,
        members: &[&Server],
        group: &Group,
        now: Instant,
        cause: &'static str,
        tasks: &mut Vec<Task>,
    ) {
        match head.membership.as_ref().map(|membership| membership.state) {
            Some(State::Open) => {
                let command = Command::Close {
                    group: group.name.clone(),
                    epoch: group.epoch,
                };
                self.issue(head, command, now, cause, tasks);
            }
            Some(State::Closing) => {}
            Some(State::Ready | State::Joining | State::Broken) | None => {
                for server in members {
                    self.order_leave(server, group, now, cause, tasks);
                }
            }
        }
    }

    /// Prefers other servers to the members that did not become ready, each time for twice as long,
    /// unless most members did not: then the cause is elsewhere.
    fn avoid_late_members(&mut self, members: &[&Server], now: Instant) {
        let is_late = |server: &&&Server| {
            let state = server
                .membership
                .as_ref()
                .map(|membership| membership.state);
            state == Some(State::Joining)
        };
        let late: Vec<&CompactString> = members
            .iter()
            .filter(is_late)
            .map(|member| &member.id)
            .collect();
        if late.len() * 2 > members.len() {
            return;
        }
        for id in late {
            let record = self.records.entry(id.clone()).or_default();
            let span = Millis((record.avoidance.0 * 2).clamp(MIN_AVOIDANCE.0, MAX_AVOIDANCE.0));
            record.avoidance = span;
            record.avoided_until = Some(now + span);
        }
    }

    /// Returns whether a group that is incomplete or not ready may still become complete and ready.
    fn is_still_joining(&mut self, view: &View<'_>, group: &Group, now: Instant) -> bool {
        let has_opened = group
            .head()
            .and_then(|id| view.fleet.server(id))
            .and_then(|server| server.membership.as_ref())
            .is_some_and(|membership| {
                matches!(
                    membership.state,
                    State::Open | State::Closing | State::Broken
                )
            });
        if has_opened || self.dissolving.contains(&group.name) {
            return false;
        }
        let order_timeout = self.options.order_timeout;
        let formation = self
            .formations
            .entry(group.name.clone())
            .or_insert_with(|| Formation {
                since: now,
                // It is not known whether members that a former leader chose load weights.
                loads: 1,
                join: None,
                members: Vec::new(),
                is_abandoned: false,
            });
        let load = view.engine.model(&group.model).map_or(Millis(0), |model| {
            if formation.loads > 0 {
                Millis(model.load_time.0 * self.options.load_time_factor)
            } else {
                model.warm_load_time
            }
        });
        // An order is sent at most twice; a member that has not reported the group by then has not
        // accepted the order.
        let join_limit = order_timeout.0 * 2;
        let limit = if group.is_whole() {
            Millis(load.0 + join_limit)
        } else {
            Millis(join_limit)
        };
        formation.is_abandoned |= now.since(formation.since) >= limit;
        !formation.is_abandoned
    }

    /// Orders a member to leave a group, which then counts as dissolving.
    fn order_leave(
        &mut self,
        server: &Server,
        group: &Group,
        now: Instant,
        cause: &'static str,
        tasks: &mut Vec<Task>,
    ) {
        self.dissolving.insert(group.name.clone());
        let command = Command::Leave {
            group: group.name.clone(),
            epoch: group.epoch,
        };
        self.issue(server, command, now, cause, tasks);
    }
}
