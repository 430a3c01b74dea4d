//! Tests of requests whose target is withdrawn while they wait: for a grant, or for a connection.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use jackdaw_gateway::server::Ports;
use prost::Message;
use rstest::rstest;

use super::cluster::{Cluster, bind_fixed_port};
use super::lines::Lines;
use super::store::MemoryStore;
use super::support::{Process, TIMEOUT, exchange, options, parts, request, server};

/// Number of nodes, of which none gets an answer to the questions that it asks another one.
const NODES: usize = 4;

/// Number of exchanges with a node between a change of the store and the first request.
const PROBES: usize = 40;

/// Opens a connection to a node and sends a request that runs at most once, and makes sure that the node
/// has read it.
fn send(node: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node).expect("the node listens");
    let sent = stream.write_all(request(id, "POST", "/once/x").as_bytes());
    sent.expect("the node reads");
    probe(node);
    stream
}

/// Makes sure that a node has read what has arrived; it reads its connections in the order in which
/// bytes arrive.
fn probe(node: SocketAddr) {
    let answer = exchange(node, &request("probe", "GET", "/none/x"));
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

fn read_answer(mut stream: TcpStream) -> String {
    let timeout = stream.set_read_timeout(Some(TIMEOUT));
    timeout.expect("the time-out is valid");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer ends");
    answer
}

// Guards against a request that is sent to a server of another service, since that has taken the place of
// the cold server that the request was granted, in the table of targets. The changes do not meet the wait
// for a grant in every round.
#[rstest]
fn granted_request_does_not_go_to_the_server_that_came_instead(#[values(1, 2, 3)] _round: u32) {
    let mut cluster = Cluster::start(NODES, 2);
    cluster.store.put("configuration", "2 warmup:26");
    cluster.store.put("servers/s1", "start:2 service:other");
    cluster.store.put("servers/s0", "warmup:600000");
    for node in &cluster.nodes {
        node.wait_logged("server is cold");
    }
    // The first node reads the store for all, and asks others for the requests to this server.
    let node = &cluster.nodes[0];
    cluster.store.delete("servers/s0");
    // Requests that are granted before the other service is known would keep the place taken.
    for _ in 0..PROBES {
        probe(node.address());
    }
    let start = Instant::now();
    let mut waiting = Vec::new();
    while !node.has_logged("server is gone") {
        assert!(start.elapsed() < TIMEOUT, "the server is not gone");
        waiting.push(send(node.address(), &format!("r{}", waiting.len())));
    }
    let configuration = "3 warmup:26 service:other";
    cluster.store.put("configuration", configuration);
    for stream in waiting {
        let answer = read_answer(stream);
        let is_told = answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503");
        assert!(is_told, "{answer}");
    }
    let answered = cluster.servers.take_answered();
    assert!(!answered.contains(&"s1".to_owned()), "{answered:?}");
    cluster.stop_nodes();
}

/// The part of a datagram that says what its sender reaches, and where it relays connections.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(string, tag = "5")]
    zone: String,
    #[prost(uint32, tag = "14")]
    reach: u32,
    #[prost(uint32, tag = "15")]
    relay_port: u32,
}

