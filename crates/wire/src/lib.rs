//! Messages between nodes and to the key-value service, with generated code.
//!
//! The code under `generated` comes from the files under `proto` by the crate `tools/generate`; a
//! module for each package includes it.

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

/// Messages between the nodes.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the code is generated"
)]
pub mod peer {
    include!("generated/jackdaw.peer.v1.rs");
}
