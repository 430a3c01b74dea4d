//! Tests of the time limits and sizes of callers' connections.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::config::Limits;
use jackdaw_core::units::{Bytes, Millis};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

use super::support::{Node, Script, exchange};

/// Longest wait for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

const STREAM: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nPAUSE11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\nKEEP";
const WHOLE: Script =
    "PAUSEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";
const AT_ONCE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nokKEEP";

const LARGE_WHOLE: Script =
    "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 12582912\r\n\r\nFILL";

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

/// Limits that are larger than any test needs.
const WIDE: Limits = Limits {
    header: Bytes(16 << 10),
    body: Bytes(1 << 20),
    header_timeout: Millis(60_000),
    idle_timeout: Millis(60_000),
};
/// Limits whose times are shorter than the answers.
const BRIEF: Limits = Limits {
    header_timeout: Millis(1_000),
    idle_timeout: Millis(1_000),
    ..WIDE
};
/// Longest time by which a connection is closed after its limit.
const LATENESS: Duration = Duration::from_millis(2_500);

const UNROUTED: &str = "GET /none/x HTTP/1.1\r\nhost: host\r\n\r\n";

/// Starts a node with limits.
fn start(scripts: &[Script], limits: &Limits) -> Node {
    let node = Node::start_before(8, scripts);
    node.limit(limits);
    node
}

/// Sends bytes that the node reads.
fn write(caller: &mut BufReader<TcpStream>, bytes: &str) {
    let sent = caller.get_mut().write_all(bytes.as_bytes());
    sent.expect("the node reads");
}

/// Sends a request that no route matches, and reads the answer.
///
/// # Panics
///
/// Panics if it is not answered, or the answer says that the connection will be closed.
fn use_connection(caller: &mut BufReader<TcpStream>) {
    write(caller, UNROUTED);
    let head = read_refusal(caller).expect("the request is answered");
    assert!(head.starts_with("HTTP/1.1 404"), "{head}");
    assert!(!head.contains("connection: close"), "{head}");
}

/// Reads one answer with a length; returns its head, or none if the connection ends.
fn read_refusal(caller: &mut BufReader<TcpStream>) -> Option<String> {
    let (head, _) = super::support::read_message(caller)?;
    Some(head)
}

/// Reads until the node closes the connection; returns the bytes and the time that it took.
fn read_rest(caller: &mut BufReader<TcpStream>) -> (String, Duration) {
    let start = Instant::now();
    let mut bytes = Vec::new();
    let read = caller.read_to_end(&mut bytes);
    read.expect("the node closes the connection");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, start.elapsed())
}

/// Checks that a limit of [`BRIEF`] was met.
fn assert_brief(taken: Duration) {
    let limit = BRIEF.idle_timeout.duration();
    assert!(taken > limit * 9 / 10, "ended after {taken:?}");
    assert!(taken < limit + LATENESS, "ended after {taken:?}");
}

// Guards against callers that open connections ahead and get a 408 instead of an answer.
#[rstest]
#[case::without_limits(None)]
#[case::with_limits(Some(WIDE))]
#[case::with_a_brief_head(Some(Limits { header_timeout: Millis(500), ..WIDE }))]
fn new_connection_without_a_request_is_idle(#[case] limits: Option<Limits>) {
    let node = match limits {
        Some(limits) => start(&[], &limits),
        None => Node::start(&[]),
    };
    let mut caller = connect(node.address);
    pause(3_500);
    use_connection(&mut caller);
    node.stop();
}

// Guards against idle connections that are never closed, are closed early, or end with an answer to
// no request.
#[rstest]
#[case::new(false)]
#[case::used(true)]
fn idle_connection_is_closed_after_its_time(#[case] is_used: bool) {
    let node = start(&[], &BRIEF);
    let mut caller = connect(node.address);
    if is_used {
        use_connection(&mut caller);
        pause(700);
        use_connection(&mut caller);
    }
    let (rest, taken) = read_rest(&mut caller);
    assert_eq!(rest, "");
    assert_brief(taken);
    node.stop();
}

