//! Pauses that servers ask for: times for which a server that refused a request wants none from the
//! machine that sent it.
//!
//! A server tells machines apart by their connections, so a pause belongs to the way by which the
//! refused request came. It belongs to one incarnation of the server, and nothing but time ends it.

use std::collections::HashMap;
use std::net::IpAddr;

use jackdaw_core::protocol::Pause;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

use crate::throttle::ServerId;

/// Longest pause that is kept; a longer one is taken for an error of the server.
pub const MAX_PAUSE: Millis = Millis(10 * 60 * 1_000);

/// Time by which a pause is kept longer than asked for, as both clocks are read in whole milliseconds.
pub const MARGIN: Millis = Millis(20);
/// Divisor of a pause for the time over which the callers that are refused in it return.
const SPREAD_DIVISOR: f64 = 2.0;

/// Machine that a server sees at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
    /// This node itself.
    Direct,
    /// Another node, which passes the bytes on.
    Through(IpAddr),
}

/// A pause that was not known before, or one that ends later than known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Time that the node keeps to.
    pub kept: Millis,
    /// Whether the server was not in a pause before.
    pub is_new: bool,
}

/// Returns when a caller is asked to come again whose request no server wants for a time; `random` is at
/// least 0 and less than 1.
#[must_use]
pub fn retry_after(left: Millis, random: f64) -> Millis {
    // Callers that were refused together do not return together.
    let spread = left.0 as f64 / SPREAD_DIVISOR * random;
    Millis(left.0 + spread.ceil() as u64)
}

/// The pauses that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Table {
    ends: HashMap<(ServerId, Way), Instant>,
}

impl Table {
    /// Records what a refusal says and returns what is new; none if it changes nothing.
    pub fn record(
        &mut self,
        server: ServerId,
        way: Way,
        pause: Pause,
        now: Instant,
    ) -> Option<News> {
        let Pause::For(asked) = pause else {
            return None;
        };
        let kept = asked.min(MAX_PAUSE);
        let until = now + kept + MARGIN;
        self.ends.retain(|_, end| *end > now);
        let known = self.ends.get(&(server, way)).copied();
        if kept == Millis(0) || known.is_some_and(|end| end >= until) {
            return None;
        }
        self.ends.insert((server, way), until);
        Some(News {
            kept,
            is_new: known.is_none(),
        })
    }

    /// Returns the time left of a server's pause; none if it wants requests.
    #[must_use]
    pub fn left(&self, server: ServerId, way: Way, now: Instant) -> Option<Millis> {
        let end = self.ends.get(&(server, way))?;
        (*end > now).then(|| end.since(now))
    }

    /// Returns whether no pause was recorded that may still last.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}
