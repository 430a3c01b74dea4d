//! The lease that all records of one period share.

use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Lease, Store};
use jackdaw_core::units::Millis;
use jackdaw_policy::once::Timestamp;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::Options;

/// A lease and the time from which its TTL counts.
#[derive(Clone, Copy, Debug)]
struct Grant {
    lease: Lease,
    // Read before the request is sent, so that the lease lives at least its TTL from then on.
    start: Timestamp,
}

/// Caches the current lease and obtains a new one for each period that has calls.
#[derive(Debug, Default)]
pub(super) struct Cache {
    grant: Mutex<Option<Grant>>,
    failures: AtomicU64,
}

impl Cache {
    /// Returns the lease for a time, obtaining a new one if the cached lease is too old.
    ///
    /// # Errors
    ///
    /// Returns an error if the key-value service does not grant a lease in time.
    pub(super) async fn get_or_grant(
        &self,
        store: &dyn Store,
        options: &Options,
        at: Timestamp,
    ) -> Result<Lease> {
        let failures = self.failures.load(Ordering::SeqCst);
        let mut cached = self.grant.lock().await;
        if let Some(grant) = *cached
            && at.since(grant.start) < options.lease_period
        {
            return Ok(grant.lease);
        }
        // A call that waited for the lock while another call's request failed does not repeat it.
        if self.failures.load(Ordering::SeqCst) != failures {
            let reason = "the lease was not granted";
            return Err(Error::unreachable("grant", "key-value service", reason));
        }
        let ttl = Millis(options.retention.0 + options.lease_period.0);
        let answer = timeout(options.store_timeout.duration(), store.grant(ttl)).await;
        let granted = answer.unwrap_or_else(|_| {
            let reason = "no answer in time";
            Err(Error::indeterminate("grant", "key-value service", reason))
        });
        match granted {
            Ok(lease) => *cached = Some(Grant { lease, start: at }),
            Err(_) => {
                self.failures.fetch_add(1, Ordering::SeqCst);
            }
        }
        granted
    }

    /// Drops a cached lease that the key-value service does not know.
    pub(super) async fn invalidate(&self, lease: Lease) {
        let mut cached = self.grant.lock().await;
        if cached.is_some_and(|grant| grant.lease == lease) {
            *cached = None;
        }
    }
}
