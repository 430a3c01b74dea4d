//! Tests of the member table: whole groups, health of VMs, and the decisions that explain changes.

use std::net::SocketAddr;

use jackdaw_core::inventory::{self, Vm};
use jackdaw_core::member::{Load, Membership, Report};
use jackdaw_core::placement::{Group, Placement, State};
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Fence, Generation, Millis};
use jackdaw_policy::member::{Bounds, Cause, Event, Observation, Table};
use jackdaw_policy::plan::Health;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    max_report_age: Millis(2_000),
    missing_after: Millis(4_000),
    recovery_time: Millis(5_000),
    loss_memory: Millis(60_000),
};

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("address")
}

fn vm(name: &str, state: inventory::State) -> Vm {
    Vm {
        name: name.into(),
        address: address(),
        zone: "a".into(),
        domain: "d".into(),
        service: None,
        accelerators: 4,
        state,
    }
}

fn live() -> Vec<Vm> {
    ["v0", "v1", "v2"]
        .map(|name| vm(name, inventory::State::Live))
        .to_vec()
}

fn with_leaving(name: &str) -> Vec<Vm> {
    let mut vms = live();
    for vm in vms.iter_mut().filter(|vm| vm.name == name) {
        vm.state = inventory::State::Leaving;
    }
    vms
}

fn placement(sequence: u64, generation: u64) -> Placement {
    let group = Group {
        name: "a/1".into(),
        generation: Generation(generation),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "d".into(),
        members: vec!["v0".into(), "v1".into()],
        state: State::Active,
        spares: Vec::new(),
    };
    Placement {
        zone: "a".into(),
        fence: Fence(1),
        sequence,
        next_group: 1,
        groups: vec![group],
    }
}

fn report(vm: &str, boot: u64, rank: Option<u32>) -> Report {
    Report {
        vm: vm.into(),
        boot,
        membership: rank.map(|rank| Membership {
            group: "a/1".into(),
            generation: Generation(1),
            model: "m".into(),
            version: "1".into(),
            rank,
        }),
        ready: true,
        fence: Fence(1),
        load: Load::default(),
        leaving: false,
    }
}

fn reported(report: Report, sent: u64) -> Event {
    Event::Reported(Observation::probed(report, Instant(sent)))
}

fn member(vm: &str, rank: u32, sent: u64) -> Event {
    reported(report(vm, 1, Some(rank)), sent)
}

fn member_with(vm: &str, sent: u64, change: fn(&mut Report)) -> Event {
    let mut report = report(vm, 1, Some(1));
    change(&mut report);
    reported(report, sent)
}

fn membership(report: &mut Report) -> &mut Membership {
    report.membership.as_mut().expect("membership")
}

/// Returns a table in which group `a/1` of `v0` and `v1` is whole at 1,000 ms and `v2` is free.
fn whole_table() -> Table {
    let mut table = Table::new(BOUNDS);
    table.step(Event::Listed(live()), Instant(1_000));
    table.step(Event::Placed(placement(1, 1)), Instant(1_000));
    for event in [
        member("v0", 0, 1_000),
        member("v1", 1, 1_000),
        reported(report("v2", 1, None), 1_000),
    ] {
        table.step(event, Instant(1_000));
    }
    assert_eq!(table.fault("a/1"), None);
    table
}

fn cause(table: &Table) -> Option<Cause> {
    table.fault("a/1").map(|fault| fault.cause)
}

/// Events with their times in ms, and the expected fault of the group after the last one.
struct Case {
    events: Vec<(u64, Event)>,
    expected: Option<Cause>,
}

