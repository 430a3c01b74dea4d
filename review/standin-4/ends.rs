//! A node that is cut off from all servers takes streams through another node. The head of a replica group
//! ends under them and starts again at once; its answers have no length and end with their connections.

#[allow(dead_code)]
mod world;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{Json, Node, Record, Store, read_head, read_message, respond};

const NODES: usize = 6;
/// Node that is cut off, in another zone than the servers.
const CUT: usize = 1;
const SERVERS: usize = 8;
const EVENTS: u32 = 30;
const GAP: Duration = Duration::from_millis(60);
/// Milliseconds from the end of a server's process to its next start, unless the variable `RESTART_MS` states others.
const RESTART_MS: u64 = 100;
/// Time from the start of a process to its first write to the store; servers write about every 1.2 s.
const FIRST_BEAT: Duration = Duration::from_millis(300);
const FORM: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Membership {
    group: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
}

/// What a server holds in one life.
#[derive(Default)]
struct Life {
    number: u64,
    born: u64,
    orders: u64,
    highest_epoch: u64,
    membership: Option<Membership>,
}

struct Server {
    id: String,
    address: SocketAddr,
    life: Mutex<Life>,
    /// Number of the life that runs; zero while none does.
    running: AtomicU64,
}

struct Site {
    record: Record,
    store: Store,
    processes: Vec<u32>,
    is_cut: AtomicBool,
    servers: Vec<Arc<Server>>,
}

