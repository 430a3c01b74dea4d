//! All stand-ins in one process: VMs, VM list, key-value service and a port for faults.

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

/// Content of a fleet file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Batches of identical VMs.
    pub vms: Vec<Batch>,
}

/// Addresses on which the stand-ins listen.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Key-value service.
    pub store: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Port for faults.
    pub faults: SocketAddr,
}

/// All running stand-ins of the platform and the backend servers.
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
        let targets = FaultTargets {
            fleet: Arc::clone(&fleet),
            memory: memory.clone(),
        };
        let faults = Host::start(
            addresses.faults,
            Arc::new(move |config| targets.add_routes(config)),
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

/// Handles that the routes of the port for faults act on.
#[derive(Clone, Debug)]
struct FaultTargets {
    fleet: Arc<Mutex<Fleet>>,
    memory: Memory,
}

impl FaultTargets {
    fn add_routes(&self, config: &mut ServiceConfig) {
        config
            .state(self.clone())
            .route("/vms/{name}/{fault}", web::post().to(set_vm_fault))
            .route("/store/{fault}", web::post().to(set_store_fault))
            .route(
                "/executions/{service}/{key}",
                web::get().to(count_executions),
            );
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a fault to a VM; returns `None` if the fault is unknown or needs an engine that the
    /// VM doesn't have.
    fn apply_vm_fault(&self, name: &str, fault: &str) -> Option<Result<()>> {
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

/// Path of a VM fault.
#[derive(Debug, Deserialize)]
struct VmFault {
    name: CompactString,
    fault: CompactString,
}

async fn set_vm_fault(
    path: types::Path<VmFault>,
    targets: types::State<FaultTargets>,
) -> HttpResponse {
    match targets.apply_vm_fault(&path.name, &path.fault) {
        Some(Ok(())) => HttpResponse::Ok().body("done\n"),
        Some(Err(error)) => HttpResponse::Conflict().body(format!("{error}\n")),
        None => HttpResponse::NotFound()
            .body("known: /vms/NAME/kill, revive, pause, resume, leave, stay\n"),
    }
}

async fn set_store_fault(
    path: types::Path<CompactString>,
    targets: types::State<FaultTargets>,
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
    targets.memory.set(fault);
    HttpResponse::Ok().body("done\n")
}

/// Path of an execution count.
#[derive(Debug, Deserialize)]
struct ServiceKey {
    service: CompactString,
    key: CompactString,
}

async fn count_executions(
    path: types::Path<ServiceKey>,
    targets: types::State<FaultTargets>,
) -> HttpResponse {
    let fleet = targets.fleet();
    match fleet.executions(&path.service) {
        Some(executions) => HttpResponse::Ok().body(format!("{}\n", executions.count(&path.key))),
        None => HttpResponse::NotFound().body("unknown service\n"),
    }
}