#[rstest]
#[case::unchanged_within_the_report_age(Case { events: vec![(3_000, Event::Tick)], expected: None })]
#[case::member_without_a_fresh_report(Case { events: vec![(2_900, member("v0", 0, 2_900)), (3_001, Event::Tick)], expected: Some(Cause::Stale) })]
#[case::late_answer_counts_from_its_probe(Case { events: vec![(3_500, member("v0", 0, 3_400)), (3_500, member("v1", 1, 1_400))], expected: Some(Cause::Stale) })]
#[case::member_is_unreachable(Case { events: vec![(1_100, Event::ProbeFailed { vm: "v1".into(), sent: Instant(1_100), unreachable: true })], expected: Some(Cause::Unreachable) })]
#[case::single_lost_answer_is_tolerated(Case { events: vec![(1_100, Event::ProbeFailed { vm: "v1".into(), sent: Instant(1_100), unreachable: false })], expected: None })]
#[case::unreachable_member_reports_again(Case { events: vec![(1_100, Event::ProbeFailed { vm: "v1".into(), sent: Instant(1_100), unreachable: true }), (1_200, member("v1", 1, 1_200))], expected: None })]
#[case::member_restarted_without_a_group(Case { events: vec![(1_100, reported(report("v1", 2, None), 1_100))], expected: Some(Cause::Restarted) })]
#[case::member_restarted_and_rejoined(Case { events: vec![(1_100, reported(report("v1", 2, Some(1)), 1_100))], expected: Some(Cause::Restarted) })]
#[case::member_left_by_a_stale_order(Case { events: vec![(1_100, reported(report("v1", 1, None), 1_100))], expected: Some(Cause::NoGroup) })]
#[case::member_moved_by_a_stale_order(Case { events: vec![(1_100, member_with("v1", 1_100, |report| membership(report).group = "a/9".into()))], expected: Some(Cause::OtherGroup) })]
#[case::member_reports_an_older_generation(Case { events: vec![(1_100, member_with("v1", 1_100, |report| membership(report).generation = Generation(0)))], expected: Some(Cause::OtherGeneration) })]
#[case::member_reports_another_version(Case { events: vec![(1_100, member_with("v1", 1_100, |report| membership(report).version = "2".into()))], expected: Some(Cause::OtherModel) })]
#[case::member_reports_another_rank(Case { events: vec![(1_100, member("v1", 0, 1_100))], expected: Some(Cause::OtherRank) })]
#[case::member_is_not_ready(Case { events: vec![(1_100, member_with("v1", 1_100, |report| report.ready = false))], expected: Some(Cause::NotReady) })]
#[case::member_rejoined_after_a_stale_order(Case { events: vec![(1_100, reported(report("v1", 1, None), 1_100)), (1_200, member("v1", 1, 1_200))], expected: None })]
#[case::late_old_report_is_ignored(Case { events: vec![(1_300, reported(report("v1", 1, None), 1_200)), (1_400, member("v1", 1, 1_100))], expected: Some(Cause::NoGroup) })]
#[case::placement_changes_the_generation(Case { events: vec![(1_100, Event::Placed(placement(2, 2)))], expected: Some(Cause::OtherGeneration) })]
#[case::older_placement_is_ignored(Case { events: vec![(1_100, Event::Placed(placement(0, 2)))], expected: None })]
#[case::requests_to_the_group_fail(Case { events: vec![(1_100, Event::GroupFailed { group: "a/1".into(), generation: Generation(1) })], expected: Some(Cause::RequestsFailed) })]
#[case::failed_requests_of_an_older_generation_are_ignored(Case { events: vec![(1_100, Event::GroupFailed { group: "a/1".into(), generation: Generation(0) })], expected: None })]
#[case::only_one_member_reports_after_requests_failed(Case { events: vec![(1_100, Event::GroupFailed { group: "a/1".into(), generation: Generation(1) }), (1_200, member("v0", 0, 1_150))], expected: Some(Cause::RequestsFailed) })]
#[case::all_members_report_after_requests_failed(Case { events: vec![(1_100, Event::GroupFailed { group: "a/1".into(), generation: Generation(1) }), (1_200, member("v0", 0, 1_150)), (1_200, member("v1", 1, 1_150))], expected: None })]
#[case::list_shows_the_member_as_leaving(Case { events: vec![(1_100, Event::Listed(with_leaving("v1")))], expected: Some(Cause::Leaving) })]
#[case::member_reports_leaving_before_the_list(Case { events: vec![(1_100, member_with("v1", 1_100, |report| report.leaving = true)), (1_200, member("v1", 1, 1_200)), (1_300, Event::Listed(live()))], expected: Some(Cause::Leaving) })]
#[case::peer_announces_leaving_before_the_list(Case { events: vec![(1_100, Event::Leaving("v1".into())), (1_200, Event::Listed(live())), (1_300, member("v1", 1, 1_300))], expected: Some(Cause::Leaving) })]
#[case::list_returns_an_old_value_after_leaving(Case { events: vec![(1_100, Event::Listed(with_leaving("v1"))), (1_200, Event::Listed(live())), (1_300, member("v1", 1, 1_300))], expected: Some(Cause::Leaving) })]
#[case::list_omits_a_vm_that_answers(Case { events: vec![(1_100, Event::Listed(Vec::new()))], expected: None })]
#[case::relayed_report_counts_with_its_age(Case { events: vec![(3_100, member("v0", 0, 3_100)), (3_100, Event::Reported(Observation::relayed(report("v1", 1, Some(1)), Instant(3_050), Millis(500))))], expected: None })]
#[case::relayed_report_is_too_old(Case { events: vec![(3_100, member("v0", 0, 3_100)), (3_100, Event::Reported(Observation::relayed(report("v1", 1, Some(1)), Instant(3_050), Millis(1_960))))], expected: Some(Cause::Stale) })]
fn group_is_whole_only_if_every_member_reports_it(#[case] case: Case) {
    let mut table = whole_table();
    let mut decisions = Vec::new();
    for (at, event) in case.events {
        decisions.extend(table.step(event, Instant(at)));
    }
    assert_eq!(cause(&table), case.expected);
    assert_eq!(
        table.whole_groups().count(),
        usize::from(case.expected.is_none())
    );
    // The decision that a group is not whole names the group and the member that caused it.
    let is_explained = decisions.iter().any(|decision| {
        let is_group = decision
            .subjects
            .iter()
            .any(|subject| subject.name() == "a/1");
        is_group && decision.taken.contains("not whole") && decision.subjects.len() == 2
    });
    assert!(case.expected.is_none() || is_explained, "{decisions:?}");
}