impl Site {
    fn describe(&self, server: &Server, life: &Life, order_count: bool) -> String {
        let group = life.membership.as_ref().map_or("null".to_owned(), |own| {
            format!(r#"{{"name":"{}","epoch":{},"rank":{},"state":"{}"}}"#, own.group, own.epoch, own.rank, own.state)
        });
        let seq = if order_count { life.orders } else { 1 };
        format!(
            r#"{{"service":"llm","address":"{}","zone":"zone-a","version":1,"slots":26,"state":"ready","warmup_left_ms":0,"seq":{seq},"born":{},"domain":"d1","staged":["m0"],"group":{group}}}"#,
            server.address, life.born
        )
    }

    fn register(&self, server: &Server, life: &Life) {
        self.store.write(&format!("servers/{}", server.id), &self.describe(server, life, false));
    }

    /// Changes the state of a membership after a time, if it is still the same.
    fn advance_later(self: &Arc<Self>, server: &Arc<Server>, life: &Life, state: &'static str) {
        let (site, server) = (Arc::clone(self), Arc::clone(server));
        let (number, own) = (life.number, life.membership.clone().expect("a membership"));
        thread::spawn(move || {
            thread::sleep(FORM);
            let mut life = server.life.lock().unwrap();
            if life.number != number {
                return;
            }
            if let Some(current) = life.membership.as_mut() {
                if current.group == own.group && current.epoch == own.epoch && current.state != "open" {
                    current.state = state;
                    site.register(&server, &life);
                }
            }
        });
    }

    fn carry_out(self: &Arc<Self>, server: &Arc<Server>, body: &str) -> u16 {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let mut life = server.life.lock().unwrap();
        if order.get("expected").number() != life.orders {
            return 409;
        }
        let (group, epoch) = (order.get("group").text().to_owned(), order.get("epoch").number());
        let is_own = life.membership.as_ref().is_some_and(|own| own.group == group && own.epoch == epoch);
        let state = life.membership.as_ref().map(|own| own.state);
        let operation = order.get("operation").text();
        let status = match operation {
            "stage" => 200,
            "join" if epoch < life.highest_epoch => 412,
            "join" if is_own => 200,
            "join" => {
                let members = order.get("members").list();
                let Some(rank) = members.iter().position(|member| member.text() == server.id) else {
                    return 412;
                };
                life.highest_epoch = epoch;
                life.membership = Some(Membership { group, epoch, rank, state: "joining" });
                self.advance_later(server, &life, "ready");
                202
            }
            "open" if is_own && state == Some("open") => 200,
            "open" if is_own && state == Some("ready") => {
                self.advance_later(server, &life, "open");
                202
            }
            "leave" if is_own => {
                life.membership = None;
                200
            }
            "close" if is_own && state == Some("open") => {
                life.membership.as_mut().expect("a membership").state = "ready";
                202
            }
            _ => 409,
        };
        if status == 202 || (operation == "leave" && status == 200) {
            life.orders += 1;
            self.register(server, &life);
        }
        status
    }

    /// Binds a server's port once the thread of its life before has closed it.
    fn listen(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let due = Instant::now() + Duration::from_secs(2);
        loop {
            match TcpListener::bind(address) {
                Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < due => {
                    self.record.add(&format!("{address} is still bound"));
                    thread::sleep(Duration::from_millis(5));
                }
                bound => return bound,
            }
        }
    }

    /// Starts a life of a server.
    fn start(self: &Arc<Self>, server: &Arc<Server>) -> std::io::Result<()> {
        let listener = self.listen(server.address)?;
        listener.set_nonblocking(true)?;
        let number = {
            let mut life = server.life.lock().unwrap();
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            *life = Life { number: life.number + 1, born: since.expect("a time").as_millis() as u64, ..Life::default() };
            server.running.store(life.number, Ordering::SeqCst);
            life.number
        };
        let (site, beating) = (Arc::clone(self), Arc::clone(server));
        thread::spawn(move || {
            thread::sleep(FIRST_BEAT);
            let life = beating.life.lock().unwrap();
            if life.number == number {
                site.register(&beating, &life);
            }
        });
        let (site, server) = (Arc::clone(self), Arc::clone(server));
        thread::spawn(move || {
            while server.running.load(Ordering::SeqCst) == number {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (site, server) = (Arc::clone(&site), Arc::clone(&server));
                thread::spawn(move || drop(site.serve(&server, number, stream)));
            }
        });
        Ok(())
    }

    /// Ends the process of a server, whose connections the system closes, and starts it again.
    fn restart(self: &Arc<Self>, server: &Arc<Server>) {
        self.record.add(&format!("{} ends", server.id));
        server.running.store(0, Ordering::SeqCst);
        let stated = std::env::var("RESTART_MS").ok().and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_millis(stated.unwrap_or(RESTART_MS)));
        self.start(server).expect("the server starts again");
        self.record.add(&format!("{} has started again", server.id));
    }

