//! The operator takes the last tenant away; callers go on with its key and with keys that nobody ever had.

#[allow(dead_code)]
mod world;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::{Node, Record, Store, read_message, respond};

const NODES: usize = 3;
/// Time from the acknowledgement of a version until it is in force (`config_apply_ms`).
const APPLY: f64 = 2.0;

fn configuration(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"ship","hostname":"app.example","prefix":"/ship/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"app","max_attempts":1}}],"services":[{{"name":"app","max_connections":96}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000}},"tenants":{tenants}}}"#
    )
}

fn call(front: SocketAddr, id: &str, key: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let text = format!(
        "POST /ship/x HTTP/1.1\r\nHost: app.example\r\nX-Jackdawstair-Request-Id: {id}\r\nX-Jackdawstair-Key: {key}\r\n\
         X-Jackdawstair-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(text.as_bytes())?;
    Ok(read_message(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status()))
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("program"));
    let folder = PathBuf::from(arguments.next().expect("folder"));
    let record = Record::create(&PathBuf::from(arguments.next().expect("record"))).expect("record");
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let store = Store::start().expect("store");
    store.write("op/config", &configuration(7, r#"[{"name":"team-a","api_keys":["key-a"]}]"#));
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&program, &folder, store.address, number, 260).expect("node"))
        .collect();
    world::limit_time(nodes.iter().map(Node::pid).collect(), Duration::from_secs(110));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let port = world::free_ports(1).expect("a port");
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("server");
    store.write(
        "servers/s0",
        &format!(r#"{{"service":"app","address":"127.0.0.1:{port}","zone":"zone-a","version":1,"slots":6,"state":"ready","warmup_left_ms":0,"seq":1,"born":1700000000000}}"#),
    );
    let (server_record, server_runs) = (record.clone(), Arc::clone(&runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (server_record.clone(), Arc::clone(&server_runs));
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
                let mut stream = stream;
                while let Ok(Some(message)) = read_message(&mut reader) {
                    let id = message.header("x-jackdawstair-request-id").unwrap_or_default().to_owned();
                    let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
                    if id.is_empty() {
                        let _ = respond(&mut stream, 400, "X-Jackdawstair-Not-Executed: 1\r\n", b"");
                        continue;
                    }
                    record.add(&format!("server runs {id} of tenant {:?}", message.header("x-jackdawstair-tenant")));
                    runs.lock().unwrap().push(id.clone());
                    let _ = respond(&mut stream, 200, &format!("{echo}X-Jackdawstair-Response-Stamp: {id}\r\n"), b"done");
                }
            });
        }
    });
    if !world::wait_ready(&nodes, Duration::from_secs(15)) {
        eprintln!("the nodes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let mut counts: BTreeMap<(&str, &str, u16), u32> = BTreeMap::new();
    let mut play = |phase: &'static str| {
        for count in 0..30 {
            for (kind, key) in [("held", "key-a".to_owned()), ("never", format!("no-key-{count}"))] {
                let node = &nodes[count % NODES];
                let id = format!("{phase}-{kind}-{count}");
                record.add(&format!("caller sends {id} with key {key} to {}", node.name));
                let status = call(node.front, &id, &key).unwrap_or(0);
                record.add(&format!("caller gets {status} for {id}"));
                *counts.entry((phase, kind, status)).or_default() += 1;
            }
            thread::sleep(Duration::from_millis(30));
        }
    };
    play("before");
    let tenants = if is_troubled { "[]" } else { r#"[{"name":"team-a","api_keys":[]}]"# };
    store.write("op/config", &configuration(9, tenants));
    record.add(&format!("version 9 is acknowledged, tenants {tenants}"));
    thread::sleep(Duration::from_secs_f64(APPLY + 1.0));
    play("after");
    let runs = runs.lock().unwrap();
    let never = runs.iter().filter(|id| id.contains("-never-")).count();
    println!("answers by phase, key and status: {counts:?}; {never} requests ran whose key no configuration ever held");
    match (runs.iter().any(|id| id.starts_with("before-held")), never) {
        (false, _) => ExitCode::from(2),
        (true, 0) => ExitCode::SUCCESS,
        (true, _) => ExitCode::from(1),
    }
}
