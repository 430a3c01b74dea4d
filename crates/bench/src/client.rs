//! Open-loop client: sends requests on schedule, whether or not earlier ones were answered.

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

/// Number of sending threads.
const SENDER_THREADS: u64 = 3;
/// Time to wait for outstanding answers after the last request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound of the latency histograms, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Interval between checks for outstanding answers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Receiver of requests.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address of the HTTP listener.
    pub(crate) address: SocketAddr,
    /// Replica group if the target is an engine, else empty.
    pub(crate) group: CompactString,
    /// Generation of the group if the target is an engine.
    pub(crate) generation: u64,
}

/// Load to generate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests per second.
    pub(crate) rate: u64,
    /// Time during which requests are sent.
    pub(crate) duration: Duration,
    /// Tokens per answer.
    pub(crate) tokens: u64,
    /// Whether answers are requested as streams.
    pub(crate) stream: bool,
}

/// Latencies and counts of a load.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Microseconds from sending a request to the first byte of its answer's body.
    pub(crate) first_byte: Histogram<u64>,
    /// Microseconds from sending a request to the end of its answer.
    pub(crate) whole_answer: Histogram<u64>,
    /// Number of complete answers.
    pub(crate) answered: u64,
    /// Number of requests without a complete answer.
    pub(crate) failed: u64,
    /// Tokens of the complete answers.
    pub(crate) tokens: u64,
    /// Time from the first request to the last answer.
    pub(crate) elapsed: Duration,
}

impl Outcome {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds fit three digits");
        Outcome {
            first_byte: histogram(),
            whole_answer: histogram(),
            answered: 0,
            failed: 0,
            tokens: 0,
            elapsed: Duration::ZERO,
        }
    }

    fn add(&mut self, other: &Outcome) {
        self.first_byte += &other.first_byte;
        self.whole_answer += &other.whole_answer;
        self.answered += other.answered;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.elapsed = self.elapsed.max(other.elapsed);
    }
}

/// Sends a load, distributing requests over the targets in turn.
///
/// # Panics
///
/// Panics if a sending thread panics.
pub(crate) fn run(load: Load, targets: &[Target]) -> Outcome {
    let mut total = Outcome::new();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..SENDER_THREADS)
            .map(|thread| scope.spawn(move || send_share(load, targets.to_vec(), thread)))
            .collect();
        for worker in workers {
            total.add(&worker.join().expect("a sender ends without a panic"));
        }
    });
    total
}

fn send_share(load: Load, targets: Vec<Target>, thread: u64) -> Outcome {
    System::new("bench", ntex::rt::DefaultRuntime).block_on(async move {
        let client = build_client().await;
        let outcome = Rc::new(RefCell::new(Outcome::new()));
        let start = Instant::now();
        let total = load.rate * load.duration.as_millis() as u64 / 1_000;
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
            number += SENDER_THREADS;
        }
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let done = outcome.borrow().answered + outcome.borrow().failed;
            if done >= sent || Instant::now() > deadline {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let mut outcome = outcome.borrow().clone();
        outcome.failed = sent - outcome.answered;
        outcome.elapsed = start.elapsed();
        outcome
    })
}

async fn build_client() -> Client {
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

/// A request and where to send it.
struct Request {
    client: Client,
    target: Target,
    load: Load,
    number: u64,
}

impl Request {
    async fn send(self, outcome: &RefCell<Outcome>) {
        // The timer is coarse, so latency counts from here; requests still leave on schedule.
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
        let mut first_byte_after = None;
        let mut tail = Vec::new();
        let mut events = 0;
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else {
                outcome.borrow_mut().failed += 1;
                return;
            };
            first_byte_after.get_or_insert_with(|| sent.elapsed());
            events += count_events(&mut tail, &chunk);
        }
        let mut outcome = outcome.borrow_mut();
        if !is_ok || (self.load.stream && events <= self.load.tokens) {
            outcome.failed += 1;
            return;
        }
        outcome.answered += 1;
        outcome.tokens += self.load.tokens;
        let micros = |duration: Duration| duration.as_micros() as u64;
        outcome
            .first_byte
            .saturating_record(micros(first_byte_after.unwrap_or_default()));
        outcome
            .whole_answer
            .saturating_record(micros(sent.elapsed()));
    }
}

/// Counts the ends of events in a chunk; `tail` holds the last byte of the previous chunk.
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
