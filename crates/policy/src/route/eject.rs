//! Outlier detection: finds servers that are much slower than their peers.

/// Multiple of the median latency above which a server is a straggler.
const SLOW_FACTOR: u64 = 3;
/// Smallest number of samples for which the latency of a server counts.
const MIN_SAMPLES: u32 = 8;
/// Smallest number of servers with enough samples for which stragglers are sought.
const MIN_SAMPLED_SERVERS: usize = 3;
/// Largest share of servers that may be ejected, in percent.
const MAX_EJECTED_PERCENT: usize = 20;

/// Observed latency of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Latency {
    /// Mean time of one token or one answer, in microseconds.
    pub mean_micros: u64,
    /// Number of samples in the mean.
    pub samples: u32,
    /// Whether the server is already ejected.
    pub ejected: bool,
}

/// A server that is much slower than its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Straggler {
    /// Index of the server in the list of latencies.
    pub index: usize,
    /// Mean latency of the server, in microseconds.
    pub mean_micros: u64,
    /// Median of the mean latencies of all servers with enough samples, in microseconds.
    pub median_micros: u64,
}

/// Returns the servers to eject in addition to those already ejected, slowest first.
///
/// The ejected servers in total never exceed a fixed share of all servers.
#[must_use]
pub fn find_stragglers(latencies: &[Latency]) -> Vec<Straggler> {
    let mut sampled: Vec<u64> = latencies
        .iter()
        .filter(|latency| latency.samples >= MIN_SAMPLES)
        .map(|latency| latency.mean_micros)
        .collect();
    if sampled.len() < MIN_SAMPLED_SERVERS {
        return Vec::new();
    }
    sampled.sort_unstable();
    let median = sampled[(sampled.len() - 1) / 2];
    let ejected = latencies.iter().filter(|latency| latency.ejected).count();
    let remaining = max_ejected(latencies.len()).saturating_sub(ejected);
    let mut stragglers: Vec<Straggler> = latencies
        .iter()
        .enumerate()
        .filter(|(_, latency)| !latency.ejected && latency.samples >= MIN_SAMPLES)
        .filter(|(_, latency)| latency.mean_micros > median.saturating_mul(SLOW_FACTOR))
        .map(|(index, latency)| Straggler {
            index,
            mean_micros: latency.mean_micros,
            median_micros: median,
        })
        .collect();
    stragglers.sort_by_key(|straggler| std::cmp::Reverse(straggler.mean_micros));
    stragglers.truncate(remaining);
    stragglers
}

/// Returns how many of some servers may be ejected, which is at least one.
fn max_ejected(servers: usize) -> usize {
    (servers * MAX_EJECTED_PERCENT / 100).max(1)
}
