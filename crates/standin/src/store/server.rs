//! Serves the in-memory key-value service over the etcd v3 gRPC interface.

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
use jackdaw_wire::etcdserverpb::lease_server::{Lease as LeaseApi, LeaseServer};
use jackdaw_wire::etcdserverpb::request_op::Request as Operation;
use jackdaw_wire::etcdserverpb::response_op::Response as OperationResponse;
use jackdaw_wire::etcdserverpb::watch_request::RequestUnion;
use jackdaw_wire::etcdserverpb::watch_server::{Watch as WatchApi, WatchServer};
use jackdaw_wire::etcdserverpb::{self, self as proto};
use tokio::sync::oneshot;
use tokio_stream::Stream;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::{Request, Response, Status, Streaming};

use super::memory::Memory;
use super::message::{
    RpcResult, event, range_prefix, range_response, response_header, signed, status, transaction,
    unsigned, utf8_key, write,
};

/// Responses of a streaming call.
type ResponseStream<T> = Pin<Box<dyn Stream<Item = RpcResult<T>> + Send>>;

/// A running server on its own thread.
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
        let start_error = |error: std::io::Error| Error::unreachable("start store", &peer, error);
        let listener = TcpListener::bind(address).map_err(start_error)?;
        listener.set_nonblocking(true).map_err(start_error)?;
        let address = listener.local_addr().map_err(start_error)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(start_error)?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("standin-store".to_owned())
            .spawn(move || runtime.block_on(serve(listener, memory, stopped)))
            .map_err(start_error)?;
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
    let server = tonic::transport::Server::builder()
        .serve_with_incoming(services, TcpListenerStream::new(listener));
    tokio::select! {
        _ = server => {}
        _ = stopped => {}
    }
}

/// Dispatches a call to one of the etcd services by its path.
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

/// Implements the etcd services on the in-memory service.
#[derive(Clone)]
struct Api {
    memory: Memory,
}

impl Api {
    fn response_header(&self) -> Option<proto::ResponseHeader> {
        response_header(self.memory.revision())
    }
}

#[tonic::async_trait]
impl Kv for Api {
    async fn range(
        &self,
        request: Request<proto::RangeRequest>,
    ) -> RpcResult<Response<proto::RangeResponse>> {
        let request = request.into_inner();
        let found = if request.range_end.is_empty() {
            let key = utf8_key(request.key)?;
            let entry = self.memory.get(&key).await.map_err(status)?;
            Vec::from_iter(entry)
        } else {
            let prefix = range_prefix(request.key, &request.range_end)?;
            self.memory.list(&prefix).await.map_err(status)?
        };
        Ok(Response::new(range_response(self.response_header(), found)))
    }

    async fn put(
        &self,
        request: Request<proto::PutRequest>,
    ) -> RpcResult<Response<proto::PutResponse>> {
        let transaction = Transaction {
            then: vec![write(Operation::RequestPut(request.into_inner()))?],
            ..Transaction::default()
        };
        self.memory.commit(transaction).await.map_err(status)?;
        let header = self.response_header();
        Ok(Response::new(proto::PutResponse { header }))
    }

    async fn delete_range(
        &self,
        request: Request<proto::DeleteRangeRequest>,
    ) -> RpcResult<Response<proto::DeleteRangeResponse>> {
        let transaction = Transaction {
            then: vec![write(Operation::RequestDeleteRange(request.into_inner()))?],
            ..Transaction::default()
        };
        let before = self.memory.revision();
        self.memory.commit(transaction).await.map_err(status)?;
        let deleted = i64::from(self.memory.revision() != before);
        let header = self.response_header();
        Ok(Response::new(proto::DeleteRangeResponse {
            header,
            deleted,
        }))
    }

    async fn txn(
        &self,
        request: Request<proto::TxnRequest>,
    ) -> RpcResult<Response<proto::TxnResponse>> {
        let request = request.into_inner();
        let writes = request.success.len();
        let transaction = transaction(request)?;
        let answer = match self.memory.commit(transaction).await.map_err(status)? {
            Committed::Yes(revision) => proto::TxnResponse {
                header: response_header(revision),
                succeeded: true,
                responses: vec![proto::ResponseOp::default(); writes],
            },
            Committed::No(found) => proto::TxnResponse {
                header: self.response_header(),
                succeeded: false,
                responses: found
                    .into_iter()
                    .map(|entry| self.range_operation(entry))
                    .collect(),
            },
        };
        Ok(Response::new(answer))
    }
}

