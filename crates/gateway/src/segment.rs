//! Encodes changes of registrations for datagrams.

use compact_str::CompactString;
use jackdaw_core::backend::{Membership, Server};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use jackdaw_policy::feed::{Change, Segment};
use prost::Message;

use crate::peers::STATES;

/// Largest encoded size of the changes in one datagram in bytes.
const MAX_PART_BYTES: usize = 1_200;

/// Changes of registrations in a datagram.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Record {
    /// Revision after which the changes begin.
    #[prost(uint64, tag = "1")]
    from: u64,
    /// Last revision.
    #[prost(uint64, tag = "2")]
    to: u64,
    /// Changes in the order of their revisions.
    #[prost(message, repeated, tag = "3")]
    changes: Vec<ChangeEntry>,
}

/// A change of one server's registration.
#[derive(Clone, PartialEq, Message)]
struct ChangeEntry {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(string, tag = "2")]
    server: String,
    /// New state; missing if the registration is gone.
    #[prost(message, optional, tag = "3")]
    state: Option<ServerEntry>,
}

/// A registered state.
#[derive(Clone, PartialEq, Message)]
struct ServerEntry {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(bool, tag = "4")]
    draining: bool,
    #[prost(uint32, tag = "5")]
    slots: u32,
    /// Start in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    start_unix_ms: u64,
    #[prost(string, tag = "7")]
    domain: String,
    #[prost(string, repeated, tag = "8")]
    staged: Vec<String>,
    #[prost(string, tag = "9")]
    group: String,
    #[prost(uint64, tag = "10")]
    epoch: u64,
    #[prost(uint32, tag = "11")]
    rank: u32,
    /// State of the membership as an index into [`STATES`] plus one; zero for no membership.
    #[prost(uint32, tag = "12")]
    state: u32,
    /// Time in milliseconds for which the server is still cold; zero, which takes no space, if it is not.
    #[prost(uint64, tag = "13")]
    cold_for_ms: u64,
}

impl Record {
    /// Returns whether there are no changes.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Encodes a segment in parts that fit into one datagram each.
    pub(crate) fn parts(segment: &Segment) -> Vec<Record> {
        let encoded: Vec<ChangeEntry> = segment.changes.iter().map(ChangeEntry::new).collect();
        let len: usize = encoded.iter().map(Message::encoded_len).sum();
        let parts = len.div_ceil(MAX_PART_BYTES).max(1);
        let max_changes = encoded.len().div_ceil(parts).max(1);
        let parts = segment.split(max_changes).into_iter();
        parts
            .map(|part| Record {
                from: part.from,
                to: part.to,
                changes: part.changes.iter().map(ChangeEntry::new).collect(),
            })
            .collect()
    }

    /// Decodes the segment.
    ///
    /// # Errors
    ///
    /// Returns an error if a revision lies outside of the segment or a state cannot be decoded.
    pub(crate) fn decode(self) -> Result<Segment> {
        let (from, to) = (self.from, self.to);
        let mut before = from;
        let mut changes = Vec::with_capacity(self.changes.len());
        for change in self.changes {
            if change.revision < before.max(1) || change.revision > to {
                let reason = format!("revision {} is not in order", change.revision);
                return Err(Error::malformed("read segment", &change.server, reason));
            }
            before = change.revision;
            changes.push(change.decode()?);
        }
        Ok(Segment { from, to, changes })
    }
}

impl ChangeEntry {
    fn new(change: &Change) -> Self {
        ChangeEntry {
            revision: change.revision,
            server: change.server.to_string(),
            state: change.state.as_ref().map(ServerEntry::new),
        }
    }

    fn decode(self) -> Result<Change> {
        let id = CompactString::from(self.server);
        let state = self.state.map(|state| state.decode(&id)).transpose()?;
        Ok(Change {
            revision: self.revision,
            server: id,
            state,
        })
    }
}

impl ServerEntry {
    fn new(server: &Server) -> Self {
        let membership = server.membership.as_ref();
        let state = membership.and_then(|membership| {
            let mut states = STATES.iter();
            states.position(|state| *state == membership.state)
        });
        ServerEntry {
            service: server.service.to_string(),
            address: server.address.to_string(),
            zone: server.zone.to_string(),
            draining: server.draining,
            slots: server.slots,
            start_unix_ms: server.start_unix_ms,
            domain: server.domain.to_string(),
            staged: server.staged.iter().map(ToString::to_string).collect(),
            group: membership
                .map(|known| known.group.to_string())
                .unwrap_or_default(),
            epoch: membership.map_or(0, |known| known.epoch),
            rank: membership.map_or(0, |known| known.rank),
            state: state.map_or(0, |state| state as u32 + 1),
            cold_for_ms: server.warmup_left.0,
        }
    }

    fn decode(self, id: &CompactString) -> Result<Server> {
        let malformed =
            |reason: &dyn ToString| Error::malformed("read segment", id, reason.to_string());
        let membership = match self.state {
            0 => None,
            number => {
                let state = STATES.get(number as usize - 1);
                let state = state.ok_or_else(|| malformed(&"the membership's state is unknown"))?;
                Some(Membership {
                    group: self.group.into(),
                    epoch: self.epoch,
                    rank: self.rank,
                    state: *state,
                })
            }
        };
        Ok(Server {
            id: id.clone(),
            service: self.service.into(),
            address: self.address.parse().map_err(|error| malformed(&error))?,
            zone: self.zone.into(),
            draining: self.draining,
            slots: self.slots,
            start_unix_ms: self.start_unix_ms,
            domain: self.domain.into(),
            staged: self.staged.into_iter().map(CompactString::from).collect(),
            membership,
            warmup_left: Millis(self.cold_for_ms),
        })
    }
}
