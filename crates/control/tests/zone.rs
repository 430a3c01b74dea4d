//! Leaving backend servers in the state of the control thread.

use jackdaw_control::event::Event;
use jackdaw_control::options::Options;
use jackdaw_control::state::State;
use jackdaw_core::catalog::{Catalog, Service};
use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::time::Instant;
use jackdaw_core::units::Revision;
use rstest::rstest;

const LIVE: inventory::State = inventory::State::Live;
const LEAVING: inventory::State = inventory::State::Leaving;

fn server(name: &str, port: u16, state: inventory::State) -> Vm {
    Vm {
        name: name.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        domain: "".into(),
        service: Some("orders".into()),
        accelerators: 0,
        state,
    }
}

fn catalog() -> Catalog {
    Catalog {
        revision: Revision(1),
        services: vec![Service {
            name: "orders".into(),
            routes: Vec::new(),
        }],
        ..Catalog::default()
    }
}

/// State and port of the second server in successive VM lists, and the number of servers that are
/// targets after each.
#[rstest]
#[case::stays(&[(LIVE, 2, 2), (LIVE, 2, 2)])]
#[case::leaves(&[(LIVE, 2, 2), (LEAVING, 2, 1)])]
#[case::leaves_and_the_list_is_outdated(&[(LIVE, 2, 2), (LEAVING, 2, 1), (LIVE, 2, 1)])]
#[case::replaced_at_another_address(&[(LIVE, 2, 2), (LEAVING, 2, 1), (LIVE, 3, 2)])]
fn leaving_backend_server_gets_no_new_work(#[case] lists: &[(inventory::State, u16, usize)]) {
    let mut state = State::new(Options {
        zone: "a".into(),
        ..Options::default()
    });
    state.step(Event::Accepted(catalog()), Instant(0), 0);
    for (second, port, servers) in lists {
        let vms = vec![server("s1", 1, LIVE), server("s2", *port, *second)];
        state.step(Event::VmList(Ok(vms)), Instant(100), 100);
        let snapshot = state.snapshot(Instant(100), 100);
        let targets = snapshot.services.get("orders");
        assert_eq!(targets.map_or(0, Vec::len), *servers);
    }
}
