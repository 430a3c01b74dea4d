//! Stream that takes no more than a share of its thread's time to read, and no more than a number of bytes
//! before the head of an answer is whole.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task;

/// Bytes after which other tasks have their turn.
const TURN: usize = 64 << 10;
/// Most bytes that one read takes while they are bounded.
pub(crate) const MAX_READ: usize = 16 << 10;
/// Value of an allowance without a bound.
const UNBOUNDED: usize = usize::MAX;

/// Bytes that may still be read before the head of an answer is whole.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Allowance(Arc::new(AtomicUsize::new(UNBOUNDED)))
    }
}

impl Allowance {
    /// Bounds the bytes from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the bound.
    pub(crate) fn lift(&self) {
        self.set(UNBOUNDED);
    }

    /// Returns whether no more bytes may be read.
    pub(crate) fn is_used_up(&self) -> bool {
        self.left() == 0
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let left = self.left();
        if left != UNBOUNDED {
            self.set(left.saturating_sub(bytes));
        }
    }
}

/// A stream whose reader yields to other tasks.
pub(crate) struct Stream<S> {
    inner: S,
    allowance: Allowance,
    /// Bytes that were read in this turn.
    turn: usize,
    /// Ends once other tasks, timers and sockets have had their turns.
    rest: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl<S> Stream<S> {
    pub(crate) fn new(inner: S, allowance: Allowance) -> Self {
        Stream {
            inner,
            allowance,
            turn: 0,
            rest: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            let detail = "too many bytes before the head of an answer is whole";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        if self.turn >= TURN {
            self.turn = 0;
            // A task that only wakes itself runs again before timers and sockets are looked at.
            self.rest = Some(Box::pin(task::yield_now()));
        }
        if let Some(rest) = &mut self.rest {
            ready!(rest.as_mut().poll(cx));
            self.rest = None;
        }
        let before = buffer.filled().len();
        let read = if self.allowance.left() == UNBOUNDED {
            Pin::new(&mut self.inner).poll_read(cx, buffer)
        } else {
            let max = buffer.remaining().min(MAX_READ);
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max));
            let read = Pin::new(&mut self.inner).poll_read(cx, &mut part);
            let count = part.filled().len();
            buffer.advance(count);
            read
        };
        if read.is_pending() {
            self.turn = 0;
        }
        ready!(read)?;
        let count = buffer.filled().len() - before;
        self.turn += count;
        self.allowance.take(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
