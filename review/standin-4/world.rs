//! Stand-ins of the platform's store and of the platform's supervisor for the scripts of this review.
//! Only the standard library is used, so that the scripts build without a network.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Ports of which a node or server gets a part.
const BLOCK: u16 = 12;
const BLOCKS: u16 = 1_500;

/// A JSON value; numbers are kept as their text.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                let mut fields = BTreeMap::new();
                self.at += 1;
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Object(fields));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let name = self.string()?;
                            self.skip();
                            self.at += 1;
                            fields.insert(name, self.value()?);
                        }
                    }
                }
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => self.at += 1,
                        _ => items.push(self.value()?),
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b'n' => {
                self.at += 4;
                Some(Json::Null)
            }
            b't' => {
                self.at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                self.at += 5;
                Some(Json::Bool)
            }
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = String::from_utf8_lossy(&self.bytes[begin..self.at]);
                Some(Json::Number(text.into_owned()))
            }
        }
    }

    /// Reads a string; escapes other than the simple ones do not occur here.
    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    text.push(*self.bytes.get(self.at + 1)?);
                    self.at += 2;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Head and body of a message.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_owned()))
}

/// Reads the head of a message; none if the connection has ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(Message { first, headers, body: Vec::new() }))
}

/// Reads a message with a length or in chunks; none if the connection has ended before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn respond(stream: &mut impl Write, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created_rev":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.delete(key));
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            next_lease: 100,
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || drop(store.converse(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = expiring.lock();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, (_, until))| *until <= now);
            let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
            ended.iter().for_each(|lease| state.end_lease(*lease));
            expiring.state.1.notify_all();
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes a key as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn converse(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(message) = read_message(&mut reader)? {
            let (status, body) = self.answer(&message);
            respond(&mut stream, status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        let mut words = message.first.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| decode(value))
        };
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let name = path.strip_prefix("/jackdawstair/").unwrap_or_default();
        match (method, name.split('/').next().unwrap_or_default()) {
            ("GET", "kv-key") => {
                let key = parameter("key").unwrap_or_default();
                let state = self.lock();
                state.items.get(&key).map_or((404, "{}".into()), |item| (200, item.json(&key)))
            }
            ("GET", "kv-range") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let after = parameter("after").unwrap_or_default();
                let state = self.lock();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
                let revision = state.revision;
                let list = items.join(",");
                (200, format!(r#"{{"items":[{list}],"more_pages":false,"current_rev":{revision}}}"#))
            }
            ("GET", "kv-watch") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let number = |name| parameter(name).and_then(|text| text.parse().ok());
                let after = number("after").unwrap_or(0);
                self.watch(&prefix, after, number("wait_ms").unwrap_or(0))
            }
            ("POST", "kv-txn") => self.commit(&body),
            ("POST", "kv-lease") => {
                let ttl = body.get("ttl_ms").number();
                let mut state = self.lock();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", "kv-keep") => {
                let lease = name.split('/').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                let mut state = self.lock();
                let Some((ttl, until)) = state.leases.get_mut(&lease) else {
                    return (404, "{}".into());
                };
                *until = Instant::now() + Duration::from_millis(*ttl);
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("DELETE", "kv-lease-end") => {
                let lease = name.split('/').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                self.lock().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: u64) -> (u16, String) {
        let due = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let left = due.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let list = events.join(",");
                return (200, format!(r#"{{"events":[{list}],"current_rev":{revision}}}"#));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let expected = body.get("expected").list();
        let holds = expected.iter().all(|row| {
            let known = state.items.get(row.get("key").text());
            known.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.get("key").text();
                let known = state.items.get(key);
                known.map_or_else(|| format!(r#"{{"key":"{key}"}}"#), |item| item.json(key))
            });
            let list = items.collect::<Vec<_>>().join(",");
            return (412, format!(r#"{{"items":[{list}]}}"#));
        }
        let puts = body.get("puts").list();
        let is_known = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
        if !puts.iter().all(|put| is_known(put.get("lease").number())) {
            return (404, "{}".into());
        }
        state.revision += 1;
        for put in puts {
            let (key, lease) = (put.get("key").text(), put.get("lease").number());
            state.put(key, put.get("value").text().to_owned(), lease);
        }
        for key in body.get("delete").list() {
            state.delete(key.text());
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A process of a node, killed when it is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

impl Node {
    pub fn start(program: &Path, folder: &Path, store: SocketAddr, number: usize, memory_mb: u64) -> io::Result<Node> {
        let port = free_ports(10)?;
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let name = format!("front-{}", number + 1);
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready) = (at(port), at(port + 1));
        let settings = format!(
            "node_name={name}\nrole=entry\nmachine_class=front\nserves=front\nip=127.0.0.1\nzone={zone}\n\
             region=region-a\nzones.zone-a=region-a\nzones.zone-b=region-a\nzones.zone-c=region-a\n\
             listen.front={front}\nlisten.ready={ready}\ninternal_ports={},{}\nbootstrap=true\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4200\n\
             bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.retry_budget_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.budget_slack=130\nbounds.stall_ms=4000\nplatform.address={store}\n\
             platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\nheartbeat_ms=1200\n",
            port + 2,
            port + 9
        );
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let child = Node::spawn(program, &path)?;
        Ok(Node { name, front, ready, program: program.to_owned(), settings: path, child })
    }

    fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
        let log = fs::File::options().create(true).append(true).open(settings.with_extension("log"))?;
        Command::new(program)
            .arg("gateway")
            .env("JACKDAWSTAIR_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Stops the process as the platform does, with SIGKILL after the grace period, and starts it again.
    pub fn roll(&mut self, grace: Duration) -> io::Result<()> {
        unsafe { kill(self.pid() as i32, 15) };
        let due = Instant::now() + grace;
        while Instant::now() < due && self.child.try_wait()?.is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        self.child.wait()?;
        self.child = Node::spawn(&self.program, &self.settings)?;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /jackdawstair/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the first of some free ports in a row, below those that the system gives to connections.
///
/// The last port of a block stays bound, so that a second copy of a script takes another block although this one
/// has not bound its ports yet.
pub fn free_ports(count: u16) -> io::Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    assert!(count < BLOCK);
    let seed = u64::from(std::process::id()).wrapping_mul(2_654_435_761) >> 7;
    for _ in 0..BLOCKS {
        let place = NEXT.fetch_add(1, Ordering::SeqCst);
        let first = 11_000 + ((seed % u64::from(BLOCKS)) as u16 + place) % BLOCKS * BLOCK;
        let Ok(claim) = TcpListener::bind(("127.0.0.1", first + BLOCK - 1)) else {
            continue;
        };
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            CLAIMS.lock().unwrap().push(claim);
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Ends all nodes and this process if a script takes longer than it may.
pub fn limit_time(processes: Vec<u32>, limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for process in processes {
            unsafe { kill(process as i32, 9) };
        }
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let due = Instant::now() + limit;
    while Instant::now() < due {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Returns the process among some that holds the other end of a connection.
pub fn origin(stream: &TcpStream, processes: &[u32]) -> Option<usize> {
    let (SocketAddr::V4(local), SocketAddr::V4(peer)) = (stream.local_addr().ok()?, stream.peer_addr().ok()?) else {
        return None;
    };
    let socket = PathBuf::from(format!("socket:[{}]", inode(peer, local)?));
    processes.iter().position(|process| {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
            return false;
        };
        let mut targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        targets.any(|target| target == socket)
    })
}

/// Asks the kernel for the inode of one TCP socket. Its table of all sockets takes long to read when other
/// programs have left many connections behind.
fn inode(socket: SocketAddrV4, peer: SocketAddrV4) -> Option<u32> {
    unsafe extern "C" {
        #[link_name = "socket"]
        fn open_socket(domain: i32, kind: i32, protocol: i32) -> i32;
    }
    // AF_NETLINK, SOCK_RAW with SOCK_CLOEXEC, and NETLINK_SOCK_DIAG on Linux.
    let descriptor = unsafe { open_socket(16, 3 | 0o2_000_000, 4) };
    if descriptor < 0 {
        return None;
    }
    let mut kernel = unsafe { fs::File::from_raw_fd(descriptor) };
    let mut request = Vec::with_capacity(72);
    // Header: length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, number and sender.
    request.extend(72_u32.to_ne_bytes());
    request.extend(20_u16.to_ne_bytes());
    request.extend(1_u16.to_ne_bytes());
    request.extend([0; 8]);
    // AF_INET, IPPROTO_TCP, no extensions, all states.
    request.extend([2, 6, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(socket.port().to_be_bytes());
    request.extend(peer.port().to_be_bytes());
    for address in [socket.ip(), peer.ip()] {
        request.extend(address.octets());
        request.extend([0; 12]);
    }
    // Any interface, no cookie.
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    kernel.write_all(&request).ok()?;
    let mut answer = [0; 1_024];
    let length = kernel.read(&mut answer).ok()?;
    let kind = u16::from_ne_bytes(answer[4..6].try_into().ok()?);
    let inode = u32::from_ne_bytes(answer[84..88].try_into().ok()?);
    (length >= 88 && kind == 20 && inode != 0).then_some(inode)
}

/// Makes the system reset a connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

/// Record of a play: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(fs::File::create(path)?)), begun: Instant::now() })
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.seconds());
    }
}

