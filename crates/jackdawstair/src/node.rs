//! The running node.
