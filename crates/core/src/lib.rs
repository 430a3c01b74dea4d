//! Types and traits that the crates of jackdawstair share.
//!
//! Every other crate of the workspace depends on this one: it defines keys, units, errors, time,
//! the catalogue that release notes change, placements, members' reports and the records that
//! explain decisions. It also defines the traits for access to external systems; sibling crates
//! implement them.

pub mod address;
pub mod backend;
pub mod catalog;
pub mod config;
pub mod decision;
pub mod engine;
pub mod errors;
pub mod inventory;
pub mod key;
pub mod member;
pub mod note;
pub mod order;
pub mod outcome;
pub mod placement;
pub mod protocol;
pub mod refusal;
pub mod store;
pub mod time;
pub mod timer;
pub mod token;
pub mod units;
