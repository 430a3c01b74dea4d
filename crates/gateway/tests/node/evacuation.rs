//! Tests of nodes while availability zones are evacuated.

use std::collections::HashSet;
use std::io::{BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_gateway::server::Ports;
use rstest::rstest;
use slog::{Level, Logger, o};

use super::cluster::{Cluster, Member};
use super::lines::Lines;
use super::store::MemoryStore;
use super::support::{
    KEEP, Node, Process, Script, Servers, TIMEOUT, exchange, options, parts, request, server,
};

/// Key that evacuates the zone of all servers of these tests unless they say otherwise.
const KEY: &str = "configuration/evacuate/zone";
/// Time within which an evacuation, or its end, must be in force.
const APPLIED: Duration = Duration::from_secs(2);
/// Number of calls after which a server that got none is surely not chosen at random.
const MANY_CALLS: usize = 64;

const OK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-length: 4\r\n\r\ndoneKEEP";
const ONE_GATE_TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
const ONE_GATE_BREAK: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\nGATE";
const TWO: Script = "HTTP/1.1 200 OK\r\nid: ID\r\nsigned: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

/// Returns whether a request was rejected as one that has not run, with a time to retry.
fn is_rejected(answer: &str) -> bool {
    let head = answer.to_lowercase();
    let detail = "all servers that can take the request are in evacuated zones";
    head.starts_with("http/1.1 503")
        && head.contains("\r\nretry-after: ")
        && answer.contains(detail)
}

/// Calls until a condition holds for an answer.
///
/// # Panics
///
/// Panics if it does not in time.
fn wait_answer(call: impl Fn() -> String, holds: impl Fn(&str) -> bool, what: &str) {
    let start = Instant::now();
    loop {
        let answer = call();
        if holds(&answer) {
            return;
        }
        assert!(start.elapsed() <= APPLIED, "not {what}: {answer}");
        thread::yield_now();
    }
}

// Guards against requests that reach an evacuated zone or wait for it, and against a zone that is not used
// again after its evacuation.
#[test]
fn requests_are_rejected_while_the_zone_is_evacuated() {
    assert!(OK.ends_with(KEEP), "the script keeps the connection open");
    let lines = Lines::default();
    let node = Node::start_with(2, &[OK; 4_000], options("node"), lines.logger());
    let call = || node.call("GET", "/safe/x");
    assert!(is_served(&call()));
    for _ in 0..2 {
        node.store.put(KEY, "{}");
        wait_answer(call, is_rejected, "evacuated");
        let arrived = node.arrived().len();
        for path in ["/safe/x", "/once/x", "/stream/x"] {
            let answer = node.call("GET", path);
            assert!(is_rejected(&answer), "{path}: {answer}");
        }
        assert_eq!(node.arrived().len(), arrived, "requests reach the zone");
        node.store.delete(KEY);
        wait_answer(call, is_served, "served again");
    }
    for message in ["zone is evacuated", "zone is not evacuated any more"] {
        let logged = lines.with_message(message);
        assert_eq!(logged.len(), 2, "{message}");
        assert!(logged.iter().all(|line| line.field("zone") == "zone"));
        assert!(logged.iter().all(|line| line.number("revision") > Some(0)));
    }
    node.stop();
}

#[derive(Debug)]
struct Odd {
    name: &'static str,
    key: &'static str,
    value: &'static str,
    /// Number of log lines.
    lines: usize,
}

// Guards against keys of operators that cannot be used, or mean something else, and have an effect or are
// logged more than once.
#[rstest]
#[case(Odd { name: "a zone that does not exist", key: "configuration/evacuate/nowhere", value: "{}", lines: 1 })]
#[case(Odd { name: "no zone", key: "configuration/evacuate/", value: "{}", lines: 1 })]
#[case(Odd { name: "a path", key: "configuration/evacuate/zone/x", value: "{}", lines: 1 })]
#[case(Odd { name: "another key", key: "configuration-note", value: "7", lines: 0 })]
fn odd_keys_change_nothing(#[case] case: Odd) {
    let lines = Lines::default();
    let node = Node::start_with(2, &[OK; 400], options("node"), lines.logger());
    node.store.put(case.key, case.value);
    node.store.put(case.key, case.value);
    node.store.put("configuration/evacuate/zone", "{}");
    let call = || node.call("GET", "/safe/x");
    wait_answer(call, is_rejected, "evacuated");
    node.store.delete("configuration/evacuate/zone");
    wait_answer(call, is_served, "served again");
    node.store.delete(case.key);
    for _ in 0..MANY_CALLS {
        let answer = call();
        assert!(is_served(&answer), "{}: {answer}", case.name);
    }
    let logged = lines.with_message("evacuation names no known zone");
    assert_eq!(logged.len(), case.lines, "{}", case.name);
    assert!(logged.iter().all(|line| line.level == Level::Warning));
    assert_eq!(
        lines.with_message("zone is evacuated").len(),
        1,
        "{}",
        case.name
    );
    node.stop();
}

/// Starts a node before two servers in different zones, with keys in the store.
fn start_in_two_zones(servers: &Servers, keys: &[&str]) -> (Process, Arc<MemoryStore>) {
    let mut remote = server("s1", servers.listen());
    remote.zone = "other".into();
    let registered = vec![server("s0", servers.listen()), remote];
    let store = Arc::new(MemoryStore::new());
    for key in keys {
        store.put(key, "{}");
    }
    store.put("configuration", "1");
    for server in &registered {
        store.put(&format!("servers/{}", server.id), "");
    }
    let mut options = options("node");
    options.zones.push("other".into());
    let ports = Ports::bind(&options).expect("ports are free");
    let logger = Logger::root(slog::Discard, o!());
    let parts = parts(&store, registered, logger);
    let process = Process::launch(options, ports, parts);
    process.wait_ready();
    (process, store)
}

/// Returns the number of servers that answer many requests, all of which have to be served.
fn count_answering(process: &Process, servers: &Servers) -> usize {
    servers.arrived.lock().expect("no test panicked").clear();
    for _ in 0..MANY_CALLS {
        let answer = exchange(process.callers, &request("r1", "GET", "/safe/x"));
        assert!(is_served(&answer), "{answer}");
    }
    let arrived = servers.arrived.lock().expect("no test panicked");
    let heads = arrived.iter().flat_map(|head| head.lines());
    let answering: HashSet<&str> = heads
        .filter_map(|line| line.strip_prefix("server: "))
        .collect();
    answering.len()
}

// Guards against a node that is ready before it knows the evacuations, and against requests that are
// rejected although another zone can serve them.
#[test]
fn node_that_starts_during_an_evacuation_uses_the_other_zones() {
    let servers = Servers::with_scripts(&[OK; 4_000]);
    let (process, store) = start_in_two_zones(&servers, &[KEY]);
    assert_eq!(count_answering(&process, &servers), 1);
    store.put("configuration/evacuate/other", "{}");
    let call = || exchange(process.callers, &request("r1", "GET", "/safe/x"));
    wait_answer(call, is_rejected, "evacuated");
    store.delete(KEY);
    wait_answer(call, is_served, "served again");
    assert_eq!(count_answering(&process, &servers), 1);
    store.delete("configuration/evacuate/other");
    let start = Instant::now();
    while count_answering(&process, &servers) < 2 {
        assert!(start.elapsed() <= APPLIED, "the zone is not used again");
    }
    process.stop();
}

#[derive(Debug)]
struct Stream {
    name: &'static str,
    scripts: &'static [Script],
    is_complete: bool,
}

// Guards against streams in progress that an evacuation cuts, and against streams that are resumed in an
// evacuated zone.
#[rstest]
#[case(Stream { name: "goes on", scripts: &[ONE_GATE_TWO], is_complete: true })]
#[case(Stream { name: "breaks off", scripts: &[ONE_GATE_BREAK, TWO], is_complete: false })]
fn stream_continues_and_is_not_resumed_in_an_evacuated_zone(#[case] case: Stream) {
    let node = Node::start_before(2, case.scripts);
    let mut caller = TcpStream::connect(node.address).expect("the node listens");
    let sent = caller.write_all(request("r1", "GET", "/stream/x").as_bytes());
    sent.expect("the node reads");
    node.servers.wait_arrived(1);
    node.store.put(KEY, "{}");
    wait_answer(|| node.call("GET", "/safe/x"), is_rejected, "evacuated");
    node.servers.release();
    caller
        .set_read_timeout(Some(TIMEOUT))
        .expect("the time-out is valid");
    let mut answer = Vec::new();
    // A connection that is reset ends the answer as well as one that is closed.
    let _ = BufReader::new(caller).read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.contains("data: one"), "{}: {answer}", case.name);
    let is_complete = answer.contains("data: two");
    assert_eq!(is_complete, case.is_complete, "{}: {answer}", case.name);
    assert_eq!(node.arrived().len(), 1, "{}", case.name);
    node.stop();
}

