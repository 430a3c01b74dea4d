//! Runs non-idempotent calls at most once.
