//! Model engines of one domain, which form replica groups as they are ordered to.

use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::Value;
use crate::record::Record;
use crate::store::Store;

/// Time in which a server joins a group of the model that it had before.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Time in which it joins one of a model that its host holds.
const WARM_TIME: Duration = Duration::from_millis(1_600);
/// Time from the order to open a group until it serves.
const FORM_TIME: Duration = Duration::from_millis(300);
/// Time after which a group that lacks a member is broken.
const STALL_TIME: Duration = Duration::from_secs(4);
/// Time of silence after which the store removes an entry.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
/// Number of events of a stream, and the pause before each.
const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(36);
const MODEL: &str = "m0";

/// Figures of the engine for the configuration: one model whose replicas span four servers.
pub const FIGURES: &str = r#"{"slots":26,"kv_capacity_tokens":1400000,"stride":5,"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,"usual":{"prompt":1076,"answer":116},"keeps":1,"far_x":2.5,"form_ms":300.0,"models":[{"name":"m0","size":4,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":1.6}]}"#;

#[derive(Clone, Debug, PartialEq)]
struct Membership {
    group: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
}

/// One life of a server.
#[derive(Default)]
struct Life {
    is_up: bool,
    /// Distinguishes the lives.
    number: u64,
    accepted: u64,
    highest_epoch: u64,
    membership: Option<Membership>,
    had_group: bool,
    connections: Vec<TcpStream>,
}

/// The engines of a domain; clones share them.
#[derive(Clone)]
pub struct Domain {
    engines: Arc<Vec<Engine>>,
    store: Store,
    record: Record,
}

struct Engine {
    id: String,
    address: SocketAddr,
    life: Mutex<Life>,
}

impl Domain {
    /// Binds the addresses of some servers and starts them.
    pub fn start(count: usize, store: &Store, record: &Record) -> Result<Domain> {
        let mut engines = Vec::new();
        for number in 0..count {
            // The port stays the server's.
            let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            engines.push(Engine {
                id: format!("i-{number}"),
                address,
                life: Mutex::default(),
            });
        }
        let domain = Domain {
            engines: Arc::new(engines),
            store: store.clone(),
            record: record.clone(),
        };
        for number in 0..count {
            domain.begin_life(number)?;
        }
        Ok(domain)
    }

