//! One attempt at a request: the request on its way to one target, and its answer as far as it has
//! arrived.
//!
//! An attempt decides nothing. It can be polled beside others, and dropping it closes its connection,
//! which ends the work at the server.

use std::fmt;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::LocalBoxFuture;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use jackdaw_core::outcome::Step;
use jackdaw_core::protocol::{Answer, Forwarding, Pause};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Millis;
use jackdaw_entry::in_flight::{self, Stage};
use jackdaw_link::connection::{self, Connection};
use jackdaw_policy::answer::{self, Claim, Named};
use jackdaw_policy::continuation::{Form, Label, Source};
use jackdaw_policy::ending::{Doubt, Ending, Framing, Link, Verdict};
use jackdaw_policy::fleet::Target;
use jackdaw_policy::memory::{Class, SMALL};
use jackdaw_policy::pause::Way;
use jackdaw_policy::poison::Suspicion;
use jackdaw_policy::reach;
use jackdaw_policy::retry::{self, ExchangeFailure, Fault};
use slog::info;

use crate::buffered::BufferedAnswer;
use crate::call::Call;
use crate::dispatch::incarnation_name;
use crate::ending;
use crate::event::{Event, Splitter, TooLarge};
use crate::exposure::Exposure;
use crate::header;
use crate::limits::server_id;
use crate::memory::{Charge, Held, ReadError};
use crate::node::Node;
use crate::pauses::Origin;
use crate::poison::Trial;
use crate::targets::{Key, Reservation};
use crate::tunnel::{Purpose, Unopened};

/// Time for which a target that was full gets new requests only if no other can take them; some of
/// its requests end within that time.
const FULL_AVOIDANCE_TIME: Millis = Millis(400);

/// A part of an answer.
#[derive(Debug)]
pub(crate) enum Piece {
    /// The next event of a stream.
    Event(Event),
    /// The end of a complete stream.
    End,
    /// A complete answer that is not a stream.
    Answer(BufferedAnswer),
}

/// How a request is sent in an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) request: in_flight::Key,
    pub(crate) key: Key,
    /// Suspicion that the request ends servers.
    pub(crate) suspicion: Option<Suspicion>,
    /// Whether the request must not be sent on a connection that was used before.
    pub(crate) needs_new_connection: bool,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// The answer beside what the caller has.
    pub(crate) source: Source,
    /// Whether the request was sent to a server before.
    pub(crate) is_repetition: bool,
}

/// How far an attempt has come.
enum Phase {
    Connecting(LocalBoxFuture<'static, Result<Connection, ExchangeFailure>>),
    Sending(LocalBoxFuture<'static, (Connection, Result<Response<Incoming>, connection::Fault>)>),
    Streaming(Box<Stream>),
    Collecting(LocalBoxFuture<'static, Result<(Connection, Held), ReadError>>),
    Confirming(Box<Confirmation>),
    Ended,
}

/// An answer that has ended with its connection, whose server is asked whether it still runs.
struct Confirmation {
    answer: LocalBoxFuture<'static, Result<(), Doubt>>,
    /// Body of a whole answer; none for a stream.
    body: Option<Held>,
}

/// A stream that is being received.
struct Stream {
    connection: Connection,
    body: Incoming,
    splitter: Splitter,
    /// What the event in progress takes, if it is large.
    charge: Charge,
}

impl Stream {
    /// Takes memory for a large event that goes on with some bytes; returns false if there is none.
    fn charge_event(&mut self, bytes: usize) -> bool {
        if self.splitter.is_empty() {
            self.charge.release();
        }
        let len = self.splitter.len() + bytes;
        len <= SMALL.0 as usize || self.charge.cover(len)
    }
}

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// A request that was sent to one target.
pub(crate) struct Attempt {
    node: Rc<Node>,
    call: Rc<Call>,
    plan: Plan,
    pub(crate) target: Rc<Target>,
    /// Name of the target's server that tells its incarnations apart.
    incarnation: CompactString,
    pub(crate) is_new_connection: bool,
    /// Way of the answer, once there is a connection.
    link: Link,
    /// Machine that the server sees, once there is a connection.
    way: Way,
    pub(crate) exposure: Exposure,
    /// The answer beside what the caller has.
    pub(crate) source: Source,
    trial: Option<Trial>,
    /// Whether nothing arrived from the server for longer than a time-out.
    pub(crate) is_silent: bool,
    /// Time of the last bytes from the server, at first the time of sending.
    last_activity: Instant,
    /// Time of sending.
    sent_at: Instant,
    reservation: Option<Reservation>,
    head: Option<AnswerHead>,
    /// What marks the end of the answer, once its head has arrived.
    framing: Framing,
    /// Event that is held until the next part of the answer tells whether events are missing before it.
    held: Option<Event>,
    /// Part of the answer that follows an event that was held.
    ready: Option<Piece>,
    phase: Phase,
}

impl fmt::Debug for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Attempt")
            .field("target", &self.target)
            .field("step", &self.step())
            .finish_non_exhaustive()
    }
}

impl Attempt {
    /// Begins to connect to a target.
    ///
    /// A request with suspected features is on trial until the server has begun to answer it.
    pub(crate) fn begin(
        node: &Rc<Node>,
        call: &Rc<Call>,
        target: Rc<Target>,
        plan: Plan,
        trial: Option<Trial>,
    ) -> Attempt {
        let connecting = {
            let node = Rc::clone(node);
            let target = Rc::clone(&target);
            async move { node.connect(&target, plan.needs_new_connection).await }
        };
        Attempt {
            node: Rc::clone(node),
            call: Rc::clone(call),
            plan,
            incarnation: incarnation_name(&target),
            target,
            is_new_connection: true,
            link: Link::Direct,
            way: Way::Direct,
            exposure: Exposure::default(),
            source: plan.source,
            trial,
            is_silent: false,
            last_activity: node.now(),
            sent_at: node.now(),
            reservation: None,
            head: None,
            framing: Framing::Connection,
            held: None,
            ready: None,
            phase: Phase::Connecting(Box::pin(connecting)),
        }
    }

