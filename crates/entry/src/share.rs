//! What one node keeps of each team.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use jackdaw_core::catalog::Team;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_policy::fair::RateLimiter;
use jackdaw_policy::retry::Budget;

use crate::problem::Problem;

/// Limits and budgets of one team on this node.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// Retries that the team may still spend.
    pub(crate) budget: Budget,
    rate: RateLimiter,
    in_flight: AtomicU32,
}

impl Share {
    /// Counts a request of the team against its limits on this node.
    pub(crate) fn enter(
        self: &Arc<Self>,
        team: &Team,
        nodes: u32,
        now: Instant,
    ) -> Result<Slot, Problem> {
        let slot = Slot::new(self);
        if slot.before >= team.concurrency {
            let detail = format!("the team has {} requests in flight", team.concurrency);
            return Err(Problem::new(Reason::OverLimit, Step::Authenticated, detail));
        }
        match self.rate.take(team.requests_per_second, nodes, now) {
            Ok(()) => Ok(slot),
            Err(pause) => {
                let detail = "the team is over its rate on this node";
                let problem = Problem::new(Reason::OverLimit, Step::Authenticated, detail);
                Err(problem.retry_after(pause))
            }
        }
    }
}

/// Counts one of a team's requests in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    share: Arc<Share>,
    before: u32,
}

impl Slot {
    fn new(share: &Arc<Share>) -> Self {
        Slot {
            before: share.in_flight.fetch_add(1, Ordering::Relaxed),
            share: Arc::clone(share),
        }
    }

    /// Gets the share that the request counts against.
    pub(crate) fn share(&self) -> &Share {
        &self.share
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.share.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The shares of all teams.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    teams: ArcSwap<HashMap<CompactString, Arc<Share>>>,
}

impl Shares {
    /// Gets the share of a team and creates it on first use.
    pub(crate) fn of(&self, team: &CompactString) -> Arc<Share> {
        if let Some(share) = self.teams.load().get(team) {
            return Arc::clone(share);
        }
        let created = Arc::new(Share::default());
        self.teams.rcu(|teams| {
            let mut teams = HashMap::clone(teams);
            teams
                .entry(team.clone())
                .or_insert_with(|| Arc::clone(&created));
            teams
        });
        // Another worker may have been first, so that the map decides.
        self.teams.load().get(team).cloned().unwrap_or(created)
    }
}
