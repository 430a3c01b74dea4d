//! Elects one leader per availability zone with a lease in the key-value service.
//!
//! The fencing number is the creation revision of the leader's key, so it increases with every
//! leader. A leader measures its authority with its monotonic clock, starting before it sends a
//! renewal, so the authority ends before the service can expire the lease.

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Entry, Lease};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

mod authority;

pub use authority::{Authority, Options};

/// Number of renewals that are attempted within one time to live of the lease.
const RENEWALS_PER_TTL: u64 = 3;

/// Input of the election. Answers of the key-value service carry the time at which the call was
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A watch or an unrelated read returned the leader's key.
    Observed {
        /// The key's entry, if it exists.
        entry: Option<Entry>,
        /// Revision of the service at which the entry was read; zero if unknown.
        revision: u64,
    },
    /// Answer to [`Action::Grant`].
    Granted(Instant, Result<Lease>),
    /// Answer to [`Action::Create`].
    Created(Instant, Result<Committed>),
    /// Answer to [`Action::Read`].
    Read(Instant, Result<Option<Entry>>),
    /// Answer to [`Action::Renew`].
    Renewed(Instant, Result<Millis>),
    /// A write of the placement was refused because the leader's key has changed.
    Superseded(Fence),
    /// The node gives up the leadership because it stops or cannot reach the engines.
    Resign,
    /// The node may become a candidate again.
    Rejoin,
}

/// Instruction to the executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Grant a lease.
    Grant(Millis),
    /// Create the leader's key, bound to a lease, if it is absent; read it otherwise.
    Create(Lease),
    /// Read the leader's key.
    Read,
    /// Renew a lease.
    Renew(Lease),
    /// Revoke a lease.
    Revoke(Lease),
    /// Act as the leader with the given authority.
    Acquired(Authority),
    /// Stop acting as the leader with the given fencing number.
    Lost(Fence),
    /// Record a decision.
    Explain(Decision),
}

/// State of this node in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Another node leads, or this node waits until it becomes a candidate.
    Following { candidacy_at: Option<Instant> },
    /// A lease was requested.
    Granting,
    /// The key is being created with a lease whose grant was requested at `grant_sent_at`.
    Creating {
        lease: Lease,
        grant_sent_at: Instant,
    },
    /// The answer to the creation was lost, and the key is being read.
    Resolving {
        lease: Lease,
        grant_sent_at: Instant,
    },
    /// The key was not created, or its state is unknown; the creation is repeated at `at`.
    Retrying {
        lease: Lease,
        grant_sent_at: Instant,
        at: Instant,
    },
    /// This node leads.
    Leading {
        lease: Lease,
        authority: Authority,
        renew_at: Instant,
        renewing: bool,
    },
    /// This node is no candidate.
    Resigned,
}

/// One node's participation in the election of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    options: Options,
    phase: Phase,
    leader: Option<CompactString>,
}

