//! Tests of which answer an exchange gets from a peer that answers late, or more than once.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::protocol::Exchange as _;
use jackdaw_core::units::Millis;
use jackdaw_link::client::Client;
use jackdaw_link::pool::Options;
use rstest::rstest;

/// Longest wait for an event, after which a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);
const PATIENT: Millis = Millis(10_000);
const IMPATIENT: Millis = Millis(100);

/// What a peer does with the first request; it answers all later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conduct {
    /// It answers.
    Sound,
    /// It answers when the test says so.
    Late,
    /// It answers, and once more when the test says so.
    Extra,
}

/// A peer that names the connection and the path in its answers.
struct Peer {
    address: SocketAddr,
    release: Sender<()>,
    /// Numbers of connections that have ended.
    ended: Receiver<usize>,
}

impl Peer {
    fn start(conduct: Conduct) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let (release, released) = channel();
        let (end, ended) = channel();
        thread::spawn(move || {
            let mut first = Some((conduct, released));
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let first = first.take();
                let end = end.clone();
                thread::spawn(move || {
                    serve(stream, number, first);
                    // The test may have ended.
                    let _ = end.send(number);
                });
            }
        });
        Peer {
            address,
            release,
            ended,
        }
    }

    /// Lets the peer answer late, or once more.
    fn release(&self) {
        self.release.send(()).expect("the peer waits");
    }

    fn wait_ended(&self) -> usize {
        let ended = self.ended.recv_timeout(TIMEOUT);
        ended.expect("a connection ends")
    }
}

fn serve(mut stream: TcpStream, number: usize, mut first: Option<(Conduct, Receiver<()>)>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
    while let Some(path) = read_path(&mut reader) {
        let body = format!("{number} {path}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let (conduct, released) = match first.take() {
            Some((conduct, released)) => (conduct, Some(released)),
            None => (Conduct::Sound, None),
        };
        let wait = || released.as_ref().map(|released| released.recv());
        if conduct == Conduct::Late {
            wait();
        }
        // The client may have closed the connection.
        let _ = stream.write_all(answer.as_bytes());
        if conduct == Conduct::Extra {
            wait();
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

/// Reads a request without a body and returns its path; none at the end of the connection.
fn read_path(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut path = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return path;
        }
        path = path.or_else(|| line.split(' ').nth(1).map(str::to_owned));
    }
}

fn client() -> Client {
    Client::new("call", Options::default())
}

fn get(path: &str) -> Request<Bytes> {
    let request = Request::builder().uri(path).header("host", "peer");
    request.body(Bytes::new()).expect("the request is valid")
}

fn body(answer: Result<Response<Bytes>>) -> String {
    let answer = answer.expect("the peer answers");
    String::from_utf8_lossy(answer.body()).into_owned()
}

// Guards against a connection that is not kept, and against one that is kept after an exchange that asks
// for a connection of its own.
#[rstest]
#[case::kept(false, "0 /b")]
#[case::alone(true, "1 /b")]
#[tokio::test]
async fn connection_is_kept_unless_it_is_to_carry_one_exchange(
    #[case] is_alone: bool,
    #[case] expected: &str,
) {
    let peer = Peer::start(Conduct::Sound);
    let client = client();
    let first = match is_alone {
        true => {
            client
                .exchange_on_new_connection(peer.address, get("/a"), PATIENT)
                .await
        }
        false => client.exchange(peer.address, get("/a"), PATIENT).await,
    };
    assert_eq!(body(first), "0 /a");
    let second = client.exchange(peer.address, get("/b"), PATIENT).await;
    assert_eq!(body(second), expected);
}

// Guards against an exchange on a connection of its own that takes a kept one.
#[tokio::test]
async fn exchange_on_a_new_connection_takes_no_kept_one() {
    let peer = Peer::start(Conduct::Sound);
    let client = client();
    let kept = client.exchange(peer.address, get("/a"), PATIENT).await;
    assert_eq!(body(kept), "0 /a");
    let alone = client.exchange_on_new_connection(peer.address, get("/b"), PATIENT);
    assert_eq!(body(alone.await), "1 /b");
    let kept = client.exchange(peer.address, get("/c"), PATIENT).await;
    assert_eq!(body(kept), "0 /c");
}

// Guards against a late answer to an exchange that was given up, taken for the answer to the next one.
#[tokio::test]
async fn late_answer_to_an_abandoned_exchange_reaches_no_other() {
    let peer = Peer::start(Conduct::Late);
    let client = client();
    let abandoned = client.exchange(peer.address, get("/a"), IMPATIENT).await;
    let is_indeterminate = matches!(abandoned, Err(Error::Indeterminate { .. }));
    assert!(is_indeterminate, "{abandoned:?}");
    peer.release();
    let next = client.exchange(peer.address, get("/b"), PATIENT).await;
    assert_eq!(body(next), "1 /b");
    assert_eq!(peer.wait_ended(), 0);
}

// Guards against an extra answer on an idle connection, taken for the answer to the next exchange.
#[tokio::test]
async fn extra_answer_on_an_idle_connection_reaches_no_exchange() {
    let peer = Peer::start(Conduct::Extra);
    let client = client();
    let first = client.exchange(peer.address, get("/a"), PATIENT).await;
    assert_eq!(body(first), "0 /a");
    peer.release();
    // The connection's task runs while this one waits.
    let ended = tokio::task::spawn_blocking(move || {
        let ended = peer.wait_ended();
        (peer, ended)
    });
    let (peer, ended) = ended.await.expect("the wait ends");
    assert_eq!(ended, 0);
    let next = client.exchange(peer.address, get("/b"), PATIENT).await;
    assert_eq!(body(next), "1 /b");
}
