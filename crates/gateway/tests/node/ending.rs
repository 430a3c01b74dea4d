//! Tests of answers that only the end of their connection ends.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use jackdaw_core::backend::{Membership, Order, Reply, Report, Server, State};
use jackdaw_core::config::{Configuration, Engine, Model};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::{Answer, Forwarding, Head, Orders, Protocol};
use jackdaw_core::store::Entry;
use jackdaw_core::units::{Millis, Tokens};
use jackdaw_gateway::node::Parts;
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Logger, o};

use super::lines::Lines;
use super::store::MemoryStore;
use super::support::{Node, Process, Script, Servers, exchange, options, parts, request, server};

const LINE: &str = "answer ended with its connection";

/// An answer and what is logged of its end.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    path: &'static str,
    script: Script,
    /// Number of events in the line; none if there is no line.
    events: Option<u64>,
}

// Guards against answers that end early and leave no trace of what marked their end.
#[rstest]
#[case(Case { name: "a stream", path: "/stream/x", events: Some(2), script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: a\n\n" })]
#[case(Case { name: "a whole answer", path: "/safe/x", events: Some(0), script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nwhole" })]
#[case(Case { name: "a stream in chunks", path: "/stream/x", events: None, script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\nTransfer-Encoding: Chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" })]
#[case(Case { name: "a whole answer with a length", path: "/safe/x", events: None, script: "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 5\r\n\r\nwhole" })]
#[case(Case { name: "an empty answer", path: "/safe/x", events: None, script: "HTTP/1.1 204 No Content\r\nid: ID\r\nsigned: 1\r\n\r\n" })]
fn ends_of_connections_that_end_answers_are_logged(#[case] case: Case) {
    let lines = Lines::default();
    let node = Node::start_with(2, &[case.script], options("node"), lines.logger());
    let answer = exchange(node.address, &request("r1", "POST", case.path));
    assert!(answer.starts_with("HTTP/1.1 20"), "{}: {answer}", case.name);
    node.stop();
    let logged = lines.with_message(LINE);
    let events: Vec<_> = logged.iter().map(|line| line.number("events")).collect();
    let expected: Vec<_> = case.events.map(Some).into_iter().collect();
    assert_eq!(events, expected, "{}", case.name);
    for line in &logged {
        assert_eq!(line.field("request"), "r1", "{}", case.name);
        assert_eq!(line.field("link"), "direct", "{}", case.name);
    }
}

const UNFRAMED_PART: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: a\n\n";
const REST: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 3\ndata: a\n\n\r\n0\r\n\r\n";
const TWO_EVENTS: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: a\n\n\r\n";
const ONE_EVENT: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const NO_EVENT: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";

/// What the second server of a stream sends, of which the first has sent two events.
struct Shorter {
    name: &'static str,
    script: Script,
    /// Whether the stream is complete for its caller; the route allows no third server.
    is_complete: bool,
}

// Guards against a stream that counts as complete at an end before the last event that its caller has,
// and against one that counts as broken off although nothing of it was left.
#[rstest]
#[case(Shorter { name: "all events, of a shorter stream", script: ONE_EVENT, is_complete: false })]
#[case(Shorter { name: "no event", script: NO_EVENT, is_complete: true })]
fn stream_does_not_end_before_what_its_caller_has(#[case] case: Shorter) {
    let options = Options {
        retry_ratio: 1.0,
        ..options("node")
    };
    let scripts = [TWO_EVENTS, case.script];
    let node = Node::start_with(2, &scripts, options, Logger::root(slog::Discard, o!()));
    let answer = exchange(node.address, &request("r1", "POST", "/stream/x"));
    assert_eq!(answer.matches("data: a").count(), 2, "{}", case.name);
    let is_complete = answer.ends_with("0\r\n\r\n");
    assert_eq!(is_complete, case.is_complete, "{}: {answer}", case.name);
    assert_eq!(node.arrived().len(), 2, "{}", case.name);
    node.stop();
}

const MODEL: &str = "model";

/// Protocol of a service of replica groups with one server each.
struct GroupProtocol(Arc<dyn Protocol>);

impl Protocol for GroupProtocol {
    fn decode_request(&self, headers: &HeaderMap) -> Result<Head> {
        Ok(Head {
            model: Some(MODEL.into()),
            ..self.0.decode_request(headers)?
        })
    }