    fn serve(self: &Arc<Self>, server: &Arc<Server>, number: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let Some(node) = world::origin(&stream, &self.processes) else {
            self.record.add("a connection whose other end no node holds any more is closed");
            return Ok(());
        };
        let is_cut = || node == CUT && self.is_cut.load(Ordering::SeqCst);
        if is_cut() {
            world::reset_on_close(&stream);
            return Ok(());
        }
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let is_running = || server.running.load(Ordering::SeqCst) == number;
        loop {
            // A connection that waits ends with its server too.
            reader.get_ref().set_read_timeout(Some(Duration::from_millis(2)))?;
            while reader.buffer().is_empty() {
                match reader.fill_buf() {
                    Ok([]) => return Ok(()),
                    Ok(_) => {}
                    Err(_) if !is_running() => return Ok(()),
                    Err(_) if is_cut() => {
                        world::reset_on_close(&stream);
                        return Ok(());
                    }
                    Err(_) => {}
                }
            }
            reader.get_ref().set_read_timeout(Some(Duration::from_secs(2)))?;
            let Some(message) = read_message(&mut reader)? else {
                return Ok(());
            };
            if !is_running() {
                return Ok(());
            }
            let id = message.header("x-jackdawstair-request-id").unwrap_or_default().to_owned();
            let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
            let refused = format!("{echo}X-Jackdawstair-Not-Executed: 1\r\n");
            if message.header("x-jackdawstair-expect-instance").is_some_and(|name| name != server.id) {
                respond(&mut stream, 421, &refused, b"")?;
                continue;
            }
            if message.first.starts_with("GET /jackdawstair/report") {
                let report = self.describe(server, &server.life.lock().unwrap(), true);
                respond(&mut stream, 200, "Content-Type: application/json\r\n", report.as_bytes())?;
                continue;
            }
            if message.first.starts_with("POST /jackdawstair/order") {
                let body = String::from_utf8_lossy(&message.body).into_owned();
                let status = self.carry_out(server, &body);
                self.record.add(&format!("{} answers {status} to {body}", server.id));
                respond(&mut stream, status, "", b"")?;
                continue;
            }
            if id.is_empty() {
                self.record.add(&format!("{} answers 400 to {} from node {}", server.id, message.first, node + 1));
                respond(&mut stream, 400, &refused, b"")?;
                continue;
            }
            let is_open = {
                let life = server.life.lock().unwrap();
                life.membership.as_ref().is_some_and(|own| own.rank == 0 && own.state == "open")
            };
            if !is_open {
                respond(&mut stream, 503, &refused, b"")?;
                continue;
            }
            let last = message.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            self.record.add(&format!("{} runs {id} from event {} for node {}", server.id, last + 1, node + 1));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}X-Jackdawstair-Response-Stamp: {id}\r\n\
                 Connection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for event in last + 1..=EVENTS {
                thread::sleep(GAP);
                if !is_running() {
                    self.record.add(&format!("{} has ended under {id} after event {}", server.id, event - 1));
                    return Ok(());
                }
                if is_cut() {
                    world::reset_on_close(&stream);
                    return Ok(());
                }
                stream.write_all(format!("id: {event}\ndata: {id}-{event}\n\n").as_bytes())?;
            }
            self.record.add(&format!("{} completes {id}", server.id));
            return Ok(());
        }
    }
}

/// What a caller has of a stream.
struct Got {
    status: u16,
    events: u32,
    is_complete: bool,
}

