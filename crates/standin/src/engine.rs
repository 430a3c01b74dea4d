//! Stand-in for the model engine on one VM.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use futures::stream;
use jackdaw_core::errors::Result;
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::order::{Command, Order};
use jackdaw_core::units::{Fence, Millis};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use crate::host::Host;
use crate::service::REQUEST_ID;
use crate::tokens;

/// Header with the token offset at which a stream is resumed.
pub const RESUME_AT: &str = "x-resume-at";

/// Header with the replica group that the sender means.
pub const GROUP: &str = "x-jackdaw-group";

/// Header with the generation that the sender means.
pub const GENERATION: &str = "x-jackdaw-generation";

/// Text in a prompt that crashes the engine.
pub const POISON: &str = "crash-the-engine";

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether an order with an old fencing number is refused.
    pub checks_fence: bool,
    /// Time between two tokens.
    pub token_interval: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            checks_fence: true,
            token_interval: Millis(0),
        }
    }
}

/// What an engine holds.
#[derive(Debug, Default)]
struct Held {
    membership: Option<Membership>,
    fence: Fence,
    ready: bool,
}

/// State of one engine, shared between its server and its owner.
#[derive(Debug)]
pub struct Engine {
    vm: CompactString,
    options: Options,
    held: Mutex<Held>,
    boot: AtomicU64,
    running: AtomicU32,
    served: AtomicU64,
    refused_orders: AtomicU64,
    leaving: AtomicBool,
    crashed: watch::Sender<bool>,
    paused: watch::Sender<bool>,
}

impl Engine {
    /// Creates an engine that belongs to no replica group.
    #[must_use]
    pub fn new(vm: &str, options: Options) -> Arc<Engine> {
        Arc::new(Engine {
            vm: vm.into(),
            options,
            held: Mutex::new(Held::default()),
            boot: AtomicU64::new(1),
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            refused_orders: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            crashed: watch::Sender::new(false),
            paused: watch::Sender::new(false),
        })
    }

    /// Gets the engine's own report.
    #[must_use]
    pub fn report(&self) -> Report {
        let held = self.lock();
        Report {
            vm: self.vm.clone(),
            boot: self.boot.load(Ordering::SeqCst),
            membership: held.membership.clone(),
            ready: held.ready,
            leaving: self.leaving.load(Ordering::SeqCst),
            fence: held.fence,
            load: Load {
                running: self.running.load(Ordering::SeqCst),
                waiting: 0,
            },
        }
    }

    /// Returns the number of completions begun.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Returns the number of orders refused for an old fencing number.
    #[must_use]
    pub fn refused_orders(&self) -> u64 {
        self.refused_orders.load(Ordering::SeqCst)
    }

    /// Makes every answer wait, or lets answers go on.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Sets whether the engine says that it is about to stop.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Forgets everything, as a re-imaged VM does.
    pub fn reset(&self) {
        self.boot.fetch_add(1, Ordering::SeqCst);
        self.set_leaving(false);
        self.crashed.send_replace(false);
        *self.lock() = Held::default();
    }

    /// Breaks off every answer, as the loss of the VM does.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// Returns whether the engine is lost.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    fn obey(&self, order: &Order) -> bool {
        let mut held = self.lock();
        if self.options.checks_fence && order.fence < held.fence {
            self.refused_orders.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        held.fence = held.fence.max(order.fence);
        held.membership = match &order.command {
            Command::Join {
                group,
                generation,
                model,
                version,
                rank,
                ..
            } => Some(Membership {
                group: group.clone(),
                generation: *generation,
                model: model.clone(),
                version: version.clone(),
                rank: *rank,
            }),
            Command::Leave => None,
        };
        held.ready = held.membership.is_some();
        true
    }

    fn serves(&self, group: &str, generation: &str) -> bool {
        let held = self.lock();
        let Some(membership) = &held.membership else {
            return false;
        };
        let right_group = group.is_empty() || membership.group == group;
        let right_generation =
            generation.is_empty() || membership.generation.0.to_string() == generation;
        held.ready && right_group && right_generation
    }

    async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let mut crashed = self.crashed.subscribe();
        tokio::select! {
            _ = paused.wait_for(|paused| !paused) => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the server of an engine.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(address: SocketAddr, engine: Arc<Engine>) -> Result<Host> {
    let routes = move |config: &mut ServiceConfig| {
        config
            .state(Arc::clone(&engine))
            .route("/jackdaw/report", web::get().to(report))
            .route("/jackdaw/order", web::post().to(order))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/chat/completions", web::post().to(complete));
    };
    Host::start(address, Arc::new(routes))
}

async fn report(engine: types::State<Arc<Engine>>) -> HttpResponse {
    engine.wait_while_paused().await;
    if engine.is_crashed() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&engine.report())
}

async fn order(engine: types::State<Arc<Engine>>, order: types::Json<Order>) -> HttpResponse {
    engine.wait_while_paused().await;
    if engine.obey(&order) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::Conflict().finish()
    }
}

