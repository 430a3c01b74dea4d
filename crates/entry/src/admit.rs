//! Decides whether a call may be dispatched.

use jackdaw_core::catalog::Team;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use jackdaw_policy::fair::{self, Arrival};
use jackdaw_policy::poison::{Features, Verdict};

use crate::call::Call;
use crate::gate::Permit;
use crate::handler::Worker;
use crate::problem::Problem;
use crate::quota::Slot;
use crate::route::Selector;
use crate::shared::Shared;

/// Permission for a call to be dispatched, with the resources that it holds.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) slot: Slot,
    pub(crate) permit: Permit,
    /// Whether the call was in flight at a crash and has to run alone.
    pub(crate) suspect: bool,
}

/// Counts a request against its team's limits.
///
/// # Errors
///
/// Returns a problem if the team is over a limit.
pub(crate) fn acquire_team_slot(shared: &Shared, team: &Team) -> Result<Slot, Problem> {
    let nodes = shared.snapshot.load().nodes;
    let quota = shared.quotas.get_or_create(&team.name);
    quota.acquire(team, nodes, shared.clock.now())
}

/// Admits a call in fair order with the calls of other teams.
///
/// # Errors
///
/// Returns a problem if the call is banned, overloads the destination or runs out of time.
pub(crate) async fn admit(worker: &Worker, call: &Call, slot: Slot) -> Result<Admission, Problem> {
    let shared = &worker.shared;
    let suspect = check_poison(shared, call)?;
    if call.deadline.since(shared.clock.now()) == Millis(0) {
        let detail = "the deadline passed before the request was admitted";
        return Err(Problem::new(Reason::Deadline, Step::Authenticated, detail));
    }
    let is_model = call.destination.is_model();
    let name = call.destination.name();
    let gate = shared.gates.get_or_create(is_model, name, &shared.clock);
    let arrival = Arrival {
        team: call.team.name.clone(),
        weight: call.team.weight,
        cost: call.cost,
        deadline: call.deadline,
    };
    let permit = gate
        .acquire(arrival, concurrency_limit(worker, is_model, name))
        .await?;
    Ok(Admission {
        slot,
        permit,
        suspect,
    })
}

/// Returns whether a call is suspected of crashing backend servers.
///
/// # Errors
///
/// Returns a problem if the call is banned.
fn check_poison(shared: &Shared, call: &Call) -> Result<bool, Problem> {
    let snapshot = shared.snapshot.load();
    let features = Features::of_request(call.digest);
    match snapshot.verdicts.of(&features, shared.clock.now()) {
        Verdict::Clear => Ok(false),
        Verdict::Suspect => Ok(true),
        Verdict::Banned(remaining) => {
            let detail = "the same request crashed a backend server before";
            let problem = Problem::new(Reason::Poison, Step::Authenticated, detail);
            Err(problem.with_retry_after(remaining))
        }
    }
}

/// Returns how many requests this node may run at once for a model or service.
fn concurrency_limit(worker: &Worker, is_model: bool, name: &str) -> u32 {
    let shared = &worker.shared;
    let snapshot = shared.snapshot.load();
    let selector = Selector {
        name,
        is_model,
        prefix_hash: None,
        isolated: false,
    };
    let slots = if is_model {
        shared.options.route.slots
    } else {
        shared.options.service_slots
    };
    let (local, total) = worker
        .router
        .count_targets(&snapshot, selector, shared.clock.now());
    if local == 0 {
        return fair::share(slots, total, snapshot.nodes);
    }
    fair::share(slots, local, snapshot.zone_nodes)
}
