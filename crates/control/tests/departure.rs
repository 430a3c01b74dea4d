//! A leaving VM is known as leaving to every node of its zone, even where the VM list lags.

mod pair;

use jackdaw_core::inventory;
use jackdaw_core::units::Millis;
use pair::{Pair, ZONES, probed, vms};
use rstest::rstest;

/// How the first node learns that the VM is leaving, and the boot that the second node has seen.
struct Case {
    listed: inventory::State,
    reported: bool,
    second_boot: u64,
    is_known_to_second: bool,
}

#[rstest]
#[case::listed_as_leaving(Case {
    listed: inventory::State::Leaving, reported: false, second_boot: 1, is_known_to_second: true })]
#[case::reported_as_leaving(Case {
    listed: inventory::State::Live, reported: true, second_boot: 1, is_known_to_second: true })]
#[case::another_boot_on_the_second_node(Case {
    listed: inventory::State::Leaving, reported: false, second_boot: 2,
    is_known_to_second: false })]
#[case::not_leaving(Case {
    listed: inventory::State::Live, reported: false, second_boot: 1, is_known_to_second: false })]
fn leaving_vm_is_known_to_a_node_whose_list_lags(#[case] case: Case) {
    let mut pair = Pair::new([ZONES[0]; 2]);
    pair.run(Millis(2_000));
    for node in 0..2 {
        pair.step(node, vms(inventory::State::Live));
    }
    let now = pair.now;
    pair.step(0, probed(1, false, now));
    pair.step(1, probed(case.second_boot, false, now));
    pair.run(Millis(500));
    let now = pair.now;
    pair.step(0, vms(case.listed));
    pair.step(0, probed(1, case.reported, now));
    pair.run(Millis(1_000));
    assert_eq!(pair.is_leaving(1), case.is_known_to_second);
}