/// Message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// The parts of a completion request that the stand-in reads.
#[derive(Debug, Deserialize)]
struct Request {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl Request {
    fn text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        self.messages
            .iter()
            .map(|message| message.content.as_str())
            .collect::<Vec<_>>()
            .join("\n")
    }
}

/// Counts a running completion until it is dropped.
struct Running(Arc<Engine>);

impl Running {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.running.fetch_add(1, Ordering::SeqCst);
        engine.served.fetch_add(1, Ordering::SeqCst);
        Running(Arc::clone(engine))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A completion under way.
struct Work {
    running: Running,
    prompt: String,
    model: String,
    id: String,
    chat: bool,
    next: u64,
    count: u64,
    done: bool,
}

async fn complete(
    request: HttpRequest,
    body: types::Json<Request>,
    engine: types::State<Arc<Engine>>,
) -> HttpResponse {
    engine.wait_while_paused().await;
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    if engine.is_crashed() || !engine.serves(&header(GROUP), &header(GENERATION)) {
        return HttpResponse::Conflict().finish();
    }
    let work = Work {
        running: Running::new(&engine),
        prompt: body.text(),
        model: body.model.clone(),
        id: header(REQUEST_ID),
        chat: request.path().ends_with("/chat/completions"),
        next: header(RESUME_AT).parse().unwrap_or_default(),
        count: body.max_tokens.unwrap_or(tokens::DEFAULT_TOKENS),
        done: false,
    };
    if work.prompt.contains(POISON) {
        engine.crash();
        return broken_answer(&work.id);
    }
    if body.stream {
        return stream_answer(work);
    }
    whole_answer(work).await
}

/// Announces an answer and then breaks off, as a crashing engine does.
fn broken_answer(id: &str) -> HttpResponse {
    let error = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "engine crashed");
    HttpResponse::Ok()
        .header(REQUEST_ID, id)
        .streaming(stream::iter([Err::<Bytes, std::io::Error>(error)]))
}

async fn whole_answer(work: Work) -> HttpResponse {
    let engine = Arc::clone(&work.running.0);
    for _ in 0..work.count {
        wait_for_token(&engine).await;
    }
    if engine.is_crashed() {
        return broken_answer(&work.id);
    }
    let text = tokens::answer(&work.prompt, work.count);
    let choice = if work.chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "stop"})
    };
    HttpResponse::Ok().header(REQUEST_ID, work.id.as_str()).json(&json!({
        "id": work.id,
        "object": if work.chat { "chat.completion" } else { "text_completion" },
        "created": 0,
        "model": work.model,
        "choices": [choice],
        "usage": {"prompt_tokens": 0, "completion_tokens": work.count, "total_tokens": work.count},
    }))
}

fn stream_answer(work: Work) -> HttpResponse {
    let id = work.id.clone();
    let events = stream::unfold(work, |mut work| async move {
        if work.done {
            return None;
        }
        let engine = Arc::clone(&work.running.0);
        if work.next >= work.count {
            work.done = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), work));
        }
        wait_for_token(&engine).await;
        if engine.is_crashed() {
            work.done = true;
            let error = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "engine crashed");
            return Some((Err(error), work));
        }
        let event = event(&work);
        work.next += 1;
        Some((Ok::<Bytes, std::io::Error>(event), work))
    });
    HttpResponse::Ok()
        .header(REQUEST_ID, id)
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

fn event(work: &Work) -> Bytes {
    let text = tokens::token(&work.prompt, work.next);
    let finish = (work.next + 1 == work.count).then_some("stop");
    let choice = if work.chat {
        json!({"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": finish})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    };
    let object = if work.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let message = json!({
        "id": work.id, "object": object, "created": 0, "model": work.model, "choices": [choice],
    });
    Bytes::from(format!("data: {message}\n\n"))
}

async fn wait_for_token(engine: &Engine) {
    engine.wait_while_paused().await;
    let interval = engine.options.token_interval;
    if interval.0 == 0 {
        return;
    }
    let mut crashed = engine.crashed.subscribe();
    tokio::select! {
        () = tokio::time::sleep(interval.duration()) => {}
        _ = crashed.wait_for(|crashed| *crashed) => {}
    }
}
