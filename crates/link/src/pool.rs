//! Connections that are kept after a clean exchange.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use http::HeaderMap;
use http::header::CONNECTION;
use jackdaw_core::units::Millis;

use crate::connection::{Connection, Fault};

/// Name of the header that states how long the peer keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Times and sizes of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time to open a connection.
    pub connect: Millis,
    /// Longest time that sent bytes stay unacknowledged.
    pub silence: Millis,
    /// Time for which an idle connection is kept if the peer states none.
    pub idle: Millis,
    /// Time before the peer's stated one at which an idle connection is given up.
    pub margin: Millis,
    /// Idle connections that are kept for each peer.
    pub kept: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            // Three retransmissions of the opening packet would take longer than any objective.
            connect: Millis(400),
            silence: Millis(3_000),
            // Shorter than the idle times that servers commonly use.
            idle: Millis(4_000),
            margin: Millis(500),
            kept: 16,
        }
    }
}

/// Idle connections by peer.
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

    /// Takes an idle connection if there is one, and opens one otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if no connection can be opened in time.
    pub async fn take(&self, peer: SocketAddr) -> Result<Connection, Fault> {
        match self.idle(peer) {
            Some(connection) => Ok(connection),
            None => self.open(peer).await,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotSent`] if no connection can be opened in time.
    pub async fn open(&self, peer: SocketAddr) -> Result<Connection, Fault> {
        Connection::open(peer, self.options.connect, self.options.silence).await
    }

    /// Keeps a connection whose last answer had these headers and has been read to its end, if
    /// fewer than `most` to the peer are kept.
    pub fn put(&self, mut connection: Connection, headers: &HeaderMap, most: usize) {
        let Some(span) = self.idle_time(headers) else {
            return;
        };
        connection.rest(span.duration());
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.peer()).or_default();
        kept.retain(Connection::is_reusable);
        if kept.len() < most.min(self.options.kept) {
            kept.push(connection);
        }
    }

    /// Drops the idle connections to a peer.
    pub fn forget(&self, peer: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&peer);
    }

    fn idle(&self, peer: SocketAddr) -> Option<Connection> {
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

    /// Returns how long a connection may stay idle after an answer, if it may at all.
    fn idle_time(&self, headers: &HeaderMap) -> Option<Millis> {
        let says = |name: &str, word: &str| {
            headers.get_all(name).iter().any(|value| {
                value.to_str().is_ok_and(|text| {
                    text.split(',')
                        .any(|part| part.trim().eq_ignore_ascii_case(word))
                })
            })
        };
        if says(CONNECTION.as_str(), "close") {
            return None;
        }
        let stated = headers
            .get(KEEP_ALIVE)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.parse::<u64>().ok())
            .map(Millis::from_secs);
        let Some(stated) = stated else {
            return Some(self.options.idle);
        };
        let left = stated.0.checked_sub(self.options.margin.0)?;
        (left > 0).then_some(Millis(left))
    }
}
