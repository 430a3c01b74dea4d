//! Integration tests of a node with scripted servers and a store that the tests write to.

mod follow;
mod relay;
mod support;
