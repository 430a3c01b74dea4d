//! Limits that servers name in their answers: what this node knows of them, and the questions between
//! nodes by which all of them keep a limit together.
//!
//! A question and its answer are datagrams. Either may be lost, so a question is sent twice, and the
//! node that answers remembers its verdict.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use futures::channel::oneshot;
use jackdaw_core::backend::Server;
use jackdaw_core::config::Configuration;
use jackdaw_core::protocol::Limit;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Millis, Rate};
use jackdaw_policy::fleet::Target;
use jackdaw_policy::registry::Removal;
use jackdaw_policy::throttle::{
    self, Ask, Asker, Keeper, Recipient, Role, ServerId, Statement, TeamId, Verdict,
};
use jackdaw_policy::warmup::{self, Warmups};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter, UpDownCounter};
use prost::Message;
use slog::info;
use tokio::net::UdpSocket;
use tokio::time;

use crate::node::Node;
use crate::peers::Addresses;

/// Time for an answer to a question before it is sent again or given up.
const ANSWER_TIMEOUT: Millis = Millis(50);
/// Number of times that a question is sent to one node.
const TRIES: u32 = 2;
/// Number of nodes that are asked for one request to a server.
const MAX_RECIPIENTS: u32 = 2;
/// Time for which a verdict is remembered, so that a repeated question gets the same.
const VERDICT_MEMORY: Millis = Millis(1_000);
/// Largest number of limits in a datagram with loads.
const MAX_RECORDS: usize = 8;
/// Pause between two probes of a keeper by its standby.
const PROBE_INTERVAL: Millis = Millis(250);

/// What is known of a server's limit, on the wire; times are ages.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Record {
    #[prost(fixed64, tag = "1")]
    server: u64,
    /// Requests in a second; none if the server takes what it can.
    #[prost(double, optional, tag = "2")]
    rate: Option<f64>,
    /// Time since the request was sent, in milliseconds.
    #[prost(uint64, tag = "3")]
    sent_age_ms: u64,
    /// Time since the answer arrived, in milliseconds.
    #[prost(uint64, tag = "4")]
    answer_age_ms: u64,
}

impl Record {
    fn new(server: ServerId, statement: &Statement, now: Instant) -> Self {
        Record {
            server: server.0,
            rate: statement.rate.map(Rate::per_second),
            sent_age_ms: now.since(statement.sent_at).0,
            answer_age_ms: now.since(statement.answered_at).0,
        }
    }

    /// Returns the statement, or none if the limit is no valid one.
    fn decode(&self, now: Instant) -> Option<Statement> {
        let rate = match self.rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        Some(Statement {
            rate,
            sent_at: now - Millis(self.sent_age_ms),
            answered_at: now - Millis(self.answer_age_ms),
        })
    }
}

/// A question for one request, on the wire.
#[derive(Clone, Copy, PartialEq, Message)]
struct Question {
    /// Random number that its answer repeats.
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// What the asking node knows of the server's limit.
    #[prost(message, optional, tag = "2")]
    record: Option<Record>,
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(fixed64, tag = "4")]
    team: u64,
    /// Requests in a second that the server can sustain; none if it is not cold.
    #[prost(double, optional, tag = "5")]
    warmup_rate: Option<f64>,
    /// Server, if it names no limit and there is no record of it.
    #[prost(fixed64, tag = "6")]
    server: u64,
}

/// The answer to a question, on the wire.
#[derive(Clone, Copy, PartialEq, Message)]
struct Answer {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(bool, tag = "2")]
    is_granted: bool,
    /// Time in milliseconds after which asking again is of use.
    #[prost(uint64, tag = "3")]
    retry_after_ms: u64,
    /// What the answering node knows of the server's limit, if the asking one knows less.
    #[prost(message, optional, tag = "4")]
    record: Option<Record>,
}

/// A part of the exchange on limits between two nodes.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Exchange {
    #[prost(message, optional, tag = "1")]
    question: Option<Question>,
    #[prost(message, optional, tag = "2")]
    answer: Option<Answer>,
    /// Whether a sign of life is asked for; any datagram is one.
    #[prost(bool, tag = "3")]
    is_probe: bool,
}

