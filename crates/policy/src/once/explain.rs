//! Explains what an attempt decided.

use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::refusal::Reason;

use super::call::{Action, Call};

impl Call {
    /// Explains an action; `None` for writes, which decide nothing yet.
    ///
    /// The main subject is the team; the executor adds the request, whose name it knows.
    #[must_use]
    pub fn explain(&self, action: &Action) -> Option<Decision> {
        let (taken, against) = match action {
            Action::Write(_) => return None,
            Action::Run => ("run it", None),
            Action::Replay(_) => (
                "give the stored answer",
                Some("an earlier attempt completed"),
            ),
            Action::Refuse { reason, .. } => ("do not run it", Some(describe(*reason))),
            Action::Closed { recorded: true } => ("record its result", None),
            Action::Closed { recorded: false } => ("leave its result unrecorded for now", None),
        };
        let asked = self.request();
        let team = Subject::Team(asked.team.clone());
        let mut decision = Decision::new(team, "non-idempotent call", taken)
            .with_input("idempotency key", &asked.key)
            .with_input("request digest", asked.digest)
            .with_input("attempt", self.origin().attempt);
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

/// Gets why a refused attempt is not run.
fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::KeyMismatch => "the key was used for another request",
        Reason::MayHaveRun => "an earlier attempt may have run",
        Reason::InProgress => "another attempt may be running",
        _ => "its intent could not be recorded in time",
    }
}
