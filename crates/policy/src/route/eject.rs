//! Finds servers that are much slower than their peers.

/// A server counts as a straggler when it needs this many times the median.
const SLOW_FACTOR: u64 = 3;
/// Answers that must have been seen of a server before it is judged.
const MIN_SAMPLES: u32 = 8;
/// Servers that must be known before any is judged.
const MIN_SERVERS: usize = 3;
/// Largest share of servers that may be left out, in percent.
const MAX_EJECTED_PERCENT: usize = 20;

/// How fast a server answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Latency {
    /// Mean time of one token or one answer in microseconds.
    pub mean_micros: u64,
    /// Answers seen, up to some bound.
    pub samples: u32,
    /// Whether the server is left out already.
    pub ejected: bool,
}

/// A server that is much slower than its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Straggler {
    /// Place of the server in the list of paces.
    pub index: usize,
    /// Its pace in microseconds.
    pub mean_micros: u64,
    /// Median of all servers in microseconds.
    pub median_micros: u64,
}

/// Returns the servers to leave out in addition to those that are left out already.
///
/// The slowest go first, and never more than a bounded share in all.
#[must_use]
pub fn find_stragglers(paces: &[Latency]) -> Vec<Straggler> {
    let mut known: Vec<u64> = paces
        .iter()
        .filter(|pace| pace.samples >= MIN_SAMPLES)
        .map(|pace| pace.mean_micros)
        .collect();
    if known.len() < MIN_SERVERS {
        return Vec::new();
    }
    known.sort_unstable();
    let median = known[(known.len() - 1) / 2];
    let ejected = paces.iter().filter(|pace| pace.ejected).count();
    let room = limit(paces.len()).saturating_sub(ejected);
    let mut slow: Vec<Straggler> = paces
        .iter()
        .enumerate()
        .filter(|(_, pace)| !pace.ejected && pace.samples >= MIN_SAMPLES)
        .filter(|(_, pace)| pace.mean_micros > median.saturating_mul(SLOW_FACTOR))
        .map(|(index, pace)| Straggler {
            index,
            mean_micros: pace.mean_micros,
            median_micros: median,
        })
        .collect();
    slow.sort_by_key(|straggler| std::cmp::Reverse(straggler.mean_micros));
    slow.truncate(room);
    slow
}

/// Returns how many of some servers may be left out; one of a few always may.
fn limit(servers: usize) -> usize {
    (servers * MAX_EJECTED_PERCENT / 100).max(1)
}
