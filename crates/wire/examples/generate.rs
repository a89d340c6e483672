//! Generates `src/generated` from `proto`. Run it after a change of `proto`:
//! `cargo run --locked -p jaystand-wire --example generate`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(["peer.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .build_transport(true)
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
