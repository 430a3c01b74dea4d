//! Tests of connections to servers that a node passes on for another one.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Logger, o};

use super::support::{Node, Script, TIMEOUT, options, request};

const ANSWER: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nok";
const KEPT_ANSWER: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";

/// Starts a node before one server; returns the address at which it passes connections on.
fn start(scripts: &[Script]) -> (Node, SocketAddr) {
    let options = options("node");
    let ports = Ports::bind(&options).expect("ports are free");
    let relay = ports.relay.local_addr().expect("the port is bound");
    let logger = Logger::root(slog::Discard, o!());
    (Node::start_on(ports, 1, scripts, logger, options), relay)
}

/// Names a server at a relay port and returns the first byte of the answer with the connection.
fn open(relay: SocketAddr, name: &str) -> (u8, TcpStream) {
    let mut stream = TcpStream::connect(relay).expect("the node listens");
    let timeout = stream.set_read_timeout(Some(TIMEOUT));
    timeout.expect("the time-out is valid");
    stream.write_all(name.as_bytes()).expect("the node reads");
    let mut answer = [0; 1];
    // A node that closes the connection gives no answer.
    let count = stream.read(&mut answer).unwrap_or_default();
    (if count == 0 { b'-' } else { answer[0] }, stream)
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    server: &'static str,
    answer: u8,
}

// Guards against a node that connects whoever asks to whatever address.
#[rstest]
#[case(Case { name: "a registered server", server: "s0\n", answer: b'C' })]
#[case(Case { name: "an unknown server", server: "s7\n", answer: b'N' })]
#[case(Case { name: "an address", server: "127.0.0.1:22\n", answer: b'N' })]
#[case(Case { name: "no name", server: "\n", answer: b'N' })]
#[case(Case { name: "bytes that are no text", server: "s0\u{0}\n", answer: b'N' })]
fn only_registered_servers_are_connected(#[case] case: Case) {
    let (node, relay) = start(&[]);
    let (answer, _stream) = open(relay, case.server);
    assert_eq!(answer, case.answer, "{}", case.name);
    node.stop();
}

// Guards against a tunnel that changes what passes through it, or hides its end.
#[test]
fn bytes_pass_unchanged_in_both_directions() {
    let (node, relay) = start(&[ANSWER]);
    let (_, mut stream) = open(relay, "s0\n");
    let sent = request("r9", "GET", "/safe/x");
    stream.write_all(sent.as_bytes()).expect("the node reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer ends");
    assert_eq!(answer, ANSWER.replace("ID", "r9"));
    assert_eq!(node.arrived().len(), 1);
    node.stop();
}

// Guards against a tunnel over a connection that has carried another one's requests: a node takes the
// first answer that it gets through a tunnel for its own.
#[test]
fn each_tunnel_has_a_connection_of_its_own() {
    let (node, relay) = start(&[KEPT_ANSWER; 2]);
    for id in ["r1", "r2"] {
        let (_, mut stream) = open(relay, "s0\n");
        let sent = request(id, "GET", "/safe/x");
        stream.write_all(sent.as_bytes()).expect("the node reads");
        let expected = KEPT_ANSWER.replace("ID", id).replace("KEEP", "");
        let mut answer = vec![0; expected.len()];
        stream.read_exact(&mut answer).expect("the answer is whole");
        assert_eq!(String::from_utf8_lossy(&answer), expected);
    }
    let arrived = node.arrived();
    assert_ne!(arrived[0]["socket"], arrived[1]["socket"]);
    node.stop();
}

// Guards against a stop that waits for tunnels which carry no request.
#[test]
fn stopping_node_closes_idle_tunnels_and_opens_no_more() {
    let (mut node, relay) = start(&[]);
    let (_, mut idle) = open(relay, "s0\n");
    node.begin_stop();
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).expect("the tunnel ends");
    assert!(rest.is_empty());
    assert_eq!(open(relay, "s0\n").0, b'N');
    node.process.wait_ended();
}

