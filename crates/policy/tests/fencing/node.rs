//! A node of the model with the real election, reconciler and table.

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

use crate::world::{LEADER_KEY, ORDER_TIME, REPORT_BOUND, Setup, TTL, Task, UNIT, Variant};

#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) election: Election,
    pub(crate) reconciler: Rc<Reconciler>,
    pub(crate) table: Rc<Table>,
    /// Digest of reconciler and table, kept because they are large and change seldom.
    pub(crate) digest: u64,
    pub(crate) tasks: VecDeque<Task>,
    pub(crate) cycled: Option<Instant>,
    pub(crate) frozen: bool,
}

/// Feeds a debug representation to a hasher.
pub(crate) struct Sink(DefaultHasher);

impl fmt::Write for Sink {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Returns a digest of a debug representation.
pub(crate) fn digest(value: &dyn fmt::Debug) -> u64 {
    let mut sink = Sink(DefaultHasher::new());
    fmt::write(&mut sink, format_args!("{value:?}")).expect("sink takes everything");
    sink.0.finish()
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut election = DefaultHasher::new();
        self.election.hash(&mut election);
        let parts = (election.finish(), self.digest, self.cycled, self.frozen);
        write!(f, "{parts:?} {:?}", self.tasks)
    }
}

impl Node {
    pub(crate) fn new(index: usize, setup: &Setup) -> Self {
        let engines_check_fence = setup.engines_check_fence || setup.variant == Variant::NoWait;
        let election = Election::new(lease::Options {
            node: ["n0", "n1"][index].into(),
            zone: "a".into(),
            ttl: TTL,
            clock_margin: UNIT,
            order_timeout: ORDER_TIME,
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
            cycled: None,
            frozen: false,
        }
    }

    pub(crate) fn lease(&mut self, event: lease::Event, now: Instant) {
        let actions = self.election.step(event, now);
        let actions = actions.into_iter();
        let actions = actions.filter(|action| !matches!(action, lease::Action::Explain(_)));
        self.tasks.extend(actions.map(Task::Lease));
    }

    pub(crate) fn place(&mut self, event: placement::Event) {
        // Planning goes on at once when the view of the placement has changed.
        let changes = matches!(
            event,
            placement::Event::Acquired(_)
                | placement::Event::Read(_)
                | placement::Event::Written(_)
        );
        if changes {
            self.cycled = None;
        }
        let actions = Rc::make_mut(&mut self.reconciler).step(event);
        self.queue(actions);
        self.digest = digest(&(&self.reconciler, &self.table));
    }

    pub(crate) fn queue(&mut self, actions: Vec<placement::Action>) {
        let matters = |action: &placement::Action| {
            !matches!(
                action,
                placement::Action::Explain(_) | placement::Action::Changed
            )
        };
        let actions = actions.into_iter().filter(matters);
        self.tasks.extend(actions.map(Task::Place));
    }

    /// Returns whether the next task touches this node alone, so that its order among the moves of
    /// others does not matter.
    pub(crate) fn next_is_local(&self) -> bool {
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
