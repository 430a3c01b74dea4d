//! Tests of the time limits of callers' connections.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use jackdaw_core::units::Millis;
use jackdaw_entry::shared::Options;
use rstest::rstest;
use support::backend::Action::{Pause, Tokens, Write as Text};
use support::backend::{Backend, EVENT_TIMEOUT, FULL_ANSWER, STREAM_DONE, STREAM_HEAD, Script};
use support::caller::{Reply, Request, read_head};
use support::node::{Node, options};

/// Returns options with limits for callers of one second, the shortest that the HTTP library
/// knows, and with long ones for backend servers.
fn short_limits() -> Options {
    Options {
        head_timeout: Millis(1_000),
        keep_alive_timeout: Millis(1_000),
        first_byte_timeout: Millis::from_secs(60),
        buffered_answer_timeout: Millis::from_secs(60),
        idle_timeout: Millis::from_secs(60),
        ..options()
    }
}

/// How a caller uses one connection.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Number of requests, one after the other.
    requests: usize,
    /// Time between a stream's first and last event.
    answer: Duration,
    /// Time between an answer's end and the next request.
    pause: Duration,
}

fn streams(answer: Duration) -> Script {
    vec![
        Text(STREAM_HEAD),
        Tokens(1),
        Pause(answer),
        Text(STREAM_DONE),
    ]
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("timeout");
    stream
}

/// Sends a request on a kept connection and reads the answer; status 0 stands for a connection
/// that ended without one.
fn exchange(mut stream: &TcpStream, request: &Request) -> Reply {
    // A failed write shows as a missing answer.
    let _ = stream.write_all(request.encode().as_bytes());
    Reply::read(stream)
}

// Guards against a connection that is closed behind a complete answer because a timer from before
// the answer ran out while it was sent.
#[rstest]
#[case::half_a_second(Use {
    requests: 10, answer: Duration::from_millis(500), pause: Duration::ZERO })]
#[case::longer_than_the_head_limit(Use {
    requests: 10, answer: Duration::from_millis(1_500), pause: Duration::ZERO })]
#[case::three_seconds(Use {
    requests: 10, answer: Duration::from_secs(3), pause: Duration::ZERO })]
#[case::pauses_of_100_ms(Use {
    requests: 5, answer: Duration::from_millis(1_500), pause: Duration::from_millis(100) })]
#[case::eight_seconds(Use {
    requests: 3, answer: Duration::from_secs(8), pause: Duration::ZERO })]
#[case::pauses_of_100_ms(Use {
    requests: 5, answer: Duration::from_millis(2_500), pause: Duration::from_millis(100) })]
fn connection_is_kept_after_long_streams(#[case] case: Use) {
    use_connection(case, short_limits());
}

// Guards against the timer of an idle connection running on under the next answer.
#[test]
fn connection_is_kept_after_pauses_and_long_streams() {
    let case = Use {
        requests: 4,
        answer: Duration::from_secs(4),
        pause: Duration::from_secs(2),
    };
    let limits = Options {
        keep_alive_timeout: Millis::from_secs(4),
        ..short_limits()
    };
    use_connection(case, limits);
}

fn use_connection(case: Use, limits: Options) {
    let scripts = vec![streams(case.answer); case.requests];
    let backend = Backend::start(1, &scripts);
    let node = Node::start(limits, &backend.addresses);
    let stream = connect(node.address());
    for number in 0..case.requests {
        let reply = exchange(&stream, &Request::streamed());
        assert!(reply.is_complete_stream(), "request {number}: {reply:?}");
        thread::sleep(case.pause);
    }
}

// Guards against idle connections that are never closed.
#[rstest]
#[case::new_connection(0)]
#[case::used_connection(1)]
fn idle_connection_is_closed_after_its_limit(#[case] requests: usize) {
    let backend = Backend::start(1, &[]);
    let node = Node::start(short_limits(), &backend.addresses);
    let mut stream = connect(node.address());
    for _ in 0..requests {
        assert_eq!(exchange(&stream, &Request::completion()).status, 200);
    }
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("a closed connection");
}

// Guards against a connection that is closed because the server took longer for an answer than
// the caller may take for a head.
#[test]
fn connection_is_kept_while_a_server_is_silent() {
    let answer = vec![Pause(Duration::from_millis(1_500)), Text(FULL_ANSWER)];
    let backend = Backend::start(1, &vec![answer; 4]);
    let node = Node::start(short_limits(), &backend.addresses);
    let stream = connect(node.address());
    for number in 0..4 {
        let reply = exchange(&stream, &Request::completion());
        assert_eq!(reply.status, 200, "request {number}: {reply:?}");
    }
}

// Guards against the time limit of a head ending a request whose body comes slowly.
#[test]
fn connection_is_kept_after_bodies_that_come_slowly() {
    let backend = Backend::start(1, &[]);
    let node = Node::start(short_limits(), &backend.addresses);
    let mut stream = connect(node.address());
    let text = Request::completion().encode();
    let (first, rest) = text.split_at(text.len() - 20);
    for number in 0..3 {
        stream.write_all(first.as_bytes()).expect("write");
        thread::sleep(Duration::from_millis(1_500));
        stream.write_all(rest.as_bytes()).expect("write");
        let reply = Reply::read(&stream);
        assert_eq!(reply.status, 200, "request {number}: {reply:?}");
    }
}

// Guards against a time limit that holds for the first head of a connection only.
#[rstest]
#[case::first_head(0)]
#[case::later_head(1)]
fn head_that_stops_is_answered_after_its_limit(#[case] before: usize) {
    let backend = Backend::start(1, &[]);
    let node = Node::start(short_limits(), &backend.addresses);
    let mut stream = connect(node.address());
    for _ in 0..before {
        assert_eq!(exchange(&stream, &Request::completion()).status, 200);
    }
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: no")
        .expect("write");
    let mut reader = BufReader::new(&stream);
    assert_eq!(read_head(&mut reader).0, 504);
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest).expect("a closed connection");
}
