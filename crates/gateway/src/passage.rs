//! Passes the bytes of a connection on between another node and a server.

use std::cell::{Cell, RefCell};
use std::io;
use std::time::Duration;

use http::StatusCode;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_link::connection::Relay;
use jackdaw_link::head;
use jackdaw_policy::pause::Way;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time;

use crate::marked;
use crate::node::Node;
use crate::pauses::Origin;
use crate::tunnel::Purpose;

/// Time without bytes after an answer from which a stopping node closes a connection.
const IDLE_TIME: Millis = Millis(1_000);
/// Interval at which a stopping node looks for idle connections.
const STOP_POLL: Millis = Millis(100);
/// Size of the buffer for bytes that are passed on.
const BUFFER: usize = 16 << 10;

/// A connection between another node and a server, which carries one request at a time.
pub(crate) struct Passage<'a> {
    node: &'a Node,
    origin: Origin<'a>,
    purpose: Purpose,
    /// Whether the server has begun to answer the last request.
    is_answered: Cell<bool>,
    /// Whether a request has passed.
    is_used: Cell<bool>,
    active_at: Cell<Instant>,
    refusals: RefCell<head::Reader>,
}

impl<'a> Passage<'a> {
    pub(crate) fn new(node: &'a Node, origin: Origin<'a>, purpose: Purpose) -> Self {
        Passage {
            node,
            origin,
            purpose,
            is_answered: Cell::new(true),
            is_used: Cell::new(false),
            active_at: Cell::new(node.now()),
            refusals: RefCell::new(head::Reader::new(StatusCode::SERVICE_UNAVAILABLE)),
        }
    }

    /// Passes bytes on until either side ends, a request begins that the server does not want, or the node
    /// stops and no request is under way.
    pub(crate) async fn pass_on(&self, mut peer: TcpStream, mut server: TcpStream, relay: Relay) {
        let result = {
            let (mut from_peer, mut to_peer) = peer.split();
            let (mut from_server, mut to_server) = server.split();
            let requests = copy(&mut from_peer, &mut to_server, |bytes| {
                self.take_request(bytes)
            });
            let answers = async {
                let (from, to) = (&mut from_server, &mut to_peer);
                match relay {
                    Relay::Plain => {
                        let take = |bytes: &[u8]| {
                            self.take_answer(bytes);
                            Ok(())
                        };
                        copy(from, to, take).await
                    }
                    Relay::Marked => marked::copy(from, to, |bytes| self.take_answer(bytes)).await,
                }
            };
            tokio::select! {
                result = requests => result,
                result = answers => result,
                () = self.wait_stopped() => Ok(()),
            }
        };
        if result.is_err() {
            // A reset is passed on as one, so that an answer without a length does not look complete.
            for stream in [&peer, &server] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Takes bytes of a request before they are passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if they begin a request on a used connection, and the server wants none. A request
    /// on a new one was let through when the connection was opened, and may be one that runs at most once.
    fn take_request(&self, bytes: &[u8]) -> io::Result<()> {
        let is_used = self.is_used.replace(true);
        // An answer may come before the body of its request is whole.
        let is_first = !is_used || begins_request(bytes);
        if is_used && is_first && self.is_paused() {
            return Err(io::Error::other("the server asked for a pause"));
        }
        if is_first {
            self.refusals.borrow_mut().expect();
        }
        self.is_answered.set(false);
        self.active_at.set(self.node.now());
        Ok(())
    }

    /// Takes bytes of an answer, and records the pause that it asks this node's machine for.
    fn take_answer(&self, bytes: &[u8]) {
        self.is_answered.set(true);
        self.active_at.set(self.node.now());
        let Some(head) = self.refusals.borrow_mut().read(bytes) else {
            return;
        };
        let protocol = &self.node.parts.protocol;
        let answer = protocol.decode_answer(head.status, &head.headers);
        self.node
            .record_pause(self.origin, Way::Direct, answer.pause, None);
    }

    /// Returns whether the server wants no requests now.
    fn is_paused(&self) -> bool {
        let left = self.node.pause_left_by(self.origin.id, Way::Direct);
        self.purpose == Purpose::Request && left.is_some()
    }

    /// Waits until the node stops and no request is under way.
    async fn wait_stopped(&self) {
        self.node.stop.wait().await;
        loop {
            time::sleep(STOP_POLL.duration()).await;
            let since = self.node.now().since(self.active_at.get());
            if self.is_answered.get() && since >= IDLE_TIME {
                return;
            }
        }
    }
}

/// Returns whether bytes of another node begin with the line that begins a request.
fn begins_request(bytes: &[u8]) -> bool {
    let line = bytes.split(|byte| *byte == b'\r').next();
    line.is_some_and(|line| line.ends_with(b" HTTP/1.1"))
}

/// Copies bytes to the end of a stream.
///
/// # Errors
///
/// Returns an error if either side fails, or bytes are not taken.
async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut take: impl FnMut(&[u8]) -> io::Result<()>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        take(&buffer[..count])?;
        to.write_all(&buffer[..count]).await?;
    }
}
