//! Servers of a service without model engines.

use std::collections::HashMap;
use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head};
use crate::record::Record;

/// What a server does with its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Time for a whole answer, or before each event.
    pub pause: Duration,
    /// Number of events of a stream; none for a whole answer.
    pub events: u64,
    /// Difference between the numbers of two events.
    pub step: u64,
    /// Whether a whole answer has no length and ends with its connection; it is sent in two halves with
    /// the pause between them.
    pub is_unframed: bool,
}

/// Returns the whole body of an answer without a length.
pub fn whole(id: &str) -> String {
    format!("{id}:").repeat(800 / (id.len() + 1))
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub head: Head,
    pub has_finished: bool,
}

#[derive(Default)]
struct State {
    is_leaving: bool,
    has_ended: bool,
    connections: Vec<TcpStream>,
}

/// A server; clones share it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Address in the store, which may be that of a link to the server.
    pub public_address: SocketAddr,
    work: Work,
    state: Arc<Mutex<State>>,
    runs: Runs,
    record: Record,
}

/// The runs of all servers in their order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Server {
    pub fn start(id: &str, work: Work, runs: &Runs, record: &Record) -> Result<Server> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Server::start_at(address, id, work, runs, record)
    }

    /// Starts a server at an address, which may be that of an earlier life.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        work: Work,
        runs: &Runs,
        record: &Record,
    ) -> Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server {
            id: id.to_owned(),
            address,
            public_address: address,
            work,
            state: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                if server.state.lock().unwrap().has_ended {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.state.lock().unwrap().connections.push(copy);
                }
                thread::spawn(move || server.converse(stream));
            }
        });
        Ok(server)
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        self.entry_of_life(service, state, 0)
    }

    /// Returns the entry of a later life of the server.
    pub fn entry_of_life(&self, service: &str, state: &str, life: u64) -> String {
        let born = 1_764_979_200_000 + life;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"zone-a","version":"v1","slots":6,"state":"{state}","warmup_left_ms":0,"seq":1,"born":{born}}}"#,
            self.public_address
        )
    }

    /// Says in all answers from now on that the server leaves.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_leaving = true;
    }

    /// Ends the server with all its connections.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.has_ended = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the acceptor, which then closes the listener.
        drop(TcpStream::connect(self.address));
    }

    fn has_ended(&self) -> bool {
        self.state.lock().unwrap().has_ended
    }

    fn converse(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(copy);
        while let Ok(Some((head, _))) = http::read_request(&mut reader) {
            if self.has_ended() || self.answer(&mut stream, head).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: Head) -> Result<()> {
        let id = head
            .header("x-jackdawstair-request-id")
            .unwrap_or("")
            .to_owned();
        let echo = format!("X-Jackdawstair-Request-Id: {id}\r\n");
        let expected = head.header("x-jackdawstair-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::respond(stream, 421, &echo, b"");
        }
        if id.is_empty() {
            return http::respond(stream, 400, "X-Jackdawstair-Not-Executed: 1\r\n", b"");
        }
        let run = Run {
            id: id.clone(),
            server: self.id.clone(),
            head,
            has_finished: false,
        };
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        self.record.write(format!("run {id} at {}", self.id));
        let mut headers = format!("{echo}X-Jackdawstair-Response-Stamp: s.{id}\r\n");
        if self.state.lock().unwrap().is_leaving {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        if self.work.events > 0 {
            headers.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes())?;
            let text = self.runs.lock().unwrap()[index]
                .head
                .header("last-event-id")
                .map(str::to_owned);
            let last: u64 = text.and_then(|text| text.parse().ok()).unwrap_or(0);
            for number in (1..=self.work.events).map(|event| event * self.work.step) {
                if number <= last {
                    continue;
                }
                thread::sleep(self.work.pause);
                let event = format!("id: {number}\ndata: {id}-{number}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        } else if self.work.is_unframed {
            let body = whole(&id);
            let (first, second) = body.split_at(body.len() / 2);
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n{first}").as_bytes())?;
            thread::sleep(self.work.pause);
            stream.write_all(second.as_bytes())?;
            self.finish(index, &id);
            return Err(std::io::Error::other("the answer ends with its connection"));
        } else {
            thread::sleep(self.work.pause);
            if self.has_ended() {
                return Err(std::io::Error::other("the server has ended"));
            }
            http::respond(stream, 200, &headers, format!("answer-{id}").as_bytes())?;
        }
        self.finish(index, &id);
        Ok(())
    }

    fn finish(&self, index: usize, id: &str) {
        self.runs.lock().unwrap()[index].has_finished = true;
        self.record.write(format!("finished {id} at {}", self.id));
    }
}

/// Returns the runs by request.
pub fn by_request(runs: &[Run]) -> HashMap<&str, Vec<&Run>> {
    let mut sorted: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        sorted.entry(&run.id).or_default().push(run);
    }
    sorted
}