fn health(table: &Table, name: &str) -> Health {
    let candidates = table.candidates();
    let found = candidates.iter().find(|vm| vm.name == name);
    found.expect("candidate").health
}

/// Events with their times in ms, and the expected health of `v2` after the last one.
struct HealthCase {
    events: Vec<(u64, Event)>,
    expected: Health,
}

fn free_report(boot: u64, sent: u64) -> (u64, Event) {
    (sent, reported(report("v2", boot, None), sent))
}

fn tick(at: u64) -> (u64, Event) {
    (at, Event::Tick)
}

#[rstest]
#[case::single_lost_probe_is_tolerated(HealthCase { events: vec![tick(4_900)], expected: Health::Present })]
#[case::missing_after_the_time_limit(HealthCase { events: vec![tick(5_001)], expected: Health::Missing })]
#[case::missing_until_the_recovery_time_has_passed(HealthCase { events: vec![tick(5_001), free_report(1, 8_000), free_report(1, 11_000)], expected: Health::Missing })]
#[case::present_after_the_recovery_time(HealthCase { events: vec![tick(5_001), free_report(1, 8_000), free_report(1, 11_000), free_report(1, 13_000)], expected: Health::Present })]
#[case::recovery_time_doubles_after_the_second_loss(HealthCase { events: vec![tick(5_001), free_report(1, 8_000), free_report(1, 11_000), free_report(1, 13_000), tick(17_001), free_report(1, 18_000), free_report(1, 21_000), free_report(1, 24_000)], expected: Health::Missing })]
#[case::present_after_the_doubled_recovery_time(HealthCase { events: vec![tick(5_001), free_report(1, 8_000), free_report(1, 11_000), free_report(1, 13_000), tick(17_001), free_report(1, 18_000), free_report(1, 21_000), free_report(1, 24_000), free_report(1, 28_000)], expected: Health::Present })]
#[case::leaving_when_announced(HealthCase { events: vec![(1_100, Event::Leaving("v2".into()))], expected: Health::Leaving })]
#[case::present_if_replaced_after_leaving(HealthCase { events: vec![(1_100, Event::Leaving("v2".into())), free_report(2, 1_200)], expected: Health::Present })]
#[case::leaving_if_replaced_before_the_list_is_updated(HealthCase { events: vec![(1_100, Event::Listed(with_leaving("v2"))), free_report(2, 1_200)], expected: Health::Leaving })]
#[case::present_if_replaced_and_the_list_is_updated(HealthCase { events: vec![(1_100, Event::Listed(with_leaving("v2"))), free_report(2, 1_200), (1_300, Event::Listed(with_leaving("v2"))), (1_400, Event::Listed(live()))], expected: Health::Present })]
#[case::late_report_of_the_previous_boot_is_ignored(HealthCase { events: vec![(1_100, Event::Leaving("v2".into())), free_report(2, 1_200), free_report(1, 1_300)], expected: Health::Present })]
fn health_follows_reports_with_hysteresis_and_keeps_leaving(#[case] case: HealthCase) {
    let mut table = whole_table();
    for (at, event) in case.events {
        table.step(event, Instant(at));
    }
    assert_eq!(health(&table, "v2"), case.expected);
}

