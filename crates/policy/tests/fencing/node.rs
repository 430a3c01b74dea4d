//! Simulated node with the real election, reconciler and member table.

use std::collections::VecDeque;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_policy::lease::{self, Election};
use jackdaw_policy::member::{Bounds, Table};
use jackdaw_policy::placement::{self, Reconciler};
use jackdaw_policy::plan;

use crate::model::{LEADER_KEY, ORDER_TIMEOUT, REPORT_BOUND, Setup, TTL, Task, UNIT, Variant};

#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) election: Election,
    pub(crate) reconciler: Rc<Reconciler>,
    pub(crate) table: Rc<Table>,
    /// Digest of reconciler and table, cached because they are large and rarely change.
    pub(crate) digest: u64,
    pub(crate) tasks: VecDeque<Task>,
    pub(crate) last_cycle: Option<Instant>,
    pub(crate) is_frozen: bool,
}

/// Writer that feeds text to a hasher.
pub(crate) struct HashWriter(DefaultHasher);

impl fmt::Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Returns a digest of the debug representation of a value.
pub(crate) fn digest(value: &dyn fmt::Debug) -> u64 {
    let mut writer = HashWriter(DefaultHasher::new());
    fmt::write(&mut writer, format_args!("{value:?}")).expect("hash writer never fails");
    writer.0.finish()
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut election = DefaultHasher::new();
        self.election.hash(&mut election);
        let parts = (
            election.finish(),
            self.digest,
            self.last_cycle,
            self.is_frozen,
        );
        write!(f, "{parts:?} {:?}", self.tasks)
    }
}

impl Node {
    pub(crate) fn new(index: usize, setup: &Setup) -> Self {
        let engines_check_fence =
            setup.engines_check_fence || setup.variant == Variant::NoOrderDelay;
        let election = Election::new(lease::Options {
            node: ["n0", "n1"][index].into(),
            zone: "a".into(),
            ttl: TTL,
            clock_margin: UNIT,
            order_timeout: ORDER_TIMEOUT,
            retry_delay: UNIT,
            candidacy_delay: Millis(0),
            engines_check_fence,
        });
        let reconciler = Reconciler::new(placement::Options {
            zone: "a".into(),
            leader_key: LEADER_KEY.into(),
            placement_key: "placement".into(),
            order_retry_interval: UNIT,
            max_orders_in_flight: 2,
            drain_propagation: UNIT,
            plan: plan::Options::default(),
        });
        let table = Table::new(Bounds {
            max_report_age: REPORT_BOUND,
            missing_after: REPORT_BOUND,
            recovery_time: Millis(0),
            loss_memory: Millis(0),
        });
        Node {
            election,
            reconciler: Rc::new(reconciler),
            table: Rc::new(table),
            digest: 0,
            tasks: VecDeque::new(),
            last_cycle: None,
            is_frozen: false,
        }
    }

    pub(crate) fn step_election(&mut self, event: lease::Event, now: Instant) {
        let actions = self.election.step(event, now);
        let actions = actions.into_iter();
        let actions = actions.filter(|action| !matches!(action, lease::Action::Explain(_)));
        self.tasks.extend(actions.map(Task::Lease));
    }

    pub(crate) fn step_reconciler(&mut self, event: placement::Event) {
        // A change of the known placement allows another cycle within the same time unit.
        let is_placement_change = matches!(
            event,
            placement::Event::Acquired(_)
                | placement::Event::Read(_)
                | placement::Event::Written(_)
        );
        if is_placement_change {
            self.last_cycle = None;
        }
        let actions = Rc::make_mut(&mut self.reconciler).step(event);
        self.queue_actions(actions);
        self.digest = digest(&(&self.reconciler, &self.table));
    }

    pub(crate) fn queue_actions(&mut self, actions: Vec<placement::Action>) {
        let is_relevant = |action: &placement::Action| {
            !matches!(
                action,
                placement::Action::Explain(_) | placement::Action::Changed
            )
        };
        let actions = actions.into_iter().filter(is_relevant);
        self.tasks.extend(actions.map(Task::Place));
    }

    /// Returns whether the next task affects only this node, so that its order among the steps of
    /// other nodes does not matter.
    pub(crate) fn is_next_task_local(&self) -> bool {
        match self.tasks.front() {
            Some(Task::LeaseAnswer(_) | Task::PlaceAnswer(_)) => true,
            Some(Task::Lease(action)) => {
                matches!(action, lease::Action::Acquired(_) | lease::Action::Lost(_))
            }
            Some(Task::Place(action)) => matches!(action, placement::Action::Superseded(_)),
            None => false,
        }
    }
}