/// Requests that this node has sent to a server since it named a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    first_tries: u64,
    repetitions: u64,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The server names no limit and is not cold.
    Unlimited,
    /// Another node, or this one, has to be asked.
    Needed,
    /// It would be refused for a time.
    Refused(Millis),
}

/// The socket and the addresses by which the other nodes are reached.
pub(crate) struct Link {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) addresses: Addresses,
}

/// What a node knows of limits, and the part that it has in keeping them.
pub(crate) struct Limits {
    limits: RefCell<throttle::Limits>,
    asker: RefCell<Asker>,
    keeper: RefCell<Keeper>,
    /// Servers that are cold.
    warmups: RefCell<Warmups>,
    link: RefCell<Option<Link>>,
    /// Questions that wait for their answers.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Verdicts on the questions of other nodes.
    verdicts: RefCell<HashMap<u64, (Verdict, Instant)>>,
    probed_at: Cell<Instant>,
    sent: RefCell<HashMap<ServerId, Sent>>,
    requests: Counter<u64>,
    questions: Counter<u64>,
    cold_questions: Counter<u64>,
    servers: UpDownCounter<i64>,
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits").finish_non_exhaustive()
    }
}

impl Limits {
    pub(crate) fn new(node: &str, meter: &Meter) -> Self {
        Limits {
            limits: RefCell::default(),
            asker: RefCell::new(Asker::new(node)),
            keeper: RefCell::default(),
            warmups: RefCell::default(),
            link: RefCell::default(),
            waiting: RefCell::default(),
            verdicts: RefCell::default(),
            probed_at: Cell::default(),
            sent: RefCell::default(),
            requests: meter
                .u64_counter("jackdawstair_limited_requests")
                .with_description("Requests sent to servers that name a limit.")
                .build(),
            questions: meter
                .u64_counter("jackdawstair_limit_questions")
                .with_description("Requests that other nodes were asked for, by what they said.")
                .build(),
            cold_questions: meter
                .u64_counter("jackdawstair_cold_questions")
                .with_description(
                    "Requests to cold servers that nodes were asked for, by what they said.",
                )
                .build(),
            servers: meter
                .i64_up_down_counter("jackdawstair_limited_servers")
                .with_description("Servers that name a limit, as far as the node knows.")
                .build(),
        }
    }

    /// Sets how the other nodes are reached.
    pub(crate) fn connect(&self, link: Link) {
        self.link.replace(Some(link));
    }

    /// Sets the other nodes.
    pub(crate) fn set_peers(&self, peers: Vec<CompactString>, now: Instant) {
        if self.asker.borrow_mut().replace_peers(peers, now) {
            self.keeper.borrow_mut().record_node_change(now);
        }
    }

    /// Records that this node stays registered with the others until a time.
    pub(crate) fn record_registration(&self, until: Instant, now: Instant) {
        self.asker.borrow_mut().record_registration(until, now);
    }

    /// Takes the rates that cold servers sustain from a configuration.
    pub(crate) fn set_warmup_rates(&self, configuration: &Configuration) {
        let services = configuration.services.iter();
        let rates =
            services.filter_map(|service| Some((service.name.clone(), service.warmup?.rate)));
        self.warmups.borrow_mut().set_rates(rates.collect());
    }

    /// Returns the requests in a second that a server takes from all nodes: the limit that it names, or
    /// what it can sustain while it is cold, if that is less.
    fn rate(&self, server: ServerId, now: Instant) -> Option<Rate> {
        let limit = self.limits.borrow().rate(server);
        lower(limit, self.warmups.borrow().rate(server, now))
    }

    /// Forgets for how long a server is cold, if it is removed.
    pub(crate) fn forget_warmup(&self, server: &str, removal: &Removal) {
        if matches!(removal, Removal::Removed(_)) {
            self.warmups.borrow_mut().forget(server);
        }
    }

    /// Records a sign of life of another node.
    pub(crate) fn record_heard(&self, peer: &str, now: Instant) {
        self.asker.borrow_mut().record_heard(peer, now);
    }

