//! Protocol buffer messages that nodes exchange with each other and with the key-value service.
//!
//! The crate `tools/generate` generates the code under `generated` from the files under `proto`.
//! Each package has a module here that includes its code.

/// The subset of the published etcd v3 interface that the client uses.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the code is generated"
)]
pub mod etcdserverpb {
    include!("generated/etcdserverpb.rs");
}

/// Keys and events of the published etcd v3 interface.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the code is generated"
)]
pub mod mvccpb {
    include!("generated/mvccpb.rs");
}

/// Messages that nodes exchange with each other.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the code is generated"
)]
pub mod peer {
    include!("generated/jackdaw.peer.v1.rs");
}
