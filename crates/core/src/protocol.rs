//! The platform's manner of speaking behind traits, so that nothing else knows its names.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};

use crate::backend::{Order, Reply, Report, Server};
use crate::config::Configuration;
use crate::errors::Result;
use crate::store::{Change, Entry};
use crate::units::Millis;

/// What a request says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Identity of the attempt.
    pub id: CompactString,
    /// Time that the caller waits.
    pub deadline: Option<Millis>,
    /// Key of the caller's team.
    pub key: Option<CompactString>,
    /// Model.
    pub model: Option<CompactString>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub max_output: u32,
    /// The caller's estimate of the number of output tokens.
    pub expected_output: Option<u32>,
    /// Last event that the caller has, for a stream that goes on.
    pub last_event: Option<u64>,
}

/// What a request is given on its way to a server.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// The only server that may run it.
    pub server: &'a str,
    /// Time left.
    pub left: Millis,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Last event that was delivered, for a stream that goes on.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Identity of the request that it answers.
    pub id: Option<CompactString>,
    /// Whether the server signed it.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// The server at fault, if it is not the one that answered.
    pub faulty_server: Option<CompactString>,
}

/// Translates what callers and backend servers say.
pub trait Protocol: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a field has the wrong form.
    fn decode_request(&self, headers: &HeaderMap) -> Result<Head>;

    /// Writes into a request's headers what a server has to know, in place of what the caller said.
    fn write_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Decodes the head of a server's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Gets the path on which the platform asks whether the node is ready.
    fn readiness_path(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be read.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration>;

    /// Decodes the registration of a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry names no server that can be used.
    fn decode_server(&self, entry: &Entry) -> Result<Server>;

    /// Gets the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Gets the prefix of the servers' registrations.
    fn servers_prefix(&self) -> &'static str;
}

/// One page of the store's entries; pages are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether more entries follow.
    pub more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes, and the revision from which to go on.
    Some(Vec<Change>, u64),
    /// The store no longer has them.
    Compacted,
}

/// Follows the keys of the store.
#[async_trait]
pub trait ChangeFeed: Send + Sync {
    /// Reads one page of the entries whose keys begin with a prefix, after a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page>;

    /// Waits for changes after a revision, for a time at most.
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
    /// out, also later.
    async fn order(&self, order: &Order) -> Result<Reply>;

    /// Asks a server at an address for its report.
    ///
    /// # Errors
    ///
    /// Returns an error if no report comes in time.
    async fn report(&self, server: &str, address: SocketAddr) -> Result<Report>;
}

/// Exchanges one request and its whole answer with a peer.
#[async_trait]
pub trait Exchange: Send + Sync {
    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if nothing was sent, and `Indeterminate` if no whole answer came.
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: http::Request<Bytes>,
        timeout: Millis,
    ) -> Result<http::Response<Bytes>>;
}
