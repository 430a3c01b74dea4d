//! Tests of peers that send bytes without an end before the head of an answer, and of sound large answers.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use jackdaw_core::protocol::Exchange as _;
use jackdaw_core::units::Millis;
use jackdaw_link::client::Client;
use jackdaw_link::pool::Options;
use rstest::rstest;

/// Longest wait for an event, after which a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);
const PATIENT: Millis = Millis(10_000);
/// Most bytes that a client and the operating system take before the head of an answer.
const MAX_TAKEN: usize = 16 << 20;
/// Bytes that are sent at once.
const PIECE: usize = 16 << 10;
/// Size of a sound large answer.
const LARGE: usize = 2 << 20;

/// Starts a peer that sends bytes again and again in place of an answer, and tells how many were taken.
fn start_endless(piece: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    let (end, ended) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let piece = piece.repeat(PIECE / piece.len());
        let mut taken = 0;
        while taken <= 2 * MAX_TAKEN && stream.write_all(piece.as_bytes()).is_ok() {
            taken += piece.len();
        }
        // The test may have ended.
        let _ = end.send(taken);
    });
    (address, ended)
}

fn get() -> Request<Bytes> {
    let request = Request::get("/").header("host", "peer").body(Bytes::new());
    request.expect("the request is valid")
}

// Guards against a peer that holds a thread with bytes before an answer until its socket is empty, which
// it never is.
#[rstest]
#[case::interim_heads("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::early_hints("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[case::empty_lines("\r\n")]
#[case::lines_of_a_head("a: a\r\n")]
#[tokio::test]
async fn bytes_without_an_end_before_an_answer_end_the_exchange(#[case] piece: &'static str) {
    let (address, ended) = start_endless(piece);
    let client = Client::new("test", Options::default());
    let answer = client.exchange(address, get(), PATIENT).await;
    let error = answer.expect_err("there is no answer").to_string();
    assert!(!error.contains("no answer within"), "{error}");
    let taken = ended.recv_timeout(TIMEOUT).expect("the connection ends");
    assert!(taken < MAX_TAKEN, "{taken}");
}

// Guards against sound answers that are taken for bytes without an end, also where a read brings the
// head and as much of the body as the buffer of a used connection holds.
#[tokio::test]
async fn large_answers_on_one_connection_are_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
        let mut line = String::new();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n");
        let answer = [head.as_bytes(), &vec![b'a'; LARGE]].concat();
        while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
            if line == "\r\n" {
                stream.write_all(&answer).expect("the client reads");
            }
            line.clear();
        }
    });
    let client = Client::new("test", Options::default());
    for _ in 0..10 {
        let answer = client.exchange(address, get(), PATIENT).await;
        let answer = answer.expect("the answer is whole");
        assert_eq!(answer.body().len(), LARGE);
    }
}
