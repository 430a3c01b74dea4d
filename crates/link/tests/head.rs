//! Tests of peers that stop within the head of their answer.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use jackdaw_core::errors::Error;
use jackdaw_core::protocol::Exchange as _;
use jackdaw_core::units::Millis;
use jackdaw_link::client::Client;
use jackdaw_link::pool::Options;
use rstest::rstest;
use socket2::SockRef;

const TIMEOUT: Millis = Millis(10_000);
const SOUND: &str = "/sound";
const CUT: &str = "/cut";

/// What a peer does after the last bytes that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    HalfClose,
}

/// A peer that answers requests for [`SOUND`], and sends a part of a head for others.
struct Peer {
    address: SocketAddr,
    part: Arc<Mutex<String>>,
}

impl Peer {
    fn start(end: End) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let part = Arc::new(Mutex::new(String::new()));
        let sent = Arc::clone(&part);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sent = Arc::clone(&sent);
                thread::spawn(move || serve(stream, &sent, end));
            }
        });
        Peer { address, part }
    }

    fn set_part(&self, part: &str) {
        *self.part.lock().expect("no test panicked") = part.to_owned();
    }
}

fn serve(mut stream: TcpStream, part: &Mutex<String>, end: End) {
    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor is free"));
    while let Some(path) = read_path(&mut reader) {
        if path == SOUND {
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";
            stream.write_all(answer.as_bytes()).expect("it is read");
            continue;
        }
        let part = part.lock().expect("no test panicked").clone();
        stream.write_all(part.as_bytes()).expect("it is read");
        match end {
            End::Close => {}
            End::Reset => {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("the option is known");
            }
            End::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("it is open");
                // The client closes its side.
                let _ = stream.read(&mut [0]);
            }
        }
        return;
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

fn get(path: &str) -> Request<Bytes> {
    let request = Request::builder().uri(path).header("host", "peer");
    request.body(Bytes::new()).expect("the request is valid")
}

/// A whole head, of which the peer sends a part.
#[derive(Clone, Copy, Debug)]
struct Head {
    name: &'static str,
    bytes: &'static str,
}

// Guards against an order, a report or a call of the store whose answer stopped within its head and
// counts as an answer, or as proof that nothing was done.
#[rstest]
#[case(Head { name: "no body", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a length", bytes: "HTTP/1.1 202 Accepted\r\ncontent-length: 120\r\ncontent-type: application/json\r\n\r\n" })]
#[case(Head { name: "chunks", bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" })]
#[case(Head { name: "a body to the connection's end", bytes: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" })]
#[case(Head { name: "no content", bytes: "HTTP/1.1 204 No Content\r\n\r\n" })]
#[case(Head { name: "an older version", bytes: "HTTP/1.0 200 OK\r\ncontent-type: application/json\r\n\r\n" })]
#[case(Head { name: "lines without a carriage return", bytes: "HTTP/1.1 200 OK\ncontent-length: 0\n\n" })]
#[case(Head { name: "a head before the answer", bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "an absent key", bytes: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a failed condition", bytes: "HTTP/1.1 412 Changed\r\ncontent-length: 0\r\n\r\n" })]
#[case(Head { name: "a refusal", bytes: "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n" })]
#[tokio::test]
async fn answer_that_ends_within_its_head_is_indeterminate(
    #[case] head: Head,
    #[values(End::Close, End::Reset, End::HalfClose)] end: End,
) {
    let peer = Peer::start(end);
    for length in 0..head.bytes.len() {
        let part = &head.bytes[..length];
        peer.set_part(part);
        let client = Client::new("call", Options::default());
        let opened = client.exchange(peer.address, get(CUT), TIMEOUT).await;
        let sound = client.exchange(peer.address, get(SOUND), TIMEOUT).await;
        assert_eq!(sound.expect("the peer answers").body(), "sound");
        let kept = client.exchange(peer.address, get(CUT), TIMEOUT).await;
        let alone = client.exchange_on_new_connection(peer.address, get(CUT), TIMEOUT);
        for found in [opened, kept, alone.await] {
            let is_indeterminate = matches!(found, Err(Error::Indeterminate { .. }));
            assert!(is_indeterminate, "{}: {part:?}: {found:?}", head.name);
        }
    }
}
