//! Bytes of a server that another node passes on, with a mark where the server closed its connection.
//!
//! The bytes come in blocks, each after its length in two bytes. A block without bytes is the mark: a
//! connection that ends before it was ended by the node that passes the bytes on, or on the way.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::net::TcpStream;

/// Size of a block's length.
const LENGTH: usize = size_of::<u16>();
/// Largest number of bytes in a block.
const MAX_BLOCK: usize = 16 << 10;

/// Copies bytes in blocks to the end of a stream, and marks it.
///
/// # Errors
///
/// Returns an error if either side fails; the end is not marked then.
pub(crate) async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut record: impl FnMut(&[u8]),
) -> io::Result<()> {
    let mut block = vec![0; LENGTH + MAX_BLOCK];
    loop {
        let count = from.read(&mut block[LENGTH..]).await?;
        record(&block[LENGTH..LENGTH + count]);
        let length = u16::try_from(count).map_err(io::Error::other)?;
        block[..LENGTH].copy_from_slice(&length.to_be_bytes());
        to.write_all(&block[..LENGTH + count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}

/// A connection to a server through a node that marks the end of the server's bytes.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    length: [u8; LENGTH],
    /// Number of bytes of `length` that have arrived.
    length_bytes: usize,
    /// Number of bytes left in the current block.
    left: usize,
    is_ended: bool,
}

impl Stream {
    /// Wraps a connection on which the node begins to pass bytes on.
    pub(crate) fn new(inner: TcpStream) -> Self {
        Stream {
            inner,
            length: [0; LENGTH],
            length_bytes: 0,
            left: 0,
            is_ended: false,
        }
    }

    /// Polls for the length of the next block.
    fn poll_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_bytes < LENGTH {
            let mut rest = ReadBuf::new(&mut self.length[self.length_bytes..]);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut rest))?;
            let count = check_count(rest.filled().len())?;
            self.length_bytes += count;
        }
        self.length_bytes = 0;
        self.left = usize::from(u16::from_be_bytes(self.length));
        self.is_ended = self.left == 0;
        Poll::Ready(Ok(()))
    }
}

/// Returns the number of bytes that a read has brought.
///
/// # Errors
///
/// Returns an error if the connection has ended.
fn check_count(count: usize) -> io::Result<usize> {
    if count == 0 {
        let detail = "the connection ended before the server's end of it";
        return Err(io::Error::new(io::ErrorKind::ConnectionAborted, detail));
    }
    Ok(count)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.left == 0 && !this.is_ended {
            ready!(this.poll_length(cx))?;
        }
        let count = this.left.min(buffer.remaining());
        if this.is_ended || count == 0 {
            return Poll::Ready(Ok(()));
        }
        let mut block = ReadBuf::new(buffer.initialize_unfilled_to(count));
        ready!(Pin::new(&mut this.inner).poll_read(cx, &mut block))?;
        let count = check_count(block.filled().len())?;
        buffer.advance(count);
        this.left -= count;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
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
}
