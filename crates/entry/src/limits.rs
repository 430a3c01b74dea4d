//! Limits that backend servers name in their answers, and the questions between nodes by which all of
//! them keep a limit together.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use compact_str::{CompactString, ToCompactString};
use futures::future::BoxFuture;
use jackdaw_core::time::{Clock, Instant};
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::throttle::{
    self, Ask, Asker, Keeper, Recipient, ServerId, Statement, TeamId, Verdict,
};
use ntex::http::HeaderMap;

use crate::snapshot::{Snapshot, Target};

/// Header with the requests a second that a backend server takes from all nodes together.
pub const LIMIT: &str = "x-jackdaw-limit";
/// Number of nodes that are asked for one request to a server.
const MAX_RECIPIENTS: u32 = 2;

/// What a node knows of a server's limit; times are ages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Record {
    /// Limit; none if the server takes what it can.
    pub rate: Option<Rate>,
    /// Time since the request was sent.
    pub sent_age: Millis,
    /// Time since the answer arrived.
    pub answer_age: Millis,
}

impl Record {
    fn new(statement: &Statement, now: Instant) -> Self {
        Record {
            rate: statement.rate,
            sent_age: now.since(statement.sent_at),
            answer_age: now.since(statement.answered_at),
        }
    }

    fn statement(&self, now: Instant) -> Statement {
        Statement {
            rate: self.rate,
            sent_at: now - self.sent_age,
            answered_at: now - self.answer_age,
        }
    }
}

/// A question for one request to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Question {
    /// Server that would get the request.
    pub server: ServerId,
    /// What the asking node knows of its limit.
    pub record: Record,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller.
    pub team: TeamId,
}

/// The answer to a question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// Whether the request may be sent.
    pub verdict: Verdict,
    /// What the answering node knows of the limit.
    pub record: Record,
}

/// Asks other nodes.
pub trait Peers: Send + Sync {
    /// Asks the node at an address; the answer is none if it does not come in time.
    fn ask(&self, address: SocketAddr, question: Question) -> BoxFuture<'static, Option<Reply>>;
}

#[derive(Debug, Default)]
struct State {
    limits: throttle::Limits,
    asker: Asker,
    keeper: Keeper,
    addresses: HashMap<CompactString, SocketAddr>,
}

/// What a node knows of limits, and its part in keeping them.
pub struct Limits {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    peers: OnceLock<Arc<dyn Peers>>,
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits").finish_non_exhaustive()
    }
}

/// Who asks: the caller's team and the call's priority.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Applicant {
    pub(crate) team: TeamId,
    pub(crate) priority: u8,
}

/// Returns the identity of a target's server.
fn server_id(target: &Target) -> ServerId {
    ServerId::new(&target.address.to_compact_string(), target.generation.0)
}

