//! HTTP/1.1 connection that carries one request at a time.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use jackdaw_core::units::Millis;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error as ThisError;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time;

use crate::paced::{self, Allowance};

/// Largest head of a response in bytes; the HTTP library accepts no buffer below 8 KiB.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that are read from the sending of a request until the head of its answer is whole, with heads
/// of interim answers before it. What is read beyond the head at once stays within it.
const MAX_UNANSWERED_BYTES: usize = MAX_HEAD_BYTES + 4 * paced::MAX_READ;

/// Time without traffic before the first TCP keepalive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the system closes a connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Longest time for which bytes that were sent on a connection through another node may stay
/// unacknowledged.
const RELAYED_UNACKNOWLEDGED_TIMEOUT: Millis = Millis(3_000);

/// Sets up a connection of which this node is an end, or that it relays.
///
/// # Errors
///
/// Returns an error if the system refuses an option.
pub fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_peer_timeouts(stream, RELAYED_UNACKNOWLEDGED_TIMEOUT)
}

/// Makes the system close a connection whose peer does not respond, even if nothing is being sent.
fn set_peer_timeouts(stream: &TcpStream, unacknowledged_timeout: Millis) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout.duration()))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Reason why an exchange yielded no complete response.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Fault {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer may have received the request, but no complete response arrived.
    #[error("no whole answer: {0}")]
    Unanswered(String),
    /// The peer may have received the request, and the connection was reset, which says nothing of the
    /// peer.
    #[error("no whole answer: {0}")]
    Reset(String),
    /// The peer may have received the request, and sent more than any head of an answer holds.
    #[error("too many bytes before an answer: {0}")]
    Overlong(String),
}

impl Fault {
    /// Returns the fault of a connection that failed after a request was sent.
    #[must_use]
    pub fn unanswered(error: &hyper::Error) -> Self {
        match is_reset(error) {
            true => Fault::Reset(error.to_string()),
            false => Fault::Unanswered(error.to_string()),
        }
    }
}

/// Returns whether an error or one of its causes is the reset of a connection.
fn is_reset(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if matches!(
            kind,
            Some(
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
            )
        ) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// How another node passes the bytes of a connection on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// As they are, so that its own end looks like the peer's.
    Plain,
    /// With a mark at the peer's end of the connection.
    Marked,
}

/// Another node that passes the bytes of a connection on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Via {
    /// Machine of the node, which the peer takes for the other end.
    pub machine: IpAddr,
    /// How the node passes the bytes on.
    pub relay: Relay,
}

/// An open connection to a peer.
pub struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    exchanges: u32,
    via: Option<Via>,
    allowance: Allowance,
    idle_until: Instant,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("peer", &self.peer)
            .field("exchanges", &self.exchanges)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a connection, which the system closes if sent bytes stay unacknowledged for
    /// `unacknowledged_timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if the connection is not open within `timeout` or cannot be set
    /// up.
    pub async fn open(
        peer: SocketAddr,
        timeout: Millis,
        unacknowledged_timeout: Millis,
    ) -> Result<Connection, Fault> {
        let not_sent = |error: &dyn fmt::Display| Fault::NotSent(format!("connect: {error}"));
        let stream = time::timeout(timeout.duration(), TcpStream::connect(peer))
            .await
            .map_err(|_| Fault::NotSent(format!("no connection within {timeout}")))?
            .map_err(|error| not_sent(&error))?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        set_peer_timeouts(&stream, unacknowledged_timeout).map_err(|error| not_sent(&error))?;
        Connection::handshake(stream, peer, None).await
    }

    /// Takes a stream that another node passes on to a peer, after [`set_up`].
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if it cannot be used.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        peer: SocketAddr,
        via: Via,
    ) -> Result<Connection, Fault> {
        Connection::handshake(stream, peer, Some(via)).await
    }

    async fn handshake(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        peer: SocketAddr,
        via: Option<Via>,
    ) -> Result<Connection, Fault> {
        let not_sent = |error: &dyn fmt::Display| Fault::NotSent(format!("connect: {error}"));
        let allowance = Allowance::default();
        let stream = paced::Stream::new(stream, allowance.clone());
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        // The driver's error is discarded because the exchange in progress reports it.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection {
            peer,
            sender,
            exchanges: 0,
            via,
            allowance,
            idle_until: Instant::now(),
        })
    }

    /// Gets the address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the other node that passes the bytes on; none for a direct connection.
    #[must_use]
    pub fn via(&self) -> Option<Via> {
        self.via
    }

    /// Returns whether the connection has carried an exchange.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.exchanges > 0
    }

    /// Sends a request and returns the head of the response with its unread body. Dropping the
    /// future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if nothing was sent, and another fault if the peer may have received
    /// the request.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Fault> {
        self.exchanges += 1;
        self.sender
            .ready()
            .await
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        self.allowance.set(MAX_UNANSWERED_BYTES);
        let result = self.sender.try_send_request(request.map(Full::new)).await;
        let is_used_up = self.allowance.is_used_up();
        self.allowance.lift();
        result.map_err(|mut error| match error.take_message() {
            Some(_) => Fault::NotSent(error.error().to_string()),
            None if is_used_up => Fault::Overlong(error.error().to_string()),
            None => Fault::unanswered(error.error()),
        })
    }

    /// Returns whether the connection is open and its idle timeout has not passed.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < self.idle_until
    }

    /// Allows the connection to stay idle for `timeout` from now on.
    pub(crate) fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_until = Instant::now() + timeout;
    }
}
