//! Tests of the group planner.

#[path = "plan/random.rs"]
mod random;
#[path = "plan/spares.rs"]
mod spares;
#[path = "plan/zone.rs"]
mod zone;

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use jackdaw_core::time::Instant;
use jackdaw_core::units::{Generation, Millis};
use jackdaw_policy::plan::order::load_order;
use jackdaw_policy::plan::{FlapHistory, Health};
use rstest::rstest;

use zone::{NOW, Zone, model};

/// A change in the zone.
#[derive(Clone, Copy)]
enum Event {
    Lose(&'static str),
    Restart(&'static str),
    LoseJustNow(&'static str),
    Leave(&'static str),
    NewVersion(&'static str),
    Add(&'static str, u32, u32, u32),
    Withdraw(&'static str),
    AllDrained,
    GroupDrained(&'static str),
}

impl Event {
    fn apply(self, zone: &mut Zone) {
        match self {
            Event::Lose(vm) => zone.set_health(vm, Health::Missing, Instant(0)),
            Event::Restart(vm) => zone.set_health(vm, Health::Restarted, NOW),
            Event::LoseJustNow(vm) => zone.set_health(vm, Health::Missing, NOW),
            Event::Leave(vm) => zone.set_health(vm, Health::Leaving, Instant(0)),
            Event::NewVersion(name) => zone.model(name).version = "2".into(),
            Event::Add(name, size, replicas, priority) => {
                zone.catalog
                    .models
                    .push(model(name, size, replicas, priority));
            }
            Event::Withdraw(name) => zone.catalog.models.retain(|model| model.name != name),
            Event::AllDrained => zone.finish_draining(),
            Event::GroupDrained(group) => zone.drained = vec![group.into()],
        }
    }
}

/// Changes in a zone and the groups that must be placed after them.
struct Case {
    domains: &'static [u32],
    models: &'static [(&'static str, u32, u32, u32)],
    events: &'static [Event],
    expected: &'static [&'static str],
}

#[rstest]
#[case::formed_in_order_of_priority(Case {
    domains: &[4],
    models: &[("low", 2, 2, 1), ("high", 2, 1, 9)],
    events: &[],
    expected: &["high:a0,a1", "low:a2,a3"],
})]
#[case::another_domain_takes_over_when_none_is_free(Case {
    domains: &[5, 4],
    models: &[("m", 4, 1, 1)],
    events: &[Event::Lose("b1")],
    expected: &["m:a0,a1,a2,a3"],
})]
#[case::lost_member_is_replaced_in_its_rank(Case {
    domains: &[5],
    models: &[("m", 4, 1, 1)],
    events: &[Event::Lose("a1")],
    expected: &["m:a0,a4,a2,a3"],
})]
#[case::group_waits_when_nothing_is_free(Case {
    domains: &[4],
    models: &[("m", 4, 1, 1)],
    events: &[Event::Lose("a1")],
    expected: &["m:a0,a1,a2,a3"],
})]
#[case::group_does_not_wait_for_a_member_that_restarted(Case {
    domains: &[5],
    models: &[("m", 4, 1, 1)],
    events: &[Event::Restart("a1")],
    expected: &["m:a0,a4,a2,a3"],
})]
#[case::survivors_of_two_broken_groups_merge(Case {
    domains: &[8],
    models: &[("m", 4, 2, 1)],
    events: &[Event::Lose("a1"), Event::Lose("a6")],
    expected: &["m:a0,a5,a2,a3"],
})]
#[case::lower_priority_drains_before_it_is_taken(Case {
    domains: &[4],
    models: &[("high", 2, 1, 9), ("low", 2, 1, 1)],
    events: &[Event::Lose("a0")],
    expected: &["high:a0,a1", "~low:a2,a3"],
})]
#[case::higher_priority_takes_what_was_drained(Case {
    domains: &[4],
    models: &[("high", 2, 1, 9), ("low", 2, 1, 1)],
    events: &[Event::Lose("a0"), Event::AllDrained],
    expected: &["high:a2,a1"],
})]
#[case::no_group_is_drained_for_a_member_lost_just_now(Case {
    domains: &[4],
    models: &[("high", 2, 1, 9), ("low", 2, 1, 1)],
    events: &[Event::LoseJustNow("a0")],
    expected: &["high:a0,a1", "low:a2,a3"],
})]
#[case::smaller_group_is_copied_before_it_drains(Case {
    domains: &[4, 4],
    models: &[("small", 1, 1, 5), ("mid", 3, 1, 5), ("hold", 1, 1, 5)],
    events: &[Event::Withdraw("hold"), Event::AllDrained, Event::Add("big", 4, 1, 5)],
    expected: &["mid:a1,a2,a3", "~small:b0", "small:a0"],
})]
#[case::group_with_a_leaving_member_drains_and_a_copy_forms(Case {
    domains: &[2, 2],
    models: &[("m", 2, 1, 1)],
    events: &[Event::Leave("a0")],
    expected: &["~m:a0,a1", "m:b0,b1"],
})]
#[case::leaving_member_is_replaced_once_drained(Case {
    domains: &[3],
    models: &[("m", 2, 1, 1)],
    events: &[Event::Leave("a0"), Event::AllDrained],
    expected: &["m:a2,a1"],
})]
#[case::withdrawn_model_drains(Case {
    domains: &[2],
    models: &[("m", 2, 1, 1)],
    events: &[Event::Withdraw("m")],
    expected: &["~m:a0,a1"],
})]
#[case::added_model_preempts_at_once(Case {
    domains: &[2],
    models: &[("low", 2, 1, 1)],
    events: &[Event::Add("high", 2, 1, 9), Event::AllDrained],
    expected: &["high:a0,a1"],
})]
#[case::vms_of_the_first_group_that_drained_are_reserved_for_the_model_in_need(Case {
    domains: &[4],
    models: &[("pair", 2, 1, 5), ("one", 1, 1, 5)],
    events: &[Event::Add("big", 4, 1, 9), Event::GroupDrained("z/1")],
    expected: &["~pair:a1,a2"],
})]
#[case::a_group_that_drains_already_counts_for_the_model_in_need(Case {
    domains: &[4],
    models: &[("aone", 1, 1, 5), ("bone", 1, 1, 5), ("pair", 2, 1, 5)],
    events: &[Event::Withdraw("bone"), Event::Add("big", 3, 1, 9)],
    expected: &["aone:a0", "~bone:a1", "~pair:a2,a3"],
})]
#[case::version_rolls_one_group_at_a_time(Case {
    domains: &[4],
    models: &[("m", 2, 2, 1)],
    events: &[Event::NewVersion("m")],
    expected: &["~m:a0,a1", "m:a2,a3"],
})]
#[case::new_version_comes_first_where_vms_are_free(Case {
    domains: &[4, 2],
    models: &[("m", 2, 2, 1)],
    events: &[Event::NewVersion("m")],
    expected: &["m:b0,b1", "~m:a0,a1", "m:a2,a3"],
})]
fn places_groups(#[case] case: Case) {
    let models = case.models.iter();
    let models =
        models.map(|(name, size, replicas, priority)| model(name, *size, *replicas, *priority));
    let mut zone = Zone::new(case.domains, models.collect());
    zone.step();
    for event in case.events {
        event.apply(&mut zone);
        zone.step();
    }
    assert_eq!(zone.group_lines(), case.expected);
    assert_eq!(zone.propose(), None);
}

