//! Stand-in of the platform's store: items, leases, transactions and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Value, decode_base64, encode_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes as the text of their events.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// Time for an answer, as the sheets of the deployments have it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_rev":{},"lease":{}}}"#,
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), item_text(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

impl Store {
    /// Starts a store on a free port and returns it with its address.
    pub fn start() -> Result<(Store, SocketAddr)> {
        let store = Store {
            state: Arc::default(),
            is_down: Arc::default(),
            connections: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 10;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                if let Ok(copy) = stream.try_clone() {
                    store.connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || store.converse(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.change(State::expire);
            }
        });
        Ok((store, address))
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().unwrap();
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    /// Writes a value as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.change(|state| state.delete(key));
    }

    /// Refuses all calls with 503 from now on, or serves again; watches that wait are cut.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        if is_down {
            for connection in self.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    /// Waits until the store is not down.
    pub fn wait_up(&self) {
        while self.is_down.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn converse(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(copy);
        while let Ok(Some((head, body))) = http::read_request(&mut reader) {
            let (status, answer) = if self.is_down.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                let body = Value::parse(&String::from_utf8_lossy(&body));
                self.answer(head.request().1, &body)
            };
            thread::sleep(ANSWER_TIME);
            let headers = "Content-Type: application/json\r\n";
            if http::respond(&mut stream, status, headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &Value) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(own, _)| *own == name).map(|(_, value)| value)
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        let empty = "{}".to_owned();
        let call = path.strip_prefix("/jackdawstair/").unwrap_or("");
        let (call, id) = call.split_once('/').unwrap_or((call, ""));
        match call {
            "kv-key" => {
                let key = parameter("key").unwrap_or("");
                let state = self.state.0.lock().unwrap();
                let item = state.items.get(key);
                item.map_or((404, empty), |item| (200, item_text(key, item)))
            }
            "kv-range" => {
                let (prefix, after) = (parameter("prefix").unwrap_or(""), parameter("after"));
                let state = self.state.0.lock().unwrap();
                let items = state.items.iter().filter(|(key, _)| {
                    key.starts_with(prefix) && key.as_str() > after.unwrap_or("")
                });
                let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
                let (items, revision) = (items.join(","), state.revision);
                let answer =
                    format!(r#"{{"items":[{items}],"more_pages":false,"current_rev":{revision}}}"#);
                (200, answer)
            }
            "kv-watch" => {
                let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
                (
                    200,
                    self.wait(parameter("prefix").unwrap_or(""), after, wait),
                )
            }
            "kv-txn" => self.commit(body),
            "kv-lease" => self.change(|state| {
                let ttl = body.get("ttl_ms").number().unwrap_or(1_000);
                state.last_lease += 1;
                let (lease, span) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (span, Instant::now() + span));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }),
            "kv-keep" => self.change(|state| {
                let lease = id
                    .parse()
                    .ok()
                    .and_then(|id: u64| state.leases.get_mut(&id));
                lease.map_or((404, empty), |(span, end)| {
                    *end = Instant::now() + *span;
                    (200, format!(r#"{{"ttl_ms":{}}}"#, span.as_millis()))
                })
            }),
            "kv-lease-end" => {
                self.change(|state| state.end_lease(id.parse().unwrap_or(0)));
                (200, empty)
            }
            _ => (404, empty),
        }
    }

    fn wait(&self, prefix: &str, after: u64, wait: u64) -> String {
        let due = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = due.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Value) -> (u16, String) {
        self.change(|state| {
            let expected = body.get("expected").list();
            let holds = expected.iter().all(|row| {
                let item = state.items.get(row.get("key").text());
                item.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0)
            });
            if !holds {
                let rows = expected.iter().map(|row| {
                    let key = row.get("key").text();
                    let item = state.items.get(key);
                    item.map_or(format!(r#"{{"key":"{key}"}}"#), |item| item_text(key, item))
                });
                let rows: Vec<String> = rows.collect();
                return (412, format!(r#"{{"items":[{}]}}"#, rows.join(",")));
            }
            let puts = body.get("puts").list();
            let lease = |put: &Value| put.get("lease").number().unwrap_or(0);
            let are_alive = puts
                .iter()
                .all(|put| lease(put) == 0 || state.leases.contains_key(&lease(put)));
            if !are_alive {
                return (404, "{}".to_owned());
            }
            for put in puts {
                let value = decode_base64(put.get("value").text());
                state.put(put.get("key").text(), value, lease(put));
            }
            let deleted = body.get("delete").list().iter();
            deleted.for_each(|key| state.delete(key.text()));
            (200, format!(r#"{{"revision":{}}}"#, state.revision))
        })
    }
}