fn call(front: SocketAddr, id: &str) -> std::io::Result<Got> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let text = format!(
        "POST /llm/x HTTP/1.1\r\nHost: llm.example\r\nX-Jackdawstair-Request-Id: {id}\r\n\
         X-Jackdawstair-Model: m0\r\nX-Jackdawstair-Token-Count: 100,150\r\nX-Jackdawstair-Prompt-Prefix: {:x}:100\r\n\
         X-Jackdawstair-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi",
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(131).wrapping_add(byte.into()))
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut got = Got { status: head.status(), events: 0, is_complete: false };
    if head.header("transfer-encoding").is_none() {
        return Ok(got);
    }
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            break;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            break;
        }
        if size == 0 {
            got.is_complete = true;
            break;
        }
        body.extend_from_slice(&chunk[..size]);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    let ids: BTreeSet<u32> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    got.events = ids.len() as u32;
    Ok(got)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("program"));
    let folder = PathBuf::from(arguments.next().expect("folder"));
    let record = Record::create(&PathBuf::from(arguments.next().expect("record"))).expect("record");
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let (cuts, ends) = (trouble != "0" && trouble != "ends", trouble != "0" && trouble != "cuts");
    let store = Store::start().expect("store");
    store.write(
        "op/config",
        r#"{"version":7,"routes":[{"name":"llm","hostname":"llm.example","prefix":"/llm/","route_type":"stream","resumable":true,"gap_target_ms":300,"timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2,"sticky":true}],"services":[{"name":"llm","max_connections":394,"engine":{"slots":26,"kv_capacity_tokens":1400000,"stride":5,"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"loads_per_s":4.0,"loads_at_once":6,"form_ms":300,"usual":{"prompt":100.0,"answer":150.0},"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":0.3}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000},"tenants":[]}"#,
    );
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&program, &folder, store.address, number, 260).expect("node"))
        .collect();
    world::limit_time(nodes.iter().map(Node::pid).collect(), Duration::from_secs(110));
    let servers = (0..SERVERS).map(|number| {
        Arc::new(Server {
            id: format!("i-{number}"),
            address: SocketAddr::from(([127, 0, 0, 1], world::free_ports(1).expect("a port"))),
            life: Mutex::default(),
            running: AtomicU64::new(0),
        })
    });
    let site = Arc::new(Site {
        record: record.clone(),
        store: store.clone(),
        processes: nodes.iter().map(Node::pid).collect(),
        is_cut: AtomicBool::new(false),
        servers: servers.collect(),
    });
    for server in &site.servers {
        site.start(server).expect("server");
    }
    let open_heads = || -> Vec<Arc<Server>> {
        let is_open = |server: &&Arc<Server>| {
            let life = server.life.lock().unwrap();
            life.membership.as_ref().is_some_and(|own| own.rank == 0 && own.state == "open")
        };
        site.servers.iter().filter(is_open).cloned().collect()
    };
    let mut waited = 0;
    while open_heads().len() < SERVERS / 2 {
        thread::sleep(Duration::from_millis(100));
        waited += 1;
        if waited > 200 {
            eprintln!("the groups were not formed");
            return ExitCode::from(2);
        }
    }
    if !world::wait_ready(&nodes, Duration::from_secs(10)) {
        eprintln!("the nodes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(2));
    let has_ended = Arc::new(AtomicBool::new(false));
    let (broken, whole, other) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    for (number, node) in nodes.iter().enumerate() {
        let (front, record, has_ended) = (node.front, record.clone(), Arc::clone(&has_ended));
        let (broken, whole, other) = (Arc::clone(&broken), Arc::clone(&whole), Arc::clone(&other));
        thread::spawn(move || {
            let mut count = 0;
            while !has_ended.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("n{}-{count}", number + 1);
                let (record, broken, whole, other) = (record.clone(), Arc::clone(&broken), Arc::clone(&whole), Arc::clone(&other));
                thread::spawn(move || {
                    record.add(&format!("caller sends {id} to node {}", number + 1));
                    let got = call(front, &id).unwrap_or(Got { status: 0, events: 0, is_complete: false });
                    record.add(&format!("caller gets {} for {id}: {} events of {EVENTS}, {}", got.status, got.events, if got.is_complete { "complete" } else { "not complete" }));
                    if got.status == 200 && got.is_complete && got.events < EVENTS {
                        let text = format!("BROKEN: the answer to {id} ends as complete after {} of {EVENTS} events", got.events);
                        record.add(&text);
                        println!("{text}");
                        broken.fetch_add(1, Ordering::SeqCst);
                    } else if got.status == 200 && got.is_complete {
                        whole.fetch_add(1, Ordering::SeqCst);
                    } else {
                        other.fetch_add(1, Ordering::SeqCst);
                    }
                });
                let share = 0.5 + f64::from((count * 7 + number as u32 * 5) % 11) / 10.0;
                thread::sleep(Duration::from_secs_f64(share / 4.0));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    for round in 0..4 {
        if cuts {
            record.add(&format!("node {} is cut off from all servers", CUT + 1));
            site.is_cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(3_000));
        if ends {
            let heads = open_heads();
            if !heads.is_empty() {
                site.restart(&heads[round % heads.len()]);
            }
        }
        thread::sleep(Duration::from_millis(2_300));
        record.add("the cut is over");
        site.is_cut.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(4_500));
    }
    has_ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(8_500));
    let (broken, whole, other) = (broken.load(Ordering::SeqCst), whole.load(Ordering::SeqCst), other.load(Ordering::SeqCst));
    println!("answers: {whole} whole, {broken} cut short but complete to their callers, {other} refused or broken off");
    match (whole, broken) {
        (0, _) => ExitCode::from(2),
        (_, 0) => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
