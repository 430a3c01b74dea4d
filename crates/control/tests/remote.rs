//! Groups of another zone are targets while that zone's nodes report them.

mod pair;

use jackdaw_control::event::Event;
use jackdaw_control::peer::repository::Resource;
use jackdaw_core::inventory;
use jackdaw_core::placement::{Group, Placement, State as GroupState};
use jackdaw_core::units::{Fence, Generation, Millis};
use pair::{Pair, VM, ZONES, address, catalog};

fn placement() -> Placement {
    Placement {
        zone: ZONES[0].into(),
        fence: Fence(1),
        sequence: 1,
        next_group: 1,
        groups: vec![Group {
            name: "a/1".into(),
            generation: Generation(1),
            model: "large".into(),
            version: "1".into(),
            adapters: Vec::new(),
            domain: "a/f1".into(),
            members: vec![VM.into()],
            state: GroupState::Active,
            spares: Vec::new(),
        }],
    }
}

/// Starts two nodes of two zones; the second has fetched the placement of the first.
fn start() -> Pair {
    let mut pair = Pair::new(ZONES);
    pair.run(Millis(3_000));
    for node in 0..2 {
        pair.step(node, Event::Accepted(catalog()));
        pair.step(node, pair::vms(inventory::State::Live));
    }
    pair.step(
        1,
        Event::Fetched {
            item: Resource::Placement(ZONES[0].into()),
            from: address(1),
            result: Ok(serde_json::to_vec(&placement()).expect("JSON")),
        },
    );
    pair
}

#[test]
fn group_of_another_zone_is_a_target_while_its_zone_reports_it() {
    let mut pair = start();
    assert_eq!(pair.targets(1), 0, "no report has arrived yet");
    pair.run_probing(Millis(3_000));
    assert_eq!(pair.targets(1), 1, "the member's report has arrived");
    pair.run(Millis(4_000));
    assert_eq!(pair.targets(1), 0, "the member's last report is too old");
    pair.run_probing(Millis(2_000));
    assert_eq!(pair.targets(1), 1, "the member is back");
    pair.is_partitioned = true;
    pair.run_probing(Millis(12_000));
    assert_eq!(pair.targets(1), 0, "the zone has been silent for too long");
    pair.is_partitioned = false;
    pair.run_probing(Millis(8_000));
    assert_eq!(pair.targets(1), 1, "the zone is reachable again");
}

#[test]
fn placement_of_another_zone_is_published_to_peers() {
    let pair = start();
    let facts = pair.states[1].overlay().node().expect("joined").facts();
    let key = jackdaw_policy::gossip::fact::Key::Placement(ZONES[0].into());
    assert!(facts.get(&key).is_some());
}
