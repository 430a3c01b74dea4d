//! Simulated nodes that each see a part of the load and learn of the rest with a lag.

use jackdaw_core::config::{Engine, Model};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Tokens};
use jackdaw_policy::peers::{LoadReport, PeerLoads, Share};

/// Milliseconds between two broadcasts of a node, as in production.
pub(crate) const BROADCAST_INTERVAL_MS: u64 = 250;

/// Returns the figures of engines that serve one model in groups of two servers.
pub(crate) fn engine() -> Engine {
    Engine {
        slots: 26,
        kv_capacity: Tokens(1_400_000),
        steps_per_pass: 5,
        step_ms: 6.07,
        step_ms_per_request: 0.241,
        step_ms_per_context: 0.005,
        prefill_per_ms: 46.0,
        prefill_ms_per_million_pairs: 0.7,
        mean_prompt_tokens: 1_076,
        mean_output_tokens: 116,
        loads_per_second: 4.0,
        concurrent_loads: 6,
        open_time: Millis(300),
        models: vec![Model {
            name: "large".into(),
            size: 2,
            share: 1.0,
            time_factor: 1.0,
            load_time: Millis(16_000),
            warm_load_time: Millis(1_600),
        }],
    }
}

/// Creates the table of peer loads of each node.
pub(crate) fn peer_loads(nodes: usize) -> Vec<PeerLoads> {
    let mut peer_loads = vec![PeerLoads::default(); nodes];
    for loads in &mut peer_loads {
        loads.set_peer_count(nodes - 1);
    }
    peer_loads
}

/// Sends the number of requests of each node at each group to all other nodes.
pub(crate) fn broadcast(
    requests: impl Fn(usize, usize) -> u32,
    groups: usize,
    peer_loads: &mut [PeerLoads],
    now: u64,
) {
    let nodes = peer_loads.len();
    for (receiver, loads) in peer_loads.iter_mut().enumerate() {
        for sender in (0..nodes).filter(|sender| *sender != receiver) {
            let share = |group: usize| Share {
                requests: requests(sender, group),
                ..Share::default()
            };
            let report = LoadReport {
                node: sender.to_string().into(),
                incarnation: 1,
                sequence: now + 1,
                places: (0..groups)
                    .map(|group| (group as u64, share(group)))
                    .collect(),
                ..LoadReport::default()
            };
            loads.record(report, Instant(now));
        }
    }
}
