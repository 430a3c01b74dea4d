//! Traits for the platform's protocol, so that only their implementations depend on its names.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};

use crate::backend::{Order, Reply, Report, Server};
use crate::config::Configuration;
use crate::errors::{Error, Result};
use crate::store::{Change, Entry, EraReport};
use crate::units::{Millis, Rate};

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identity of the request.
    pub id: CompactString,
    /// Time for which the caller waits.
    pub deadline: Option<Millis>,
    /// Key of the caller's team.
    pub key: Option<CompactString>,
    /// Name of the requested model.
    pub model: Option<CompactString>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub max_output: u32,
    /// The caller's estimate of the number of output tokens.
    pub expected_output: Option<u32>,
    /// Last event that the caller has received, for a stream that is resumed.
    pub last_event: Option<u64>,
    /// Identities of the parts of the prompt that other requests may share, in order.
    pub parts: Vec<u64>,
}

/// Information that a forwarded request carries for the backend server.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Name of the only server that may run the request.
    pub server: &'a str,
    /// Time left until the deadline.
    pub left: Millis,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Last event that was delivered, for a stream that is resumed.
    pub last_event: Option<u64>,
}

/// What an answer says of the requests that its server takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The server takes what it can.
    #[default]
    None,
    /// The server takes that many requests in a second.
    Rate(Rate),
    /// The statement cannot be read.
    Unreadable,
}

/// What an answer says of the time for which its server wants no requests from the machine that sent this
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pause {
    /// Nothing.
    #[default]
    None,
    /// It wants none for so long.
    For(Millis),
    /// The statement cannot be read.
    Unreadable,
}

/// The decoded head of a server's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Identity of the request that the answer belongs to.
    pub id: Option<CompactString>,
    /// Whether the answer carries a server's signature.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// The server at fault, if it is not the one that answered.
    pub faulty_server: Option<CompactString>,
    /// Limit that the server names.
    pub limit: Limit,
    /// Pause that the server asks for.
    pub pause: Pause,
}

/// Decodes and encodes the platform's headers, paths and stored documents.
pub trait Protocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header has an invalid format.
    fn decode_request(&self, headers: &HeaderMap) -> Result<Head>;

    /// Writes the headers for the backend server, in place of the caller's own values.
    fn write_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Decodes the head of a server's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Gets the path of the platform's readiness probe.
    fn readiness_path(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration>;

    /// Decodes the registration of a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is not a valid registration of a server.
    fn decode_server(&self, entry: &Entry) -> Result<Server>;

    /// Returns what is wrong with a registration that can be used all the same, for the log.
    fn registration_fault(&self, entry: &Entry) -> Option<Error> {
        let _ = entry;
        None
    }

    /// Gets the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Gets the prefix of all keys that operators write, the one of the configuration among them.
    fn operators_prefix(&self) -> &'static str;

    /// Decodes the zone that a key evacuates; none if the key is of another kind. The name is any text,
    /// also an empty one.
    fn decode_evacuation(&self, key: &str) -> Option<CompactString>;

    /// Gets the prefix of the servers' registrations.
    fn servers_prefix(&self) -> &'static str;
}

/// One page of the store's entries; the pages of a listing form no consistent snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Key of the last item, after which the next page begins. It may be one that could not be decoded.
    pub last: Option<CompactString>,
    /// Whether more entries follow.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes, and the revision from which the next call continues.
    Some(Vec<Change>, u64),
    /// The store has compacted the revisions and no longer holds the changes.
    Compacted,
}

/// Lists the keys of the store and waits for their changes.
#[async_trait]
pub trait ChangeFeed: Send + Sync {
    /// Reads one page of the entries whose keys begin with a prefix, after a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page>;

    /// Returns what the answers have told of the store's era.
    fn era(&self) -> EraReport {
        EraReport::default()
    }

    /// Takes what has been found wrong with single items since the last call, each fault once.
    ///
    /// An item that cannot be decoded is an entry without a value, or is left out if its key or its
    /// revision cannot be read.
    fn take_faults(&self) -> Vec<Error> {
        Vec::new()
    }

    /// Waits for changes after a revision, at most for the given time.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    async fn changes(&self, prefix: &str, after: u64, wait: Millis) -> Result<Changes>;
}

/// Sends orders to model engines.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if nothing was sent, and `Indeterminate` if the order may be carried
    /// out now or later.
    async fn order(&self, order: &Order) -> Result<Reply>;

    /// Requests the report of the server at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no report is received in time.
    async fn report(&self, server: &str, address: SocketAddr) -> Result<Report>;

    /// Requests the report of a server that is polled all the time, which may go over a kept connection.
    /// A faulty server may give an earlier report once more.
    ///
    /// # Errors
    ///
    /// Returns an error if no report is received in time.
    async fn poll_report(&self, server: &str, address: SocketAddr) -> Result<Report> {
        self.report(server, address).await
    }
}

/// Sends a request to a peer and receives the whole answer.
#[async_trait]
pub trait Exchange: Send + Sync {
    /// Sends a request and returns the whole answer. The connection may have carried others, so a peer
    /// that sends an answer once more is taken to answer the next request.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if nothing was sent, and `Indeterminate` if no whole answer was
    /// received.
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: http::Request<Bytes>,
        timeout: Millis,
    ) -> Result<http::Response<Bytes>>;

    /// Sends a request on a connection that carries no other, so that the answer is this request's even
    /// if it does not name it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Exchange::exchange`].
    async fn exchange_on_new_connection(
        &self,
        peer: SocketAddr,
        request: http::Request<Bytes>,
        timeout: Millis,
    ) -> Result<http::Response<Bytes>>;
}

/// Returns whether a status is one of a final answer in HTTP.
///
/// Parsers let others of three digits pass. An answer with such a status says nothing of its request.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