    /// Returns whether the request has suspected features and the server has not begun to answer it.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Lets other requests with the same suspected features be sent.
    pub(crate) fn end_trial(&mut self) {
        self.trial = None;
    }

    /// Gets the name of the target's server that tells its incarnations apart.
    pub(crate) fn incarnation(&self) -> &CompactString {
        &self.incarnation
    }

    pub(crate) fn key(&self) -> Key {
        self.plan.key
    }

    /// Gets the head of the answer, once it has arrived.
    pub(crate) fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Gets what marks the end of the answer, once its head has arrived.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Gets the time of the last bytes from the server, at first the time of sending.
    pub(crate) fn last_activity(&self) -> Instant {
        self.last_activity
    }

    /// Returns the furthest step.
    pub(crate) fn step(&self) -> Step {
        match self.phase {
            Phase::Connecting(_) => Step::Connecting,
            Phase::Sending(_) => Step::Written,
            Phase::Streaming(_) | Phase::Collecting(_) | Phase::Confirming(_) | Phase::Ended => {
                Step::Answering
            }
        }
    }

    /// Polls for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the attempt.
    pub(crate) fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Piece, ExchangeFailure>> {
        if let Some(piece) = self.ready.take() {
            return Poll::Ready(Ok(piece));
        }
        loop {
            let piece = ready!(self.poll_received(cx))?;
            match (self.held.take(), piece) {
                (None, Piece::Event(event)) if self.source.is_ambiguous(event.label) => {
                    self.held = Some(event);
                }
                // A comment tells nothing of the numbers.
                (Some(held), Piece::Event(event)) if event.label == Label::Silent => {
                    self.held = Some(held);
                }
                (Some(held), piece) => {
                    if let Piece::Event(event) = &piece {
                        self.source.look_ahead(event.label);
                    }
                    self.ready = Some(piece);
                    return Poll::Ready(Ok(Piece::Event(held)));
                }
                (None, piece) => return Poll::Ready(Ok(piece)),
            }
        }
    }

