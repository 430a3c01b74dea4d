//! Tests of the time limits and sizes of callers' connections.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;

use super::support::{Node, Script};

/// Longest wait for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

const STREAM: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nPAUSE11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\nKEEP";
const WHOLE: Script =
    "PAUSEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";
const AT_ONCE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";

/// Requests in a row on one connection, with the durations in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Row {
    count: usize,
    /// Duration of each request.
    request: u64,
    /// Pauses after the requests, in turn.
    pauses: [u64; 2],
}

/// Rows that are sent at the same time.
const ROWS: [Row; 8] = [
    Row {
        count: 10,
        request: 500,
        pauses: [0, 100],
    },
    Row {
        count: 10,
        request: 1_500,
        pauses: [0, 100],
    },
    Row {
        count: 6,
        request: 3_000,
        pauses: [0, 100],
    },
    Row {
        count: 2,
        request: 8_000,
        pauses: [0, 100],
    },
    Row {
        count: 7,
        request: 500,
        pauses: [2_000, 2_000],
    },
    Row {
        count: 5,
        request: 1_500,
        pauses: [2_000, 2_000],
    },
    Row {
        count: 4,
        request: 3_000,
        pauses: [2_000, 2_000],
    },
    Row {
        count: 2,
        request: 8_000,
        pauses: [2_000, 2_000],
    },
];

/// What lasts in a request.
#[derive(Clone, Copy, Debug)]
enum Slow {
    /// The answer, a stream.
    Stream,
    /// The time until a whole answer.
    Whole,
    /// The caller's body.
    Body,
}

/// Requests of one kind.
#[derive(Debug)]
struct RowCase {
    slow: Slow,
    path: &'static str,
    script: Script,
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the node listens");
    let set = stream.set_read_timeout(Some(READ_TIMEOUT));
    set.expect("the time-out is valid");
    stream.set_nodelay(true).expect("the option is known");
    BufReader::new(stream)
}

/// Waits for a number of milliseconds.
fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Sends a request with a body of ten bytes, the last of them late if the body is slow.
fn send(stream: &mut TcpStream, case: &RowCase, row: Row) -> std::io::Result<()> {
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: host\r\nid: r1\r\ndeadline: 14000\r\npause: {}\r\ncontent-length: 10\r\n\r\n",
        case.path, row.request
    );
    stream.write_all(head.as_bytes())?;
    for _ in 0..10 {
        if matches!(case.slow, Slow::Body) {
            pause(row.request / 10);
        }
        stream.write_all(b"x")?;
    }
    Ok(())
}

/// Reads an answer to its end; returns its first line, or what ended it.
fn read_answer(reader: &mut BufReader<TcpStream>, slow: Slow) -> Result<String, String> {
    let end = if matches!(slow, Slow::Stream) {
        "0\r\n\r\n"
    } else {
        "\r\n\r\nok"
    };
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        let last = *end.as_bytes().last().expect("ends are not empty");
        match reader.read_until(last, &mut text) {
            Ok(0) => return Err(format!("closed after {} bytes", text.len())),
            Ok(_) => {}
            Err(error) => return Err(format!("{error} after {} bytes", text.len())),
        }
    }
    let text = String::from_utf8_lossy(&text);
    let status = text.lines().next().unwrap_or_default().to_owned();
    if text.contains("connection: close") {
        return Err(format!("{status} says that the connection will be closed"));
    }
    Ok(status)
}

/// Sends the requests of a row on one connection; returns what failed first.
fn run(address: SocketAddr, case: &RowCase, row: Row) -> Result<(), String> {
    let mut reader = connect(address);
    for number in 0..row.count {
        let failed = |error: String| format!("{row:?}, request {}: {error}", number + 1);
        send(reader.get_mut(), case, row).map_err(|error| failed(error.to_string()))?;
        let status = read_answer(&mut reader, case.slow).map_err(failed)?;
        if status != "HTTP/1.1 200 OK" {
            return Err(failed(status));
        }
        pause(row.pauses[number % 2]);
    }
    Ok(())
}

// Guards against a connection that is closed after an answer because the answer, or the request,
// took long.
#[rstest]
#[case::stream(RowCase { slow: Slow::Stream, path: "/longest/x", script: STREAM })]
#[case::whole(RowCase { slow: Slow::Whole, path: "/slow/x", script: WHOLE })]
#[case::body(RowCase { slow: Slow::Body, path: "/slow/x", script: AT_ONCE })]
fn connection_is_kept_for_requests_in_a_row(#[case] case: RowCase) {
    let node = Node::start_before(8, &[case.script; 64]);
    let address = node.address;
    let failures: Vec<String> = thread::scope(|scope| {
        let case = &case;
        let callers = ROWS.map(|row| scope.spawn(move || run(address, case, row)));
        let results = callers.map(|caller| caller.join().expect("no caller panics"));
        results.into_iter().filter_map(Result::err).collect()
    });
    assert!(failures.is_empty(), "{:?}: {failures:#?}", case.slow);
    node.stop();
}