/// An answer without chunks and length that passes through a tunnel, and the end of the tunnel.
#[derive(Debug)]
struct Passage {
    name: &'static str,
    script: Script,
    /// Bytes behind the tab, if the opener asks for a mark at the server's end of the connection.
    server: &'static str,
    /// Whether the node that passes the bytes on stops before the server's end.
    is_stopped: bool,
    /// Last bytes that the opener gets.
    end: &'static [u8],
}

const UNFRAMED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nwhole";
const UNFRAMED_PART: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\n\r\nwhoHOLD";

// Guards against answers that end with their connection and look complete although the node that
// passes them on has ended the connection.
#[rstest]
#[case(Passage { name: "whole", script: UNFRAMED, server: "s0\t\n", is_stopped: false, end: b"whole\0\0" })]
#[case(Passage { name: "broken off", script: UNFRAMED_PART, server: "s0\t\n", is_stopped: true, end: b"who" })]
#[case(Passage { name: "whole, without marks", script: UNFRAMED, server: "s0\n", is_stopped: false, end: b"whole" })]
fn end_of_a_server_is_told_from_the_end_of_the_relay(#[case] case: Passage) {
    let (mut node, relay) = start(&[case.script]);
    let (answer, mut stream) = open(relay, case.server);
    assert_eq!(answer, b'C', "{}", case.name);
    let sent = request("r9", "GET", "/safe/x");
    stream.write_all(sent.as_bytes()).expect("the node reads");
    let mut answer = vec![0; 20];
    stream.read_exact(&mut answer).expect("the answer begins");
    if case.is_stopped {
        node.begin_stop();
    }
    stream.read_to_end(&mut answer).expect("the tunnel ends");
    assert!(answer.ends_with(case.end), "{}: {answer:?}", case.name);
    match case.is_stopped {
        true => node.process.wait_ended(),
        false => node.stop(),
    }
}

const PAUSED: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const SPLIT: Script = "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npauPAUSEse-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const AFTER_INTERIM: Script = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 60000\r\ncontent-length: 0\r\n\r\nKEEP";
const IN_A_BODY: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 44\r\n\r\nHTTP/1.1 503 Full\r\npause-ms: 60000\r\n\r\nxxxxxKEEP";
const NO_HTTP: Script = "pause-ms: 60000\r\n\r\nKEEP";
const BRIEF: Script =
    "HTTP/1.1 503 Full\r\nid: ID\r\nnot-run: 1\r\npause-ms: 0\r\ncontent-length: 0\r\n\r\nKEEP";

/// An answer that a node passes on, and whether its own request reaches the server afterwards.
#[derive(Debug)]
struct Refusal {
    name: &'static str,
    server: &'static str,
    script: Script,
    is_paused: bool,
}

// Guards against a node that goes on sending requests to a server which has asked its machine for a pause
// in an answer that it passed on.
#[rstest]
#[case(Refusal { name: "with marks", server: "s0\t\n", script: PAUSED, is_paused: true })]
#[case(Refusal { name: "without marks, as for older builds", server: "s0\n", script: PAUSED, is_paused: true })]
#[case(Refusal { name: "to a question", server: "s0\t?\n", script: PAUSED, is_paused: true })]
#[case(Refusal { name: "in two parts", server: "s0\t\n", script: SPLIT, is_paused: true })]
#[case(Refusal { name: "after an interim answer", server: "s0\t\n", script: AFTER_INTERIM, is_paused: true })]
#[case(Refusal { name: "of no length", server: "s0\t\n", script: BRIEF, is_paused: false })]
#[case(Refusal { name: "within a body", server: "s0\t\n", script: IN_A_BODY, is_paused: false })]
#[case(Refusal { name: "no answer of HTTP", server: "s0\t\n", script: NO_HTTP, is_paused: false })]
fn node_keeps_the_pause_that_it_passes_on(#[case] case: Refusal) {
    let (node, relay) = start(&[case.script, KEPT_ANSWER]);
    let (answer, mut stream) = open(relay, case.server);
    assert_eq!(answer, b'C', "{}", case.name);
    let sent = request("r9", "GET", "/safe/x").replacen("\r\n", "\r\npause: 20\r\n", 1);
    stream.write_all(sent.as_bytes()).expect("the node reads");
    read_to(&mut stream, case.script);
    let answer = node.call_as("r1", "GET", "/safe/x");
    let status = if case.is_paused { "503" } else { "200" };
    let has_status = answer.starts_with(&format!("HTTP/1.1 {status}"));
    assert!(has_status, "{}: {answer}", case.name);
    let arrivals = if case.is_paused { 1 } else { 2 };
    assert_eq!(node.arrived().len(), arrivals, "{}", case.name);
    node.stop();
}

