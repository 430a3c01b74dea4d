//! The key-value service over the published etcd v3 interface.

mod follower;
mod link;
mod message;

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

use follower::Follower;
use link::{Link, Pool, Reply};

/// Messages that wait to be sent on a stream; each stream sends one.
const STREAM_QUEUE: usize = 1;

/// Bounds of every call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time in which a connection to one endpoint must be established.
    pub connect: Millis,
    /// Time in which a call must be answered once a connection stands.
    pub call: Millis,
    /// Time between checks of an open connection, and for the answer to a check.
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

/// A client of the key-value service.
#[derive(Clone, Debug)]
pub struct Client {
    runtime: Handle,
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client that carries its calls out on a runtime; connects when first called.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no endpoint.
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

    /// Carries a call out on the client's own runtime, where its connections live.
    async fn run<T: Send + 'static>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<T>> + Send + 'static,
    ) -> Result<T> {
        match self.runtime.spawn(call).await {
            Ok(result) => result,
            // The call may have got anywhere before its task ended.
            Err(error) => Err(Error::indeterminate(step, "key-value service", error)),
        }
    }

    /// Reads a range.
    async fn range(&self, step: &'static str, request: proto::RangeRequest) -> Result<Vec<Entry>> {
        let pool = Arc::clone(&self.pool);
        let call = async move {
            // A read may be sent again: to each endpoint, and to the first on a new connection.
            let mut lost = None;
            for _ in 0..=pool.len() {
                let link = pool.link(step).await?;
                let answer = link.call(step, send_range(&link, request.clone())).await;
                match pool.settle(&link, answer) {
                    Err(error) if error.is_indeterminate() => lost = Some(error),
                    Err(error) => return Err(error),
                    Ok(found) => return message::entries(step, link.peer(), found.kvs),
                }
            }
            Err(lost
                .unwrap_or_else(|| Error::unreachable(step, "key-value service", "no endpoint")))
        };
        self.run(step, call).await
    }

    /// Sends a call once and never again.
    async fn once<T, F>(
        &self,
        step: &'static str,
        call: impl FnOnce(Link) -> F + Send + 'static,
    ) -> Result<T>
    where
        T: Send + 'static,
        F: Future<Output = Reply<T>> + Send,
    {
        let pool = Arc::clone(&self.pool);
        let sent = async move {
            let link = pool.link(step).await?;
            let answer = link.call(step, call(link.clone())).await;
            pool.settle(&link, answer)
        };
        self.run(step, sent).await
    }
}

async fn send_range(link: &Link, request: proto::RangeRequest) -> Reply<proto::RangeResponse> {
    let mut client = KvClient::new(link.channel());
    client.range(request).await.map(Response::into_inner)
}

#[async_trait]
impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let entries = self.range("get", message::one(key)).await?;
        Ok(entries.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.range("list", message::prefix(prefix)).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Committed> {
        let request = message::transaction(transaction);
        let answer = self
            .once("commit", move |link| async move {
                let mut client = KvClient::new(link.channel());
                client.txn(request).await.map(Response::into_inner)
            })
            .await?;
        message::committed("commit", answer)
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        let request = proto::LeaseGrantRequest {
            ttl: message::seconds(ttl),
            id: 0,
        };
        let answer = self
            .once("grant", move |link| async move {
                let mut client = LeaseClient::new(link.channel());
                client.lease_grant(request).await.map(Response::into_inner)
            })
            .await?;
        if answer.error.is_empty() {
            return Ok(Lease(answer.id));
        }
        Err(Error::refused("grant", "key-value service", answer.error))
    }

    async fn renew(&self, lease: Lease) -> Result<Millis> {
        let request = proto::LeaseKeepAliveRequest { id: lease.0 };
        let answer = self
            .once("renew", move |link| async move {
                let mut client = LeaseClient::new(link.channel());
                let requests = tokio_stream::once(request);
                let mut answers = client.lease_keep_alive(requests).await?.into_inner();
                answers
                    .message()
                    .await?
                    .ok_or_else(|| Status::unavailable("the stream ended"))
            })
            .await?;
        Ok(message::millis(answer.ttl))
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let request = proto::LeaseRevokeRequest { id: lease.0 };
        self.once("revoke", move |link| async move {
            let mut client = LeaseClient::new(link.channel());
            client.lease_revoke(request).await.map(drop)
        })
        .await
    }

    async fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>> {
        let request = message::watch(prefix, from);
        let follower = self
            .once("watch", move |link| async move {
                let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
                // The queue has room for the one message that is ever sent.
                let _ = sender.try_send(request);
                let mut client = WatchClient::new(link.channel());
                let requests = ReceiverStream::new(receiver);
                let mut answers = client.watch(requests).await?.into_inner();
                let created = answers.message().await?;
                match created {
                    Some(answer) if answer.created && !answer.canceled => {
                        Ok(Follower::new(sender, answers))
                    }
                    Some(answer) => Err(Status::failed_precondition(answer.cancel_reason)),
                    None => Err(Status::unavailable("the stream ended")),
                }
            })
            .await?;
        Ok(Box::new(follower))
    }
}