    /// Returns what the other nodes are told of limits in a round.
    pub(crate) fn records(&self, now: Instant) -> Vec<Record> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return Vec::new();
        }
        let news = limits.news(MAX_RECORDS, now, &mut fastrand::Rng::new());
        let records = news.iter();
        records
            .map(|(server, statement)| Record::new(*server, statement, now))
            .collect()
    }

    /// Returns whether no server has named a limit and none is cold.
    pub(crate) fn is_empty(&self) -> bool {
        self.limits.borrow().is_empty() && self.warmups.borrow().is_empty()
    }

    /// Returns whether a request of a team may be sent to a target's server.
    pub(crate) fn permission(
        &self,
        target: &Target,
        team: TeamId,
        priority: u8,
        now: Instant,
    ) -> Permission {
        let server = server_id(target);
        if self.rate(server, now).is_none() {
            return Permission::Unlimited;
        }
        let asker = self.asker.borrow();
        asker
            .blocked_for(server, team, priority, now)
            .map_or(Permission::Needed, Permission::Refused)
    }

    /// Counts a request that is sent to a server, if that names a limit.
    pub(crate) fn count_sent(&self, target: &Target, is_repetition: bool) {
        if self.is_empty() {
            return;
        }
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

    fn count_question(&self, is_cold: bool, result: &'static str) {
        let label = [KeyValue::new("result", result)];
        self.questions.add(1, &label);
        if is_cold {
            self.cold_questions.add(1, &label);
        }
    }

    /// Adds a verdict to those that are remembered.
    fn remember(&self, question: u64, verdict: Verdict, now: Instant) {
        let mut verdicts = self.verdicts.borrow_mut();
        verdicts.retain(|_, (_, at)| now.since(*at) < VERDICT_MEMORY);
        verdicts.insert(question, (verdict, now));
    }
}

