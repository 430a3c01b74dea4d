//! Memory of this node's messages: charges for what is held, and answers that wait until they may grow.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use jackdaw_core::time::Clock;
use jackdaw_core::units::{Bytes as Size, Millis};
use jackdaw_link::connection::Fault;
use jackdaw_policy::memory::{Bounds, Class, Growth, Key, Ledger};
use ntex::http::body::{Body, BodySize, MessageBody};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, UpDownCounter};
use thiserror::Error as ThisError;
use tokio::sync::Notify;
use tokio::time;

/// Longest time until an answer that waits asks again.
const ASK_INTERVAL: Millis = Millis(50);
/// Smallest and largest number of bytes by which a message grows.
const MIN_SEGMENT: usize = 4 << 10;
const MAX_SEGMENT: usize = 256 << 10;

/// Reason why a message is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub(crate) enum Denial {
    /// It is larger than any message may be.
    #[error("the answer is larger than {0}")]
    TooLarge(Size),
    /// Others wait for what it holds.
    #[error("the answer takes the memory for which others wait")]
    Evicted,
}

/// Reason why the body of an answer was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// It has ended early.
    Broken(Fault),
    /// It is not held.
    Denied(Denial),
}

impl From<Denial> for ReadError {
    fn from(denial: Denial) -> Self {
        ReadError::Denied(denial)
    }
}

/// The memory of a node's messages.
pub(crate) struct Memory {
    ledger: RefCell<Ledger>,
    clock: Arc<dyn Clock>,
    released: Notify,
    denied: Counter<u64>,
    waits: Counter<u64>,
    held: UpDownCounter<i64>,
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Memory")
            .field("held", &self.ledger.borrow().held())
            .finish_non_exhaustive()
    }
}

impl Memory {
    pub(crate) fn new(process: Size, clock: &Arc<dyn Clock>, meter: &Meter) -> Self {
        let held = meter
            .i64_up_down_counter("jackdawstair_held_bytes")
            .with_description("Bytes of requests and answers that are held.")
            .build();
        held.add(0, &[]);
        Memory {
            ledger: RefCell::new(Ledger::new(Bounds::new(process))),
            clock: Arc::clone(clock),
            released: Notify::new(),
            denied: meter
                .u64_counter("jackdawstair_memory_denials")
                .with_description("Messages that were not held for want of memory, by kind.")
                .build(),
            waits: meter
                .u64_counter("jackdawstair_memory_waits")
                .with_description("Times that an answer was not read on for want of memory.")
                .build(),
            held,
        }
    }

    /// Returns the largest answer that is held.
    pub(crate) fn max_answer(&self) -> Size {
        self.ledger.borrow().bounds().answer
    }

    /// Begins to hold a message.
    pub(crate) fn open(self: &Rc<Self>, class: Class) -> Charge {
        Charge {
            key: self.ledger.borrow_mut().open(class),
            memory: Rc::clone(self),
            taken: 0,
        }
    }

    fn count_denial(&self, kind: &'static str) {
        self.denied.add(1, &[KeyValue::new("kind", kind)]);
    }
}

/// What a message takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    memory: Rc<Memory>,
    key: Key,
    taken: usize,
}

impl Charge {
    /// Gets the number of bytes that the message takes.
    pub(crate) fn taken(&self) -> usize {
        self.taken
    }

