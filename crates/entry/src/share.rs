//! What one node keeps of each team.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use jackdaw_policy::retry::Budget;

/// Limits and budgets of one team on this node.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// Retries that the team may still spend.
    pub(crate) budget: Budget,
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
