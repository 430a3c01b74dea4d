//! Decides whether an answer whose bytes have ended is whole.
//!
//! The last chunk or a stated length proves it. An answer without both ends with its connection, and
//! the operating system closes the connections of a process that ends in the same way as the process
//! itself does. So the end of a connection proves nothing until the server is seen to run on.

use std::fmt;

use jackdaw_core::backend::{Report, State};

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// The last chunk.
    Chunks,
    /// The length that the head states.
    Length,
    /// Only the end of the connection.
    Connection,
}

impl Framing {
    /// All framings.
    pub const ALL: [Framing; 3] = [Framing::Chunks, Framing::Length, Framing::Connection];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Framing::Chunks => "chunks",
            Framing::Length => "length",
            Framing::Connection => "connection",
        }
    }
}

/// Way of an answer from its server to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// The connection ends at the server.
    Direct,
    /// Another node passes the bytes on; its end looks like the server's.
    Relayed,
    /// Another node passes the bytes on and marks the server's end of the connection.
    Marked,
}

impl Link {
    /// All links.
    pub const ALL: [Link; 3] = [Link::Direct, Link::Relayed, Link::Marked];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Link::Direct => "direct",
            Link::Relayed => "relayed",
            Link::Marked => "marked",
        }
    }
}

/// Why an answer that ended with its connection does not count as whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// The server was given no more time, and may have broken off.
    Deadline,
    /// The node that passed the bytes on may have ended the connection.
    Relay,
    /// The server does not state that it still runs.
    Server,
    /// The server has started again.
    Restart,
    /// The server is no longer in the replica group, or the group is broken.
    Group,
}

impl Doubt {
    /// All doubts.
    pub const ALL: [Doubt; 5] = [
        Doubt::Deadline,
        Doubt::Relay,
        Doubt::Server,
        Doubt::Restart,
        Doubt::Group,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Doubt::Deadline => "deadline",
            Doubt::Relay => "relay",
            Doubt::Server => "server",
            Doubt::Restart => "restart",
            Doubt::Group => "group",
        }
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Doubt::Deadline => "the server's time had passed",
            Doubt::Relay => "another node passed it on",
            Doubt::Server => "the server does not state that it still runs",
            Doubt::Restart => "the server has started again",
            Doubt::Group => "the server has left its group, or the group is broken",
        })
    }
}

/// An answer whose bytes have ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// What marks the end.
    pub framing: Framing,
    /// Way of the bytes.
    pub link: Link,
    /// Whether the time that the server was given has passed.
    pub is_late: bool,
}

/// What follows from the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is whole.
    Whole,
    /// The answer may have been broken off.
    Broken(Doubt),
    /// The answer is whole if its server has closed the connection by intention, and has to be asked
    /// whether it still runs.
    Ask,
}

impl Ending {
    /// Returns what follows.
    #[must_use]
    pub fn assess(self) -> Verdict {
        match (self.framing, self.link) {
            (Framing::Chunks | Framing::Length, _) => Verdict::Whole,
            (Framing::Connection, Link::Relayed) => Verdict::Broken(Doubt::Relay),
            (Framing::Connection, Link::Direct | Link::Marked) if self.is_late => {
                Verdict::Broken(Doubt::Deadline)
            }
            (Framing::Connection, Link::Direct | Link::Marked) => Verdict::Ask,
        }
    }
}

/// Checks that the server of a replica group which has closed a connection still serves the group.
///
/// A server that has started again, or whose group broke, closes the connections of what it was
/// doing. `born` is the start of the server to which the request was sent.
///
/// # Errors
///
/// Returns the doubt if it does not.
pub fn check_report(report: &Report, born: u64, group: &str) -> Result<(), Doubt> {
    if report.start_unix_ms.is_some_and(|start| start != born) {
        return Err(Doubt::Restart);
    }
    let membership = report.membership.as_ref();
    let membership = membership.filter(|membership| membership.group == group);
    match membership.map(|membership| membership.state) {
        // A closed group has finished its work.
        Some(State::Ready | State::Open | State::Closing) => Ok(()),
        Some(State::Joining | State::Broken) | None => Err(Doubt::Group),
    }
}
