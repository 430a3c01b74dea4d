//! Connections to the endpoints, and what an error on one of them means.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};

use compact_str::{CompactString, ToCompactString};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use super::Bounds;

/// What the transport gives for one call.
pub(super) type Reply<T> = std::result::Result<T, Status>;

/// An open connection to one endpoint.
#[derive(Clone)]
pub(super) struct Link {
    place: usize,
    number: usize,
    peer: CompactString,
    channel: Channel,
    timeout: Millis,
}

impl Link {
    /// Gets the connection.
    pub(super) fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// Gets the name of the endpoint.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }

    /// Waits for an answer within the bound of a call.
    pub(super) async fn call<T>(
        &self,
        step: &'static str,
        answer: impl Future<Output = Reply<T>>,
    ) -> Result<T> {
        match tokio::time::timeout(self.timeout.duration(), answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(status)) => Err(classify(step, &self.peer, &status)),
            Err(_) => {
                let reason = format!("no answer within {}", self.timeout);
                Err(Error::indeterminate(step, &self.peer, reason))
            }
        }
    }
}

/// Tells a refusal by the service from an answer that was lost.
fn classify(step: &'static str, peer: &str, status: &Status) -> Error {
    let reason = format!("{}: {}", status.code(), status.message());
    match status.code() {
        // The service gives these before a call takes effect; the transport gives none of them.
        Code::InvalidArgument
        | Code::NotFound
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::FailedPrecondition
        | Code::Unimplemented => Error::refused(step, peer, reason),
        Code::Ok
        | Code::Cancelled
        | Code::Unknown
        | Code::DeadlineExceeded
        | Code::AlreadyExists
        | Code::ResourceExhausted
        | Code::Aborted
        | Code::OutOfRange
        | Code::Internal
        | Code::Unavailable
        | Code::DataLoss => Error::indeterminate(step, peer, reason),
    }
}

/// One endpoint and its connection.
struct Place {
    address: SocketAddr,
    link: Mutex<Option<Link>>,
}

/// The endpoints, of which one is preferred until it fails.
pub(super) struct Pool {
    places: Vec<Place>,
    bounds: Bounds,
    preferred: AtomicUsize,
    opened: AtomicUsize,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("endpoints", &self.places.len())
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub(super) fn new(endpoints: &[SocketAddr], bounds: Bounds) -> Self {
        let places = endpoints.iter().map(|address| Place {
            address: *address,
            link: Mutex::new(None),
        });
        Pool {
            places: places.collect(),
            bounds,
            preferred: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
        }
    }

    /// Gets the number of endpoints.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Gets a connection, the preferred endpoint first.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if no endpoint can be connected to; nothing was sent then.
    pub(super) async fn link(&self, step: &'static str) -> Result<Link> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = None;
        for offset in 0..self.places.len() {
            let place = (first + offset) % self.places.len();
            match self.open(step, place).await {
                Ok(link) => {
                    self.preferred.store(place, Ordering::Relaxed);
                    return Ok(link);
                }
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| Error::unreachable(step, "key-value service", "no endpoint")))
    }

    /// Retires the connection of a call whose answer was lost, and prefers the next endpoint.
    pub(super) fn settle<T>(&self, link: &Link, answer: Result<T>) -> Result<T> {
        if let Err(error) = &answer
            && error.is_indeterminate()
        {
            let mut kept = self.lock(link.place);
            // Another call may have opened a new connection in the meantime.
            if kept.as_ref().is_some_and(|kept| kept.number == link.number) {
                *kept = None;
                let next = (link.place + 1) % self.places.len();
                self.preferred.store(next, Ordering::Relaxed);
            }
        }
        answer
    }

    async fn open(&self, step: &'static str, place: usize) -> Result<Link> {
        let kept = self.lock(place).clone();
        if let Some(link) = kept {
            return Ok(link);
        }
        let address = self.places[place].address;
        let peer = address.to_compact_string();
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::malformed(step, &peer, error))?
            .connect_timeout(self.bounds.connect.duration())
            .http2_keep_alive_interval(self.bounds.heartbeat.duration())
            .keep_alive_timeout(self.bounds.heartbeat.duration())
            .keep_alive_while_idle(true);
        let connecting = endpoint.connect();
        // The endpoint's own bound does not cover the handshake of a peer that accepts in silence.
        let connected = tokio::time::timeout(self.bounds.connect.duration(), connecting)
            .await
            .map_err(|_| Error::unreachable(step, &peer, "no connection in time"))?;
        let channel =
            connected.map_err(|error| Error::unreachable(step, &peer, describe(&error)))?;
        let link = Link {
            place,
            number: self.opened.fetch_add(1, Ordering::Relaxed),
            peer,
            channel,
            timeout: self.bounds.call,
        };
        *self.lock(place) = Some(link.clone());
        Ok(link)
    }

    fn lock(&self, place: usize) -> std::sync::MutexGuard<'_, Option<Link>> {
        self.places[place]
            .link
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Joins an error with its causes, since the transport's own text says little.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