    /// Polls for the next part of the answer as it is received.
    ///
    /// # Errors
    ///
    /// Returns the failure that ends the attempt.
    fn poll_received(&mut self, cx: &mut Context<'_>) -> Poll<Result<Piece, ExchangeFailure>> {
        loop {
            match &mut self.phase {
                Phase::Connecting(connecting) => {
                    let connection = ready!(connecting.as_mut().poll(cx));
                    self.phase = self.send(connection?)?;
                }
                Phase::Sending(sending) => {
                    let (connection, answer) = ready!(sending.as_mut().poll(cx));
                    if matches!(answer, Err(connection::Fault::Overlong(_))) {
                        self.avoid_server();
                    }
                    let answer = answer.map_err(connection_failure)?;
                    self.record_answer();
                    self.check_head(&answer)?;
                    let form = form(&answer);
                    self.source
                        .receive(form)
                        .map_err(ExchangeFailure::invalid)?;
                    self.phase = self.receive(connection, answer);
                }
                Phase::Streaming(stream) => {
                    let next = stream.splitter.next();
                    match next {
                        Ok(Some(event)) => return Poll::Ready(Ok(Piece::Event(event))),
                        Ok(None) => {}
                        Err(TooLarge) => {
                            return Poll::Ready(Err(self.reject("an event is too large")));
                        }
                    }
                    let frame = ready!(Pin::new(&mut stream.body).poll_frame(cx));
                    let Some(frame) = frame else {
                        match self.end_stream()? {
                            Some(piece) => return Poll::Ready(Ok(piece)),
                            None => continue,
                        }
                    };
                    let frame = frame
                        .map_err(|error| broken_answer(connection::Fault::unanswered(&error)))?;
                    if let Ok(data) = frame.into_data() {
                        if !stream.charge_event(data.len()) {
                            let detail = "there is no memory for a large event";
                            return Poll::Ready(Err(self.reject(detail)));
                        }
                        stream.splitter.push(&data);
                        self.record_progress();
                    }
                }
                Phase::Collecting(collecting) => {
                    let collected = ready!(collecting.as_mut().poll(cx));
                    let (connection, body) = collected.map_err(|error| match error {
                        ReadError::Broken(fault) => broken_answer(fault),
                        ReadError::Denied(denial) => self.reject(denial),
                    })?;
                    if let Some(piece) = self.end_body(connection, Some(body))? {
                        return Poll::Ready(Ok(piece));
                    }
                }
                Phase::Confirming(confirmation) => {
                    let confirmed = ready!(confirmation.answer.as_mut().poll(cx));
                    let body = confirmation.body.take();
                    self.phase = Phase::Ended;
                    return Poll::Ready(match confirmed {
                        Ok(()) => Ok(self.finish(body)),
                        Err(doubt) => Err(self.doubt_end(doubt)),
                    });
                }
                Phase::Ended => return Poll::Pending,
            }
        }
    }

    /// Returns the failure of an answer that is not held, and keeps new requests away from its server.
    fn reject(&self, detail: impl fmt::Display) -> ExchangeFailure {
        self.avoid_server();
        ExchangeFailure::invalid(detail)
    }

    /// Keeps new requests away from a server that sends more than can be an answer.
    fn avoid_server(&self) {
        let now = self.node.now();
        self.node.targets.borrow_mut().avoid(self.plan.key, now);
    }

    /// Sends the request on a connection.
    fn send(&mut self, mut connection: Connection) -> Result<Phase, ExchangeFailure> {
        self.is_new_connection = !connection.is_used();
        self.link = ending::link(&connection);
        self.way = way(&connection);
        let sent = self.node.now();
        let left = self.call.caller_deadline.since(sent);
        if left == Millis(0) || sent >= self.call.due(&self.node) {
            let detail = "the deadline passed before the request was sent";
            return Err(ExchangeFailure::new(
                Fault::Deadline,
                Step::Connecting,
                detail,
            ));
        }
        // The pause may have been asked for while the connection was opened.
        let server = server_id(&self.target);
        if self.node.pause_left_by(server, self.way).is_some() {
            let detail = "the server asked for a pause before the request was sent";
            let max_idle = self.node.max_idle_connections(&self.call.service);
            self.node.pool.put(connection, &HeaderMap::new(), max_idle);
            return Err(ExchangeFailure::new(
                Fault::Paused,
                Step::Connecting,
                detail,
            ));
        }
        let request = self.build_request(left)?;
        let Some(reservation) = self.reserve() else {
            let detail = "the server was withdrawn before the request was sent";
            return Err(ExchangeFailure::new(
                Fault::Withdrawn,
                Step::Connecting,
                detail,
            ));
        };
        self.reservation = Some(reservation);
        self.last_activity = sent;
        self.sent_at = sent;
        self.node
            .limits
            .count_sent(&self.target, self.plan.is_repetition);
        Ok(Phase::Sending(Box::pin(async move {
            let answer = connection.send(request).await;
            (connection, answer)
        })))
    }

