//! Plays the cases of the second review with processes of the system and small stand-ins.
//!
//! Usage: lab CASE PROGRAM RECORD. Exits with 1 if the rule of the case was broken, with 0 if it held
//! and with 2 if the case could not run.

mod engine;
mod http;
mod json;
mod leaving;
mod node;
mod plain;
mod proxy;
mod reborn;
mod record;
mod recover;
mod stop;
mod store;
mod tenants;

use std::fs;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::Answer;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Time in which a node has to be ready at its first start.
const START_TIME: Duration = Duration::from_secs(15);

/// A store, the nodes before it and the record.
pub struct Lab {
    pub record: Record,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// Whether the case is to be played with its disruption.
    pub has_trouble: bool,
    directory: PathBuf,
    program: PathBuf,
    store_address: SocketAddr,
}

impl Lab {
    fn new(program: &Path, record: &Path) -> Result<Lab> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let (store, store_address) = Store::start()?;
        Ok(Lab {
            record: Record::create(record)?,
            store,
            nodes: Vec::new(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            directory,
            program: program.to_owned(),
            store_address,
        })
    }

    /// Starts a number of nodes and waits until they are ready.
    pub fn start_nodes(&mut self, count: u16) -> Result<()> {
        for number in 0..count {
            let node = Node::start(&self.program, &self.directory, number, self.store_address)?;
            self.nodes.push(node);
        }
        match self.nodes.iter().all(|node| node.wait_ready(START_TIME)) {
            true => Ok(()),
            false => Err(Error::other("a node is not ready")),
        }
    }

    /// Waits until a time since the start of the record.
    pub fn wait_until(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.record.now()));
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.nodes.clear();
        // Left behind only if another process holds it.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the text of a configuration; `tenants` holds the whole field, if there is one.
pub fn configuration(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}}{tenants}}}"#
    )
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: &'static str,
    pub deadline: Duration,
    /// Further headers, each with the end of its line.
    pub headers: String,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub node: usize,
    pub sent: Duration,
    pub ended: Duration,
    pub answer: Option<Answer>,
}

impl Outcome {
    /// Returns the status of the answer, or 0 without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }

    /// Returns whether the caller has got a whole success.
    pub fn is_served(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.is_complete)
    }
}

/// The outcomes of requests that are under way or have ended.
#[derive(Clone, Default)]
pub struct Callers {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Callers {
    /// Sends a request to a node on a new connection.
    pub fn send(&self, record: &Record, node: usize, address: SocketAddr, request: Request) {
        let (record, outcomes) = (record.clone(), Arc::clone(&self.outcomes));
        let thread = thread::spawn(move || {
            let text = format!(
                "POST {} HTTP/1.1\r\nHost: desk.example\r\nX-Jackdawstair-Request-Id: {}\r\n\
                 X-Jackdawstair-Deadline-Ms: {}\r\n{}Content-Length: 0\r\n\r\n",
                request.path,
                request.id,
                request.deadline.as_millis(),
                request.headers
            );
            let sent = record.now();
            record.write(format!("sent {} to node-{node}", request.id));
            let answer = http::call(address, &text, request.deadline);
            let result = match &answer {
                Ok(answer) if answer.is_complete => format!("{} whole", answer.status),
                Ok(answer) => format!("{} cut after {} bytes", answer.status, answer.body.len()),
                Err(error) => format!("no answer: {error}"),
            };
            record.write(format!("answered {}: {result}", request.id));
            outcomes.lock().unwrap().push(Outcome {
                id: request.id,
                node,
                sent,
                ended: record.now(),
                answer: answer.ok(),
            });
        });
        self.threads.lock().unwrap().push(thread);
    }

    /// Waits for all requests and returns their outcomes in the order of sending.
    pub fn finish(&self) -> Vec<Outcome> {
        for thread in self.threads.lock().unwrap().drain(..) {
            let _ = thread.join();
        }
        let mut outcomes = self.outcomes.lock().unwrap().clone();
        outcomes.sort_by_key(|outcome| outcome.sent);
        outcomes
    }
}

/// Whether a rule was broken.
pub type Verdict = Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = arguments.as_slice() else {
        eprintln!("usage: lab CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let play: fn(&mut Lab) -> Verdict = match case.as_str() {
        "cut" => reborn::play_cut,
        "freeze" => reborn::play_freeze,
        "recover" => recover::play,
        "stop" => stop::play,
        "tenants" => tenants::play,
        "leaving" => leaving::play,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let verdict = Lab::new(Path::new(program), Path::new(record)).and_then(|mut lab| {
        let verdict = play(&mut lab);
        let text = match &verdict {
            Ok(true) => "the rule was broken".to_owned(),
            Ok(false) => "the rule held".to_owned(),
            Err(error) => format!("the case could not run: {error}"),
        };
        lab.record.tell(text);
        verdict
    });
    match verdict {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
