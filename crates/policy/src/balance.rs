//! Chooses the replica group of a request by the time that each group would need for it.
//!
//! The estimate follows the engine's configured figures: prompts are prefilled one after the other,
//! and each running request makes every decoding step a little longer. Counts of other nodes'
//! requests arrive with a lag: they tell whether a request can be served in time, but not which
//! group is the best.

use jackdaw_core::config::{Engine, Model};

/// Largest relative amount by which a random factor raises a cost.
const JITTER: f64 = 0.1;
/// Gaps between events that count in the cost beside the time to the first event; a longer gap
/// delays all events.
const COUNTED_GAPS: f64 = 4.0;
/// Milliseconds by which a group of another availability zone has to be faster to be chosen.
const REMOTE_PENALTY_MS: f64 = 2.0;
/// Milliseconds added to the cost of a group that has shown no progress for a while.
const SUSPECT_PENALTY_MS: f64 = 10_000.0;

/// Work in progress at a replica group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests sent by this node.
    pub own: u32,
    /// Requests sent by other nodes, as far as they are known.
    pub others: u32,
    /// Prompt tokens of this node's requests without a first event.
    pub pending_prefill: u64,
    /// Prompt tokens of other nodes' requests without a first event, as far as they are known.
    pub others_pending_prefill: u64,
    /// Tokens in the KV cache.
    pub cached: u64,
    /// Factor by which the group was lately slower than configured.
    pub slowness: f64,
    /// Whether the group has shown no progress for a while.
    pub suspect: bool,
    /// Whether the group is in another availability zone.
    pub remote: bool,
}

impl Load {
    /// Returns the number of requests in progress.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.own.saturating_add(self.others)
    }
}

/// Size of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens that are expected.
    pub output: u32,
}

/// Expected times of a request at a group, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to the first event.
    pub first_event: f64,
    /// Time between two events.
    pub event_gap: f64,
}

impl Estimate {
    /// Returns the time to the last event of an answer of a number of tokens, in milliseconds.
    #[must_use]
    pub fn last_event(&self, engine: &Engine, tokens: u32) -> f64 {
        let events = tokens.div_ceil(engine.steps_per_pass.max(1));
        self.first_event + self.event_gap * f64::from(events.saturating_sub(1))
    }
}

/// Returns the milliseconds in which an engine prefills a prompt of a number of tokens.
#[must_use]
pub fn prefill_ms(engine: &Engine, prompt: f64) -> f64 {
    let read = if engine.prefill_per_ms > 0.0 {
        prompt / engine.prefill_per_ms
    } else {
        0.0
    };
    read + engine.prefill_ms_per_million_pairs * prompt * prompt / 2.0 / 1e6
}

/// Estimates the times of a request at a group.
#[must_use]
pub fn estimate(engine: &Engine, model: &Model, load: &Load, demand: Demand) -> Estimate {
    let running = f64::from(load.requests()) + 1.0;
    let context = (load.cached as f64 + f64::from(demand.prompt)) / 1_000.0;
    let step = engine.step_ms
        + engine.step_ms_per_request * running.min(f64::from(engine.slots))
        + engine.step_ms_per_context * context;
    let gap = step * f64::from(engine.steps_per_pass);
    let slowdown = model.time_factor * load.slowness.max(1.0);
    // A request beyond the slots waits until another request ends.
    let excess = (running - f64::from(engine.slots)).max(0.0);
    let slot_wait = gap * f64::from(engine.mean_output_tokens)
        / f64::from(engine.steps_per_pass)
        / f64::from(engine.slots.max(1));
    let pending = load
        .pending_prefill
        .saturating_add(load.others_pending_prefill);
    let first = prefill_ms(engine, pending as f64)
        + prefill_ms(engine, f64::from(demand.prompt))
        + gap
        + excess * slot_wait;
    Estimate {
        first_event: first * slowdown,
        event_gap: gap * slowdown,
    }
}

/// Returns the cost by which groups are compared, in milliseconds.
///
/// Only this node's own requests count. The counts of other nodes' requests are somewhat old: if
/// every node used them, all would choose the same group until the next update. If each node spreads
/// its own requests evenly, all requests are spread evenly.
#[must_use]
pub fn cost(engine: &Engine, model: &Model, load: &Load, demand: Demand) -> f64 {
    let own = Load {
        others: 0,
        others_pending_prefill: 0,
        ..*load
    };
    let estimate = estimate(engine, model, &own, demand);
    let mut cost = estimate.first_event + COUNTED_GAPS * estimate.event_gap;
    if load.remote {
        cost += REMOTE_PENALTY_MS;
    }
    if load.suspect {
        cost += SUSPECT_PENALTY_MS;
    }
    cost
}

/// Returns the index of the candidate with the lowest cost, if there is any.
///
/// A small random factor, from `random` between 0 and 1, decides between similar costs.
pub fn choose(costs: &[f64], random: &mut dyn FnMut() -> f64) -> Option<usize> {
    let jittered = costs
        .iter()
        .map(|cost| cost * (1.0 + JITTER * random()))
        .enumerate();
    jittered
        .min_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(index, _)| index)
}
