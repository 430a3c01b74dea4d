//! Runs nodes as processes and measures the resources that idle nodes use.

use std::env;
use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::token::Digest;
use serde_json::json;

/// Time that the stand-ins get to start.
const PLATFORM_START_TIME: Duration = Duration::from_secs(2);
/// Time that nodes get to start, and timeout of an answer of the operators' interface.
const NODE_START_TIME: Duration = Duration::from_secs(4);
/// Time that groups get to form.
const GROUP_START_TIME: Duration = Duration::from_secs(8);
/// Seconds over which the nodes are measured.
const MEASURED_SECONDS: usize = 15;
/// Clock ticks per second in the kernel's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;
/// VMs per fabric domain.
const DOMAIN_VMS: usize = 18;
/// Token of the operator.
const OPERATOR_TOKEN: &str = "bench-operator";
/// Number of nodes that serve as seeds.
const SEED_COUNT: usize = 4;

/// Measured sizes: VMs, nodes, availability zones.
const SIZES: [(usize, usize, usize); 7] = [
    (17, 1, 1),
    (50, 1, 1),
    (150, 1, 1),
    (32, 8, 8),
    (32, 16, 8),
    (32, 32, 8),
    (32, 64, 8),
];

/// Prints processor time, memory and traffic of idle nodes at several sizes.
///
/// # Errors
///
/// Returns an error if a process cannot be started.
pub(crate) fn run() -> Result<()> {
    println!(
        "{:<6} {:<6} {:<6} {:>10} {:>10} {:>10} {:>10} {:>16}",
        "VMs", "nodes", "zones", "cpu % mean", "cpu % max", "MB mean", "MB max", "B/s a node"
    );
    for (vms, nodes, zones) in SIZES {
        measure(vms, nodes, zones)?;
    }
    Ok(())
}

fn measure(vms: usize, nodes: usize, zones: usize) -> Result<()> {
    let trial = Trial::start(vms, nodes, zones)?;
    thread::sleep(NODE_START_TIME);
    trial.send_note(vms / zones);
    thread::sleep(GROUP_START_TIME);
    let before: Vec<f64> = trial
        .nodes
        .iter()
        .map(|node| read_cpu_seconds(node.id()))
        .collect();
    let start = Instant::now();
    let bytes_per_node = measure_quietest_second() / nodes as f64;
    let seconds = start.elapsed().as_secs_f64();
    let cpu_percent =
        |(node, before): (&Child, &f64)| (read_cpu_seconds(node.id()) - before) / seconds * 100.0;
    let cpu: Vec<f64> = trial.nodes.iter().zip(&before).map(cpu_percent).collect();
    let memory: Vec<f64> = trial
        .nodes
        .iter()
        .map(|node| read_resident_mib(node.id()))
        .collect();
    println!(
        "{vms:<6} {nodes:<6} {zones:<6} {:>10.2} {:>10.2} {:>10.1} {:>10.1} {bytes_per_node:>16.0}",
        mean(&cpu),
        largest(&cpu),
        mean(&memory),
        largest(&memory)
    );
    Ok(())
}

