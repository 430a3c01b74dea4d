//! Simulated nodes that each see a part of the load and learn of the rest with a lag.

use jackdaw_core::config::{Engine, Model};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Tokens};
use jackdaw_policy::peers::{Board, Share, Word};

/// Milliseconds between two broadcasts of a node, as in production.
pub(crate) const BROADCAST_INTERVAL_MS: u64 = 250;

/// Returns the figures of engines that serve one model in groups of two servers.
pub(crate) fn engine() -> Engine {
    Engine {
        slots: 26,
        kv_capacity: Tokens(1_400_000),
        stride: 5,
        step_ms: 6.07,
        step_ms_per_request: 0.241,
        step_ms_per_context: 0.005,
        prefill_per_ms: 46.0,
        prefill_ms_per_pairs: 0.7,
        usual_prompt: 1_076,
        usual_output: 116,
        loads_per_second: 4.0,
        concurrent_loads: 6,
        form: Millis(300),
        models: vec![Model {
            name: "large".into(),
            size: 2,
            share: 1.0,
            pace: 1.0,
            load: Millis(16_000),
            warm: Millis(1_600),
        }],
    }
}

/// Creates the board of each node.
pub(crate) fn boards(nodes: usize) -> Vec<Board> {
    let mut boards = vec![Board::default(); nodes];
    for board in &mut boards {
        board.set_peers(nodes - 1);
    }
    boards
}

/// Sends the number of requests of each node at each group to all other nodes.
pub(crate) fn broadcast(
    requests: impl Fn(usize, usize) -> u32,
    groups: usize,
    boards: &mut [Board],
    now: u64,
) {
    let nodes = boards.len();
    for (receiver, board) in boards.iter_mut().enumerate() {
        for sender in (0..nodes).filter(|sender| *sender != receiver) {
            let share = |group: usize| Share {
                requests: requests(sender, group),
                ..Share::default()
            };
            let word = Word {
                node: sender.to_string().into(),
                incarnation: 1,
                sequence: now + 1,
                places: (0..groups)
                    .map(|group| (group as u64, share(group)))
                    .collect(),
                ..Word::default()
            };
            board.hear(word, Instant(now));
        }
    }
}
