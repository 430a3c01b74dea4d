//! Stand-in for the platform's VM list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use jackdaw_core::errors::Result;
use jackdaw_core::inventory::{State, Vm};
use ntex::web::{self, HttpResponse, ServiceConfig, types};

use crate::host::Host;

/// VM list, shared between its server and its owner.
#[derive(Debug, Default)]
pub struct List {
    vms: Mutex<BTreeMap<CompactString, Vm>>,
}

impl List {
    /// Adds or replaces a VM.
    pub fn set(&self, vm: Vm) {
        self.lock().insert(vm.name.clone(), vm);
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.lock().remove(name);
    }

    /// Sets the state of a VM; an unknown name has no effect.
    pub fn set_state(&self, name: &str, state: State) {
        if let Some(vm) = self.lock().get_mut(name) {
            vm.state = state;
        }
    }

    /// Gets all VMs, ordered by name.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<CompactString, Vm>> {
        self.vms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn vms(list: types::State<Arc<List>>) -> HttpResponse {
    HttpResponse::Ok().json(&list.vms())
}

/// Starts the server of a VM list.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(address: SocketAddr, list: Arc<List>) -> Result<Host> {
    let routes = move |config: &mut ServiceConfig| {
        config
            .state(Arc::clone(&list))
            .route("/vms", web::get().to(vms));
    };
    Host::start(address, Arc::new(routes))
}
