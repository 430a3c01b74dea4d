//! Parses the headers and bodies of callers' requests.

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

/// Tokens expected of a request that states no maximum.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Tokens that count as one unit of cost.
const TOKENS_PER_COST_UNIT: u32 = 16;
/// Leading bytes of a prompt that its prefix hash covers.
const MAX_PREFIX_BYTES: usize = 512;
/// Longest time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: time::Millis = time::Millis(5_000);
/// Longest time between two parts of that rest.
const DISCARD_IDLE_TIMEOUT: time::Millis = time::Millis(500);
/// Header that names the request.
pub(crate) const REQUEST_ID: &str = "jackdawstair-request-id";
/// Header that carries the outcome.
pub(crate) const OUTCOME: &str = "jackdawstair-outcome";
/// Header that carries the caller's deadline, in milliseconds from now.
pub(crate) const DEADLINE: &str = "jackdawstair-deadline-ms";
/// Header that carries the key of a non-idempotent call.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The fields of a completion request that the node reads.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion<'a> {
    /// Name of the model.
    pub(crate) model: CompactString,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Maximum number of tokens to generate.
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
    /// Returns the upper bound of the request's work, relative to other requests.
    pub(crate) fn cost(&self) -> u32 {
        let tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        tokens / TOKENS_PER_COST_UNIT + 1
    }

    /// Returns the hash of the prompt's prefix.
    pub(crate) fn prefix_hash(&self) -> u64 {
        let text = self.messages.or(self.prompt).map_or("", RawValue::get);
        let length = text.len().min(MAX_PREFIX_BYTES);
        prefix_hash(&text.as_bytes()[..length])
    }
}

/// Returns a new request id, unique across nodes and restarts.
pub(crate) fn generate_request_id(shared: &Shared) -> CompactString {
    static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let unix_ms = shared.clock.unix_millis();
    format_compact!("{}-{unix_ms:x}-{sequence:x}", shared.node)
}

/// Checks the number of headers, which the HTTP library limits only together with their size.
///
/// # Errors
///
/// Returns a problem if there are too many.
pub(crate) fn check_header_count(headers: &HeaderMap, options: &Options) -> Result<(), Problem> {
    let count = headers.iter().count();
    if count <= options.max_request_headers {
        return Ok(());
    }
    let detail = format!("the head has {count} headers");
    Err(Problem::new(Reason::TooLarge, Step::Received, detail))
}

/// Returns the deadline of a request: the caller's, up to the node's limit, or the team's default.
///
/// # Errors
///
/// Returns a problem if the header is malformed.
pub(crate) fn parse_deadline(
    headers: &HeaderMap,
    team: &Team,
    options: &Options,
    now: Instant,
) -> Result<Instant, Problem> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(now + team.deadline_ms);
    };
    let requested = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Millis)
        .ok_or_else(|| {
            let detail = format!("{DEADLINE} must be a number of milliseconds");
            Problem::new(Reason::Malformed, Step::Authenticated, detail)
        })?;
    Ok(now + requested.min(options.max_deadline))
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns a problem if the body is too large, broken off or too slow.
pub(crate) async fn read_body(payload: &mut Payload, options: &Options) -> Result<Bytes, Problem> {
    let timeout_millis = time::Millis(u32::try_from(options.body_timeout.0).unwrap_or(u32::MAX));
    match timeout(
        timeout_millis,
        collect_body(payload, options.max_request_body),
    )
    .await
    {
        Ok(result) => result,
        Err(()) => Err(Problem::new(
            Reason::Deadline,
            Step::Received,
            format!("the body did not come within {}", options.body_timeout),
        )),
    }
}

async fn collect_body(payload: &mut Payload, limit: Size) -> Result<Bytes, Problem> {
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

/// Reads and drops the rest of a refused request's body, up to the limits for a body.
///
/// Closing a connection with unread bytes resets it, and the caller might lose the refusal.
pub(crate) async fn discard_body(payload: &mut Payload, options: &Options) {
    let rest = async {
        let mut length = 0;
        while let Ok(Some(Ok(chunk))) = timeout(DISCARD_IDLE_TIMEOUT, stream_recv(payload)).await {
            length += chunk.len() as u64;
            if length > options.max_request_body.0 {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// Parses the fields of a completion request that the node reads.
///
/// # Errors
///
/// Returns a problem if the body is not a completion request.
pub(crate) fn parse_completion(body: &[u8]) -> Result<Completion<'_>, Problem> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is no completion request: {error}");
        Problem::new(Reason::Malformed, Step::Authenticated, detail)
    })
}
