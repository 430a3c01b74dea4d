//! Bodies of callers' requests, buffered in memory.

use bytes::{Bytes, BytesMut};
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::{Bytes as Size, Millis};
use ntex::http::Payload;
use ntex::util::stream_recv;

use crate::refusal::Refusal;

/// Largest body if the configuration states no limit.
pub(crate) const DEFAULT_MAX_BODY: Size = Size(4 << 20);

/// Longest time for which the body of a refused request is read.
const DISCARD_TIME: Millis = Millis(1_000);

/// Reads what is left of the body of a refused request in the background. A connection that is
/// closed with unread bytes is reset, and its caller may lose the refusal.
pub(crate) fn discard(mut payload: Payload) {
    let discarded = async move { while let Some(Ok(_)) = stream_recv(&mut payload).await {} };
    ntex::rt::spawn(tokio::time::timeout(DISCARD_TIME.duration(), discarded));
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns a refusal if the body is incomplete or larger than the limit.
pub(crate) async fn read(payload: &mut Payload, limit: Size) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|error| {
            Refusal::not_run(Reason::Malformed, format!("the body broke off: {error}"))
        })?;
        if (body.len() + chunk.len()) as u64 > limit.0 {
            let detail = format!("the body is larger than {limit}");
            return Err(Refusal::not_run(Reason::TooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
