//! What requests have in common, by which those that crash servers are recognized.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use jackdaw_core::token::Digest;

/// Largest number of parts of one request that are looked at.
pub const MAX_PARTS: usize = 15;
/// Number of bytes of an encoded part.
const PART_BYTES: usize = 8;
/// Number of digits of a part in text.
const PART_DIGITS: usize = 2 * PART_BYTES;

/// A feature that two requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feature {
    /// A part of the prompt, by its identity.
    Part(u64),
    /// The whole request, by its digest.
    Request(Digest),
}

impl Feature {
    /// Returns whether the feature is a whole request.
    #[must_use]
    pub fn is_request(&self) -> bool {
        match self {
            Feature::Request(_) => true,
            Feature::Part(_) => false,
        }
    }

    /// Encodes the feature; its kind follows from the length.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        match self {
            Feature::Part(part) => part.to_be_bytes().to_vec(),
            Feature::Request(digest) => digest.0.to_vec(),
        }
    }

    /// Decodes a feature, or returns `None` if the length is that of none.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match <[u8; PART_BYTES]>::try_from(bytes) {
            Ok(part) => Some(Feature::Part(u64::from_be_bytes(part))),
            Err(_) => Digest::try_from(bytes).ok().map(Feature::Request),
        }
    }

    /// Gets the number of bytes of the encoded feature.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        match self {
            Feature::Part(_) => PART_BYTES,
            Feature::Request(digest) => digest.0.len(),
        }
    }

    /// Returns the name of the feature in logs and decisions.
    #[must_use]
    pub fn name(&self) -> CompactString {
        match self {
            Feature::Part(part) => format_compact!("part-{part:x}"),
            Feature::Request(digest) => format_compact!("digest-{}", digest.prefix()),
        }
    }
}

impl From<Digest> for Feature {
    fn from(digest: Digest) -> Self {
        Feature::Request(digest)
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Feature::Part(part) => write!(f, "{part:0PART_DIGITS$x}"),
            Feature::Request(digest) => digest.fmt(f),
        }
    }
}

impl FromStr for Feature {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != PART_DIGITS {
            return text.parse().map(Feature::Request);
        }
        let mut bytes = [0; PART_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Feature::Part(u64::from_be_bytes(bytes)))
    }
}

/// The features of one request.
#[derive(Clone, Copy, Debug)]
pub struct Features<'a> {
    /// Digest of the request.
    pub request: Digest,
    /// Parts of the prompt without the last, which is the request's own.
    pub parts: &'a [u64],
}

impl Features<'_> {
    /// Returns the features of a request of which only the digest is known.
    #[must_use]
    pub fn of_request(request: Digest) -> Features<'static> {
        Features {
            request,
            parts: &[],
        }
    }

    /// Returns the features, the digest first.
    pub fn iter(&self) -> impl Iterator<Item = Feature> {
        let parts = self.parts.iter().take(MAX_PARTS);
        let parts = parts.map(|part| Feature::Part(*part));
        std::iter::once(Feature::Request(self.request)).chain(parts)
    }

    /// Returns whether the request has a feature.
    #[must_use]
    pub fn contains(&self, feature: &Feature) -> bool {
        self.iter().any(|own| own == *feature)
    }
}
