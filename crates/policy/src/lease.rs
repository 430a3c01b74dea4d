//! Elects one leader in each availability zone by a lease in the key-value service.
//!
//! The fencing number is the creation revision of the leader's key, so it only grows. The leader's
//! own authority ends by its monotonic clock, counted from before a renewal was sent, and thus
//! before the service can let the lease lapse.

use compact_str::CompactString;
use jackdaw_core::decision::{Decision, Subject};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Committed, Entry, Lease};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};

mod authority;

pub use authority::{Authority, Options};

/// A lease is renewed after this part of its time.
const RENEWALS_PER_TTL: u64 = 3;

/// An answer of the key-value service; each carries the time at which its call was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A watch or a read of its own shows the leader's key at a revision.
    Observed {
        /// The key's entry, if it exists.
        entry: Option<Entry>,
        /// Revision of the service at which this was so; zero if it is not known.
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
    /// The node hands the leadership over: it begins a planned stop or is cut off from the engines.
    Resign,
    /// The node may run for the leadership again.
    Rejoin,
}

/// What the executor has to do.
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
    /// End a lease.
    Revoke(Lease),
    /// This node leads.
    Acquired(Authority),
    /// This node no longer leads.
    Lost(Fence),
    /// A decision to record.
    Explain(Decision),
}

/// Where the node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Another node leads, or the node waits for its turn to run.
    Following { run_at: Option<Instant> },
    /// A lease was asked for.
    Granting,
    /// The key is being created with a lease that was asked for at a time.
    Creating { lease: Lease, granted: Instant },
    /// The answer to the creation was lost; the key is being read.
    Resolving { lease: Lease, granted: Instant },
    /// The creation or the read is repeated at a time.
    Retrying {
        lease: Lease,
        granted: Instant,
        at: Instant,
    },
    /// This node leads.
    Leading {
        lease: Lease,
        authority: Authority,
        renew_at: Instant,
        renewing: bool,
    },
    /// This node does not run.
    Resigned,
}

/// The election of one availability zone as one node takes part in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Election {
    options: Options,
    phase: Phase,
    leader: Option<CompactString>,
}