// Guards against a node that connects others to servers of an evacuated zone.
#[test]
fn no_connection_is_relayed_to_an_evacuated_zone() {
    let options = options("node");
    let ports = Ports::bind(&options).expect("ports are free");
    let relay = ports.relay.local_addr().expect("the port is bound");
    let logger = Logger::root(slog::Discard, o!());
    let node = Node::start_on(ports, 1, &[OK; 400], logger, options);
    let open = || {
        let mut stream = TcpStream::connect(relay).expect("the node listens");
        stream.write_all(b"s0\n").expect("the node reads");
        let mut answer = [0; 1];
        stream.read_exact(&mut answer).expect("the node answers");
        answer[0]
    };
    assert_eq!(open(), b'C');
    let call = || node.call("GET", "/safe/x");
    node.store.put(KEY, "{}");
    wait_answer(call, is_rejected, "evacuated");
    assert_eq!(open(), b'N');
    node.store.delete(KEY);
    wait_answer(call, is_served, "served again");
    assert_eq!(open(), b'C');
    node.stop();
}

/// What keeps the last node of a cluster from hearing of an evacuation.
#[derive(Debug)]
struct Silence {
    name: &'static str,
    is_cut_from_store: bool,
    is_cut_from_peers: bool,
}

fn wait_member(node: &Member, holds: impl Fn(&str) -> bool, what: &str) {
    wait_answer(|| node.call("r", "/safe/x"), holds, what);
}

