//! Decides whether an answer whose bytes have ended is whole.

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
    /// Another node passes the bytes on.
    Relayed,
}

impl Link {
    /// All links.
    pub const ALL: [Link; 2] = [Link::Direct, Link::Relayed];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Link::Direct => "direct",
            Link::Relayed => "relayed",
        }
    }
}
