//! A node before scripted servers, with a store that the tests write to.

mod follow;
mod relay;
mod support;
