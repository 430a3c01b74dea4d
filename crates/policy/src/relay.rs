//! Bounds what a leader tells all nodes by having other nodes pass it on.
//!
//! A datagram goes to some nodes, each of which passes it on once to as many others. So a leader
//! sends as many datagrams as the square root of the number of nodes, and a round holds the most
//! useful states that fit; the others take turns.

use jackdaw_core::units::Millis;

/// Pause between two rounds.
pub const ROUND: Millis = Millis(250);
/// Largest number of states in a round.
pub const MAX_STATES: usize = 20;
/// Factor by which a datagram goes to more nodes than would do if none got it twice.
const REDUNDANCY: f64 = 1.5;
/// Smallest number of nodes that get a datagram.
const MIN_FANOUT: usize = 4;

/// Returns the number of nodes to which a node sends a datagram that each of them passes on to as many
/// others, given the number of other nodes.
#[must_use]
pub fn fanout(peers: usize) -> usize {
    let fanout = ((peers as f64).sqrt() * REDUNDANCY).ceil() as usize;
    fanout.max(MIN_FANOUT).min(peers)
}

/// Takes turns among states that do not all fit into one round.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    begin: usize,
}

impl Turns {
    /// Returns the states of the next round, at most a number of them: urgent ones first, then others in
    /// turn. If the urgent ones do not fit, they take turns themselves.
    pub fn select<T>(&mut self, urgent: Vec<T>, others: Vec<T>, max: usize) -> Vec<T> {
        if urgent.len() >= max {
            return self.take_turn(urgent, max);
        }
        let left = max - urgent.len();
        let mut selected = urgent;
        selected.extend(self.take_turn(others, left));
        selected
    }

    fn take_turn<T>(&mut self, mut states: Vec<T>, max: usize) -> Vec<T> {
        let begin = self.begin.checked_rem(states.len()).unwrap_or_default();
        states.rotate_left(begin);
        states.truncate(max);
        self.begin = begin + states.len();
        states
    }
}
