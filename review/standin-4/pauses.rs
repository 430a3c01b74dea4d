//! A node that is cut off from all servers sends its requests through another node; a server that is
//! full for a moment asks the machine from which they come for a pause.

#[allow(dead_code)]
mod world;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{Node, Record, Store, read_message, respond};

const NODES: usize = 6;
const SERVERS: usize = 4;
/// Requests a second that the callers of one node send.
const RATE: f64 = 12.0;
/// Length of a pause in seconds.
const PAUSE: f64 = 4.0;
/// Time for which a server is full.
const FULL: Duration = Duration::from_millis(60);
/// Largest number of requests in a pause by the rule.
const MOST: usize = 2;

/// State that the servers share.
struct Site {
    record: Record,
    processes: Vec<u32>,
    /// Whether the first node is cut off from all servers.
    is_cut: AtomicBool,
    /// Time until which each server refuses requests.
    full_until: Mutex<Vec<Instant>>,
    /// Refusals: server, node, time.
    refusals: Mutex<Vec<(usize, usize, f64)>>,
    /// Requests that reached servers: server, node, time.
    arrivals: Mutex<Vec<(usize, usize, f64)>>,
}

fn serve(site: &Arc<Site>, number: usize, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(node) = world::origin(&stream, &site.processes) else {
        site.record.add("a connection whose other end no node holds any more is closed");
        return Ok(());
    };
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let message = read_message(&mut reader)?;
        if node == 0 && site.is_cut.load(Ordering::SeqCst) {
            // The link is cut: nothing passes.
            thread::sleep(Duration::from_secs(8));
            return Ok(());
        }
        let Some(message) = message else {
            return Ok(());
        };
        let id = message.header("x-jackdawstair-request-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            respond(&mut stream, 400, "X-Jackdawstair-Not-Executed: 1\r\n", b"")?;
            continue;
        }
        let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
        let now = site.record.seconds();
        site.arrivals.lock().unwrap().push((number, node, now));
        if Instant::now() < site.full_until.lock().unwrap()[number] {
            let headers = format!("{echo}X-Jackdawstair-Not-Executed: 1\r\nRetry-After: {PAUSE}\r\n");
            respond(&mut stream, 503, &headers, b"")?;
            site.refusals.lock().unwrap().push((number, node, site.record.seconds()));
            site.record.add(&format!("server s{number} answers 503 Retry-After {PAUSE} to {id} from node {}", node + 1));
            continue;
        }
        site.record.add(&format!("server s{number} runs {id} from node {}", node + 1));
        thread::sleep(Duration::from_millis(10));
        let headers = format!("{echo}X-Jackdawstair-Response-Stamp: {id}\r\n");
        respond(&mut stream, 200, &headers, id.as_bytes())?;
    }
}

fn call(front: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
    let text = format!(
        "GET /app/x HTTP/1.1\r\nHost: app.example\r\nX-Jackdawstair-Request-Id: {id}\r\n\
         X-Jackdawstair-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("program"));
    let folder = PathBuf::from(arguments.next().expect("folder"));
    let record = Record::create(&PathBuf::from(arguments.next().expect("record"))).expect("record");
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let store = Store::start().expect("store");
    store.write(
        "op/config",
        r#"{"version":7,"routes":[{"name":"app","hostname":"app.example","prefix":"/app/","route_type":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":1,"service":"app","max_attempts":2}],"services":[{"name":"app","max_connections":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000},"tenants":[]}"#,
    );
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&program, &folder, store.address, number, 260).expect("node"))
        .collect();
    world::limit_time(nodes.iter().map(Node::pid).collect(), Duration::from_secs(110));
    let site = Arc::new(Site {
        processes: nodes.iter().map(Node::pid).collect(),
        record: record.clone(),
        is_cut: AtomicBool::new(false),
        full_until: Mutex::new(vec![Instant::now(); SERVERS]),
        refusals: Mutex::default(),
        arrivals: Mutex::default(),
    });
    for number in 0..SERVERS {
        let port = world::free_ports(1).expect("a port");
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("server");
        let address = listener.local_addr().expect("server");
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        store.write(
            &format!("servers/s{number}"),
            &format!(
                r#"{{"service":"app","address":"{address}","zone":"{zone}","version":1,"slots":16,"state":"ready","warmup_left_ms":0,"seq":1,"born":1700000000000}}"#
            ),
        );
        let site = Arc::clone(&site);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let site = Arc::clone(&site);
                thread::spawn(move || drop(serve(&site, number, stream)));
            }
        });
    }
    if !world::wait_ready(&nodes, Duration::from_secs(15)) {
        eprintln!("the nodes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let has_ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<(usize, u16), u32>>> = Arc::default();
    for (number, node) in nodes.iter().enumerate() {
        let (front, record) = (node.front, record.clone());
        let (has_ended, answers) = (Arc::clone(&has_ended), Arc::clone(&answers));
        thread::spawn(move || {
            let mut count = 0_u32;
            while !has_ended.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("n{}-{count}", number + 1);
                let (record, answers) = (record.clone(), Arc::clone(&answers));
                thread::spawn(move || {
                    record.add(&format!("caller sends {id} to node {}", number + 1));
                    let status = call(front, &id).unwrap_or(0);
                    record.add(&format!("caller gets {status} for {id}"));
                    *answers.lock().unwrap().entry((number, status)).or_default() += 1;
                });
                // Intervals differ, so that the nodes' callers do not keep step.
                let share = 0.5 + f64::from((count * 7 + number as u32 * 5) % 11) / 10.0;
                thread::sleep(Duration::from_secs_f64(share / RATE));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    for _ in 0..3 {
        if is_troubled {
            record.add("node 1 is cut off from all servers");
            site.is_cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(2_000));
        // One server after the other is full for a moment.
        for number in (0..SERVERS - 1).chain(0..SERVERS - 1) {
            record.add(&format!("server s{number} is full for {} ms", FULL.as_millis()));
            site.full_until.lock().unwrap()[number] = Instant::now() + FULL;
            thread::sleep(Duration::from_millis(500));
        }
        thread::sleep(Duration::from_millis(500));
        record.add("node 1 reaches the servers again");
        site.is_cut.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(6_000));
    }
    has_ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(2_600));
    let arrivals = site.arrivals.lock().unwrap().clone();
    let refusals = site.refusals.lock().unwrap().clone();
    let mut broken = 0;
    for (server, node, at) in &refusals {
        if *node == 0 {
            // The cut excuses its own machine.
            continue;
        }
        let inside = arrivals.iter().filter(|(other, from, time)| {
            other == server && from == node && *time > at + 0.5 && *time < at + PAUSE
        });
        let count = inside.count();
        if count > MOST {
            broken += 1;
            let text = format!("BROKEN: s{server} got {count} requests from node {} in the pause that it asked for at {at:.3}", node + 1);
            record.add(&text);
            println!("{text}");
        }
    }
    println!("{} refusals with a pause, {broken} of them not kept; answers by node and status: {:?}", refusals.len(), {
        let answers = answers.lock().unwrap();
        let mut list: Vec<_> = answers.iter().map(|((node, status), count)| (node + 1, *status, *count)).collect();
        list.sort_unstable();
        list
    });
    match (refusals.is_empty(), broken > 0) {
        (true, _) => ExitCode::from(2),
        (false, true) => ExitCode::from(1),
        (false, false) => ExitCode::SUCCESS,
    }
}
