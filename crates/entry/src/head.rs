//! Headers and bodies of callers' requests.

use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::{CompactString, format_compact};
use jackdaw_core::catalog::Team;
use jackdaw_core::outcome::Step;
use jackdaw_core::refusal::Reason;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Bytes as Size, Millis};
use jackdaw_policy::route::prefix_hash;
use ntex::http::{HeaderMap, Payload};
use ntex::time::{self, timeout};
use ntex::util::{Bytes, BytesMut, stream_recv};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::problem::Problem;
use crate::shared::{Options, Shared};

/// Tokens expected of a request that names no bound.
const DEFAULT_TOKENS: u32 = 256;
/// Tokens that count as one unit of cost.
const TOKENS_PER_COST: u32 = 16;
/// Bytes of a prompt that decide where it goes.
const PREFIX_BYTES: usize = 512;
/// Header that names the request.
pub(crate) const REQUEST_ID: &str = "jackdawstair-request-id";
/// Header that carries the outcome.
pub(crate) const OUTCOME: &str = "jackdawstair-outcome";
/// Header by which a caller sets its deadline, in milliseconds from now.
pub(crate) const DEADLINE: &str = "jackdawstair-deadline-ms";
/// Header that names a non-idempotent call.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The part of a completion request that the system reads.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion<'a> {
    /// Model.
    pub(crate) model: CompactString,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Largest number of tokens wanted.
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    /// Prompt of a plain completion.
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    /// Messages of a chat.
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

impl Completion<'_> {
    /// Returns the largest work that the request may make, relative to other requests.
    pub(crate) fn cost(&self) -> u32 {
        let tokens = self.max_tokens.unwrap_or(DEFAULT_TOKENS);
        tokens / TOKENS_PER_COST + 1
    }

    /// Returns the hash of the prompt's prefix.
    pub(crate) fn prefix(&self) -> u64 {
        let text = self.messages.or(self.prompt).map_or("", RawValue::get);
        let length = text.len().min(PREFIX_BYTES);
        prefix_hash(&text.as_bytes()[..length])
    }
}

/// Returns a new request identity, unique over nodes and restarts.
pub(crate) fn request_id(shared: &Shared) -> CompactString {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let sequence = NEXT.fetch_add(1, Ordering::Relaxed);
    let started = shared.clock.unix_millis();
    format_compact!("{}-{started:x}-{sequence:x}", shared.node)
}

/// Checks the number of headers, which the HTTP library only bounds together with their size.
pub(crate) fn check(headers: &HeaderMap, options: &Options) -> Result<(), Problem> {
    let count = headers.iter().count();
    if count <= options.request_headers {
        return Ok(());
    }
    let detail = format!("the head has {count} headers");
    Err(Problem::new(Reason::TooLarge, Step::Received, detail))
}

/// Returns the moment until which a request must be answered.
pub(crate) fn deadline(
    headers: &HeaderMap,
    team: &Team,
    options: &Options,
    now: Instant,
) -> Result<Instant, Problem> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(now + team.deadline_ms);
    };
    let span = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Millis)
        .ok_or_else(|| {
            let detail = format!("{DEADLINE} must be a number of milliseconds");
            Problem::new(Reason::Malformed, Step::Authenticated, detail)
        })?;
    Ok(now + span.min(options.max_deadline))
}

/// Reads the whole body of a request.
pub(crate) async fn body(mut payload: Payload, options: &Options) -> Result<Bytes, Problem> {
    let limit = time::Millis(u32::try_from(options.body_timeout.0).unwrap_or(u32::MAX));
    match timeout(limit, collect(&mut payload, options.request_body)).await {
        Ok(result) => result,
        Err(()) => Err(Problem::new(
            Reason::Deadline,
            Step::Received,
            format!("the body did not come within {}", options.body_timeout),
        )),
    }
}

async fn collect(payload: &mut Payload, limit: Size) -> Result<Bytes, Problem> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|error| {
            let detail = format!("the body broke off: {error}");
            Problem::new(Reason::Malformed, Step::Received, detail)
        })?;
        if (body.len() + chunk.len()) as u64 > limit.0 {
            let detail = format!("the body is larger than {limit}");
            return Err(Problem::new(Reason::TooLarge, Step::Received, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads the fields of a completion request that the system needs.
pub(crate) fn completion(body: &[u8]) -> Result<Completion<'_>, Problem> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is no completion request: {error}");
        Problem::new(Reason::Malformed, Step::Authenticated, detail)
    })
}
