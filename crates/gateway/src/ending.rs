//! Finds out whether the answers of servers have ended whole, and counts how they end.

use bytes::Bytes;
use http::header::{CONNECTION, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Body;
use jackdaw_core::protocol::{Forwarding, is_final_status};
use jackdaw_core::units::Millis;
use jackdaw_link::connection::{self, Connection, Fault, Relay};
use jackdaw_policy::ending::{self, Doubt, Ending, Framing, Link};
use jackdaw_policy::fleet::Target;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use tokio::time;

use crate::attempt;
use crate::node::Node;
use crate::pauses::Origin;
use crate::tunnel::Purpose;

/// Longest time for the answer of a server that is asked whether it runs.
const ANSWER_TIMEOUT: Millis = Millis(400);
/// Pause before a server is asked again through other nodes.
const RETRY_PAUSE: Millis = Millis(20);

/// Counter of the answers that have ended without an error.
#[derive(Debug)]
pub(crate) struct Endings {
    ends: Counter<u64>,
    doubts: Counter<u64>,
}

impl Endings {
    pub(crate) fn new(meter: &Meter) -> Self {
        let ends = meter
            .u64_counter("jackdawstair_answer_ends")
            .with_description(
                "Answers of servers that ended without an error, by what marks the end and link.",
            )
            .build();
        for framing in Framing::ALL {
            for link in Link::ALL {
                ends.add(0, &labels(framing, link));
            }
        }
        let doubts = meter
            .u64_counter("jackdawstair_doubted_ends")
            .with_description(
                "Answers of servers that ended with their connection and do not count as whole, by reason.",
            )
            .build();
        for doubt in Doubt::ALL {
            doubts.add(0, &[doubt_label(doubt)]);
        }
        Endings { ends, doubts }
    }

    /// Counts an answer that does not count as whole.
    pub(crate) fn count_doubt(&self, doubt: Doubt) {
        self.doubts.add(1, &[doubt_label(doubt)]);
    }

    /// Counts an answer that has ended without an error.
    pub(crate) fn count(&self, ending: Ending) {
        self.ends.add(1, &labels(ending.framing, ending.link));
    }
}

fn labels(framing: Framing, link: Link) -> [KeyValue; 2] {
    [
        KeyValue::new("framing", framing.label()),
        KeyValue::new("link", link.label()),
    ]
}

fn doubt_label(doubt: Doubt) -> KeyValue {
    KeyValue::new("reason", doubt.label())
}

/// Returns the way of a connection's bytes.
pub(crate) fn link(connection: &Connection) -> Link {
    match connection.via().map(|via| via.relay) {
        None => Link::Direct,
        Some(Relay::Plain) => Link::Relayed,
        Some(Relay::Marked) => Link::Marked,
    }
}

impl Node {
    /// Asks a server that has closed its connection at the end of an answer whether it still runs.
    ///
    /// # Errors
    ///
    /// Returns the doubt if it may have ended, or broken off its work.
    pub(crate) async fn confirm_end(&self, target: &Target, link: Link) -> Result<(), Doubt> {
        if link == Link::Direct && target.model.is_some() {
            let report = self.parts.orders.report(&target.server, target.address);
            let report = time::timeout(ANSWER_TIMEOUT.duration(), report).await;
            let Ok(Ok(report)) = report else {
                return Err(Doubt::Server);
            };
            return ending::check_report(&report, target.born, &target.group);
        }
        let asked = async {
            loop {
                match self.ask(target, link).await {
                    // Nodes that pass connections on come and go, which says nothing of the server.
                    Err(Fault::NotSent(_)) if link != Link::Direct => {
                        time::sleep(RETRY_PAUSE.duration()).await;
                    }
                    status => return status,
                }
            }
        };
        let status = time::timeout(ANSWER_TIMEOUT.duration(), asked).await;
        match status {
            Ok(Ok(StatusCode::MISDIRECTED_REQUEST)) => Err(Doubt::Restart),
            Ok(Ok(status)) if is_final_status(status.as_u16()) && self.is_registered(target) => {
                Ok(())
            }
            Ok(Ok(_) | Err(_)) | Err(_) => Err(Doubt::Server),
        }
    }

    /// Sends a request that names none of a caller's, which no server runs and each answers, and returns
    /// the status. A connection alone would prove nothing: the operating system accepts it for a process
    /// that is about to end.
    ///
    /// # Errors
    ///
    /// Returns the fault if there is no answer.
    async fn ask(&self, target: &Target, link: Link) -> Result<StatusCode, Fault> {
        let mut connection = match link {
            Link::Direct => self.pool.open(target.address).await?,
            Link::Relayed | Link::Marked => {
                let opened = self.open_tunnel(target, Purpose::Question).await;
                opened.map_err(connection::Fault::from)?
            }
        };
        let mut headers = HeaderMap::new();
        // Another server may have taken the address, and says so.
        let forwarding = Forwarding {
            server: &target.server,
            left: ANSWER_TIMEOUT,
            team: None,
            priority: None,
            last_event: None,
        };
        let protocol = &self.parts.protocol;
        protocol.write_headers(&mut headers, &forwarding);
        self.question(&mut connection, Origin::from(target), headers)
            .await
    }

    /// Sends a request of no caller's with some headers on a connection that is used for nothing else, records
    /// the pause that the answer asks for, and returns its status.
    ///
    /// # Errors
    ///
    /// Returns the fault if there is no answer.
    pub(crate) async fn question(
        &self,
        connection: &mut Connection,
        origin: Origin<'_>,
        headers: HeaderMap,
    ) -> Result<StatusCode, Fault> {
        let mut request = Request::get("/")
            .header(HOST, connection.peer().to_string())
            .header(CONNECTION, "close")
            .body(Bytes::new())
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        request.headers_mut().extend(headers);
        let answer = connection.send(request).await?;
        let protocol = &self.parts.protocol;
        let decoded = protocol.decode_answer(answer.status(), answer.headers());
        self.record_pause(origin, attempt::way(connection), decoded.pause, None);
        Ok(answer.status())
    }
}

/// Returns what marks the end of an answer's body.
pub(crate) fn framing(headers: &HeaderMap, body: &impl Body) -> Framing {
    // A chunked body has no exact length; neither has one that ends with its connection.
    if body.size_hint().exact().is_some() {
        return Framing::Length;
    }
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    match last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked")) {
        true => Framing::Chunks,
        false => Framing::Connection,
    }
}