// Guards against a connection that is closed at its idle time although a request has arrived.
#[rstest]
#[case::new(false)]
#[case::used(true)]
fn request_that_crosses_the_idle_time_is_answered(#[case] is_used: bool) {
    let node = start(&[], &BRIEF);
    let mut callers: Vec<_> = (0..20).map(|_| connect(node.address)).collect();
    if is_used {
        callers.iter_mut().for_each(use_connection);
    }
    let address = node.address;
    let stalling = "GET /none/x HTTP/1.1\r\nhost: host\r\nstall: 1\r\nconnection: close\r\n\r\n";
    let stalled = thread::spawn(move || exchange(address, stalling));
    node.stall.wait_stalled();
    pause(1_300);
    for caller in &mut callers {
        write(caller, UNROUTED);
    }
    node.stall.resume();
    for (number, caller) in callers.iter_mut().enumerate() {
        let head = read_refusal(caller);
        let is_answered = head.is_some_and(|head| head.starts_with("HTTP/1.1 404"));
        assert!(is_answered, "request {number} is not answered");
    }
    stalled.join().expect("the request is answered");
    node.stop();
}

// Guards against callers that hold connections with heads that never end, and against heads that are
// refused early.
#[rstest]
#[case::first(false)]
#[case::later(true)]
fn head_that_trickles_is_refused_after_its_time(#[case] is_used: bool) {
    let limits = Limits {
        header_timeout: BRIEF.header_timeout,
        ..WIDE
    };
    let node = start(&[], &limits);
    let mut caller = connect(node.address);
    if is_used {
        use_connection(&mut caller);
    }
    for part in ["GET /none/x HTTP/1.1\r\n", "host: ", "host\r\n\r\n"] {
        write(&mut caller, part);
        pause(250);
    }
    let head = read_refusal(&mut caller).expect("the request is answered");
    assert!(head.starts_with("HTTP/1.1 404"), "{head}");
    let start = Instant::now();
    write(&mut caller, "GET /none/x HTTP/1.1\r\nhost: host\r\n");
    let mut trickle = caller.get_ref().try_clone().expect("a descriptor is free");
    thread::spawn(move || {
        while trickle.write_all(b"a: b\r\n").is_ok() && start.elapsed() < READ_TIMEOUT {
            pause(100);
        }
    });
    let mut status = String::new();
    let read = caller.read_line(&mut status);
    read.expect("the head is refused");
    assert!(status.starts_with("HTTP/1.1 408"), "{status}");
    assert_brief(start.elapsed());
    node.stop();
}

/// Returns a request whose head has a length in bytes.
fn request_with_head(len: usize) -> String {
    let start = "GET /none/x HTTP/1.1\r\nhost: host\r\nconnection: close\r\nfilling: ";
    let end = "\r\n\r\n";
    format!("{start}{}{end}", "x".repeat(len - start.len() - end.len()))
}