impl Election {
    /// Creates an election in which the node follows until the leader's key is observed.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Election {
            options,
            phase: Phase::Following { candidacy_at: None },
            leader: None,
        }
    }

    /// Returns the name of the last known leader.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Returns the authority of this node if it leads at `now`.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<Authority> {
        match self.phase {
            Phase::Leading { authority, .. } if authority.may_commit(now) => Some(authority),
            _ => None,
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Observed { entry, revision } => {
                self.handle_observed(entry, revision, now, &mut actions);
            }
            Event::Granted(sent, result) => self.handle_granted(sent, result, now, &mut actions),
            Event::Created(_, result) => self.handle_created(result, now, &mut actions),
            Event::Read(_, result) => self.handle_read(result, now, &mut actions),
            Event::Renewed(sent, result) => self.handle_renewed(sent, result, now, &mut actions),
            Event::Superseded(fence) => self.handle_superseded(fence, now, &mut actions),
            Event::Resign => self.resign(&mut actions),
            Event::Rejoin => self.rejoin(&mut actions),
        }
        actions
    }

    /// Ends an authority or a candidacy whose lease may have expired.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Leading { authority, .. } if !authority.may_commit(now) => {
                self.lose_leadership("the lease was not renewed in time", now, actions);
            }
            Phase::Creating {
                lease,
                grant_sent_at,
            }
            | Phase::Resolving {
                lease,
                grant_sent_at,
            }
            | Phase::Retrying {
                lease,
                grant_sent_at,
                ..
            } if now >= self.safe_expiry(grant_sent_at, self.options.ttl) => {
                actions.push(Action::Revoke(lease));
                self.follow(Some(now + self.options.retry_delay));
            }
            Phase::Leading { .. }
            | Phase::Creating { .. }
            | Phase::Resolving { .. }
            | Phase::Retrying { .. }
            | Phase::Following { .. }
            | Phase::Granting
            | Phase::Resigned => {}
        }
    }

    /// Returns the time until which a lease is certainly alive, given when the call that granted or
    /// renewed it was sent.
    fn safe_expiry(&self, sent: Instant, ttl: Millis) -> Instant {
        (sent + ttl) - self.options.clock_margin
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Following {
                candidacy_at: Some(at),
            } if *at <= now => {
                self.phase = Phase::Granting;
                actions.push(Action::Grant(self.options.ttl));
            }
            Phase::Retrying {
                lease,
                grant_sent_at,
                at,
            } if *at <= now => {
                let (lease, grant_sent_at) = (*lease, *grant_sent_at);
                self.phase = Phase::Creating {
                    lease,
                    grant_sent_at,
                };
                actions.push(Action::Create(lease));
            }
            Phase::Leading {
                lease,
                renew_at,
                renewing,
                ..
            } if *renew_at <= now && !*renewing => {
                *renewing = true;
                actions.push(Action::Renew(*lease));
            }
            Phase::Following { .. }
            | Phase::Retrying { .. }
            | Phase::Leading { .. }
            | Phase::Granting
            | Phase::Creating { .. }
            | Phase::Resolving { .. }
            | Phase::Resigned => {}
        }
    }

    fn handle_observed(
        &mut self,
        entry: Option<Entry>,
        revision: u64,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if let Phase::Leading { authority, .. } = self.phase {
            // A revision before the creation of this node's key says nothing about that key.
            let newer = revision > authority.fence.0;
            let own = entry
                .as_ref()
                .is_some_and(|entry| entry.create_revision == authority.fence.0);
            if newer && !own {
                self.lose_leadership("the leader's key has changed", now, actions);
            }
            return;
        }
        self.leader = entry.as_ref().map(leader_name);
        let candidacy_delay = self.options.candidacy_delay;
        if let Phase::Following { candidacy_at } = &mut self.phase {
            *candidacy_at = match entry {
                Some(_) => None,
                None => Some(
                    candidacy_at
                        .unwrap_or(now + candidacy_delay)
                        .min(now + candidacy_delay),
                ),
            };
        }
    }

    fn handle_granted(
        &mut self,
        sent: Instant,
        result: Result<Lease>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Granting {
            // The lease is no longer needed.
            actions.extend(result.ok().map(Action::Revoke));
            return;
        }
        // A lease whose grant was not answered holds no key and expires by itself.
        let Ok(lease) = result else {
            self.follow(Some(now + self.options.retry_delay));
            return;
        };
        self.phase = Phase::Creating {
            lease,
            grant_sent_at: sent,
        };
        actions.push(Action::Create(lease));
        self.expire(now, actions);
    }

    fn handle_created(
        &mut self,
        result: Result<Committed>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Phase::Creating {
            lease,
            grant_sent_at,
        } = self.phase
        else {
            return;
        };
        match result {
            Ok(Committed::Yes(revision)) => {
                self.acquire(lease, grant_sent_at, Fence(revision), now, actions);
            }
            Ok(Committed::No(entries)) => {
                self.handle_entry(
                    lease,
                    grant_sent_at,
                    entries.into_iter().next(),
                    now,
                    actions,
                );
            }
            Err(Error::Indeterminate { .. }) => {
                self.phase = Phase::Resolving {
                    lease,
                    grant_sent_at,
                };
                actions.push(Action::Read);
            }
            Err(_) => self.schedule_retry(lease, grant_sent_at, now),
        }
    }

    fn handle_read(
        &mut self,
        result: Result<Option<Entry>>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Phase::Resolving {
            lease,
            grant_sent_at,
        } = self.phase
        else {
            if let Ok(entry) = result {
                self.handle_observed(entry, 0, now, actions);
            }
            return;
        };
        match result {
            Ok(Some(entry)) => self.handle_entry(lease, grant_sent_at, Some(entry), now, actions),
            // The creation may still be in flight, so it is repeated with the same lease: if the
            // first attempt succeeds meanwhile, the second one finds this node's own lease.
            Ok(None) | Err(_) => self.schedule_retry(lease, grant_sent_at, now),
        }
    }

    /// Handles the entry that prevented the creation of the key: with this node's lease, it leads.
    fn handle_entry(
        &mut self,
        lease: Lease,
        grant_sent_at: Instant,
        entry: Option<Entry>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = entry else {
            self.schedule_retry(lease, grant_sent_at, now);
            return;
        };
        if entry.lease == Some(lease) {
            let fence = Fence(entry.create_revision);
            self.acquire(lease, grant_sent_at, fence, now, actions);
            return;
        }
        self.leader = Some(leader_name(&entry));
        actions.push(Action::Revoke(lease));
        self.follow(None);
    }

    fn schedule_retry(&mut self, lease: Lease, grant_sent_at: Instant, now: Instant) {
        self.phase = Phase::Retrying {
            lease,
            grant_sent_at,
            at: now + self.options.retry_delay,
        };
    }

    fn acquire(
        &mut self,
        lease: Lease,
        grant_sent_at: Instant,
        fence: Fence,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let authority = Authority {
            fence,
            orders_from: self.orders_from(now),
            until: self.safe_expiry(grant_sent_at, self.options.ttl),
        };
        if !authority.may_commit(now) {
            actions.push(Action::Revoke(lease));
            self.follow(Some(now + self.options.retry_delay));
            return;
        }
        self.phase = Phase::Leading {
            lease,
            authority,
            renew_at: grant_sent_at + self.renewal_interval(),
            renewing: false,
        };
        self.leader = Some(self.options.node.clone());
        actions.push(Action::Explain(self.explain_acquired(authority, now)));
        actions.push(Action::Acquired(authority));
    }

    /// Returns the time from which a leader elected at `now` may send orders.
    fn orders_from(&self, now: Instant) -> Instant {
        if self.options.engines_check_fence {
            return now;
        }
        // Engines that ignore the fencing number are protected by waiting until the previous
        // leader's authority has certainly ended and its last order has arrived.
        now + self.options.ttl + self.options.order_timeout + self.options.clock_margin
    }

    fn explain_acquired(&self, authority: Authority, now: Instant) -> Decision {
        let subject = Subject::Zone(self.options.zone.clone());
        Decision::new(subject, "the leader's key was free", "this node leads")
            .with_subject(Subject::Node(self.options.node.clone()))
            .with_input("fencing number", authority.fence)
            .with_input("engines check the number", self.options.engines_check_fence)
            .with_input(
                "wait before the first order",
                authority.orders_from.since(now),
            )
    }

    fn handle_renewed(
        &mut self,
        sent: Instant,
        result: Result<Millis>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (ttl, error, retry) = (
            self.options.ttl,
            self.options.clock_margin,
            self.options.retry_delay,
        );
        let renewal_interval = self.renewal_interval();
        let Phase::Leading {
            authority,
            renew_at,
            renewing,
            ..
        } = &mut self.phase
        else {
            return;
        };
        *renewing = false;
        match result {
            Ok(Millis(0)) => self.lose_leadership("the lease has lapsed", now, actions),
            Ok(remaining) => {
                // `sent` was read before the renewal was sent, so the service's count starts later.
                let until = (sent + remaining.min(ttl)) - error;
                authority.until = authority.until.max(until);
                *renew_at = sent + renewal_interval;
            }
            // A failed renewal leaves the authority unchanged.
            Err(_) => *renew_at = now + retry,
        }
    }

    fn renewal_interval(&self) -> Millis {
        Millis(self.options.ttl.0 / RENEWALS_PER_TTL)
    }

    fn handle_superseded(&mut self, fence: Fence, now: Instant, actions: &mut Vec<Action>) {
        if self
            .authority(now)
            .is_some_and(|authority| authority.fence == fence)
        {
            self.lose_leadership("a write found another leader's key", now, actions);
        }
    }

    fn lose_leadership(&mut self, cause: &'static str, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Leading {
            lease, authority, ..
        } = self.phase
        else {
            return;
        };
        let subject = Subject::Zone(self.options.zone.clone());
        let decision = Decision::new(subject, cause, "this node no longer leads")
            .with_subject(Subject::Node(self.options.node.clone()))
            .with_input("fencing number", authority.fence);
        actions.push(Action::Explain(decision));
        actions.push(Action::Lost(authority.fence));
        // Revoking the lease lets another node lead before the lease would expire.
        actions.push(Action::Revoke(lease));
        self.leader = None;
        self.follow(Some(now + self.options.ttl));
    }

    fn resign(&mut self, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Leading {
                lease, authority, ..
            } => {
                let subject = Subject::Zone(self.options.zone.clone());
                let decision = Decision::new(subject, "the node resigns", "lease handed over")
                    .with_subject(Subject::Node(self.options.node.clone()))
                    .with_input("fencing number", authority.fence);
                actions.push(Action::Explain(decision));
                actions.push(Action::Lost(authority.fence));
                actions.push(Action::Revoke(lease));
            }
            Phase::Creating { lease, .. }
            | Phase::Resolving { lease, .. }
            | Phase::Retrying { lease, .. } => actions.push(Action::Revoke(lease)),
            Phase::Following { .. } | Phase::Granting | Phase::Resigned => {}
        }
        self.phase = Phase::Resigned;
        self.leader = None;
    }

    fn rejoin(&mut self, actions: &mut Vec<Action>) {
        if self.phase == Phase::Resigned {
            self.follow(None);
            actions.push(Action::Read);
        }
    }

    fn follow(&mut self, candidacy_at: Option<Instant>) {
        self.phase = Phase::Following { candidacy_at };
    }
}

/// Returns the name of the leader from an entry of the leader's key.
fn leader_name(entry: &Entry) -> CompactString {
    CompactString::from_utf8_lossy(&entry.value)
}
