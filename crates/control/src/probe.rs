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
    under_way: HashSet<CompactString>,
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
            under_way: HashSet::new(),
        }
    }

    /// Takes note that a probe has ended.
    pub fn ended(&mut self, vm: &CompactString) {
        self.under_way.remove(vm);
    }

    /// Starts a probe of each engine that is not being probed.
    pub fn probe<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        for vm in vms {
            if self.under_way.insert(vm.name.clone()) {
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
