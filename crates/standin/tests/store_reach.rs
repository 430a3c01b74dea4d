//! Tests the client of the key-value service on endpoints that are unreachable, silent or slow.

use std::io::{Read, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Compare, Store, Transaction, Write};
use jackdaw_core::units::Millis;
use jackdaw_platform::etcd::{Bounds, Client};
use jackdaw_standin::store::{Fault, Memory, Server};
use rstest::rstest;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const KEY: &str = "a";

fn create_key() -> Transaction {
    Transaction {
        when: vec![Compare::Absent(KEY.into())],
        then: vec![Write::Put {
            key: KEY.into(),
            value: vec![1],
            lease: None,
        }],
        otherwise: Vec::new(),
    }
}

fn show<T>(result: &Result<T>) -> String {
    let kind = match result {
        Ok(_) => return "answered".into(),
        Err(Error::Unreachable { .. }) => "unreachable",
        Err(Error::Indeterminate { .. }) => "indeterminate",
        Err(Error::Refused { .. }) => "refused",
        Err(Error::Malformed { .. }) => "malformed",
    };
    let step = result.as_ref().err().map_or("", Error::step);
    format!("{kind} at {step}")
}

/// Kind of server at an endpoint of a client.
#[derive(Clone, Copy)]
enum Listener {
    /// Nothing listens.
    Closed,
    /// Connections are accepted and never answered.
    Silent,
    /// The service listens.
    Service,
}

/// Endpoints of a client and the expected result of each call.
struct Case {
    listeners: &'static [Listener],
    create: &'static str,
    get: &'static str,
}

const ALL_CLOSED: Case = Case {
    listeners: &[Listener::Closed, Listener::Closed],
    create: "unreachable at commit",
    get: "unreachable at get",
};

const ONE_SILENT: Case = Case {
    listeners: &[Listener::Silent],
    create: "indeterminate at commit",
    get: "indeterminate at get",
};

const CLOSED_THEN_SERVICE: Case = Case {
    listeners: &[Listener::Closed, Listener::Service],
    create: "answered",
    get: "answered",
};

// The write may have reached the silent endpoint, so it is not sent to the second one.
const SILENT_THEN_SERVICE: Case = Case {
    listeners: &[Listener::Silent, Listener::Service],
    create: "indeterminate at commit",
    get: "answered",
};

#[rstest]
fn calls_skip_closed_endpoints_and_a_write_is_not_resent_after_silence(
    #[values(ALL_CLOSED, ONE_SILENT, CLOSED_THEN_SERVICE, SILENT_THEN_SERVICE)] case: Case,
) {
    let runtime = Runtime::new().unwrap();
    let memory = Memory::default();
    let mut servers = Vec::new();
    let mut silent = Vec::new();
    let mut reserved = Vec::new();
    let mut endpoints = Vec::new();
    for listener in case.listeners {
        endpoints.push(match listener {
            Listener::Closed => {
                // A bound socket that never listens reserves its port against other tests.
                let socket = TcpSocket::new_v4().unwrap();
                socket.bind(LOOPBACK).unwrap();
                reserved.push(socket);
                reserved.last().unwrap().local_addr().unwrap()
            }
            Listener::Silent => {
                silent.push(TcpListener::bind(LOOPBACK).unwrap());
                silent.last().unwrap().local_addr().unwrap()
            }
            Listener::Service => {
                servers.push(Server::start(LOOPBACK, memory.clone()).unwrap());
                servers.last().unwrap().address()
            }
        });
    }
    let bounds = Bounds {
        call: Millis(200),
        ..Bounds::default()
    };
    let client = Client::new(runtime.handle().clone(), &endpoints, bounds).unwrap();
    let create = runtime.block_on(client.commit(create_key()));
    assert_eq!(show(&create), case.create);
    let get = runtime.block_on(client.get(KEY));
    assert_eq!(show(&get), case.get);
}

#[test]
fn commit_whose_answer_is_held_times_out_and_takes_effect() {
    let runtime = Runtime::new().unwrap();
    let memory = Memory::default();
    let server = Server::start(LOOPBACK, memory.clone()).unwrap();
    let bounds = Bounds {
        call: Millis(100),
        ..Bounds::default()
    };
    let client = Client::new(runtime.handle().clone(), &[server.address()], bounds).unwrap();
    memory.set(Fault::HoldAnswer);
    let result = runtime.block_on(client.commit(create_key()));
    assert_eq!(show(&result), "indeterminate at commit");
    memory.set(Fault::None);
    let found = runtime.block_on(client.get(KEY)).unwrap().unwrap();
    assert_eq!(found.mod_revision, 2);
    assert_eq!(memory.counts().writes, 1);
}

/// TCP proxy to a server that can silence its connections while they stay open.
struct Proxy {
    address: SocketAddr,
    silenced: Arc<AtomicUsize>,
}

impl Proxy {
    fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(LOOPBACK).unwrap();
        let address = listener.local_addr().unwrap();
        let silenced = Arc::new(AtomicUsize::new(0));
        let silenced_count = Arc::clone(&silenced);
        // The threads end with the test process.
        thread::spawn(move || {
            for (number, downstream) in listener
                .incoming()
                .map_while(std::result::Result::ok)
                .enumerate()
            {
                let upstream = TcpStream::connect(server).unwrap();
                let directions = [
                    (
                        downstream.try_clone().unwrap(),
                        upstream.try_clone().unwrap(),
                    ),
                    (upstream, downstream),
                ];
                for (from, to) in directions {
                    let silenced = Arc::clone(&silenced_count);
                    thread::spawn(move || forward(from, to, || number < silenced.load(SeqCst)));
                }
            }
        });
        Proxy { address, silenced }
    }

    /// Drops all further bytes of the first connections, which stay open.
    fn silence(&self, connections: usize) {
        self.silenced.store(connections, SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !is_silent() && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

#[test]
fn connection_that_falls_silent_ends_its_watch_and_is_replaced() {
    let runtime = Runtime::new().unwrap();
    let memory = Memory::default();
    let server = Server::start(LOOPBACK, memory.clone()).unwrap();
    let proxy = Proxy::start(server.address());
    let bounds = Bounds {
        call: Millis(200),
        heartbeat: Millis(100),
        ..Bounds::default()
    };
    let client = Client::new(runtime.handle().clone(), &[proxy.address], bounds).unwrap();
    let mut watch = runtime.block_on(client.watch(KEY, 0)).unwrap();
    proxy.silence(1);
    assert_eq!(runtime.block_on(watch.next()), None);
    // The call may start on the silent connection; it has to succeed on the new one.
    assert_eq!(runtime.block_on(client.get(KEY)), Ok(None));
}

#[test]
fn watch_ends_when_its_server_stops() {
    let runtime = Runtime::new().unwrap();
    let server = Server::start(LOOPBACK, Memory::default()).unwrap();
    let handle = runtime.handle().clone();
    let client = Client::new(handle, &[server.address()], Bounds::default()).unwrap();
    let mut watch = runtime.block_on(client.watch(KEY, 0)).unwrap();
    drop(server);
    assert_eq!(runtime.block_on(watch.next()), None);
}
