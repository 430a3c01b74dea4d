//! The placement of one availability zone as it was written, version by version.

use jackdaw_core::placement::Placement;
use jackdaw_core::store::{Change, Store, Watch};
use jackdaw_standin::store::Memory;
use tokio::runtime::Runtime;

/// Follows the placement of a zone from the start of the service on.
pub(crate) struct History {
    watch: Box<dyn Watch>,
    runtime: Runtime,
    seen: Vec<Placement>,
}

impl History {
    /// Begins to follow the placement of a zone.
    pub(crate) fn follow(memory: &Memory, zone: &str) -> History {
        let runtime = Runtime::new().expect("runtime");
        let key = format!("/jackdaw/zones/{zone}/placement");
        let watch = runtime.block_on(memory.watch(&key, 1)).expect("watch");
        History {
            watch,
            runtime,
            seen: Vec::new(),
        }
    }

    /// Waits for a version of the placement for which a condition holds and returns it; each
    /// version is checked on the way.
    pub(crate) fn wait_for(&mut self, is_match: impl Fn(&Placement) -> bool) -> Placement {
        loop {
            let changes = self.runtime.block_on(self.watch.next());
            for change in changes.expect("the watch goes on") {
                let Change::Put(entry) = change else {
                    continue;
                };
                let placement = serde_json::from_slice(&entry.value).expect("placement");
                self.check(placement);
            }
            if let Some(found) = self.seen.iter().rev().find(|one| is_match(one)) {
                return found.clone();
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
