//! Generates the code of `jackdaw-wire` from its proto files.
//!
//! Run it from this directory with `cargo run --locked` after each change of a proto file, and
//! commit the files that it writes to `crates/wire/src/generated`.

use std::error::Error;
use std::path::Path;

/// Proto files, each of which defines its own package.
const FILES: [&str; 3] = ["kv.proto", "etcd.proto", "peer.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/wire");
    let descriptors = protox::compile(FILES, [wire.join("proto")])?;
    tonic_prost_build::configure()
        .build_client(true)
        .build_server(true)
        .out_dir(wire.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
