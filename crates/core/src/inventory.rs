//! The platform's list of live and leaving VMs.

use std::net::SocketAddr;

use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// Whether a VM is expected to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM is expected to stay.
    Live,
    /// The VM is about to be removed and must get no new work.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: CompactString,
    /// Address of the backend server on the VM.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Fabric domain; empty for a VM of a plain service.
    #[serde(default)]
    pub domain: CompactString,
    /// Plain service that runs on the VM, or none for a model engine.
    #[serde(default)]
    pub service: Option<CompactString>,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Whether the VM is expected to stay.
    pub state: State,
}

/// Reads the VM list, which may lag behind the actual state of the VMs.
#[async_trait(?Send)]
pub trait Inventory {
    /// Gets all VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read.
    async fn vms(&self) -> Result<Vec<Vm>>;
}
