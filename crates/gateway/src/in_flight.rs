//! Tracks the requests in flight, and logs those whose answer is not handed over whole.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::drain::RequestGuard;
use jackdaw_entry::in_flight::{Cause, Key, Registry, Request, Stage};
use ntex::http::Response;
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, ObservableGauge};
use slog::{KV, Record, Serializer, Value, info};

use crate::activity::Activity;
use crate::connections::unsent_bytes;
use crate::node::Node;

/// The registry of a node's requests and its metrics.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) registry: Registry,
    /// Counts the requests that are refused because the node is stopping.
    pub(crate) stop_refusals: Counter<u64>,
    abandoned: Counter<u64>,
    _in_flight: ObservableGauge<u64>,
}

impl InFlight {
    pub(crate) fn new(meter: &Meter) -> Self {
        let registry = Registry::default();
        let observed = registry.clone();
        let in_flight = meter
            .u64_observable_gauge("jackdawstair_in_flight")
            .with_description("Requests in flight by stage.")
            .with_callback(move |observer| {
                let counts = observed.counts();
                for stage in Stage::ALL {
                    let label = KeyValue::new("stage", stage.label());
                    observer.observe(counts.get(stage) as u64, &[label]);
                }
            })
            .build();
        let stop_refusals = meter
            .u64_counter("jackdawstair_stop_refusals")
            .with_description("Requests refused because the node is stopping.")
            .build();
        stop_refusals.add(0, &[]);
        let abandoned = meter
            .u64_counter("jackdawstair_abandoned")
            .with_description(
                "Requests whose answer was not handed over whole, by stage and cause.",
            )
            .build();
        for stage in Stage::ALL {
            for cause in Cause::ALL {
                abandoned.add(0, &abandoned_labels(stage, cause));
            }
        }
        InFlight {
            registry,
            stop_refusals,
            abandoned,
            _in_flight: in_flight,
        }
    }
}

fn abandoned_labels(stage: Stage, cause: Cause) -> [KeyValue; 2] {
    [
        KeyValue::new("stage", stage.label()),
        KeyValue::new("cause", cause.label()),
    ]
}

/// A request in flight. Dropping it before its answer has been handed over whole to the connection
/// logs and counts the request as abandoned.
pub(crate) struct Guard {
    node: Rc<Node>,
    key: Key,
    caller: Option<IoRef>,
    activity: Option<Rc<Activity>>,
    _in_flight: RequestGuard,
}

impl Guard {
    /// Adds a request to the registry.
    pub(crate) fn new(node: &Rc<Node>, request: Request, caller: Option<IoRef>) -> Guard {
        let activity = caller
            .as_ref()
            .and_then(|caller| node.connections.activity(caller));
        if let Some(activity) = &activity {
            activity.begin_request();
        }
        Guard {
            activity,
            key: node.in_flight.registry.insert(request),
            node: Rc::clone(node),
            caller,
            _in_flight: node.drain.track_request(),
        }
    }

    /// Returns whether the connection is to be closed after the answer.
    pub(crate) fn is_last(&self) -> bool {
        let activity = self.activity.as_ref();
        activity.is_some_and(|activity| activity.is_closing())
    }

    /// Returns the request's key in the registry.
    pub(crate) fn key(&self) -> Key {
        self.key
    }

    /// Returns a response that keeps the guard until its body has been sent or dropped.
    pub(crate) fn attach(self, response: Response) -> Response {
        // An answer to a closed connection is dropped; the stage before tells more about the cause.
        if !self.is_caller_gone() {
            self.node.in_flight.registry.update(self.key, |request| {
                if request.stage != Stage::Streaming {
                    request.stage = Stage::Answer;
                }
            });
        }
        response.map_body(|_, body| {
            ResponseBody::Other(Body::from_message(Handover { body, guard: self }))
        })
    }

    fn is_caller_gone(&self) -> bool {
        self.caller.as_ref().is_some_and(IoRef::is_closed)
    }

    /// Records that the answer has been handed over whole, unless the connection is closed.
    fn complete(&self) {
        if self.is_caller_gone() {
            return;
        }
        let removed = self.node.in_flight.registry.remove(self.key);
        if let Some((request, caller)) = removed.zip(self.caller.as_ref()) {
            self.node.connections.record_answer(caller, request.id);
        }
    }

    /// Returns why the answer was not handed over, and the error of the connection if it has one.
    fn cause(&self, request: &Request) -> (Cause, Option<io::Error>) {
        if request.is_closed_by_node {
            return (Cause::ClosedByNode, None);
        }
        let Some(caller) = self.caller.as_ref().filter(|caller| caller.is_closed()) else {
            return (Cause::Unknown, None);
        };
        // Writing nothing to a closed connection returns its error.
        match caller.encode_slice(&[]) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => {
                (Cause::ConnectionFailed, Some(error))
            }
            Ok(()) | Err(_) => (Cause::ClosedByCaller, None),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(activity) = &self.activity {
            activity.end_request(self.node.now());
        }
        if let Some(request) = self.node.in_flight.registry.remove(self.key) {
            let (cause, error) = self.cause(&request);
            record_abandoned(&self.node, &request, cause, error, self.caller.as_ref());
        }
    }
}

/// Fields of a log line about a request in flight.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    request: &'a Request,
    now: Instant,
    stopping_for: Option<Millis>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(node: &Node, request: &'a Request) -> Self {
        Fields {
            request,
            now: node.now(),
            stopping_for: node.stopping_for(),
        }
    }
}

impl KV for Fields<'_> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let request = self.request;
        serializer.emit_str("request", &request.id)?;
        serializer.emit_str("route", &request.route)?;
        serializer.emit_str("stage", request.stage.label())?;
        serializer.emit_str("server", &request.server)?;
        serializer.emit_str("group", &request.group)?;
        serializer.emit_u64("events", request.events)?;
        Value::serialize(&request.delivered, record, "delivered", serializer)?;
        serializer.emit_u64("age_ms", self.now.since(request.arrived).0)?;
        serializer.emit_u64("left_ms", request.deadline.since(self.now).0)?;
        let stopping_ms = self.stopping_for.map(|time| time.0);
        Value::serialize(&stopping_ms, record, "stopping_ms", serializer)
    }
}

/// Logs and counts a request whose answer was not handed over whole.
fn record_abandoned(
    node: &Node,
    request: &Request,
    cause: Cause,
    error: Option<io::Error>,
    caller: Option<&IoRef>,
) {
    let labels = abandoned_labels(request.stage, cause);
    node.in_flight.abandoned.add(1, &labels);
    info!(node.logger(), "answer abandoned";
        Fields::new(node, request),
        "cause" => cause.label(),
        "detail" => error.map(|error| error.to_string()),
        "unsent_bytes" => caller.map(unsent_bytes));
}

/// Logs and counts the requests that are still in flight when the process ends.
pub(crate) fn abandon_all(node: &Node) {
    for request in node.in_flight.registry.remove_all() {
        record_abandoned(node, &request, Cause::ProcessEnding, None, None);
    }
}

/// The body of a response together with the guard of its request.
struct Handover {
    body: ResponseBody<Body>,
    guard: Guard,
}

impl MessageBody for Handover {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let chunk = self.body.poll_next_chunk(cx);
        if let Poll::Ready(None) = chunk {
            self.guard.complete();
        }
        chunk
    }
}
