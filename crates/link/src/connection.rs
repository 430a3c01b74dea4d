//! One connection that carries one request at a time.

use std::fmt;
use std::io;
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::time;

/// Largest head of an answer in bytes; the HTTP library takes no smaller buffer than 8 KiB.
const MAX_HEAD: usize = 64 << 10;

/// Time without traffic after which a connection is probed, and the pause between two probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Lets the system end a connection whose peer is silent, also while nothing is sent.
fn watch_over(stream: &TcpStream, silence: Millis) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence.duration()))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Why an exchange brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Fault {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("no whole answer: {0}")]
    Unanswered(String),
}

/// An open connection.
pub struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    exchanges: u32,
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
    /// Opens a connection; unacknowledged bytes end it after `silence`.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if the peer does not accept the connection in time.
    pub async fn open(
        peer: SocketAddr,
        timeout: Millis,
        silence: Millis,
    ) -> Result<Connection, Fault> {
        let refused = |error: &dyn fmt::Display| Fault::NotSent(format!("connect: {error}"));
        let stream = time::timeout(timeout.duration(), TcpStream::connect(peer))
            .await
            .map_err(|_| Fault::NotSent(format!("no connection within {timeout}")))?
            .map_err(|error| refused(&error))?;
        stream.set_nodelay(true).map_err(|error| refused(&error))?;
        watch_over(&stream, silence).map_err(|error| refused(&error))?;
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(&error))?;
        // A failure of the driver reaches the exchange that is in progress.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection {
            peer,
            sender,
            exchanges: 0,
            idle_until: Instant::now(),
        })
    }

    /// Gets the address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection was opened for the exchange in progress.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.exchanges <= 1
    }

    /// Sends a request and returns the head of the answer. Dropping the future ends the connection.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have been received.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Fault> {
        self.exchanges += 1;
        self.sender
            .ready()
            .await
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        let sent = self.sender.try_send_request(request.map(Full::new)).await;
        sent.map_err(|mut error| {
            let detail = error.error().to_string();
            match error.take_message() {
                Some(_) => Fault::NotSent(detail),
                None => Fault::Unanswered(detail),
            }
        })
    }

    /// Returns whether the connection may carry another request now.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < self.idle_until
    }

    /// Sets the time for which the connection may stay idle.
    pub(crate) fn rest(&mut self, span: Duration) {
        self.idle_until = Instant::now() + span;
    }
}
