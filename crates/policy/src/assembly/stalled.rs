//! Looks for the lost member of a group that stands still, before its registration expires.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::backend::Server;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use super::{Task, View};
use crate::fleet::Group;

/// Time within which a member has to answer a query; a call takes a few milliseconds.
const ANSWER_TIME: Millis = Millis(400);
/// Number of consecutive queries that a member leaves unanswered until it counts as lost.
const MAX_UNANSWERED: u32 = 2;

/// Queries to one member of a group that stands still.
#[derive(Clone, Debug)]
struct Member {
    group: CompactString,
    sent_at: Instant,
    /// Whether the latest query is still to be answered.
    is_waiting: bool,
    has_answered: bool,
    /// Number of consecutive queries without an answer.
    unanswered: u32,
}

/// Queries to the members of groups that stand still.
#[derive(Clone, Debug, Default)]
pub(super) struct Queries {
    members: BTreeMap<CompactString, Member>,
}

impl Queries {
    /// Forgets the members of groups that no longer stand still.
    pub(super) fn retain(&mut self, stalled: &BTreeSet<CompactString>) {
        self.members
            .retain(|_, member| stalled.contains(&member.group));
    }

    /// Records the answer to a query, or that there is none.
    pub(super) fn record(&mut self, server: &str, is_answered: bool) {
        let Some(member) = self
            .members
            .get_mut(server)
            .filter(|known| known.is_waiting)
        else {
            return;
        };
        member.is_waiting = false;
        member.has_answered |= is_answered;
        member.unanswered = if is_answered {
            0
        } else {
            member.unanswered + 1
        };
    }

    /// Queries the members of a group that stands still, and returns whether one of them is lost.
    ///
    /// A member that does not answer is lost only if another one does; otherwise the leader's own
    /// link may be at fault.
    pub(super) fn has_lost_member(
        &mut self,
        view: &View<'_>,
        group: &Group,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) -> bool {
        let mut is_lost = false;
        let mut has_answer = false;
        let ids = group.members.iter().flatten();
        let servers = ids.filter_map(|id| view.fleet.server(id).or_else(|| view.fleet.absent(id)));
        for server in servers {
            let member = self.query(server, group, now, tasks);
            is_lost |= member.unanswered >= MAX_UNANSWERED;
            has_answer |= member.has_answered && member.unanswered == 0;
        }
        is_lost && has_answer
    }

    /// Queries a member if it has not answered since the group stands still.
    fn query(
        &mut self,
        server: &Server,
        group: &Group,
        now: Instant,
        tasks: &mut Vec<Task>,
    ) -> &Member {
        let new = Member {
            group: group.name.clone(),
            sent_at: now,
            is_waiting: false,
            has_answered: false,
            unanswered: 0,
        };
        let member = self.members.entry(server.id.clone()).or_insert(new.clone());
        if member.group != group.name {
            *member = new;
        }
        if member.is_waiting && now.since(member.sent_at) >= ANSWER_TIME {
            member.is_waiting = false;
            member.unanswered += 1;
        }
        let is_settled = member.has_answered && member.unanswered == 0;
        if !member.is_waiting && !is_settled && member.unanswered < MAX_UNANSWERED {
            member.is_waiting = true;
            member.sent_at = now;
            tasks.push(Task::Query {
                server: server.id.clone(),
                address: server.address,
            });
        }
        member
    }
}