#[test]
fn restarted_member_breaks_its_group_until_the_next_generation() {
    let mut table = whole_table();
    table.step(reported(report("v1", 2, None), 1_100), Instant(1_100));
    assert!(table.is_restarted("v1"));
    assert_eq!(health(&table, "v1"), Health::Restarted);
    assert_eq!(table.whole_groups().count(), 0);
    table.step(Event::Placed(placement(2, 2)), Instant(1_200));
    for at in [3_000, 5_000, 6_100] {
        table.step(reported(report("v1", 2, None), at), Instant(at));
    }
    assert!(!table.is_restarted("v1"));
    assert_eq!(health(&table, "v1"), Health::Present);
}

#[test]
fn missing_domain_yields_a_single_decision() {
    let mut table = whole_table();
    let decisions = table.step(Event::Tick, Instant(5_001));
    let count_missing = |decisions: &[jackdaw_core::decision::Decision]| {
        let matching = decisions
            .iter()
            .filter(|decision| decision.cause.contains("fabric domain"));
        matching.count()
    };
    assert_eq!(count_missing(&decisions), 1);
    assert_eq!(count_missing(&table.step(Event::Tick, Instant(5_101))), 0);
    assert!(table.is_cut_off(Instant(5_101)));
}

#[test]
fn table_is_settled_once_engines_answered_or_had_time_to() {
    let mut table = Table::new(BOUNDS);
    table.step(Event::Listed(live()), Instant(0));
    assert!(!table.is_settled(Instant(4_000)));
    assert!(table.is_settled(Instant(4_001)));
    for name in ["v0", "v1", "v2"] {
        table.step(reported(report(name, 1, None), 100), Instant(100));
    }
    assert!(table.is_settled(Instant(100)));
}

#[derive(Clone, Debug)]
enum Move {
    Report {
        vm: usize,
        membership: bool,
        boot: u64,
        delay: u64,
    },
    Leaving(usize),
    Tick(u64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let any_move = prop_oneof![
        6 => (0..2_usize, any::<bool>(), 1..3_u64, 0..2_500_u64).prop_map(|(vm, membership, boot, delay)| Move::Report { vm, membership, boot, delay }),
        1 => (0..2_usize).prop_map(Move::Leaving),
        4 => (1..1_500_u64).prop_map(Move::Tick),
    ];
    proptest::collection::vec(any_move, 1..60)
}

/// Checks after each step that a whole group satisfies the definition, using all reports sent.
fn check_moves(moves: Vec<Move>) -> Result<(), TestCaseError> {
    let mut table = whole_table();
    let mut now = 1_000;
    let mut newest = [(1_000, true, 1), (1_000, true, 1)];
    let mut left_boots = [None; 2];
    for step in moves {
        match step {
            Move::Report {
                vm,
                membership,
                boot,
                delay,
            } => {
                let sent = now - delay.min(now);
                let rank = membership.then(|| u32::try_from(vm).expect("rank"));
                let report = report(["v0", "v1"][vm], boot, rank);
                table.step(reported(report, sent), Instant(now));
                // An engine never returns to an earlier boot number.
                let is_former_boot = newest[vm].2 > boot;
                if sent >= newest[vm].0 && !is_former_boot {
                    newest[vm] = (sent, membership, boot);
                }
            }
            Move::Leaving(vm) => {
                table.step(Event::Leaving(["v0", "v1"][vm].into()), Instant(now));
                left_boots[vm] = Some(newest[vm].2);
            }
            Move::Tick(span) => {
                now += span;
                table.step(Event::Tick, Instant(now));
            }
        }
        if cause(&table).is_none() {
            for (vm, (sent, membership, boot)) in newest.iter().enumerate() {
                prop_assert!(*membership && *boot == 1 && now - sent <= BOUNDS.max_report_age.0);
                prop_assert!(left_boots[vm] != Some(*boot));
            }
        }
    }
    Ok(())
}

#[test]
fn no_sequence_makes_a_group_whole_against_a_members_report() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&moves(), check_moves)
        .expect("every sequence holds");
}
