//! A node that reaches its servers through another node alone, for which the test stands in.

use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use jackdaw_gateway::server::Ports;
use prost::Message;

use super::cluster::bind_fixed_port;
use super::lines::Lines;
use super::store::MemoryStore;
use super::support::{Process, TIMEOUT, exchange, options, parts, request, server};

/// Number of servers.
pub(crate) const SERVERS: usize = 4;

/// Makes sure that a node has read what has arrived; it reads its connections in the order in which
/// bytes arrive.
pub(crate) fn probe(node: SocketAddr) {
    let answer = exchange(node, &request("probe", "GET", "/none/x"));
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
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

/// A node that reaches no server itself, and a stand-in for another one that would relay connections.
pub(crate) struct Remote {
    pub(crate) process: Process,
    pub(crate) store: Arc<MemoryStore>,
    pub(crate) lines: Lines,
    relay: TcpListener,
}

impl Remote {
    /// Starts the node and waits until it knows where connections are relayed.
    pub(crate) fn start() -> Remote {
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
    pub(crate) fn accept(&self, caller: &JoinHandle<String>) -> (BufReader<TcpStream>, String) {
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
}
