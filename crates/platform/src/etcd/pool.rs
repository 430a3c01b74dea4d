//! Connection pool over the endpoints, and classification of gRPC errors.

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

/// Result of a gRPC call.
pub(super) type Reply<T> = std::result::Result<T, Status>;

/// An open connection to one endpoint.
#[derive(Clone)]
pub(super) struct Connection {
    /// Index of the endpoint in the pool.
    endpoint_index: usize,
    /// Distinguishes successive connections to one endpoint.
    id: usize,
    peer: CompactString,
    channel: Channel,
    timeout: Millis,
}

impl Connection {
    /// Returns the gRPC channel of the connection.
    pub(super) fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// Returns the address of the endpoint, as named in errors.
    pub(super) fn peer(&self) -> &str {
        &self.peer
    }

    /// Waits for the response to a call, up to the call's time limit.
    ///
    /// # Errors
    ///
    /// Returns `Refused` if the service rejected the call, and `Indeterminate` if the call timed
    /// out or may have taken effect.
    pub(super) async fn call<T>(
        &self,
        step: &'static str,
        response: impl Future<Output = Reply<T>>,
    ) -> Result<T> {
        match tokio::time::timeout(self.timeout.duration(), response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(status)) => Err(classify(step, &self.peer, &status)),
            Err(_) => {
                let reason = format!("no answer within {}", self.timeout);
                Err(Error::indeterminate(step, &self.peer, reason))
            }
        }
    }
}

/// Distinguishes a rejection by the service from a call that may have taken effect.
fn classify(step: &'static str, peer: &str, status: &Status) -> Error {
    let reason = format!("{}: {}", status.code(), status.message());
    match status.code() {
        // The service returns these before a call takes effect, and the transport never does.
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

/// An endpoint and its open connection, if any.
struct Slot {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
}

/// Connections to all endpoints; one endpoint is preferred until it fails.
pub(super) struct Pool {
    slots: Vec<Slot>,
    bounds: Bounds,
    /// Index of the endpoint to try first.
    preferred: AtomicUsize,
    /// Number of connections opened so far, which is the id of the next one.
    opened: AtomicUsize,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("endpoints", &self.slots.len())
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool that has no open connections.
    pub(super) fn new(endpoints: &[SocketAddr], bounds: Bounds) -> Self {
        let slots = endpoints.iter().map(|address| Slot {
            address: *address,
            connection: Mutex::new(None),
        });
        Pool {
            slots: slots.collect(),
            bounds,
            preferred: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
        }
    }

    /// Returns the number of endpoints.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns a connection to the first reachable endpoint, starting with the preferred one.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if no endpoint accepts a connection; the call was not sent then.
    pub(super) async fn acquire(&self, step: &'static str) -> Result<Connection> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = None;
        for offset in 0..self.slots.len() {
            let endpoint_index = (first + offset) % self.slots.len();
            match self.get_or_open(step, endpoint_index).await {
                Ok(connection) => {
                    self.preferred.store(endpoint_index, Ordering::Relaxed);
                    return Ok(connection);
                }
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error
            .unwrap_or_else(|| Error::unreachable(step, "key-value service", "no endpoint")))
    }

    /// Passes a call's result through. If the result is indeterminate, drops the connection and
    /// prefers the next endpoint.
    pub(super) fn discard_if_lost<T>(
        &self,
        connection: &Connection,
        response: Result<T>,
    ) -> Result<T> {
        if let Err(error) = &response
            && error.is_indeterminate()
        {
            let mut current = self.lock(connection.endpoint_index);
            // Another call may have opened a new connection in the meantime.
            if current
                .as_ref()
                .is_some_and(|current| current.id == connection.id)
            {
                *current = None;
                let next = (connection.endpoint_index + 1) % self.slots.len();
                self.preferred.store(next, Ordering::Relaxed);
            }
        }
        response
    }

    /// Returns the open connection to an endpoint, or opens one.
    async fn get_or_open(&self, step: &'static str, endpoint_index: usize) -> Result<Connection> {
        let current = self.lock(endpoint_index).clone();
        if let Some(connection) = current {
            return Ok(connection);
        }
        let address = self.slots[endpoint_index].address;
        let peer = address.to_compact_string();
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::malformed(step, &peer, error))?
            .connect_timeout(self.bounds.connect.duration())
            .http2_keep_alive_interval(self.bounds.heartbeat.duration())
            .keep_alive_timeout(self.bounds.heartbeat.duration())
            .keep_alive_while_idle(true);
        let connecting = endpoint.connect();
        // `connect_timeout` does not cover the handshake with a peer that accepts and stays silent.
        let connected = tokio::time::timeout(self.bounds.connect.duration(), connecting)
            .await
            .map_err(|_| Error::unreachable(step, &peer, "no connection in time"))?;
        let channel =
            connected.map_err(|error| Error::unreachable(step, &peer, join_causes(&error)))?;
        let connection = Connection {
            endpoint_index,
            id: self.opened.fetch_add(1, Ordering::Relaxed),
            peer,
            channel,
            timeout: self.bounds.call,
        };
        *self.lock(endpoint_index) = Some(connection.clone());
        Ok(connection)
    }

    fn lock(&self, endpoint_index: usize) -> std::sync::MutexGuard<'_, Option<Connection>> {
        self.slots[endpoint_index]
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Joins an error with its causes, which the transport's own message leaves out.
fn join_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
