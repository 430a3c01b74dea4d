//! Stand-in for a plain service that counts executions by idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

use compact_str::CompactString;
use jackdaw_core::errors::Result;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use serde::Serialize;

use crate::host::Host;

/// Header with the key by which callers mark repeated calls.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the identifier that correlates an answer with its request.
pub const REQUEST_ID: &str = "x-request-id";

/// Executions by idempotency key of a plain service, shared by all of its backend servers.
#[derive(Debug, Default)]
pub struct Executions {
    by_key: Mutex<BTreeMap<CompactString, u64>>,
    execution_recorded: Condvar,
}

impl Executions {
    /// Returns the number of executions with a key.
    #[must_use]
    pub fn count(&self, key: &str) -> u64 {
        self.lock().get(key).copied().unwrap_or_default()
    }

    /// Blocks until a call with a key has been executed.
    pub fn wait_for(&self, key: &str) {
        let mut by_key = self.lock();
        while !by_key.contains_key(key) {
            by_key = self
                .execution_recorded
                .wait(by_key)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Returns the number of executions over all keys.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.lock().values().sum()
    }

    /// Returns the keys with more than one execution, without the empty key.
    #[must_use]
    pub fn repeated_keys(&self) -> Vec<CompactString> {
        self.lock()
            .iter()
            .filter(|(key, count)| !key.is_empty() && **count > 1)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Records an execution and returns the number of executions with its key.
    fn record(&self, key: &str) -> u64 {
        let mut by_key = self.lock();
        let count = by_key.entry(key.into()).or_default();
        *count += 1;
        self.execution_recorded.notify_all();
        *count
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<CompactString, u64>> {
        self.by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body of the answer to a call.
#[derive(Debug, Serialize)]
struct Answer {
    key: CompactString,
    execution: u64,
    bytes: usize,
}

async fn execute(
    request: HttpRequest,
    body: Bytes,
    executions: types::State<Arc<Executions>>,
) -> HttpResponse {
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let key = header(IDEMPOTENCY_KEY);
    let answer = Answer {
        key: key.into(),
        execution: executions.record(key),
        bytes: body.len(),
    };
    HttpResponse::Ok()
        .header(REQUEST_ID, header(REQUEST_ID))
        .json(&answer)
}

/// Starts one backend server of a plain service.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(address: SocketAddr, executions: Arc<Executions>) -> Result<Host> {
    let routes = move |config: &mut ServiceConfig| {
        config
            .state(Arc::clone(&executions))
            .service(web::resource("{path}*").to(execute));
    };
    Host::start(address, Arc::new(routes))
}