#[test]
fn draining_group_resumes_when_its_leaving_member_stays() {
    let mut zone = Zone::new(&[2], vec![model("m", 2, 1, 1)]);
    zone.step();
    zone.set_health("a0", Health::Leaving, NOW);
    zone.step();
    assert_eq!(zone.group_lines(), ["~m:a0,a1"]);
    zone.set_health("a0", Health::Present, NOW);
    zone.step();
    assert_eq!(zone.group_lines(), ["m:a0,a1"]);
    assert_eq!(zone.placement.groups[0].generation, Generation(1));
}

#[test]
fn next_group_is_replaced_only_after_the_last_one_serves() {
    let mut zone = Zone::new(&[4], vec![model("m", 2, 2, 1)]);
    zone.step();
    zone.model("m").version = "2".into();
    zone.step();
    zone.finish_draining();
    zone.serving = Some(BTreeSet::from(["z/2".into()]));
    zone.step();
    assert_eq!(zone.group_lines(), ["m:a2,a3", "m:a0,a1"]);
    assert!(!zone.step());
    zone.serving = Some(BTreeSet::from(["z/2".into(), "z/3".into()]));
    zone.step();
    assert_eq!(zone.group_lines(), ["~m:a2,a3", "m:a0,a1"]);
}

#[test]
fn flapping_vm_is_held_back_for_a_growing_time_that_decays() {
    let mut flaps = FlapHistory::default();
    let mut vm = Zone::new(&[1], Vec::new()).vms;
    let mut now = Instant(0);
    let mut holds = Vec::new();
    for _ in 0..4 {
        for health in [Health::Present, Health::Missing] {
            vm[0].health = health;
            vm[0].since = now;
            flaps.observe(&vm, now);
            now = now + Millis::from_secs(10);
        }
        holds.push(flaps.hold_time("a0").0 / 1_000);
    }
    assert_eq!(holds, [0, 60, 120, 240]);
    vm[0].health = Health::Present;
    vm[0].since = now;
    flaps.observe(&vm, now);
    assert!(!flaps.is_settled(&vm[0], now + Millis::from_secs(239)));
    assert!(flaps.is_settled(&vm[0], now + Millis::from_secs(240)));
    flaps.observe(&vm, now + Millis::from_secs(3 * 3_600));
    assert_eq!(flaps.hold_time("a0"), Millis(0));
}

