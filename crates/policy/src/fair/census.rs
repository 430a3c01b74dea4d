//! Counts the nodes that share a rate.

use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;

/// Time for which nodes must be unreachable before they no longer count.
const HOLD: Millis = Millis::from_secs(5 * 60);

/// The number of nodes that share the load, as one node sees it.
///
/// It rises at once. It falls only while more than half of the nodes counted before are reachable,
/// because otherwise this node is the one that is cut off, and the others serve on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Census {
    counted: u32,
    fewer_since: Option<Instant>,
}

impl Default for Census {
    fn default() -> Self {
        Census {
            counted: 1,
            fewer_since: None,
        }
    }
}

impl Census {
    /// Takes in the number of reachable nodes, this one among them, and returns the count.
    pub fn see(&mut self, reachable: u32, now: Instant) -> u32 {
        if reachable >= self.counted {
            self.counted = reachable;
            self.fewer_since = None;
            return self.counted;
        }
        if reachable * 2 <= self.counted {
            self.fewer_since = None;
            return self.counted;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.since(since) >= HOLD {
            self.counted = reachable;
            self.fewer_since = None;
        }
        self.counted
    }

    /// Takes in that some nodes left on purpose.
    pub fn leave(&mut self, nodes: u32) {
        self.counted = self.counted.saturating_sub(nodes).max(1);
    }

    /// Gets the count.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.counted
    }
}
