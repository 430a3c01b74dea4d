//! A set of VMs with engines and plain services, listed in a VM list.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::inventory::{State, Vm};
use serde::{Deserialize, Serialize};

use crate::engine::{self, Engine};
use crate::host::Host;
use crate::inventory::{self, List};
use crate::service::{self, Executions};

/// A number of identical VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Availability zone.
    pub zone: CompactString,
    /// Fabric domain; empty for a plain service.
    #[serde(default)]
    pub domain: CompactString,
    /// Plain service, or none for model engines.
    #[serde(default)]
    pub service: Option<CompactString>,
    /// Number of VMs.
    pub count: u32,
}

/// A VM of the fleet with its server.
#[derive(Debug)]
struct Machine {
    vm: Vm,
    engine: Option<Arc<Engine>>,
    host: Option<Host>,
}

/// All VMs with their servers.
#[derive(Debug)]
pub struct Fleet {
    list: Arc<List>,
    list_host: Host,
    machines: BTreeMap<CompactString, Machine>,
    services: BTreeMap<CompactString, Arc<Executions>>,
    options: engine::Options,
}

impl Fleet {
    /// Starts the VM list at an address and all VMs on free ports.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(
        address: SocketAddr,
        batches: &[Batch],
        options: engine::Options,
    ) -> Result<Fleet> {
        let list = Arc::new(List::default());
        let list_host = inventory::start(address, Arc::clone(&list))?;
        let mut fleet = Fleet {
            list,
            list_host,
            machines: BTreeMap::new(),
            services: BTreeMap::new(),
            options,
        };
        for batch in batches {
            for _ in 0..batch.count {
                fleet.add(batch)?;
            }
        }
        Ok(fleet)
    }

    /// Gets the address of the VM list.
    #[must_use]
    pub fn list_address(&self) -> SocketAddr {
        self.list_host.address()
    }

    /// Gets the VM list.
    #[must_use]
    pub fn list(&self) -> &Arc<List> {
        &self.list
    }

    /// Gets the engine of a VM.
    #[must_use]
    pub fn engine(&self, vm: &str) -> Option<&Arc<Engine>> {
        self.machines.get(vm)?.engine.as_ref()
    }

    /// Gets the executions of a plain service.
    #[must_use]
    pub fn executions(&self, service: &str) -> Option<&Arc<Executions>> {
        self.services.get(service)
    }

    /// Stops the server of a VM at once, as a power failure does; an unknown name has no effect.
    pub fn kill(&mut self, vm: &str) {
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        if let Some(engine) = &machine.engine {
            engine.crash();
        }
        if let Some(host) = &machine.host {
            host.begin_stop();
        }
    }

    /// Restarts a VM at its previous address with an empty state.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM is unknown, runs no model engine, or its address is in use.
    pub fn revive(&mut self, vm: &str) -> Result<()> {
        let Some(machine) = self.machines.get_mut(vm) else {
            return Err(Error::malformed("revive VM", vm, "unknown VM"));
        };
        let Some(engine) = &machine.engine else {
            return Err(Error::malformed("revive VM", vm, "not a model engine"));
        };
        // The previous server has to end before its address is free.
        machine.host = None;
        engine.reset();
        machine.host = Some(engine::start(machine.vm.address, Arc::clone(engine))?);
        Ok(())
    }

    /// Iterates over the names of all VMs.
    pub fn names(&self) -> impl Iterator<Item = &CompactString> {
        self.machines.keys()
    }

    /// Starts to stop every server, so that they stop in parallel.
    fn begin_stop(&self) {
        for machine in self.machines.values() {
            if let Some(host) = &machine.host {
                host.begin_stop();
            }
        }
    }

    /// Starts a VM on a free port and adds it to the list.
    fn add(&mut self, batch: &Batch) -> Result<()> {
        let role = batch.service.as_deref().unwrap_or("engine");
        let number = self.machines.len() + 1;
        let name = format_compact!("{}-{role}-{number}", batch.zone);
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (engine, host) = match &batch.service {
            None => {
                let engine = Engine::new(&name, self.options);
                let host = engine::start(any_port, Arc::clone(&engine))?;
                (Some(engine), host)
            }
            Some(service) => {
                let executions = self.services.entry(service.clone()).or_default();
                (None, service::start(any_port, Arc::clone(executions))?)
            }
        };
        let vm = Vm {
            name: name.clone(),
            address: host.address(),
            zone: batch.zone.clone(),
            domain: batch.domain.clone(),
            service: batch.service.clone(),
            accelerators: if engine.is_some() { 4 } else { 0 },
            state: State::Live,
        };
        self.list.set(vm.clone());
        let host = Some(host);
        self.machines.insert(name, Machine { vm, engine, host });
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.begin_stop();
    }
}
