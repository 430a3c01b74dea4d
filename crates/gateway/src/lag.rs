//! Measures how late the event loop runs its timers.

use std::cell::Cell;
use std::rc::Rc;

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use tokio::time;

use crate::node::Node;

/// Time between two measurements.
const INTERVAL: Millis = Millis(100);

/// Lateness of the event loop's timers.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    due: Cell<Instant>,
    last: Cell<Millis>,
    longest: Cell<Millis>,
}

impl Lag {
    /// Returns how late the last timer ran, or how late the next one already is.
    pub(crate) fn current(&self, now: Instant) -> Millis {
        now.since(self.due.get()).max(self.last.get())
    }

    /// Returns the greatest lateness since the last call.
    pub(crate) fn take_longest(&self, now: Instant) -> Millis {
        self.longest.take().max(self.current(now))
    }

    fn record(&self, lateness: Millis) {
        self.last.set(lateness);
        self.longest.set(self.longest.get().max(lateness));
    }
}

/// Starts the measurements.
pub(crate) fn start(node: &Rc<Node>) {
    let node = Rc::clone(node);
    node.lag.due.set(node.now());
    ntex::rt::spawn(async move {
        loop {
            let due = node.now() + INTERVAL;
            node.lag.due.set(due);
            time::sleep(INTERVAL.duration()).await;
            let lateness = node.now().since(due);
            node.lag.record(lateness);
            node.histograms.record_lag(lateness);
        }
    });
}