/// Returns a request with a body of a length in bytes.
fn request_with_body(len: usize) -> String {
    let body = "x".repeat(len);
    format!(
        "POST /none/x HTTP/1.1\r\nhost: host\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

// Guards against sizes that differ from the configuration, and against a restart that it needs.
#[rstest]
#[case::head_fits(request_with_head(2_048), "HTTP/1.1 404")]
#[case::head_is_larger(request_with_head(2_049), "HTTP/1.1 431")]
#[case::body_fits(request_with_body(1_024), "HTTP/1.1 404")]
#[case::body_is_larger(request_with_body(1_025), "HTTP/1.1 413")]
fn size_of_a_request_is_limited(#[case] request: String, #[case] expected: &str) {
    let node = Node::start(&[]);
    let before = exchange(node.address, &request);
    assert!(before.starts_with("HTTP/1.1 404"), "{before}");
    node.limit(&Limits {
        header: Bytes(2_048),
        body: Bytes(1_024),
        ..WIDE
    });
    let answer = exchange(node.address, &request);
    assert!(answer.starts_with(expected), "{answer}");
    node.stop();
}

// Guards against requests without an answer, or that wait for ever, because of a slow body.
#[rstest]
#[case::stops(false)]
#[case::trickles(true)]
fn body_that_is_late_is_answered_at_the_deadline(#[case] trickles: bool) {
    let node = start(&[], &BRIEF);
    let mut caller = connect(node.address);
    let start = Instant::now();
    write(
        &mut caller,
        "POST /slow/x HTTP/1.1\r\nhost: host\r\ndeadline: 2000\r\ncontent-length: 1000\r\n\r\nx",
    );
    let mut trickle = caller.get_ref().try_clone().expect("a descriptor is free");
    thread::spawn(move || {
        while trickles && trickle.write_all(b"x").is_ok() && start.elapsed() < READ_TIMEOUT {
            pause(50);
        }
    });
    let mut status = String::new();
    let read = caller.read_line(&mut status);
    read.expect("the request is answered");
    let taken = start.elapsed();
    assert!(status.starts_with("HTTP/1.1 503"), "{status}");
    assert!(
        taken >= Duration::from_secs(2) && taken < Duration::from_secs(4),
        "{taken:?}"
    );
    assert_eq!(node.arrived().len(), 0);
    node.stop();
}

// Guards against limits for idle connections and heads that run while a request is in flight.
#[rstest]
#[case::stream(RowCase { slow: Slow::Stream, path: "/longest/x", script: STREAM })]
#[case::whole(RowCase { slow: Slow::Whole, path: "/slow/x", script: WHOLE })]
#[case::body(RowCase { slow: Slow::Body, path: "/slow/x", script: AT_ONCE })]
fn request_that_is_longer_than_the_limits_is_answered(#[case] case: RowCase) {
    let node = start(&[case.script; 3], &BRIEF);
    let row = Row {
        count: 3,
        request: 3_500,
        pauses: [0, 700],
    };
    assert_eq!(run(node.address, &case, row), Ok(()), "{:?}", case.slow);
    node.stop();
}

/// Connects with a small receive buffer.
fn connect_narrow(address: SocketAddr) -> BufReader<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a descriptor is free");
    let sized = socket.set_recv_buffer_size(4_096);
    sized.expect("the option is known");
    socket.connect(&address.into()).expect("the node listens");
    let stream: TcpStream = socket.into();
    let set = stream.set_read_timeout(Some(READ_TIMEOUT));
    set.expect("the time-out is valid");
    BufReader::new(stream)
}

// Guards against a connection that counts as idle while its caller still reads a large answer.
#[rstest]
fn connection_is_kept_while_an_answer_is_read_slowly() {
    const LARGE: usize = 12 << 20;
    const SLOW: usize = 6 << 20;
    let node = start(&[LARGE_WHOLE], &BRIEF);
    node.servers.fill("x".repeat(LARGE));
    let mut caller = connect_narrow(node.address);
    write(
        &mut caller,
        "POST /slow/x HTTP/1.1\r\nhost: host\r\nid: r1\r\ndeadline: 14000\r\ncontent-length: 0\r\n\r\n",
    );
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let read = caller.read_line(&mut head);
        assert!(read.is_ok_and(|len| len > 0), "no head: {head}");
    }
    let mut part = vec![0; 256 << 10];
    for read in (0..LARGE).step_by(part.len()) {
        caller.read_exact(&mut part).expect("the answer is whole");
        pause(if read < SLOW { 100 } else { 0 });
    }
    use_connection(&mut caller);
    node.stop();
}

// Guards against a change of the limits that open connections do not follow.
#[rstest]
#[case::new(false)]
#[case::used(true)]
fn open_connection_follows_the_limits(#[case] is_used: bool) {
    let node = Node::start(&[]);
    let mut caller = connect(node.address);
    if is_used {
        use_connection(&mut caller);
    }
    pause(200);
    node.limit(&BRIEF);
    let (rest, taken) = read_rest(&mut caller);
    assert_eq!(rest, "");
    assert!(
        taken < BRIEF.idle_timeout.duration() + LATENESS,
        "ended after {taken:?}"
    );
    node.stop();
}
