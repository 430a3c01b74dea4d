//! A VM that leaves is known to leave on every node of its zone, though the VM list lags.

mod pair;

use jackdaw_core::inventory;
use jackdaw_core::units::Millis;
use pair::{Pair, ZONES, probed, vms};
use rstest::rstest;

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
    let mut pair = Pair::new([ZONES[0]; 2]);
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
