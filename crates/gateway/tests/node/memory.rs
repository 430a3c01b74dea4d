//! Tests of a node whose memory is short.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::units::Bytes;
use jackdaw_gateway::options::Options;
use rstest::rstest;
use slog::{Logger, o};

use super::support::{Node, Script, TIMEOUT, options, request};

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";
/// Memory with which one body of [`LARGE`] bytes fits, and two do not.
const MEMORY: Bytes = Bytes(48 << 20);
const LARGE: usize = 4 << 20;
/// Time for an answer that is given before the body has arrived.
const AT_ONCE: Duration = Duration::from_millis(1_500);

fn start(scripts: &[Script], memory: Bytes) -> Node {
    let options = Options {
        memory,
        ..options("node")
    };
    let logger = Logger::root(slog::Discard, o!());
    Node::start_with(1, scripts, options, logger)
}

fn connect(address: SocketAddr, timeout: Duration) -> TcpStream {
    let caller = TcpStream::connect(address).expect("the node listens");
    let set = caller.set_read_timeout(Some(timeout));
    set.expect("the time-out is valid");
    caller
}

fn read(mut caller: TcpStream) -> String {
    let mut answer = Vec::new();
    // A time-out ends the answer as well.
    let _ = caller.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// How a caller states the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    Stated,
    Chunked,
}

impl Length {
    /// Returns the head of a request with a body of [`LARGE`] bytes.
    fn head(self, id: &str) -> String {
        let head = request(id, "POST", "/once/x");
        let (head, _) = head.split_once("content-length").expect("it has a length");
        match self {
            Length::Stated => format!("{head}content-length: {LARGE}\r\n\r\n"),
            Length::Chunked => format!("{head}transfer-encoding: chunked\r\n\r\n"),
        }
    }

    /// Returns the body.
    fn body(self) -> Vec<u8> {
        let body = vec![b'a'; LARGE];
        match self {
            Length::Stated => body,
            Length::Chunked => {
                [format!("{LARGE:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n"].concat()
            }
        }
    }
}

// Guards against bodies within the limit that take a node more memory than it has, and against small
// requests that are turned away with them.
#[rstest]
#[case(Length::Stated)]
#[case(Length::Chunked)]
fn body_without_memory_is_refused_and_others_are_served(#[case] length: Length) {
    let node = start(&[OK; 3], MEMORY);
    let mut first = connect(node.address, TIMEOUT);
    let body = Length::Stated.body();
    let head = Length::Stated.head("r1");
    first.write_all(head.as_bytes()).expect("the node reads");
    first.write_all(&body[..LARGE / 2]).expect("the node reads");
    let start = Instant::now();
    let refusal = loop {
        let mut second = connect(node.address, AT_ONCE);
        let sent = second.write_all(length.head("r2").as_bytes());
        sent.expect("the node reads");
        if length == Length::Chunked {
            // The node may refuse the request before its end.
            let _ = second.write_all(&length.body());
        }
        let answer = read(second);
        if !answer.is_empty() {
            break answer;
        }
        assert!(start.elapsed() < TIMEOUT, "no request is refused");
    };
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(
        refusal.to_lowercase().contains("retry-after: "),
        "{refusal}"
    );
    let small = node.call_as("r3", "POST", "/once/x");
    assert!(small.starts_with("HTTP/1.1 200"), "{small}");
    first.write_all(&body[LARGE / 2..]).expect("the node reads");
    let answer = read(first);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // The memory is free again.
    let mut last = connect(node.address, TIMEOUT);
    let sent = last.write_all(&[Length::Stated.head("r4").into_bytes(), body].concat());
    sent.expect("the node reads");
    let answer = read(last);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(node.arrived().len(), 3);
    node.stop();
}

const FILLED: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n1e8480\r\nFILL\r\n0\r\n\r\nKEEP";
/// Size of [`FILLED`].
const ANSWER: usize = 0x1e_8480;

// Guards against sound large answers that are not served because they do not all fit into the memory
// at once, and against ones that come in part.
#[test]
fn large_answers_are_whole_one_after_the_other() {
    let node = start(&[FILLED; 8], MEMORY);
    node.servers.fill("b".repeat(ANSWER));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let address = node.address;
            let sent = request(&format!("r{number}"), "GET", "/steady/x");
            thread::spawn(move || {
                let mut caller = connect(address, TIMEOUT);
                caller.write_all(sent.as_bytes()).expect("the node reads");
                read(caller)
            })
        })
        .collect();
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        let (head, body) = answer.split_once("\r\n\r\n").expect("there is a head");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.matches('b').count(), ANSWER);
    }
    node.stop();
}

const TOO_LARGE: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 99999999999\r\n\r\naaaHOLD";

// Guards against a request that waits for an answer which is too large to be held.
#[test]
fn answer_that_states_too_large_a_length_is_given_up_at_once() {
    let node = start(&[TOO_LARGE, OK], MEMORY);
    let start = Instant::now();
    let answer = node.call_as("r1", "POST", "/slow/x");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(start.elapsed() < Duration::from_secs(3));
    node.stop();
}
