//! Chooses where a request goes by the time that each replica group would need for it.
//!
//! The estimate follows the engine's stated figures: prompts are read one after the other, and each
//! running request makes every token step a little longer. What the node cannot see, the requests
//! of other nodes, comes as a number with a lag: it tells whether a request can be served in time,
//! but not which group is the best.

use jackdaw_core::config::{Engine, Model};

/// Relative width of the chance in a comparison.
const CHANCE: f64 = 0.1;
/// Token passes beyond the first one that count in a comparison; a longer pass delays all events.
const PASSES: f64 = 4.0;
/// Milliseconds that a group of another availability zone has to be faster to be chosen.
const REMOTE_MS: f64 = 2.0;
/// Milliseconds that are added to a group that has shown no progress for a while.
const SUSPECT_MS: f64 = 10_000.0;

/// What is in progress at a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests of this node.
    pub own: u32,
    /// Requests of other nodes, as far as they are known.
    pub others: u32,
    /// Prompt tokens of this node's requests that have had no event yet.
    pub pending_prefill: u64,
    /// Prompt tokens of other nodes' requests that have had no event yet, as far as they are known.
    pub others_pending_prefill: u64,
    /// Tokens in the KV cache.
    pub cached: u64,
    /// Factor by which the group was lately slower than stated.
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
        self.own + self.others
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens, as far as they can be told.
    pub output: u32,
}

/// What a request can expect of a group, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to the first event.
    pub first_event: f64,
    /// Time between two events.
    pub event_gap: f64,
}

/// Returns the milliseconds in which an engine reads a prompt.
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
pub fn estimate(engine: &Engine, model: &Model, load: &Load, ask: Demand) -> Estimate {
    let running = f64::from(load.requests() + 1);
    let context = (load.cached as f64 + f64::from(ask.prompt)) / 1_000.0;
    let step = engine.step_ms
        + engine.step_ms_per_request * running.min(f64::from(engine.slots))
        + engine.step_ms_per_context * context;
    let gap = step * f64::from(engine.steps_per_pass);
    let factor = model.time_factor * load.slowness.max(1.0);
    // A request beyond the slots waits until another one ends.
    let beyond = (running - f64::from(engine.slots)).max(0.0);
    let turn = gap * f64::from(engine.mean_output_tokens)
        / f64::from(engine.steps_per_pass)
        / f64::from(engine.slots.max(1));
    let unread = load.pending_prefill + load.others_pending_prefill;
    let first = prefill_ms(engine, unread as f64)
        + prefill_ms(engine, f64::from(ask.prompt))
        + gap
        + beyond * turn;
    Estimate {
        first_event: first * factor,
        event_gap: gap * factor,
    }
}

/// Returns the cost by which groups are compared.
///
/// Only this node's own requests count. What is known of the others' is somewhat old: if every node
/// went by it, all would choose the same group until they hear of each other again. Nodes that each
/// spread their own requests evenly spread all of them evenly.
#[must_use]
pub fn cost(engine: &Engine, model: &Model, load: &Load, ask: Demand) -> f64 {
    let own = Load {
        others: 0,
        others_pending_prefill: 0,
        ..*load
    };
    let estimate = estimate(engine, model, &own, ask);
    let mut cost = estimate.first_event + PASSES * estimate.event_gap;
    if load.remote {
        cost += REMOTE_MS;
    }
    if load.suspect {
        cost += SUSPECT_MS;
    }
    cost
}

/// Returns the place of the cheapest candidate; a little chance decides between like ones.
pub fn choose(costs: &[f64], random: &mut dyn FnMut() -> f64) -> Option<usize> {
    let weighed = costs
        .iter()
        .map(|cost| cost * (1.0 + CHANCE * random()))
        .enumerate();
    weighed
        .min_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(place, _)| place)
}
