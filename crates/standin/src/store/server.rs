//! The key-value service behind the published etcd v3 interface.

use std::convert::Infallible;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::thread::JoinHandle;

use futures::stream;
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Entry, Lease, Store, Transaction, Watch};
use jackdaw_core::units::Millis;
use jackdaw_wire::etcdserverpb::kv_server::{Kv, KvServer};
use jackdaw_wire::etcdserverpb::lease_server::{Lease as Leases, LeaseServer};
use jackdaw_wire::etcdserverpb::request_op::Request as Step;
use jackdaw_wire::etcdserverpb::response_op::Response as Done;
use jackdaw_wire::etcdserverpb::watch_request::RequestUnion;
use jackdaw_wire::etcdserverpb::watch_server::{Watch as Watches, WatchServer};
use jackdaw_wire::etcdserverpb::{self, self as proto};
use tokio::sync::oneshot;
use tokio_stream::Stream;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::{Request, Response, Status, Streaming};

use super::memory::Memory;
use super::message::{
    Reply, event, head, prefix, range, signed, status, text, transaction, unsigned, write,
};

/// Answers of a stream.
type Answers<T> = Pin<Box<dyn Stream<Item = Reply<T>> + Send>>;

/// A running server on a thread of its own.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Serves a service on an address; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or no runtime can be started.
    pub fn start(address: SocketAddr, memory: Memory) -> Result<Server> {
        let peer = address.to_string();
        let fail = |error: std::io::Error| Error::unreachable("start store", &peer, error);
        let listener = TcpListener::bind(address).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(fail)?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("standin-store".to_owned())
            .spawn(move || runtime.block_on(serve(listener, memory, stopped)))
            .map_err(fail)?;
        Ok(Server {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Gets the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Dropping the sender ends the server together with its open connections.
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(listener: TcpListener, memory: Memory, stopped: oneshot::Receiver<()>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let services = Services::new(Api { memory });
    let serving = tonic::transport::Server::builder()
        .serve_with_incoming(services, TcpListenerStream::new(listener));
    tokio::select! {
        _ = serving => {}
        _ = stopped => {}
    }
}

/// Chooses the published service by the path of a call.
#[derive(Clone)]
struct Services {
    keys: KvServer<Api>,
    watches: WatchServer<Api>,
    leases: LeaseServer<Api>,
}

impl Services {
    fn new(api: Api) -> Self {
        Services {
            keys: KvServer::new(api.clone()),
            watches: WatchServer::new(api.clone()),
            leases: LeaseServer::new(api),
        }
    }
}

impl Service<http::Request<Body>> for Services {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Infallible>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<std::result::Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let service = request.uri().path().split('/').nth(1);
        match service {
            Some(etcdserverpb::watch_server::SERVICE_NAME) => self.watches.call(request),
            Some(etcdserverpb::lease_server::SERVICE_NAME) => self.leases.call(request),
            // The key service answers unknown paths as unimplemented.
            _ => self.keys.call(request),
        }
    }
}

/// What the published services are carried out by.
#[derive(Clone)]
struct Api {
    memory: Memory,
}

impl Api {
    fn head(&self) -> Option<proto::ResponseHeader> {
        head(self.memory.revision())
    }
}

#[tonic::async_trait]
impl Kv for Api {
    async fn range(
        &self,
        request: Request<proto::RangeRequest>,
    ) -> Reply<Response<proto::RangeResponse>> {
        let request = request.into_inner();
        let found = if request.range_end.is_empty() {
            let key = text(request.key)?;
            let entry = self.memory.get(&key).await.map_err(status)?;
            Vec::from_iter(entry)
        } else {
            let prefix = prefix(request.key, &request.range_end)?;
            self.memory.list(&prefix).await.map_err(status)?
        };
        Ok(Response::new(range(self.head(), found)))
    }

    async fn put(
        &self,
        request: Request<proto::PutRequest>,
    ) -> Reply<Response<proto::PutResponse>> {
        let transaction = Transaction {
            then: vec![write(Step::RequestPut(request.into_inner()))?],
            ..Transaction::default()
        };
        self.memory.commit(transaction).await.map_err(status)?;
        let header = self.head();
        Ok(Response::new(proto::PutResponse { header }))
    }

    async fn delete_range(
        &self,
        request: Request<proto::DeleteRangeRequest>,
    ) -> Reply<Response<proto::DeleteRangeResponse>> {
        let transaction = Transaction {
            then: vec![write(Step::RequestDeleteRange(request.into_inner()))?],
            ..Transaction::default()
        };
        let before = self.memory.revision();
        self.memory.commit(transaction).await.map_err(status)?;
        let deleted = i64::from(self.memory.revision() != before);
        let header = self.head();
        Ok(Response::new(proto::DeleteRangeResponse {
            header,
            deleted,
        }))
    }

    async fn txn(
        &self,
        request: Request<proto::TxnRequest>,
    ) -> Reply<Response<proto::TxnResponse>> {
        let request = request.into_inner();
        let writes = request.success.len();
        let transaction = transaction(request)?;
        let answer = match self.memory.commit(transaction).await.map_err(status)? {
            Committed::Yes(revision) => proto::TxnResponse {
                header: head(revision),
                succeeded: true,
                responses: vec![proto::ResponseOp::default(); writes],
            },
            Committed::No(found) => proto::TxnResponse {
                header: self.head(),
                succeeded: false,
                responses: found.into_iter().map(|entry| self.read(entry)).collect(),
            },
        };
        Ok(Response::new(answer))
    }
}

impl Api {
    fn read(&self, entry: Entry) -> proto::ResponseOp {
        let range = range(self.head(), vec![entry]);
        proto::ResponseOp {
            response: Some(Done::ResponseRange(range)),
        }
    }
}

#[tonic::async_trait]
impl Leases for Api {
    async fn lease_grant(
        &self,
        request: Request<proto::LeaseGrantRequest>,
    ) -> Reply<Response<proto::LeaseGrantResponse>> {
        let ttl = request.into_inner().ttl;
        let span = Millis::from_secs(unsigned(ttl));
        let lease = self.memory.grant(span).await.map_err(status)?;
        Ok(Response::new(proto::LeaseGrantResponse {
            header: self.head(),
            id: lease.0,
            ttl,
            error: String::new(),
        }))
    }

    async fn lease_revoke(
        &self,
        request: Request<proto::LeaseRevokeRequest>,
    ) -> Reply<Response<proto::LeaseRevokeResponse>> {
        let lease = Lease(request.into_inner().id);
        self.memory.revoke(lease).await.map_err(status)?;
        let header = self.head();
        Ok(Response::new(proto::LeaseRevokeResponse { header }))
    }

    type LeaseKeepAliveStream = Answers<proto::LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<proto::LeaseKeepAliveRequest>>,
    ) -> Reply<Response<Self::LeaseKeepAliveStream>> {
        let renewals = (self.clone(), request.into_inner());
        let answers = stream::try_unfold(renewals, |(api, mut requests)| async move {
            let Some(request) = requests.message().await? else {
                return Ok(None);
            };
            let lease = Lease(request.id);
            let left = api.memory.renew(lease).await.map_err(status)?;
            let answer = proto::LeaseKeepAliveResponse {
                header: api.head(),
                id: lease.0,
                ttl: signed(left.0.div_ceil(1_000)),
            };
            Ok(Some((answer, (api, requests))))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

/// A watch that the server follows for a client.
struct Following {
    api: Api,
    watch: Option<Box<dyn Watch>>,
    requests: Streaming<proto::WatchRequest>,
}

impl Following {
    async fn next(&mut self) -> Reply<Option<proto::WatchResponse>> {
        let Some(watch) = self.watch.as_mut() else {
            return self.create().await;
        };
        tokio::select! {
            changes = watch.next() => match changes {
                Some(changes) => Ok(Some(proto::WatchResponse {
                    header: self.api.head(),
                    events: changes.into_iter().map(event).collect(),
                    ..proto::WatchResponse::default()
                })),
                None => Err(Status::unavailable("the service is down")),
            },
            // The client sends nothing more but the end of its watch.
            _ = self.requests.message() => Ok(None),
        }
    }

    async fn create(&mut self) -> Reply<Option<proto::WatchResponse>> {
        let request = self.requests.message().await?;
        let Some(RequestUnion::CreateRequest(create)) = request.and_then(|it| it.request_union)
        else {
            return Ok(None);
        };
        let prefix = prefix(create.key, &create.range_end)?;
        let from = unsigned(create.start_revision);
        let watch = self.api.memory.watch(&prefix, from).await.map_err(status)?;
        self.watch = Some(watch);
        Ok(Some(proto::WatchResponse {
            header: self.api.head(),
            created: true,
            ..proto::WatchResponse::default()
        }))
    }
}

#[tonic::async_trait]
impl Watches for Api {
    type WatchStream = Answers<proto::WatchResponse>;

    async fn watch(
        &self,
        request: Request<Streaming<proto::WatchRequest>>,
    ) -> Reply<Response<Self::WatchStream>> {
        let following = Following {
            api: self.clone(),
            watch: None,
            requests: request.into_inner(),
        };
        let answers = stream::try_unfold(following, |mut following| async move {
            let answer = following.next().await?;
            Ok(answer.map(|answer| (answer, following)))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}
