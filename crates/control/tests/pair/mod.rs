//! Two control states that exchange messages without delay unless they are partitioned.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use jackdaw_control::event::Event;
use jackdaw_control::job::Job;
use jackdaw_control::options::Options;
use jackdaw_control::overlay::Overlay;
use jackdaw_control::peer::repository::Repository;
use jackdaw_control::state::{Action, State};
use jackdaw_core::catalog::{Catalog, Model};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Generation, Millis, Revision};
use jackdaw_policy::gossip::node;

pub(crate) const ZONES: [&str; 2] = ["a", "b"];
pub(crate) const VM: &str = "vm-1";

const UNIX_MS: u64 = 1_800_000_000_000;
const STEP: Millis = Millis(50);

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn state(name: &str, zone: &str, port: u16, seed: u16) -> State {
    let options = Options {
        node: name.into(),
        zone: zone.into(),
        ..Options::default()
    };
    let overlay = node::Options {
        name: name.into(),
        address: address(port),
        zone: zone.into(),
        seeds: vec![address(seed)],
        incarnation: UNIX_MS,
        round_interval: Millis(500),
        seed: 7,
    };
    let mut state = State::new(options);
    state.join_overlay(Overlay::join(
        overlay,
        Arc::new(Repository::default()),
        Instant(0),
    ));
    state
}

pub(crate) fn catalog() -> Catalog {
    Catalog {
        revision: Revision(1),
        note: "one".into(),
        models: vec![Model {
            name: "large".into(),
            version: "1".into(),
            vms_per_replica: 1,
            replicas: 1,
            adapters: Vec::new(),
            zones: Vec::new(),
            priority: 0,
        }],
        ..Catalog::default()
    }
}

pub(crate) fn vms(state: inventory::State) -> Event {
    Event::VmList(Ok(vec![Vm {
        name: VM.into(),
        address: address(9),
        zone: ZONES[0].into(),
        domain: "a/f1".into(),
        service: None,
        accelerators: 4,
        state,
    }]))
}

pub(crate) fn probed(boot: u64, leaving: bool, now: Instant) -> Event {
    Event::Probed {
        vm: VM.into(),
        address: address(9),
        sent: now,
        result: Ok(Report {
            vm: VM.into(),
            boot,
            membership: Some(Membership {
                group: "a/1".into(),
                generation: Generation(1),
                model: "large".into(),
                version: "1".into(),
                rank: 0,
            }),
            ready: true,
            fence: Fence(0),
            load: Load::default(),
            leaving,
        }),
    }
}

pub(crate) struct Pair {
    pub(crate) states: [State; 2],
    pub(crate) is_partitioned: bool,
    pub(crate) now: Instant,
}

impl Pair {
    pub(crate) fn new(zones: [&str; 2]) -> Pair {
        Pair {
            states: [state("one", zones[0], 1, 2), state("two", zones[1], 2, 1)],
            is_partitioned: false,
            now: Instant(0),
        }
    }

    pub(crate) fn step(&mut self, node: usize, event: Event) {
        let mut queue = vec![(node, event)];
        while let Some((node, event)) = queue.pop() {
            for action in self.states[node].step(event, self.now, UNIX_MS + self.now.0) {
                let Action::StartJob(Job::Send { to, envelope }) = action else {
                    continue;
                };
                if !self.is_partitioned {
                    queue.push((usize::from(to.port() - 1), Event::Message(*envelope)));
                }
            }
        }
    }

    /// Runs both nodes for a time without probing the VM.
    pub(crate) fn run(&mut self, span: Millis) {
        self.advance(span, false);
    }

    /// Runs both nodes for a time while the first probes its VM.
    pub(crate) fn run_probing(&mut self, span: Millis) {
        self.advance(span, true);
    }

    /// Returns whether a node considers the VM as leaving.
    pub(crate) fn is_leaving(&self, node: usize) -> bool {
        self.states[node].is_leaving(VM)
    }

    /// Returns the number of a node's targets of the model.
    pub(crate) fn targets(&mut self, node: usize) -> usize {
        let snapshot = self.states[node].snapshot(self.now, UNIX_MS + self.now.0);
        snapshot.models.get("large").map_or(0, Vec::len)
    }

    fn advance(&mut self, span: Millis, probes: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            if probes {
                self.step(0, probed(1, false, self.now));
            }
            for node in 0..2 {
                self.step(node, Event::GossipTick);
                self.step(node, Event::PlanTick);
            }
        }
    }
}
