//! Pool of idle connections, which are kept for reuse after a complete exchange.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use http::HeaderMap;
use http::header::CONNECTION;
use jackdaw_core::units::Millis;

use crate::connection::{Connection, Fault};

/// Name of the header in which the peer states its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// Timeouts and limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time for opening a connection.
    pub connect_timeout: Millis,
    /// Longest time for which sent bytes may stay unacknowledged.
    pub unacknowledged_timeout: Millis,
    /// Time for which an idle connection is kept if the peer states no idle timeout.
    pub idle_timeout: Millis,
    /// Time before the peer's stated idle timeout at which an idle connection is no longer used.
    pub idle_margin: Millis,
    /// Largest number of idle connections that are kept for each peer.
    pub max_idle_per_peer: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            // Three retransmissions of the SYN would exceed every latency objective.
            connect_timeout: Millis(400),
            unacknowledged_timeout: Millis(3_000),
            // Shorter than the idle timeouts that servers commonly use.
            idle_timeout: Millis(4_000),
            idle_margin: Millis(500),
            max_idle_per_peer: 16,
        }
    }
}

/// Idle connections, grouped by peer.
#[derive(Debug)]
pub struct Pool {
    options: Options,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Pool {
            options,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to a peer out of the pool, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if no connection can be opened in time.
    pub async fn take(&self, peer: SocketAddr) -> Result<Connection, Fault> {
        match self.take_idle(peer) {
            Some(connection) => Ok(connection),
            None => self.open(peer).await,
        }
    }

    /// Opens a connection to a peer without looking for an idle one.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if no connection can be opened in time.
    pub async fn open(&self, peer: SocketAddr) -> Result<Connection, Fault> {
        Connection::open(
            peer,
            self.options.connect_timeout,
            self.options.unacknowledged_timeout,
        )
        .await
    }

    /// Keeps a connection whose last response had these headers and has been read to its end. The
    /// connection is closed instead if the headers forbid reuse or if `max_idle` connections to the
    /// peer are already kept.
    pub fn put(&self, mut connection: Connection, headers: &HeaderMap, max_idle: usize) {
        let Some(timeout) = self.reuse_timeout(headers) else {
            return;
        };
        connection.set_idle_timeout(timeout.duration());
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.peer()).or_default();
        kept.retain(Connection::is_reusable);
        if kept.len() < max_idle.min(self.options.max_idle_per_peer) {
            kept.push(connection);
        }
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&peer);
    }

    /// Takes an idle connection to a peer out of the pool, if there is one.
    pub fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&peer)?;
        while let Some(connection) = kept.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        idle.remove(&peer);
        None
    }

    /// Returns how long a connection may stay idle after a response with these headers, or `None`
    /// if it may not be reused.
    fn reuse_timeout(&self, headers: &HeaderMap) -> Option<Millis> {
        let has_token = |name: &str, token: &str| {
            headers.get_all(name).iter().any(|value| {
                value.to_str().is_ok_and(|text| {
                    text.split(',')
                        .any(|part| part.trim().eq_ignore_ascii_case(token))
                })
            })
        };
        if has_token(CONNECTION.as_str(), "close") {
            return None;
        }
        let peer_timeout = headers
            .get(KEEP_ALIVE)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.parse::<u64>().ok())
            .map(Millis::from_secs);
        let Some(peer_timeout) = peer_timeout else {
            return Some(self.options.idle_timeout);
        };
        let remaining = peer_timeout.0.checked_sub(self.options.idle_margin.0)?;
        (remaining > 0).then_some(Millis(remaining))
    }
}
