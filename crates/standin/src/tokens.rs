//! Deterministic tokens, by which a test recognizes the complete answer to a prompt.

use jackdaw_core::token::Digest;

/// Number of generated tokens if a request sets no maximum.
pub const DEFAULT_TOKENS: u64 = 16;

/// Returns the token with an index of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let digest = Digest::of(format!("{prompt}\u{0}{index}").as_bytes());
    format!("{:02x}{:02x} ", digest.0[0], digest.0[1])
}

/// Returns the complete answer to a prompt, with a number of tokens.
#[must_use]
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}
