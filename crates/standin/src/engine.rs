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

/// Header with the index of the token at which a stream resumes.
pub const RESUME_AT: &str = "x-resume-at";

/// Header with the replica group that a request is meant for.
pub const GROUP: &str = "x-jackdaw-group";

/// Header with the generation of the replica group that a request is meant for.
pub const GENERATION: &str = "x-jackdaw-generation";

/// Text in a prompt that crashes the engine.
pub const POISON: &str = "crash-the-engine";

/// Behaviour of an engine.
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

/// Membership of an engine in a replica group, and the highest fencing number that it accepted.
#[derive(Debug, Default)]
struct MemberState {
    membership: Option<Membership>,
    fence: Fence,
    ready: bool,
}

/// State of one engine, shared between its server and its owner.
#[derive(Debug)]
pub struct Engine {
    vm: CompactString,
    options: Options,
    member: Mutex<MemberState>,
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
            member: Mutex::new(MemberState::default()),
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
        let member = self.lock();
        Report {
            vm: self.vm.clone(),
            boot: self.boot.load(Ordering::SeqCst),
            membership: member.membership.clone(),
            ready: member.ready,
            leaving: self.leaving.load(Ordering::SeqCst),
            fence: member.fence,
            load: Load {
                running: self.running.load(Ordering::SeqCst),
                waiting: 0,
            },
        }
    }

    /// Returns the number of completions started.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Returns the number of orders refused for an old fencing number.
    #[must_use]
    pub fn refused_orders(&self) -> u64 {
        self.refused_orders.load(Ordering::SeqCst)
    }

    /// Suspends or resumes all answers.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Sets whether the engine reports that it is about to stop.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Resets the engine to the state of a re-imaged VM and increments its boot number.
    pub fn reset(&self) {
        self.boot.fetch_add(1, Ordering::SeqCst);
        self.set_leaving(false);
        self.crashed.send_replace(false);
        *self.lock() = MemberState::default();
    }

    /// Aborts every answer, as the loss of the VM does.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// Returns whether the engine has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Applies an order and returns whether its fencing number is accepted.
    fn apply_order(&self, order: &Order) -> bool {
        let mut member = self.lock();
        if self.options.checks_fence && order.fence < member.fence {
            self.refused_orders.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        member.fence = member.fence.max(order.fence);
        member.membership = match &order.command {
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
        member.ready = member.membership.is_some();
        true
    }

    /// Returns whether the engine is ready for a group and a generation; empty text matches any.
    fn can_serve(&self, group: &str, generation: &str) -> bool {
        let member = self.lock();
        let Some(membership) = &member.membership else {
            return false;
        };
        let matches_group = group.is_empty() || membership.group == group;
        let matches_generation =
            generation.is_empty() || membership.generation.0.to_string() == generation;
        member.ready && matches_group && matches_generation
    }

    async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let mut crashed = self.crashed.subscribe();
        tokio::select! {
            _ = paused.wait_for(|paused| !paused) => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MemberState> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
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
    if engine.apply_order(&order) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::Conflict().finish()
    }
}

/// Message of a chat completion request.
#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Fields of a completion request that the stand-in reads.
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
    fn prompt_text(&self) -> String {
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

/// Counts a completion as running until it is dropped.
struct RunningGuard(Arc<Engine>);

impl RunningGuard {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.running.fetch_add(1, Ordering::SeqCst);
        engine.served.fetch_add(1, Ordering::SeqCst);
        RunningGuard(Arc::clone(engine))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State of a running completion.
struct Completion {
    guard: RunningGuard,
    prompt: String,
    model: String,
    id: String,
    is_chat: bool,
    next_token: u64,
    token_count: u64,
    is_done: bool,
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
    if engine.is_crashed() || !engine.can_serve(&header(GROUP), &header(GENERATION)) {
        return HttpResponse::Conflict().finish();
    }
    let completion = Completion {
        guard: RunningGuard::new(&engine),
        prompt: body.prompt_text(),
        model: body.model.clone(),
        id: header(REQUEST_ID),
        is_chat: request.path().ends_with("/chat/completions"),
        next_token: header(RESUME_AT).parse().unwrap_or_default(),
        token_count: body.max_tokens.unwrap_or(tokens::DEFAULT_TOKENS),
        is_done: false,
    };
    if completion.prompt.contains(POISON) {
        engine.crash();
        return aborted_response(&completion.id);
    }
    if body.stream {
        return stream_response(completion);
    }
    full_response(completion).await
}

/// Sends the head of an answer and then resets the connection, as a crashing engine does.
fn aborted_response(id: &str) -> HttpResponse {
    let error = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "engine crashed");
    HttpResponse::Ok()
        .header(REQUEST_ID, id)
        .streaming(stream::iter([Err::<Bytes, std::io::Error>(error)]))
}

async fn full_response(completion: Completion) -> HttpResponse {
    let engine = Arc::clone(&completion.guard.0);
    for _ in 0..completion.token_count {
        wait_for_token(&engine).await;
    }
    if engine.is_crashed() {
        return aborted_response(&completion.id);
    }
    let text = tokens::answer(&completion.prompt, completion.token_count);
    let choice = if completion.is_chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "stop"})
    };
    HttpResponse::Ok()
        .header(REQUEST_ID, completion.id.as_str())
        .json(&json!({
            "id": completion.id,
            "object": if completion.is_chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": completion.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": 0,
                "completion_tokens": completion.token_count,
                "total_tokens": completion.token_count,
            },
        }))
}

fn stream_response(completion: Completion) -> HttpResponse {
    let id = completion.id.clone();
    let events = stream::unfold(completion, |mut completion| async move {
        if completion.is_done {
            return None;
        }
        let engine = Arc::clone(&completion.guard.0);
        if completion.next_token >= completion.token_count {
            completion.is_done = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), completion));
        }
        wait_for_token(&engine).await;
        if engine.is_crashed() {
            completion.is_done = true;
            let error = std::io::Error::new(std::io::ErrorKind::ConnectionReset, "engine crashed");
            return Some((Err(error), completion));
        }
        let event = token_event(&completion);
        completion.next_token += 1;
        Some((Ok::<Bytes, std::io::Error>(event), completion))
    });
    HttpResponse::Ok()
        .header(REQUEST_ID, id)
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

fn token_event(completion: &Completion) -> Bytes {
    let text = tokens::token(&completion.prompt, completion.next_token);
    let finish = (completion.next_token + 1 == completion.token_count).then_some("stop");
    let choice = if completion.is_chat {
        json!({"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": finish})
    } else {
        json!({"index": 0, "text": text, "finish_reason": finish})
    };
    let object = if completion.is_chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let message = json!({
        "id": completion.id, "object": object, "created": 0, "model": completion.model,
        "choices": [choice],
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