/// Returns the lowest loopback traffic of all measured seconds, in bytes per second.
///
/// The counter covers all loopback traffic of the machine, so the quietest second comes closest to
/// that of the nodes alone.
fn measure_quietest_second() -> f64 {
    let mut quietest = f64::MAX;
    for _ in 0..MEASURED_SECONDS {
        let before = read_loopback_bytes();
        let start = Instant::now();
        thread::sleep(Duration::from_secs(1));
        let bytes = (read_loopback_bytes() - before) as f64;
        quietest = quietest.min(bytes / start.elapsed().as_secs_f64());
    }
    quietest
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Processes of one trial, which are killed when it is dropped.
struct Trial {
    platform: Child,
    nodes: Vec<Child>,
    operators: SocketAddr,
    directory: PathBuf,
}

impl Trial {
    fn start(vms: usize, nodes: usize, zones: usize) -> Result<Trial> {
        let directory = env::temp_dir().join(format!("jackdaw-bench-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(start_error)?;
        let fleet = directory.join("fleet.yaml");
        fs::write(&fleet, render_fleet(vms, zones)).map_err(start_error)?;
        let (store, list_address, faults) = (pick_address(), pick_address(), pick_address());
        let platform = Command::new(find_program("jackdaw-standin")?)
            .arg("platform")
            .arg(&fleet)
            .args(["--store", &store.to_string()])
            .args(["--vms", &list_address.to_string()])
            .args(["--faults", &faults.to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(start_error)?;
        thread::sleep(PLATFORM_START_TIME);
        let ports: Vec<[SocketAddr; 3]> = (0..nodes)
            .map(|_| [pick_address(), pick_address(), pick_address()])
            .collect();
        let mut trial = Trial {
            platform,
            nodes: Vec::new(),
            operators: ports[0][1],
            directory,
        };
        for number in 0..nodes {
            let settings = trial.directory.join(format!("node-{number}.yaml"));
            let text = render_settings(number, zones, &ports, store, list_address);
            fs::write(&settings, text).map_err(start_error)?;
            let node = Command::new(find_program("jackdawd")?)
                .arg("run")
                .arg(&settings)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .map_err(start_error)?;
            trial.nodes.push(node);
        }
        Ok(trial)
    }

    /// Sends a release note that requests as many groups as fit into each zone.
    fn send_note(&self, vms_in_zone: usize) {
        let replicas = vms_in_zone / DOMAIN_VMS * (DOMAIN_VMS / 4) + vms_in_zone % DOMAIN_VMS / 4;
        let model =
            json!({"name": "m", "version": "1", "vms_per_replica": 4, "replicas": replicas});
        let body = json!({"id": "bench-1", "base": 0, "models": {"add": [model]}}).to_string();
        let request = format!(
            "POST /admin/v1/release-notes HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\
             authorization: Bearer {OPERATOR_TOKEN}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = String::new();
        let sent = TcpStream::connect(self.operators).and_then(|mut stream| {
            stream.set_read_timeout(Some(NODE_START_TIME))?;
            stream.write_all(request.as_bytes())?;
            stream.read_to_string(&mut answer)
        });
        if sent.is_err() || !answer.starts_with("HTTP/1.1 2") {
            let line = answer.lines().next().unwrap_or("no answer");
            eprintln!("note not accepted: {line}");
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.kill();
        }
        for node in &mut self.nodes {
            let _ = node.wait();
        }
        let _ = self.platform.kill();
        let _ = self.platform.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn start_error(error: std::io::Error) -> Error {
    Error::unreachable("start trial", "this machine", error)
}

/// Returns the path of a program in the directory of this one.
fn find_program(name: &str) -> Result<PathBuf> {
    let current = env::current_exe().map_err(start_error)?;
    Ok(current.parent().unwrap_or(Path::new(".")).join(name))
}

/// Returns an address on the loopback interface that was free a moment ago.
fn pick_address() -> SocketAddr {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    TcpListener::bind(any_port)
        .and_then(|listener| listener.local_addr())
        .unwrap_or(any_port)
}

fn render_fleet(vms: usize, zones: usize) -> String {
    let mut text = String::from("vms:\n");
    for zone in 0..zones {
        let mut unassigned = vms / zones;
        let mut domain = 1;
        while unassigned > 0 {
            let count = unassigned.min(DOMAIN_VMS);
            text += &format!("  - {{zone: z{zone}, domain: z{zone}/f{domain}, count: {count}}}\n");
            unassigned -= count;
            domain += 1;
        }
    }
    text
}

fn render_settings(
    number: usize,
    zones: usize,
    ports: &[[SocketAddr; 3]],
    store: SocketAddr,
    list_address: SocketAddr,
) -> String {
    let [callers, operators, peers] = ports[number];
    let join = |items: Vec<String>| items.join(", ");
    let seeds = join(
        ports
            .iter()
            .take(SEED_COUNT)
            .map(|ports| ports[2].to_string())
            .collect(),
    );
    let zone_names = join((0..zones).map(|zone| format!("z{zone}")).collect());
    let zone = number % zones;
    let token_sha256 = Digest::of(OPERATOR_TOKEN.as_bytes());
    format!(
        "node: n{number}\nregion: r\nzone: z{zone}\nzones: [{zone_names}]\ncallers: {callers}\n\
         operators: {operators}\npeers: {peers}\nseeds: [{seeds}]\npeer_token: bench\n\
         operator_tokens:\n  - {{name: duty, sha256: {token_sha256}, role: write}}\n\
         platform:\n  store: [{store}]\n  vms: {list_address}\nworkers: 2\nlog_level: error\n\
         engines_check_fence: true\nweights: {{downtime: 4, stranded: 1}}\n"
    )
}

/// Returns the processor time of a process in seconds, or 0 if it cannot be read.
fn read_cpu_seconds(process: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let sum: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    sum / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in MiB, or 0 if it cannot be read.
fn read_resident_mib(process: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1_024.0
}

/// Returns the bytes that the loopback interface has received, or 0 if they cannot be read.
fn read_loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or(0)
}
