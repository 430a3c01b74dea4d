//! A node before scripted servers, with a store that holds one configuration.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderMap, HeaderValue, StatusCode};
use jackdaw_core::backend::{Order, Reply, Report, Server};
use jackdaw_core::config::{Backend, Configuration, Kind, Route, Service};
use jackdaw_core::dialect::{Answer, Changes, Dialect, Head, Log, Orders, Page, Passage};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::time::Machine;
use jackdaw_core::units::{Bytes, Millis};
use jackdaw_gateway::node::{Exporter, Parts};
use jackdaw_gateway::options::Options;
use jackdaw_gateway::server::{self, Ports};
use opentelemetry::metrics::{MeterProvider as _, noop::NoopMeterProvider};
use slog::{Logger, o};
use tokio::sync::oneshot;

/// Longest time that a test waits for bytes; a node that is stuck fails the test.
const STUCK: Duration = Duration::from_secs(10);

/// Returns the number at the end of a header's value.
fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// A dialect of the tests' own.
struct Plain {
    servers: Vec<Server>,
    routes: Vec<Route>,
}

impl Dialect for Plain {
    fn request(&self, headers: &HeaderMap) -> Result<Head> {
        Ok(Head {
            id: text(headers, "id").unwrap_or_default().into(),
            deadline: number(headers, "deadline").map(Millis),
            ..Head::default()
        })
    }

    fn pass(&self, headers: &mut HeaderMap, passage: &Passage<'_>) {
        headers.insert("left", HeaderValue::from(passage.left.0));
        if let Some(event) = passage.last_event {
            headers.insert("last", HeaderValue::from(event));
        }
    }

    fn answer(&self, _: StatusCode, headers: &HeaderMap) -> Answer {
        Answer {
            id: text(headers, "id").map(Into::into),
            signed: headers.contains_key("signed"),
            not_run: headers.contains_key("not-run"),
            culprit: None,
        }
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }

    fn configuration(&self, _: &[u8]) -> Result<Configuration> {
        Ok(Configuration {
            version: 1,
            routes: self.routes.clone(),
            services: vec![Service {
                name: "service".into(),
                max_connections: 10,
                engine: None,
            }],
            ..Configuration::default()
        })
    }

    fn server(&self, entry: &Entry) -> Result<Server> {
        let found = self
            .servers
            .iter()
            .find(|server| entry.key == format!("servers/{}", server.id));
        found
            .cloned()
            .ok_or_else(|| Error::malformed("read entry", &entry.key, "unknown"))
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }

    fn servers_prefix(&self) -> &'static str {
        "servers/"
    }
}

/// A store that holds fixed entries.
struct Fixed {
    entries: Vec<Entry>,
}

#[async_trait]
impl Log for Fixed {
    async fn page(&self, prefix: &str, _: Option<&str>) -> Result<Page> {
        let entries = self.entries.iter();
        Ok(Page {
            entries: entries
                .filter(|entry| entry.key.starts_with(prefix))
                .cloned()
                .collect(),
            more: false,
            revision: 1,
        })
    }

    async fn changes(&self, _: &str, after: u64, wait: Millis) -> Result<Changes> {
        tokio::time::sleep(wait.duration()).await;
        Ok(Changes::Some(Vec::new(), after))
    }
}

#[async_trait]
impl Store for Fixed {
    async fn get(&self, _: &str) -> Result<Option<Entry>> {
        Ok(None)
    }
    async fn list(&self, _: &str) -> Result<Vec<Entry>> {
        Ok(Vec::new())
    }
    async fn commit(&self, _: Transaction) -> Result<Committed> {
        Ok(Committed::Yes(1))
    }
    async fn grant(&self, _: Millis) -> Result<Lease> {
        Ok(Lease(1))
    }
    async fn renew(&self, _: Lease) -> Result<Millis> {
        Ok(Millis(10_000))
    }
    async fn revoke(&self, _: Lease) -> Result<()> {
        Ok(())
    }
    async fn watch(&self, prefix: &str, _: u64) -> Result<Box<dyn Watch>> {
        Err(Error::refused("watch", prefix, "not used"))
    }
}

/// Has no metrics.
struct Silent;

impl Exporter for Silent {
    fn render(&self) -> Result<String> {
        Ok(String::new())
    }
}

/// Takes no orders.
struct Deaf;

#[async_trait]
impl Orders for Deaf {
    async fn order(&self, order: &Order) -> Result<Reply> {
        Err(Error::unreachable("send order", &order.server, "deaf"))
    }
    async fn report(&self, server: &str, _: SocketAddr) -> Result<Report> {
        Err(Error::unreachable("read report", server, "deaf"))
    }
}

/// Ends a script after which the server keeps the connection open and says nothing more.
pub(crate) const HOLD: &str = "HOLD";

/// What a scripted server writes for one request; `ID` stands for the request's identity. After
/// that it closes the connection, unless the script ends with [`HOLD`].
pub(crate) type Script = &'static str;

/// Servers that take what comes in turn from one list of scripts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers {
    scripts: Arc<Mutex<Vec<Script>>>,
    /// Heads of the requests that have arrived.
    pub(crate) arrived: Arc<Mutex<Vec<String>>>,
}