    /// Counts the request at its target; none if that was withdrawn while the connection was opened.
    fn reserve(&self) -> Option<Reservation> {
        if self.node.evacuations.is_evacuated(&self.target.zone) {
            return None;
        }
        let demand = self.call.demand();
        Reservation::acquire(
            &self.node.targets,
            self.plan.key,
            u64::from(demand.prompt),
            u64::from(demand.output),
            self.plan.suspicion.map(|suspicion| suspicion.crashes),
        )
    }

    fn build_request(&self, left: Millis) -> Result<Request<Bytes>, ExchangeFailure> {
        let mut headers = self.call.headers.clone();
        let forwarding = Forwarding {
            server: &self.target.server,
            left,
            team: self.call.team.as_deref(),
            priority: self.call.priority,
            last_event: self.plan.last_event,
        };
        let protocol = &self.node.parts.protocol;
        protocol.write_headers(&mut headers, &forwarding);
        let mut request = Request::builder()
            .method(self.call.method.clone())
            .uri(self.call.uri.clone())
            .body(self.call.body.clone())
            .map_err(|error| ExchangeFailure::new(Fault::Unreachable, Step::Routed, error))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Begins to read the body of an answer.
    fn receive(&mut self, connection: Connection, answer: Response<Incoming>) -> Phase {
        let (head, body) = answer.into_parts();
        let is_stream = self.call.route.kind.is_stream() && self.source.is_stream();
        self.framing = ending::framing(&head.headers, &body);
        self.head = Some(AnswerHead {
            status: head.status,
            headers: head.headers,
        });
        if is_stream {
            let registry = &self.node.in_flight.registry;
            registry.update(self.plan.request, |tracked| {
                if tracked.stage == Stage::Server {
                    tracked.stage = Stage::FirstEvent;
                }
            });
            return Phase::Streaming(Box::new(Stream {
                connection,
                body,
                splitter: Splitter::default(),
                charge: self.node.memory.open(Class::Answer),
            }));
        }
        let memory = Rc::clone(&self.node.memory);
        Phase::Collecting(Box::pin(async move {
            let body = Held::read(body, &memory).await?;
            Ok((connection, body))
        }))
    }

    /// Returns the kind of the connection, or none if another node relays it.
    pub(crate) fn direct_link(&self) -> Option<reach::Link> {
        if self.link != Link::Direct {
            return None;
        }
        Some(match self.is_new_connection {
            true => reach::Link::New,
            false => reach::Link::Used,
        })
    }

    /// Returns the machine through which a new connection was opened; none if another one was used.
    pub(crate) fn new_relay(&self) -> Option<IpAddr> {
        match self.way {
            Way::Through(machine) if self.is_new_connection => Some(machine),
            Way::Through(_) | Way::Direct => None,
        }
    }

    /// Returns the kind of the connection.
    pub(crate) fn connection(&self) -> retry::Connection {
        match self.is_new_connection {
            true => retry::Connection::New,
            false => retry::Connection::Used,
        }
    }

    /// Records that the server has answered.
    fn record_answer(&self) {
        if let Some(link) = self.direct_link() {
            self.node.record_direct_answer(link);
        }
    }

    /// Records that bytes have arrived from the target.
    fn record_progress(&mut self) {
        // What a connection brings later says nothing of new ones.
        if self.direct_link().is_some() {
            self.node.record_direct_answer(reach::Link::Used);
        }
        let now = self.node.now();
        self.last_activity = now;
        self.is_silent = false;
        if let Some(reservation) = &mut self.reservation {
            reservation.advance(now);
        }
    }

    /// Ends a stream whose body has ended; none if its server is asked first.
    ///
    /// # Errors
    ///
    /// Returns the failure if the stream may have been broken off.
    fn end_stream(&mut self) -> Result<Option<Piece>, ExchangeFailure> {
        let Phase::Streaming(stream) = std::mem::replace(&mut self.phase, Phase::Ended) else {
            return Ok(None);
        };
        if !stream.splitter.is_empty() {
            let detail = "the stream ended within an event";
            return Err(ExchangeFailure::new(Fault::Closed, Step::Answering, detail));
        }
        self.end_body(stream.connection, None)
    }

    /// Ends an answer whose body has ended without an error; none if its server is asked first.
    ///
    /// # Errors
    ///
    /// Returns the failure if the answer may have been broken off.
    fn end_body(
        &mut self,
        connection: Connection,
        body: Option<Held>,
    ) -> Result<Option<Piece>, ExchangeFailure> {
        let ending = Ending {
            framing: self.framing,
            link: self.link,
            is_late: self.node.now() >= self.call.caller_deadline,
        };
        self.node.endings.count(ending);
        match ending.assess() {
            Verdict::Whole => {
                self.phase = Phase::Ended;
                self.keep_connection(connection);
                Ok(Some(self.finish(body)))
            }
            Verdict::Broken(doubt) => Err(self.doubt_end(doubt)),
            Verdict::Ask => {
                let node = Rc::clone(&self.node);
                let target = Rc::clone(&self.target);
                let link = self.link;
                self.phase = Phase::Confirming(Box::new(Confirmation {
                    answer: Box::pin(async move { node.confirm_end(&target, link).await }),
                    body,
                }));
                Ok(None)
            }
        }
    }

    /// Returns the last part of a complete answer.
    fn finish(&mut self, body: Option<Held>) -> Piece {
        self.log_end(None);
        let Some(body) = body else {
            return Piece::End;
        };
        let now = self.node.now();
        self.node.targets.borrow_mut().advance(self.plan.key, now);
        let (status, mut headers) = match &self.head {
            Some(head) => (head.status, head.headers.clone()),
            None => (StatusCode::OK, HeaderMap::new()),
        };
        header::strip_hop_by_hop(&mut headers);
        Piece::Answer(BufferedAnswer {
            status,
            headers,
            body,
        })
    }

    /// Returns the failure of an answer that may have been broken off.
    fn doubt_end(&self, doubt: Doubt) -> ExchangeFailure {
        self.node.endings.count_doubt(doubt);
        self.log_end(Some(doubt));
        let detail = format!("the answer ended with its connection: {doubt}");
        ExchangeFailure::new(Fault::Closed, Step::Answering, detail)
    }

    /// Logs an answer that only its connection ends.
    fn log_end(&self, doubt: Option<Doubt>) {
        if self.framing != Framing::Connection {
            return;
        }
        let node = &self.node;
        let now = node.now();
        info!(node.logger(), "answer ended with its connection";
            "request" => %self.call.head.id,
            "route" => %self.call.route.name,
            "server" => %self.target.server,
            "group" => %self.target.group,
            "link" => self.link.label(),
            "doubt" => doubt.map(Doubt::label),
            "events" => self.exposure.events(),
            "is_repetition" => self.plan.is_repetition,
            "idle_ms" => now.since(self.last_activity).0,
            "age_ms" => now.since(self.call.arrived).0,
            "left_ms" => self.call.caller_deadline.since(now).0,
            "stopping_ms" => node.stopping_for().map(|time| time.0));
    }

    /// Returns the connection to the pool after a complete answer.
    fn keep_connection(&self, connection: Connection) {
        if let Some(head) = &self.head {
            let max_idle = self.node.max_idle_connections(&self.call.service);
            self.node.pool.put(connection, &head.headers, max_idle);
        }
    }

    /// Validates the head of an answer.
    ///
    /// # Errors
    ///
    /// Returns the failure if the server did not run the request or the answer is invalid.
    fn check_head(&self, response: &Response<Incoming>) -> Result<(), ExchangeFailure> {
        let status = response.status();
        answer::check_status(status.as_u16())?;
        let protocol = &self.node.parts.protocol;
        let decoded = protocol.decode_answer(status, response.headers());
        // Another server may answer at the address, and a late answer is older than the request.
        let named = Named::new(decoded.id.as_deref(), &self.call.head.id);
        let claim = match decoded.not_run {
            true => Claim::NotRun,
            false => Claim::Answered,
        };
        answer::check(named, claim, self.connection())?;
        if named == Named::Own && status != StatusCode::MISDIRECTED_REQUEST {
            let node = &self.node;
            node.record_limit(&self.target, decoded.limit, self.sent_at);
        }
        self.record_pause(named, decoded.pause);
        if decoded.not_run {
            return Err(self.record_refusal(status, &decoded));
        }
        let invalid = |detail: &str| Err(ExchangeFailure::invalid(detail));
        if status.is_success() && !decoded.signed {
            return invalid("the answer is not signed");
        }
        if response.headers().contains_key(CONTENT_ENCODING) {
            return invalid("the answer is encoded");
        }
        let ambiguous_statuses = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if ambiguous_statuses.contains(&status) || status.is_redirection() {
            return invalid("the status does not say whether the request has run");
        }
        Ok(())
    }

    /// Records the pause that an answer's server asks for, if the answer belongs to the request.
    fn record_pause(&self, named: Named, pause: Pause) {
        let is_own = match named {
            Named::Own => true,
            Named::None => self.is_new_connection,
            Named::Other => false,
        };
        if is_own {
            let origin = Origin::from(&*self.target);
            let request = Some(&*self.call.head.id);
            self.node.record_pause(origin, self.way, pause, request);
        }
    }

    /// Keeps new requests away from a server that did not run this one, and returns the failure.
    fn record_refusal(&self, status: StatusCode, decoded: &Answer) -> ExchangeFailure {
        let now = self.node.now();
        let mut targets = self.node.targets.borrow_mut();
        if status == StatusCode::MISDIRECTED_REQUEST || decoded.faulty_server.is_some() {
            targets.avoid(self.plan.key, now);
        } else {
            targets.avoid_until(self.plan.key, now + FULL_AVOIDANCE_TIME);
        }
        let detail = refusal_detail(status, decoded);
        ExchangeFailure::new(Fault::Refused, Step::Routed, detail)
    }
}

impl Node {
    /// Takes an idle connection to a target's server, or opens one: directly, or through another node
    /// while no server is reached.
    ///
    /// # Errors
    ///
    /// Returns a failure that has reached no server if there is none in time, or if the server wants no
    /// requests of the nodes that reach it.
    async fn connect(
        &self,
        target: &Target,
        needs_new: bool,
    ) -> Result<Connection, ExchangeFailure> {
        let address = target.address;
        while let Some(connection) = (!needs_new).then(|| self.pool.take_idle(address)).flatten() {
            // Old connections live on in some cuts, and are used then.
            let is_lost = self.reach.borrow().is_cut_entirely(self.now());
            let way = way(&connection);
            let is_paused = self.pause_left_by(server_id(target), way).is_some();
            if !is_paused && (way != Way::Direct || !is_lost) {
                return Ok(connection);
            }
        }
        if self.reach.borrow().is_cut() && !self.relays().is_empty() {
            let opened = self.open_tunnel(target, Purpose::Request).await;
            return opened.map_err(ExchangeFailure::from);
        }
        self.pool.open(address).await.map_err(connection_failure)
    }
}

/// Returns the machine that the server sees at the other end of a connection.
pub(crate) fn way(connection: &Connection) -> Way {
    let through = connection.via().map(|via| Way::Through(via.machine));
    through.unwrap_or(Way::Direct)
}

impl From<Unopened> for ExchangeFailure {
    fn from(unopened: Unopened) -> Self {
        match unopened {
            Unopened::Paused => {
                let detail = "the server asked the nodes that reach it for a pause";
                ExchangeFailure::new(Fault::Paused, Step::Connecting, detail)
            }
            Unopened::Fault(fault) => connection_failure(fault),
        }
    }
}

/// Converts a connection's fault to a failed exchange.
fn connection_failure(fault: connection::Fault) -> ExchangeFailure {
    match fault {
        connection::Fault::NotSent(detail) => {
            ExchangeFailure::new(Fault::Unreachable, Step::Connecting, detail)
        }
        connection::Fault::Reset(detail) => {
            ExchangeFailure::new(Fault::Reset, Step::Written, detail)
        }
        connection::Fault::Unanswered(detail) | connection::Fault::Overlong(detail) => {
            ExchangeFailure::new(Fault::Closed, Step::Written, detail)
        }
    }
}

/// Returns the failure of an answer whose connection has failed.
fn broken_answer(fault: connection::Fault) -> ExchangeFailure {
    let kind = match &fault {
        connection::Fault::Reset(_) => Fault::Reset,
        connection::Fault::NotSent(_)
        | connection::Fault::Unanswered(_)
        | connection::Fault::Overlong(_) => Fault::Closed,
    };
    ExchangeFailure::new(kind, Step::Answering, fault)
}

fn form(answer: &Response<Incoming>) -> Form {
    let content_type = answer.headers().get(CONTENT_TYPE);
    let content_type = content_type.map(HeaderValue::as_bytes);
    Form::new(answer.status().as_u16(), content_type)
}

fn refusal_detail(status: StatusCode, decoded: &Answer) -> String {
    match &decoded.faulty_server {
        Some(culprit) => {
            format!("the server did not run it: status {status}, {culprit} is at fault")
        }
        None => format!("the server did not run it: status {status}"),
    }
}
