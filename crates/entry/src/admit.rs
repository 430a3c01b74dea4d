//! Decides whether a call may be dispatched.

use jackdaw_core::catalog::Team;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use jackdaw_policy::fair::{self, Arrival};
use jackdaw_policy::poison::Verdict;

use crate::call::{Call, Destination};
use crate::gate::Permit;
use crate::handler::Worker;
use crate::problem::Problem;
use crate::route::Selector;
use crate::share::Slot;
use crate::shared::Shared;

/// The right of a call to be dispatched.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) slot: Slot,
    pub(crate) permit: Permit,
    /// Whether the call was in flight at a crash and must run alone.
    pub(crate) suspect: bool,
}

/// Counts a request of a team against its limits.
pub(crate) fn enter_team(shared: &Shared, team: &Team) -> Result<Slot, Problem> {
    let nodes = shared.snapshot.load().nodes;
    let share = shared.shares.of(&team.name);
    share.enter(team, nodes, shared.clock.now())
}

/// Lets a call pass, in fair order with the calls of other teams.
pub(crate) async fn admit(worker: &Worker, call: &Call, slot: Slot) -> Result<Admission, Problem> {
    let shared = &worker.shared;
    let suspect = judge(shared, call)?;
    if call.deadline.since(shared.clock.now()) == Millis(0) {
        let detail = "the deadline passed before the request was admitted";
        return Err(Problem::new(Reason::Deadline, Step::Authenticated, detail));
    }
    let model = matches!(call.destination, Destination::Model(_));
    let name = call.destination.name();
    let gate = shared.gates.of(model, name, &shared.clock);
    let entrant = Arrival {
        team: call.team.name.clone(),
        weight: call.team.weight,
        cost: call.cost,
        deadline: call.deadline,
    };
    let permit = gate.pass(entrant, limit(worker, model, name)).await?;
    Ok(Admission {
        slot,
        permit,
        suspect,
    })
}

/// Returns whether a call is a suspect, and refuses it if it is convicted.
fn judge(shared: &Shared, call: &Call) -> Result<bool, Problem> {
    let snapshot = shared.snapshot.load();
    match snapshot.verdicts.of(&call.digest, shared.clock.now()) {
        Verdict::Clear => Ok(false),
        Verdict::Suspect => Ok(true),
        Verdict::Banned(remaining) => {
            let detail = "the same request crashed a backend server before";
            let problem = Problem::new(Reason::Poison, Step::Authenticated, detail);
            Err(problem.retry_after(remaining))
        }
    }
}

/// Returns how many requests this node may run at a model or service.
fn limit(worker: &Worker, model: bool, name: &str) -> u32 {
    let shared = &worker.shared;
    let snapshot = shared.snapshot.load();
    let selector = Selector {
        name,
        is_model: model,
        prefix: None,
        isolated: false,
    };
    let slots = if model {
        shared.options.route.slots
    } else {
        shared.options.service_slots
    };
    let (own, all) = worker
        .router
        .count_targets(&snapshot, selector, shared.clock.now());
    if own == 0 {
        return fair::share(slots, all, snapshot.nodes);
    }
    fair::share(slots, own, snapshot.zone_nodes)
}
