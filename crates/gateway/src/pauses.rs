//! What this node knows of the pauses that servers have asked for.

use std::cell::RefCell;
use std::fmt;

use jackdaw_core::protocol::Pause;
use jackdaw_core::units::Millis;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::pause::{Table, Way};
use jackdaw_policy::throttle::ServerId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use slog::{info, warn};

use crate::limits::server_id;
use crate::node::Node;

/// The pauses that servers have asked for.
pub(crate) struct Pauses {
    table: RefCell<Table>,
    asked: Counter<u64>,
}

/// Server that asks for a pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin<'a> {
    pub(crate) id: ServerId,
    pub(crate) server: &'a str,
}

impl<'a> From<&'a Target> for Origin<'a> {
    fn from(target: &'a Target) -> Self {
        Origin {
            id: server_id(target),
            server: &target.server,
        }
    }
}

impl fmt::Debug for Pauses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pauses").finish_non_exhaustive()
    }
}

impl Pauses {
    pub(crate) fn new(meter: &Meter) -> Self {
        Pauses {
            table: RefCell::default(),
            asked: meter
                .u64_counter("jackdawstair_server_pauses")
                .with_description("Refusals in which servers asked for a pause, by its kind.")
                .build(),
        }
    }
}

impl Node {
    /// Records the pause that a server asks for in its answer to a request; none is named if it is
    /// none of a caller of this node.
    pub(crate) fn record_pause(
        &self,
        origin: Origin<'_>,
        way: Way,
        pause: Pause,
        request: Option<&str>,
    ) {
        let asked = match pause {
            Pause::None => return,
            Pause::For(asked) => asked,
            Pause::Unreadable => {
                self.pauses
                    .asked
                    .add(1, &[KeyValue::new("kind", "unreadable")]);
                warn!(self.logger(), "pause of a server cannot be read";
                    "server" => origin.server, "request" => request);
                return;
            }
        };
        self.pauses
            .asked
            .add(1, &[KeyValue::new("kind", "readable")]);
        let mut table = self.pauses.table.borrow_mut();
        let Some(news) = table.record(origin.id, way, pause, self.now()) else {
            return;
        };
        if news.is_new {
            info!(self.logger(), "server asks for a pause";
                "server" => origin.server,
                "request" => request,
                "way" => ?way,
                "asked_ms" => asked.0,
                "kept_ms" => news.kept.0);
        }
    }

    /// Returns the time left of the pause that a server has asked for by a way; none if it wants requests.
    pub(crate) fn pause_left_by(&self, server: ServerId, way: Way) -> Option<Millis> {
        let table = self.pauses.table.borrow();
        table.left(server, way, self.now())
    }

    /// Returns the shortest time after which a target's server wants requests of this node by one of the
    /// ways that it has now; none if it wants them.
    pub(crate) fn pause_left(&self, target: &Target) -> Option<Millis> {
        let table = self.pauses.table.borrow();
        if table.is_empty() {
            return None;
        }
        let (server, now) = (server_id(target), self.now());
        let reach = self.reach.borrow();
        let mut machines = reach.relay_machines(now).peekable();
        if !reach.is_cut() || machines.peek().is_none() {
            return table.left(server, Way::Direct, now);
        }
        let pauses: Option<Vec<Millis>> = machines
            .map(|machine| table.left(server, Way::Through(machine), now))
            .collect();
        pauses?.into_iter().min()
    }
}
