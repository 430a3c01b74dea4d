//! Newtypes for units and for numbers that never decrease.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Defines a newtype for a number, with the unit that `Display` appends to it.
macro_rules! unit {
    ($name:ident, $doc:literal, $suffix:literal) => {
        #[doc = $doc]
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }
    };
}

unit!(Millis, "A span of time in milliseconds.", " ms");
unit!(Bytes, "A size in bytes.", " B");
unit!(Tokens, "A number of generated or prompt tokens.", " tokens");
unit!(
    Revision,
    "A revision of the catalogue: the number of release notes accepted so far.",
    ""
);
unit!(
    Generation,
    "A generation of a replica group; grows whenever its set of members changes.",
    ""
);
unit!(
    Fence,
    "A fencing number: the creation revision of a leader's lease key.",
    ""
);

/// A number of requests in a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate, or returns none if the number is negative, infinite or no number.
    #[must_use]
    pub const fn new(per_second: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        // Adding zero turns a negative zero into a positive one.
        Some(Rate(per_second + 0.0))
    }

    /// Gets the number of requests in a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl Millis {
    /// Returns the span as a standard duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Creates a span from whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Millis(seconds * 1_000)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