#[test]
fn lost_member_is_replaced_only_after_the_patience() {
    let mut zone = Zone::new(&[3], vec![model("m", 2, 1, 1)]);
    zone.step();
    zone.options.patience = Millis::from_secs(10);
    zone.set_health("a0", Health::Missing, NOW - Millis::from_secs(9));
    assert!(!zone.step());
    zone.set_health("a0", Health::Missing, NOW - Millis::from_secs(10));
    zone.step();
    assert_eq!(zone.group_lines(), ["m:a2,a1"]);
}

#[test]
fn most_needed_group_loads_first() {
    let models = vec![
        model("low", 2, 2, 1),
        model("high", 2, 2, 9),
        model("also", 1, 2, 9),
    ];
    let mut zone = Zone::new(&[12], models);
    zone.step();
    let serving = BTreeSet::from([zone.placement.groups[0].name.clone()]);
    let order = load_order(&zone.placement, &zone.catalog, &serving, &BTreeMap::new());
    let group = |name: &CompactString| zone.placement.group(name).expect("the group stands");
    let models: Vec<&str> = order
        .iter()
        .map(|name| group(name).model.as_str())
        .collect();
    assert_eq!(zone.group_lines()[0], "also:a0");
    assert_eq!(models, ["high", "also", "high", "low", "low"]);
}

#[test]
fn group_with_a_restarted_member_continues_in_a_new_generation() {
    let mut zone = Zone::new(&[4], vec![model("m", 4, 1, 1)]);
    while zone.step() {}
    let before = zone.placement.groups[0].clone();
    zone.set_health("a1", Health::Restarted, NOW);
    let proposal = zone.propose().expect("the group lost a member's state");
    let [after] = proposal.placement.groups.as_slice() else {
        panic!("one group: {:?}", proposal.placement.groups);
    };
    assert_eq!(after.members, before.members);
    assert!(
        after.name != before.name || after.generation > before.generation,
        "{after:?}"
    );
}
