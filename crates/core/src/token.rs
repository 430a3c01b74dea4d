//! Digests of bearer tokens, which are not stored themselves, and of requests.

use std::array::TryFromSliceError;
use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};

/// Number of bytes of a digest in logs and decisions.
const PREFIX_BYTES: usize = 8;

/// The SHA-256 digest of a token or of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the SHA-256 digest of the bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// Computes the digest by which repetitions of a request are recognized. The scope tells apart
    /// requests of the same content, such as those of two callers.
    #[must_use]
    pub fn of_request(method: &str, scope: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(method);
        hasher.update(b" ");
        hasher.update(scope);
        hasher.update(path);
        hasher.update(b"\n");
        hasher.update(body);
        Digest(hasher.finalize().into())
    }

    /// Returns the first digits, which name the digest in logs and decisions.
    #[must_use]
    pub fn prefix(&self) -> CompactString {
        CompactString::from(hex::encode(&self.0[..PREFIX_BYTES]))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Digest)
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        text.parse()
            .map_err(|_| de::Error::custom("expected a SHA-256 digest of 64 hexadecimal digits"))
    }
}