impl Api {
    fn range_operation(&self, entry: Entry) -> proto::ResponseOp {
        let range = range_response(self.response_header(), vec![entry]);
        proto::ResponseOp {
            response: Some(OperationResponse::ResponseRange(range)),
        }
    }
}

#[tonic::async_trait]
impl LeaseApi for Api {
    async fn lease_grant(
        &self,
        request: Request<proto::LeaseGrantRequest>,
    ) -> RpcResult<Response<proto::LeaseGrantResponse>> {
        let ttl = request.into_inner().ttl;
        let duration = Millis::from_secs(unsigned(ttl));
        let lease = self.memory.grant(duration).await.map_err(status)?;
        Ok(Response::new(proto::LeaseGrantResponse {
            header: self.response_header(),
            id: lease.0,
            ttl,
            error: String::new(),
        }))
    }

    async fn lease_revoke(
        &self,
        request: Request<proto::LeaseRevokeRequest>,
    ) -> RpcResult<Response<proto::LeaseRevokeResponse>> {
        let lease = Lease(request.into_inner().id);
        self.memory.revoke(lease).await.map_err(status)?;
        let header = self.response_header();
        Ok(Response::new(proto::LeaseRevokeResponse { header }))
    }

    type LeaseKeepAliveStream = ResponseStream<proto::LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<proto::LeaseKeepAliveRequest>>,
    ) -> RpcResult<Response<Self::LeaseKeepAliveStream>> {
        let renewals = (self.clone(), request.into_inner());
        let answers = stream::try_unfold(renewals, |(api, mut requests)| async move {
            let Some(request) = requests.message().await? else {
                return Ok(None);
            };
            let lease = Lease(request.id);
            let remaining = api.memory.renew(lease).await.map_err(status)?;
            let answer = proto::LeaseKeepAliveResponse {
                header: api.response_header(),
                id: lease.0,
                ttl: signed(remaining.0.div_ceil(1_000)),
            };
            Ok(Some((answer, (api, requests))))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

/// A client's watch call; the watch exists once the client has sent its request.
struct WatchSession {
    api: Api,
    watch: Option<Box<dyn Watch>>,
    requests: Streaming<proto::WatchRequest>,
}

impl WatchSession {
    async fn next(&mut self) -> RpcResult<Option<proto::WatchResponse>> {
        let Some(watch) = self.watch.as_mut() else {
            return self.create().await;
        };
        tokio::select! {
            changes = watch.next() => match changes {
                Some(changes) => Ok(Some(proto::WatchResponse {
                    header: self.api.response_header(),
                    events: changes.into_iter().map(event).collect(),
                    ..proto::WatchResponse::default()
                })),
                None => Err(Status::unavailable("the service is down")),
            },
            // The only message that the client still sends ends the watch.
            _ = self.requests.message() => Ok(None),
        }
    }

    async fn create(&mut self) -> RpcResult<Option<proto::WatchResponse>> {
        let request = self.requests.message().await?;
        let Some(RequestUnion::CreateRequest(create)) =
            request.and_then(|request| request.request_union)
        else {
            return Ok(None);
        };
        let prefix = range_prefix(create.key, &create.range_end)?;
        let from = unsigned(create.start_revision);
        let watch = self.api.memory.watch(&prefix, from).await.map_err(status)?;
        self.watch = Some(watch);
        Ok(Some(proto::WatchResponse {
            header: self.api.response_header(),
            created: true,
            ..proto::WatchResponse::default()
        }))
    }
}

#[tonic::async_trait]
impl WatchApi for Api {
    type WatchStream = ResponseStream<proto::WatchResponse>;

    async fn watch(
        &self,
        request: Request<Streaming<proto::WatchRequest>>,
    ) -> RpcResult<Response<Self::WatchStream>> {
        let session = WatchSession {
            api: self.clone(),
            watch: None,
            requests: request.into_inner(),
        };
        let answers = stream::try_unfold(session, |mut session| async move {
            let answer = session.next().await?;
            Ok(answer.map(|answer| (answer, session)))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}
