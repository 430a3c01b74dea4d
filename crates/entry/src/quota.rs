//! Per-team limits and retry budgets on one node.

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
pub(crate) struct Quota {
    /// Budget for the retries of the team's requests.
    pub(crate) budget: Budget,
    rate_limiter: RateLimiter,
    in_flight: AtomicU32,
}

impl Quota {
    /// Counts a request against the team's limits on this node.
    ///
    /// # Errors
    ///
    /// Returns a problem if the team is over its concurrency or rate limit.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        team: &Team,
        nodes: u32,
        now: Instant,
    ) -> Result<Slot, Problem> {
        let slot = Slot::new(self);
        if slot.in_flight_before >= team.concurrency {
            let detail = format!("the team has {} requests in flight", team.concurrency);
            return Err(Problem::new(Reason::OverLimit, Step::Authenticated, detail));
        }
        match self.rate_limiter.take(team.requests_per_second, nodes, now) {
            Ok(()) => Ok(slot),
            Err(retry_after) => {
                let detail = "the team is over its rate on this node";
                let problem = Problem::new(Reason::OverLimit, Step::Authenticated, detail);
                Err(problem.with_retry_after(retry_after))
            }
        }
    }
}

/// Counts one of a team's requests in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    quota: Arc<Quota>,
    in_flight_before: u32,
}

impl Slot {
    fn new(quota: &Arc<Quota>) -> Self {
        Slot {
            in_flight_before: quota.in_flight.fetch_add(1, Ordering::Relaxed),
            quota: Arc::clone(quota),
        }
    }

    /// Gets the quota against which the request counts.
    pub(crate) fn quota(&self) -> &Quota {
        &self.quota
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.quota.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The quotas of all teams.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    teams: ArcSwap<HashMap<CompactString, Arc<Quota>>>,
}

impl Quotas {
    /// Gets the quota of a team, creating it on first use.
    pub(crate) fn get_or_create(&self, team: &CompactString) -> Arc<Quota> {
        if let Some(quota) = self.teams.load().get(team) {
            return Arc::clone(quota);
        }
        let created = Arc::new(Quota::default());
        self.teams.rcu(|teams| {
            let mut teams = HashMap::clone(teams);
            teams
                .entry(team.clone())
                .or_insert_with(|| Arc::clone(&created));
            teams
        });
        // Another worker may have inserted one first, so the map's value counts.
        self.teams.load().get(team).cloned().unwrap_or(created)
    }
}
