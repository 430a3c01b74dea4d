//! Tests of what a new configuration changes under requests and on connections that are open already.

use std::io::{BufRead as _, BufReader, ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_gateway::options::Options;
use rstest::rstest;

use super::lines::Lines;
use super::support::{Node, Script, TIMEOUT, options, read_message};

const ONE_GATE_TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\nKEEP";
const ONE_GATE_BREAK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE";
const TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\nKEEP";
const GATE_DONE: Script =
    "GATEHTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
const DONE: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
const NO_ANSWER: Script = "";

/// Limits of a configuration that are larger than any test needs.
const WIDE: &str = "16384 1048576 60000 60000";

/// A node and the lines that it logs.
struct Subject {
    node: Node,
    log: Lines,
}

impl Subject {
    fn start(servers: usize, scripts: &[Script], options: Options) -> Subject {
        let log = Lines::default();
        let node = Node::start_with(servers, scripts, options, log.logger());
        Subject { node, log }
    }

    /// Puts a version of the configuration in force.
    fn configure(&self, version: u64, words: &str) {
        let configuration = format!("{version} {words}");
        self.node.store.put("configuration", &configuration);
        self.log.wait_for(|line| {
            line.message == "configuration in force" && line.number("version") == Some(version)
        });
    }

    fn connect(&self) -> BufReader<TcpStream> {
        connect(self.node.address)
    }
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the node listens");
    let set = stream.set_read_timeout(Some(TIMEOUT));
    set.expect("the time-out is valid");
    stream.set_nodelay(true).expect("the option is known");
    BufReader::new(stream)
}

fn write(caller: &mut BufReader<TcpStream>, bytes: &str) {
    let sent = caller.get_mut().write_all(bytes.as_bytes());
    sent.expect("the node reads");
}

/// Returns a request with a key and a body.
fn request(id: &str, path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: old\r\ndeadline: 9000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one answer to its end; returns its first line, or what ended it.
fn read_answer(caller: &mut BufReader<TcpStream>) -> Result<String, String> {
    let mut text = Vec::new();
    loop {
        match caller.read_until(b'\n', &mut text) {
            Ok(0) => return Err(format!("closed after {}", String::from_utf8_lossy(&text))),
            Ok(_) if text.ends_with(b"\r\n\r\n") => break,
            Ok(_) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    let status = head.lines().next().unwrap_or_default().to_owned();
    let length = head.lines().find_map(|line| {
        let length = line.to_lowercase();
        length.strip_prefix("content-length: ")?.parse().ok()
    });
    let mut body: Vec<u8> = vec![0; length.unwrap_or(0)];
    let read = match length {
        Some(_) => caller.read_exact(&mut body).map(|()| body.len()),
        None => read_chunks(caller, &mut body),
    };
    match read {
        Ok(_) => Ok(status),
        Err(error) => Err(format!("{status}: {error} after {} bytes", body.len())),
    }
}

/// Reads chunks up to and with the last one.
fn read_chunks(caller: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> std::io::Result<usize> {
    while !body.ends_with(b"\r\n0\r\n\r\n") {
        if caller.read_until(b'\n', body)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(body.len())
}

/// A configuration that comes into force under a request.
#[derive(Debug)]
struct ChangeCase {
    before: &'static str,
    after: &'static str,
    /// Status of a request whose body is still being read.
    unread: &'static str,
    /// Status of the next request on the connection.
    next: &'static str,
}

/// What is under way when a configuration comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Body,
    Answer,
    Stream,
    /// A stream whose server breaks off after the change.
    Resumption,
}

// Guards against a configuration that ends a request under way, or closes its connection.
#[rstest]
#[case::time_out_is_lowered(ChangeCase { before: WIDE, after: "16384 1048576 60000 60000 timeout:0", unread: "503", next: "503" })]
#[case::limits_are_lowered(ChangeCase { before: WIDE, after: "1024 8 300 300", unread: "200", next: "200" })]
#[case::limits_end(ChangeCase { before: "16384 1048576 300 300", after: "", unread: "200", next: "200" })]
#[case::key_is_removed(ChangeCase { before: "key:old", after: "key:new", unread: "401", next: "401" })]
#[case::keys_begin(ChangeCase { before: "", after: "key:new", unread: "401", next: "401" })]
#[case::routes_are_removed(ChangeCase { before: "", after: "without:slow without:stream", unread: "404", next: "404" })]
#[case::service_is_removed(ChangeCase { before: "", after: "without-service", unread: "503", next: "503" })]
fn request_under_way_is_answered(
    #[case] case: ChangeCase,
    #[values(Stage::Body, Stage::Answer, Stage::Stream, Stage::Resumption)] stage: Stage,
) {
    let (path, scripts): (_, &[Script]) = match stage {
        Stage::Body => ("/slow/x", &[DONE, DONE]),
        Stage::Answer => ("/slow/x", &[GATE_DONE, DONE]),
        Stage::Stream => ("/stream/x", &[ONE_GATE_TWO, TWO]),
        Stage::Resumption => ("/stream/x", &[ONE_GATE_BREAK, TWO, TWO]),
    };
    let subject = Subject::start(2, scripts, options("node"));
    subject.configure(2, case.before);
    let mut caller = subject.connect();
    let request = request("r1", path, "hello");
    let (start, rest) = request.split_at(request.len() - 2);
    write(&mut caller, start);
    if stage == Stage::Body {
        // Read before what follows, since the node serves connections in turn.
        subject.node.call("GET", "/none/x");
    } else {
        write(&mut caller, rest);
        subject.node.servers.wait_arrived(1);
        if matches!(stage, Stage::Stream | Stage::Resumption) {
            wait_first_event(&mut caller);
        }
    }
    subject.configure(3, case.after);
    let expected = if stage == Stage::Body {
        write(&mut caller, rest);
        case.unread
    } else {
        // Longer than the lowered limits.
        thread::sleep(Duration::from_millis(600));
        subject.node.servers.release();
        "200"
    };
    let result = match stage {
        Stage::Stream | Stage::Resumption => {
            let mut events = Vec::new();
            let read = read_chunks(&mut caller, &mut events);
            let has_two = String::from_utf8_lossy(&events).contains("data: two");
            read.map(|_| format!("HTTP/1.1 200 {has_two}"))
                .map_err(|error| error.to_string())
        }
        Stage::Body | Stage::Answer => read_answer(&mut caller),
    };
    let status = result.unwrap_or_else(|error| format!("{stage:?}, {case:?}: {error}"));
    assert!(
        status.starts_with(&format!("HTTP/1.1 {expected}")),
        "{status}"
    );
    assert!(!status.ends_with("false"), "the stream lacks an event");
    write(&mut caller, &self::request("r2", path, "hello"));
    let next = read_answer(&mut caller);
    let next = next.unwrap_or_else(|error| format!("{stage:?}, {case:?}: {error}"));
    assert!(
        next.starts_with(&format!("HTTP/1.1 {}", case.next)),
        "{next}"
    );
    subject.node.stop();
}

/// Reads the head of a stream and its first event.
fn wait_first_event(caller: &mut BufReader<TcpStream>) {
    let mut text = Vec::new();
    while !text.ends_with(b"data: one\n\n") {
        let read = caller.read_until(b'\n', &mut text);
        let length = read.expect("the stream begins");
        assert!(length > 0, "{}", String::from_utf8_lossy(&text));
    }
}

/// Sizes of requests, under limits that change.
#[derive(Debug)]
struct SizeCase {
    before: &'static str,
    after: &'static str,
    len: usize,
    status: &'static str,
}

/// Returns a request whose head has a length in bytes.
fn request_with_head(len: usize) -> String {
    let start = "GET /none/x HTTP/1.1\r\nhost: host\r\nfilling: ";
    let end = "\r\n\r\n";
    format!("{start}{}{end}", "x".repeat(len - start.len() - end.len()))
}

// Guards against kept connections on which the limit of their first configuration holds for ever, so
// that a head which the configuration allows is refused, or one that it forbids is taken.
#[rstest]
#[case::raised_and_met(SizeCase { before: "1024 1024 60000 60000", after: "8192 1024 60000 60000", len: 8_192, status: "404" })]
#[case::raised_and_exceeded(SizeCase { before: "1024 1024 60000 60000", after: "8192 1024 60000 60000", len: 8_193, status: "431" })]
#[case::lowered_and_met(SizeCase { before: "8192 1024 60000 60000", after: "1024 1024 60000 60000", len: 1_024, status: "404" })]
#[case::lowered_and_exceeded(SizeCase { before: "8192 1024 60000 60000", after: "1024 1024 60000 60000", len: 1_025, status: "431" })]
#[case::ended(SizeCase { before: "1024 1024 60000 60000", after: "", len: 16_384, status: "404" })]
fn head_on_a_kept_connection_is_held_to_the_limit_in_force(#[case] case: SizeCase) {
    let subject = Subject::start(1, &[], options("node"));
    subject.configure(2, case.before);
    let mut caller = subject.connect();
    write(&mut caller, &request_with_head(512));
    let first = read_answer(&mut caller).expect("the request is answered");
    assert!(first.starts_with("HTTP/1.1 404"), "{first}");
    subject.configure(3, case.after);
    write(&mut caller, &request_with_head(case.len));
    let status = read_answer(&mut caller).unwrap_or_else(|error| format!("{case:?}: {error}"));
    assert!(
        status.starts_with(&format!("HTTP/1.1 {}", case.status)),
        "{case:?}: {status}"
    );
    subject.node.stop();
}

// Guards against a body that is refused for good by a limit which was raised, or lowered, while it
// was on its way.
#[rstest]
#[case::raised(SizeCase { before: "1024 1024 60000 60000", after: "1024 8192 60000 60000", len: 8_192, status: "200" })]
#[case::raised_and_exceeded(SizeCase { before: "1024 1024 60000 60000", after: "1024 8192 60000 60000", len: 8_193, status: "413" })]
#[case::lowered(SizeCase { before: "1024 8192 60000 60000", after: "1024 1024 60000 60000", len: 8_192, status: "200" })]
fn body_under_way_is_held_to_the_largest_limit(#[case] case: SizeCase) {
    let subject = Subject::start(1, &[DONE], options("node"));
    subject.configure(2, case.before);
    let mut caller = subject.connect();
    let request = request("r1", "/slow/x", &"x".repeat(case.len));
    let (start, rest) = request.split_at(request.len() - case.len + 512);
    write(&mut caller, start);
    // Begins before the body goes on, since the node serves connections in turn.
    subject.node.call("GET", "/none/x");
    subject.configure(3, case.after);
    write(&mut caller, rest);
    let status = read_answer(&mut caller).unwrap_or_else(|error| format!("{case:?}: {error}"));
    assert!(
        status.starts_with(&format!("HTTP/1.1 {}", case.status)),
        "{case:?}: {status}"
    );
    subject.node.stop();
}

/// Requests of a service, and configurations between them.
#[derive(Debug)]
enum Event {
    /// A request that is answered.
    Answered,
    /// A request whose first server fails; holds whether it is sent again.
    Failed(bool),
    /// A new version of the configuration.
    Version(&'static str),
}

// Guards against retry budgets that a configuration fills or empties.
#[rstest]
#[case::earned_retries_are_kept(&[Event::Answered, Event::Answered, Event::Version(WIDE), Event::Failed(true)])]
#[case::spent_retries_stay_spent(&[Event::Answered, Event::Answered, Event::Failed(true), Event::Version("timeout:4000"), Event::Failed(false)])]
#[case::parts_of_retries_are_kept(&[Event::Answered, Event::Version("key:old"), Event::Failed(true), Event::Version(""), Event::Failed(false)])]
fn retry_budget_outlasts_configurations(#[case] events: &[Event]) {
    let mut scripts = Vec::new();
    for event in events {
        match event {
            Event::Answered => scripts.push(DONE),
            Event::Failed(true) => scripts.extend([NO_ANSWER, DONE]),
            Event::Failed(false) => scripts.push(NO_ANSWER),
            Event::Version(_) => {}
        }
    }
    // The largest budget is one retry, which two requests earn.
    let options = Options {
        retries: 6,
        retry_ratio: 0.5,
        ..options("node")
    };
    let subject = Subject::start(8, &scripts, options);
    let mut version = 2;
    for (number, event) in events.iter().enumerate() {
        let expected = match event {
            Event::Answered | Event::Failed(true) => "HTTP/1.1 200",
            Event::Failed(false) => "HTTP/1.1 502",
            Event::Version(words) => {
                subject.configure(version, words);
                version += 1;
                continue;
            }
        };
        let mut caller = subject.connect();
        write(&mut caller, &request("r1", "/steady/x", ""));
        let status = read_answer(&mut caller).expect("the request is answered");
        assert!(status.starts_with(expected), "event {number}: {status}");
    }
    subject.node.stop();
}

/// How a request ended on a connection that its node may close.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// The answer is whole and has this status line.
    Answered(String),
    /// The node closed the connection without having read the request.
    Unread,
    /// The node read the request and closed the connection.
    ReadAndClosed,
}

/// Sends a request on a kept connection and returns how it ends.
fn cross(caller: &mut BufReader<TcpStream>, request: &str) -> End {
    if caller.get_mut().write_all(request.as_bytes()).is_err() {
        return End::Unread;
    }
    let mut byte = [0; 1];
    match caller.get_ref().peek(&mut byte) {
        Ok(1..) => read_answer(caller).map_or(End::ReadAndClosed, End::Answered),
        // A connection that is closed with unread bytes, or that gets bytes later, is reset.
        Ok(0) if is_reset(caller.get_ref()) => End::Unread,
        Ok(0) => End::ReadAndClosed,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => End::Unread,
        Err(error) => panic!("the request neither is answered nor ends: {error}"),
    }
}

/// Waits for the reset of a connection that its peer has closed, and returns whether it comes.
fn is_reset(stream: &TcpStream) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        if stream.take_error().is_ok_and(|error| error.is_some()) {
            return true;
        }
        thread::yield_now();
    }
    false
}

const UNROUTED: &str = "GET /none/x HTTP/1.1\r\nhost: host\r\n\r\n";

// Guards against a check of ends that takes a request that was read for one that was not.
#[rstest]
#[case::unread(false, End::Unread)]
#[case::read(true, End::ReadAndClosed)]
fn end_tells_whether_a_request_was_read(#[case] reads: bool, #[case] expected: End) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    let peer = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the caller connects");
        let mut reader = BufReader::new(stream);
        // Waits for the request in either case.
        let waited = reader.get_ref().peek(&mut [0; 1]);
        waited.expect("the caller sends a request");
        if reads {
            read_message(&mut reader).expect("the request is whole");
        }
    });
    let stream = TcpStream::connect(address).expect("the peer listens");
    assert_eq!(cross(&mut BufReader::new(stream), UNROUTED), expected);
    peer.join().expect("the peer does not panic");
}

// Guards against a request that is read and not answered because it arrives while its connection is
// closed for a limit that was lowered.
#[test]
fn request_that_crosses_a_lowered_idle_limit_is_answered_or_not_read() {
    const CALLERS: usize = 16;
    const ROUNDS: u64 = 12;
    let subject = Subject::start(1, &[], options("node"));
    let mut ends = Vec::new();
    for round in 0..ROUNDS {
        let version = 2 + 2 * round;
        subject.configure(version, WIDE);
        let mut callers: Vec<_> = (0..CALLERS).map(|_| subject.connect()).collect();
        for caller in &mut callers {
            assert!(matches!(cross(caller, UNROUTED), End::Answered(_)));
        }
        // All connections are idle for longer than the next limit.
        thread::sleep(Duration::from_millis(40));
        thread::scope(|scope| {
            let threads: Vec<_> = callers
                .iter_mut()
                .enumerate()
                .map(|(number, caller)| {
                    let delay = Duration::from_micros(100 * number as u64);
                    scope.spawn(move || {
                        thread::sleep(delay);
                        cross(caller, UNROUTED)
                    })
                })
                .collect();
            subject.node.store.put(
                "configuration",
                &format!("{} 16384 1048576 60000 20", version + 1),
            );
            let joined = threads.into_iter().map(|thread| thread.join());
            ends.extend(joined.map(|end| end.expect("no caller panics")));
        });
    }
    let read_and_closed = ends
        .iter()
        .filter(|end| **end == End::ReadAndClosed)
        .count();
    assert_eq!(read_and_closed, 0, "of {} requests", ends.len());
    subject.node.stop();
}

// Guards against a head under way that ends without an answer when its time is shortened.
#[rstest]
#[case::first(false)]
#[case::later(true)]
fn head_under_way_is_refused_after_a_shortened_time(#[case] is_used: bool) {
    let subject = Subject::start(1, &[], options("node"));
    subject.configure(2, WIDE);
    let mut caller = subject.connect();
    if is_used {
        write(&mut caller, &request_with_head(512));
        let first = read_answer(&mut caller).expect("the request is answered");
        assert!(first.starts_with("HTTP/1.1 404"), "{first}");
    }
    write(&mut caller, "GET /none/x HTTP/1.1\r\nhost: host\r\n");
    subject.node.call("GET", "/none/x");
    subject.configure(3, "16384 1048576 500 60000");
    let status = read_answer(&mut caller).expect("the head is refused");
    assert!(status.starts_with("HTTP/1.1 408"), "{status}");
    subject.node.stop();
}

/// Sends requests with pauses on kept connections, and opens a new one where the node has closed one
/// without reading the request.
///
/// # Panics
///
/// Panics if a request ends in another way.
fn call_in_a_row(address: SocketAddr, caller: usize, requests: usize) {
    let mut connection = connect(address);
    for number in 0..requests {
        let request = request(&format!("r{caller}-{number}"), "/steady/x", "hello");
        loop {
            match cross(&mut connection, &request) {
                End::Answered(status) => {
                    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
                    break;
                }
                End::Unread => connection = connect(address),
                End::ReadAndClosed => panic!("request {number} of caller {caller} has no answer"),
            }
        }
        let pause = (caller * 7 + number * 13) % 45;
        thread::sleep(Duration::from_millis(pause as u64));
    }
}

// Guards against requests on kept connections that end without an answer while limits, time-outs and
// keys change one version after the other.
#[test]
fn requests_on_kept_connections_are_answered_beside_a_series_of_versions() {
    const CALLERS: usize = 40;
    const REQUESTS: usize = 40;
    const VERSIONS: [&str; 4] = [
        "16384 1048576 60000 25 timeout:4000",
        "8192 65536 500 60000 key:old",
        "16384 1048576 60000 40 key:old timeout:3000",
        "",
    ];
    let subject = Subject::start(8, &[DONE; 2 * CALLERS * REQUESTS], options("node"));
    let address = subject.node.address;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || call_in_a_row(address, caller, REQUESTS)))
            .collect();
        let mut versions = (2..).zip(VERSIONS.into_iter().cycle());
        while callers.iter().any(|caller| !caller.is_finished()) {
            let (version, words) = versions.next().expect("there is always a next version");
            subject.configure(version, words);
            thread::sleep(Duration::from_millis(60));
        }
        for caller in callers {
            caller.join().expect("each request is answered or not read");
        }
    });
    subject.node.stop();
}
