//! All stand-ins together as one process: VMs, VM list, key-value service and a port for faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::State;
use jackdaw_core::time::SystemClock;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde::{Deserialize, Serialize};

use crate::engine;
use crate::fleet::{Batch, Fleet};
use crate::host::Host;
use crate::store::{Fault, Memory, Server};

/// The VMs of a fleet, as written in a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Batches of like VMs.
    pub vms: Vec<Batch>,
}

/// Where the stand-ins listen.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Key-value service.
    pub store: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Port for faults.
    pub faults: SocketAddr,
}

/// All stand-ins of the platform and the back ends.
#[derive(Debug)]
pub struct Platform {
    fleet: Arc<Mutex<Fleet>>,
    memory: Memory,
    server: Server,
    faults: Host,
}

impl Platform {
    /// Starts all stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(addresses: Addresses, plan: &Plan, options: engine::Options) -> Result<Platform> {
        let fleet = Fleet::start(addresses.vms, &plan.vms, options)?;
        let fleet = Arc::new(Mutex::new(fleet));
        let memory = Memory::new(Arc::new(SystemClock::default()));
        let server = Server::start(addresses.store, memory.clone())?;
        let control = Control {
            fleet: Arc::clone(&fleet),
            memory: memory.clone(),
        };
        let faults = Host::start(
            addresses.faults,
            Arc::new(move |config| control.routes(config)),
        )?;
        Ok(Platform {
            fleet,
            memory,
            server,
            faults,
        })
    }

    /// Gets the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            store: self.server.address(),
            vms: self.fleet().list_address(),
            faults: self.faults.address(),
        }
    }

    /// Gets the VMs.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gets the key-value service.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }
}

/// What the port for faults reaches.
#[derive(Clone, Debug)]
struct Control {
    fleet: Arc<Mutex<Fleet>>,
    memory: Memory,
}

impl Control {
    fn routes(&self, config: &mut ServiceConfig) {
        config
            .state(self.clone())
            .route("/vms/{name}/{fault}", web::post().to(vm_fault))
            .route("/store/{fault}", web::post().to(store_fault))
            .route("/executions/{service}/{key}", web::get().to(executions));
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_vm(&self, name: &str, fault: &str) -> Option<Result<()>> {
        let mut fleet = self.fleet();
        match fault {
            "kill" => fleet.kill(name),
            "revive" => return Some(fleet.revive(name)),
            "pause" => fleet.engine(name)?.set_paused(true),
            "resume" => fleet.engine(name)?.set_paused(false),
            "leave" => fleet.list().set_state(name, State::Leaving),
            "stay" => fleet.list().set_state(name, State::Live),
            _ => return None,
        }
        Some(Ok(()))
    }
}

/// A VM and what happens to it.
#[derive(Debug, Deserialize)]
struct VmFault {
    name: CompactString,
    fault: CompactString,
}

async fn vm_fault(path: types::Path<VmFault>, control: types::State<Control>) -> HttpResponse {
    match control.set_vm(&path.name, &path.fault) {
        Some(Ok(())) => HttpResponse::Ok().body("done\n"),
        Some(Err(error)) => HttpResponse::Conflict().body(format!("{error}\n")),
        None => HttpResponse::NotFound()
            .body("known: /vms/NAME/kill, revive, pause, resume, leave, stay\n"),
    }
}

async fn store_fault(
    path: types::Path<CompactString>,
    control: types::State<Control>,
) -> HttpResponse {
    let fault = match path.as_str() {
        "up" => Fault::None,
        "down" => Fault::Down,
        "lose-answers" => Fault::LoseAnswer,
        "stale" => Fault::Stale,
        _ => {
            return HttpResponse::NotFound().body("known: /store/up, down, lose-answers, stale\n");
        }
    };
    control.memory.set(fault);
    HttpResponse::Ok().body("done\n")
}

/// A plain service and an idempotency key.
#[derive(Debug, Deserialize)]
struct ServiceKey {
    service: CompactString,
    key: CompactString,
}

async fn executions(path: types::Path<ServiceKey>, control: types::State<Control>) -> HttpResponse {
    let fleet = control.fleet();
    match fleet.executions(&path.service) {
        Some(executions) => HttpResponse::Ok().body(format!("{}\n", executions.count(&path.key))),
        None => HttpResponse::NotFound().body("unknown service\n"),
    }
}