impl Election {
    /// Creates an election in which the node follows until it knows the leader's key.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Election {
            options,
            phase: Phase::Following { run_at: None },
            leader: None,
        }
    }

    /// Gets the node that is known to lead.
    #[must_use]
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Returns the authority of this node if it leads now.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<Authority> {
        match self.phase {
            Phase::Leading { authority, .. } if authority.may_commit(now) => Some(authority),
            _ => None,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Observed { entry, revision } => {
                self.observe(entry, revision, now, &mut actions);
            }
            Event::Granted(sent, result) => self.granted(sent, result, now, &mut actions),
            Event::Created(_, result) => self.created(result, now, &mut actions),
            Event::Read(_, result) => self.read(result, now, &mut actions),
            Event::Renewed(sent, result) => self.renewed(sent, result, now, &mut actions),
            Event::Superseded(fence) => self.superseded(fence, now, &mut actions),
            Event::Resign => self.resign(&mut actions),
            Event::Rejoin => self.rejoin(&mut actions),
        }
        actions
    }

    /// Ends an authority or a candidacy whose lease may have lapsed.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Leading { authority, .. } if !authority.may_commit(now) => {
                self.lose("the lease was not renewed in time", now, actions);
            }
            Phase::Creating { lease, granted }
            | Phase::Resolving { lease, granted }
            | Phase::Retrying { lease, granted, .. }
                if now >= self.until(granted, self.options.ttl) =>
            {
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

    /// Returns the time until which a lease surely lives that was granted or renewed by a call sent
    /// at a time.
    fn until(&self, sent: Instant, ttl: Millis) -> Instant {
        (sent + ttl) - self.options.clock_margin
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Following { run_at: Some(at) } if *at <= now => {
                self.phase = Phase::Granting;
                actions.push(Action::Grant(self.options.ttl));
            }
            Phase::Retrying { lease, granted, at } if *at <= now => {
                let (lease, granted) = (*lease, *granted);
                self.phase = Phase::Creating { lease, granted };
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

    fn observe(
        &mut self,
        entry: Option<Entry>,
        revision: u64,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if let Phase::Leading { authority, .. } = self.phase {
            // What was so before this node's own key was created says nothing about it.
            let newer = revision > authority.fence.0;
            let own = entry
                .as_ref()
                .is_some_and(|entry| entry.create_revision == authority.fence.0);
            if newer && !own {
                self.lose("the leader's key has changed", now, actions);
            }
            return;
        }
        self.leader = entry.as_ref().map(node_of);
        let candidacy_delay = self.options.candidacy_delay;
        if let Phase::Following { run_at } = &mut self.phase {
            *run_at = match entry {
                Some(_) => None,
                None => Some(
                    run_at
                        .unwrap_or(now + candidacy_delay)
                        .min(now + candidacy_delay),
                ),
            };
        }
    }

    fn granted(
        &mut self,
        sent: Instant,
        result: Result<Lease>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Granting {
            // The lease is not wanted any more.
            actions.extend(result.ok().map(Action::Revoke));
            return;
        }
        // A lease whose answer was lost holds no key and lapses by itself.
        let Ok(lease) = result else {
            self.follow(Some(now + self.options.retry_delay));
            return;
        };
        self.phase = Phase::Creating {
            lease,
            granted: sent,
        };
        actions.push(Action::Create(lease));
        self.expire(now, actions);
    }

    fn created(&mut self, result: Result<Committed>, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Creating { lease, granted } = self.phase else {
            return;
        };
        match result {
            Ok(Committed::Yes(revision)) => {
                self.acquire(lease, granted, Fence(revision), now, actions);
            }
            Ok(Committed::No(entries)) => {
                self.found(lease, granted, entries.into_iter().next(), now, actions);
            }
            Err(Error::Indeterminate { .. }) => {
                self.phase = Phase::Resolving { lease, granted };
                actions.push(Action::Read);
            }
            Err(_) => self.retry(lease, granted, now),
        }
    }

    fn read(&mut self, result: Result<Option<Entry>>, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Resolving { lease, granted } = self.phase else {
            if let Ok(entry) = result {
                self.observe(entry, 0, now, actions);
            }
            return;
        };
        match result {
            Ok(Some(entry)) => self.found(lease, granted, Some(entry), now, actions),
            // The creation may still be under way, so it is repeated with the same lease: if the
            // first one lands in between, the second finds the node's own lease.
            Ok(None) | Err(_) => self.retry(lease, granted, now),
        }
    }

    /// Takes the entry that kept the key from being created.
    fn found(
        &mut self,
        lease: Lease,
        granted: Instant,
        entry: Option<Entry>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = entry else {
            self.retry(lease, granted, now);
            return;
        };
        if entry.lease == Some(lease) {
            let fence = Fence(entry.create_revision);
            self.acquire(lease, granted, fence, now, actions);
            return;
        }
        self.leader = Some(node_of(&entry));
        actions.push(Action::Revoke(lease));
        self.follow(None);
    }

    fn retry(&mut self, lease: Lease, granted: Instant, now: Instant) {
        self.phase = Phase::Retrying {
            lease,
            granted,
            at: now + self.options.retry_delay,
        };
    }

    fn acquire(
        &mut self,
        lease: Lease,
        granted: Instant,
        fence: Fence,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let authority = Authority {
            fence,
            orders_from: self.orders_from(now),
            until: self.until(granted, self.options.ttl),
        };
        if !authority.may_commit(now) {
            actions.push(Action::Revoke(lease));
            self.follow(Some(now + self.options.retry_delay));
            return;
        }
        self.phase = Phase::Leading {
            lease,
            authority,
            renew_at: granted + self.renewal_time(),
            renewing: false,
        };
        self.leader = Some(self.options.node.clone());
        actions.push(Action::Explain(self.explain_acquired(authority, now)));
        actions.push(Action::Acquired(authority));
    }

    /// Returns the time of the first order.
    fn orders_from(&self, now: Instant) -> Instant {
        if self.options.engines_check_fence {
            return now;
        }
        // Engines that ignore the number are protected by waiting until the last leader's
        // authority has surely ended and its last order has arrived.
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

    fn renewed(
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
        let renewal_time = self.renewal_time();
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
            Ok(Millis(0)) => self.lose("the lease has lapsed", now, actions),
            Ok(remaining) => {
                // The clock was read before the renewal was sent, so the service counts from later.
                let until = (sent + remaining.min(ttl)) - error;
                authority.until = authority.until.max(until);
                *renew_at = sent + renewal_time;
            }
            // A lost answer leaves the authority as it was.
            Err(_) => *renew_at = now + retry,
        }
    }

    fn renewal_time(&self) -> Millis {
        Millis(self.options.ttl.0 / RENEWALS_PER_TTL)
    }

    fn superseded(&mut self, fence: Fence, now: Instant, actions: &mut Vec<Action>) {
        if self
            .authority(now)
            .is_some_and(|authority| authority.fence == fence)
        {
            self.lose("a write found another leader's key", now, actions);
        }
    }

    fn lose(&mut self, cause: &'static str, now: Instant, actions: &mut Vec<Action>) {
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
        // Ending the lease lets another node lead before it lapses.
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

    fn follow(&mut self, run_at: Option<Instant>) {
        self.phase = Phase::Following { run_at };
    }
}

/// Returns the node that an entry of the leader's key names.
fn node_of(entry: &Entry) -> CompactString {
    CompactString::from_utf8_lossy(&entry.value)
}
