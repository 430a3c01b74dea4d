//! Limits that servers name in their answers, as this node knows them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;

use jackdaw_core::protocol::Limit;
use jackdaw_core::time::Instant;
use jackdaw_core::units::Rate;
use jackdaw_policy::fleet::Target;
use jackdaw_policy::throttle::{self, ServerId, Statement};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use slog::info;

use crate::node::Node;

/// Requests that this node has sent to a server since it named a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    first_tries: u64,
    repetitions: u64,
}

/// What a node knows of limits.
pub(crate) struct Limits {
    limits: RefCell<throttle::Limits>,
    sent: RefCell<HashMap<ServerId, Sent>>,
    requests: Counter<u64>,
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits").finish_non_exhaustive()
    }
}

impl Limits {
    pub(crate) fn new(meter: &Meter) -> Self {
        Limits {
            limits: RefCell::default(),
            sent: RefCell::default(),
            requests: meter
                .u64_counter("jackdawstair_limited_requests")
                .with_description("Requests sent to servers that name a limit.")
                .build(),
        }
    }

    /// Counts a request that is sent to a server, if that names a limit.
    pub(crate) fn count_sent(&self, target: &Target, is_repetition: bool) {
        let server = server_id(target);
        if self.limits.borrow().rate(server).is_none() {
            return;
        }
        let mut sent = self.sent.borrow_mut();
        let sent = sent.entry(server).or_default();
        let kind = if is_repetition {
            sent.repetitions += 1;
            "repetition"
        } else {
            sent.first_tries += 1;
            "first"
        };
        self.requests.add(1, &[KeyValue::new("kind", kind)]);
    }
}

/// Returns the identity of a target's server.
pub(crate) fn server_id(target: &Target) -> ServerId {
    ServerId::new(&target.server, target.born)
}

impl Node {
    /// Records what an answer says of its server's limit.
    pub(crate) fn record_limit(&self, target: &Target, limit: Limit, sent_at: Instant) {
        let rate = match limit {
            Limit::None => None,
            Limit::Rate(rate) => Some(rate),
            Limit::Unreadable => return,
        };
        let now = self.now();
        let statement = Statement {
            rate,
            sent_at,
            answered_at: now,
        };
        let server = server_id(target);
        let change = self
            .limits
            .limits
            .borrow_mut()
            .record(server, statement, now);
        let Some(change) = change else {
            return;
        };
        let sent = self.limits.sent.borrow_mut().remove(&server);
        let sent = sent.unwrap_or_default();
        let per_second = |rate: Option<Rate>| rate.map(Rate::per_second);
        info!(self.logger(), "limit of a server has changed";
            "server" => %target.server,
            "group" => %target.group,
            "before" => per_second(change.before),
            "after" => per_second(change.after),
            "sent_since" => sent.first_tries,
            "sent_again_since" => sent.repetitions);
    }
}
