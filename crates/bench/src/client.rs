//! An open-loop client: requests leave at their time, whether or not earlier ones were answered.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures::StreamExt as _;
use hdrhistogram::Histogram;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::rt::System;
use serde_json::json;

use crate::target::{MODEL, TOKEN};

/// Threads that send.
const THREADS: u64 = 3;
/// Time after the last request in which answers still count.
const TAIL: Duration = Duration::from_secs(10);
/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;
/// Step in which the end is awaited.
const STEP: Duration = Duration::from_millis(20);

/// Where requests go.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address.
    pub(crate) address: SocketAddr,
    /// Replica group, for an engine.
    pub(crate) group: CompactString,
    /// Generation of the group, for an engine.
    pub(crate) generation: u64,
}

/// The load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests a second.
    pub(crate) rate: u64,
    /// Time for which requests are sent.
    pub(crate) span: Duration,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
    /// Whether answers come as streams.
    pub(crate) stream: bool,
}

/// What came of the load.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Microseconds from sending a request to the first byte of its answer's body.
    pub(crate) first: Histogram<u64>,
    /// Microseconds from sending a request to the end of its answer.
    pub(crate) whole: Histogram<u64>,
    /// Answers that were whole.
    pub(crate) answered: u64,
    /// Requests without a whole answer.
    pub(crate) failed: u64,
    /// Tokens received.
    pub(crate) tokens: u64,
    /// Time from the first request to the last answer.
    pub(crate) took: Duration,
}

impl Outcome {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds fit three digits");
        Outcome {
            first: histogram(),
            whole: histogram(),
            answered: 0,
            failed: 0,
            tokens: 0,
            took: Duration::ZERO,
        }
    }

    fn add(&mut self, other: &Outcome) {
        self.first += &other.first;
        self.whole += &other.whole;
        self.answered += other.answered;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.took = self.took.max(other.took);
    }
}

/// Sends a load to targets in turn.
pub(crate) fn run(load: Load, targets: &[Target]) -> Outcome {
    let mut total = Outcome::new();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || send_all(load, targets.to_vec(), thread)))
            .collect();
        for worker in workers {
            total.add(&worker.join().expect("a sender ends without a panic"));
        }
    });
    total
}

fn send_all(load: Load, targets: Vec<Target>, thread: u64) -> Outcome {
    System::new("bench", ntex::rt::DefaultRuntime).block_on(async move {
        let client = connect().await;
        let outcome = Rc::new(RefCell::new(Outcome::new()));
        let start = Instant::now();
        let total = load.rate * load.span.as_millis() as u64 / 1_000;
        let mut sent = 0;
        let mut number = thread;
        while number < total {
            let due = start + Duration::from_nanos(number * 1_000_000_000 / load.rate);
            tokio::time::sleep_until(due.into()).await;
            let target = targets[number as usize % targets.len()].clone();
            let request = Request {
                client: client.clone(),
                target,
                load,
                number,
            };
            let outcome = Rc::clone(&outcome);
            ntex::rt::spawn(async move { request.send(&outcome).await });
            sent += 1;
            number += THREADS;
        }
        let end = Instant::now() + TAIL;
        loop {
            let done = outcome.borrow().answered + outcome.borrow().failed;
            if done >= sent || Instant::now() > end {
                break;
            }
            tokio::time::sleep(STEP).await;
        }
        let mut outcome = outcome.borrow().clone();
        outcome.failed = sent - outcome.answered;
        outcome.took = start.elapsed();
        outcome
    })
}

async fn connect() -> Client {
    let connector = Connector::default()
        .limit(0)
        .keep_alive(ntex::time::Seconds(15));
    Client::builder()
        .connector::<&str>(connector)
        .disable_timeout()
        .response_payload_limit(usize::MAX)
        .build(SharedCfg::new("bench"))
        .await
        .expect("the client is built from constants")
}

/// One request under way.
struct Request {
    client: Client,
    target: Target,
    load: Load,
    number: u64,
}

impl Request {
    async fn send(self, outcome: &RefCell<Outcome>) {
        // The timer is coarse, so time counts from here; requests leave on time all the same.
        let sent = Instant::now();
        let body = json!({
            "model": MODEL,
            "stream": self.load.stream,
            "max_tokens": self.load.tokens,
            "messages": [{"role": "user", "content": format!("prompt {}", self.number % 500)}],
        });
        let mut request = self
            .client
            .post(format!(
                "http://{}/v1/chat/completions",
                self.target.address
            ))
            .header("x-request-id", format!("bench-{}", self.number))
            .header("authorization", format!("Bearer {TOKEN}"));
        if !self.target.group.is_empty() {
            request = request
                .header("x-jackdaw-group", self.target.group.as_str())
                .header("x-jackdaw-generation", self.target.generation.to_string());
        }
        let Ok(mut response) = request.send_json(&body).await else {
            outcome.borrow_mut().failed += 1;
            return;
        };
        let is_ok = response.status().is_success();
        let mut first = None;
        let mut tail = Vec::new();
        let mut events = 0;
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else {
                outcome.borrow_mut().failed += 1;
                return;
            };
            first.get_or_insert_with(|| sent.elapsed());
            events += count_events(&mut tail, &chunk);
        }
        let mut outcome = outcome.borrow_mut();
        if !is_ok || (self.load.stream && events <= self.load.tokens) {
            outcome.failed += 1;
            return;
        }
        outcome.answered += 1;
        outcome.tokens += self.load.tokens;
        let micros = |span: Duration| span.as_micros() as u64;
        outcome
            .first
            .saturating_record(micros(first.unwrap_or_default()));
        outcome.whole.saturating_record(micros(sent.elapsed()));
    }
}

/// Counts the ends of events; `tail` keeps whether the last chunk ended in a line feed.
fn count_events(tail: &mut Vec<u8>, chunk: &[u8]) -> u64 {
    let mut events = 0;
    let mut last = tail.pop().unwrap_or_default();
    for byte in chunk {
        events += u64::from(*byte == b'\n' && last == b'\n');
        last = *byte;
    }
    tail.push(last);
    events
}
