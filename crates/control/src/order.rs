//! Sends orders to model engines.

use std::rc::Rc;
use std::sync::Arc;

use jackdaw_core::engine::Engine;
use jackdaw_core::inventory::Vm;
use jackdaw_core::order::Order;
use jackdaw_core::time::Clock;
use jackdaw_policy::lease::Authority;
use jackdaw_policy::placement::Event as PlacementEvent;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;
use crate::leader::authority_ended;

/// Sends orders from the control thread; each result comes back as an event.
pub struct Sender {
    /// Client of the engines.
    pub engine: Rc<dyn Engine>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Channel for the results.
    pub events: UnboundedSender<Event>,
    /// Logger.
    pub logger: Logger,
}

impl Sender {
    /// Starts to send an order, which is sent only while the leader's authority is valid.
    pub fn send(&self, vm: Vm, order: Order, authority: Authority) {
        let engine = Rc::clone(&self.engine);
        let clock = Arc::clone(&self.clock);
        let events = self.events.clone();
        let logger = self.logger.clone();
        ntex::rt::spawn(async move {
            fail::fail_point!("order-send");
            let result = if authority.may_order(clock.now()) {
                engine.order(vm.address, &order).await
            } else {
                Err(authority_ended("send order", &vm.name))
            };
            fail::fail_point!("order-sent");
            if let Err(error) = &result {
                warn!(logger, "order failed"; "vm" => %vm.name, "error" => %error);
            }
            let answer = PlacementEvent::Ordered(vm.name, result);
            let _ = events.send(Event::Placement(answer));
        });
    }
}
