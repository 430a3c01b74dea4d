//! Node, faulty backend servers, caller and store for the integration tests of this crate.

#![expect(unreachable_pub, reason = "the module is shared by several test files")]
#![allow(dead_code, reason = "each test file uses a part of the module")]

pub mod backend;
pub mod caller;
pub mod node;
pub mod store;
