//! The placement of one availability zone as it was written, version by version.

use std::time::Duration;

use jackdaw_core::placement::Placement;
use jackdaw_core::store::{Change, Store, Watch};
use jackdaw_standin::store::Memory;
use tokio::runtime::Runtime;

/// Time after which a wait is given up, so that a hang becomes a failure.
const HANG: Duration = Duration::from_secs(60);

/// Follows the placement of a zone from the start of the service on.
pub(crate) struct History {
    memory: Memory,
    key: String,
    runtime: Runtime,
    watch: Option<Box<dyn Watch>>,
    revision: u64,
    seen: Vec<Placement>,
}

impl History {
    /// Begins to follow the placement of a zone.
    pub(crate) fn follow(memory: &Memory, zone: &str) -> History {
        History {
            memory: memory.clone(),
            key: format!("/jackdaw/zones/{zone}/placement"),
            runtime: Runtime::new().expect("runtime"),
            watch: None,
            revision: 0,
            seen: Vec::new(),
        }
    }

    /// Waits for a version of the placement for which a condition holds and returns the newest
    /// such; each version is checked on the way.
    pub(crate) fn wait_for(&mut self, is_match: impl Fn(&Placement) -> bool) -> Placement {
        loop {
            if let Some(found) = self.seen.iter().rev().find(|one| is_match(one)) {
                return found.clone();
            }
            self.take_next();
        }
    }

    /// Waits for the next changes; a watch that the service has ended is set up anew.
    fn take_next(&mut self) {
        if self.watch.is_none() {
            let watch = self.memory.watch(&self.key, self.revision + 1);
            self.watch = self.runtime.block_on(watch).ok();
        }
        let Some(watch) = &mut self.watch else {
            return;
        };
        let next = async { tokio::time::timeout(HANG, watch.next()).await };
        let next = self.runtime.block_on(next);
        let Some(changes) = next.expect("the placement changes") else {
            self.watch = None;
            return;
        };
        for change in changes {
            if let Change::Put(entry) = change {
                self.revision = entry.mod_revision;
                let placement = serde_json::from_slice(&entry.value).expect("placement");
                self.check(placement);
            }
        }
    }

    fn check(&mut self, placement: Placement) {
        assert_eq!(placement.vms_in_two_groups(), Vec::<String>::new());
        if let Some(before) = self.seen.last() {
            assert_eq!(placement.sequence, before.sequence + 1, "no write is lost");
            assert!(placement.fence >= before.fence, "no old leader writes");
        }
        self.seen.push(placement);
    }
}
