//! Spreads changes between nodes.
