//! Integration tests of nodes with stand-ins for the servers and a store that the tests write to.

mod cluster;
mod follow;
mod freshness;
mod poison;
mod relay;
mod restore;
mod stop;
mod store;
mod support;
