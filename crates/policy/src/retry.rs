//! Decides whether and where a failed request is tried again.
