//! What this node knows of the pauses that servers have asked for.

use std::cell::RefCell;
use std::fmt;

use jackdaw_core::protocol::Pause;
use jackdaw_core::units::Millis;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::pause::{Table, Way};
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
    /// Records the pause that a server asks for in its answer to a request.
    pub(crate) fn record_pause(&self, target: &Target, way: Way, pause: Pause, request: &str) {
        let asked = match pause {
            Pause::None => return,
            Pause::For(asked) => asked,
            Pause::Unreadable => {
                self.pauses
                    .asked
                    .add(1, &[KeyValue::new("kind", "unreadable")]);
                warn!(self.logger(), "pause of a server cannot be read";
                    "server" => %target.server, "request" => request);
                return;
            }
        };
        self.pauses
            .asked
            .add(1, &[KeyValue::new("kind", "readable")]);
        let mut table = self.pauses.table.borrow_mut();
        let Some(news) = table.record(server_id(target), way, pause, self.now()) else {
            return;
        };
        if news.is_new {
            info!(self.logger(), "server asks for a pause";
                "server" => %target.server,
                "group" => %target.group,
                "request" => request,
                "way" => ?way,
                "asked_ms" => asked.0,
                "kept_ms" => news.kept.0);
        }
    }

    /// Returns the time left of the pause that a target's server has asked for; none if it wants requests.
    pub(crate) fn pause_left(&self, target: &Target, way: Way) -> Option<Millis> {
        let table = self.pauses.table.borrow();
        if table.is_empty() {
            return None;
        }
        table.left(server_id(target), way, self.now())
    }
}