impl Limits {
    /// Creates the state of a node that knows no limit and no other node.
    #[must_use]
    pub fn new(node: &str, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            asker: Asker::new(node),
            ..State::default()
        };
        Limits {
            clock,
            state: Mutex::new(state),
            peers: OnceLock::new(),
        }
    }

    /// Sets how other nodes are asked; only the first call has an effect.
    pub fn connect(&self, peers: Arc<dyn Peers>) {
        let _ = self.peers.set(peers);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on the question of another node.
    #[must_use]
    pub fn answer(&self, question: &Question) -> Reply {
        let now = self.clock.now();
        let mut state = self.state();
        let asked = question.record.statement(now);
        state.limits.record(question.server, asked, now);
        let known = state.limits.statement(question.server).unwrap_or(asked);
        let verdict = match known.rate {
            None => Verdict::Granted,
            Some(rate) => {
                let role = state.asker.role(question.server, now);
                let ask = Ask {
                    server: question.server,
                    rate,
                    priority: question.priority,
                    team: question.team,
                };
                state.keeper.decide(&ask, role, now)
            }
        };
        Reply {
            verdict,
            record: Record::new(&known, now),
        }
    }

    /// Records what the head of an answer says of its server's limit.
    pub(crate) fn record(&self, target: &Target, headers: &HeaderMap, sent_at: Instant) {
        let Ok(rate) = parse_limit(headers) else {
            return;
        };
        let now = self.clock.now();
        let statement = Statement {
            rate,
            sent_at,
            answered_at: now,
        };
        let mut state = self.state();
        state.limits.record(server_id(target), statement, now);
    }

    /// Returns the time for which a request to a target would be refused, if it would.
    pub(crate) fn blocked_for(&self, target: &Target, applicant: Applicant) -> Option<Millis> {
        let state = self.state();
        if state.limits.is_empty() {
            return None;
        }
        let server = server_id(target);
        state.limits.rate(server)?;
        let now = self.clock.now();
        let Applicant { team, priority } = applicant;
        state.asker.blocked_for(server, team, priority, now)
    }

    /// Returns whether a target's server names a limit.
    pub(crate) fn is_limited(&self, target: &Target) -> bool {
        let state = self.state();
        !state.limits.is_empty() && state.limits.rate(server_id(target)).is_some()
    }

    /// Asks for one request to a target's server; returns whether it may be sent.
    pub(crate) async fn ask(
        &self,
        snapshot: &Snapshot,
        target: &Target,
        applicant: Applicant,
    ) -> bool {
        let server = server_id(target);
        let Applicant { team, priority } = applicant;
        for _ in 0..MAX_RECIPIENTS {
            let verdict = match self.decide_or_delegate(snapshot, server, applicant) {
                Step::Decided(verdict) => verdict,
                Step::Asking(peer, asking) => {
                    let reply = asking.await;
                    let now = self.clock.now();
                    let mut state = self.state();
                    let Some(reply) = reply else {
                        state.asker.record_silence(&peer, now);
                        continue;
                    };
                    state.asker.record_answer(&peer, now);
                    let statement = reply.record.statement(now);
                    state.limits.record(server, statement, now);
                    reply.verdict
                }
                Step::Unanswered => break,
            };
            let Verdict::Denied(retry_after) = verdict else {
                return true;
            };
            let now = self.clock.now();
            let asker = &mut self.state().asker;
            asker.record_denial(server, team, priority, retry_after, now);
            return false;
        }
        let now = self.clock.now();
        let asker = &mut self.state().asker;
        asker.record_unanswered(server, team, priority, now);
        false
    }

    /// Decides on a request, or begins to ask the node that does.
    fn decide_or_delegate(
        &self,
        snapshot: &Snapshot,
        server: ServerId,
        applicant: Applicant,
    ) -> Step {
        let now = self.clock.now();
        let mut state = self.state();
        state.adopt_peers(snapshot, now);
        let Some(statement) = state.limits.statement(server) else {
            return Step::Decided(Verdict::Granted);
        };
        let Some(rate) = statement.rate else {
            return Step::Decided(Verdict::Granted);
        };
        let Applicant { team, priority } = applicant;
        match state.asker.recipient(server, now) {
            Some(Recipient::Own(role)) => {
                let ask = Ask {
                    server,
                    rate,
                    priority,
                    team,
                };
                Step::Decided(state.keeper.decide(&ask, role, now))
            }
            Some(Recipient::Peer(peer)) => {
                let address = state.addresses.get(&peer).copied();
                let (Some(address), Some(peers)) = (address, self.peers.get()) else {
                    return Step::Unanswered;
                };
                let question = Question {
                    server,
                    record: Record::new(&statement, now),
                    priority,
                    team,
                };
                Step::Asking(peer, peers.ask(address, question))
            }
            None => Step::Unanswered,
        }
    }
}

/// How a request to a limited server is decided.
enum Step {
    Decided(Verdict),
    /// The node that is asked, and its answer.
    Asking(CompactString, BoxFuture<'static, Option<Reply>>),
    /// No node can be asked.
    Unanswered,
}

impl State {
    /// Takes the other nodes from a snapshot.
    fn adopt_peers(&mut self, snapshot: &Snapshot, now: Instant) {
        let names = snapshot.peers.iter().map(|(name, _)| name.clone());
        if self.asker.set_peers(names.collect()) {
            self.keeper.record_node_change(now);
        }
        self.addresses = snapshot.peers.iter().cloned().collect();
    }
}

/// Returns the limit in an answer's head; the lowest one if it names several.
///
/// # Errors
///
/// Returns an error if it names one that is no valid rate.
fn parse_limit(headers: &HeaderMap) -> Result<Option<Rate>, Unreadable> {
    let mut lowest: Option<Rate> = None;
    for value in headers.get_all(LIMIT) {
        let number = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        let rate = number.and_then(Rate::new).ok_or(Unreadable)?;
        let is_lower = lowest.is_none_or(|lowest| rate < lowest);
        lowest = if is_lower { Some(rate) } else { lowest };
    }
    Ok(lowest)
}

/// The statement of a limit cannot be read.
#[derive(Clone, Copy, Debug)]
struct Unreadable;
