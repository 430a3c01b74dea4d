//! Messages between nodes over gRPC.

pub mod codec;