/// Returns the lower one of two rates, of which either may be missing.
fn lower(left: Option<Rate>, right: Option<Rate>) -> Option<Rate> {
    match (left, right) {
        (Some(left), Some(right)) => Some(if right < left { right } else { left }),
        (left, right) => left.or(right),
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
            // There is nothing to lift.
            Limit::None if self.limits.is_empty() => return,
            Limit::None => None,
            Limit::Rate(rate) => Some(rate),
            Limit::Unreadable => return,
        };
        let statement = Statement {
            rate,
            sent_at,
            answered_at: self.now(),
        };
        let server = server_id(target);
        self.record_statement(server, statement, Some(&target.server));
    }

    /// Records what other nodes know of limits.
    pub(crate) fn adopt_limits(&self, records: &[Record]) {
        let now = self.now();
        for record in records {
            if let Some(statement) = record.decode(now) {
                self.record_statement(ServerId(record.server), statement, None);
            }
        }
    }

    /// Records a statement on a server, of which only the node that got an answer knows the name.
    fn record_statement(&self, server: ServerId, statement: Statement, name: Option<&str>) {
        let now = self.now();
        let limits = &self.limits;
        let change = limits.limits.borrow_mut().record(server, statement, now);
        let Some(change) = change else {
            return;
        };
        let is_limited = |rate: Option<Rate>| i64::from(rate.is_some());
        limits
            .servers
            .add(is_limited(change.after) - is_limited(change.before), &[]);
        let sent = limits.sent.borrow_mut().remove(&server).unwrap_or_default();
        let per_second = |rate: Option<Rate>| rate.map(Rate::per_second);
        info!(self.logger(), "limit of a server has changed";
            "server" => name,
            "server_id" => server.0,
            "source" => if name.is_some() { "answer" } else { "peer" },
            "before" => per_second(change.before),
            "after" => per_second(change.after),
            "sent_since" => sent.first_tries,
            "sent_again_since" => sent.repetitions);
    }

    /// Records the time for which a server is cold by its registration; returns whether that is news for
    /// the other nodes.
    pub(crate) fn record_warmup(&self, server: &Server, revision: u64) -> bool {
        let now = self.now();
        let change = self
            .limits
            .warmups
            .borrow_mut()
            .record(server, revision, now);
        match change {
            Some(warmup::Change::Cold(left)) => {
                info!(self.logger(), "server is cold";
                    "server" => %server.id, "service" => %server.service, "left_ms" => left.0);
            }
            Some(warmup::Change::Warm) => {
                info!(self.logger(), "server is warm"; "server" => %server.id);
            }
            Some(warmup::Change::Moved(_)) | None => {}
        }
        change.is_some()
    }

    /// Forgets the servers that have become warm by the passing of time.
    pub(crate) fn expire_warmups(&self) {
        let warm = self.limits.warmups.borrow_mut().expire(self.now());
        for server in warm {
            info!(self.logger(), "server is warm"; "server" => %server);
        }
    }

    /// Decides on a request to a server that has reached this node, as the node that is asked for it.
    fn decide(&self, ask: &Ask, is_cold: bool, role: Role, now: Instant) -> Verdict {
        let limits = &self.limits;
        if !is_cold {
            return limits.keeper.borrow_mut().decide(ask, role, now);
        }
        let part = limits.asker.borrow().part(ask.server, now);
        let Some(part) = part else {
            return Verdict::Denied(ANSWER_TIMEOUT);
        };
        let options = &self.options;
        // The rate is the lower one if the server names a limit, too; the bound is then no higher.
        let bound = ask.rate.per_second() * options.warmup_overshoot + options.warmup_slack;
        limits
            .keeper
            .borrow_mut()
            .decide_cold(ask, bound, part, now)
    }

    /// Asks for one request to a target's server; returns whether it may be sent.
    pub(crate) async fn ask_permission(&self, target: &Target, team: TeamId, priority: u8) -> bool {
        let server = server_id(target);
        for _ in 0..MAX_RECIPIENTS {
            let now = self.now();
            let limits = &self.limits;
            let warmup_rate = limits.warmups.borrow().rate(server, now);
            let Some(rate) = limits.rate(server, now) else {
                return true;
            };
            let is_cold = warmup_rate.is_some();
            let ask = Ask {
                server,
                rate,
                priority,
                team,
            };
            let recipient = limits.asker.borrow_mut().recipient(server, now);
            let verdict = match recipient {
                Some(Recipient::Own(role)) => {
                    self.probe_keeper(server, role);
                    Some(self.decide(&ask, is_cold, role, now))
                }
                Some(Recipient::Peer(peer)) => self.ask_peer(&peer, &ask, warmup_rate).await,
                None => break,
            };
            match verdict {
                Some(Verdict::Granted) => {
                    limits.count_question(is_cold, "granted");
                    return true;
                }
                Some(Verdict::Denied(retry_after)) => {
                    limits.count_question(is_cold, "denied");
                    let mut asker = limits.asker.borrow_mut();
                    asker.record_denial(server, team, priority, retry_after, self.now());
                    return false;
                }
                None => limits.count_question(is_cold, "unanswered"),
            }
        }
        let mut asker = self.limits.asker.borrow_mut();
        asker.record_unanswered(server, team, priority, self.now());
        false
    }

    /// Asks another node for a request; returns none if it does not answer.
    async fn ask_peer(&self, peer: &str, ask: &Ask, warmup_rate: Option<Rate>) -> Option<Verdict> {
        let limits = &self.limits;
        let id = fastrand::u64(..);
        let (sender, mut receiver) = oneshot::channel();
        limits.waiting.borrow_mut().insert(id, sender);
        let mut answer = None;
        for _ in 0..TRIES {
            let now = self.now();
            let statement = limits.limits.borrow().statement(ask.server);
            let question = Question {
                id,
                record: statement.map(|statement| Record::new(ask.server, &statement, now)),
                priority: ask.priority.into(),
                team: ask.team.0,
                warmup_rate: warmup_rate.map(Rate::per_second),
                server: if statement.is_none() { ask.server.0 } else { 0 },
            };
            self.send_exchange(peer, question.into());
            let received = time::timeout(ANSWER_TIMEOUT.duration(), &mut receiver).await;
            if let Ok(Ok(received)) = received {
                answer = Some(received);
                break;
            }
        }
        limits.waiting.borrow_mut().remove(&id);
        let now = self.now();
        let Some(answer) = answer else {
            limits.asker.borrow_mut().record_silence(peer, now);
            return None;
        };
        limits.asker.borrow_mut().record_answer(peer, now);
        self.adopt_limits(answer.record.as_slice());
        Some(match answer.is_granted {
            true => Verdict::Granted,
            false => Verdict::Denied(Millis(answer.retry_after_ms)),
        })
    }

    /// Sends a part of the exchange to a node, if its address is known.
    fn send_exchange(&self, peer: &str, exchange: Exchange) {
        let link = self.limits.link.borrow();
        let Some(link) = link.as_ref() else {
            return;
        };
        let address = link.addresses.borrow().get(peer).copied();
        if let Some(address) = address {
            self.send_exchange_to(&link.socket, address, exchange);
        }
    }

    fn send_exchange_to(&self, socket: &UdpSocket, address: SocketAddr, exchange: Exchange) {
        let bytes = crate::peers::encode_exchange(&self.options.node, exchange);
        crate::peers::send_to_each(self, socket, &bytes, &[address]);
    }

    /// Asks the keeper of a server for a sign of life, if this node stands in for it.
    fn probe_keeper(&self, server: ServerId, role: Role) {
        let now = self.now();
        let limits = &self.limits;
        if role == Role::Keeper || now.since(limits.probed_at.get()) < PROBE_INTERVAL {
            return;
        }
        limits.probed_at.set(now);
        let keeper = limits.asker.borrow().keeper(server);
        if let Some(keeper) = keeper {
            let probe = Exchange {
                is_probe: true,
                ..Exchange::default()
            };
            self.send_exchange(&keeper, probe);
        }
    }

    /// Handles a part of the exchange that another node has sent from an address.
    pub(crate) fn handle_exchange(&self, exchange: Exchange, from: SocketAddr) {
        if let Some(answer) = exchange.answer {
            // The question may have been given up.
            if let Some(waiting) = self.limits.waiting.borrow_mut().remove(&answer.id) {
                let _ = waiting.send(answer);
            }
        }
        let reply = match exchange.question {
            Some(question) => self.decide_question(&question),
            None if exchange.is_probe => Some(Exchange::default()),
            None => None,
        };
        let link = self.limits.link.borrow();
        if let (Some(reply), Some(link)) = (reply, link.as_ref()) {
            self.send_exchange_to(&link.socket, from, reply);
        }
    }

    /// Decides on the question of another node; returns none if it is not a valid one.
    fn decide_question(&self, question: &Question) -> Option<Exchange> {
        let now = self.now();
        let warmup_rate = match question.warmup_rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        let (server, statement) = match question.record {
            Some(record) => (ServerId(record.server), Some(record.decode(now)?)),
            // The server names no limit, so far as the asking node knows.
            None => (ServerId(question.server), None),
        };
        if statement.is_none() && warmup_rate.is_none() {
            return None;
        }
        if let Some(statement) = statement {
            self.record_statement(server, statement, None);
        }
        let limits = &self.limits;
        let known = limits.limits.borrow().statement(server);
        let stated = statement.and_then(|statement| statement.rate);
        // The asking node or this one may not have read yet that the server is cold.
        let warmup_rate = lower(warmup_rate, limits.warmups.borrow().rate(server, now));
        let rate = lower(known.map_or(stated, |known| known.rate), warmup_rate);
        let earlier = limits.verdicts.borrow().get(&question.id).copied();
        let verdict = match (earlier, rate) {
            (Some((verdict, _)), _) => verdict,
            (None, None) => Verdict::Granted,
            (None, Some(rate)) => {
                let role = limits.asker.borrow_mut().role(server, now);
                self.probe_keeper(server, role);
                let ask = Ask {
                    server,
                    rate,
                    priority: u8::try_from(question.priority).unwrap_or(u8::MAX),
                    team: TeamId(question.team),
                };
                self.decide(&ask, warmup_rate.is_some(), role, now)
            }
        };
        limits.remember(question.id, verdict, now);
        let newer = known.filter(|known| known.rate != stated);
        Some(Exchange {
            answer: Some(Answer {
                id: question.id,
                is_granted: verdict == Verdict::Granted,
                retry_after_ms: match verdict {
                    Verdict::Granted => 0,
                    Verdict::Denied(retry_after) => retry_after.0,
                },
                record: newer.map(|known| Record::new(server, &known, now)),
            }),
            ..Exchange::default()
        })
    }
}

impl From<Question> for Exchange {
    fn from(question: Question) -> Self {
        Exchange {
            question: Some(question),
            ..Exchange::default()
        }
    }
}
