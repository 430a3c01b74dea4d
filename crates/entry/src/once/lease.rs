//! The lease that the records of one period share.

use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Lease, Store};
use jackdaw_core::units::Millis;
use jackdaw_policy::once::Timestamp;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::Options;

/// A lease and when it was asked for.
#[derive(Clone, Copy, Debug)]
struct Grant {
    lease: Lease,
    // Read before the service was asked, so that the lease lives at least its time from then on.
    asked: Timestamp,
}

/// Grants a lease for each period in which a call comes.
#[derive(Debug, Default)]
pub(super) struct Shared {
    grant: Mutex<Option<Grant>>,
    failures: AtomicU64,
}

impl Shared {
    /// Gets the lease of the period of a moment, granting a new one if the last is too old.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not grant a lease in time.
    pub(super) async fn get(
        &self,
        store: &dyn Store,
        options: &Options,
        at: Timestamp,
    ) -> Result<Lease> {
        let failures = self.failures.load(Ordering::SeqCst);
        let mut kept = self.grant.lock().await;
        if let Some(grant) = *kept
            && at.since(grant.asked) < options.lease_period
        {
            return Ok(grant.lease);
        }
        // Whoever waited while another call failed does not wait for the same failure again.
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
            Ok(lease) => *kept = Some(Grant { lease, asked: at }),
            Err(_) => {
                self.failures.fetch_add(1, Ordering::SeqCst);
            }
        }
        granted
    }

    /// Stops sharing a lease that the service does not know.
    pub(super) async fn forget(&self, lease: Lease) {
        let mut kept = self.grant.lock().await;
        if kept.is_some_and(|grant| grant.lease == lease) {
            *kept = None;
        }
    }
}
