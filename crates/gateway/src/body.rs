//! Bodies of callers' requests, buffered in memory.

use bytes::{Bytes, BytesMut};
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::{Bytes as Size, Millis};
use ntex::http::Payload;
use ntex::util::stream_recv;
use tokio::time;

use crate::node::Node;
use crate::refusal::Refusal;

/// Largest body if the configuration states no limit.
pub(crate) const DEFAULT_MAX_BODY: Size = Size(4 << 20);

/// Longest time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: Millis = Millis(1_000);
/// Longest time between two parts of that rest.
const DISCARD_IDLE_TIMEOUT: Millis = Millis(200);

/// Reads and drops the rest of a refused request's body, for a bounded time.
///
/// Closing a connection with unread bytes resets it, and the caller might lose the refusal.
pub(crate) async fn discard(payload: &mut Payload) {
    let rest = async {
        let idle = DISCARD_IDLE_TIMEOUT.duration();
        while let Ok(Some(Ok(_))) = time::timeout(idle, stream_recv(payload)).await {}
    };
    let _ = time::timeout(DISCARD_TIMEOUT.duration(), rest).await;
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns a refusal if the body is incomplete or larger than the largest limit that was in force
/// while it was read.
pub(crate) async fn read(node: &Node, payload: &mut Payload) -> Result<Bytes, Refusal> {
    let mut limit = node.limits().body;
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|error| {
            Refusal::not_run(Reason::Malformed, format!("the body broke off: {error}"))
        })?;
        limit = limit.max(node.limits().body);
        if (body.len() + chunk.len()) as u64 > limit.0 {
            let detail = format!("the body is larger than {limit}");
            return Err(Refusal::not_run(Reason::TooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
