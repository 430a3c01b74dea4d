//! What the client of the key-value service makes of endpoints that are gone, silent or slow.

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

fn create() -> Transaction {
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

/// What listens behind each endpoint of a client.
#[derive(Clone, Copy)]
enum Listener {
    /// Nothing listens.
    Nobody,
    /// Connections are accepted and never answered.
    Silent,
    /// The service listens.
    Service,
}

struct Reach {
    listeners: &'static [Listener],
    create: &'static str,
    get: &'static str,
}

const NOBODY: Reach = Reach {
    listeners: &[Listener::Nobody, Listener::Nobody],
    create: "unreachable at commit",
    get: "unreachable at get",
};

const SILENT: Reach = Reach {
    listeners: &[Listener::Silent],
    create: "indeterminate at commit",
    get: "indeterminate at get",
};

const SECOND: Reach = Reach {
    listeners: &[Listener::Nobody, Listener::Service],
    create: "answered",
    get: "answered",
};

// The write may have reached the silent endpoint, so it is not sent to the second one.
const SILENT_THEN_SERVICE: Reach = Reach {
    listeners: &[Listener::Silent, Listener::Service],
    create: "indeterminate at commit",
    get: "answered",
};

#[rstest]
fn reach(#[values(NOBODY, SILENT, SECOND, SILENT_THEN_SERVICE)] case: Reach) {
    let runtime = Runtime::new().unwrap();
    let memory = Memory::default();
    let mut servers = Vec::new();
    let mut silent = Vec::new();
    let mut unheard = Vec::new();
    let mut endpoints = Vec::new();
    for listener in case.listeners {
        endpoints.push(match listener {
            Listener::Nobody => {
                // A bound socket that never listens keeps its port from other tests.
                let socket = TcpSocket::new_v4().unwrap();
                socket.bind(LOOPBACK).unwrap();
                unheard.push(socket);
                unheard.last().unwrap().local_addr().unwrap()
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
    let create = runtime.block_on(client.commit(create()));
    assert_eq!(show(&create), case.create);
    let get = runtime.block_on(client.get(KEY));
    assert_eq!(show(&get), case.get);
}

#[test]
fn held_call_times_out_and_takes_effect_later() {
    let runtime = Runtime::new().unwrap();
    let memory = Memory::default();
    let server = Server::start(LOOPBACK, memory.clone()).unwrap();
    let bounds = Bounds {
        call: Millis(100),
        ..Bounds::default()
    };
    let client = Client::new(runtime.handle().clone(), &[server.address()], bounds).unwrap();
    memory.set(Fault::HoldAnswer);
    let lost = runtime.block_on(client.commit(create()));
    assert_eq!(show(&lost), "indeterminate at commit");
    memory.set(Fault::None);
    let found = runtime.block_on(client.get(KEY)).unwrap().unwrap();
    assert_eq!(found.mod_revision, 2);
    assert_eq!(memory.counts().writes, 1);
}

/// Passes bytes on to a server until its open connections are silenced.
struct Proxy {
    address: SocketAddr,
    silenced: Arc<AtomicUsize>,
}

impl Proxy {
    fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(LOOPBACK).unwrap();
        let address = listener.local_addr().unwrap();
        let silenced = Arc::new(AtomicUsize::new(0));
        let shared = Arc::clone(&silenced);
        // The threads end with the process of the test.
        thread::spawn(move || {
            for (number, inner) in listener
                .incoming()
                .map_while(std::result::Result::ok)
                .enumerate()
            {
                let outer = TcpStream::connect(server).unwrap();
                let ways = [
                    (inner.try_clone().unwrap(), outer.try_clone().unwrap()),
                    (outer, inner),
                ];
                for (from, to) in ways {
                    let silenced = Arc::clone(&shared);
                    thread::spawn(move || copy(from, to, || number < silenced.load(SeqCst)));
                }
            }
        });
        Proxy { address, silenced }
    }

    /// Lets no byte through on the first connections any more; they stay open.
    fn silence(&self, connections: usize) {
        self.silenced.store(connections, SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !is_silent() && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

#[test]
fn silent_connection_is_found_and_replaced() {
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
    // The call meets the silent connection or the new one, and succeeds on the latter.
    assert_eq!(runtime.block_on(client.get(KEY)), Ok(None));
}

#[test]
fn watch_ends_with_its_connection() {
    let runtime = Runtime::new().unwrap();
    let server = Server::start(LOOPBACK, Memory::default()).unwrap();
    let handle = runtime.handle().clone();
    let client = Client::new(handle, &[server.address()], Bounds::default()).unwrap();
    let mut watch = runtime.block_on(client.watch(KEY, 0)).unwrap();
    drop(server);
    assert_eq!(runtime.block_on(watch.next()), None);
}
