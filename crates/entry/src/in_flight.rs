//! Registry of the requests in flight: how far each has come, and until when it has to be answered.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use slotmap::{SlotMap, new_key_type};

/// How far an admitted request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The request's body is being read.
    Body,
    /// No server has begun to answer a stream, or has sent the whole of another answer.
    Server,
    /// A server has begun to answer a stream and has sent no event.
    FirstEvent,
    /// Events are being delivered.
    Streaming,
    /// A buffered answer, or a refusal, is being handed to the connection.
    Answer,
}

impl Stage {
    /// All stages in the order in which a request passes them.
    pub const ALL: [Stage; 5] = [
        Stage::Body,
        Stage::Server,
        Stage::FirstEvent,
        Stage::Streaming,
        Stage::Answer,
    ];

    /// Returns the stage's name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Stage::Body => "reading-body",
            Stage::Server => "waiting-for-server",
            Stage::FirstEvent => "waiting-for-first-event",
            Stage::Streaming => "streaming",
            Stage::Answer => "buffered-answer",
        }
    }
}

/// Why an answer was not handed over whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The caller ended the connection.
    ClosedByCaller,
    /// The connection was reset or failed.
    ConnectionFailed,
    /// The node closed the connection.
    ClosedByNode,
    /// The process ended.
    ProcessEnding,
    /// The HTTP server dropped the request although the connection was open.
    Unknown,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 5] = [
        Cause::ClosedByCaller,
        Cause::ConnectionFailed,
        Cause::ClosedByNode,
        Cause::ProcessEnding,
        Cause::Unknown,
    ];

    /// Returns the cause's name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Cause::ClosedByCaller => "closed-by-caller",
            Cause::ConnectionFailed => "connection-failed",
            Cause::ClosedByNode => "closed-by-node",
            Cause::ProcessEnding => "process-ending",
            Cause::Unknown => "unknown",
        }
    }
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identity that the caller gave.
    pub id: CompactString,
    /// Name of the route; empty until the request's body has been read.
    pub route: CompactString,
    /// How far the request has come.
    pub stage: Stage,
    /// Server that got the request last; empty if none has.
    pub server: CompactString,
    /// Replica group of that server.
    pub group: CompactString,
    /// Number of events that were handed to the connection.
    pub events: u64,
    /// Number of the last event that the caller has received.
    pub delivered: Option<u64>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the request has to be answered.
    pub deadline: Instant,
    /// Whether the node closes the connection to the caller.
    pub is_closed_by_node: bool,
}

new_key_type! {
    /// Identifies a request in flight; the key of a request that has ended finds nothing.
    pub struct Key;
}

/// Number of requests in each stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([usize; Stage::ALL.len()]);

impl Counts {
    /// Returns the number of requests in a stage.
    #[must_use]
    pub fn get(&self, stage: Stage) -> usize {
        self.0[stage as usize]
    }

    /// Returns the number of requests in all stages.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for stage in Stage::ALL {
            let count = self.get(stage);
            if count > 0 {
                write!(f, "{separator}{} {count}", stage.label())?;
                separator = ", ";
            }
        }
        Ok(())
    }
}

/// All requests in flight of one node.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    requests: Arc<Mutex<SlotMap<Key, Request>>>,
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, SlotMap<Key, Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    ///
    /// # Panics
    ///
    /// Panics if almost 2^32 requests are in flight.
    #[must_use]
    pub fn insert(&self, request: Request) -> Key {
        self.lock().insert(request)
    }

    /// Changes a request unless it has been removed.
    pub fn update(&self, key: Key, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.lock().get_mut(key) {
            change(request);
        }
    }

    /// Removes a request; returns `None` if it has been removed before.
    pub fn remove(&self, key: Key) -> Option<Request> {
        self.lock().remove(key)
    }

    /// Removes all requests and returns them, the oldest first.
    #[must_use]
    pub fn remove_all(&self) -> Vec<Request> {
        let mut requests: Vec<Request> = self.lock().drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| request.arrived);
        requests
    }

    /// Returns all requests, the oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<Request> {
        let mut requests: Vec<Request> = self.lock().values().cloned().collect();
        requests.sort_by_key(|request| request.arrived);
        requests
    }

    /// Counts the requests by stage.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for request in self.lock().values() {
            counts.0[request.stage as usize] += 1;
        }
        counts
    }

    /// Returns the latest deadline of the requests, or none if there is no request.
    #[must_use]
    pub fn latest_deadline(&self) -> Option<Instant> {
        let requests = self.lock();
        requests.values().map(|request| request.deadline).max()
    }
}
