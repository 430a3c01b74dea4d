//! Streams whose events' numbers grow by five, as an event holds five tokens, around a planned stop.

#[allow(dead_code)]
mod world;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::{Node, Record, Store, read_head, read_message, respond};

const NODES: usize = 3;
const STEP: u32 = 5;
const LAST: u32 = 100;
const GAP: Duration = Duration::from_millis(60);
const GRACE: f64 = 8.0;
const DEADLINE: f64 = 6.0;

/// A stream: node, sent, ended, whether it is complete, events.
type Stream = (usize, f64, f64, bool, u32);

#[derive(Default)]
struct Seen {
    streams: HashMap<String, Stream>,
    /// Times at which servers completed runs.
    completed: HashMap<String, f64>,
    /// Requests that servers have begun to run.
    begun: HashMap<String, f64>,
}

fn serve(stream: TcpStream, record: &Record, seen: &Mutex<Seen>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(message) = read_message(&mut reader)? {
        let id = message.header("x-jackdawstair-request-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            respond(&mut stream, 400, "X-Jackdawstair-Not-Executed: 1\r\n", b"")?;
            continue;
        }
        let from = message.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.add(&format!("server runs {id} after event {from}"));
        seen.lock().unwrap().begun.entry(id.clone()).or_insert(record.seconds());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Jackdawstair-Request-Id: {id}\r\nX-Jackdawstair-Response-Stamp: {id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut number = from;
        // A run goes on although its caller has left: what counts is when a sound server would have been done.
        while number < LAST {
            thread::sleep(GAP);
            number += STEP;
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        record.add(&format!("server completes {id}"));
        seen.lock().unwrap().completed.insert(id, record.seconds());
    }
    Ok(())
}

/// Returns whether a stream is complete, and its number of events.
fn call(front: SocketAddr, id: &str) -> std::io::Result<(bool, u32)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(DEADLINE)))?;
    let text = format!(
        "POST /llm/x HTTP/1.1\r\nHost: llm.example\r\nX-Jackdawstair-Request-Id: {id}\r\n\
         X-Jackdawstair-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\nhi",
        (DEADLINE * 1_000.0) as u64
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok((true, 0));
    }
    let mut events = 0;
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            return Ok((false, events));
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return Ok((false, events));
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok((false, events));
        }
        if size == 0 {
            return Ok((true, events));
        }
        events += 1;
    }
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
        r#"{"version":7,"routes":[{"name":"llm","hostname":"llm.example","prefix":"/llm/","route_type":"stream","resumable":true,"gap_target_ms":300,"timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2}],"services":[{"name":"llm","max_connections":394}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000},"tenants":[]}"#,
    );
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&program, &folder, store.address, number, 260).expect("node"))
        .collect();
    world::limit_time(nodes.iter().map(Node::pid).collect(), Duration::from_secs(110));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 0..3 {
        let port = world::free_ports(1).expect("a port");
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("server");
        let zone = ["zone-a", "zone-b", "zone-c"][number];
        store.write(
            &format!("servers/s{number}"),
            &format!(r#"{{"service":"llm","address":"127.0.0.1:{port}","zone":"{zone}","version":1,"slots":26,"state":"ready","warmup_left_ms":0,"seq":1,"born":1700000000000}}"#),
        );
        let (record, seen) = (record.clone(), Arc::clone(&seen));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, seen) = (record.clone(), Arc::clone(&seen));
                thread::spawn(move || drop(serve(stream, &record, &seen)));
            }
        });
    }
    if !world::wait_ready(&nodes, Duration::from_secs(15)) {
        eprintln!("the nodes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let has_ended = Arc::new(AtomicBool::new(false));
    for (number, node) in nodes.iter().enumerate() {
        let (front, record, seen, has_ended) = (node.front, record.clone(), Arc::clone(&seen), Arc::clone(&has_ended));
        thread::spawn(move || {
            let mut count = 0;
            while !has_ended.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("n{}-{count}", number + 1);
                let (record, seen) = (record.clone(), Arc::clone(&seen));
                thread::spawn(move || {
                    let sent = record.seconds();
                    record.add(&format!("caller sends {id} to node {}", number + 1));
                    let Ok((is_complete, events)) = call(front, &id) else {
                        record.add(&format!("caller cannot send {id}, or gets no answer"));
                        return;
                    };
                    record.add(&format!("caller gets {events} events for {id}, {}", if is_complete { "complete" } else { "not complete" }));
                    seen.lock().unwrap().streams.insert(id, (number, sent, record.seconds(), is_complete, events));
                });
                thread::sleep(Duration::from_millis(300));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let mut stops = Vec::new();
    if is_troubled {
        for (number, node) in nodes.iter_mut().enumerate() {
            record.add(&format!("SIGTERM to node {}", number + 1));
            stops.push((number, record.seconds()));
            node.roll(Duration::from_secs_f64(GRACE)).expect("the node starts again");
            record.add(&format!("node {} has started again", number + 1));
            thread::sleep(Duration::from_secs(5));
        }
    } else {
        thread::sleep(Duration::from_secs(20));
    }
    has_ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs_f64(DEADLINE + 0.5));
    let seen = seen.lock().unwrap();
    let mut lost = 0;
    for (id, (node, sent, ended, is_complete, events)) in &seen.streams {
        if *is_complete || ended - sent >= DEADLINE - 0.05 || !seen.begun.contains_key(id) {
            continue;
        }
        let stop = stops.iter().find(|(other, at)| other == node && *ended >= *at && *ended <= at + GRACE + 1.0);
        let Some((_, at)) = stop else {
            continue;
        };
        // Excused if a server was at work on it in the last sixth of the grace period.
        if *ended > at + GRACE * 5.0 / 6.0 {
            continue;
        }
        lost += 1;
        record.add(&format!("BROKEN: {id}, sent {sent:.3}, ended {ended:.3} after {events} events; SIGTERM to node {} at {at:.3}", node + 1));
    }
    let cut = seen.streams.values().filter(|(_, _, _, is_complete, _)| !is_complete).count();
    println!("{} streams, {cut} not complete, {lost} of them LOST around {} stops", seen.streams.len(), stops.len());
    match (seen.streams.is_empty(), lost) {
        (true, _) => ExitCode::from(2),
        (_, 0) => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
