//! History of the placements that were written for one zone.

use std::time::Duration;

use jackdaw_core::placement::Placement;
use jackdaw_core::store::{Change, Store, Watch};
use jackdaw_standin::store::Memory;
use tokio::runtime::Runtime;

/// Time limit of a wait; a hang becomes a test failure.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Records every version of a zone's placement from the start of the store on.
pub(crate) struct History {
    memory: Memory,
    key: String,
    runtime: Runtime,
    watch: Option<Box<dyn Watch>>,
    revision: u64,
    versions: Vec<Placement>,
}

impl History {
    /// Creates a history of the placement of a zone.
    pub(crate) fn follow(memory: &Memory, zone: &str) -> History {
        History {
            memory: memory.clone(),
            key: format!("/jackdaw/zones/{zone}/placement"),
            runtime: Runtime::new().expect("the runtime starts"),
            watch: None,
            revision: 0,
            versions: Vec::new(),
        }
    }

    /// Waits for a version of the placement that matches and returns the newest such version.
    ///
    /// # Panics
    ///
    /// Panics if a version breaks an invariant, or none is written within [`WAIT_TIMEOUT`].
    pub(crate) fn wait_for_placement(
        &mut self,
        is_match: impl Fn(&Placement) -> bool,
    ) -> Placement {
        loop {
            if let Some(found) = self.versions.iter().rev().find(|version| is_match(version)) {
                return found.clone();
            }
            self.read_next();
        }
    }

    /// Waits for the next changes; a watch that the store has ended is replaced.
    fn read_next(&mut self) {
        if self.watch.is_none() {
            let watch = self.memory.watch(&self.key, self.revision + 1);
            self.watch = self.runtime.block_on(watch).ok();
        }
        let Some(watch) = &mut self.watch else {
            return;
        };
        let next = async { tokio::time::timeout(WAIT_TIMEOUT, watch.next()).await };
        let next = self.runtime.block_on(next);
        let Some(changes) = next.expect("the placement changes") else {
            self.watch = None;
            return;
        };
        for change in changes {
            if let Change::Put(entry) = change {
                self.revision = entry.mod_revision;
                let placement = serde_json::from_slice(&entry.value).expect("the placement parses");
                self.check_and_record(placement);
            }
        }
    }

    /// Checks a version against the invariants and its predecessor, and records it.
    fn check_and_record(&mut self, placement: Placement) {
        assert_eq!(placement.vms_in_two_groups(), Vec::<String>::new());
        if let Some(previous) = self.versions.last() {
            assert_eq!(
                placement.sequence,
                previous.sequence + 1,
                "no write is lost"
            );
            assert!(
                placement.fence >= previous.fence,
                "no replaced leader writes"
            );
        }
        self.versions.push(placement);
    }
}
