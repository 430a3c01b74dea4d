//! Probes model engines.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use jackdaw_core::engine::Engine;
use jackdaw_core::inventory::Vm;
use jackdaw_core::time::Clock;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;

/// Probes engines from the control thread; each report comes back as an event.
pub struct Prober {
    engine: Rc<dyn Engine>,
    clock: Arc<dyn Clock>,
    events: UnboundedSender<Event>,
    in_flight: HashSet<CompactString>,
}

impl Prober {
    /// Creates a prober.
    #[must_use]
    pub fn new(
        engine: Rc<dyn Engine>,
        clock: Arc<dyn Clock>,
        events: UnboundedSender<Event>,
    ) -> Self {
        Prober {
            engine,
            clock,
            events,
            in_flight: HashSet::new(),
        }
    }

    /// Records that the probe of a VM has ended, so that the VM can be probed again.
    pub fn mark_ended(&mut self, vm: &CompactString) {
        self.in_flight.remove(vm);
    }

    /// Starts a probe of each engine without a probe in flight.
    pub fn probe<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        for vm in vms {
            if self.in_flight.insert(vm.name.clone()) {
                self.start(vm.name.clone(), vm.address);
            }
        }
    }

    fn start(&self, vm: CompactString, address: SocketAddr) {
        let engine = Rc::clone(&self.engine);
        let events = self.events.clone();
        // The clock is read before the probe is sent: the report cannot be older than that.
        let sent = self.clock.now();
        ntex::rt::spawn(async move {
            let result = engine.report(address).await;
            let probed = Event::Probed {
                vm,
                address,
                sent,
                result,
            };
            let _ = events.send(probed);
        });
    }
}