impl Servers {
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let servers = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let servers = servers.clone();
                thread::spawn(move || servers.answer(stream, address));
            }
        });
        address
    }

    fn answer(&self, stream: TcpStream, address: SocketAddr) {
        let mut reader = BufReader::new(stream);
        let Some((mut head, _)) = read_message(&mut reader) else {
            return;
        };
        head.push_str(&format!("server: {address}\n"));
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("id: "))
            .unwrap_or_default()
            .to_owned();
        self.arrived.lock().expect("no test panicked").push(head);
        let script = {
            let mut scripts = self.scripts.lock().expect("no test panicked");
            if scripts.is_empty() {
                ""
            } else {
                scripts.remove(0)
            }
        };
        let is_held = script.ends_with(HOLD);
        let bytes = script.trim_end_matches(HOLD).replace("ID", &id);
        let mut stream = reader.into_inner();
        // A caller that has left is part of some cases.
        let _ = stream.write_all(bytes.as_bytes());
        if !is_held {
            let _ = stream.shutdown(std::net::Shutdown::Write);
        }
        let _ = stream.read(&mut [0; 1]);
    }
}

/// Reads a head and a body with a length.
fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line.replace("\r\n", "\n"));
    }
    let length = head
        .lines()
        .find_map(|line| {
            line.to_lowercase()
                .strip_prefix("content-length: ")
                .map(str::to_owned)
        })
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A running node.
pub(crate) struct Node {
    pub(crate) servers: Servers,
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: mpsc::Receiver<()>,
}

fn route(prefix: &str, kind: Kind, max_attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind,
        timeout: Millis(5_000),
        objective: Millis(1_000),
        max_gap: None,
        priority: 1,
        max_attempts,
        anonymous: true,
        backends: vec![Backend {
            service: "service".into(),
            weight: 1,
        }],
    }
}

impl Node {
    /// Starts a node before two servers that take the scripts in turn.
    pub(crate) fn start(scripts: &[Script]) -> Node {
        let servers = Servers::default();
        *servers.scripts.lock().expect("no test panicked") = scripts.to_vec();
        let registered: Vec<Server> = (0..2)
            .map(|number| Server {
                id: format!("s{number}").into(),
                service: "service".into(),
                address: servers.listen(),
                zone: "zone".into(),
                draining: false,
                slots: 4,
                born: 1,
                domain: String::new().into(),
                staged: Vec::new(),
                membership: None,
            })
            .collect();
        let mut keys = vec!["configuration".to_owned()];
        keys.extend(
            registered
                .iter()
                .map(|server| format!("servers/{}", server.id)),
        );
        let entries = keys
            .iter()
            .map(|key| Entry {
                key: key.into(),
                value: Vec::new(),
                create_revision: 1,
                mod_revision: 1,
                lease: None,
            })
            .collect();
        let store = Arc::new(Fixed { entries });
        let dialect = Plain {
            servers: registered,
            routes: vec![
                route("/once/", Kind::Once, 1),
                route("/safe/", Kind::Idempotent, 2),
                route("/stream/", Kind::Stream { resumable: true }, 2),
                route("/fragile/", Kind::Stream { resumable: false }, 2),
            ],
        };
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let options = Options {
            node: "node".into(),
            zone: "zone".into(),
            zones: vec!["zone".into()],
            callers: any,
            readiness: any,
            peers: any,
            grace: Millis(4_000),
            retries: 100,
            lease: Millis(3_000),
            drain: Millis(2_000),
            max_head: Bytes(16 << 10),
        };
        let parts = Parts {
            dialect: Arc::new(dialect),
            log: store.clone(),
            store,
            orders: Arc::new(Deaf),
            clock: Arc::new(Machine::default()),
            logger: Logger::root(slog::Discard, o!()),
            meter: NoopMeterProvider::new().meter("test"),
            exporter: Arc::new(Silent),
        };
        let ports = Ports::bind(&options).expect("ports are free");
        let address = ports.callers.local_addr().expect("the port is bound");
        let readiness = ports.readiness.local_addr().expect("the port is bound");
        let (stop, stopped) = oneshot::channel::<()>();
        let (end, ended) = mpsc::channel();
        thread::spawn(move || {
            let stop = async move {
                let _ = stopped.await;
            };
            let result = server::run(options, ports, parts, stop);
            result.expect("the node runs");
            let _ = end.send(());
        });
        let node = Node {
            servers,
            address,
            stop: Some(stop),
            ended,
        };
        node.wait_ready(readiness);
        node
    }

    fn wait_ready(&self, readiness: SocketAddr) {
        loop {
            let answer = exchange(
                readiness,
                "GET /ready HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n",
            );
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            thread::yield_now();
        }
    }

    /// Sends a request on a connection of its own and returns all bytes that come.
    pub(crate) fn call(&self, method: &str, path: &str) -> String {
        let body = if method == "POST" { "hello" } else { "" };
        let length = body.len();
        exchange(
            self.address,
            &format!(
                "{method} {path} HTTP/1.1\r\nhost: host\r\nid: r1\r\ndeadline: 4000\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            ),
        )
    }

    /// Returns the heads of the requests that have arrived at servers, header by header.
    pub(crate) fn arrived(&self) -> Vec<HashMap<String, String>> {
        let arrived = self.servers.arrived.lock().expect("no test panicked");
        arrived
            .iter()
            .map(|head| {
                head.lines()
                    .filter_map(|line| line.split_once(": "))
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect()
            })
            .collect()
    }

    /// Asks the node to stop and waits until it has.
    pub(crate) fn stop(mut self) {
        drop(self.stop.take());
        self.ended.recv_timeout(STUCK).expect("the node stops");
    }
}

fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream
        .set_read_timeout(Some(STUCK))
        .expect("a time-out fits");
    stream
        .write_all(request.as_bytes())
        .expect("the node reads");
    let mut bytes = Vec::new();
    // A connection that is cut off ends the answer as well as one that is closed.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
