//! The callers' open connections, and the answers that were not sent whole when they end.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use compact_str::CompactString;
use jackdaw_entry::drain::Drain;
use ntex::io::{Id, IoRef};
use opentelemetry::metrics::{Counter, Meter, ObservableGauge};
use slog::info;
use tokio::sync::Notify;

use crate::activity::Activity;
use crate::node::Node;

/// Returns the number of bytes of a connection that the operating system has not taken yet.
pub(crate) fn unsent_bytes(connection: &IoRef) -> usize {
    connection.with_write_dst_buf(|buffer| buffer.len())
}

/// An open connection.
struct Open {
    connection: IoRef,
    /// Identity of the last request whose answer was handed over whole.
    last: Option<CompactString>,
    activity: Rc<Activity>,
}

/// The callers' connections that are served.
pub(crate) struct Connections {
    /// Notified when the limits of the configuration have changed.
    pub(crate) limits_changed: Notify,
    open: RefCell<HashMap<Id, Open>>,
    unsent: Counter<u64>,
    _open: ObservableGauge<u64>,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections").finish_non_exhaustive()
    }
}

impl Connections {
    pub(crate) fn new(meter: &Meter, drain: &Drain) -> Self {
        let drain = drain.clone();
        let open = meter
            .u64_observable_gauge("jackdawstair_connections")
            .with_description("Open connections of callers.")
            .with_callback(move |observer| observer.observe(drain.connections() as u64, &[]))
            .build();
        let unsent = meter
            .u64_counter("jackdawstair_unsent_answers")
            .with_description("Answers that were not sent whole when their connection ended.")
            .build();
        unsent.add(0, &[]);
        Connections {
            limits_changed: Notify::new(),
            open: RefCell::default(),
            unsent,
            _open: open,
        }
    }

    /// Gets the activity of a connection that is open.
    pub(crate) fn activity(&self, connection: &IoRef) -> Option<Rc<Activity>> {
        let open = self.open.borrow();
        let open = open.get(&connection.id())?;
        Some(Rc::clone(&open.activity))
    }

    /// Records that the answer to a request was handed over whole to a connection.
    pub(crate) fn record_answer(&self, connection: &IoRef, request: CompactString) {
        if let Some(open) = self.open.borrow_mut().get_mut(&connection.id()) {
            open.last = Some(request);
        }
    }

    /// Returns the number of bytes that the operating system has not taken yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        let open = self.open.borrow();
        open.values()
            .map(|open| unsent_bytes(&open.connection))
            .sum()
    }
}

/// Logs the answers that are not sent whole when the process ends.
pub(crate) fn end_all(node: &Node) {
    let connections = node.connections.open.take();
    for open in connections.into_values() {
        record_end(node, open);
    }
}

/// Logs and counts the last answer of a connection if it was not sent whole.
fn record_end(node: &Node, open: Open) {
    let unsent_bytes = unsent_bytes(&open.connection);
    let Some(request) = open.last.filter(|_| unsent_bytes > 0) else {
        return;
    };
    node.connections.unsent.add(1, &[]);
    info!(node.logger(), "answer not sent whole";
        "request" => %request,
        "unsent_bytes" => unsent_bytes,
        "stopping_ms" => node.stopping_for().map(|time| time.0));
}

/// A connection that is served until the guard is dropped.
pub(crate) struct Guard {
    node: Rc<Node>,
    id: Id,
    activity: Rc<Activity>,
}

impl Guard {
    /// Adds a connection.
    pub(crate) fn new(node: &Rc<Node>, connection: IoRef) -> Guard {
        let id = connection.id();
        let activity = Rc::new(Activity::new(node.now()));
        let open = Open {
            connection,
            last: None,
            activity: Rc::clone(&activity),
        };
        node.connections.open.borrow_mut().insert(id, open);
        Guard {
            node: Rc::clone(node),
            id,
            activity,
        }
    }

    /// Gets the activity of the connection.
    pub(crate) fn activity(&self) -> &Activity {
        &self.activity
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let removed = self.node.connections.open.borrow_mut().remove(&self.id);
        if let Some(open) = removed {
            record_end(&self.node, open);
        }
    }
}