    fn write_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        self.0.write_headers(headers, forwarding);
    }

    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer {
        self.0.decode_answer(status, headers)
    }

    fn readiness_path(&self) -> &'static str {
        self.0.readiness_path()
    }

    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration> {
        let mut configuration = self.0.decode_configuration(value)?;
        for service in &mut configuration.services {
            service.engine = Some(engine());
        }
        Ok(configuration)
    }

    fn decode_server(&self, entry: &Entry) -> Result<Server> {
        self.0.decode_server(entry)
    }

    fn configuration_key(&self) -> &'static str {
        self.0.configuration_key()
    }

    fn operators_prefix(&self) -> &'static str {
        self.0.operators_prefix()
    }

    fn decode_evacuation(&self, key: &str) -> Option<CompactString> {
        self.0.decode_evacuation(key)
    }

    fn servers_prefix(&self) -> &'static str {
        self.0.servers_prefix()
    }
}

fn engine() -> Engine {
    Engine {
        slots: 4,
        kv_capacity: Tokens(100_000),
        steps_per_pass: 1,
        step_ms: 1.0,
        step_ms_per_request: 0.0,
        step_ms_per_context: 0.0,
        prefill_per_ms: 100.0,
        prefill_ms_per_million_pairs: 0.0,
        mean_prompt_tokens: 10,
        mean_output_tokens: 10,
        loads_per_second: 1.0,
        concurrent_loads: 1,
        open_time: Millis(100),
        models: vec![Model {
            name: MODEL.into(),
            size: 1,
            share: 1.0,
            time_factor: 1.0,
            load_time: Millis(1_000),
            warm_load_time: Millis(100),
        }],
    }
}

fn membership(server: &str, state: State) -> Membership {
    Membership {
        group: format!("{MODEL}.1.{server}").into(),
        epoch: 1,
        rank: 0,
        state,
    }
}

/// Servers that report one state of their groups, or do not answer.
struct Reports {
    start_unix_ms: u64,
    state: Option<State>,
}

#[async_trait]
impl Orders for Reports {
    async fn order(&self, order: &Order) -> Result<Reply> {
        Err(Error::unreachable("send order", &order.server, "none"))
    }

    async fn report(&self, server: &str, _: SocketAddr) -> Result<Report> {
        let unreachable = || Error::unreachable("read report", server, "none");
        let state = self.state.ok_or_else(unreachable)?;
        Ok(Report {
            start_unix_ms: Some(self.start_unix_ms),
            accepted_orders: 1,
            membership: Some(membership(server, state)),
        })
    }
}

/// What a server says after it has closed the connection of a stream without chunks and length.
struct Closed {
    name: &'static str,
    reports: Reports,
    /// Number of servers that get the request.
    attempts: usize,
}

// Guards against streams that look complete although the server has broken off what its replica group
// was doing, or has started again, and against sound streams that are sent twice.
#[rstest]
#[case(Closed { name: "open", reports: Reports { start_unix_ms: 1, state: Some(State::Open) }, attempts: 1 })]
#[case(Closed { name: "broken", reports: Reports { start_unix_ms: 1, state: Some(State::Broken) }, attempts: 2 })]
#[case(Closed { name: "started again", reports: Reports { start_unix_ms: 2, state: Some(State::Open) }, attempts: 2 })]
#[case(Closed { name: "gone", reports: Reports { start_unix_ms: 1, state: None }, attempts: 2 })]
fn stream_ends_with_its_connection_only_if_its_group_still_serves(#[case] case: Closed) {
    let servers = Servers::with_scripts(&[UNFRAMED_PART, REST]);
    let registered = ["s0", "s1"].map(|id| Server {
        staged: vec![MODEL.into()],
        membership: Some(membership(id, State::Open)),
        ..server(id, servers.listen())
    });
    let store = Arc::new(MemoryStore::new());
    store.put("configuration", "1");
    store.put("servers/s0", "");
    store.put("servers/s1", "");
    let options = Options {
        retry_ratio: 1.0,
        ..options("node")
    };
    let ports = Ports::bind(&options).expect("ports are free");
    let parts = parts(&store, registered.into(), Logger::root(slog::Discard, o!()));
    let parts = Parts {
        protocol: Arc::new(GroupProtocol(parts.protocol)),
        orders: Arc::new(case.reports),
        ..parts
    };
    let process = Process::launch(options, ports, parts);
    process.wait_ready();
    let answer = exchange(process.callers, &request("r1", "POST", "/stream/x"));
    let events = answer.matches("data: a").count();
    let expected = 1 + case.attempts;
    assert_eq!(events, expected, "{}: {answer}", case.name);
    assert!(answer.ends_with("0\r\n\r\n"), "{}: {answer}", case.name);
    let arrived = servers.arrived.lock().expect("no test panicked").len();
    assert_eq!(arrived, case.attempts, "{}", case.name);
    process.stop();
}