    /// Takes more memory if there is room at once.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        self.ask(bytes) == Growth::Granted
    }

    /// Takes memory for a buffer of a size, if there is room at once.
    pub(crate) fn cover(&mut self, len: usize) -> bool {
        // Buffers double when they grow.
        len <= self.taken || self.try_grow(2 * len - self.taken)
    }

    fn ask(&mut self, bytes: usize) -> Growth {
        let memory = &self.memory;
        let mut ledger = memory.ledger.borrow_mut();
        let growth = ledger.grow(self.key, Size(bytes as u64), memory.clock.now());
        if growth == Growth::Granted {
            self.taken += bytes;
            memory.held.add(bytes as i64, &[]);
        }
        growth
    }

    /// Counts a request that is turned away.
    pub(crate) fn count_refusal(&self) {
        self.memory.count_denial("request");
    }

    /// Takes more memory once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`Denial::Evicted`] if the message has to be given up.
    async fn grow(&mut self, bytes: usize) -> Result<(), Denial> {
        let memory = Rc::clone(&self.memory);
        let mut has_waited = false;
        loop {
            let released = memory.released.notified();
            match self.ask(bytes) {
                Growth::Granted => return Ok(()),
                Growth::Evicted => {
                    memory.count_denial("answer");
                    return Err(Denial::Evicted);
                }
                Growth::Wait => {}
            }
            if !std::mem::replace(&mut has_waited, true) {
                memory.waits.add(1, &[]);
            }
            let _ = time::timeout(ASK_INTERVAL.duration(), released).await;
        }
    }

    /// Gives all memory back.
    pub(crate) fn release(&mut self) {
        if self.taken > 0 {
            self.shrink(self.taken);
        }
    }

    fn shrink(&mut self, bytes: usize) {
        // An allocation may be larger than asked for.
        let bytes = bytes.min(self.taken);
        self.taken -= bytes;
        let memory = &self.memory;
        let mut ledger = memory.ledger.borrow_mut();
        ledger.shrink(self.key, Size(bytes as u64));
        memory.held.add(-(bytes as i64), &[]);
        memory.released.notify_waiters();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.ledger.borrow_mut().close(self.key);
        self.memory.held.add(-(self.taken as i64), &[]);
        self.memory.released.notify_waiters();
    }
}

/// A whole body of an answer, in segments.
#[derive(Debug)]
pub(crate) struct Held {
    segments: VecDeque<Bytes>,
    len: u64,
    charge: Charge,
}

impl Held {
    /// Reads the body of an answer to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not held or ends early.
    pub(crate) async fn read(mut body: Incoming, memory: &Rc<Memory>) -> Result<Held, ReadError> {
        let max = memory.max_answer();
        let stated = body.size_hint().lower();
        let mut held = Held {
            segments: VecDeque::new(),
            len: 0,
            charge: memory.open(Class::Answer),
        };
        if stated > max.0 {
            return Err(held.deny_size(max).into());
        }
        let mut tail = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| ReadError::Broken(Fault::unanswered(&error)))?;
            let Ok(mut data) = frame.into_data() else {
                continue;
            };
            held.len += data.len() as u64;
            if held.len > max.0 {
                return Err(held.deny_size(max).into());
            }
            while !data.is_empty() {
                if tail.len() == tail.capacity() {
                    held.push(tail.split());
                    let segment = (held.len as usize).clamp(MIN_SEGMENT, MAX_SEGMENT);
                    held.charge.grow(segment).await?;
                    tail = BytesMut::with_capacity(segment);
                }
                let count = data.len().min(tail.capacity() - tail.len());
                tail.extend_from_slice(&data.split_to(count));
            }
        }
        held.push(tail);
        Ok(held)
    }

    fn push(&mut self, segment: BytesMut) {
        if !segment.is_empty() {
            self.segments.push_back(segment.freeze());
        }
    }

    fn deny_size(&self, max: Size) -> Denial {
        self.charge.memory.count_denial("large-answer");
        Denial::TooLarge(max)
    }

    /// Converts the body to that of a response.
    pub(crate) fn into_body(mut self) -> Body {
        if self.segments.len() > 1 {
            return Body::from_message(self);
        }
        // An empty body has a length too.
        let segment = self.segments.pop_front().unwrap_or_default();
        Body::Bytes(ntex::util::Bytes::from(segment.to_vec()))
    }
}

impl MessageBody for Held {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.len)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        let Some(segment) = self.segments.pop_front() else {
            return Poll::Ready(None);
        };
        let copy = ntex::util::Bytes::from(segment.to_vec());
        let count = segment.len();
        drop(segment);
        self.charge.shrink(count);
        Poll::Ready(Some(Ok(copy)))
    }
}