    /// Starts a server, which holds and knows nothing of before but what lies on its host.
    pub fn begin_life(&self, number: usize) -> Result<()> {
        let engine = &self.engines[number];
        let listener = TcpListener::bind(engine.address)?;
        let life = {
            let mut life = engine.life.lock().unwrap();
            *life = Life {
                is_up: true,
                number: life.number + 1,
                ..Life::default()
            };
            life.number
        };
        self.record.write(format!("server {} starts", engine.id));
        self.register(number, life);
        let domain = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = &domain.engines[number];
                let mut current = engine.life.lock().unwrap();
                if current.number != life || !current.is_up {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    current.connections.push(copy);
                }
                let domain = domain.clone();
                thread::spawn(move || domain.converse(number, life, stream));
            }
        });
        Ok(())
    }

    /// Ends a server without a word; its entry lapses unless it is back before.
    pub fn end_life(&self, number: usize) {
        let engine = &self.engines[number];
        let life = {
            let mut life = engine.life.lock().unwrap();
            life.is_up = false;
            for connection in life.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
            life.number
        };
        self.record.write(format!("server {} crashes", engine.id));
        // Wakes the acceptor, which then closes the listener.
        drop(TcpStream::connect(engine.address));
        let domain = self.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE_TIME);
            let engine = &domain.engines[number];
            if engine.life.lock().unwrap().number == life {
                domain.store.delete(&format!("servers/{}", engine.id));
            }
        });
    }

    /// Returns the highest epoch that servers have seen in these lives.
    pub fn highest_epoch(&self) -> u64 {
        let epochs = self
            .engines
            .iter()
            .map(|engine| engine.life.lock().unwrap().highest_epoch);
        epochs.max().unwrap_or(0)
    }

    /// Returns whether no server that is up is in a group.
    pub fn has_no_group(&self) -> bool {
        self.engines.iter().all(|engine| {
            let life = engine.life.lock().unwrap();
            !life.is_up || life.membership.is_none()
        })
    }

    fn register(&self, number: usize, life: u64) {
        let engine = &self.engines[number];
        let current = engine.life.lock().unwrap();
        if current.number != life || !current.is_up {
            return;
        }
        let group = self.describe_group(number, &current);
        let born = 1_764_979_200_000 + life;
        let entry = format!(
            r#"{{"service":"models","address":"{}","zone":"zone-a","version":"v1","slots":26,"state":"ready","warmup_left_ms":0,"seq":1,"born":{born},"domain":"d1","staged":["{MODEL}"]{group}}}"#,
            engine.address
        );
        self.store.put(&format!("servers/{}", engine.id), &entry);
    }

    fn describe_group(&self, number: usize, life: &Life) -> String {
        let Some(own) = &life.membership else {
            return String::new();
        };
        let id = &self.engines[number].id;
        let rank = own
            .members
            .iter()
            .position(|member| member == id)
            .unwrap_or(0);
        format!(
            r#","group":{{"name":"{}","epoch":{},"rank":{rank},"state":"{}"}}"#,
            own.group, own.epoch, own.state
        )
    }

    fn converse(&self, number: usize, life: u64, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(copy);
        while let Ok(Some((head, body))) = http::read_request(&mut reader) {
            let engine = &self.engines[number];
            let is_current = {
                let current = engine.life.lock().unwrap();
                current.is_up && current.number == life
            };
            if !is_current
                || self
                    .answer(number, life, &mut stream, &head, &body)
                    .is_err()
            {
                return;
            }
        }
    }

    fn answer(
        &self,
        number: usize,
        life: u64,
        stream: &mut TcpStream,
        head: &Head,
        body: &[u8],
    ) -> Result<()> {
        let engine = &self.engines[number];
        let id = head.header("x-jackdawstair-request-id").unwrap_or("");
        let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
        let expected = head.header("x-jackdawstair-expect-instance");
        if expected.is_some_and(|expected| expected != engine.id) {
            return http::respond(stream, 421, &echo, b"");
        }
        match head.request().1 {
            "/jackdawstair/report" => {
                let report = {
                    let current = engine.life.lock().unwrap();
                    let group = self.describe_group(number, &current);
                    let born = 1_764_979_200_000 + life;
                    format!(
                        r#"{{"stage":"both","models":[],"busy":false,"seq":{},"born":{born},"queued":0,"running":0,"kv_used":0,"kv_total":1400000,"handles":0{group}}}"#,
                        current.accepted
                    )
                };
                http::respond(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    report.as_bytes(),
                )
            }
            "/jackdawstair/order" => {
                let order = Value::parse(&String::from_utf8_lossy(body));
                let status = self.carry_out(number, life, &order);
                let (operation, group) = (order.get("operation").text(), order.get("group").text());
                let epoch = order.get("epoch").number().unwrap_or(0);
                self.record.write(format!(
                    "order {operation} {group} epoch {epoch} at {}: {status}",
                    engine.id
                ));
                http::respond(stream, status, "", b"")
            }
            _ if id.is_empty() => {
                http::respond(stream, 400, "X-Jackdawstair-Not-Executed: 1\r\n", b"")
            }
            _ => self.serve(number, life, stream, id),
        }
    }

    fn carry_out(&self, number: usize, life: u64, order: &Value) -> u16 {
        let engine = &self.engines[number];
        let mut current = engine.life.lock().unwrap();
        let expected = order.get("expected").number();
        if expected.is_some_and(|expected| expected != current.accepted) {
            return 409;
        }
        let group = order.get("group").text().to_owned();
        let epoch = order.get("epoch").number().unwrap_or(0);
        let is_own = |own: &&Membership| own.group == group && own.epoch == epoch;
        let own = current.membership.clone();
        let own = own.as_ref().filter(is_own);
        match order.get("operation").text() {
            "join" => {
                let members = order.get("members").list().iter();
                let members: Vec<String> = members.map(|id| id.text().to_owned()).collect();
                if epoch < current.highest_epoch || !members.contains(&engine.id) {
                    return 412;
                }
                if let Some(own) = own {
                    return if own.members == members { 200 } else { 412 };
                }
                let joined = Membership {
                    group,
                    epoch,
                    members,
                    state: "joining",
                };
                let span = if current.had_group {
                    REJOIN_TIME
                } else {
                    WARM_TIME
                };
                current.highest_epoch = epoch;
                current.accepted += 1;
                current.membership = Some(joined.clone());
                drop(current);
                self.register(number, life);
                self.advance_later(number, life, joined, span, "ready");
                202
            }
            "open" => match own {
                Some(own) if own.state == "open" => 200,
                Some(own) if own.state == "ready" && own.members[0] == engine.id => {
                    current.accepted += 1;
                    drop(current);
                    self.advance_later(number, life, own.clone(), FORM_TIME, "open");
                    202
                }
                _ => 409,
            },
            "leave" => {
                if own.is_none() {
                    return 409;
                }
                current.accepted += 1;
                current.membership = None;
                drop(current);
                self.register(number, life);
                200
            }
            "stage" => 200,
            _ => 409,
        }
    }

    /// Changes the state of a membership after a time, unless the server has another one by then.
    fn advance_later(
        &self,
        number: usize,
        life: u64,
        own: Membership,
        span: Duration,
        state: &'static str,
    ) {
        let domain = self.clone();
        thread::spawn(move || {
            thread::sleep(span);
            domain.advance(number, life, &own, state);
        });
    }

    fn advance(&self, number: usize, life: u64, own: &Membership, state: &'static str) {
        {
            let mut current = self.engines[number].life.lock().unwrap();
            if current.number != life || current.membership.as_ref() != Some(own) {
                return;
            }
            current.had_group |= state == "ready";
            let changed = Membership {
                state,
                ..own.clone()
            };
            current.membership = Some(changed);
        }
        let id = &self.engines[number].id;
        self.record.write(format!(
            "server {id} is {state} in {} epoch {}",
            own.group, own.epoch
        ));
        self.register(number, life);
    }

    /// Returns whether all members of a group are in it.
    fn is_whole(&self, own: &Membership) -> bool {
        own.members.iter().all(|member| {
            let engine = self.engines.iter().find(|engine| engine.id == *member);
            engine.is_some_and(|engine| {
                let life = engine.life.lock().unwrap();
                let membership = life.membership.as_ref();
                life.is_up
                    && membership
                        .is_some_and(|other| other.group == own.group && other.epoch == own.epoch)
            })
        })
    }

    /// Sends a stream if the server is the head of an open group. A group that lacks a member stands
    /// still and is broken after [`STALL_TIME`].
    fn serve(&self, number: usize, life: u64, stream: &mut TcpStream, id: &str) -> Result<()> {
        let engine = &self.engines[number];
        let membership = || {
            let current = engine.life.lock().unwrap();
            let is_current = current.is_up && current.number == life;
            current
                .membership
                .clone()
                .filter(|own| is_current && own.state == "open")
        };
        let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
        let refused = format!("{echo}X-Jackdawstair-Not-Executed: 1\r\n");
        let Some(own) = membership().filter(|own| own.members[0] == engine.id) else {
            return http::respond(stream, 503, &refused, b"");
        };
        for number_of_event in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let stalled_at = Instant::now();
            while membership().as_ref() == Some(&own) && !self.is_whole(&own) {
                if stalled_at.elapsed() >= STALL_TIME {
                    self.advance(number, life, &own, "broken");
                }
                thread::sleep(Duration::from_millis(10));
            }
            if membership().as_ref() != Some(&own) {
                return match number_of_event {
                    1 => http::respond(stream, 503, &refused, b""),
                    _ => Err(std::io::Error::other("the group has ended")),
                };
            }
            if number_of_event == 1 {
                self.record.write(format!("run {id} at {}", engine.id));
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{echo}X-Jackdawstair-Response-Stamp: s.{id}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
            }
            let event = format!("id: {number_of_event}\ndata: {id}-{number_of_event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
