//! Runs the stand-ins of the platform and the backend servers as a separate process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};

use jackdaw_core::errors::{Error, Result};
use jackdaw_core::units::Millis;
use jackdaw_standin::engine;
use jackdaw_standin::platform::{Addresses, Plan, Platform};
use jackdawstair::stop;

/// Options of the `platform` command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// File that lists the VMs.
    pub(crate) file: String,
    /// Addresses on which the stand-ins listen.
    pub(crate) addresses: Addresses,
    /// Time between two tokens of an answer.
    pub(crate) token_interval: Millis,
}

impl Default for Options {
    fn default() -> Self {
        let loopback = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Options {
            file: String::new(),
            addresses: Addresses {
                store: loopback(7590),
                vms: loopback(7591),
                faults: loopback(7592),
            },
            token_interval: Millis(5),
        }
    }
}

/// Runs the stand-ins until a signal asks them to stop.
pub(crate) fn run(options: &Options) -> Result<()> {
    let signals = stop::Signals::install()?;
    let file = &options.file;
    let malformed = |error: String| Error::malformed("read fleet file", file, error);
    let text = fs::read_to_string(file).map_err(|error| malformed(error.to_string()))?;
    let plan: Plan = serde_saphyr::from_str(&text).map_err(|error| malformed(error.to_string()))?;
    let engine_options = engine::Options {
        token_interval: options.token_interval,
        ..engine::Options::default()
    };
    let platform = Platform::start(options.addresses, &plan, engine_options)?;
    let addresses = platform.addresses();
    println!(
        "key-value service {}, VM list {}, faults {}",
        addresses.store, addresses.vms, addresses.faults
    );
    for name in platform.fleet().names() {
        println!("VM {name}");
    }
    signals.wait();
    drop(platform);
    Ok(())
}
