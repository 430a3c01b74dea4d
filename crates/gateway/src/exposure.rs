//! What one request has done to the server of its attempt in progress, as far as its answer tells.

use jackdaw_policy::poison::SETTLED_EVENTS;

/// What speaks against the suspicion that a request ends servers.
#[derive(Debug, Default)]
pub(crate) struct Exposure {
    /// Number of events that the server has sent.
    events: u32,
    /// Whether the server is recorded as having survived the request.
    has_survived: bool,
}

impl Exposure {
    /// Gets the number of events that the server has sent.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Counts an event of the server and returns whether its end would say nothing about the request
    /// from now on.
    pub(crate) fn record_event(&mut self) -> bool {
        self.events = self.events.saturating_add(1);
        self.is_settled()
    }

    /// Returns whether the end of the server would say nothing about the request.
    pub(crate) fn is_settled(&self) -> bool {
        self.events >= SETTLED_EVENTS
    }

    /// Records that the server survived the request and returns whether that is new.
    pub(crate) fn record_survival(&mut self) -> bool {
        !std::mem::replace(&mut self.has_survived, true)
    }
}
