//! Client for a key-value service that implements the etcd v3 API.

mod message;
mod pool;
mod watcher;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::units::Millis;
use jackdaw_wire::etcdserverpb as proto;
use jackdaw_wire::etcdserverpb::kv_client::KvClient;
use jackdaw_wire::etcdserverpb::lease_client::LeaseClient;
use jackdaw_wire::etcdserverpb::watch_client::WatchClient;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Response, Status};

use pool::{Connection, Pool, Reply};
use watcher::Watcher;

/// Capacity of a request stream in messages; each stream sends one.
const STREAM_QUEUE: usize = 1;

/// Time limits that apply to every call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time limit for connecting to one endpoint.
    pub connect: Millis,
    /// Time limit for the response to a call, once connected.
    pub call: Millis,
    /// Interval between keep-alive pings on an open connection, and time limit for their
    /// acknowledgement.
    pub heartbeat: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            connect: Millis(400),
            call: Millis(800),
            heartbeat: Millis(2_000),
        }
    }
}

/// Client for the key-value service; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    runtime: Handle,
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client that runs its calls on `runtime`. The first call opens a connection.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if `endpoints` is empty.
    pub fn new(runtime: Handle, endpoints: &[SocketAddr], bounds: Bounds) -> Result<Self> {
        if endpoints.is_empty() {
            let reason = "no endpoint is named";
            return Err(Error::malformed("connect", "settings", reason));
        }
        Ok(Client {
            runtime,
            pool: Arc::new(Pool::new(endpoints, bounds)),
        })
    }

    /// Runs a call on the client's own runtime, which drives its connections.
    async fn run<T: Send + 'static>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<T>> + Send + 'static,
    ) -> Result<T> {
        match self.runtime.spawn(call).await {
            Ok(result) => result,
            // The call may have taken effect before its task was cancelled or panicked.
            Err(error) => Err(Error::indeterminate(step, "key-value service", error)),
        }
    }

    /// Reads a key range.
    async fn read_range(
        &self,
        step: &'static str,
        request: proto::RangeRequest,
    ) -> Result<Vec<Entry>> {
        let pool = Arc::clone(&self.pool);
        let call = async move {
            // Reads are idempotent, so they are retried: on each endpoint, and once more on the
            // first endpoint over a new connection.
            let mut last_error = None;
            for _ in 0..=pool.len() {
                let connection = pool.acquire(step).await?;
                let response = connection
                    .call(step, send_range(&connection, request.clone()))
                    .await;
                match pool.discard_if_lost(&connection, response) {
                    Err(error) if error.is_indeterminate() => last_error = Some(error),
                    Err(error) => return Err(error),
                    Ok(found) => {
                        return message::decode_entries(step, connection.peer(), found.kvs);
                    }
                }
            }
            Err(last_error
                .unwrap_or_else(|| Error::unreachable(step, "key-value service", "no endpoint")))
        };
        self.run(step, call).await
    }

    /// Sends a call without retries, since it may not be idempotent.
    async fn send_once<T, F>(
        &self,
        step: &'static str,
        call: impl FnOnce(Connection) -> F + Send + 'static,
    ) -> Result<T>
    where
        T: Send + 'static,
        F: Future<Output = Reply<T>> + Send,
    {
        let pool = Arc::clone(&self.pool);
        let task = async move {
            let connection = pool.acquire(step).await?;
            let response = connection.call(step, call(connection.clone())).await;
            pool.discard_if_lost(&connection, response)
        };
        self.run(step, task).await
    }
}

/// Sends a range request over a connection.
async fn send_range(
    connection: &Connection,
    request: proto::RangeRequest,
) -> Reply<proto::RangeResponse> {
    let mut client = KvClient::new(connection.channel());
    client.range(request).await.map(Response::into_inner)
}

#[async_trait]
impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let entries = self.read_range("get", message::encode_get(key)).await?;
        Ok(entries.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.read_range("list", message::encode_list(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        let request = message::encode_transaction(transaction);
        let response = self
            .send_once("commit", move |connection| async move {
                let mut client = KvClient::new(connection.channel());
                client.txn(request).await.map(Response::into_inner)
            })
            .await?;
        message::decode_committed("commit", response)
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        let request = proto::LeaseGrantRequest {
            ttl: message::encode_ttl(ttl),
            id: 0,
        };
        let response = self
            .send_once("grant", move |connection| async move {
                let mut client = LeaseClient::new(connection.channel());
                client.lease_grant(request).await.map(Response::into_inner)
            })
            .await?;
        if response.error.is_empty() {
            return Ok(Lease(response.id));
        }
        Err(Error::refused("grant", "key-value service", response.error))
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        let request = proto::LeaseKeepAliveRequest { id: lease.0 };
        let response = self
            .send_once("renew", move |connection| async move {
                let mut client = LeaseClient::new(connection.channel());
                let requests = tokio_stream::once(request);
                let mut responses = client.lease_keep_alive(requests).await?.into_inner();
                responses
                    .message()
                    .await?
                    .ok_or_else(|| Status::unavailable("the stream ended"))
            })
            .await?;
        Ok(message::decode_ttl(response.ttl))
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let request = proto::LeaseRevokeRequest { id: lease.0 };
        self.send_once("revoke", move |connection| async move {
            let mut client = LeaseClient::new(connection.channel());
            client.lease_revoke(request).await.map(drop)
        })
        .await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        let request = message::encode_watch(prefix, from);
        let watcher = self
            .send_once("watch", move |connection| async move {
                let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
                // Cannot fail: the channel has capacity for this message, the only one sent.
                let _ = sender.try_send(request);
                let mut client = WatchClient::new(connection.channel());
                let requests = ReceiverStream::new(receiver);
                let mut responses = client.watch(requests).await?.into_inner();
                let created = responses.message().await?;
                match created {
                    Some(response) if response.created && !response.canceled => {
                        Ok(Watcher::new(sender, responses))
                    }
                    Some(response) => Err(Status::failed_precondition(response.cancel_reason)),
                    None => Err(Status::unavailable("the stream ended")),
                }
            })
            .await?;
        Ok(Box::new(watcher))
    }
}
