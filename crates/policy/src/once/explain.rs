//! Explains the decisions of an attempt.

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::refusal::Reason;

use super::call::{Action, Call};

impl Call {
    /// Returns the decision behind an action, or `None` for a write, which decides nothing yet.
    ///
    /// The main subject is the team; the executor adds the request, because only it knows the
    /// request's name.
    #[must_use]
    pub fn explain(&self, action: &Action) -> Option<Decision> {
        let (taken, against) = match action {
            Action::Write(_) => return None,
            Action::Run => ("run it", None),
            Action::Replay(_) => (
                "give the stored answer",
                Some("an earlier attempt completed"),
            ),
            Action::Refuse { reason, .. } => ("do not run it", Some(refusal_cause(*reason))),
            Action::Closed { recorded: true } => ("record its result", None),
            Action::Closed { recorded: false } => ("leave its result unrecorded for now", None),
        };
        let request = self.request();
        let team = Subject::Team(request.team.clone());
        let mut decision = Decision::new(team, "non-idempotent call", taken)
            .with_input("idempotency key", &request.key)
            .with_input("request digest", request.digest)
            .with_input("attempt", self.initiator().attempt);
        if let Some(holder) = self.holder() {
            decision = decision
                .with_input("record of node", &holder.node)
                .with_input("record state", holder.state)
                .with_input("record age", holder.age);
        }
        Some(match against {
            Some(against) => decision.with_alternative("run it", against),
            None => decision,
        })
    }
}

/// Returns why a refused attempt does not run.
fn refusal_cause(reason: Reason) -> &'static str {
    match reason {
        Reason::KeyMismatch => "the key was used for another request",
        Reason::MayHaveRun => "an earlier attempt may have run",
        Reason::InProgress => "another attempt may be running",
        _ => "its intent could not be recorded in time",
    }
}
