//! Integration tests of nodes with stand-ins for the servers and a store that the tests write to.

mod abandoned;
mod cluster;
mod configuration;
mod connection;
mod continuation;
mod delivery;
mod domain;
mod ending;
mod follow;
mod framing;
mod freshness;
mod head;
mod late;
mod limits;
mod lines;
mod odd;
mod poison;
mod refusal;
mod relay;
mod restore;
mod silence;
mod stop;
mod store;
mod support;
mod tunnel;
mod version;