// Guards against a node that sends requests to an evacuated zone, or none to one that is not evacuated any
// more, because its call for changes, on a connection that lives, hears of none.
#[rstest]
#[case(Silence { name: "its watch hears nothing", is_cut_from_store: false, is_cut_from_peers: false })]
#[case(Silence { name: "the store turns it away", is_cut_from_store: true, is_cut_from_peers: false })]
#[case(Silence { name: "it hears no peer", is_cut_from_store: false, is_cut_from_peers: true })]
fn node_that_hears_nothing_learns_of_an_evacuation_and_its_end(#[case] case: Silence) {
    let cluster = Cluster::start(3, 2);
    let node = &cluster.nodes[2];
    node.feed.is_deaf.store(true, Ordering::SeqCst);
    let is_cut = case.is_cut_from_store;
    node.feed.is_cut.store(is_cut, Ordering::SeqCst);
    if case.is_cut_from_peers {
        cluster.cut_off(2);
    }
    for _ in 0..2 {
        cluster.store.put(KEY, "{}");
        wait_member(node, is_rejected, case.name);
        cluster.store.delete(KEY);
        wait_member(node, is_served, case.name);
    }
}

// Guards against an evacuation that ends because the store is away.
#[test]
fn evacuation_outlasts_an_outage_of_the_store() {
    let node = Node::start_before(2, &[OK; 400]);
    let call = || node.call("GET", "/safe/x");
    node.store.put(KEY, "{}");
    wait_answer(call, is_rejected, "evacuated");
    node.store.set_unavailable(true);
    let start = Instant::now();
    while start.elapsed() < APPLIED {
        let answer = call();
        assert!(is_rejected(&answer), "{answer}");
        thread::sleep(Duration::from_millis(20));
    }
    node.store.delete(KEY);
    node.store.set_unavailable(false);
    wait_answer(call, is_served, "served again");
    node.stop();
}

// Guards against evacuations that outlast a store which came back from a copy without them, although its
// revisions are lower.
#[test]
fn copy_of_the_store_decides_on_evacuations() {
    let cluster = Cluster::start(2, 2);
    let copy = cluster.store.copy();
    for version in 0..20 {
        cluster.store.put("another", &version.to_string());
    }
    cluster.store.put(KEY, "{}");
    for node in &cluster.nodes {
        wait_member(node, is_rejected, "evacuated");
    }
    cluster.store.restore(&copy);
    for node in &cluster.nodes {
        wait_member(node, is_served, "served again");
    }
}
