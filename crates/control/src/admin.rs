//! The operators' HTTP interface.

pub mod answer;
pub mod auth;
pub mod feed;
pub mod handle;
pub mod problem;
mod routes;
pub mod server;
mod stream;
pub mod view;