/// What changes while another node opens a connection to a server.
#[derive(Clone, Copy, Debug)]
enum Change {
    Nothing,
    /// The server's registration.
    Server(Option<&'static str>),
    Evacuation,
    Configuration(&'static str),
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    change: Change,
    is_sent: bool,
}

/// A node that reaches no server itself, and a stand-in for another one that would relay connections.
struct Remote {
    process: Process,
    store: Arc<MemoryStore>,
    lines: Lines,
    relay: TcpListener,
}

/// Number of servers; a request is tried at all but one of them before the node counts as cut off.
const SERVERS: usize = 4;

impl Remote {
    fn start() -> Remote {
        // The ports are taken, so connections to them are refused.
        let sockets: Vec<_> = (0..SERVERS).map(|_| bind_fixed_port()).collect();
        let registered: Vec<_> = (0..SERVERS)
            .zip(&sockets)
            .map(|(number, (_, address))| server(&format!("s{number}"), *address))
            .collect();
        let store = Arc::new(MemoryStore::new());
        store.put("configuration", "1");
        for server in &registered {
            store.put(&format!("servers/{}", server.id), "");
        }
        let options = options("node");
        let ports = Ports::bind(&options).expect("ports are free");
        let peers = ports.peers.local_addr().expect("the port is bound");
        let lines = Lines::default();
        let process = Process::launch(options, ports, parts(&store, registered, lines.logger()));
        process.wait_ready();
        let relay = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let remote = Remote {
            process,
            store,
            lines,
            relay,
        };
        remote.cut_off();
        remote.introduce_relay(peers);
        remote
    }

    /// Sends requests until the node counts as cut off from all servers.
    fn cut_off(&self) {
        let start = Instant::now();
        let message = "no server is reached; connections go through other nodes";
        while self.lines.with_message(message).is_empty() {
            assert!(start.elapsed() < TIMEOUT, "the node is not cut off");
            exchange(self.process.callers, &request("r0", "GET", "/safe/x"));
        }
    }

    /// Tells the node that another one relays connections, and waits until it knows.
    fn introduce_relay(&self, peers: SocketAddr) {
        let relay_port = self.relay.local_addr().expect("the port is bound").port();
        let datagram = Datagram {
            node: "peer".to_owned(),
            zone: "zone".to_owned(),
            reach: 1,
            relay_port: relay_port.into(),
        };
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let sent = socket.send_to(&datagram.encode_to_vec(), peers);
        sent.expect("the datagram leaves");
        probe(self.process.callers);
    }

    /// Accepts the connection for a caller's request and returns it with the name of the server that the
    /// node asks for.
    ///
    /// # Panics
    ///
    /// Panics if the node answers the caller without it.
    fn accept(&self, caller: &JoinHandle<String>) -> (BufReader<TcpStream>, String) {
        let is_set = self.relay.set_nonblocking(true);
        is_set.expect("the listener can be polled");
        let stream = loop {
            if let Ok((stream, _)) = self.relay.accept() {
                break stream;
            }
            assert!(!caller.is_finished(), "the node opens no connection");
            thread::yield_now();
        };
        let is_set = stream.set_nonblocking(false);
        is_set.expect("the connection can be read");
        let timeout = stream.set_read_timeout(Some(TIMEOUT));
        timeout.expect("the time-out is valid");
        let mut reader = BufReader::new(stream);
        let mut name = String::new();
        reader.read_line(&mut name).expect("the node names one");
        (reader, name.trim_end().to_owned())
    }

    /// Makes a change and waits until the node knows.
    fn apply(&self, change: Change, server: &str) {
        match change {
            Change::Nothing => {}
            Change::Server(registration) => {
                let key = format!("servers/{server}");
                match registration {
                    Some(registration) => self.store.put(&key, registration),
                    None => self.store.delete(&key),
                }
                // Changes are applied in their order, and this one is logged.
                let other = if server == "s0" { "s1" } else { "s0" };
                self.store.delete(&format!("servers/{other}"));
                self.lines.wait_for(|line| {
                    let count =
                        |count: usize| line.field("counts") == format!("{{\"service\": {count}}}");
                    let is_left = (1..SERVERS).any(count);
                    line.message == "places that serve have changed" && is_left
                });
            }
            Change::Evacuation => {
                self.store.put("configuration/evacuate/zone", "{}");
                self.lines
                    .wait_for(|line| line.message == "zone is evacuated");
            }
            Change::Configuration(configuration) => {
                self.store.put("configuration", configuration);
                self.lines.wait_for(|line| {
                    line.message == "configuration in force" && line.field("version") == "2"
                });
            }
        }
    }
}

// Guards against a request that is sent to a server that has left, started again or is evacuated by the time
// at which another node has connected this one, and against requests that a later configuration rejects
// although they were admitted before.
#[rstest]
#[case(Case { name: "nothing", change: Change::Nothing, is_sent: true })]
#[case(Case { name: "gone", change: Change::Server(None), is_sent: false })]
#[case(Case { name: "leaving", change: Change::Server(Some("draining")), is_sent: false })]
#[case(Case { name: "started again", change: Change::Server(Some("2")), is_sent: false })]
#[case(Case { name: "of another service", change: Change::Server(Some("service:other")), is_sent: false })]
#[case(Case { name: "evacuated", change: Change::Evacuation, is_sent: false })]
#[case(Case { name: "a configuration without the route", change: Change::Configuration("2 without:once"), is_sent: true })]
#[case(Case { name: "a configuration without the service", change: Change::Configuration("2 without-service"), is_sent: true })]
fn server_that_is_withdrawn_while_a_connection_is_opened_gets_nothing(#[case] case: Case) {
    let remote = Remote::start();
    let address = remote.process.callers;
    let caller = thread::spawn(move || exchange(address, &request("r1", "POST", "/once/x")));
    let (mut connection, name) = remote.accept(&caller);
    let server = name.trim_end_matches('\t');
    remote.apply(case.change, server);
    let connected = connection.get_mut().write_all(b"C");
    connected.expect("the node reads");
    let mut line = String::new();
    // The node may close the connection at once.
    let _ = connection.read_line(&mut line);
    let is_sent = line.starts_with("POST /once/x");
    assert_eq!(is_sent, case.is_sent, "{}: {line}", case.name);
    drop(connection);
    let answer = caller.join().expect("the node answers");
    let status = if is_sent {
        "HTTP/1.1 502"
    } else {
        "HTTP/1.1 503"
    };
    assert!(answer.starts_with(status), "{}: {answer}", case.name);
    remote.process.stop();
}