/// Reads until the last bytes of a script have arrived.
fn read_to(stream: &mut TcpStream, script: Script) {
    let script = script.trim_end_matches("KEEP").as_bytes();
    let end = &script[script.len() - 8..];
    let mut received = Vec::new();
    while !received.ends_with(end) {
        let mut buffer = [0; 512];
        let count = stream.read(&mut buffer).expect("the answer goes on");
        assert!(count > 0, "the connection has ended: {received:?}");
        received.extend_from_slice(&buffer[..count]);
    }
}

/// Reads the milliseconds that follow the denial of a connection in a pause.
fn read_pause(stream: &mut TcpStream) -> u32 {
    let mut millis = [0; 4];
    stream.read_exact(&mut millis).expect("the pause is named");
    u32::from_be_bytes(millis)
}

// Guards against requests of others that a node lets through to a server in the pause that it has itself.
#[rstest]
#[case("s0\t\n", b'P')]
#[case("s0\n", b'P')]
#[case("s0\t?\n", b'C')]
fn no_requests_are_passed_on_in_a_pause_of_the_node(#[case] server: &str, #[case] expected: u8) {
    let (node, relay) = start(&[PAUSED]);
    assert!(node.call("GET", "/safe/x").starts_with("HTTP/1.1 503"));
    let (answer, mut stream) = open(relay, server);
    assert_eq!(answer, expected, "{server:?}");
    if expected == b'P' {
        let left = read_pause(&mut stream);
        assert!((50_000..61_000).contains(&left), "{left}");
    }
    assert_eq!(node.arrived().len(), 1);
    node.stop();
}

// Guards against requests on connections that were opened before a pause.
#[test]
fn used_connection_ends_with_the_next_request_in_a_pause() {
    let (node, relay) = start(&[KEPT_ANSWER, PAUSED, KEPT_ANSWER]);
    let (_, mut stream) = open(relay, "s0\t\n");
    let first = request("r1", "GET", "/safe/x");
    stream.write_all(first.as_bytes()).expect("the node reads");
    read_to(&mut stream, KEPT_ANSWER);
    assert!(
        node.call_as("r2", "GET", "/safe/x")
            .starts_with("HTTP/1.1 503")
    );
    let next = request("r3", "GET", "/safe/x");
    stream.write_all(next.as_bytes()).expect("the node reads");
    let mut rest = Vec::new();
    // A reset ends the connection as well.
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{rest:?}");
    assert_eq!(node.arrived().len(), 2);
    node.stop();
}

// Guards against a refusal that is lost because the body of its request is still on its way.
#[test]
fn early_refusal_reaches_the_sender_of_a_longer_body() {
    let (node, relay) = start(&[PAUSED, KEPT_ANSWER]);
    let (_, mut stream) = open(relay, "s0\n");
    let request = request("r1", "GET", "/safe/x");
    stream
        .write_all(request.as_bytes())
        .expect("the node reads");
    node.servers.wait_written(1);
    for _ in 0..3 {
        let sent = stream.write_all(b"more of a body\r\n");
        sent.expect("the connection is open");
    }
    let expected = PAUSED.replace("ID", "r1").replace("KEEP", "");
    let mut answer = vec![0; expected.len()];
    stream.read_exact(&mut answer).expect("the answer is whole");
    assert_eq!(String::from_utf8_lossy(&answer), expected);
    node.stop();
}
