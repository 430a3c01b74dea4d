//! A VM that leaves is known to leave on every node of its zone, though the VM list lags.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use jackdaw_control::courier::Job;
use jackdaw_control::event::Event;
use jackdaw_control::options::Options;
use jackdaw_control::overlay::Overlay;
use jackdaw_control::peer::shelf::Shelf;
use jackdaw_control::state::{Action, State};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::{Load, Report};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Millis};
use jackdaw_policy::spread::node;
use rstest::rstest;

const UNIX_MS: u64 = 1_800_000_000_000;
const VM: &str = "vm-1";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Creates the state of one of two nodes that know each other's address.
fn state(name: &str, port: u16, seed: u16) -> State {
    let options = Options {
        node: name.into(),
        zone: "east-a".into(),
        ..Options::default()
    };
    let overlay = node::Options {
        name: name.into(),
        address: address(port),
        zone: "east-a".into(),
        seeds: vec![address(seed)],
        incarnation: UNIX_MS,
        round: Millis(500),
        seed: 7,
    };
    let mut state = State::new(options);
    state.join_overlay(Overlay::join(
        overlay,
        Arc::new(Shelf::default()),
        Instant(0),
    ));
    state
}

fn vms(state: inventory::State) -> Event {
    Event::Vms(Ok(vec![Vm {
        name: VM.into(),
        address: address(9),
        zone: "east-a".into(),
        domain: "east-a/f1".into(),
        service: None,
        accelerators: 4,
        state,
    }]))
}

fn probed(boot: u64, leaving: bool, now: Instant) -> Event {
    Event::Probed {
        vm: VM.into(),
        address: address(9),
        sent: now,
        result: Ok(Report {
            vm: VM.into(),
            boot,
            membership: None,
            ready: true,
            fence: Fence(0),
            load: Load::default(),
            leaving,
        }),
    }
}

/// Two nodes; messages are delivered at once.
struct Pair {
    states: [State; 2],
    now: Instant,
}

impl Pair {
    fn step(&mut self, node: usize, event: Event) {
        let mut queue = vec![(node, event)];
        while let Some((node, event)) = queue.pop() {
            for action in self.states[node].step(event, self.now, UNIX_MS + self.now.0) {
                if let Action::Carry(Job::Send { to, envelope }) = action {
                    queue.push((usize::from(to.port() - 1), Event::Message(*envelope)));
                }
            }
        }
    }

    /// Lets both nodes do what is due for a while.
    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(50);
            for node in 0..2 {
                self.step(node, Event::Spread);
            }
        }
    }

    fn is_leaving(&self, node: usize) -> bool {
        self.states[node].is_leaving(VM)
    }
}

/// How the first node learns that the VM leaves, and the boot that the second one has seen.
struct Case {
    listed: inventory::State,
    reported: bool,
    boot_elsewhere: u64,
    is_known_elsewhere: bool,
}

#[rstest]
#[case::by_the_vm_list(Case {
    listed: inventory::State::Leaving, reported: false, boot_elsewhere: 1, is_known_elsewhere: true })]
#[case::by_its_own_report(Case {
    listed: inventory::State::Live, reported: true, boot_elsewhere: 1, is_known_elsewhere: true })]
#[case::another_boot(Case {
    listed: inventory::State::Leaving, reported: false, boot_elsewhere: 2, is_known_elsewhere: false })]
#[case::nothing_happens(Case {
    listed: inventory::State::Live, reported: false, boot_elsewhere: 1, is_known_elsewhere: false })]
fn departure_reaches_a_node_whose_list_lags(#[case] case: Case) {
    let mut pair = Pair {
        states: [state("one", 1, 2), state("two", 2, 1)],
        now: Instant(0),
    };
    pair.run(Millis(2_000));
    for node in 0..2 {
        pair.step(node, vms(inventory::State::Live));
    }
    let now = pair.now;
    pair.step(0, probed(1, false, now));
    pair.step(1, probed(case.boot_elsewhere, false, now));
    pair.run(Millis(500));
    let now = pair.now;
    pair.step(0, vms(case.listed));
    pair.step(0, probed(1, case.reported, now));
    pair.run(Millis(1_000));
    assert_eq!(pair.is_leaving(1), case.is_known_elsewhere);
}
