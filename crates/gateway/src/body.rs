//! Bodies of callers' requests, buffered in memory.

use std::io;
use std::pin::pin;
use std::rc::Rc;

use bytes::BytesMut;
use futures::future::select;
use futures::stream;
use jackdaw_core::refusal::Reason;
use jackdaw_core::units::{Bytes as Size, Millis};
use jackdaw_policy::memory::Class;
use ntex::http::{Payload, Response};
use ntex::util::{Bytes, stream_recv};
use tokio::time;

use crate::memory::Charge;
use crate::node::Node;
use crate::refusal::Refusal;

/// Largest body if the configuration states no limit.
pub(crate) const DEFAULT_MAX_BODY: Size = Size(4 << 20);

/// Shortest delay after which a caller is asked to retry if there is no memory for its request.
const MEMORY_RETRY_AFTER: Millis = Millis(500);
/// Longest time for which the body of a request that was answered early is read, and between two parts
/// of it.
const EARLY_TIMEOUT: Millis = Millis(5_000);
const EARLY_IDLE_TIMEOUT: Millis = Millis(1_000);
/// Longest time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: Millis = Millis(1_000);
/// Longest time between two parts of that rest.
const DISCARD_IDLE_TIMEOUT: Millis = Millis(200);

/// Reads and drops the rest of a refused request's body, for a bounded time.
///
/// Closing a connection with unread bytes resets it, and the caller might lose the refusal.
pub(crate) async fn discard(payload: &mut Payload) {
    read_rest(payload, DISCARD_TIMEOUT, DISCARD_IDLE_TIMEOUT).await;
}

/// Reads and drops the rest of a body for a bounded time, with bounded pauses.
async fn read_rest(payload: &mut Payload, limit: Millis, idle: Millis) {
    let rest = async {
        while let Ok(Some(Ok(_))) = time::timeout(idle.duration(), stream_recv(payload)).await {}
    };
    let _ = time::timeout(limit.duration(), rest).await;
}

/// Returns the answer to a refused request whose body is still on its way: its head is sent at once, and
/// its end once the body has been read and dropped, since many callers read no answer before.
pub(crate) fn answer_early(node: &Rc<Node>, refusal: &Refusal, mut payload: Payload) -> Response {
    let node = Rc::clone(node);
    let text = refusal.text();
    let rest = async move {
        let read = read_rest(&mut payload, EARLY_TIMEOUT, EARLY_IDLE_TIMEOUT);
        let _ = select(pin!(read), pin!(node.stop.wait())).await;
        Ok::<_, io::Error>(Bytes::from(text))
    };
    refusal.builder().streaming(Box::pin(stream::once(rest)))
}

/// A complete body and what it takes.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) bytes: bytes::Bytes,
    pub(crate) charge: Charge,
}

/// Returns the refusal of a request for whose body there is no memory.
fn refuse_for_memory(charge: &Charge) -> Refusal {
    charge.count_refusal();
    let detail = "there is no memory for the request's body";
    // Callers that were refused together do not return together.
    let delay = MEMORY_RETRY_AFTER.0 + fastrand::u64(..MEMORY_RETRY_AFTER.0);
    Refusal::not_run(Reason::NoMemory, detail).with_retry_after(Millis(delay))
}

/// Takes memory for a body whose length its head states.
///
/// # Errors
///
/// Returns a refusal if there is none.
pub(crate) fn reserve(node: &Node, stated: Option<u64>) -> Result<Charge, Refusal> {
    let mut charge = node.memory.open(Class::Request);
    let stated = stated.unwrap_or_default().min(node.limits().body.0);
    match charge.try_grow(usize::try_from(stated).unwrap_or(usize::MAX)) {
        true => Ok(charge),
        false => Err(refuse_for_memory(&charge)),
    }
}

/// Reads a complete body, for which memory may have been taken.
///
/// # Errors
///
/// Returns a refusal if the body is incomplete or larger than the largest limit that was in force
/// while it was read, or if there is no memory for it.
pub(crate) async fn read(
    node: &Node,
    payload: &mut Payload,
    mut charge: Charge,
) -> Result<Whole, Refusal> {
    let mut limit = node.limits().body;
    let mut body = BytesMut::with_capacity(charge.taken());
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|error| {
            Refusal::not_run(Reason::Malformed, format!("the body broke off: {error}"))
        })?;
        limit = limit.max(node.limits().body);
        if (body.len() + chunk.len()) as u64 > limit.0 {
            let detail = format!("the body is larger than {limit}");
            return Err(Refusal::not_run(Reason::TooLarge, detail));
        }
        if !charge.cover(body.len() + chunk.len()) {
            return Err(refuse_for_memory(&charge));
        }
        body.extend_from_slice(&chunk);
    }
    let bytes = body.freeze();
    Ok(Whole { bytes, charge })
}
