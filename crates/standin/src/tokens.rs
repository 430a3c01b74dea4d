//! Deterministic tokens, so that a test can tell a whole answer from any other.

use jackdaw_core::token::Digest;

/// Number of tokens generated when a request names none.
pub const DEFAULT_TOKENS: u64 = 16;

/// Returns one token of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let digest = Digest::of(format!("{prompt}\u{0}{index}").as_bytes());
    format!("{:02x}{:02x} ", digest.0[0], digest.0[1])
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
