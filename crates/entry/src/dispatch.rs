//! Sends a call to targets until one answers or the call is given up.

use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::Millis;
use ntex::client::ClientResponse;

use crate::call::{Call, Destination};
use crate::event::Event;
use crate::exchange::{self, Fault};
use crate::gauge::Guard;
use crate::link::Links;
use crate::problem::Problem;
use crate::shared::Shared;
use crate::snapshot::Target;

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) answer: ClientResponse,
    pub(crate) target: Target,
    _guard: Guard,
}

/// Sends one call.
pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Rc<Call>,
    links: Rc<Links>,
    tried: Vec<CompactString>,
}

impl Dispatch {
    pub(crate) fn new(shared: Arc<Shared>, links: Rc<Links>, call: Rc<Call>) -> Self {
        Dispatch {
            shared,
            call,
            links,
            tried: Vec::new(),
        }
    }

    /// Opens an answer that starts at a token.
    pub(crate) async fn open(&mut self, resume_at: u64) -> Result<Opened, Problem> {
        let target = self.choose()?;
        self.tried.push(target.name.clone());
        let bound = self.remaining().min(self.shared.options.first_byte_timeout);
        let client = self.links.pooled(target.address).await.ok_or_else(|| {
            Problem::new(Reason::ConnectFailed, Step::Connecting, "no client").at(&target.name)
        })?;
        let guard = Guard::new(&target.gauge);
        match exchange::send(&client, &self.call, &target, resume_at, bound).await {
            Ok(answer) => Ok(Opened {
                answer,
                target,
                _guard: guard,
            }),
            Err(fault) => Err(self.failed(&fault, &target)),
        }
    }

    /// Records a fault and returns the problem that it means for the caller.
    pub(crate) fn failed(&mut self, fault: &Fault, target: &Target) -> Problem {
        self.links.retire(target.address);
        let event = match fault.reason {
            Reason::ConnectFailed => Event::ConnectFailed {
                target: target.name.clone(),
                generation: target.generation,
            },
            _ => Event::Broken {
                target: target.name.clone(),
                generation: target.generation,
                digest: self.call.digest,
            },
        };
        self.shared.send(event);
        Problem::new(fault.reason, fault.step, &fault.detail).at(&target.name)
    }

    /// Records a whole answer.
    pub(crate) fn answered(&self, target: &Target) {
        self.shared.send(Event::Answered {
            target: target.name.clone(),
            digest: self.call.digest,
        });
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Millis {
        self.call.deadline.since(self.shared.clock.now())
    }

    fn choose(&self) -> Result<Target, Problem> {
        let snapshot = self.shared.snapshot.load();
        let targets = match &self.call.destination {
            Destination::Model(name) => snapshot.models.get(name),
            Destination::Service(name) => snapshot.services.get(name),
        };
        targets
            .into_iter()
            .flatten()
            .filter(|target| !self.tried.contains(&target.name))
            .min_by_key(|target| target.gauge.in_flight())
            .cloned()
            .ok_or_else(|| {
                let detail = "no whole replica group or backend server is known";
                Problem::new(Reason::NoServer, Step::Admitted, detail)
            })
    }
}
